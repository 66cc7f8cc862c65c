package config

import (
	"fmt"
	"strings"
)

// declaration is the declaration of a parameter in a template.
type declaration struct {
	line int
	// kind is "integer", "number", "boolean" or "string".
	kind         string
	bounds       numberRange
	defaultValue any
	hasDefault   bool
}

// defaultBounds is the range of a parameter that declares none. The key that uses the value has its own range.
var defaultBounds = numberRange{min: -1e9, max: 1e9}

// declarations returns the parameters declared in the [parameters.NAME] tables of a template.
func (r *reader) declarations(root *table) map[string]declaration {
	declared := make(map[string]declaration)
	for _, t := range r.tables(root, "parameters") {
		r.checkKeys(t, "kind", "min", "max", "default", "meaning")
		d := declaration{line: t.line, kind: r.requiredString(t, "kind", kindRemedy), bounds: defaultBounds}
		if !isKind(d.kind) && d.kind != "" {
			r.report(t.entries["kind"].line, t.keyPath("kind"), fmt.Sprintf("%q is not a kind", d.kind), kindRemedy)
		}
		if _, ok := t.entries["min"]; ok {
			d.bounds.min = r.number(t, "min", defaultBounds, 0)
		}
		if _, ok := t.entries["max"]; ok {
			d.bounds.max = r.number(t, "max", defaultBounds, 0)
		}
		d.defaultValue, d.hasDefault = r.value(t, "default")
		if d.hasDefault {
			r.checkKind(t.entries["default"].line, t.keyPath("default"), d, d.defaultValue)
		}
		declared[t.lastKey()] = d
	}
	return declared
}

const kindRemedy = `write kind = "integer", "number", "boolean" or "string"`

// isKind reports whether kind is a kind of parameter.
func isKind(kind string) bool {
	return kind == "integer" || kind == "number" || kind == "boolean" || kind == "string"
}

// checkKind reports a value that is not of the declared kind or is out of range.
func (r *reader) checkKind(line int, key string, d declaration, v any) {
	ok := false
	switch d.kind {
	case "integer":
		_, ok = v.(int64)
	case "number":
		_, ok = numberValue(v)
	case "boolean":
		_, ok = v.(bool)
	case "string":
		_, ok = v.(string)
	}
	if !ok {
		r.report(line, key, fmt.Sprintf("%v is not of kind %s", v, d.kind), "write a value of that kind")
		return
	}
	if x, isNumber := numberValue(v); isNumber && !d.bounds.contains(x) {
		r.report(line, key, fmt.Sprintf("%v is out of bounds", x), fmt.Sprintf("write a value from %v", d.bounds))
	}
	if s, isText := v.(string); isText && strings.HasPrefix(s, reference) {
		r.report(line, key, "refers to another parameter", "write the value itself")
	}
}

// values returns the values of the parameters: those in the [values] table, and the defaults of the others.
func (r *reader) values(root *table, declared map[string]declaration) map[string]any {
	values := make(map[string]any, len(declared))
	for name, d := range declared {
		if d.hasDefault {
			values[name] = d.defaultValue
		}
	}
	given := &table{path: "values"}
	if e, ok := root.entries["values"]; ok && e.sub != nil {
		given = e.sub
	}
	for _, name := range given.sortedKeys() {
		e := given.entries[name]
		d, ok := declared[name]
		if !ok {
			r.report(e.line, given.keyPath(name), "the template declares no such parameter", "remove it or declare it in the template")
			continue
		}
		if e.sub != nil {
			r.report(e.line, given.keyPath(name), "is a table", "write a single value")
			continue
		}
		r.checkKind(e.line, given.keyPath(name), d, e.value)
		values[name] = e.value
	}
	for _, name := range sortedNames(declared) {
		if _, ok := values[name]; !ok {
			r.report(given.line, given.keyPath(name), "is missing", fmt.Sprintf("write %s = a value of kind %s", name, declared[name].kind))
		}
	}
	return values
}
