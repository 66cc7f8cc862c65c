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
	// manyHostsPools is the number of pools of a deployment with largeSiteHosts entry hosts.
	manyHostsPools = 4
	// takeoverBound is the maximum time until the first task of a job starts if the pool's holder was killed and
	// other active members are left.
	takeoverBound = 3 * time.Second
	// activationBound is takeoverBound plus the time between two checks of standby members.
	activationBound = takeoverBound + 1500*time.Millisecond
)

// largeHosts are the entry hosts with more capacity than the others.
var largeHosts = []string{"e2", "e7", "e12", "e17", "e22", "e27", "e32", "e37"}

// withManyHosts runs a test in virtual time on a deployment of many entry hosts, most of which are on standby.
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

// activeHosts returns the sorted names of the entry hosts that have a member row.
func (s *fakeSite) activeHosts() []string {
	var names []string
	for _, row := range s.store.readRange(platform.RangeQuery{Table: "fleet"}).Rows {
		name, _, _ := strings.Cut(strings.TrimPrefix(row.Key, "member/"), "/")
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// dutyTerms returns the number of takeovers of each duty.
func (s *fakeSite) dutyTerms() map[string]int {
	terms := make(map[string]int)
	for _, partition := range s.store.partitions("fleet") {
		for _, row := range s.store.readRange(platform.RangeQuery{Table: "fleet", Partition: partition, From: "holder"}).Rows {
			var holder struct{ Term int }
			s.is.NoErr(json.Unmarshal(row.Value, &holder))
			if partition != "" {
				terms[partition] = holder.Term
			}
		}
	}
	return terms
}

// eventCount returns how often an event was recorded by the running entry hosts.
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

// assertTakenOver submits a job and checks that its first task starts within bound after a fault. The fault began the
// given time ago.
func (s *fakeSite) assertTakenOver(submitAt string, faultAge, bound time.Duration) {
	s.t.Helper()
	faultStart := time.Now().Add(-faultAge)
	s.is.NoErr(s.submit(submitAt, "j", 1))
	s.awaitCompleted(submitAt, "j", 20*time.Second)
	first := 20 * time.Second
	for _, w := range s.workers {
		for _, started := range w.firstStarts {
			first = min(first, started.Sub(faultStart))
		}
	}
	s.t.Logf("first start after %s", first)
	if first > bound {
		s.t.Errorf("the first task started after %s, more than %s", first, bound)
	}
}

// standbyHost returns the name of an entry host without a member row.
func (s *fakeSite) standbyHost() string {
	active := s.activeHosts()
	for name := range s.entryHosts {
		if !slices.Contains(active, name) {
			return name
		}
	}
	s.t.Fatal("no entry host is on standby")
	return ""
}

// TestManyEntryHosts checks that a deployment of many entry hosts causes no more load than a small one and still
// survives the loss of any number of them at once.
func TestManyEntryHosts(t *testing.T) {
	t.Run("most are on standby, and no duty moves", func(t *testing.T) {
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
				submitAt := s.standbyHost()
				names := slices.DeleteFunc(s.hostNames(), func(name string) bool { return name == s.poolHolder() || name == submitAt })
				random := rand.New(rand.NewPCG(uint64(i), 1))
				random.Shuffle(len(names), func(a, b int) { names[a], names[b] = names[b], names[a] })
				for _, name := range append(names[:9], s.poolHolder()) {
					s.kill(name)
				}
				s.assertTakenOver(submitAt, 0, activationBound)
			})
		})
		t.Run(fmt.Sprint("all large ones are killed ", i), func(t *testing.T) {
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
				submitAt := s.standbyHost()
				for _, name := range s.activeHosts() {
					s.kill(name)
				}
				s.assertTakenOver(submitAt, 0, activationBound)
				time.Sleep(settlingTime)
				s.is.True(len(s.runningActiveHosts()) < largeSiteHosts/3)
			})
		})
		t.Run(fmt.Sprint("store turns a third away, the holder among them ", i), func(t *testing.T) {
			withManyHosts(t, func(s *fakeSite) {
				time.Sleep(time.Duration(i) * 500 * time.Millisecond)
				submitAt, holder := s.standbyHost(), s.poolHolder()
				names := slices.DeleteFunc(s.hostNames(), func(name string) bool { return name == holder || name == submitAt })
				random := rand.New(rand.NewPCG(uint64(i), 2))
				random.Shuffle(len(names), func(a, b int) { names[a], names[b] = names[b], names[a] })
				disconnected := append(names[:largeSiteHosts/3-1], holder)
				for _, name := range disconnected {
					s.store.setSilent(name, true)
				}
				// The holder still gets new jobs until its pending long poll has ended.
				time.Sleep(1600 * time.Millisecond)
				s.assertTakenOver(submitAt, 1600*time.Millisecond, activationBound)
				time.Sleep(10 * time.Second)
				terms := s.dutyTerms()
				for _, name := range disconnected {
					s.store.setSilent(name, false)
				}
				time.Sleep(settlingTime)
				s.is.Equal(s.dutyTerms(), terms)
			})
		})
	}
	// Unanswered calls time out at different times, so the members reconnect one after another.
	for _, outage := range []time.Duration{
		700 * time.Millisecond, 1300 * time.Millisecond, 1500 * time.Millisecond, 2 * time.Second, 2500 * time.Millisecond, 3 * time.Second,
		3500 * time.Millisecond, 4 * time.Second, 5 * time.Second, 15 * time.Second,
	} {
		t.Run(fmt.Sprint("all members are back after an outage of the store of ", outage), func(t *testing.T) {
			withManyHosts(t, func(s *fakeSite) {
				terms := s.dutyTerms()
				s.store.setSilent("*", true)
				time.Sleep(outage)
				s.store.setSilent("*", false)
				time.Sleep(settlingTime)
				s.is.Equal(s.dutyTerms(), terms)
			})
		})
	}
}

// hostNames returns the sorted names of the running entry hosts.
func (s *fakeSite) hostNames() []string {
	var names []string
	for name := range s.entryHosts {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// runningActiveHosts returns the sorted names of the running entry hosts that have a member row.
func (s *fakeSite) runningActiveHosts() []string {
	return slices.DeleteFunc(s.activeHosts(), func(name string) bool { return s.entryHosts[name] == nil })
}
