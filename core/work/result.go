package work

import "time"

// OrderResult is the result of an order.
type OrderResult struct {
	Outcome Outcome
	// WorkerClock is the reading of the worker's clock; zero if the answer had none.
	WorkerClock time.Duration
	// StartMillis is set with OutcomeReborn. It is the start time of the incarnation that answered.
	StartMillis int64
}

const (
	// noRoomBackoff is the time for which a worker without room gets no new tasks. Its next report arrives
	// meanwhile.
	noRoomBackoff = 150 * time.Millisecond
	// unhealthyBackoff is the time for which a worker that refuses all orders gets no new tasks.
	unhealthyBackoff = 500 * time.Millisecond
)

// HandleResult processes the result of an order. It returns false if another process holds the duty now.
func (s *Scheduler) HandleResult(o Order, res OrderResult, now time.Time) bool {
	if res.Outcome == OutcomeFenced {
		switch {
		case !s.HasSupersededToken(o.Endpoint):
			return false
		case s.HasLaterIncarnation(o.Incarnation):
			res = OrderResult{Outcome: OutcomeGone} // the later incarnation has refused it
		}
	}
	if o.Kind == OrderStart {
		s.startsInFlight--
		switch res.Outcome {
		case OutcomeUnknown:
			s.lateStarts.add(o, now)
		case OutcomeOK:
			s.lateStarts.answered(o.Incarnation.Worker, o.Run)
		}
	}
	w := s.workers[o.Incarnation]
	if w == nil {
		return true
	}
	if o.Kind == OrderStart {
		w.startsInFlight--
	}
	s.applyResultToWorker(w, res, now)
	r := w.runs[o.Run]
	if res.Outcome == OutcomeGone || res.Outcome == OutcomeReborn || r == nil {
		return true
	}
	s.sequence++
	switch o.Kind {
	case OrderStart:
		s.observeStart(r, o, res, now)
		s.handleStartResult(r, res, now)
	case OrderStop:
		s.handleStopResult(r, res, now)
	case OrderPace:
		s.handlePaceResult(r, o, res, now)
	}
	return true
}

// observeStart learns from the answer to a start how long starts take, and what lease the worker holds.
func (s *Scheduler) observeStart(r *run, o Order, res OrderResult, now time.Time) {
	if r.startRepeats == 0 && res.Outcome != OutcomeUnknown && res.Outcome != OutcomeNotSent {
		s.startWindow.record(now.Sub(r.startedAt))
	}
	clock := &r.worker.clock
	if res.Outcome == OutcomeOK && clock.holdsLeaseFor(0, now) {
		clock.confirm(o.LeaseDeadline) // otherwise the runs of the last report may have lapsed before
	}
}

// applyResultToWorker updates the state of the worker from the result of an order.
func (s *Scheduler) applyResultToWorker(w *worker, res OrderResult, now time.Time) {
	switch res.Outcome {
	case OutcomeUnknown, OutcomeNotSent:
		s.recordMiss(w, now)
	case OutcomeGone:
		s.EndIncarnation(w.Incarnation)
	case OutcomeReborn:
		s.ReplaceIncarnation(w.Incarnation, res.StartMillis, now)
	case OutcomeUnhealthy:
		w.unavailableUntil = laterTime(w.unavailableUntil, now.Add(unhealthyBackoff))
	case OutcomeNoRoom:
		w.unavailableUntil = laterTime(w.unavailableUntil, now.Add(noRoomBackoff))
	}
	if res.WorkerClock > 0 && res.Outcome != OutcomeReborn {
		s.recordAnswer(w, res.WorkerClock, now)
	}
}

func laterTime(a, c time.Time) time.Time {
	if c.After(a) {
		return c
	}
	return a
}

// handleStartResult processes the result of a start order.
func (s *Scheduler) handleStartResult(r *run, res OrderResult, now time.Time) {
	switch {
	case res.Outcome == OutcomeOK || (res.Outcome == OutcomeOld && r.startRepeats > 0):
		// A repeat that is refused as old reached a worker on which the run has ended. A report will contain the
		// end.
		if r.phase == phaseStarting {
			r.phase = phaseRunning
		}
		r.confirmed = true
		r.begun = r.begun || r.worker.hasAnswered(res.WorkerClock, now)
		r.confirmedSequence = s.sequence
		if r.task != nil {
			r.task.group.job.started = true
		}
	case res.Outcome == OutcomeUnknown:
		r.unansweredSequence = s.sequence
		if r.startRepeats < maxStartRepeats && r.phase == phaseStarting {
			r.repeatStart = true
			s.startsToRepeat++
			return
		}
		s.markUncertain(r)
	case r.startRepeats > 0:
		s.markUncertain(r) // the first order may still be carried out
	default:
		if r.probe && res.Outcome == OutcomeLate {
			r.worker.lateProbes++
		}
		if r.task != nil {
			r.task.notBefore = now.Add(refusalBackoff)
			if res.Outcome == OutcomeNoTicket {
				r.task.group.handleRefusedTicket(r.worker.Incarnation)
			}
			s.stopGang(r.task.group)
		}
		s.presumeEnded(r, CauseRefused, now)
	}
}

// refusalBackoff delays the next attempt of a task after a refusal, to limit the load on a pool that refuses
// starts.
const refusalBackoff = 20 * time.Millisecond

// markUncertain marks a run whose start order got no answer, and has it stopped because the order may still be
// carried out.
func (s *Scheduler) markUncertain(r *run) {
	if r.confirmed {
		return
	}
	r.phase = phaseUncertain
	s.requestStopUnlessReported(r)
}

// handleStopResult processes the result of a stop order.
func (s *Scheduler) handleStopResult(r *run, res OrderResult, now time.Time) {
	r.stopInFlight = false
	r.stopRetryAt = now.Add(stopRetryInterval)
	if res.Outcome != OutcomeOK {
		if res.Outcome == OutcomeUnknown {
			r.stopUnansweredAt = now
			r.unansweredSequence = s.sequence
		}
		s.withdrawMove(r)
		return
	}
	r.phase = phaseStopping
	r.confirmed = true
	r.confirmedSequence = s.sequence
}
