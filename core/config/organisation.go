package config

import "sort"

// WithVersion returns e with the given version.
func (e Expanded) WithVersion(v Version) Expanded {
	e.Version = v
	return e
}

// ForOrganisation returns the part of e that belongs to one organisation.
func (e Expanded) ForOrganisation(name string) Expanded {
	return Expanded{
		Version: e.Version,
		Pools:   filter(e.Pools, func(p Pool) bool { return p.Organisation == name }),
		Queues:  filter(e.Queues, func(q Queue) bool { return q.Organisation == name }),
		Teams:   filter(e.Teams, func(t Team) bool { return t.Organisation == name }),
	}
}

// WithOrganisation returns e with the part of one organisation replaced. Pools, queues and teams are ordered by
// name.
func (e Expanded) WithOrganisation(name string, part Expanded) Expanded {
	replaced := Expanded{
		Version: e.Version,
		Pools:   append(filter(e.Pools, func(p Pool) bool { return p.Organisation != name }), part.Pools...),
		Queues:  append(filter(e.Queues, func(q Queue) bool { return q.Organisation != name }), part.Queues...),
		Teams:   append(filter(e.Teams, func(t Team) bool { return t.Organisation != name }), part.Teams...),
	}
	sort.Slice(replaced.Pools, func(i, j int) bool { return replaced.Pools[i].Name < replaced.Pools[j].Name })
	sort.Slice(replaced.Queues, func(i, j int) bool { return replaced.Queues[i].Name < replaced.Queues[j].Name })
	sort.Slice(replaced.Teams, func(i, j int) bool { return replaced.Teams[i].Name < replaced.Teams[j].Name })
	return replaced
}

// filter returns a new slice of the items that satisfy condition.
func filter[T any](items []T, condition func(T) bool) []T {
	filtered := make([]T, 0, len(items))
	for _, item := range items {
		if condition(item) {
			filtered = append(filtered, item)
		}
	}
	return filtered
}
