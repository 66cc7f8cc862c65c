package node

import (
	"testing"

	"github.com/matryer/is"

	"siskincross/core/chart"
)

func TestGracefulShutdownFollowsTheChart(t *testing.T) {
	is := is.New(t)
	var s state
	is.Equal(s.get(), Chart.Initial)
	for _, e := range []chart.Event{eventConfigurationHeld, eventStop, eventLingerEnded, eventDrained, eventHandedOver} {
		is.NoErr(s.advance(e))
	}
	is.True(Chart.IsFinal(s.get()))
	is.True(s.advance(eventKill) != nil) // a process ends once
}
