package runner_test

import (
	"fmt"
	"testing"
	"time"

	"siskincross/core/event"
	"siskincross/io/platform"
)

// TestAdmission guards against a worker that has to wait for its entry in the roster while commits of progress follow
// each other without a gap.
func TestAdmission(t *testing.T) {
	withFakeSite(t, 1, 3, func(s *fakeSite) {
		key := platform.RowKey{Table: "workers", Key: "w2"}
		_, err := s.store.commit(platform.RowTransaction{Deletes: []platform.RowKey{key}})
		s.is.NoErr(err)
		time.Sleep(3 * time.Second) // the roster no longer has the worker
		s.store.setTransactionTime(100 * time.Millisecond)
		var listedAgain time.Time
		for i := range 400 {
			go func() { _ = s.submit("e0", fmt.Sprintf("%016x", i), 1) }()
			time.Sleep(10 * time.Millisecond)
			if i == 150 {
				listedAgain = time.Now()
				s.store.put(key, s.workers["w2"].listing)
			}
		}
		s.is.True(s.workerListedTime("e0", "w2").Sub(listedAgain) < 500*time.Millisecond)
		time.Sleep(10 * time.Second) // all submissions have ended
	})
}

// workerListedTime returns when an entry host last admitted a worker.
func (s *fakeSite) workerListedTime(host, worker string) time.Time {
	h := s.entryHosts[host]
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := len(h.events) - 1; i >= 0; i-- {
		if e := h.events[i]; e.Number == event.WorkerListed && e.Host == worker {
			return time.UnixMilli(e.Time.WallMillis)
		}
	}
	s.t.Fatalf("worker %s was not listed", worker)
	return time.Time{}
}
