package work

import "time"

// PresumedEndCause is the reason why a run has certainly ended although no report contained its end.
type PresumedEndCause int

// Causes of a presumed end.
const (
	// CauseLeaseOver means that the run's worker does not answer and that every lease granted to it has expired,
	// even if its clock is as slow as allowed.
	CauseLeaseOver PresumedEndCause = iota
	// CauseLifeOver means that the incarnation of the run's worker has ended.
	CauseLifeOver
	// CauseAbsent means that the run was confirmed and that a later report contains neither the run nor its end.
	CauseAbsent
	// CauseRefused means that the worker refused the start order, so that the run never started.
	CauseRefused
)

// PresumedEnd describes a run that the scheduler treats as ended without a report of its end, and the facts that led
// to it.
type PresumedEnd struct {
	Run         RunID
	Incarnation Incarnation
	Cause       PresumedEndCause
	// MinAge and MaxAge bound the age of the run when its worker fell silent: the ages at its last answer and at the
	// first call without one. MaxAge equals MinAge if no call was without an answer.
	MinAge, MaxAge time.Duration
	// WillRestart is true if the task will be started again.
	WillRestart bool
	// SinceLastAnswer is the time since the worker's last answer; zero if it is irrelevant or the worker never
	// answered.
	SinceLastAnswer time.Duration
	// MinWorkerClock is the lowest possible reading of the worker's clock. LeaseDeadline is the end of the last
	// lease by that clock.
	MinWorkerClock time.Duration
	LeaseDeadline  time.Duration
	// ConsecutiveMisses is the number of consecutive calls that the worker did not answer.
	ConsecutiveMisses int
	// LastEnd is the number of the last end that the incarnation has listed; zero if there is none.
	LastEnd uint64
}

// presumeEnded ends a run whose end was not reported. Now is zero if the worker's clock is irrelevant.
func (s *Scheduler) presumeEnded(r *run, cause PresumedEndCause, now time.Time) {
	if s.OnPresumedEnd != nil {
		end := PresumedEnd{Run: r.id, Incarnation: r.worker.Incarnation, Cause: cause, WillRestart: r.task != nil, ConsecutiveMisses: r.worker.consecutiveMisses, LastEnd: r.worker.lastEnd}
		end.MinAge, end.MaxAge = r.ageAtSilence()
		if clock := &r.worker.clock; !now.IsZero() && !clock.receivedAt.IsZero() {
			end.SinceLastAnswer = now.Sub(clock.receivedAt)
			end.MinWorkerClock = clock.minReading(now)
			end.LeaseDeadline = clock.latestDeadline
		}
		s.OnPresumedEnd(end)
	}
	w, begun := r.worker, r.begun
	s.releaseRun(r)
	if cause == CauseAbsent && begun {
		s.observeForgottenEnd(w)
	}
}

// ageAtSilence returns the bounds of the run's age when its worker fell silent.
func (r *run) ageAtSilence() (lowest, highest time.Duration) {
	w := r.worker
	if !w.clock.receivedAt.IsZero() {
		lowest = max(0, w.clock.receivedAt.Sub(r.startedAt))
	}
	if w.silentSince.IsZero() {
		return lowest, lowest
	}
	return lowest, max(lowest, w.silentSince.Sub(r.startedAt))
}
