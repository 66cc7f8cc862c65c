package runner_test

import (
	"testing"
	"time"
)

func TestTakeover(t *testing.T) {
	t.Run("job is run to its end", func(t *testing.T) {
		withFakeSite(t, 3, 2, func(s *fakeSite) {
			s.is.NoErr(s.submit("e0", "j", 4))
			s.is.True(s.completed("e1", "j", 2*time.Second) < time.Second)
		})
	})
	// All entry hosts are killed at once, and start again.
	t.Run("entry host takes the duties of its earlier incarnation up again at once", func(t *testing.T) {
		withFakeSite(t, 3, 2, func(s *fakeSite) {
			for _, name := range []string{"e0", "e1", "e2"} {
				s.kill(name)
			}
			for _, name := range []string{"e0", "e1", "e2"} {
				s.start(name)
			}
			time.Sleep(100 * time.Millisecond)
			s.is.NoErr(s.submit("e0", "j", 4))
			s.is.True(s.completed("e0", "j", 5*time.Second) < 1200*time.Millisecond)
		})
	})
	t.Run("duty of an entry host that is gone is taken by another", func(t *testing.T) {
		withFakeSite(t, 3, 2, func(s *fakeSite) {
			lost := s.holder()
			s.kill(lost)
			next := s.other(lost)
			s.is.NoErr(s.submit(next, "j", 4))
			s.is.True(s.completed(next, "j", 10*time.Second) < 4*time.Second)
		})
	})
}
