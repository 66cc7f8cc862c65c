package route

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"siskincross/core/host"
)

// cluster simulates the schedulers of several entry hosts and their workers in virtual time.
type cluster struct {
	now        time.Time
	rng        *rand.Rand
	events     eventHeap
	eventCount int
	entries    []*entryHost
	workers    map[host.ID]*worker
	// hosts holds the workers' IDs in order.
	hosts []host.ID
	// rate returns the arrivals per second at a time since the start. team returns an arrival's team and its weight.
	rate func(since time.Duration) float64
	team func(rng *rand.Rand) (string, int)
	// service returns the running time of a request.
	service func(rng *rand.Rand) time.Duration
	// stalled reports whether the workers make no progress.
	stalled func(since time.Duration) bool
	// outage is the fault of every attempt at any worker; FaultNone means that there is no outage.
	outage Fault
	// allowance is the number of targets that an entry host may eject at the same time.
	allowance int
	// skew is the share of the arrivals that go to the first entry host in addition to its equal share of the others.
	skew     float64
	start    time.Time
	done     []result
	attempts int
	maxBusy  int
	// maxEjected is the maximum number of targets that an entry host ejected at the same time.
	maxEjected int
	refusals   int
}

type worker struct {
	slots, busy int
	// fault is the immediate fault of every attempt at the worker; FaultNone means that it works.
	fault Fault
	// slowness multiplies the running times; zero means one.
	slowness int
	attempts int
}

type entryHost struct {
	scheduler *Scheduler
	waiting   map[*Waiter]*simulatedRequest
	nextWake  time.Time
}

// simulatedRequest is a request in the cluster.
type simulatedRequest struct {
	entry   *entryHost
	waiter  *Waiter
	arrived time.Time
	service time.Duration
	ended   bool
}

// result is the outcome of a request.
type result struct {
	arrived time.Duration
	latency time.Duration
	outcome Outcome
	team    string
}

const (
	networkDelay    = 1400 * time.Microsecond
	meanServiceTime = 50 * time.Millisecond
	requestDeadline = 2 * time.Second
	reportInterval  = 50 * time.Millisecond
)

// newCluster returns a cluster of entry hosts and of workers with 8 slots each.
func newCluster(seed uint64, entries, workers int) *cluster {
	c := &cluster{
		now: time.Unix(0, 0), start: time.Unix(0, 0),
		rng:     rand.New(rand.NewPCG(seed, 1)),
		workers: make(map[host.ID]*worker),
		team:    func(*rand.Rand) (string, int) { return "north", 1 },
		stalled: func(time.Duration) bool { return false },
		service: func(rng *rand.Rand) time.Duration {
			return time.Duration(rng.ExpFloat64() * float64(meanServiceTime))
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
		e := &entryHost{scheduler: &Scheduler{}, waiting: make(map[*Waiter]*simulatedRequest)}
		e.scheduler.Selector.SetMemberCount(entries)
		e.scheduler.Selector.Update(snapshot)
		c.entries = append(c.entries, e)
	}
	return c
}

// capacity returns the number of requests a second that all slots can serve.
func (c *cluster) capacity() float64 {
	return float64(len(c.workers)*8) / meanServiceTime.Seconds()
}

// run simulates arrivals for a time and returns when all requests have ended.
func (c *cluster) run(length time.Duration) {
	end := c.start.Add(length)
	c.scheduleAfter(0, func() { c.scheduleArrivals(end) })
	c.scheduleAfter(reportInterval, func() { c.shareCounts(end) })
	for len(c.events) > 0 {
		e := heap.Pop(&c.events).(timedEvent)
		c.now = e.at
		e.action()
	}
}

func (c *cluster) elapsed() time.Duration { return c.now.Sub(c.start) }

func (c *cluster) scheduleArrivals(end time.Time) {
	if !c.now.Before(end) {
		return
	}
	gap := time.Duration(c.rng.ExpFloat64() / c.rate(c.elapsed()) * float64(time.Second))
	c.scheduleAfter(gap, func() {
		c.arrive()
		c.scheduleArrivals(end)
	})
}

func (c *cluster) arrive() {
	team, weight := c.team(c.rng)
	r := &simulatedRequest{
		entry:   c.entries[c.pickEntry()],
		arrived: c.now,
		service: c.service(c.rng),
		waiter:  &Waiter{Flow: Flow{"q", team}, Weight: weight, Idempotent: true, Deadline: c.now.Add(requestDeadline), MaxWaitingInQueue: 100},
	}
	a := r.entry.scheduler.Admit(c.now, c.rng, r.waiter)
	if a.Displaced != nil {
		c.endRequest(r.entry.waiting[a.Displaced], OutcomeNotRun)
	}
	switch {
	case a.Placed:
		c.dispatch(r, a.Target)
	case a.Queued:
		r.entry.waiting[r.waiter] = r
		c.scheduleAfter(requestDeadline, func() { c.expire(r) })
		c.advance(r.entry)
	default:
		c.endRequest(r, OutcomeNotRun)
	}
}

// pickEntry returns the index of an arrival's entry host.
func (c *cluster) pickEntry() int {
	if c.rng.Float64() < c.skew {
		return 0
	}
	return c.rng.IntN(len(c.entries))
}

func (c *cluster) expire(r *simulatedRequest) {
	if r.entry.scheduler.Cancel(r.waiter) {
		c.endRequest(r, OutcomeNotRun)
	}
}

func (c *cluster) dispatch(r *simulatedRequest, t Target) {
	c.attempts++
	start := c.now
	over := false
	finish := func(a Attempt) {
		if !over {
			over = true
			c.finish(r, t, a, start)
		}
	}
	c.schedule(r.waiter.Deadline, func() { finish(Attempt{Fault: FaultTimeout, Sent: true}) })
	c.scheduleAfter(networkDelay, func() {
		w := c.workers[t.Host]
		w.attempts++
		if f := max(c.outage, w.fault); f != FaultNone {
			c.scheduleAfter(networkDelay, func() { finish(Attempt{Fault: f, Sent: f != FaultUnreachable}) })
			return
		}
		if w.busy >= w.slots {
			c.refusals++
			c.scheduleAfter(networkDelay, func() { finish(Attempt{Fault: FaultRefused, Sent: true}) })
			return
		}
		w.busy++
		c.maxBusy = max(c.maxBusy, w.busy)
		c.execute(r.service*time.Duration(max(1, w.slowness)), func() {
			w.busy--
			c.scheduleAfter(networkDelay, func() { finish(Attempt{Sent: true}) })
		})
	})
}

// execute calls done after the length of a request, and delays it while the workers are stalled.
func (c *cluster) execute(length time.Duration, done func()) {
	c.scheduleAfter(length, func() {
		if c.stalled(c.elapsed()) {
			c.execute(meanServiceTime, done)
			return
		}
		done()
	})
}

func (c *cluster) finish(r *simulatedRequest, t Target, a Attempt, start time.Time) {
	s := r.entry.scheduler
	s.FinishAttempt(c.now, r.waiter.Flow.Queue, t.Host, a, c.now.Sub(start))
	if a.Retryable(true) && s.RetryBudget.TakeRetry(a.Fault) {
		r.entry.waiting[r.waiter] = r
		s.Requeue(r.waiter, t.Host)
	} else {
		c.endRequest(r, a.Outcome(false))
	}
	c.advance(r.entry)
}

func (c *cluster) advance(e *entryHost) {
	for _, g := range e.scheduler.GrantTargets(c.now, c.rng) {
		r := e.waiting[g.Waiter]
		delete(e.waiting, g.Waiter)
		if g.Refusal.Reason != ReasonNone {
			c.endRequest(r, OutcomeNotRun)
			continue
		}
		c.dispatch(r, g.Target)
	}
	next, ok := e.scheduler.Selector.NextRetry()
	if ok && e.scheduler.WaitingCount() > 0 && !next.Equal(e.nextWake) {
		e.nextWake = next
		c.schedule(next, func() { c.advance(e) })
	}
}

// shareCounts reports the requests in progress of every entry host to the others, after one network delay, and repeats itself.
func (c *cluster) shareCounts(end time.Time) {
	for _, e := range c.entries {
		c.maxEjected = max(c.maxEjected, len(e.scheduler.Selector.ejected))
	}
	all := make([]map[host.ID]int, len(c.entries))
	for i, e := range c.entries {
		all[i] = e.scheduler.Selector.InProgress()
	}
	c.scheduleAfter(networkDelay, func() {
		for i, e := range c.entries {
			peers := make(map[host.ID]int)
			for j, counts := range all {
				for id, n := range counts {
					if i != j {
						peers[id] += n
					}
				}
			}
			e.scheduler.Selector.SetPeerRequests(peers)
			e.scheduler.Selector.DetectOutliers(c.now, c.allowance)
			c.advance(e)
		}
	})
	if c.now.Before(end) {
		c.scheduleAfter(reportInterval, func() { c.shareCounts(end) })
	}
}

func (c *cluster) endRequest(r *simulatedRequest, o Outcome) {
	delete(r.entry.waiting, r.waiter)
	if r.ended {
		panic("a request ended twice")
	}
	r.ended = true
	c.done = append(c.done, result{r.arrived.Sub(c.start), c.now.Sub(r.arrived), o, r.waiter.Flow.Team})
}

func (c *cluster) scheduleAfter(d time.Duration, do func()) { c.schedule(c.now.Add(d), do) }

func (c *cluster) schedule(at time.Time, do func()) {
	c.eventCount++
	heap.Push(&c.events, timedEvent{at, c.eventCount, do})
}

type timedEvent struct {
	at     time.Time
	serial int
	action func()
}

type eventHeap []timedEvent

func (e eventHeap) Len() int { return len(e) }
func (e eventHeap) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].serial < e[j].serial
	}
	return e[i].at.Before(e[j].at)
}
func (e eventHeap) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *eventHeap) Push(x any)   { *e = append(*e, x.(timedEvent)) }
func (e *eventHeap) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}
