package runner_test

import (
	"context"
	"testing"
	"time"

	"siskincross/core/duty"
)

// withMixedCapacitySite runs a test on a site with one strong entry host, "e2", and five weak ones.
func withMixedCapacitySite(t *testing.T, test func(*fakeSite)) {
	t.Helper()
	weak := duty.Capacity{MilliCores: 192, LinkMbps: 10, MemoryMB: 184}
	capacities := map[string]duty.Capacity{"e2": {MilliCores: 800, LinkMbps: 200, MemoryMB: 536}}
	for _, name := range []string{"e0", "e1", "e3", "e4", "e5"} {
		capacities[name] = weak
	}
	runFakeSite(t, fakeSite{capacities: capacities}, 6, 2, test)
}

// assertHolderWithin waits until an entry host for which the condition is true holds the pool.
func (s *fakeSite) assertHolderWithin(longest time.Duration, by func(name string) bool) {
	s.t.Helper()
	began := time.Now()
	for !by(s.poolHolder()) {
		if time.Since(began) > longest {
			s.t.Fatalf("%s holds the pool after %s", s.poolHolder(), longest)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// Pools were held by weak entry hosts, which fell behind, while strong ones were idle.
func TestUnequalEntryHosts(t *testing.T) {
	isStrong := func(name string) bool { return name == "e2" }
	isWeak := func(name string) bool { return name != "e2" }
	// There is no hand-over before settledAfter, so the first holder is still there.
	t.Run("strong one holds the pool from the start", func(t *testing.T) {
		withMixedCapacitySite(t, func(s *fakeSite) {
			s.is.Equal(s.poolHolder(), "e2")
			s.is.Equal(s.term(), 1)
		})
	})
	t.Run("weak one has the pool soon after the strong one is killed", func(t *testing.T) {
		withMixedCapacitySite(t, func(s *fakeSite) {
			s.is.Equal(s.poolHolder(), "e2")
			s.kill("e2")
			s.assertHolderWithin(3*time.Second, isWeak)
			s.is.NoErr(s.submit("e0", "j", 4))
			s.is.True(s.awaitCompleted("e0", "j", 5*time.Second) < 2*time.Second)
		})
	})
	t.Run("strong one that comes back gets the pool again once it is settled", func(t *testing.T) {
		withMixedCapacitySite(t, func(s *fakeSite) {
			s.kill("e2")
			s.assertHolderWithin(3*time.Second, isWeak)
			s.start("e2")
			s.assertHolderWithin(8*time.Second, isStrong)
			s.is.NoErr(s.submit("e0", "j", 4))
			s.is.True(s.awaitCompleted("e0", "j", 5*time.Second) < time.Second)
			term := s.term()
			time.Sleep(time.Minute)
			s.is.Equal(s.term(), term)
		})
	})
	// All are killed while a weak one holds the pool: it takes its duty up again at once, before anybody has seen the strong one.
	t.Run("weak one that takes its own duty up again does not keep it", func(t *testing.T) {
		withMixedCapacitySite(t, func(s *fakeSite) {
			s.is.NoErr(s.entryHosts["e2"].manager.Leave(context.Background()))
			s.kill("e2")
			s.assertHolderWithin(3*time.Second, isWeak)
			for _, name := range []string{"e0", "e1", "e3", "e4", "e5"} {
				s.kill(name)
			}
			for _, name := range []string{"e0", "e1", "e2", "e3", "e4", "e5"} {
				s.start(name)
			}
			time.Sleep(200 * time.Millisecond)
			s.is.True(isWeak(s.poolHolder()))
			s.assertHolderWithin(8*time.Second, isStrong)
		})
	})
}
