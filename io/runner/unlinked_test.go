package runner_test

import (
	"testing"
	"time"
)

// TestTurnWithoutLinks is TestTurnOfAccepts for entry hosts without links, such as those of an earlier version. Each
// transaction then stores one job, transactions of a partition are queued for longer than one usually takes, and a
// transaction that the client has given up on still uses its slot in the queue.
func TestTurnWithoutLinks(t *testing.T) {
	withFakeSite(t, 97, 6, func(s *fakeSite) {
		s.store.setTransactionTime(5 * time.Millisecond)
		time.Sleep(5 * time.Second)
		latencies, failed := s.submitRoundRobin(240, 6)
		s.is.True(failed <= (len(latencies)+failed)/20) // the load exceeds what the partition can process
	})
}
