package work

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// OrderKind is the kind of an order.
type OrderKind int

// Kinds of orders.
const (
	OrderStart OrderKind = iota
	OrderStop
	OrderPace
)

// Order is a command to a worker. The caller of Schedule sends it and passes the result to HandleResult.
type Order struct {
	Kind OrderKind
	Endpoint
	Epoch uint64
	Run   RunID
	// Spec and Checkpoint are set for start orders.
	Spec       string
	Checkpoint string
	// Ticket is the approval of the policy service for this worker; empty if none is needed.
	Ticket string
	// LeaseDeadline is set for start orders, by the worker's clock.
	LeaseDeadline time.Duration
	// SpeedPercent is set for pace orders.
	SpeedPercent int
	// Reason states the figures behind the decision, for the log.
	Reason string
}

// Outcome is the outcome of an order.
type Outcome int

// Outcomes of orders.
const (
	// OutcomeOK means that the order was carried out.
	OutcomeOK Outcome = iota
	// OutcomeUnknown means that there was no answer. The order may still be carried out.
	OutcomeUnknown
	// OutcomeNotSent means that the order never reached the worker.
	OutcomeNotSent
	// OutcomeFenced means that the worker has seen a higher fencing token.
	OutcomeFenced
	// OutcomeOld means that a start was refused because a later attempt has ended on the worker.
	OutcomeOld
	// OutcomeLate means that a start arrived after its deadline.
	OutcomeLate
	// OutcomeNoRoom means that the worker had no room for the task.
	OutcomeNoRoom
	// OutcomeNoTicket means that a start lacked a valid approval.
	OutcomeNoTicket
	// OutcomeUnhealthy means that the worker refuses all orders at the moment.
	OutcomeUnhealthy
	// OutcomeInvalid means that the order was malformed.
	OutcomeInvalid
	// OutcomeGone means that another worker answers at the address, so that the addressed incarnation has ended.
	OutcomeGone
	// OutcomeReborn means that a later incarnation of the worker answered.
	OutcomeReborn
)

const (
	// stopRetryInterval is the time between two stop orders for one run, about the timeout of a call.
	stopRetryInterval = 700 * time.Millisecond
	// maxStartRepeats limits how often an unanswered start is sent again before its run is stopped. A worker
	// treats a repeat as the same start, and two losses in a row are rare unless the worker is unreachable.
	maxStartRepeats = 1
)

// Schedule makes the decisions of one round and returns the orders to send: stops first, then changes of pace,
// then starts. Wall is the time of day, which activates scheduled occurrences.
func (s *Scheduler) Schedule(now, wall time.Time) []Order {
	s.initialise()
	s.Quota.SetUnresolved(s.hasUnchargedRuns(now))
	s.endExpiredRuns(now)
	s.activateDueOccurrences(wall)
	for _, g := range s.groups {
		g.unplaced = false
	}
	s.awaitsRoom = s.learnsInterference && s.hasWaitedForRoom()
	s.evacuate(now)
	s.interference.Forget(now)
	s.compareLatencies(now)
	s.relocateHaltedTasks(now)
	orders := append(s.stopOrders(now), s.repeatedStartOrders(now)...)
	orders = append(orders, s.paceOrders(now)...)
	return append(orders, s.placeTasks(now)...)
}

// activateDueOccurrences activates the steps of occurrences that have become due.
func (s *Scheduler) activateDueOccurrences(wall time.Time) {
	if s.jobsAwaitingDueTime == 0 {
		return
	}
	for _, j := range s.jobs {
		if j.awaitsDueTime && !j.isFinal() {
			s.activateReadySteps(j, wall)
		}
	}
}

// endExpiredRuns ends the runs on unreachable workers whose leases have certainly expired. While such a worker
// is listed, its runs that end by themselves are not ended before listedSilenceLimit, unless they are unneeded: another run may
// have succeeded before the expiry, and the worker will report that.
func (s *Scheduler) endExpiredRuns(now time.Time) {
	proven := s.provenTime(now) // another holder may have renewed the leases since
	for _, w := range s.sortedWorkers {
		if len(w.runs) == 0 || w.consecutiveMisses == 0 || (!s.leasesExpired(w, proven) && !s.isUnheard(w, proven)) {
			continue
		}
		if !w.listed {
			s.recordSilentEnd(w, now)
		}
		awaitsReport := w.listed && w.silentFor(now) <= listedSilenceLimit
		for _, r := range sortedRuns(w) {
			if awaitsReport && r.task != nil && !r.task.group.spec().LongRunning {
				continue
			}
			if w.listed && r.task != nil {
				w.expired = append(w.expired, *r)
			}
			s.presumeEnded(r, CauseLeaseOver, now)
		}
	}
}

// stopOrders returns a stop order for each run in runsToStop that has no stop order in flight.
func (s *Scheduler) stopOrders(now time.Time) []Order {
	var orders []Order
	for _, r := range s.sortedRunsToStop() {
		if r.stopInFlight || r.phase == phaseStopping || r.phase == phaseStarting || now.Before(r.stopRetryAt) {
			continue
		}
		if s.runsToStop[r] == stopUnanswered && !s.isStopOfUnansweredDue(r) {
			continue
		}
		r.stopInFlight = true
		r.stopsSent++
		orders = append(orders, Order{Kind: OrderStop, Endpoint: r.worker.endpoint(), Epoch: s.Epoch, Run: r.id, Reason: r.describeStop()})
	}
	return orders
}

// describeStop returns the reason of the next stop order, for the log.
func (r *run) describeStop() string {
	if r.stopReason == "" || r.stopsSent <= 1 {
		return r.stopReason
	}
	return fmt.Sprintf("%s, order %d", r.stopReason, r.stopsSent)
}

// sortedRunsToStop returns the runs to be stopped in a deterministic order.
func (s *Scheduler) sortedRunsToStop() []*run {
	runs := make([]*run, 0, len(s.runsToStop))
	for r := range s.runsToStop {
		runs = append(runs, r)
	}
	slices.SortFunc(runs, func(a, c *run) int {
		return cmp.Or(compareRuns(a, c), cmp.Compare(a.worker.Incarnation.Worker, c.worker.Incarnation.Worker))
	})
	return runs
}

// startTask creates the run of the task's next attempt and returns its start order.
func (s *Scheduler) startTask(t *task, w *worker, now time.Time) Order {
	return s.startTaskFor(s.timing.Lease, t, w, now)
}

// startTaskFor is startTask for a lease of this length.
func (s *Scheduler) startTaskFor(lease time.Duration, t *task, w *worker, now time.Time) Order {
	t.attempt++
	spec := t.group.spec()
	r := &run{
		id: RunID{Task: t.id(), Attempt: t.attempt}, task: t, worker: w,
		demand: spec.reservedResources(), phase: phaseStarting, startedAt: now, checkpoint: t.checkpoint,
		kind: t.group.kind, fromStart: t.checkpoint == "",
	}
	r.usage = t.group.quotaUsage()
	s.Quota.Acquire(r.usage.organisation, r.usage.demand)
	t.runs = append(t.runs, r)
	w.attachRun(r)
	w.startsInFlight++
	s.startsInFlight++
	r.startOrder = Order{
		Kind: OrderStart, Endpoint: w.endpoint(), Epoch: s.Epoch, Run: r.id,
		Spec: t.group.job.Spec, Checkpoint: t.checkpoint, Ticket: t.group.approvals[w.Incarnation].ticket,
		LeaseDeadline: w.clock.grant(now, lease),
		Reason:        fmt.Sprintf("%s after %s, worker had %d milli-cores free", t.group.urgencyNow(now), now.Sub(t.group.objectiveStart).Round(time.Millisecond), w.freeResources().Add(r.demand).MilliCores),
	}
	return r.startOrder
}

// repeatedStartOrders returns the unanswered start orders that are sent again. Nothing is repeated to an
// incarnation that is no longer listed: a later incarnation of the worker may not have seen the epoch of the
// next holder, and would carry out a start that conflicts with that holder's decisions. Nor is anything repeated to a
// worker that is about to leave, or whose capacity has shrunk below what its runs take.
func (s *Scheduler) repeatedStartOrders(now time.Time) []Order {
	if s.startsToRepeat == 0 {
		return nil
	}
	s.startsToRepeat = 0
	var orders []Order
	for _, w := range s.sortedWorkers {
		for _, r := range sortedRuns(w) {
			if !r.repeatStart {
				continue
			}
			r.repeatStart = false
			if r.task == nil || r.confirmed || !w.listed || w.Draining || w.isOverfull() || s.hasStaleSnapshot(now) {
				s.markUncertain(r)
				continue
			}
			r.startRepeats++
			w.startsInFlight++
			s.startsInFlight++
			r.startOrder.Endpoint = w.endpoint()
			orders = append(orders, r.startOrder)
		}
	}
	return orders
}

// HandleMissedRenewal records that a renewal got no answer.
func (s *Scheduler) HandleMissedRenewal(inc Incarnation, now time.Time) {
	if w := s.workers[inc]; w != nil {
		s.recordMissedAcknowledgement(w, now)
		s.recordMiss(w, now)
	}
}

// EndIncarnation ends an incarnation that has certainly ended, because another one answers at its address.
func (s *Scheduler) EndIncarnation(inc Incarnation) {
	s.recordCertainEnd(inc)
	w := s.workers[inc]
	if w == nil {
		return
	}
	w.ended = true
	if !s.HasLaterIncarnation(inc) {
		delete(s.unresolved, inc)
	}
	for _, r := range sortedRuns(w) {
		s.presumeEnded(r, CauseLifeOver, time.Time{})
	}
	if !w.listed {
		s.removeWorker(w)
	}
	w.consecutiveMisses++
}

// ReplaceIncarnation ends an incarnation whose worker answered from a later one. Unanswered orders may be
// carried out by the later one.
func (s *Scheduler) ReplaceIncarnation(inc Incarnation, startMillis int64, now time.Time) {
	w := s.workers[inc]
	if w == nil || startMillis <= inc.StartMillis {
		return
	}
	next := w.WorkerInfo
	next.Incarnation.StartMillis = startMillis
	if s.workers[next.Incarnation] == nil {
		s.addIncarnation(next, now)
	}
	w.listed = false
	s.EndIncarnation(inc)
}

// IncarnationsToRenew returns the incarnations whose leases are to be renewed: those that are listed and those
// that may still have runs.
func (s *Scheduler) IncarnationsToRenew() []Incarnation {
	incarnations := make([]Incarnation, 0, len(s.sortedWorkers))
	for _, w := range s.sortedWorkers {
		incarnations = append(incarnations, w.Incarnation)
	}
	return incarnations
}
