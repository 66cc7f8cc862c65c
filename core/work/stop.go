package work

import (
	"slices"
	"time"
)

// stopCause is why a run is to be stopped.
type stopCause int

const (
	// stopUnneeded means that the run must end, whatever its worker reports.
	stopUnneeded stopCause = iota + 1
	// stopUnanswered means that the run's start order got no answer. A report that lists the run withdraws the stop; that of a
	// long-running task waits for a report that doesn't.
	stopUnanswered
	// stopForMove means that the task is to run on another worker. It holds for one order: whether the step can do without
	// the task is asked again before the next one.
	stopForMove
)

// requestStop has a run stopped that must end.
func (s *Scheduler) requestStop(r *run) {
	s.runsToStop[r] = stopUnneeded
	r.stopReason = ""
}

// requestStopUnlessReported has a run stopped whose start order got no answer, unless a report lists it first. A stop
// of a run that must end stays due.
func (s *Scheduler) requestStopUnlessReported(r *run) {
	if s.runsToStop[r] == 0 {
		s.runsToStop[r] = stopUnanswered
	}
}

// requestMove has a run stopped whose task is to run on another worker. Reason states the figures behind the decision. A stop of a
// run that must end stays due.
func (s *Scheduler) requestMove(r *run, reason string) {
	if s.runsToStop[r] == 0 {
		s.runsToStop[r] = stopForMove
		r.stopReason = reason
	}
}

// withdrawMove withdraws the stop of a run that the last order has not moved.
func (s *Scheduler) withdrawMove(r *run) {
	if s.runsToStop[r] == stopForMove {
		delete(s.runsToStop, r)
	}
}

// ConfirmOrder reports whether an order is still wanted. It is asked right before the order is sent, since the caller may have been
// paused after the decision. An order that is not wanted counts as not sent, and has no result.
func (s *Scheduler) ConfirmOrder(o Order, now time.Time) bool {
	w := s.workers[o.Incarnation]
	var r *run
	if w != nil {
		r = w.runs[o.Run]
	}
	switch o.Kind {
	case OrderStart:
		return s.confirmStart(w, r, now)
	case OrderStop:
		return r == nil || s.confirmStop(r, now)
	}
	return true
}

// confirmStart is ConfirmOrder for a start order. The worker and the run are nil if they are no longer known.
func (s *Scheduler) confirmStart(w *worker, r *run, now time.Time) bool {
	if r != nil && r.task != nil && w.listed && !w.Draining && !s.hasStaleSnapshot(now) {
		return true
	}
	s.startsInFlight--
	if w != nil {
		w.startsInFlight--
	}
	if r != nil {
		s.handleStartResult(r, OrderResult{Outcome: OutcomeNotSent}, now)
	}
	return false
}

// confirmStop is ConfirmOrder for a stop order.
func (s *Scheduler) confirmStop(r *run, now time.Time) bool {
	switch s.runsToStop[r] {
	case stopUnneeded:
		return true
	case stopUnanswered:
		if s.isStopOfUnansweredDue(r) {
			return true
		}
	case stopForMove:
		if s.isMoveTolerated(r, now) {
			return true
		}
		s.withdrawMove(r)
	}
	r.stopInFlight = false
	return false
}

// isStopOfUnansweredDue reports whether a run may be stopped because its start order got no answer. A long-running task may be at work
// until a report that was asked for since doesn't list it. A worker that answers no renewal would hardly answer the stop.
func (s *Scheduler) isStopOfUnansweredDue(r *run) bool {
	if r.task == nil || !r.task.group.spec().LongRunning {
		return true
	}
	return r.worker.answeredSequence > r.unansweredSequence
}

// isMoveTolerated reports whether the task that the run belongs to may still be stopped in order to run on another worker: the
// worker is to become empty and the step tolerates the loss, or the task stands still.
func (s *Scheduler) isMoveTolerated(r *run, now time.Time) bool {
	if !r.worker.withdrawn && !r.worker.Draining {
		return r.isBestEffort() && r.speedPercent == 0
	}
	return !r.task.group.spec().LongRunning || s.availabilityWithout(r.task, now).toleratesLoss()
}

// mayBeStopping reports whether the run is to be stopped or a stop order for it may still be carried out.
func (s *Scheduler) mayBeStopping(r *run, now time.Time) bool {
	unanswered := !r.stopUnansweredAt.IsZero() && now.Sub(r.stopUnansweredAt) <= lateOrderBound
	return s.runsToStop[r] != 0 || r.stopInFlight || r.phase == phaseStopping || unanswered
}

// confirmListed records that a report lists a run whose start order has no answer yet.
func (s *Scheduler) confirmListed(r *run) {
	if s.runsToStop[r] == stopUnanswered {
		delete(s.runsToStop, r)
	}
	if r.phase == phaseStarting || (r.phase == phaseUncertain && s.runsToStop[r] == 0) {
		r.phase = phaseRunning
	}
}

// stopAllRuns detaches all runs of a job from their tasks and marks them to be stopped.
func (s *Scheduler) stopAllRuns(j *job) {
	for _, g := range j.groups {
		for _, t := range g.tasks {
			for _, r := range t.runs {
				r.task = nil
				s.requestStop(r)
			}
			t.runs = nil
		}
	}
	j.groups = nil
	s.groups = slices.DeleteFunc(s.groups, func(g *taskGroup) bool { return g.job == j })
	if j.awaitsDueTime {
		j.awaitsDueTime = false
		s.jobsAwaitingDueTime--
	}
}

// stopGang stops the runs of a gang of which a member can't be started, since they would wait for it in vain.
func (s *Scheduler) stopGang(g *taskGroup) {
	if !g.spec().Gang {
		return
	}
	for _, t := range g.tasks {
		for _, r := range t.runs {
			s.requestStop(r)
		}
	}
}
