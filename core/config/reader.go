package config

import (
	"fmt"
	"regexp"
	"sort"
	"strings"
	"time"
)

const (
	// maxNameLength is the maximum length of the names of pools, queues, teams, parameters and organisations.
	maxNameLength = 63
	// reference is the prefix of a string that refers to the value of a parameter.
	reference = "$"
)

var kebabCase = regexp.MustCompile(`^[a-z][a-z0-9]*(-[a-z0-9]+)*$`)

// numberRange is a closed interval of numbers.
type numberRange struct {
	min, max float64
}

func (r numberRange) contains(x float64) bool { return x >= r.min && x <= r.max }

func (r numberRange) String() string { return fmt.Sprintf("%v to %v", r.min, r.max) }

// reader extracts typed values from tables and collects the problems.
type reader struct {
	file       string
	parameters map[string]any
	used       map[string]bool
	problems   []Problem
}

// report adds a problem.
func (r *reader) report(line int, key, reason, remedy string) {
	r.problems = append(r.problems, Problem{File: r.file, Line: line, Key: key, Reason: reason, Remedy: remedy})
}

// value returns the value of a key, with a reference to a parameter resolved, and whether exists is one.
func (r *reader) value(t *table, key string) (any, bool) {
	e, ok := t.entries[key]
	if !ok {
		return nil, false
	}
	if e.sub != nil {
		r.report(e.line, t.keyPath(key), "is a table", "write a single value")
		return nil, false
	}
	text, ok := e.value.(string)
	if !ok || !strings.HasPrefix(text, reference) {
		return e.value, true
	}
	return r.resolve(t, key, strings.TrimPrefix(text, reference))
}

// resolve returns the value of a parameter and marks the parameter as used.
func (r *reader) resolve(t *table, key, name string) (any, bool) {
	r.used[name] = true
	v, ok := r.parameters[name]
	if !ok {
		r.report(t.entries[key].line, t.keyPath(key), fmt.Sprintf("there is no value for parameter %q", name),
			fmt.Sprintf("declare it as [parameters.%s] and give it a value", name))
	}
	return v, ok
}

// number returns a number within bounds. If the key is missing, it returns defaultValue, or reports a problem
// if defaultValue is negative.
func (r *reader) number(t *table, key string, bounds numberRange, defaultValue float64) float64 {
	if _, ok := t.entries[key]; !ok {
		if defaultValue < 0 {
			r.report(t.line, t.keyPath(key), "is missing", fmt.Sprintf("write %s = N with N from %v", key, bounds))
		}
		return defaultValue
	}
	v, ok := r.value(t, key)
	if !ok {
		return defaultValue
	}
	x, ok := numberValue(v)
	if !ok {
		r.report(t.entries[key].line, t.keyPath(key), fmt.Sprintf("%v is not a number", v), fmt.Sprintf("write a number from %v", bounds))
		return defaultValue
	}
	if !bounds.contains(x) {
		r.report(t.entries[key].line, t.keyPath(key), fmt.Sprintf("%v is out of bounds", x), fmt.Sprintf("write a number from %v", bounds))
	}
	return x
}

// numberValue returns v as a number, and whether it is one.
func numberValue(v any) (float64, bool) {
	switch x := v.(type) {
	case int64:
		return float64(x), true
	case float64:
		return x, true
	}
	return 0, false
}

// integer returns a whole number within bounds.
func (r *reader) integer(t *table, key string, bounds numberRange, defaultValue int) int {
	x := r.number(t, key, bounds, float64(defaultValue))
	if x != float64(int(x)) {
		r.report(t.entries[key].line, t.keyPath(key), fmt.Sprintf("%v is not a whole number", x), "write a whole number")
	}
	return int(x)
}

// boolean returns a boolean. A missing key counts as false.
func (r *reader) boolean(t *table, key string) bool {
	v, ok := r.value(t, key)
	if !ok {
		return false
	}
	b, ok := v.(bool)
	if !ok {
		r.report(t.entries[key].line, t.keyPath(key), fmt.Sprintf("%v is not a boolean", v), "write true or false")
	}
	return b
}

// requiredString returns a string. A missing key is a problem.
func (r *reader) requiredString(t *table, key, remedy string) string {
	v, ok := r.value(t, key)
	if !ok {
		if _, exists := t.entries[key]; !exists {
			r.report(t.line, t.keyPath(key), "is missing", remedy)
		}
		return ""
	}
	s, ok := v.(string)
	if !ok {
		r.report(t.entries[key].line, t.keyPath(key), fmt.Sprintf("%v is not a string", v), remedy)
	}
	return s
}

// duration returns a positive duration of at most bound. A missing key is a problem.
func (r *reader) duration(t *table, key string, bound time.Duration) time.Duration {
	remedy := fmt.Sprintf(`write a duration like "2s", above zero and up to %s`, bound)
	text := r.requiredString(t, key, remedy)
	if text == "" {
		return 0
	}
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 || d > bound {
		r.report(t.entries[key].line, t.keyPath(key), fmt.Sprintf("%q is not such a duration", text), remedy)
	}
	return d
}

// tables returns the tables under a key, ordered by name. Names that are not in kebab case are problems.
func (r *reader) tables(t *table, key string) []*table {
	e, ok := t.entries[key]
	if !ok {
		return nil
	}
	if e.sub == nil {
		r.report(e.line, t.keyPath(key), "is not a table", fmt.Sprintf("write tables like [%s.name]", key))
		return nil
	}
	var list []*table
	for _, name := range e.sub.sortedKeys() {
		child := e.sub.entries[name]
		path := e.sub.keyPath(name)
		if child.sub == nil {
			r.report(child.line, path, "is not a table", fmt.Sprintf("write tables like [%s.name]", key))
			continue
		}
		r.checkName(child.line, path, name)
		list = append(list, child.sub)
	}
	return list
}

// checkName reports a name that is too long or not in kebab case.
func (r *reader) checkName(line int, key, name string) {
	if !kebabCase.MatchString(name) || len(name) > maxNameLength {
		r.report(line, key, fmt.Sprintf("the name %q is not kebab case", name),
			fmt.Sprintf("use lower-case letters, digits and single hyphens, at most %d characters", maxNameLength))
	}
}

// checkKeys reports every key of t that is not in keys.
func (r *reader) checkKeys(t *table, keys ...string) {
	sort.Strings(keys)
	for _, name := range t.sortedKeys() {
		at := sort.SearchStrings(keys, name)
		if at == len(keys) || keys[at] != name {
			r.report(t.entries[name].line, t.keyPath(name), "is not a known key", "use one of "+strings.Join(keys, ", "))
		}
	}
}

// lastKey returns the last component of the path of a table.
func (t *table) lastKey() string {
	return t.path[strings.LastIndex(t.path, ".")+1:]
}
