package event_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"siskincross/core/event"
)

func TestCatalogueAgreesWithNumbers(t *testing.T) {
	is := is.New(t)
	described := make(map[event.Number]bool)
	for _, entry := range event.Catalogue() {
		is.True(!described[entry.Number]) // described once
		described[entry.Number] = true
		is.True(entry.Subsystem != "")
		is.True(entry.Meaning != "")
	}
	for _, n := range event.NumberValues() {
		if !described[n] {
			t.Errorf("event %d %s is not in the catalogue", int(n), n)
		}
	}
	is.Equal(len(described), len(event.NumberValues()))
}

func TestTimestampOrders(t *testing.T) {
	start := time.UnixMilli(1_000_000)
	t.Run("a clock that stands still", func(t *testing.T) {
		is := is.New(t)
		first := event.Timestamp{}.Next(start)
		is.True(first.Before(first.Next(start)))
	})
	t.Run("a clock that is set back", func(t *testing.T) {
		is := is.New(t)
		first := event.Timestamp{}.Next(start)
		is.True(first.Before(first.Next(start.Add(-time.Hour))))
	})
	t.Run("message from a process whose clock is ahead", func(t *testing.T) {
		is := is.New(t)
		remote := event.Timestamp{}.Next(start.Add(time.Hour))
		local := event.Timestamp{}.Next(start)
		is.True(remote.Before(local.Merge(remote, start)))
	})
}
