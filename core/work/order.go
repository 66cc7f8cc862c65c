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
	Contact
	Epoch uint64
	Run   Run
	// Spec and Checkpoint are set for a start.
	Spec       string
	Checkpoint string
	// Ticket is the policy service's approval for this worker; empty where none is needed.
	Ticket string
	// Deadline of a start is by the worker's clock.
	Deadline time.Duration
	// Percent is set for a change of pace.
	Percent int
	// Why tells what decided, for people who look back.
	Why string
}

// Verdict is how an order was answered.
type Verdict int

// Verdicts on orders.
const (
	// VerdictOK orders were carried out.
	VerdictOK Verdict = iota
	// VerdictUnknown orders got no answer and may still be carried out.
	VerdictUnknown
	// VerdictNotSent orders never reached the worker.
	VerdictNotSent
	// VerdictFenced orders met a worker that has seen a higher epoch.
	VerdictFenced
	// VerdictOld starts were refused because a later attempt ended there.
	VerdictOld
	// VerdictLate starts came after their deadline.
	VerdictLate
	// VerdictNoRoom starts found no room.
	VerdictNoRoom
	// VerdictNoTicket starts lacked a valid approval.
	VerdictNoTicket
	// VerdictUnhealthy orders met a worker that does nothing at the moment.
	VerdictUnhealthy
	// VerdictInvalid orders were malformed.
	VerdictInvalid
	// VerdictGone orders met another life at the worker's address: this one is over.
	VerdictGone
	// VerdictReborn orders were answered by a later life of the worker than the one they were meant for.
	VerdictReborn
)

// Answer is the outcome of an order.
type Answer struct {
	Verdict Verdict
	// Clock is the worker's clock; zero if the answer had none.
	Clock time.Duration
	// Born is set with VerdictReborn: the beginning of the life that answered.
	Born int64
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

// Orders returns what has to be sent now: stops first, then changes of pace, then starts.
// Wall is the time of day, for occurrences that are due at a time.
func (b *Board) Orders(now, wall time.Time) []Order {
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

func (b *Board) openTimed(wall time.Time) {
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
func (b *Board) endLapsed(now time.Time) {
	for _, w := range b.order {
		if len(w.runs) == 0 || w.misses == 0 || !w.clock.over(now) {
			continue
		}
		for _, r := range sortedRuns(w) {
			if w.listed && r.task != nil && !r.task.group.spec().Lasting {
				continue
			}
			b.giveUp(r, CauseLeaseOver, now)
		}
	}
}

// stops returns a stop order for each run that nobody wants.
func (b *Board) stops(now time.Time) []Order {
	var orders []Order
	for _, r := range b.unwantedRuns() {
		if r.stopping || r.phase == phaseStopping || r.phase == phaseOrdered || now.Before(r.retry) {
			continue
		}
		r.stopping = true
		orders = append(orders, Order{Kind: OrderStop, Contact: r.worker.contact(), Epoch: b.Epoch, Run: r.name})
	}
	return orders
}

// unwantedRuns returns the runs to be stopped in an order that does not vary.
func (b *Board) unwantedRuns() []*run {
	runs := make([]*run, 0, len(b.unwanted))
	for r := range b.unwanted {
		runs = append(runs, r)
	}
	slices.SortFunc(runs, func(a, c *run) int {
		return cmp.Or(compareRuns(a, c), cmp.Compare(a.worker.Life.Worker, c.worker.Life.Worker))
	})
	return runs
}

// start creates the run of a task's next attempt and returns its order.
func (b *Board) start(t *task, w *worker, now time.Time) Order {
	t.attempt++
	spec := t.group.spec()
	r := &run{
		name: Run{Task: t.name(), Attempt: t.attempt}, task: t, worker: w,
		demand: spec.counted(), phase: phaseOrdered, started: now, checkpoint: t.checkpoint,
	}
	t.runs = append(t.runs, r)
	w.runs[r.name] = r
	w.used = w.used.Plus(r.demand)
	w.unanswered++
	b.inFlight++
	r.order = Order{
		Kind: OrderStart, Contact: w.contact(), Epoch: b.Epoch, Run: r.name,
		Spec: t.group.job.Spec, Checkpoint: t.checkpoint, Ticket: t.group.approvals[w.Life].ticket,
		Deadline: w.clock.grant(now, b.policy.Lease),
		Why:      fmt.Sprintf("%s after %s, worker had %d milli-cores free", t.group.standing(now), now.Sub(t.group.from).Round(time.Millisecond), w.free().Plus(r.demand).MilliCores),
	}
	return r.order
}

// repeats returns the starts that got no answer and are sent again. A life that is not listed any more gets none: a later life of
// the worker has not seen the epoch of a next holder, and would carry out what that one has settled otherwise.
func (b *Board) repeats(now time.Time) []Order {
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

// Answered takes in how an order was answered. It reports false if the duty is another's now.
func (b *Board) Answered(o Order, a Answer, now time.Time) bool {
	if a.Verdict == VerdictFenced {
		return false
	}
	if o.Kind == OrderStart {
		b.inFlight--
	}
	w := b.workers[o.Life]
	if w == nil {
		return true
	}
	if o.Kind == OrderStart {
		w.unanswered--
	}
	b.heed(w, a, now)
	r := w.runs[o.Run]
	if a.Verdict == VerdictGone || a.Verdict == VerdictReborn || r == nil {
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
func (b *Board) heed(w *worker, a Answer, now time.Time) {
	switch a.Verdict {
	case VerdictUnknown, VerdictNotSent:
		w.miss(now)
	case VerdictGone:
		b.Gone(w.Life)
	case VerdictReborn:
		b.Reborn(w.Life, a.Born)
	case VerdictUnhealthy:
		w.closed = later(w.closed, now.Add(unhealthyPause))
	case VerdictNoRoom:
		w.closed = later(w.closed, now.Add(noRoomPause))
	}
	if a.Clock > 0 && a.Verdict != VerdictReborn {
		b.hear(w, a.Clock, now)
	}
}

func later(a, c time.Time) time.Time {
	if c.After(a) {
		return c
	}
	return a
}

func (b *Board) startAnswered(r *run, a Answer, now time.Time) {
	switch {
	case a.Verdict == VerdictOK || (a.Verdict == VerdictOld && r.repeats > 0):
		// A repeat that is too old met a worker on which the run has ended: a report will tell how.
		if r.phase == phaseOrdered {
			r.phase = phaseRunning
		}
		r.confirmed = true
		r.known = b.sequence
		if r.task != nil {
			r.task.group.job.begun = true
		}
	case a.Verdict == VerdictUnknown:
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
			if a.Verdict == VerdictNoTicket {
				r.task.group.ticketRefused(r.worker.Life)
			}
			b.disband(r.task.group)
		}
		b.giveUp(r, CauseRefused, now)
	}
}

// disband gives up the runs of a gang of which a member can't be started: they would wait for it in vain.
func (b *Board) disband(g *group) {
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
func (b *Board) doubt(r *run) {
	if r.confirmed {
		return
	}
	r.phase = phaseDoubtful
	b.unwanted[r] = true
}

func (b *Board) stopAnswered(r *run, a Answer, now time.Time) {
	r.stopping = false
	r.retry = now.Add(stopRetry)
	if a.Verdict != VerdictOK {
		return
	}
	r.phase = phaseStopping
	r.confirmed = true
	r.known = b.sequence
}

// Missed notes a renewal without an answer.
func (b *Board) Missed(l Life, now time.Time) {
	if w := b.workers[l]; w != nil {
		w.miss(now)
	}
}

// Gone ends a life that is certainly over: another life answers at its address.
func (b *Board) Gone(l Life) {
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

// Reborn ends a life whose worker answered from a later one. What was ordered and not answered may be there now.
func (b *Board) Reborn(l Life, born int64) {
	w := b.workers[l]
	if w == nil || born <= l.Born {
		return
	}
	next := w.Listing
	next.Life.Born = born
	if b.workers[next.Life] == nil {
		b.admit(next)
	}
	w.listed = false
	b.Gone(l)
}

// Contacts returns the lives that are to be renewed: those that are listed and those that may still run something.
func (b *Board) Contacts() []Life {
	lives := make([]Life, 0, len(b.order))
	for _, w := range b.order {
		lives = append(lives, w.Life)
	}
	return lives
}

// Roster returns the lives that the stored roster has to name before they get work: those that are listed and those that hold
// something, less the cleared ones among the workers that are leaving.
func (b *Board) Roster(listings []Listing, leaving map[string]bool) map[Life]bool {
	b.init()
	roster := make(map[Life]bool)
	for _, life := range b.Contacts() {
		roster[life] = true
	}
	for life := range b.unseen {
		roster[life] = true
	}
	for _, l := range listings {
		roster[l.Life] = true
	}
	for _, life := range b.ClearedLives() {
		if leaving[life.Worker] {
			delete(roster, life)
		}
	}
	return roster
}
