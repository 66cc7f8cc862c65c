package organisation

import (
	"fmt"
	"strings"
)

// Difference is what one version of the configuration changes about the organisations of an earlier one.
type Difference struct {
	// Added and Removed are the sorted names of organisations, Changed those with another weight or limit.
	Added, Removed, Changed []string
	// AddedKeys holds the names of the organisations whose keys are taken from now on, and WithdrawnKeys of those whose keys
	// are no longer taken, by digest.
	AddedKeys, WithdrawnKeys map[KeyDigest]string
}

// Difference returns what next changes about d.
func (d Directory) Difference(next Directory) Difference {
	diff := Difference{AddedKeys: make(map[KeyDigest]string), WithdrawnKeys: make(map[KeyDigest]string)}
	for _, name := range next.Names() {
		after, _ := next.Find(name)
		before, known := d.Find(name)
		switch {
		case !known:
			diff.Added = append(diff.Added, name)
		case before.Weight != after.Weight || before.Limit != after.Limit:
			diff.Changed = append(diff.Changed, name)
		}
	}
	for _, name := range d.Names() {
		if _, kept := next.Find(name); !kept {
			diff.Removed = append(diff.Removed, name)
		}
	}
	for key, name := range d.byKey {
		if next.byKey[key] != name {
			diff.WithdrawnKeys[key] = name
		}
	}
	for key, name := range next.byKey {
		if d.byKey[key] != name {
			diff.AddedKeys[key] = name
		}
	}
	return diff
}

// IsEmpty reports whether nothing differs.
func (d Difference) IsEmpty() bool {
	return len(d.Added)+len(d.Removed)+len(d.Changed)+len(d.AddedKeys)+len(d.WithdrawnKeys) == 0
}

// maxNamed is the maximum number of organisations that a description names.
const maxNamed = 5

// String describes the difference without any key or digest.
func (d Difference) String() string {
	var parts []string
	for _, list := range []struct {
		what  string
		names []string
	}{{"added", d.Added}, {"removed", d.Removed}, {"other weight or limit", d.Changed}} {
		if n := len(list.names); n > 0 {
			parts = append(parts, fmt.Sprintf("%s %d: %s", list.what, n, firstNames(list.names)))
		}
	}
	for _, count := range []struct {
		what string
		n    int
	}{{"keys added", len(d.AddedKeys)}, {"keys withdrawn", len(d.WithdrawnKeys)}} {
		if count.n > 0 {
			parts = append(parts, fmt.Sprintf("%s %d", count.what, count.n))
		}
	}
	if len(parts) == 0 {
		return "unchanged"
	}
	return strings.Join(parts, "; ")
}

// firstNames returns the first names of a list, and how many there are beyond them.
func firstNames(names []string) string {
	if n := len(names) - maxNamed; n > 0 {
		return fmt.Sprintf("%s and %d others", strings.Join(names[:maxNamed], ", "), n)
	}
	return strings.Join(names, ", ")
}
