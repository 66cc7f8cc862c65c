package job

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"siskincross/core/host"
)

// handleFailure takes in a failed attempt: the job runs again elsewhere, is parked or ends.
func (s *Scheduler) handleFailure(t *task, reason string, now time.Time) {
	j, w := t.entry.job, t.worker
	next, err := j.WithFailure(j.Attempt, reason, w.isProven())
	if err != nil {
		return
	}
	s.addNotice(NoticeFailed, j.ID, w.id, reason)
	wasSuspected := w.health.suspected
	s.detachFailedTask(t, now)
	if !wasSuspected && w.health.suspected {
		s.handleSuspected(w)
	}
	s.updateJob(t.entry, s.parkIfExhausted(next, w))
}

// parkIfExhausted parks a waiting job that failed often enough.
func (s *Scheduler) parkIfExhausted(j Job, last *worker) Job {
	if j.State != StateQueued || !s.retriesExhausted(j) {
		return j
	}
	parked, err := j.WithPark(fmt.Sprintf("failed on %d workers, last: %s", len(j.Failures), j.Reason))
	if err != nil {
		return j
	}
	s.faults.clearJob(j.ID)
	s.addNotice(NoticeParked, j.ID, last.id, parked.Reason)
	return parked
}

// retriesExhausted reports whether a job failed on MaxFailedWorkers different workers that ran
// other jobs, on twice as many whatever they did, or on all that there are.
func (s *Scheduler) retriesExhausted(j Job) bool {
	proved, all := 0, 0
	tried := make(map[host.ID]bool)
	for _, f := range j.Failures {
		w := s.workers[f.Host]
		if tried[f.Host] || w != nil && w.health.suspected {
			continue
		}
		tried[f.Host] = true
		all++
		if f.WorkerProven {
			proved++
		}
	}
	return proved >= s.policy.MaxFailedWorkers || all >= 2*s.policy.MaxFailedWorkers || all > 0 && s.untriedWorkerCount(j) == 0
}

// untriedWorkerCount counts the workers that may receive new work and that the job has not failed on.
func (s *Scheduler) untriedWorkerCount(j Job) int {
	n := 0
	for _, w := range s.sortedWorkers {
		if w.schedulable && !w.health.suspected && !failedOn(j, w.id) {
			n++
		}
	}
	return n
}

// releaseParkedJobs lets parked jobs wait again whose failures were a suspected worker's.
func (s *Scheduler) releaseParkedJobs(w *worker) {
	for _, id := range slices.Sorted(maps.Keys(s.jobs)) {
		e := s.jobs[id]
		if e.job.State != StateParked || !failedOn(e.job, w.id) || s.retriesExhausted(e.job) {
			continue
		}
		failures := e.job.Failures
		next, err := e.job.WithRelease()
		if err != nil {
			continue
		}
		next.Failures = failures
		s.addNotice(NoticeReleased, e.job.ID, w.id, "parked by the failures of a suspected worker")
		s.updateJob(e, next)
	}
}

func (s *Scheduler) detachFailedTask(t *task, now time.Time) {
	s.faults.recordFailure(t, now)
	s.detachTask(t)
}

// handleStopped takes in a task that the worker stopped before it had a result.
func (s *Scheduler) handleStopped(t *task) {
	j := t.entry.job
	if j.State == StateRunning && !j.Spec.Idempotent {
		s.handleLapse(t, "the worker stopped the task")
		return
	}
	if t.eviction == evictMemory {
		t.entry.minMemory = t.peakMemory + t.peakMemory/4
	}
	next, err := j.WithRequeue(j.Attempt, t.checkpoint, t.eviction.String())
	if next.State == StateQueued {
		s.addNotice(NoticeRequeued, j.ID, t.worker.id, next.Reason)
	}
	s.finishAttempt(t, next, err)
}

// handleLapse takes in an attempt of which nothing more is known.
func (s *Scheduler) handleLapse(t *task, reason string) {
	t.transition(AttemptEventLapse)
	t.worker.mayRunAbandoned = true
	j := t.entry.job
	next, err := j.WithLapse(j.Attempt, t.checkpoint, reason)
	kind := NoticeLapsed
	if next.State == StateUnknown {
		kind = NoticeUnknown
	}
	s.addNotice(kind, j.ID, t.worker.id, reason)
	s.finishAttempt(t, next, err)
}

// finishAttempt frees the task's slot and keeps what became of its job.
func (s *Scheduler) finishAttempt(t *task, next Job, err error) {
	if err != nil {
		return
	}
	s.detachTask(t)
	s.updateJob(t.entry, next)
}

// updateJob replaces a job that has no task any more, and writes it.
func (s *Scheduler) updateJob(e *entry, next Job) {
	e.job = next
	if next.State == StateQueued {
		s.backlog.push(e)
	}
	s.markDirty(e)
}
