package runner_test

import (
	"testing"
	"time"
)

// TestTurnWithoutLinks is TestTurnOfAccepts for entry hosts that are not connected, as those of an earlier version: each transaction then
// carries one job, those of a part wait for each other for longer than one usually takes, and one that is given up still takes its turn.
func TestTurnWithoutLinks(t *testing.T) {
	withFakeSite(t, 97, 6, func(s *fakeSite) {
		s.store.slow(5 * time.Millisecond)
		time.Sleep(5 * time.Second)
		took, failed := s.turn(240, 6)
		s.is.True(failed <= (len(took)+failed)/20) // more is asked for than the part takes
	})
}
