package runner_test

import (
	"context"
	"testing"
	"time"

	"siskincross/core/duty"
)

// withMixedCapacitySite runs a test on a site with one large entry host, "e2", and five small ones.
func withMixedCapacitySite(t *testing.T, test func(*fakeSite)) {
	t.Helper()
	small := duty.Capacity{MilliCores: 192, LinkMbps: 10, MemoryMB: 184}
	capacities := map[string]duty.Capacity{"e2": {MilliCores: 800, LinkMbps: 200, MemoryMB: 536}}
	for _, name := range []string{"e0", "e1", "e3", "e4", "e5"} {
		capacities[name] = small
	}
	runFakeSite(t, fakeSite{capacities: capacities}, 6, 2, test)
}

// assertHolderWithin waits until the pool's holder fulfils a condition. It fails if that takes too long.
func (s *fakeSite) assertHolderWithin(timeout time.Duration, accept func(name string) bool) {
	s.t.Helper()
	start := time.Now()
	for !accept(s.poolHolder()) {
		if time.Since(start) > timeout {
			s.t.Fatalf("%s holds the pool after %s", s.poolHolder(), timeout)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// TestUnequalEntryHosts guards against pools held by small entry hosts, which fall behind, while large ones are idle.
func TestUnequalEntryHosts(t *testing.T) {
	isLarge := func(name string) bool { return name == "e2" }
	isSmall := func(name string) bool { return name != "e2" }
	// Duties are not handed over before establishedAfter, so the first holder is still in place.
	t.Run("large entry host holds the pool from the start", func(t *testing.T) {
		withMixedCapacitySite(t, func(s *fakeSite) {
			s.is.Equal(s.poolHolder(), "e2")
			s.is.Equal(s.term(), 1)
		})
	})
	t.Run("small one takes over soon after the large one is killed", func(t *testing.T) {
		withMixedCapacitySite(t, func(s *fakeSite) {
			s.is.Equal(s.poolHolder(), "e2")
			s.kill("e2")
			s.assertHolderWithin(3*time.Second, isSmall)
			s.is.NoErr(s.submit("e0", "j", 4))
			s.is.True(s.awaitCompleted("e0", "j", 5*time.Second) < 2*time.Second)
		})
	})
	t.Run("large one that returns gets the pool again after a while", func(t *testing.T) {
		withMixedCapacitySite(t, func(s *fakeSite) {
			s.kill("e2")
			s.assertHolderWithin(3*time.Second, isSmall)
			s.start("e2")
			s.assertHolderWithin(8*time.Second, isLarge)
			s.is.NoErr(s.submit("e0", "j", 4))
			s.is.True(s.awaitCompleted("e0", "j", 5*time.Second) < time.Second)
			term := s.term()
			time.Sleep(time.Minute)
			s.is.Equal(s.term(), term)
		})
	})
	// All entry hosts are killed while a small one holds the pool. It resumes its duty at once, before any member has
	// seen the large one.
	t.Run("small one that resumes its duty hands it over", func(t *testing.T) {
		withMixedCapacitySite(t, func(s *fakeSite) {
			s.is.NoErr(s.entryHosts["e2"].manager.Leave(context.Background()))
			s.kill("e2")
			s.assertHolderWithin(3*time.Second, isSmall)
			for _, name := range []string{"e0", "e1", "e3", "e4", "e5"} {
				s.kill(name)
			}
			for _, name := range []string{"e0", "e1", "e2", "e3", "e4", "e5"} {
				s.start(name)
			}
			time.Sleep(200 * time.Millisecond)
			s.is.True(isSmall(s.poolHolder()))
			s.assertHolderWithin(8*time.Second, isLarge)
		})
	})
}
