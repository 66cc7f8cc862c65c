package config

import (
	"errors"
	"sort"

	"github.com/BurntSushi/toml"
)

// table is a parsed TOML table with the line numbers of its keys.
type table struct {
	// path is the dotted path of the table; empty for the root table.
	path    string
	line    int
	entries map[string]entry
}

// entry is the value of one key. Exactly one of value and sub is set.
type entry struct {
	line  int
	value any
	sub   *table
}

// sortedKeys returns the keys of t, sorted.
func (t *table) sortedKeys() []string {
	names := make([]string, 0, len(t.entries))
	for name := range t.entries {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// keyPath returns the dotted path of a key of t.
func (t *table) keyPath(key string) string {
	if t.path == "" {
		return key
	}
	return t.path + "." + key
}

// parse parses a TOML text. It returns a problem if the syntax is invalid.
func parse(file, text string) (*table, []Problem) {
	var root map[string]toml.Primitive
	meta, err := toml.Decode(text, &root)
	if err != nil {
		return nil, []Problem{syntaxProblem(file, err)}
	}
	return buildTable(&meta, "", 0, root), nil
}

// syntaxProblem returns the problem for an error of the TOML decoder.
func syntaxProblem(file string, err error) Problem {
	p := Problem{File: file, Reason: err.Error(), Remedy: "write valid TOML"}
	var parseErr toml.ParseError
	if errors.As(err, &parseErr) {
		p.Line = parseErr.Position.Line
		p.Key = parseErr.LastKey
		p.Reason = parseErr.Message
	}
	return p
}

// buildTable returns the table of decoded primitives. The line is that of the parent, for values whose own line is unknown.
func buildTable(meta *toml.MetaData, path string, line int, primitives map[string]toml.Primitive) *table {
	t := &table{path: path, line: line, entries: make(map[string]entry, len(primitives))}
	for key, primitive := range primitives {
		at := lineNumber(meta, primitive)
		if at == 0 {
			at = line
		}
		var value any
		if err := meta.PrimitiveDecode(primitive, &value); err != nil {
			value = err
		}
		if _, ok := value.(map[string]any); !ok {
			t.entries[key] = entry{line: at, value: value}
			continue
		}
		sub := map[string]toml.Primitive{}
		_ = meta.PrimitiveDecode(primitive, &sub)
		built := buildTable(meta, t.keyPath(key), at, sub)
		t.entries[key] = entry{line: built.line, sub: built}
	}
	if t.line == 0 && path != "" {
		t.line = t.firstLine()
	}
	return t
}

// firstLine returns the line of the first key. It is used as the line of a table without a header.
func (t *table) firstLine() int {
	first := 0
	for _, e := range t.entries {
		if first == 0 || e.line < first {
			first = e.line
		}
	}
	return first
}

// positionProbe makes the decoder report the position of a value: the library exposes it only in the error that
// wraps an error of an Unmarshaler.
type positionProbe struct{}

var errPosition = errors.New("located")

// UnmarshalTOML implements toml.Unmarshaler.
func (*positionProbe) UnmarshalTOML(any) error { return errPosition }

// lineNumber returns the line of a value, or 0 if it is unknown.
func lineNumber(meta *toml.MetaData, primitive toml.Primitive) int {
	var parseErr toml.ParseError
	if errors.As(meta.PrimitiveDecode(primitive, &positionProbe{}), &parseErr) {
		return parseErr.Position.Line
	}
	return 0
}
