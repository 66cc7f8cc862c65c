package work

import "time"

// PresumedEndCause tells why a run is certain to be over although no report told of its end.
type PresumedEndCause int

// Causes to give a run up.
const (
	// CauseLeaseOver runs were on a worker that does not answer, and every lease given to it has run out by its slowest clock.
	CauseLeaseOver PresumedEndCause = iota
	// CauseLifeOver runs were on a life of a worker that is over.
	CauseLifeOver
	// CauseAbsent runs were confirmed, and a later report neither has them nor tells of their end.
	CauseAbsent
	// CauseRefused runs were never begun: their worker refused the order.
	CauseRefused
)

// GivenUp is a run that the board takes as over without a report of its end, with what decided that.
type GivenUp struct {
	Run         RunID
	Incarnation Incarnation
	Cause       PresumedEndCause
	// WillRestart is true if the task will be started again.
	WillRestart bool
	// SinceLastAnswer is how long ago the worker last answered, zero if that does not matter or it never did.
	SinceLastAnswer time.Duration
	// MinWorkerClock is the lowest reading that the worker's clock can have, Granted the last lease's end by that clock.
	MinWorkerClock time.Duration
	LeaseDeadline  time.Duration
	// ConsecutiveMisses is how many calls in a row the worker left without an answer.
	ConsecutiveMisses int
}

// giveUp ends a run of which no report told the end. Now is zero where the worker's clock plays no part.
func (b *Scheduler) giveUp(r *run, cause PresumedEndCause, now time.Time) {
	if b.OnPresumedEnd != nil {
		given := GivenUp{Run: r.name, Incarnation: r.worker.Incarnation, Cause: cause, WillRestart: r.task != nil, ConsecutiveMisses: r.worker.misses}
		if clock := &r.worker.clock; !now.IsZero() && !clock.heard.IsZero() {
			given.SinceLastAnswer = now.Sub(clock.heard)
			given.MinWorkerClock = clock.least(now)
			given.LeaseDeadline = clock.granted
		}
		b.OnPresumedEnd(given)
	}
	b.release(r)
}
