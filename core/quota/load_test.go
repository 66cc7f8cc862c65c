package quota_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskincross/core/organisation"
	"siskincross/core/quota"
	"siskincross/core/resource"
)

// loadSite is a number of pools whose organisations run short tasks. The demand of each pool rises to five times its mean
// by turns.
type loadSite struct {
	random        *rand.Rand
	now           time.Time
	version       uint64
	rows          map[string]quota.VersionedRow
	pools         []*loadPool
	organisations []organisation.Organisation
	limits        map[string]int
	// calls counts the calls of the store, and waits the rounds in which a task of an organisation under half of its
	// limit lacked room.
	calls, conflicts, tasks, waits int
	// announced holds the organisations that waited for room of other pools at announcedAt, which holders learn announcementDelay later.
	announced   []string
	announcedAt time.Time
}

// loadPool is a pool with a holder that is never replaced.
type loadPool struct {
	ledger  quota.Ledger
	ends    map[time.Time][]loadTask
	waiting []loadTask
	// answerAt is when the store answers the call in flight, if there is one.
	answerAt time.Time
	write    quota.Write
	inFlight bool
}

type loadTask struct {
	organisation string
	demand       resource.Amount
	// lasting is true for a task that doesn't end.
	lasting bool
}

const (
	loadRound = 10 * time.Millisecond
	loadTurn  = 4500 * time.Millisecond
	// loadLatency is the time from a call to its answer.
	loadLatency = 10 * time.Millisecond
	// announcementInterval is the time between two announcements of waiting organisations, and announcementDelay that until all holders
	// know of one.
	announcementInterval = 700 * time.Millisecond
	announcementDelay    = 450 * time.Millisecond
)

func newLoadSite(organisations, pools int) *loadSite {
	s := &loadSite{random: rand.New(rand.NewPCG(1, 2)), now: time.Unix(0, 0), rows: make(map[string]quota.VersionedRow), limits: make(map[string]int)}
	for i := range organisations {
		s.organisations = append(s.organisations, organisation.Organisation{Name: fmt.Sprintf("o%03d", i), Limit: cores(400_000 / (i/4 + 1))})
		s.limits[s.organisations[i].Name] = s.organisations[i].Limit.MilliCores
	}
	for i := range pools {
		p := &loadPool{ledger: quota.Ledger{Pool: fmt.Sprintf("p%02d", i), Epoch: 1}, ends: make(map[time.Time][]loadTask)}
		p.ledger.SetLimits(organisation.NewDirectory(s.organisations), resource.Amount{}, false, s.now)
		p.ledger.Load(nil)
		s.pools = append(s.pools, p)
	}
	return s
}

// step runs one round of each pool. Each organisation submits jobs of eight tasks in proportion to its limit.
func (s *loadSite) step() {
	s.now = s.now.Add(loadRound)
	s.announce()
	turn := int(s.now.Sub(time.Unix(0, 0))/loadTurn) % len(s.pools)
	for i, p := range s.pools {
		rate := 0.05
		if i == turn {
			rate = float64(len(s.pools))
		}
		for _, o := range s.organisations {
			perSecond := rate * float64(o.Limit.MilliCores) / float64(8*3000*5*len(s.pools))
			if s.random.Float64() < perSecond*loadRound.Seconds() {
				for range 8 {
					p.waiting = append(p.waiting, loadTask{organisation: o.Name, demand: cores(3000)})
				}
			}
		}
		s.round(p)
	}
}

// announce tells all holders which organisations waited a while ago.
func (s *loadSite) announce() {
	if since := s.now.Sub(s.announcedAt); since == announcementDelay {
		for _, p := range s.pools {
			p.ledger.SetAwaited(s.announced)
		}
	} else if since < announcementInterval {
		return
	}
	if s.now.Sub(s.announcedAt) >= announcementInterval {
		s.announced, s.announcedAt = nil, s.now
		for _, p := range s.pools {
			s.announced = slices.AppendSeq(s.announced, maps.Keys(p.ledger.Waiting(s.now)))
		}
	}
}

// round starts the tasks that fit and makes the calls that are due.
func (s *loadSite) round(p *loadPool) {
	for _, t := range p.ends[s.now] {
		p.ledger.Release(t.organisation, t.demand)
	}
	delete(p.ends, s.now)
	p.ledger.BeginRound(s.now)
	kept := p.waiting[:0]
	for _, t := range p.waiting {
		if !p.ledger.Fits(t.organisation, t.demand) {
			p.ledger.Want(t.organisation, t.demand, 1)
			kept = append(kept, t)
			continue
		}
		p.ledger.Acquire(t.organisation, t.demand)
		s.tasks++
		if t.lasting {
			continue
		}
		end := s.now.Add(time.Duration(20+s.random.IntN(90)) * loadRound)
		p.ends[end] = append(p.ends[end], t)
	}
	p.waiting = kept
	s.countWaits(p)
	s.call(p)
}

// countWaits counts the tasks that wait though their organisation uses less than half of its limit.
func (s *loadSite) countWaits(p *loadPool) {
	for _, t := range p.waiting {
		used := 0
		for _, other := range s.pools {
			used += other.ledger.Used(t.organisation).MilliCores
		}
		if used+t.demand.MilliCores <= s.limits[t.organisation]/2 {
			s.waits++
		}
	}
}

// call answers the call in flight and makes the next one.
func (s *loadSite) call(p *loadPool) {
	if p.inFlight {
		if s.now.Before(p.answerAt) {
			return
		}
		p.inFlight = false
		if p.write.Rows != nil {
			s.commit(p)
		}
	}
	if p.ledger.ReadDue(s.now) {
		p.ledger.Load(s.rows)
		s.calls++
		p.write, p.inFlight, p.answerAt = quota.Write{}, true, s.now.Add(loadLatency)
		return
	}
	if w, due := p.ledger.NextWrite(s.now); due {
		s.calls++
		p.write, p.inFlight, p.answerAt = w, true, s.now.Add(loadLatency)
	}
}

func (s *loadSite) commit(p *loadPool) {
	for _, r := range p.write.Rows {
		if s.rows[r.Organisation].Version != r.Version {
			s.conflicts++
			p.ledger.Reject(p.write, s.rows)
			return
		}
	}
	s.version++
	for _, r := range p.write.Rows {
		s.rows[r.Organisation] = quota.VersionedRow{Row: r.Row, Version: s.version}
	}
	p.ledger.Confirm(p.write, s.version)
}

// TestCallsOfLoad guards the number of calls of the store, each of which is paid for, and the wait for room.
func TestCallsOfLoad(t *testing.T) {
	// The table service takes 200 transactions a second in one partition. Three quarters are left for takeovers and retries.
	const maxCallsPerSecond = 200 / 4
	for _, c := range []struct{ organisations, pools int }{{20, 5}, {110, 49}} {
		t.Run(fmt.Sprintf("%d organisations and %d pools", c.organisations, c.pools), func(t *testing.T) {
			s := newLoadSite(c.organisations, c.pools)
			const duration = 10 * time.Second
			for range duration / loadRound {
				s.step()
			}
			perSecond := float64(s.calls) / duration.Seconds()
			t.Logf("%.1f calls a second (%d conflicts) for %.0f tasks a second; tasks of organisations under half of their limit waited %s on average", perSecond, s.conflicts, float64(s.tasks)/duration.Seconds(), time.Duration(s.waits)*loadRound/time.Duration(s.tasks))
			is.New(t).True(perSecond <= maxCallsPerSecond)
		})
	}
}
