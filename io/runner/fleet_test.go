package runner_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"siskincross/core/duty"
	"siskincross/core/event"
	"siskincross/io/platform"
)

const (
	// manyHostsPools is the number of pools of a deployment with largeSiteHosts.
	manyHostsPools = 4
	// takeoverBound is how long a job may wait for its first task if its pool's holder was killed and other active members are left.
	takeoverBound = 3 * time.Second
	// activationBound is takeoverBound and the time between two looks of members that stand by.
	activationBound = takeoverBound + 1500*time.Millisecond
)

// largeHosts are those with more capacity than the others.
var largeHosts = []string{"e2", "e7", "e12", "e17", "e22", "e27", "e32", "e37"}

// withManyHosts runs a test in virtual time on a deployment of many entry hosts, of which most stand by.
func withManyHosts(t *testing.T, test func(*fakeSite)) {
	t.Helper()
	t.Parallel()
	capacities := make(map[string]duty.Capacity, largeSiteHosts)
	for i := range largeSiteHosts {
		capacities[fmt.Sprintf("e%d", i)] = duty.Capacity{MilliCores: 192, LinkMbps: 10, MemoryMB: 184}
	}
	for _, name := range largeHosts {
		capacities[name] = duty.Capacity{MilliCores: 800, LinkMbps: 200, MemoryMB: 536}
	}
	site := fakeSite{extraPools: manyHostsPools - 1, movableHosts: true, startInterval: hostStartInterval, capacities: capacities}
	runFakeSite(t, site, largeSiteHosts, 2, func(s *fakeSite) {
		time.Sleep(settlingTime)
		test(s)
	})
}

// activeHosts returns the entry hosts that have a member row, sorted.
func (s *fakeSite) activeHosts() []string {
	var names []string
	for _, row := range s.store.readRange(platform.RangeQuery{Table: "fleet"}).Rows {
		name, _, _ := strings.Cut(strings.TrimPrefix(row.Key, "member/"), "/")
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// dutyTerms returns how often each duty was taken.
func (s *fakeSite) dutyTerms() map[string]int {
	terms := make(map[string]int)
	for _, part := range s.store.parts("fleet") {
		for _, row := range s.store.readRange(platform.RangeQuery{Table: "fleet", Partition: part, From: "holder"}).Rows {
			var held struct{ Term int }
			s.is.NoErr(json.Unmarshal(row.Value, &held))
			if part != "" {
				terms[part] = held.Term
			}
		}
	}
	return terms
}

// eventCount counts an event at all entry hosts that run.
func (s *fakeSite) eventCount(number event.Number) int {
	count := 0
	for _, h := range s.entryHosts {
		h.mu.Lock()
		for _, e := range h.events {
			if e.Number == number {
				count++
			}
		}
		h.mu.Unlock()
	}
	return count
}

// assertTakenOver hands a job in and checks that its first task is started in time after a fault that began some time ago.
func (s *fakeSite) assertTakenOver(at string, ago, bound time.Duration) {
	s.t.Helper()
	began := time.Now().Add(-ago)
	s.is.NoErr(s.submit(at, "j", 1))
	s.awaitCompleted(at, "j", 20*time.Second)
	first := 20 * time.Second
	for _, w := range s.workers {
		for _, started := range w.firstStarts {
			first = min(first, started.Sub(began))
		}
	}
	s.t.Logf("first start after %s", first)
	if first > bound {
		s.t.Errorf("the first task is started after %s, not within %s", first, bound)
	}
}

// standbyHost returns an entry host without a member row.
func (s *fakeSite) standbyHost() string {
	active := s.activeHosts()
	for name := range s.entryHosts {
		if !slices.Contains(active, name) {
			return name
		}
	}
	s.t.Fatal("no entry host stands by")
	return ""
}

// Many entry hosts cost no more than a few, and still any number of them may be lost at once.
func TestManyEntryHosts(t *testing.T) {
	t.Run("most stand by, and nothing moves", func(t *testing.T) {
		withManyHosts(t, func(s *fakeSite) {
			s.is.True(len(s.activeHosts()) < largeSiteHosts/3)
			s.is.Equal(s.eventCount(event.MemberActive), 0)
			before, terms := s.activeHosts(), s.dutyTerms()
			time.Sleep(time.Minute)
			s.is.Equal(s.activeHosts(), before)
			s.is.Equal(s.dutyTerms(), terms)
		})
	})
	for i := range 2 {
		t.Run(fmt.Sprint("holder is killed ", i), func(t *testing.T) {
			withManyHosts(t, func(s *fakeSite) {
				time.Sleep(time.Duration(i) * 500 * time.Millisecond)
				s.kill(s.poolHolder())
				s.assertTakenOver(s.standbyHost(), 0, takeoverBound)
			})
		})
		t.Run(fmt.Sprint("ten are killed at once, the holder among them ", i), func(t *testing.T) {
			withManyHosts(t, func(s *fakeSite) {
				time.Sleep(time.Duration(i) * 500 * time.Millisecond)
				at := s.standbyHost()
				names := slices.DeleteFunc(s.hostNames(), func(name string) bool { return name == s.poolHolder() || name == at })
				random := rand.New(rand.NewPCG(uint64(i), 1))
				random.Shuffle(len(names), func(a, b int) { names[a], names[b] = names[b], names[a] })
				for _, name := range append(names[:9], s.poolHolder()) {
					s.kill(name)
				}
				s.assertTakenOver(at, 0, activationBound)
			})
		})
		t.Run(fmt.Sprint("all strong ones are killed ", i), func(t *testing.T) {
			withManyHosts(t, func(s *fakeSite) {
				time.Sleep(time.Duration(i) * 500 * time.Millisecond)
				s.is.True(slices.Contains(largeHosts, s.poolHolder()))
				for _, name := range largeHosts {
					s.kill(name)
				}
				s.assertTakenOver(s.standbyHost(), 0, takeoverBound)
			})
		})
		t.Run(fmt.Sprint("all active members are killed ", i), func(t *testing.T) {
			withManyHosts(t, func(s *fakeSite) {
				time.Sleep(time.Duration(i) * 500 * time.Millisecond)
				at := s.standbyHost()
				for _, name := range s.activeHosts() {
					s.kill(name)
				}
				s.assertTakenOver(at, 0, activationBound)
				time.Sleep(settlingTime)
				s.is.True(len(s.runningActiveHosts()) < largeSiteHosts/3)
			})
		})
		t.Run(fmt.Sprint("store turns a third away, the holder among them ", i), func(t *testing.T) {
			withManyHosts(t, func(s *fakeSite) {
				time.Sleep(time.Duration(i) * 500 * time.Millisecond)
				at, holder := s.standbyHost(), s.poolHolder()
				names := slices.DeleteFunc(s.hostNames(), func(name string) bool { return name == holder || name == at })
				random := rand.New(rand.NewPCG(uint64(i), 2))
				random.Shuffle(len(names), func(a, b int) { names[a], names[b] = names[b], names[a] })
				away := append(names[:largeSiteHosts/3-1], holder)
				for _, name := range away {
					s.store.setSilent(name, true)
				}
				// Until its feed's wait is over, the holder still hears of jobs.
				time.Sleep(1600 * time.Millisecond)
				s.assertTakenOver(at, 1600*time.Millisecond, activationBound)
				time.Sleep(10 * time.Second)
				terms := s.dutyTerms()
				for _, name := range away {
					s.store.setSilent(name, false)
				}
				time.Sleep(settlingTime)
				s.is.Equal(s.dutyTerms(), terms)
			})
		})
	}
	// Calls that stay without an answer are given up at different times, so that members are back one after the other.
	for _, away := range []time.Duration{
		700 * time.Millisecond, 1300 * time.Millisecond, 1500 * time.Millisecond, 2 * time.Second, 2500 * time.Millisecond, 3 * time.Second,
		3500 * time.Millisecond, 4 * time.Second, 5 * time.Second, 15 * time.Second,
	} {
		t.Run(fmt.Sprint("store is away, and everybody is there again after ", away), func(t *testing.T) {
			withManyHosts(t, func(s *fakeSite) {
				terms := s.dutyTerms()
				s.store.setSilent("*", true)
				time.Sleep(away)
				s.store.setSilent("*", false)
				time.Sleep(settlingTime)
				s.is.Equal(s.dutyTerms(), terms)
			})
		})
	}
}

// hostNames returns the entry hosts that run, sorted.
func (s *fakeSite) hostNames() []string {
	var names []string
	for name := range s.entryHosts {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// runningActiveHosts returns the entry hosts that run and have a member row.
func (s *fakeSite) runningActiveHosts() []string {
	return slices.DeleteFunc(s.activeHosts(), func(name string) bool { return s.entryHosts[name] == nil })
}
