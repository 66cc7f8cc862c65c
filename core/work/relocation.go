package work

import (
	"fmt"
	"slices"
	"time"
)

const (
	// haltedUntilMove is the time for which a best-effort task stands still beside serving tasks before it is moved. It
	// doubles with each move of the task, up to maxDoublings times: a task that disturbs wherever it runs would otherwise
	// disturb one worker after the other.
	haltedUntilMove = 3 * time.Second
	maxDoublings    = 8
	// moveInterval is the time between two searches for a task to be moved. A task has been stopped and started elsewhere by
	// then, so that the next one is not moved to the same room, and a search looks at all workers for each task.
	moveInterval = time.Second
)

// relocateHaltedTasks stops a best-effort task that has stood still beside serving tasks for a while and for which another
// worker has room where it can run. A halted task is not at work, so that its step loses nothing.
func (s *Scheduler) relocateHaltedTasks(now time.Time) {
	if !s.learnsInterference || !s.adjustsPace || s.hasStaleSnapshot(now) || s.runsToStop[s.movedRun] != 0 || now.Sub(s.movesSoughtAt) < moveInterval {
		return
	}
	s.movesSoughtAt = now
	var available []*worker
	for _, w := range s.sortedWorkers {
		if w.paceControl.percent() > 0 || w.consecutiveMisses > 0 {
			continue
		}
		for _, r := range sortedRuns(w) {
			if !r.isMoveDue(now) || s.runsToStop[r] != 0 {
				continue
			}
			if available == nil {
				available = s.unpacedWorkers(now)
			}
			if s.chooseWorker(r.task.group, available, nil, nil, now) == nil {
				continue
			}
			r.task.moves++
			s.requestMove(r, fmt.Sprintf("stood still for %s, move %d of the task", now.Sub(r.haltedAt()).Round(time.Millisecond), r.task.moves))
			s.movedRun = r
			w.paceControl.haltedAt = now // the others may run once this one is gone
			return
		}
	}
}

// isMoveDue reports whether the run is best-effort and has stood still for long enough to be moved. If its work would be
// lost, that is for at least as long as it ran, so that the loss is no more than what standing still has cost already.
func (r *run) isMoveDue(now time.Time) bool {
	if !r.isBestEffort() || r.phase != phaseRunning || r.speedPercent > 0 || r.task.group.spec().Gang {
		return false
	}
	haltedAt := r.haltedAt()
	halted, wait := now.Sub(haltedAt), haltedUntilMove<<min(r.task.moves, maxDoublings)
	if spec := r.task.group.spec(); spec.LongRunning || spec.HasCheckpoints {
		return halted >= wait
	}
	return !r.adopted && halted >= max(wait, haltedAt.Sub(r.startedAt))
}

// haltedAt returns since when the run stands still, if it does.
func (r *run) haltedAt() time.Time { return laterTime(r.worker.paceControl.haltedAt, r.startedAt) }

// unpacedWorkers returns the workers that may get new tasks and on which no best-effort task is slowed down.
func (s *Scheduler) unpacedWorkers(now time.Time) []*worker {
	return slices.DeleteFunc(s.availableWorkers(now), func(w *worker) bool { return w.paceControl.reductionPercent > 0 })
}
