package config

import (
	"encoding/json"
	"fmt"
	"sort"
)

// Difference is one value that two configurations disagree on.
type Difference struct {
	// Path is like "pools.boutiques-ephemeres/port-louis.hosts".
	Path string `json:"path"`
	// Before and After are empty where the value does not exist.
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// String returns the difference as one line of text.
func (d Difference) String() string {
	switch {
	case d.Before == "":
		return fmt.Sprintf("+ %s = %s", d.Path, d.After)
	case d.After == "":
		return fmt.Sprintf("- %s = %s", d.Path, d.Before)
	}
	return fmt.Sprintf("~ %s: %s -> %s", d.Path, d.Before, d.After)
}

// Differences returns what differs from before to after, ordered by path. Versions are not compared.
func Differences(before, after Expanded) []Difference {
	old, current := values(before), values(after)
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

// values returns every value of e by its path.
func values(e Expanded) map[string]string {
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

// flatten adds the JSON fields of item, so that a new field is compared without a change here.
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
