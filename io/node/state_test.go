package node

import (
	"testing"

	"github.com/matryer/is"

	"siskincross/core/chart"
)

// TestGracefulShutdownFollowsTheChart checks that the chart allows the events of a graceful shutdown in order.
func TestGracefulShutdownFollowsTheChart(t *testing.T) {
	is := is.New(t)
	var s state
	is.Equal(s.get(), Chart.Initial)
	for _, e := range []chart.Event{eventConfigurationHeld, eventStop, eventLingerEnded, eventDrained, eventHandedOver} {
		is.NoErr(s.advance(e))
	}
	is.True(Chart.IsFinal(s.get()))
	is.True(s.advance(eventKill) != nil) // a stopped process can't be killed
}
