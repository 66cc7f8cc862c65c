package node

import (
	_ "embed"
	"sync"

	"siskincross/core/chart"
)

//go:embed process.toml
var chartText string

// Chart is the state chart of an entry host's process.
var Chart = chart.MustParse(chartText)

// States and events of Chart.
const (
	stateServing chart.State = "serving"
	stateLeaving chart.State = "leaving"

	eventConfigurationHeld chart.Event = "configuration-held"
	eventStop              chart.Event = "stop"
	eventLingerEnded       chart.Event = "linger-ended"
	eventDrained           chart.Event = "drained"
	eventHandedOver        chart.Event = "handed-over"
	eventKill              chart.Event = "kill"
)

// state is the current state of a process. The zero value is the chart's initial state.
type state struct {
	mu      sync.Mutex
	current chart.State
}

// advance makes the chart's transition for the event e, or returns an error if the current state has none.
func (s *state) advance(e chart.Event) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	next, err := Chart.Next(s.currentOrInitial(), e)
	if err != nil {
		return err
	}
	s.current = next
	return nil
}

// get returns the current state.
func (s *state) get() chart.State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.currentOrInitial()
}

// currentOrInitial returns the current state. The caller must hold mu.
func (s *state) currentOrInitial() chart.State {
	if s.current == "" {
		return Chart.Initial
	}
	return s.current
}
