package work

import "time"

// Cause tells why a run is certain to be over although no report told of its end.
type Cause int

// Causes to give a run up.
const (
	// CauseLeaseOver runs were on a worker that does not answer, and every lease given to it has run out by its slowest clock.
	CauseLeaseOver Cause = iota
	// CauseLifeOver runs were on a life of a worker that is over.
	CauseLifeOver
	// CauseAbsent runs were confirmed, and a later report neither has them nor tells of their end.
	CauseAbsent
	// CauseRefused runs were never begun: their worker refused the order.
	CauseRefused
)

// GivenUp is a run that the board takes as over without a report of its end, with what decided that.
type GivenUp struct {
	Run   Run
	Life  Life
	Cause Cause
	// Wanted is true if the task will be started again.
	Wanted bool
	// Heard is how long ago the worker last answered, zero if that does not matter or it never did.
	Heard time.Duration
	// Clock is the lowest reading that the worker's clock can have, Granted the last lease's end by that clock.
	Clock   time.Duration
	Granted time.Duration
	// Misses is how many calls in a row the worker left without an answer.
	Misses int
}

// giveUp ends a run of which no report told the end. Now is zero where the worker's clock plays no part.
func (b *Board) giveUp(r *run, cause Cause, now time.Time) {
	if b.GaveUp != nil {
		given := GivenUp{Run: r.name, Life: r.worker.Life, Cause: cause, Wanted: r.task != nil, Misses: r.worker.misses}
		if clock := &r.worker.clock; !now.IsZero() && !clock.heard.IsZero() {
			given.Heard = now.Sub(clock.heard)
			given.Clock = clock.least(now)
			given.Granted = clock.granted
		}
		b.GaveUp(given)
	}
	b.release(r)
}
