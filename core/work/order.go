package work

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// OrderKind is what a worker is told to do.
type OrderKind int

// Kinds of orders.
const (
	OrderStart OrderKind = iota
	OrderStop
	OrderPace
)

// Order is one command to a worker. The owner sends it and hands the answer to Answered.
type Order struct {
	Kind OrderKind
	Endpoint
	Epoch uint64
	Run   RunID
	// Spec and Checkpoint are set for a start.
	Spec       string
	Checkpoint string
	// Ticket is the policy service's approval for this worker; empty where none is needed.
	Ticket string
	// LeaseDeadline of a start is by the worker's clock.
	LeaseDeadline time.Duration
	// SpeedPercent is set for a change of pace.
	SpeedPercent int
	// Reason tells what decided, for people who look back.
	Reason string
}

// Outcome is how an order was answered.
type Outcome int

// Verdicts on orders.
const (
	// OutcomeOK orders were carried out.
	OutcomeOK Outcome = iota
	// OutcomeUnknown orders got no answer and may still be carried out.
	OutcomeUnknown
	// OutcomeNotSent orders never reached the worker.
	OutcomeNotSent
	// OutcomeFenced orders met a worker that has seen a higher epoch.
	OutcomeFenced
	// OutcomeOld starts were refused because a later attempt ended there.
	OutcomeOld
	// OutcomeLate starts came after their deadline.
	OutcomeLate
	// OutcomeNoRoom starts found no room.
	OutcomeNoRoom
	// OutcomeNoTicket starts lacked a valid approval.
	OutcomeNoTicket
	// OutcomeUnhealthy orders met a worker that does nothing at the moment.
	OutcomeUnhealthy
	// OutcomeInvalid orders were malformed.
	OutcomeInvalid
	// OutcomeGone orders met another life at the worker's address: this one is over.
	OutcomeGone
	// OutcomeReborn orders were answered by a later life of the worker than the one they were meant for.
	OutcomeReborn
)

// OrderResult is the outcome of an order.
type OrderResult struct {
	Outcome Outcome
	// WorkerClock is the worker's clock; zero if the answer had none.
	WorkerClock time.Duration
	// StartMillis is set with OutcomeReborn: the beginning of the life that answered.
	StartMillis int64
}

const (
	// noRoomPause is how long a worker that had no room is passed over: its next report comes meanwhile.
	noRoomPause = 150 * time.Millisecond
	// unhealthyPause is how long a worker that refuses everything is passed over.
	unhealthyPause = 500 * time.Millisecond
	// stopRetry is the time between two stop orders for one run, about a call's timeout.
	stopRetry = 700 * time.Millisecond
	// startRepeats is how often a start without an answer is sent again before its run is given up: a worker takes a repeat
	// as the same start, and a second loss in a row is rare unless the worker is cut off.
	startRepeats = 1
)

// Schedule returns what has to be sent now: stops first, then changes of pace, then starts.
// Wall is the time of day, for occurrences that are due at a time.
func (b *Scheduler) Schedule(now, wall time.Time) []Order {
	b.init()
	b.endLapsed(now)
	b.openTimed(wall)
	for _, g := range b.groups {
		g.searching = false
	}
	b.evacuate(now)
	orders := append(b.stops(now), b.repeats(now)...)
	orders = append(orders, b.paces(now)...)
	return append(orders, b.place(now)...)
}

func (b *Scheduler) openTimed(wall time.Time) {
	if b.timed == 0 {
		return
	}
	for _, j := range b.jobs {
		if j.timed && !j.final() {
			b.openSteps(j, wall)
		}
	}
}

// endLapsed ends the runs on workers whose leases are certainly over. A run that may have ended as done before that is kept
// while its worker is listed: the worker lives, and will tell.
func (b *Scheduler) endLapsed(now time.Time) {
	for _, w := range b.order {
		if len(w.runs) == 0 || w.misses == 0 || !w.clock.over(now) {
			continue
		}
		for _, r := range sortedRuns(w) {
			if w.listed && r.task != nil && !r.task.group.spec().LongRunning {
				continue
			}
			b.giveUp(r, CauseLeaseOver, now)
		}
	}
}

// stops returns a stop order for each run that nobody wants.
func (b *Scheduler) stops(now time.Time) []Order {
	var orders []Order
	for _, r := range b.unwantedRuns() {
		if r.stopping || r.phase == phaseStopping || r.phase == phaseOrdered || now.Before(r.retry) {
			continue
		}
		r.stopping = true
		orders = append(orders, Order{Kind: OrderStop, Endpoint: r.worker.contact(), Epoch: b.Epoch, Run: r.name})
	}
	return orders
}

// unwantedRuns returns the runs to be stopped in an order that does not vary.
func (b *Scheduler) unwantedRuns() []*run {
	runs := make([]*run, 0, len(b.unwanted))
	for r := range b.unwanted {
		runs = append(runs, r)
	}
	slices.SortFunc(runs, func(a, c *run) int {
		return cmp.Or(compareRuns(a, c), cmp.Compare(a.worker.Incarnation.Worker, c.worker.Incarnation.Worker))
	})
	return runs
}

// start creates the run of a task's next attempt and returns its order.
func (b *Scheduler) start(t *task, w *worker, now time.Time) Order {
	t.attempt++
	spec := t.group.spec()
	r := &run{
		name: RunID{Task: t.name(), Attempt: t.attempt}, task: t, worker: w,
		demand: spec.counted(), phase: phaseOrdered, started: now, checkpoint: t.checkpoint,
	}
	t.runs = append(t.runs, r)
	w.runs[r.name] = r
	w.used = w.used.Add(r.demand)
	w.unanswered++
	b.inFlight++
	r.order = Order{
		Kind: OrderStart, Endpoint: w.contact(), Epoch: b.Epoch, Run: r.name,
		Spec: t.group.job.Spec, Checkpoint: t.checkpoint, Ticket: t.group.approvals[w.Incarnation].ticket,
		LeaseDeadline: w.clock.grant(now, b.policy.Lease),
		Reason:        fmt.Sprintf("%s after %s, worker had %d milli-cores free", t.group.standing(now), now.Sub(t.group.from).Round(time.Millisecond), w.free().Add(r.demand).MilliCores),
	}
	return r.order
}

// repeats returns the starts that got no answer and are sent again. A life that is not listed any more gets none: a later life of
// the worker has not seen the epoch of a next holder, and would carry out what that one has settled otherwise.
func (b *Scheduler) repeats(now time.Time) []Order {
	if b.unsure == 0 {
		return nil
	}
	b.unsure = 0
	var orders []Order
	for _, w := range b.order {
		for _, r := range sortedRuns(w) {
			if !r.unsure {
				continue
			}
			r.unsure = false
			if r.task == nil || !w.listed || b.outdated(now) {
				b.doubt(r)
				continue
			}
			r.repeats++
			w.unanswered++
			b.inFlight++
			orders = append(orders, r.order)
		}
	}
	return orders
}

// HandleResult takes in how an order was answered. It reports false if the duty is another's now.
func (b *Scheduler) HandleResult(o Order, a OrderResult, now time.Time) bool {
	if a.Outcome == OutcomeFenced {
		return false
	}
	if o.Kind == OrderStart {
		b.inFlight--
	}
	w := b.workers[o.Incarnation]
	if w == nil {
		return true
	}
	if o.Kind == OrderStart {
		w.unanswered--
	}
	b.heed(w, a, now)
	r := w.runs[o.Run]
	if a.Outcome == OutcomeGone || a.Outcome == OutcomeReborn || r == nil {
		return true
	}
	b.sequence++
	switch o.Kind {
	case OrderStart:
		b.startAnswered(r, a, now)
	case OrderStop:
		b.stopAnswered(r, a, now)
	case OrderPace:
		b.paceAnswered(r, o, a, now)
	}
	return true
}

// heed takes in what an answer tells about the worker.
func (b *Scheduler) heed(w *worker, a OrderResult, now time.Time) {
	switch a.Outcome {
	case OutcomeUnknown, OutcomeNotSent:
		w.miss(now)
	case OutcomeGone:
		b.EndIncarnation(w.Incarnation)
	case OutcomeReborn:
		b.ReplaceIncarnation(w.Incarnation, a.StartMillis)
	case OutcomeUnhealthy:
		w.closed = later(w.closed, now.Add(unhealthyPause))
	case OutcomeNoRoom:
		w.closed = later(w.closed, now.Add(noRoomPause))
	}
	if a.WorkerClock > 0 && a.Outcome != OutcomeReborn {
		b.hear(w, a.WorkerClock, now)
	}
}

func later(a, c time.Time) time.Time {
	if c.After(a) {
		return c
	}
	return a
}

func (b *Scheduler) startAnswered(r *run, a OrderResult, now time.Time) {
	switch {
	case a.Outcome == OutcomeOK || (a.Outcome == OutcomeOld && r.repeats > 0):
		// A repeat that is too old met a worker on which the run has ended: a report will tell how.
		if r.phase == phaseOrdered {
			r.phase = phaseRunning
		}
		r.confirmed = true
		r.known = b.sequence
		if r.task != nil {
			r.task.group.job.begun = true
		}
	case a.Outcome == OutcomeUnknown:
		if r.repeats < startRepeats && r.phase == phaseOrdered {
			r.unsure = true
			b.unsure++
			return
		}
		b.doubt(r)
	case r.repeats > 0:
		b.doubt(r) // the first order may be carried out at any time
	default:
		if r.task != nil {
			r.task.notBefore = now.Add(refusedPause)
			if a.Outcome == OutcomeNoTicket {
				r.task.group.ticketRefused(r.worker.Incarnation)
			}
			b.disband(r.task.group)
		}
		b.giveUp(r, CauseRefused, now)
	}
}

// disband gives up the runs of a gang of which a member can't be started: they would wait for it in vain.
func (b *Scheduler) disband(g *group) {
	if !g.spec().Gang {
		return
	}
	for _, t := range g.tasks {
		for _, r := range t.runs {
			b.unwanted[r] = true
		}
	}
}

// refusedPause delays the next attempt of a task after a refusal, so that a refusing pool is not pressed.
const refusedPause = 20 * time.Millisecond

// doubt marks a run whose order got no answer. It is stopped, since its order may be carried out at any time.
func (b *Scheduler) doubt(r *run) {
	if r.confirmed {
		return
	}
	r.phase = phaseDoubtful
	b.unwanted[r] = true
}

func (b *Scheduler) stopAnswered(r *run, a OrderResult, now time.Time) {
	r.stopping = false
	r.retry = now.Add(stopRetry)
	if a.Outcome != OutcomeOK {
		return
	}
	r.phase = phaseStopping
	r.confirmed = true
	r.known = b.sequence
}

// HandleMissedRenewal notes a renewal without an answer.
func (b *Scheduler) HandleMissedRenewal(l Incarnation, now time.Time) {
	if w := b.workers[l]; w != nil {
		w.miss(now)
	}
}

// EndIncarnation ends a life that is certainly over: another life answers at its address.
func (b *Scheduler) EndIncarnation(l Incarnation) {
	w := b.workers[l]
	if w == nil {
		return
	}
	delete(b.unseen, l)
	for _, r := range sortedRuns(w) {
		b.giveUp(r, CauseLifeOver, time.Time{})
	}
	if !w.listed {
		b.remove(w)
	}
	w.misses++
}

// ReplaceIncarnation ends a life whose worker answered from a later one. What was ordered and not answered may be there now.
func (b *Scheduler) ReplaceIncarnation(l Incarnation, born int64) {
	w := b.workers[l]
	if w == nil || born <= l.StartMillis {
		return
	}
	next := w.WorkerInfo
	next.Incarnation.StartMillis = born
	if b.workers[next.Incarnation] == nil {
		b.admit(next)
	}
	w.listed = false
	b.EndIncarnation(l)
}

// IncarnationsToRenew returns the lives that are to be renewed: those that are listed and those that may still run something.
func (b *Scheduler) IncarnationsToRenew() []Incarnation {
	lives := make([]Incarnation, 0, len(b.order))
	for _, w := range b.order {
		lives = append(lives, w.Incarnation)
	}
	return lives
}

// RequiredRoster returns the lives that the stored roster has to name before they get work: those that are listed and those that hold
// something, less the cleared ones among the workers that are leaving.
func (b *Scheduler) RequiredRoster(listings []WorkerInfo, leaving map[string]bool) map[Incarnation]bool {
	b.init()
	roster := make(map[Incarnation]bool)
	for _, life := range b.IncarnationsToRenew() {
		roster[life] = true
	}
	for life := range b.unseen {
		roster[life] = true
	}
	for _, l := range listings {
		roster[l.Incarnation] = true
	}
	for _, life := range b.EvacuatedIncarnations() {
		if leaving[life.Worker] {
			delete(roster, life)
		}
	}
	return roster
}
