package work

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxTrial bounds the time for which a worker gets no other tasks because of a task on trial, after up to two
	// crashes. It is doubled maxTrialDoublings times at most.
	maxTrial          = 2 * time.Second
	maxTrialDoublings = 3
	// reservation is the time for which a worker gets no other tasks before the start of a task on trial: what it
	// started last is no longer young by then.
	reservation = time.Second
	// trialPollInterval is the polling interval of workers while tasks are or wait to be on trial.
	trialPollInterval = 50 * time.Millisecond
	// trialInterval is the time between the starts of two tasks on trial. It is longer than simultaneity, so that the
	// crashes that they cause are told from a failure of several workers.
	trialInterval = 80 * time.Millisecond
	// maxTrials is the number of workers that may be reserved at the same time: as many as have their turn within a
	// reservation.
	maxTrials = int(reservation / trialInterval)
	// maxTrialShare is the inverse of the share of the workers that may have tasks on trial at the same time.
	maxTrialShare = 2
)

// inTrial reports whether the worker gets no other tasks because of a task on trial.
func (w *worker) inTrial(now time.Time) bool { return w.trial != nil && now.Before(w.trialUntil) }

// placeTrials starts tasks under which workers crashed, before others take the room. Gangs have no trials: their tasks
// start together.
func (s *Scheduler) placeTrials(groups []*taskGroup, available []*worker, now time.Time) []Order {
	var waiting []*task
	for _, g := range groups {
		for _, t := range g.tasks {
			if t.crashes.needsTrial() && t.isStartable(now) && !g.spec().Gang {
				waiting = append(waiting, t)
			}
		}
	}
	slices.SortStableFunc(waiting, compareSuspicion)
	s.trialsWait = false
	var orders []Order
	for _, t := range waiting {
		if o, placed := s.placeOnTrial(t, available, now); placed {
			orders = append(orders, o)
			continue
		}
		s.trialsWait = true
	}
	return orders
}

// compareSuspicion orders tasks by how likely they crash workers, most likely first: those with more crashes, then those
// that were younger. A trial that ends in a crash spares the others theirs.
func compareSuspicion(a, c *task) int {
	return cmp.Or(cmp.Compare(c.crashes.conclusive, a.crashes.conclusive), cmp.Compare(a.crashes.lowestAge, c.crashes.lowestAge))
}

// placeOnTrial starts a task on a worker where nothing else can be the cause of another crash. It returns false if that
// has to wait.
func (s *Scheduler) placeOnTrial(t *task, available []*worker, now time.Time) (Order, bool) {
	g := t.group
	if !s.withinQuota(g, 1) {
		s.wantQuota(g, g.spec().Demand, 1)
		return Order{}, false
	}
	w := reservedWorker(t, available, now)
	if w == nil {
		if w = s.chooseTrialWorker(t, available, now); w == nil {
			s.recordUnplacedTrial(g, available, now)
			return Order{}, false
		}
		w.trial, w.trialUntil = t, now.Add(reservation)
	}
	if !w.hasNoSuspects() || !w.suits(g, now) || now.Sub(s.lastTrialAt) < trialInterval {
		return Order{}, false
	}
	s.lastTrialAt = now
	w.trialUntil = now.Add(t.crashes.trialDuration())
	return s.startTask(t, w, now), true
}

// recordUnplacedTrial records that a task waits for its trial. A long-running task for which no worker has room counts like
// others for which hosts are requested.
func (s *Scheduler) recordUnplacedTrial(g *taskGroup, available []*worker, now time.Time) {
	g.unplaced = true
	fits := slices.ContainsFunc(available, func(w *worker) bool { return w.suits(g, now) })
	if g.spec().LongRunning && !fits && (!g.needsApproval() || len(g.approvals) > 0) {
		s.unplacedTasks[g]++
	}
}

// reservedWorker returns the worker that is reserved for a trial of the task, or nil.
func reservedWorker(t *task, available []*worker, now time.Time) *worker {
	for _, w := range available {
		if w.trial == t && w.inTrial(now) {
			return w
		}
	}
	return nil
}

// chooseTrialWorker returns the worker with the fewest runs on which the task can be tried, or nil. A worker at whose
// address one has crashed under the task is the last choice: it may be at fault itself.
func (s *Scheduler) chooseTrialWorker(t *task, available []*worker, now time.Time) *worker {
	var best *worker
	trials := 0
	for _, w := range available {
		if w.inTrial(now) {
			trials++
			continue
		}
		if !w.suits(t.group, now) {
			continue
		}
		if best == nil || compareForTrial(t, w, best) < 0 {
			best = w
		}
	}
	if trials*maxTrialShare > len(available) || trials >= maxTrials {
		return nil
	}
	return best
}

// compareForTrial orders workers by their suitability for a trial of the task.
func compareForTrial(t *task, a, c *worker) int {
	if x, y := t.crashedAddresses[a.Address], t.crashedAddresses[c.Address]; x != y {
		if x {
			return 1
		}
		return -1
	}
	return cmp.Compare(len(a.runs), len(c.runs))
}

// suits reports whether the worker has what one more task of the step requires.
func (w *worker) suits(g *taskGroup, now time.Time) bool {
	spec := g.spec()
	return w.hasLabel(spec.RequiredLabel) && w.freeResources().Covers(spec.reservedResources()) && g.isApproved(w, now) &&
		(spec.SpreadLimit == 0 || g.runsOn(w) < spec.SpreadLimit)
}

// hasNoSuspects reports whether none of the worker's runs can be the cause of a crash.
func (w *worker) hasNoSuspects() bool {
	for _, r := range w.runs {
		if r.isSuspect() {
			return false
		}
	}
	return w.startsInFlight == 0
}

// observeTrial clears the task of a listed run that has lasted long enough.
func (s *Scheduler) observeTrial(r *run, now time.Time) {
	if t := r.task; t != nil && t.crashes.total > 0 && now.Sub(r.startedAt) >= t.crashes.probation() {
		s.clearCrashes(t)
		r.worker.endTrial(t)
	}
}

// endTrial has the worker get other tasks again.
func (w *worker) endTrial(t *task) {
	if w.trial == t {
		w.trial = nil
	}
}
