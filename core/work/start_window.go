package work

import "time"

const (
	// maxStartsInFlight limits the start orders of a pool that have no answer yet. At 10 ms per answer it allows
	// 10,000 starts a second.
	maxStartsInFlight = 100
	// minStartsInFlight is the limit for a holder all of whose starts are slow.
	minStartsInFlight = 20
	// slowStart is the time from the decision to the answer of a start beyond which the holder is short of processor time, or
	// of room on its link. Workers answer within milliseconds.
	slowStart = 50 * time.Millisecond
	// startWindowIncrease is what an answer in time adds to the limit, and startWindowDecrease the share of it that a slow one
	// takes away.
	startWindowIncrease = 0.25
	startWindowDecrease = 0.05
)

// startWindow limits the start orders of a pool that have no answer yet by the time that they take, as congestion control does for
// packets. Starts that wait for each other in a slow process delay the renewal of leases and of the process's own membership
// too. The zero value allows maxStartsInFlight.
type startWindow struct {
	// reduction is the difference of the limit to maxStartsInFlight.
	reduction float64
}

// size returns the limit.
func (w startWindow) size() int { return int(maxStartsInFlight - w.reduction) }

// record adjusts the limit to a start that was answered after this time.
func (w *startWindow) record(latency time.Duration) {
	size := maxStartsInFlight - w.reduction
	if latency > slowStart {
		size = max(size*(1-startWindowDecrease), minStartsInFlight)
	} else {
		size = min(size+startWindowIncrease, maxStartsInFlight)
	}
	w.reduction = maxStartsInFlight - size
}

// StartLimit returns how many start orders of the pool may be unanswered.
func (s *Scheduler) StartLimit() int { return s.startWindow.size() }
