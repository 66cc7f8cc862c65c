package timeline

import (
	"sort"

	"siskincross/core/event"
)

// Filter selects events by the objects that they concern. An empty field matches every event.
type Filter struct {
	Host    string `json:"host,omitempty"`
	Pool    string `json:"pool,omitempty"`
	Job     string `json:"job,omitempty"`
	Request string `json:"request,omitempty"`
}

// Matches reports whether e matches every field of the filter.
func (f Filter) Matches(e event.Event) bool {
	return matchesField(f.Host, e.Host) &&
		matchesField(f.Pool, e.Pool) &&
		matchesField(f.Job, e.Job) &&
		matchesField(f.Request, e.Request)
}

func matchesField(want, got string) bool {
	return want == "" || want == got
}

// Select returns the events that match f in their original order.
func Select(events []event.Event, f Filter) []event.Event {
	var selected []event.Event
	for _, e := range events {
		if f.Matches(e) {
			selected = append(selected, e)
		}
	}
	return selected
}

// Merge returns the events of several processes ordered by their hybrid logical
// clocks, without duplicates. Events with equal timestamps are ordered by process,
// so that the order does not depend on the order of the lists.
func Merge(lists ...[]event.Event) []event.Event {
	seen := make(map[event.ID]bool)
	var merged []event.Event
	for _, list := range lists {
		for _, e := range list {
			if !seen[e.ID] {
				seen[e.ID] = true
				merged = append(merged, e)
			}
		}
	}
	sort.SliceStable(merged, func(i, j int) bool { return precedes(merged[i], merged[j]) })
	return merged
}

// precedes reports whether a is ordered before b.
func precedes(a, b event.Event) bool {
	if a.Time != b.Time {
		return a.Time.Before(b.Time)
	}
	return a.Process < b.Process
}

// CausalChain returns the event with an ID and its chain of causes, oldest first.
// The chain ends at a cause that isn't in events or that is in the chain already.
func CausalChain(events []event.Event, id event.ID) []event.Event {
	byID := make(map[event.ID]event.Event, len(events))
	for _, e := range events {
		byID[e.ID] = e
	}
	var chain []event.Event
	for {
		e, ok := byID[id]
		if !ok {
			break
		}
		delete(byID, id)
		chain = append([]event.Event{e}, chain...)
		id = e.Cause
	}
	return chain
}
