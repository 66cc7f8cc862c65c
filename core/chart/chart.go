// Package chart interprets state charts defined in TOML files.
//
// A chart lists states, events and transitions. In every state each event either triggers a transition or is
// refused with ErrRefused.
package chart

import (
	"fmt"
	"sort"

	"github.com/BurntSushi/toml"
)

// State is the name of a state.
type State string

// Event is the name of an event.
type Event string

// Chart is an immutable state chart, created by Parse.
type Chart struct {
	// Name is the name of what the chart describes.
	Name string `toml:"name"`
	// Initial is the initial state.
	Initial State `toml:"initial"`
	// Final holds the states without outgoing transitions.
	Final       []State      `toml:"final"`
	Transitions []Transition `toml:"transition"`

	next map[transitionKey]State
}

// Transition is a transition from any of the From states to To, triggered by an event.
type Transition struct {
	On   Event   `toml:"on"`
	From []State `toml:"from"`
	To   State   `toml:"to"`
	// Meaning describes in one sentence what happened.
	Meaning string `toml:"meaning"`
}

// transitionKey identifies a transition by its source state and event.
type transitionKey struct {
	state State
	event Event
}

// ErrRefused is returned if a state has no transition for an event.
type ErrRefused struct {
	Chart string
	State State
	Event Event
}

// Error implements error.
func (e ErrRefused) Error() string {
	return fmt.Sprintf("%s: event %q is refused in state %q", e.Chart, e.Event, e.State)
}

// ErrInvalid is returned for a text that is not a valid chart.
type ErrInvalid struct {
	Chart  string
	Reason string
}

// Error implements error.
func (e ErrInvalid) Error() string {
	return fmt.Sprintf("chart %q is invalid: %s", e.Chart, e.Reason)
}

// Parse reads a chart from TOML. It checks that every state is reachable and that every state that is not final
// has an outgoing transition.
func Parse(text string) (Chart, error) {
	var c Chart
	meta, err := toml.Decode(text, &c)
	if err != nil {
		return Chart{}, ErrInvalid{Chart: c.Name, Reason: err.Error()}
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return Chart{}, ErrInvalid{Chart: c.Name, Reason: fmt.Sprintf("unknown key %q", unknown[0])}
	}
	if err := c.indexTransitions(); err != nil {
		return Chart{}, err
	}
	return c, c.validate()
}

// MustParse is like Parse but panics if the chart is invalid. It is meant for charts embedded in the program.
func MustParse(text string) Chart {
	c, err := Parse(text)
	if err != nil {
		panic(err)
	}
	return c
}

// Next returns the state that follows s on event e, or ErrRefused if there is no transition.
func (c Chart) Next(s State, e Event) (State, error) {
	if to, ok := c.next[transitionKey{s, e}]; ok {
		return to, nil
	}
	return s, ErrRefused{Chart: c.Name, State: s, Event: e}
}

// States returns all states, sorted.
func (c Chart) States() []State {
	seen := map[State]bool{c.Initial: true}
	for k, to := range c.next {
		seen[k.state] = true
		seen[to] = true
	}
	return sortedKeys(seen)
}

// Events returns all events, sorted.
func (c Chart) Events() []Event {
	seen := map[Event]bool{}
	for k := range c.next {
		seen[k.event] = true
	}
	return sortedKeys(seen)
}

// IsFinal reports whether s is a final state.
func (c Chart) IsFinal(s State) bool {
	for _, f := range c.Final {
		if f == s {
			return true
		}
	}
	return false
}

// indexTransitions builds the lookup table of transitions.
func (c *Chart) indexTransitions() error {
	c.next = make(map[transitionKey]State)
	for _, t := range c.Transitions {
		for _, from := range t.From {
			k := transitionKey{from, t.On}
			if _, ok := c.next[k]; ok {
				return ErrInvalid{Chart: c.Name, Reason: fmt.Sprintf("state %q handles %q twice", from, t.On)}
			}
			c.next[k] = t.To
		}
	}
	return nil
}

// validate checks that states are reachable, and final if and only if they have no transitions.
func (c Chart) validate() error {
	reachable := c.reachableStates()
	for _, s := range c.States() {
		if !reachable[s] {
			return ErrInvalid{Chart: c.Name, Reason: fmt.Sprintf("state %q is unreachable", s)}
		}
		if c.IsFinal(s) == c.hasTransition(s) {
			return ErrInvalid{Chart: c.Name, Reason: fmt.Sprintf("state %q must be either final or left by an event", s)}
		}
	}
	return nil
}

// reachableStates returns the states that are reachable from the initial one.
func (c Chart) reachableStates() map[State]bool {
	reached := map[State]bool{c.Initial: true}
	pending := []State{c.Initial}
	for len(pending) > 0 {
		s := pending[0]
		pending = pending[1:]
		for k, to := range c.next {
			if k.state == s && !reached[to] {
				reached[to] = true
				pending = append(pending, to)
			}
		}
	}
	return reached
}

// hasTransition reports whether s has an outgoing transition.
func (c Chart) hasTransition(s State) bool {
	for k := range c.next {
		if k.state == s {
			return true
		}
	}
	return false
}

func sortedKeys[T ~string](set map[T]bool) []T {
	list := make([]T, 0, len(set))
	for item := range set {
		list = append(list, item)
	}
	sort.Slice(list, func(i, j int) bool { return list[i] < list[j] })
	return list
}
