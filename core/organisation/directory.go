package organisation

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Directory holds the organisations of one version of the configuration. It is immutable. The zero value holds none:
// callers then need no keys, and nothing is limited.
type Directory struct {
	byName map[string]Organisation
	byKey  map[KeyDigest]string
	// problems holds the settings that are not in force, and requiresKeys is true if the configuration names organisations,
	// also if none of them is in force.
	problems     []Problem
	requiresKeys bool
}

// Problem is a fault in the settings of one organisation. Nothing of the settings that it names is in force, except for an
// ambiguous key, which is the only thing that is then left out.
type Problem struct {
	// Organisation is the name of the organisation, or its position among the settings if it has no readable name.
	Organisation string
	// Reason contains no key and no digest of a key.
	Reason string
}

// NewDirectory returns the directory of these organisations. An organisation whose name another one has, and a key that
// several organisations have, are left out for all of them: neither says whose they are.
func NewDirectory(organisations []Organisation) Directory {
	d := Directory{byName: make(map[string]Organisation), byKey: make(map[KeyDigest]string), requiresKeys: len(organisations) > 0}
	count := make(map[string]int)
	for _, o := range organisations {
		count[o.Name]++
	}
	owners := make(map[KeyDigest][]string)
	for _, o := range organisations {
		if count[o.Name] > 1 {
			continue
		}
		d.byName[o.Name] = o
		for _, k := range o.Keys {
			if !slices.Contains(owners[k], o.Name) {
				owners[k] = append(owners[k], o.Name)
			}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(count)) {
		if n := count[name]; n > 1 {
			d.problems = append(d.problems, Problem{name, fmt.Sprintf("%d organisations have this name; none of them is in force", n)})
		}
	}
	shared := make(map[string][]string)
	for k, names := range owners {
		if len(names) == 1 {
			d.byKey[k] = names[0]
			continue
		}
		for _, name := range names {
			shared[name] = append(shared[name], names...)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(shared)) {
		others := slices.DeleteFunc(slices.Compact(slices.Sorted(slices.Values(shared[name]))), func(n string) bool { return n == name })
		d.problems = append(d.problems, Problem{name, "has a key in common with " + strings.Join(others, ", ") + "; the key is refused"})
	}
	return d
}

// WithProblems returns a copy of the directory with the problems of organisations that could not be decoded.
func (d Directory) WithProblems(problems []Problem) Directory {
	d.requiresKeys = d.requiresKeys || len(problems) > 0
	d.problems = slices.Concat(d.problems, problems)
	return d
}

// Problems returns the faults of the settings. They are part of the version: each process that adopts it reports them.
func (d Directory) Problems() []Problem { return slices.Clone(d.problems) }

// RequiresKeys reports whether callers need keys. It is true also if the settings of all organisations are faulty, so that a
// mistake in the configuration admits nobody.
func (d Directory) RequiresKeys() bool { return d.requiresKeys }

// IsEmpty reports whether there are no organisations.
func (d Directory) IsEmpty() bool { return len(d.byName) == 0 }

// Names returns the sorted names of the organisations.
func (d Directory) Names() []string { return slices.Sorted(maps.Keys(d.byName)) }

// Find returns the organisation with this name.
func (d Directory) Find(name string) (Organisation, bool) {
	o, ok := d.byName[name]
	return o, ok
}

// FindByKey returns the organisation that holds a key. It compares digests, so its duration tells nothing about the key.
func (d Directory) FindByKey(digest KeyDigest) (Organisation, bool) {
	name, ok := d.byKey[digest]
	if !ok {
		return Organisation{}, false
	}
	return d.Find(name)
}
