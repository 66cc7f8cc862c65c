package config

import (
	"encoding/json"
	"fmt"
	"sort"
)

// Difference is a value that differs between two configurations.
type Difference struct {
	// Path is the path of the value, such as "pools.boutiques-ephemeres/port-louis.hosts".
	Path string `json:"path"`
	// Before and After are empty if the value does not exist in that configuration.
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// String returns the difference as a line of text.
func (d Difference) String() string {
	switch {
	case d.Before == "":
		return fmt.Sprintf("+ %s = %s", d.Path, d.After)
	case d.After == "":
		return fmt.Sprintf("- %s = %s", d.Path, d.Before)
	}
	return fmt.Sprintf("~ %s: %s -> %s", d.Path, d.Before, d.After)
}

// Differences returns the values that differ between before and after, ordered by path. Version numbers are
// ignored.
func Differences(before, after Expanded) []Difference {
	old, current := valuesByPath(before), valuesByPath(after)
	paths := make(map[string]bool, len(current))
	for path := range old {
		paths[path] = true
	}
	for path := range current {
		paths[path] = true
	}
	var differences []Difference
	for path := range paths {
		if old[path] != current[path] {
			differences = append(differences, Difference{Path: path, Before: old[path], After: current[path]})
		}
	}
	sort.Slice(differences, func(i, j int) bool { return differences[i].Path < differences[j].Path })
	return differences
}

// valuesByPath returns all values of e by their paths.
func valuesByPath(e Expanded) map[string]string {
	all := make(map[string]string)
	for _, p := range e.Pools {
		flatten(all, "pools."+p.Name, p)
	}
	for _, q := range e.Queues {
		flatten(all, "queues."+q.Name, q)
	}
	for _, t := range e.Teams {
		flatten(all, "teams."+t.Name, t)
	}
	return all
}

// flatten adds the JSON fields of item to all. Fields are listed by the JSON encoding, so that new fields are
// compared without a change here.
func flatten(all map[string]string, path string, item any) {
	content, err := json.Marshal(item)
	if err != nil {
		return
	}
	var fields map[string]json.RawMessage
	if json.Unmarshal(content, &fields) != nil {
		return
	}
	for name, value := range fields {
		if name != "name" && name != "organisation" {
			all[path+"."+name] = string(value)
		}
	}
}
