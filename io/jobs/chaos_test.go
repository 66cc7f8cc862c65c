package jobs

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"siskincross/core/host"
	"siskincross/core/job"
	"siskincross/io/platform"
	"siskincross/io/standin"
)

const (
	chaosHosts  = 16
	chaosRounds = 90
	chaosJobs   = 3
	// maxTaskSeconds bounds the duration of a task.
	maxTaskSeconds = 60
)

// chaosTest injects random, overlapping failures.
type chaosTest struct {
	*fixture
	random          *rand.Rand
	members         []*Manager
	stops           []func()
	ids             []job.ID
	runsOnce        map[job.ID]bool
	cancelRequested map[job.ID]bool
	bad             host.ID
}

// runRound submits some jobs and injects or clears faults.
func (c *chaosTest) runRound() {
	c.submitSome()
	switch c.random.IntN(9) {
	case 0:
		c.setStoreDown(true)
	case 1:
		c.table.SetFaults(standin.TableFaults{Delay: time.Duration(c.random.IntN(1500)) * time.Millisecond})
	case 2:
		c.loseCommits(c.random.IntN(3), c.random.IntN(3))
	case 3:
		c.moveDuty(c.random.IntN(2) == 0)
	case 4:
		c.workers.setSilent(c.targets[c.random.IntN(chaosHosts)].Host, true)
	case 5:
		c.workers.update(func() { c.workers.loseStartAnswers = c.random.IntN(3) })
	case 6:
		c.update(func() { c.draining = []host.ID{c.targets[c.random.IntN(chaosHosts)].Host} })
	case 7:
		c.cancelSome()
	default:
		c.clearFaults()
	}
	time.Sleep(time.Duration(c.random.IntN(3000)) * time.Millisecond)
}

// submitSome submits jobs and keeps the IDs of those whose acceptance was confirmed.
func (c *chaosTest) submitSome() {
	for i := range chaosJobs {
		s := submission()
		s.Idempotent = c.random.IntN(2) == 0
		s.Urgent = c.random.IntN(10) == 0
		m := c.members[c.random.IntN(len(c.members))]
		j, err := m.submit(c.ctx, "kunta", s, fmt.Sprintf("key-%d-%d", len(c.ids), i))
		if err == nil {
			c.ids = append(c.ids, j.ID)
			c.runsOnce[j.ID] = !s.Idempotent
		}
	}
}

func (c *chaosTest) cancelSome() {
	for range 3 {
		if len(c.ids) == 0 {
			return
		}
		id := c.ids[c.random.IntN(len(c.ids))]
		if _, err := c.members[0].cancel(c.ctx, "kunta", id); err == nil {
			c.cancelRequested[id] = true
		}
	}
}

// moveDuty moves the duty to another entry host. A random entry host crashes, or the earlier holder does not
// learn of its loss.
func (c *chaosTest) moveDuty(crash bool) {
	i := c.random.IntN(len(c.members))
	c.update(func() { c.staleEpochs = nil })
	if crash {
		c.stops[i]()
		c.members[i], c.stops[i] = c.startManager(c.members[i].MemberID + "x")
	} else {
		c.update(func() { c.staleEpochs = map[string]uint64{c.holder: c.epoch} })
	}
	next := c.members[c.random.IntN(len(c.members))].MemberID
	if c.staleEpochs[next] == 0 {
		c.assignDuty(next)
	}
}

func (c *chaosTest) clearFaults() {
	c.table.SetFaults(standin.TableFaults{})
	c.update(func() { c.staleEpochs, c.draining = nil, nil })
	for _, target := range c.targets {
		c.workers.setSilent(target.Host, false)
	}
}

// assertSettled asserts the invariants of every accepted job after all faults were cleared.
func (c *chaosTest) assertSettled() {
	c.t.Helper()
	outcomes := make(map[string]int)
	for _, id := range c.ids {
		j := c.row(id)
		outcomes[string(j.State)]++
		switch {
		case j.State == job.StateParked && !c.runsOnce[id]:
		case !job.IsFinal(j.State):
			c.t.Errorf("job %s did not end: %+v", id, j)
		case c.runsOnce[id] && c.workers.startCount(id) > 1:
			c.t.Errorf("job %s must run once, was started %d times", id, c.workers.startCount(id))
		case !c.runsOnce[id] && (j.State == job.StateUnknown || j.State == job.StateFailed):
			c.t.Errorf("idempotent job %s ended %s: %s", id, j.State, j.Reason)
		case j.State == job.StateCancelled && !c.cancelRequested[id]:
			c.t.Errorf("job %s was cancelled without a request", id)
		}
		if c.workers.running(id) > 0 {
			c.t.Errorf("job %s is %s and still runs", id, j.State)
		}
	}
	c.t.Logf("%d jobs: %v", len(c.ids), outcomes)
}

func TestFailuresComeTogether(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			withFixture(t, chaosHosts, func(f *fixture) {
				c := &chaosTest{fixture: f, random: rand.New(rand.NewPCG(seed, 5)), runsOnce: make(map[job.ID]bool), cancelRequested: make(map[job.ID]bool)}
				c.bad = f.targets[c.random.IntN(chaosHosts)].Host
				f.workers.behave = func(id host.ID, spec platform.TaskSpec) behaviour {
					b := behaviour{duration: time.Duration(1+xxhash.Sum64String(spec.Task)%maxTaskSeconds) * time.Second, cores: 1, memory: gigabyte, checkpoints: true}
					if id == c.bad {
						b.failure = "no scratch space"
					}
					return b
				}
				for _, name := range []string{"a", "b", "c"} {
					m, stop := f.startManager(name)
					c.members, c.stops = append(c.members, m), append(c.stops, stop)
				}
				for range chaosRounds {
					c.runRound()
				}
				c.clearFaults()
				f.assignDuty(c.members[0].MemberID)
				time.Sleep(15 * time.Minute)
				c.assertSettled()
				for _, stop := range c.stops {
					stop()
				}
			})
		})
	}
}
