package config

import (
	"fmt"
	"strings"
)

// declaration is a parameter that a template declares.
type declaration struct {
	line int
	// kind is "integer", "number", "boolean" or "string".
	kind       string
	bounds     limits
	missing    any
	hasMissing bool
}

// anyNumber is the bound of a parameter that states none; the use of the value has its own.
var anyNumber = limits{min: -1e9, max: 1e9}

// declarations reads the [parameters.NAME] tables of a template.
func (r *reader) declarations(root *table) map[string]declaration {
	declared := make(map[string]declaration)
	for _, t := range r.tables(root, "parameters") {
		r.known(t, "kind", "min", "max", "default", "meaning")
		d := declaration{line: t.line, kind: r.text(t, "kind", kindRemedy), bounds: anyNumber}
		if !isKind(d.kind) && d.kind != "" {
			r.report(t.entries["kind"].line, t.join("kind"), fmt.Sprintf("%q is not a kind", d.kind), kindRemedy)
		}
		if _, ok := t.entries["min"]; ok {
			d.bounds.min = r.number(t, "min", anyNumber, 0)
		}
		if _, ok := t.entries["max"]; ok {
			d.bounds.max = r.number(t, "max", anyNumber, 0)
		}
		d.missing, d.hasMissing = r.value(t, "default")
		if d.hasMissing {
			r.checkKind(t.entries["default"].line, t.join("default"), d, d.missing)
		}
		declared[t.name()] = d
	}
	return declared
}

const kindRemedy = `write kind = "integer", "number", "boolean" or "string"`

func isKind(kind string) bool {
	return kind == "integer" || kind == "number" || kind == "boolean" || kind == "string"
}

// checkKind reports a value that is not of the declared kind or out of its bounds.
func (r *reader) checkKind(line int, key string, d declaration, v any) {
	ok := false
	switch d.kind {
	case "integer":
		_, ok = v.(int64)
	case "number":
		_, ok = asNumber(v)
	case "boolean":
		_, ok = v.(bool)
	case "string":
		_, ok = v.(string)
	}
	if !ok {
		r.report(line, key, fmt.Sprintf("%v is not of kind %s", v, d.kind), "write a value of that kind")
		return
	}
	if x, isNumber := asNumber(v); isNumber && !d.bounds.holds(x) {
		r.report(line, key, fmt.Sprintf("%v is out of bounds", x), fmt.Sprintf("write a value from %v", d.bounds))
	}
	if s, isText := v.(string); isText && strings.HasPrefix(s, reference) {
		r.report(line, key, "refers to another parameter", "write the value itself")
	}
}

// values reads the [values] of the parameters and fills in the defaults.
func (r *reader) values(root *table, declared map[string]declaration) map[string]any {
	values := make(map[string]any, len(declared))
	for name, d := range declared {
		if d.hasMissing {
			values[name] = d.missing
		}
	}
	given := &table{path: "values"}
	if e, ok := root.entries["values"]; ok && e.sub != nil {
		given = e.sub
	}
	for _, name := range given.names() {
		e := given.entries[name]
		d, ok := declared[name]
		if !ok {
			r.report(e.line, given.join(name), "the template declares no such parameter", "remove it or declare it in the template")
			continue
		}
		if e.sub != nil {
			r.report(e.line, given.join(name), "is a table", "write a single value")
			continue
		}
		r.checkKind(e.line, given.join(name), d, e.value)
		values[name] = e.value
	}
	for _, name := range sortedNames(declared) {
		if _, ok := values[name]; !ok {
			r.report(given.line, given.join(name), "is missing", fmt.Sprintf("write %s = a value of kind %s", name, declared[name].kind))
		}
	}
	return values
}
