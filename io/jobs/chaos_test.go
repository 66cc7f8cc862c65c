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
	// maxChaosSeconds bounds the run of a task.
	maxChaosSeconds = 60
)

// chaos lets failures come together, at random.
type chaos struct {
	*fixture
	random   *rand.Rand
	members  []*Manager
	stops    []func()
	ids      []job.ID
	once     map[job.ID]bool
	canceled map[job.ID]bool
	bad      host.ID
}

// round submits some jobs and lets at most a few things fail.
func (c *chaos) round() {
	c.submitSome()
	switch c.random.IntN(9) {
	case 0:
		c.down(true)
	case 1:
		c.table.SetFaults(standin.TableFaults{Delay: time.Duration(c.random.IntN(1500)) * time.Millisecond})
	case 2:
		c.lose(c.random.IntN(3), c.random.IntN(3))
	case 3:
		c.passDuty(c.random.IntN(2) == 0)
	case 4:
		c.workers.silence(c.targets[c.random.IntN(chaosHosts)].Host, true)
	case 5:
		c.workers.set(func() { c.workers.loseStarts = c.random.IntN(3) })
	case 6:
		c.set(func() { c.drain = []host.ID{c.targets[c.random.IntN(chaosHosts)].Host} })
	case 7:
		c.cancelSome()
	default:
		c.heal()
	}
	time.Sleep(time.Duration(c.random.IntN(3000)) * time.Millisecond)
}

// submitSome submits jobs where it is told that they were accepted.
func (c *chaos) submitSome() {
	for i := range chaosJobs {
		s := submission()
		s.Idempotent = c.random.IntN(2) == 0
		s.Urgent = c.random.IntN(10) == 0
		m := c.members[c.random.IntN(len(c.members))]
		j, err := m.submit(c.ctx, "kunta", s, fmt.Sprintf("key-%d-%d", len(c.ids), i))
		if err == nil {
			c.ids = append(c.ids, j.ID)
			c.once[j.ID] = !s.Idempotent
		}
	}
}

func (c *chaos) cancelSome() {
	for range 3 {
		if len(c.ids) == 0 {
			return
		}
		id := c.ids[c.random.IntN(len(c.ids))]
		if _, err := c.members[0].cancel(c.ctx, "kunta", id); err == nil {
			c.canceled[id] = true
		}
	}
}

// passDuty gives the duty to the next entry host; the earlier one crashes or does not hear of it.
func (c *chaos) passDuty(crash bool) {
	i := c.random.IntN(len(c.members))
	c.set(func() { c.stale = nil })
	if crash {
		c.stops[i]()
		c.members[i], c.stops[i] = c.manager(c.members[i].MemberID + "x")
	} else {
		c.set(func() { c.stale = map[string]uint64{c.holder: c.epoch} })
	}
	next := c.members[c.random.IntN(len(c.members))].MemberID
	if c.stale[next] == 0 {
		c.hold(next)
	}
}

func (c *chaos) heal() {
	c.table.SetFaults(standin.TableFaults{})
	c.set(func() { c.stale, c.drain = nil, nil })
	for _, target := range c.targets {
		c.workers.silence(target.Host, false)
	}
}

// assertSettled asserts what must hold of every accepted job in the end.
func (c *chaos) assertSettled() {
	c.t.Helper()
	outcomes := make(map[string]int)
	for _, id := range c.ids {
		j := c.row(id)
		outcomes[string(j.State)]++
		switch {
		case j.State == job.StateParked && !c.once[id]:
		case !job.IsFinal(j.State):
			c.t.Errorf("job %s did not end: %+v", id, j)
		case c.once[id] && c.workers.startsOf(id) > 1:
			c.t.Errorf("job %s must run once, was started %d times", id, c.workers.startsOf(id))
		case !c.once[id] && (j.State == job.StateUnknown || j.State == job.StateFailed):
			c.t.Errorf("idempotent job %s ended %s: %s", id, j.State, j.Reason)
		case j.State == job.StateCancelled && !c.canceled[id]:
			c.t.Errorf("job %s was cancelled by nobody", id)
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
				c := &chaos{fixture: f, random: rand.New(rand.NewPCG(seed, 5)), once: make(map[job.ID]bool), canceled: make(map[job.ID]bool)}
				c.bad = f.targets[c.random.IntN(chaosHosts)].Host
				f.workers.behave = func(id host.ID, spec platform.TaskSpec) behaviour {
					b := behaviour{duration: time.Duration(1+xxhash.Sum64String(spec.Task)%maxChaosSeconds) * time.Second, cores: 1, memory: gigabyte, checkpoints: true}
					if id == c.bad {
						b.failure = "no scratch space"
					}
					return b
				}
				for _, name := range []string{"a", "b", "c"} {
					m, stop := f.manager(name)
					c.members, c.stops = append(c.members, m), append(c.stops, stop)
				}
				for range chaosRounds {
					c.round()
				}
				c.heal()
				f.hold(c.members[0].MemberID)
				time.Sleep(15 * time.Minute)
				c.assertSettled()
				for _, stop := range c.stops {
					stop()
				}
			})
		})
	}
}
