package runner_test

import (
	"slices"
	"testing"
	"time"

	"siskincross/core/event"
	"siskincross/core/work"
	"siskincross/io/platform"
)

// eventsAbout returns the recorded events with a number.
func (h *fakeHost) eventsAbout(n event.Number) []event.Event {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(h.events), func(e event.Event) bool { return e.Number != n })
}

// TestRejectedEntries guards against entries of the directory that name no worker and leave no trace, or a line for each time that they are
// written, and against workers that are used after their entry became one.
func TestRejectedEntries(t *testing.T) {
	withFakeSite(t, 1, 2, func(s *fakeSite) {
		lines := func() int { return len(s.entryHosts["e0"].eventsAbout(event.WorkerEntryRejected)) }
		write := func(id string, value any) {
			for range 20 { // heartbeats
				s.store.put(platform.RowKey{Table: "workers", Key: id}, value)
				time.Sleep(500 * time.Millisecond)
			}
		}
		write("odd", 7)
		s.is.Equal(lines(), 1)
		write("odd", 8) // another reason
		s.is.Equal(lines(), 2)
		s.is.NoErr(s.submit("e0", "0000000000000001", 20))
		s.awaitCompleted("e0", "0000000000000001", 10*time.Second)

		s.is.NoErr(s.submit("e0", "0000000000000002", 20))
		time.Sleep(time.Second)
		write("w0", 7)
		s.is.Equal(lines(), 3)
		s.awaitCompleted("e0", "0000000000000002", 10*time.Second)
		starts := len(s.workers["w0"].firstStarts)
		s.is.NoErr(s.submit("e0", "0000000000000003", 20))
		s.awaitCompleted("e0", "0000000000000003", 30*time.Second)
		s.is.Equal(len(s.workers["w0"].firstStarts), starts)

		s.listWorker(s.workers["w0"])
		time.Sleep(2 * time.Second)
		write("w0", 7) // the same reason, after a sound entry
		s.is.Equal(lines(), 4)
	})
}

// TestEntryOfOtherWorkersAddress guards against a line and a call every few milliseconds about an entry at whose address another worker, or an
// earlier incarnation, answers for as long as the entry is there.
func TestEntryOfOtherWorkersAddress(t *testing.T) {
	for name, incarnation := range map[string]work.Incarnation{
		"another worker":         {Worker: "odd", StartMillis: 1},
		"an earlier incarnation": {Worker: "w0", StartMillis: maxTestStart},
	} {
		t.Run(name, func(t *testing.T) {
			withFakeSite(t, 1, 2, func(s *fakeSite) {
				listing := s.workers["w0"].listing
				listing.Incarnation = incarnation
				s.store.put(platform.RowKey{Table: "workers", Key: incarnation.Worker}, listing)
				calls := s.workers["w0"].renewals.Load()
				time.Sleep(time.Minute)
				s.is.True(len(s.entryHosts["e0"].eventsAbout(event.WorkerLost)) <= 1)
				s.is.True(s.workers["w0"].renewals.Load()-calls <= 600)
				s.is.NoErr(s.submit("e0", "0000000000000001", 4))
				s.awaitCompleted("e0", "0000000000000001", 10*time.Second)
			})
		})
	}
}

// maxTestStart is later than the start of any worker of a test.
const maxTestStart = 253402300799999
