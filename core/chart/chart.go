// Package chart interprets state charts that are kept in TOML files.
//
// A chart lists states, events and transitions. Every event is, in every
// state, either handled by a transition or refused by name.
package chart

import (
	"fmt"
	"sort"

	"github.com/BurntSushi/toml"
)

// State names a state of a chart.
type State string

// Event names an input of a chart.
type Event string

// Chart is an immutable state chart. Parse makes one.
type Chart struct {
	// Name is what the chart describes.
	Name string `toml:"name"`
	// Initial is the state that everything starts in.
	Initial State `toml:"initial"`
	// Final holds the states that nothing leaves.
	Final       []State      `toml:"final"`
	Transitions []Transition `toml:"transition"`

	next map[key]State
}

// Transition leads from each of the From states to To on an event.
type Transition struct {
	On   Event   `toml:"on"`
	From []State `toml:"from"`
	To   State   `toml:"to"`
	// Meaning says in one sentence what happened.
	Meaning string `toml:"meaning"`
}

type key struct {
	state State
	event Event
}

// ErrRefused is returned when a state does not handle an event.
type ErrRefused struct {
	Chart string
	State State
	Event Event
}

// Error implements error.
func (e ErrRefused) Error() string {
	return fmt.Sprintf("%s: event %q is refused in state %q", e.Chart, e.Event, e.State)
}

// ErrInvalid is returned when a chart's text is not a proper chart.
type ErrInvalid struct {
	Chart  string
	Reason string
}

// Error implements error.
func (e ErrInvalid) Error() string {
	return fmt.Sprintf("chart %q is invalid: %s", e.Chart, e.Reason)
}

// Parse reads a chart from TOML and checks that each state is reachable and
// each state that is not final can be left.
func Parse(text string) (Chart, error) {
	var c Chart
	meta, err := toml.Decode(text, &c)
	if err != nil {
		return Chart{}, ErrInvalid{Chart: c.Name, Reason: err.Error()}
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return Chart{}, ErrInvalid{Chart: c.Name, Reason: fmt.Sprintf("unknown key %q", unknown[0])}
	}
	if err := c.index(); err != nil {
		return Chart{}, err
	}
	return c, c.validate()
}

// MustParse is Parse for charts that are embedded in the program. It panics if the chart is invalid.
func MustParse(text string) Chart {
	c, err := Parse(text)
	if err != nil {
		panic(err)
	}
	return c
}

// Next returns the state that follows s on e, or ErrRefused.
func (c Chart) Next(s State, e Event) (State, error) {
	if to, ok := c.next[key{s, e}]; ok {
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
	return sorted(seen)
}

// Events returns all events, sorted.
func (c Chart) Events() []Event {
	seen := map[Event]bool{}
	for k := range c.next {
		seen[k.event] = true
	}
	return sorted(seen)
}

// IsFinal reports whether nothing leaves s.
func (c Chart) IsFinal(s State) bool {
	for _, f := range c.Final {
		if f == s {
			return true
		}
	}
	return false
}

func (c *Chart) index() error {
	c.next = make(map[key]State)
	for _, t := range c.Transitions {
		for _, from := range t.From {
			k := key{from, t.On}
			if _, ok := c.next[k]; ok {
				return ErrInvalid{Chart: c.Name, Reason: fmt.Sprintf("state %q handles %q twice", from, t.On)}
			}
			c.next[k] = t.To
		}
	}
	return nil
}

func (c Chart) validate() error {
	reachable := c.reachable()
	for _, s := range c.States() {
		if !reachable[s] {
			return ErrInvalid{Chart: c.Name, Reason: fmt.Sprintf("state %q is unreachable", s)}
		}
		if c.IsFinal(s) == c.leavable(s) {
			return ErrInvalid{Chart: c.Name, Reason: fmt.Sprintf("state %q must be either final or left by an event", s)}
		}
	}
	return nil
}

func (c Chart) reachable() map[State]bool {
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

func (c Chart) leavable(s State) bool {
	for k := range c.next {
		if k.state == s {
			return true
		}
	}
	return false
}

func sorted[T ~string](set map[T]bool) []T {
	list := make([]T, 0, len(set))
	for item := range set {
		list = append(list, item)
	}
	sort.Slice(list, func(i, j int) bool { return list[i] < list[j] })
	return list
}
