package work

import (
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
			if r.task == nil || r.phase != phaseRunning {
				continue
			}
			g := r.task.group
			overdue := w.withdrawn && now.Sub(w.withdrawnAt) > evacuationGrace
			if g.spec().LongRunning && s.chooseWorker(g, available, nil, nil, now) == nil {
				g.unplaced = true
				s.unplacedTasks[g]++ // there is no other worker for the task
				s.blockedEvacuations++
				continue
			}
			if (g.spec().LongRunning && s.toleratesLoss(g, now)) || (!g.spec().LongRunning && overdue && !g.spec().Gang) {
				r.evacuating = true
				s.requestStop(r)
			}
		}
	}
}

// isRunningAtFullPace reports whether a recent report shows the task at full pace on a worker that it can stay
// on.
func (s *Scheduler) isRunningAtFullPace(t *task, now time.Time) bool {
	for _, r := range t.runs {
		recent := r.worker.consecutiveMisses == 0 && now.Sub(r.lastReported) < maxReportAge
		if recent && r.phase == phaseRunning && r.speedPercent >= fullPacePercent && !r.evacuating && !r.stopInFlight && s.isCertainToStay(r) {
			return true
		}
	}
	return false
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
)

// toleratesLoss reports whether one more task of a long-running step may be taken down. A step that states no
// limit loses one task at a time.
func (s *Scheduler) toleratesLoss(g *taskGroup, now time.Time) bool {
	unavailable := 0
	for _, t := range g.tasks {
		if !s.isRunningAtFullPace(t, now) {
			unavailable++
		}
	}
	tolerated := 1
	if g.spec().HasMaxUnavailable {
		tolerated = g.spec().MaxUnavailable
	}
	return unavailable < tolerated
}
