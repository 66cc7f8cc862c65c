package work

import (
	"fmt"
	"time"
)

// evacuationGrace is the time for which tasks that end by themselves may go on on a withdrawn worker.
const evacuationGrace = 4 * time.Second

// SetWithdrawn sets the workers that are to be evacuated. Workers that are no longer in the set get tasks again.
func (s *Scheduler) SetWithdrawn(workers map[string]bool, now time.Time) {
	s.initialise()
	for _, w := range s.sortedWorkers {
		switch wanted := workers[w.Incarnation.Worker]; {
		case wanted && !w.withdrawn:
			w.withdrawn, w.withdrawnAt = true, now
		case !wanted:
			w.withdrawn = false
		}
	}
}

// EvacuatedWorkers returns the listed withdrawn workers that are empty.
func (s *Scheduler) EvacuatedWorkers() []string {
	var evacuated []string
	for _, w := range s.sortedWorkers {
		if w.listed && w.isEvacuated() {
			evacuated = append(evacuated, w.Incarnation.Worker)
		}
	}
	return evacuated
}

// EvacuatedIncarnations returns the incarnations of the withdrawn workers that are empty.
func (s *Scheduler) EvacuatedIncarnations() []Incarnation {
	var incarnations []Incarnation
	for _, w := range s.sortedWorkers {
		if w.isEvacuated() {
			incarnations = append(incarnations, w.Incarnation)
		}
	}
	return incarnations
}

func (w *worker) isEvacuated() bool { return w.withdrawn && w.answered && w.isEmpty() }

// evacuate stops the runs that keep withdrawn or draining workers from becoming empty. Long-running tasks are
// stopped as their steps tolerate it, and other tasks of withdrawn workers after evacuationGrace, unless they
// belong to a gang.
func (s *Scheduler) evacuate(now time.Time) {
	clear(s.unplacedTasks)
	s.blockedEvacuations = 0
	available := s.availableWorkers(now)
	for _, w := range s.sortedWorkers {
		if !w.withdrawn && !w.Draining {
			continue
		}
		for _, r := range sortedRuns(w) {
			if r.task != nil && r.phase == phaseRunning {
				s.evacuateRun(r, available, now)
			}
		}
	}
}

// evacuateRun stops a run if its task can do without it now, or notes that there is no other worker for the task.
func (s *Scheduler) evacuateRun(r *run, available []*worker, now time.Time) {
	g, w := r.task.group, r.worker
	isLongRunning := g.spec().LongRunning
	if isLongRunning && s.chooseWorker(g, available, nil, nil, now) == nil {
		g.unplaced = true
		s.unplacedTasks[g]++
		s.blockedEvacuations++
		return
	}
	if s.runsToStop[r] != 0 || now.Before(r.stopRetryAt) {
		return
	}
	if isLongRunning {
		if a := s.availabilityWithout(r.task, now); a.toleratesLoss() {
			s.requestMove(r, "evacuation: "+a.String())
		}
		return
	}
	if withdrawn := now.Sub(w.withdrawnAt); w.withdrawn && withdrawn > evacuationGrace && !g.spec().Gang {
		s.requestMove(r, fmt.Sprintf("evacuation: withdrawn for %s", withdrawn.Round(time.Millisecond)))
	}
}

// runAtWork returns the run of a long-running task that is at work, or nil.
func (s *Scheduler) runAtWork(t *task, now time.Time) *run {
	for _, r := range t.runs {
		if s.isAtWork(r, now) {
			return r
		}
	}
	return nil
}

// isAtWork reports whether a recent report shows the run at full pace, and nothing that is known will end it soon: its worker's
// lease lasts, and no stop may be on its way.
func (s *Scheduler) isAtWork(r *run, now time.Time) bool {
	w := r.worker
	if w.consecutiveMisses > 0 || now.Sub(r.lastReported) >= maxReportAge || !w.clock.holdsLeaseFor(minLeaseLeft, now) {
		return false
	}
	return r.phase == phaseRunning && r.speedPercent >= fullPacePercent && !s.mayBeStopping(r, now) && s.isCertainToStay(r)
}

// isCertainToStay reports whether the run can't be stopping on an order of an earlier holder: its worker has
// listed it after the time that any such order would take.
func (s *Scheduler) isCertainToStay(r *run) bool {
	return !r.adopted || r.lastReported.Sub(r.startedAt) >= s.timing.StopTimeout
}

const (
	fullPacePercent = 100
	// maxReportAge is the age up to which a worker's report is trusted, a little more than the longest interval
	// between two renewals.
	maxReportAge = 1400 * time.Millisecond
	// minLeaseLeft is how long a worker's lease has to last for its tasks to count as at work: until a stop that is decided
	// meanwhile has been carried out.
	minLeaseLeft = time.Second
)

// availability is how many tasks of a long-running step are at work, as far as the scheduler knows.
type availability struct {
	tasks, unavailable int
	// tolerated is the number of tasks that may be unavailable.
	tolerated int
	// oldestReport is the age of the oldest report that shows a task at work.
	oldestReport time.Duration
}

// availabilityWithout returns the availability of the other tasks of a long-running task's step. A step that states no limit
// loses one task at a time.
func (s *Scheduler) availabilityWithout(t *task, now time.Time) availability {
	spec := t.group.spec()
	a := availability{tasks: len(t.group.tasks) - 1, tolerated: 1}
	if spec.HasMaxUnavailable {
		a.tolerated = spec.MaxUnavailable
	}
	for _, other := range t.group.tasks {
		if other == t {
			continue
		}
		r := s.runAtWork(other, now)
		if r == nil {
			a.unavailable++
			continue
		}
		a.oldestReport = max(a.oldestReport, now.Sub(r.lastReported))
	}
	return a
}

// toleratesLoss reports whether the task may be taken down too.
func (a availability) toleratesLoss() bool { return a.unavailable < a.tolerated }

// String returns the figures for the log.
func (a availability) String() string {
	return fmt.Sprintf("%d of %d other tasks away, %d tolerated, reports up to %s old", a.unavailable, a.tasks, a.tolerated, a.oldestReport.Round(time.Millisecond))
}
