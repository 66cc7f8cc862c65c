package timeline_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"siskincross/core/event"
	"siskincross/io/timeline"
)

// assertOrder checks the details of events and their order.
func assertOrder(t *testing.T, events []event.Event, want ...string) {
	t.Helper()
	is := is.New(t)
	var got []string
	for _, e := range events {
		got = append(got, e.Detail)
	}
	is.Equal(got, want)
}

// TestMergeFollowsMessages checks that a message's receipt is ordered after its sending although the
// sender's clock is an hour ahead of the receiver's.
func TestMergeFollowsMessages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ahead := &timeline.Recorder{Process: "ahead"}
		ahead.Observe(event.Timestamp{WallMillis: time.Now().Add(time.Hour).UnixMilli()})
		behind := &timeline.Recorder{Process: "behind"}

		ahead.Record(event.Event{Detail: "sent"})
		behind.Observe(ahead.Now())
		behind.Record(event.Event{Detail: "received"})
		time.Sleep(time.Second)
		behind.Record(event.Event{Detail: "later"})

		assertOrder(t, timeline.Merge(behind.Events(), ahead.Events()), "sent", "received", "later")
	})
}

func TestMergeDropsRepeats(t *testing.T) {
	r := &timeline.Recorder{Process: "a"}
	r.Record(event.Event{Detail: "once"})
	assertOrder(t, timeline.Merge(r.Events(), r.Events()), "once")
}

func TestRecorderKeepsNewest(t *testing.T) {
	r := &timeline.Recorder{Process: "a", Capacity: 2}
	for _, detail := range []string{"first", "second", "third"} {
		r.Record(event.Event{Number: event.DutyTaken, Detail: detail})
	}
	assertOrder(t, r.Events(), "second", "third")
}

// TestDebugEventsDoNotEvictOthers checks that events of debug level have a ring of their own.
func TestDebugEventsDoNotEvictOthers(t *testing.T) {
	r := &timeline.Recorder{Process: "a", Capacity: 2}
	r.Record(event.Event{Number: event.DutyTaken, Detail: "duty"})
	for range 100 {
		r.Record(event.Event{Number: event.RequestAnswered, Detail: "request"})
	}
	assertOrder(t, r.Events(), "duty", "request", "request")
}

func TestSelect(t *testing.T) {
	events := []event.Event{
		{Host: "h1", Pool: "p", Detail: "both"},
		{Host: "h1", Detail: "host only"},
		{Pool: "p", Detail: "pool only"},
	}
	tests := []struct {
		name   string
		filter timeline.Filter
		want   []string
	}{
		{"nothing named", timeline.Filter{}, []string{"both", "host only", "pool only"}},
		{"host", timeline.Filter{Host: "h1"}, []string{"both", "host only"}},
		{"host and pool", timeline.Filter{Host: "h1", Pool: "p"}, []string{"both"}},
		{"absent request", timeline.Filter{Request: "r"}, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			assertOrder(t, timeline.Select(events, tt.filter), tt.want...)
		})
	}
}

func TestCausalChain(t *testing.T) {
	events := []event.Event{
		{ID: "a", Detail: "root"},
		{ID: "b", Cause: "a", Detail: "middle"},
		{ID: "c", Cause: "b", Detail: "leaf"},
		{ID: "x", Cause: "y", Detail: "cycle x"},
		{ID: "y", Cause: "x", Detail: "cycle y"},
	}
	t.Run("chain", func(t *testing.T) {
		assertOrder(t, timeline.CausalChain(events, "c"), "root", "middle", "leaf")
	})
	t.Run("cycle ends", func(t *testing.T) {
		assertOrder(t, timeline.CausalChain(events, "x"), "cycle y", "cycle x")
	})
}
