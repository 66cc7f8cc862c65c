package runner_test

import (
	"testing"
	"time"
)

// TestNewcomerReachesOthers guards against tasks that run twice because a process that started after all others had lost the store has
// it, and reaches those that the cut-off holder asks, but not the holder.
func TestNewcomerReachesOthers(t *testing.T) {
	withRunningTasks(t, 7, func(s *fakeSite) {
		holder := s.poolHolder()
		s.isolateBesideLinks("w0", holder)
		s.setSilent(s.hostNames(), true)
		s.peers.injectFault(s.peers.hung, holder) // stands for the link of the new process to the holder: nobody else calls it
		time.Sleep(time.Second)
		s.start("late")
		s.assertRunsOnce(30 * time.Second)
	})
}

// TestReturningMemberReachesOthers guards against tasks that run twice because a member that lapsed so long ago that the holder doesn't
// count it any more gets the store back just as all others lose it, and doesn't reach the holder.
func TestReturningMemberReachesOthers(t *testing.T) {
	for _, linked := range []bool{true, false} {
		t.Run(map[bool]string{true: "reaches the holder", false: "does not reach the holder"}[linked], func(t *testing.T) {
			withRunningTasks(t, 7, func(s *fakeSite) {
				holder, others := s.splitHosts(6)
				returning := others[:1]
				s.setSilent(returning, true)
				time.Sleep(70 * time.Second)
				s.isolateBesideLinks("w0", holder...)
				s.setSilent(others[1:], true)
				s.setSilent(returning, false)
				if !linked {
					s.peers.injectFault(s.peers.hung, holder[0])
				}
				s.assertRunsOnce(30 * time.Second)
				s.is.Equal(s.poolHolder(), returning[0])
			})
		})
	}
}
