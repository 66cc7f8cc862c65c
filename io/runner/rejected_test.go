package runner_test

import (
	"testing"
	"time"

	"siskincross/core/event"
	"siskincross/io/platform"
)

// TestRejectedEntries guards against entries of the directory that name no worker and leave no trace, or a line for each time that they are
// written, and against workers that are used after their entry became one.
func TestRejectedEntries(t *testing.T) {
	withFakeSite(t, 1, 2, func(s *fakeSite) {
		lines := func() int {
			h := s.entryHosts["e0"]
			h.mu.Lock()
			defer h.mu.Unlock()
			n := 0
			for _, e := range h.events {
				if e.Number == event.WorkerEntryRejected {
					n++
				}
			}
			return n
		}
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
