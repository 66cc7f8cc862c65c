package config

import (
	"fmt"
	"regexp"
	"sort"
	"strings"
	"time"
)

const (
	// maxNameLength bounds the names of pools, queues, teams, parameters and organisations.
	maxNameLength = 63
	// reference begins a string that stands for a parameter's value.
	reference = "$"
)

var kebabCase = regexp.MustCompile(`^[a-z][a-z0-9]*(-[a-z0-9]+)*$`)

// limits bounds a number, both ends included.
type limits struct {
	min, max float64
}

func (l limits) holds(x float64) bool { return x >= l.min && x <= l.max }

func (l limits) String() string { return fmt.Sprintf("%v to %v", l.min, l.max) }

// reader takes typed values out of tables and collects the problems.
type reader struct {
	file       string
	parameters map[string]any
	used       map[string]bool
	problems   []Problem
}

func (r *reader) report(line int, key, reason, remedy string) {
	r.problems = append(r.problems, Problem{File: r.file, Line: line, Key: key, Reason: reason, Remedy: remedy})
}

// value returns the value of a key with a reference resolved, and whether there is one.
func (r *reader) value(t *table, key string) (any, bool) {
	e, ok := t.entries[key]
	if !ok {
		return nil, false
	}
	if e.sub != nil {
		r.report(e.line, t.join(key), "is a table", "write a single value")
		return nil, false
	}
	text, ok := e.value.(string)
	if !ok || !strings.HasPrefix(text, reference) {
		return e.value, true
	}
	return r.resolve(t, key, strings.TrimPrefix(text, reference))
}

func (r *reader) resolve(t *table, key, name string) (any, bool) {
	r.used[name] = true
	v, ok := r.parameters[name]
	if !ok {
		r.report(t.entries[key].line, t.join(key), fmt.Sprintf("there is no value for parameter %q", name),
			fmt.Sprintf("declare it as [parameters.%s] and give it a value", name))
	}
	return v, ok
}

// number returns a number within bounds. When the key is missing it returns missing,
// or reports a problem if missing is negative.
func (r *reader) number(t *table, key string, bounds limits, missing float64) float64 {
	if _, ok := t.entries[key]; !ok {
		if missing < 0 {
			r.report(t.line, t.join(key), "is missing", fmt.Sprintf("write %s = N with N from %v", key, bounds))
		}
		return missing
	}
	v, ok := r.value(t, key)
	if !ok {
		return missing
	}
	x, ok := asNumber(v)
	if !ok {
		r.report(t.entries[key].line, t.join(key), fmt.Sprintf("%v is not a number", v), fmt.Sprintf("write a number from %v", bounds))
		return missing
	}
	if !bounds.holds(x) {
		r.report(t.entries[key].line, t.join(key), fmt.Sprintf("%v is out of bounds", x), fmt.Sprintf("write a number from %v", bounds))
	}
	return x
}

func asNumber(v any) (float64, bool) {
	switch x := v.(type) {
	case int64:
		return float64(x), true
	case float64:
		return x, true
	}
	return 0, false
}

// count returns a whole number within bounds.
func (r *reader) count(t *table, key string, bounds limits, missing int) int {
	x := r.number(t, key, bounds, float64(missing))
	if x != float64(int(x)) {
		r.report(t.entries[key].line, t.join(key), fmt.Sprintf("%v is not a whole number", x), "write a whole number")
	}
	return int(x)
}

// flag returns a boolean; a missing key is false.
func (r *reader) flag(t *table, key string) bool {
	v, ok := r.value(t, key)
	if !ok {
		return false
	}
	b, ok := v.(bool)
	if !ok {
		r.report(t.entries[key].line, t.join(key), fmt.Sprintf("%v is not a boolean", v), "write true or false")
	}
	return b
}

// text returns a string; a missing key is reported.
func (r *reader) text(t *table, key, remedy string) string {
	v, ok := r.value(t, key)
	if !ok {
		if _, there := t.entries[key]; !there {
			r.report(t.line, t.join(key), "is missing", remedy)
		}
		return ""
	}
	s, ok := v.(string)
	if !ok {
		r.report(t.entries[key].line, t.join(key), fmt.Sprintf("%v is not a string", v), remedy)
	}
	return s
}

// duration returns a positive duration of at most bound; a missing key is reported.
func (r *reader) duration(t *table, key string, bound time.Duration) time.Duration {
	remedy := fmt.Sprintf(`write a duration like "2s", above zero and up to %s`, bound)
	text := r.text(t, key, remedy)
	if text == "" {
		return 0
	}
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 || d > bound {
		r.report(t.entries[key].line, t.join(key), fmt.Sprintf("%q is not such a duration", text), remedy)
	}
	return d
}

// tables returns the tables under a key, ordered by name, and reports names that are not kebab case.
func (r *reader) tables(t *table, key string) []*table {
	e, ok := t.entries[key]
	if !ok {
		return nil
	}
	if e.sub == nil {
		r.report(e.line, t.join(key), "is not a table", fmt.Sprintf("write tables like [%s.name]", key))
		return nil
	}
	var list []*table
	for _, name := range e.sub.names() {
		child := e.sub.entries[name]
		path := e.sub.join(name)
		if child.sub == nil {
			r.report(child.line, path, "is not a table", fmt.Sprintf("write tables like [%s.name]", key))
			continue
		}
		r.checkName(child.line, path, name)
		list = append(list, child.sub)
	}
	return list
}

func (r *reader) checkName(line int, key, name string) {
	if !kebabCase.MatchString(name) || len(name) > maxNameLength {
		r.report(line, key, fmt.Sprintf("the name %q is not kebab case", name),
			fmt.Sprintf("use lower-case letters, digits and single hyphens, at most %d characters", maxNameLength))
	}
}

// known reports every key of t that is not in keys.
func (r *reader) known(t *table, keys ...string) {
	sort.Strings(keys)
	for _, name := range t.names() {
		at := sort.SearchStrings(keys, name)
		if at == len(keys) || keys[at] != name {
			r.report(t.entries[name].line, t.join(name), "is not a known key", "use one of "+strings.Join(keys, ", "))
		}
	}
}

// name returns the last part of a table's path.
func (t *table) name() string {
	return t.path[strings.LastIndex(t.path, ".")+1:]
}
