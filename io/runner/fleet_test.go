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
	// itsPools is the number of pools of a deployment with manyHosts.
	itsPools = 4
	// takeoverBound is how long a job may wait for its first task if its pool's holder was killed and other active members are left.
	takeoverBound = 3 * time.Second
	// recallBound is takeoverBound and the time between two looks of members that stand by.
	recallBound = takeoverBound + 1500*time.Millisecond
)

// strongHosts are those with more capacity than the others.
var strongHosts = []string{"e2", "e7", "e12", "e17", "e22", "e27", "e32", "e37"}

// withManyHosts runs a test in virtual time on a deployment of many entry hosts, of which most stand by.
func withManyHosts(t *testing.T, test func(*fakeSite)) {
	t.Helper()
	t.Parallel()
	capacities := make(map[string]duty.Capacity, manyHosts)
	for i := range manyHosts {
		capacities[fmt.Sprintf("e%d", i)] = duty.Capacity{MilliCores: 192, LinkMbps: 10, MemoryMB: 184}
	}
	for _, name := range strongHosts {
		capacities[name] = duty.Capacity{MilliCores: 800, LinkMbps: 200, MemoryMB: 536}
	}
	site := fakeSite{morePools: itsPools - 1, movable: true, apart: startsApart, capacities: capacities}
	playSite(t, site, manyHosts, 2, func(s *fakeSite) {
		time.Sleep(settling)
		test(s)
	})
}

// active returns the entry hosts that have a member row, sorted.
func (s *fakeSite) active() []string {
	var names []string
	for _, row := range s.store.find(platform.Range{Table: "fleet"}).Rows {
		name, _, _ := strings.Cut(strings.TrimPrefix(row.Key, "member/"), "/")
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// terms returns how often each duty was taken.
func (s *fakeSite) terms() map[string]int {
	terms := make(map[string]int)
	for _, part := range s.store.parts("fleet") {
		for _, row := range s.store.find(platform.Range{Table: "fleet", Part: part, From: "holder"}).Rows {
			var held struct{ Term int }
			s.is.NoErr(json.Unmarshal(row.Value, &held))
			if part != "" {
				terms[part] = held.Term
			}
		}
	}
	return terms
}

// happened counts an event at all entry hosts that run.
func (s *fakeSite) happened(number event.Number) int {
	count := 0
	for _, h := range s.hosts {
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
	s.completed(at, "j", 20*time.Second)
	first := 20 * time.Second
	for _, w := range s.workers {
		for _, started := range w.started {
			first = min(first, started.Sub(began))
		}
	}
	s.t.Logf("first start after %s", first)
	if first > bound {
		s.t.Errorf("the first task is started after %s, not within %s", first, bound)
	}
}

// standingBy returns an entry host without a member row.
func (s *fakeSite) standingBy() string {
	active := s.active()
	for name := range s.hosts {
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
			s.is.True(len(s.active()) < manyHosts/3)
			s.is.Equal(s.happened(event.MemberActive), 0)
			before, terms := s.active(), s.terms()
			time.Sleep(time.Minute)
			s.is.Equal(s.active(), before)
			s.is.Equal(s.terms(), terms)
		})
	})
	for i := range 2 {
		t.Run(fmt.Sprint("holder is killed ", i), func(t *testing.T) {
			withManyHosts(t, func(s *fakeSite) {
				time.Sleep(time.Duration(i) * 500 * time.Millisecond)
				s.kill(s.holder())
				s.assertTakenOver(s.standingBy(), 0, takeoverBound)
			})
		})
		t.Run(fmt.Sprint("ten are killed at once, the holder among them ", i), func(t *testing.T) {
			withManyHosts(t, func(s *fakeSite) {
				time.Sleep(time.Duration(i) * 500 * time.Millisecond)
				at := s.standingBy()
				names := slices.DeleteFunc(s.names(), func(name string) bool { return name == s.holder() || name == at })
				random := rand.New(rand.NewPCG(uint64(i), 1))
				random.Shuffle(len(names), func(a, b int) { names[a], names[b] = names[b], names[a] })
				for _, name := range append(names[:9], s.holder()) {
					s.kill(name)
				}
				s.assertTakenOver(at, 0, recallBound)
			})
		})
		t.Run(fmt.Sprint("all strong ones are killed ", i), func(t *testing.T) {
			withManyHosts(t, func(s *fakeSite) {
				time.Sleep(time.Duration(i) * 500 * time.Millisecond)
				s.is.True(slices.Contains(strongHosts, s.holder()))
				for _, name := range strongHosts {
					s.kill(name)
				}
				s.assertTakenOver(s.standingBy(), 0, takeoverBound)
			})
		})
		t.Run(fmt.Sprint("all active members are killed ", i), func(t *testing.T) {
			withManyHosts(t, func(s *fakeSite) {
				time.Sleep(time.Duration(i) * 500 * time.Millisecond)
				at := s.standingBy()
				for _, name := range s.active() {
					s.kill(name)
				}
				s.assertTakenOver(at, 0, recallBound)
				time.Sleep(settling)
				s.is.True(len(s.fresh()) < manyHosts/3)
			})
		})
		t.Run(fmt.Sprint("store turns a third away, the holder among them ", i), func(t *testing.T) {
			withManyHosts(t, func(s *fakeSite) {
				time.Sleep(time.Duration(i) * 500 * time.Millisecond)
				at, holder := s.standingBy(), s.holder()
				names := slices.DeleteFunc(s.names(), func(name string) bool { return name == holder || name == at })
				random := rand.New(rand.NewPCG(uint64(i), 2))
				random.Shuffle(len(names), func(a, b int) { names[a], names[b] = names[b], names[a] })
				away := append(names[:manyHosts/3-1], holder)
				for _, name := range away {
					s.store.silence(name, true)
				}
				// Until its feed's wait is over, the holder still hears of jobs.
				time.Sleep(1600 * time.Millisecond)
				s.assertTakenOver(at, 1600*time.Millisecond, recallBound)
				time.Sleep(10 * time.Second)
				terms := s.terms()
				for _, name := range away {
					s.store.silence(name, false)
				}
				time.Sleep(settling)
				s.is.Equal(s.terms(), terms)
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
				terms := s.terms()
				s.store.silence("*", true)
				time.Sleep(away)
				s.store.silence("*", false)
				time.Sleep(settling)
				s.is.Equal(s.terms(), terms)
			})
		})
	}
}

// names returns the entry hosts that run, sorted.
func (s *fakeSite) names() []string {
	var names []string
	for name := range s.hosts {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// fresh returns the entry hosts that run and have a member row.
func (s *fakeSite) fresh() []string {
	return slices.DeleteFunc(s.active(), func(name string) bool { return s.hosts[name] == nil })
}
