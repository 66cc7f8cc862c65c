package config

import (
	"errors"
	"sort"

	"github.com/BurntSushi/toml"
)

// table is a parsed TOML table that knows the line of each of its keys.
type table struct {
	// path is the dotted path of the table; empty for the root.
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

// names returns the keys of t, sorted.
func (t *table) names() []string {
	names := make([]string, 0, len(t.entries))
	for name := range t.entries {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

func (t *table) join(key string) string {
	if t.path == "" {
		return key
	}
	return t.path + "." + key
}

// parse reads a TOML text.
func parse(file, text string) (*table, []Problem) {
	var root map[string]toml.Primitive
	meta, err := toml.Decode(text, &root)
	if err != nil {
		return nil, []Problem{syntaxProblem(file, err)}
	}
	return build(&meta, "", 0, root), nil
}

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

func build(meta *toml.MetaData, path string, line int, primitives map[string]toml.Primitive) *table {
	t := &table{path: path, line: line, entries: make(map[string]entry, len(primitives))}
	for key, primitive := range primitives {
		at := lineOf(meta, primitive)
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
		built := build(meta, t.join(key), at, sub)
		t.entries[key] = entry{line: built.line, sub: built}
	}
	if t.line == 0 && path != "" {
		t.line = t.firstLine()
	}
	return t
}

// firstLine returns the line of the first key, which stands for a table without a header.
func (t *table) firstLine() int {
	first := 0
	for _, e := range t.entries {
		if first == 0 || e.line < first {
			first = e.line
		}
	}
	return first
}

// locator makes the decoder report where a value stands: the library tells the
// position of a value only with the error of its unmarshaler.
type locator struct{}

var errLocated = errors.New("located")

// UnmarshalTOML implements toml.Unmarshaler.
func (*locator) UnmarshalTOML(any) error { return errLocated }

func lineOf(meta *toml.MetaData, primitive toml.Primitive) int {
	var parseErr toml.ParseError
	if errors.As(meta.PrimitiveDecode(primitive, &locator{}), &parseErr) {
		return parseErr.Position.Line
	}
	return 0
}
