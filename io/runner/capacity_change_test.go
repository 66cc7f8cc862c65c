package runner_test

import (
	"testing"
	"time"
)

// listCores lists a worker with another number of cores in the directory. The worker starts whatever it is told.
func (s *fakeSite) listCores(id string, cores int) {
	w := s.workers[id]
	w.mu.Lock()
	w.listing.Capacity.MilliCores = cores * 1000
	w.mu.Unlock()
	s.listWorker(w)
}

// mostRunningOn returns the highest number of running tasks on a worker until a time has passed.
func (s *fakeSite) mostRunningOn(id string, d time.Duration) int {
	most := 0
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		w := s.workers[id]
		w.mu.Lock()
		w.settleRuns()
		most = max(most, len(w.runs))
		w.mu.Unlock()
	}
	return most
}

// TestChangedCapacity guards against starts by a capacity that the directory no longer lists, also by the next holder.
func TestChangedCapacity(t *testing.T) {
	const listingTime = 1500 * time.Millisecond // for the directory to be read, and the tasks that run to end
	withFakeSite(t, 2, 2, func(s *fakeSite) {
		s.is.NoErr(s.submit("e0", "many", 3000))
		s.is.Equal(s.mostRunningOn("w0", time.Second), 10)
		s.listCores("w0", 2)
		time.Sleep(listingTime)
		s.is.Equal(s.mostRunningOn("w0", 2*time.Second), 2)
		s.kill(s.poolHolder())
		s.is.Equal(s.mostRunningOn("w0", 8*time.Second), 2)
		s.listCores("w0", 0)
		time.Sleep(listingTime)
		s.is.Equal(s.mostRunningOn("w0", 2*time.Second), 0)
		s.listCores("w0", 10)
		s.is.Equal(s.mostRunningOn("w0", listingTime), 10)
	})
}
