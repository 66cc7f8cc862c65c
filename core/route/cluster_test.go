package route

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"siskincross/core/host"
)

// cluster runs the schedulers of several entry hosts against workers in virtual time.
type cluster struct {
	now     time.Time
	rng     *rand.Rand
	events  events
	serial  int
	entries []*entryHost
	workers map[host.ID]*worker
	// hosts holds the workers' IDs in order.
	hosts []host.ID
	// rate returns the arrivals per second at a time since the start, team the arrival's team and weight.
	rate func(since time.Duration) float64
	team func(rng *rand.Rand) (string, int)
	// service returns the running time of a request.
	service func(rng *rand.Rand) time.Duration
	// stalled reports whether the workers make no progress.
	stalled func(since time.Duration) bool
	// outage is how all workers fail every attempt; FaultNone means that they work.
	outage Fault
	// allowance is the number of targets that the pool's budget lets an entry host do without.
	allowance int
	// skew is the share of the arrivals that the first entry host gets beside its equal share.
	skew     float64
	start    time.Time
	done     []result
	attempts int
	maxBusy  int
	// mostOut is the highest number of targets that an entry host had taken out.
	mostOut  int
	refusals int
}

type worker struct {
	slots, busy int
	// fault is how the worker fails every attempt at once; FaultNone means that it works.
	fault Fault
	// slowness multiplies the running times; zero means one.
	slowness int
	attempts int
}

type entryHost struct {
	scheduler *Scheduler
	waiting   map[*Waiter]*simulated
	nextWake  time.Time
}

// simulated is one request in the cluster.
type simulated struct {
	entry   *entryHost
	waiter  *Waiter
	arrived time.Time
	service time.Duration
	ended   bool
}

// result is what became of a request.
type result struct {
	arrived time.Duration
	latency time.Duration
	outcome Outcome
	team    string
}

const (
	simulatedLag      = 1400 * time.Microsecond
	simulatedService  = 50 * time.Millisecond
	simulatedDeadline = 2 * time.Second
	simulatedReports  = 50 * time.Millisecond
)

// withCluster returns entry hosts in front of workers of 8 slots each.
func withCluster(seed uint64, entries, workers int) *cluster {
	c := &cluster{
		now: time.Unix(0, 0), start: time.Unix(0, 0),
		rng:     rand.New(rand.NewPCG(seed, 1)),
		workers: make(map[host.ID]*worker),
		team:    func(*rand.Rand) (string, int) { return "north", 1 },
		stalled: func(time.Duration) bool { return false },
		service: func(rng *rand.Rand) time.Duration {
			return time.Duration(rng.ExpFloat64() * float64(simulatedService))
		},
	}
	snapshot := Snapshot{Epoch: 1, Version: 1}
	for i := range workers {
		id := host.ID(fmt.Sprintf("w%03d", i))
		c.workers[id] = &worker{slots: 8}
		c.hosts = append(c.hosts, id)
		snapshot.Targets = append(snapshot.Targets, Target{Host: id, Capacity: host.Capacity{Slots: 8, Connections: 64}})
	}
	for range entries {
		e := &entryHost{scheduler: &Scheduler{}, waiting: make(map[*Waiter]*simulated)}
		e.scheduler.Board.SetMembers(entries)
		e.scheduler.Board.Update(snapshot)
		c.entries = append(c.entries, e)
	}
	return c
}

// capacity is the requests a second that all slots can serve.
func (c *cluster) capacity() float64 {
	return float64(len(c.workers)*8) / simulatedService.Seconds()
}

// run lets requests arrive for a time and returns once all have ended.
func (c *cluster) run(length time.Duration) {
	end := c.start.Add(length)
	c.after(0, func() { c.arrivals(end) })
	c.after(simulatedReports, func() { c.reports(end) })
	for len(c.events) > 0 {
		e := heap.Pop(&c.events).(simulatedEvent)
		c.now = e.at
		e.do()
	}
}

func (c *cluster) since() time.Duration { return c.now.Sub(c.start) }

func (c *cluster) arrivals(end time.Time) {
	if !c.now.Before(end) {
		return
	}
	gap := time.Duration(c.rng.ExpFloat64() / c.rate(c.since()) * float64(time.Second))
	c.after(gap, func() {
		c.arrive()
		c.arrivals(end)
	})
}

func (c *cluster) arrive() {
	team, weight := c.team(c.rng)
	r := &simulated{
		entry:   c.entries[c.balance()],
		arrived: c.now,
		service: c.service(c.rng),
		waiter:  &Waiter{Flow: Flow{"q", team}, Weight: weight, Repeatable: true, Deadline: c.now.Add(simulatedDeadline), MaxQueued: 100},
	}
	a := r.entry.scheduler.Arrive(c.now, c.rng, r.waiter)
	if a.Displaced != nil {
		c.end(r.entry.waiting[a.Displaced], OutcomeNotRun)
	}
	switch {
	case a.Placed:
		c.dispatch(r, a.Target)
	case a.Waits:
		r.entry.waiting[r.waiter] = r
		c.after(simulatedDeadline, func() { c.expire(r) })
		c.advance(r.entry)
	default:
		c.end(r, OutcomeNotRun)
	}
}

// balance picks the entry host of an arrival.
func (c *cluster) balance() int {
	if c.rng.Float64() < c.skew {
		return 0
	}
	return c.rng.IntN(len(c.entries))
}

func (c *cluster) expire(r *simulated) {
	if r.entry.scheduler.Cancel(r.waiter) {
		c.end(r, OutcomeNotRun)
	}
}

func (c *cluster) dispatch(r *simulated, t Target) {
	c.attempts++
	begun := c.now
	over := false
	finish := func(a Attempt) {
		if !over {
			over = true
			c.finish(r, t, a, begun)
		}
	}
	c.at(r.waiter.Deadline, func() { finish(Attempt{Fault: FaultTimeout, Sent: true}) })
	c.after(simulatedLag, func() {
		w := c.workers[t.Host]
		w.attempts++
		if f := max(c.outage, w.fault); f != FaultNone {
			c.after(simulatedLag, func() { finish(Attempt{Fault: f, Sent: f != FaultUnreachable}) })
			return
		}
		if w.busy >= w.slots {
			c.refusals++
			c.after(simulatedLag, func() { finish(Attempt{Fault: FaultRefused, Sent: true}) })
			return
		}
		w.busy++
		c.maxBusy = max(c.maxBusy, w.busy)
		c.work(r.service*time.Duration(max(1, w.slowness)), func() {
			w.busy--
			c.after(simulatedLag, func() { finish(Attempt{Sent: true}) })
		})
	})
}

// work calls done after a time in which the workers were not stalled.
func (c *cluster) work(length time.Duration, done func()) {
	c.after(length, func() {
		if c.stalled(c.since()) {
			c.work(simulatedService, done)
			return
		}
		done()
	})
}

func (c *cluster) finish(r *simulated, t Target, a Attempt, begun time.Time) {
	s := r.entry.scheduler
	s.Finish(c.now, r.waiter.Flow.Queue, t.Host, a, c.now.Sub(begun))
	if a.Retriable(true) && s.Budget.Spend(a.Fault) {
		r.entry.waiting[r.waiter] = r
		s.Again(r.waiter, t.Host)
	} else {
		c.end(r, a.Outcome(false))
	}
	c.advance(r.entry)
}

func (c *cluster) advance(e *entryHost) {
	for _, g := range e.scheduler.Next(c.now, c.rng) {
		r := e.waiting[g.Waiter]
		delete(e.waiting, g.Waiter)
		if g.Refusal.Reason != ReasonNone {
			c.end(r, OutcomeNotRun)
			continue
		}
		c.dispatch(r, g.Target)
	}
	next, ok := e.scheduler.Board.NextOpening()
	if ok && e.scheduler.Waiting() > 0 && !next.Equal(e.nextWake) {
		e.nextWake = next
		c.at(next, func() { c.advance(e) })
	}
}

// reports gives every entry host the others' figures, one lag old.
func (c *cluster) reports(end time.Time) {
	for _, e := range c.entries {
		c.mostOut = max(c.mostOut, len(e.scheduler.Board.out))
	}
	all := make([]map[host.ID]int, len(c.entries))
	for i, e := range c.entries {
		all[i] = e.scheduler.Board.InProgress()
	}
	c.after(simulatedLag, func() {
		for i, e := range c.entries {
			peers := make(map[host.ID]int)
			for j, counts := range all {
				for id, n := range counts {
					if i != j {
						peers[id] += n
					}
				}
			}
			e.scheduler.Board.SetPeers(peers)
			e.scheduler.Board.Assess(c.now, c.allowance)
			c.advance(e)
		}
	})
	if c.now.Before(end) {
		c.after(simulatedReports, func() { c.reports(end) })
	}
}

func (c *cluster) end(r *simulated, o Outcome) {
	delete(r.entry.waiting, r.waiter)
	if r.ended {
		panic("a request ended twice")
	}
	r.ended = true
	c.done = append(c.done, result{r.arrived.Sub(c.start), c.now.Sub(r.arrived), o, r.waiter.Flow.Team})
}

func (c *cluster) after(d time.Duration, do func()) { c.at(c.now.Add(d), do) }

func (c *cluster) at(at time.Time, do func()) {
	c.serial++
	heap.Push(&c.events, simulatedEvent{at, c.serial, do})
}

type simulatedEvent struct {
	at     time.Time
	serial int
	do     func()
}

type events []simulatedEvent

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].serial < e[j].serial
	}
	return e[i].at.Before(e[j].at)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(simulatedEvent)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}
