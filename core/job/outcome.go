package job

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"siskincross/core/host"
)

// handleFailure processes a failed attempt. The job is queued again, is parked or ends.
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

// parkIfExhausted parks a waiting job whose retries are exhausted.
func (s *Scheduler) parkIfExhausted(j Job, lastWorker *worker) Job {
	if j.State != StateQueued || !s.retriesExhausted(j) {
		return j
	}
	parked, err := j.WithPark(fmt.Sprintf("failed on %d workers, last failure: %s", len(j.Failures), j.Reason))
	if err != nil {
		return j
	}
	s.faults.clearJob(j.ID)
	s.addNotice(NoticeParked, j.ID, lastWorker.id, parked.Reason)
	return parked
}

// retriesExhausted reports whether a job failed on MaxFailedWorkers different workers that had run other
// jobs, on twice as many of any kind, or on every worker that may receive new work. Failures on suspected
// workers don't count.
func (s *Scheduler) retriesExhausted(j Job) bool {
	proven, total := 0, 0
	tried := make(map[host.ID]bool)
	for _, f := range j.Failures {
		w := s.workers[f.Host]
		if tried[f.Host] || w != nil && w.health.suspected {
			continue
		}
		tried[f.Host] = true
		total++
		if f.WorkerProven {
			proven++
		}
	}
	return proven >= s.policy.MaxFailedWorkers || total >= 2*s.policy.MaxFailedWorkers || total > 0 && s.untriedWorkerCount(j) == 0
}

// untriedWorkerCount returns the number of workers that may receive new work and on which the job has not
// failed.
func (s *Scheduler) untriedWorkerCount(j Job) int {
	n := 0
	for _, w := range s.sortedWorkers {
		if w.schedulable && !w.health.suspected && !failedOn(j, w.id) {
			n++
		}
	}
	return n
}

// releaseParkedJobs queues parked jobs again if their retries are not exhausted without the failures on w,
// which became suspected.
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
		s.addNotice(NoticeReleased, e.job.ID, w.id, "the failures were caused by a suspected worker")
		s.updateJob(e, next)
	}
}

func (s *Scheduler) detachFailedTask(t *task, now time.Time) {
	s.faults.recordFailure(t, now)
	s.detachTask(t)
}

// handleStopped processes a task that the worker stopped before it had a result.
func (s *Scheduler) handleStopped(t *task) {
	j := t.entry.job
	if j.State == StateRunning && !j.Spec.Idempotent {
		s.handleLapse(t, "the worker stopped the task without a result")
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

// handleLapse processes an attempt whose state can no longer be learnt.
func (s *Scheduler) handleLapse(t *task, reason string) {
	t.transition(AttemptEventLapse)
	t.worker.mayRunAbandoned = true
	j := t.entry.job
	next, err := j.WithLapse(j.Attempt, t.checkpoint, reason)
	notice := NoticeLapsed
	if next.State == StateUnknown {
		notice = NoticeUnknown
	}
	s.addNotice(notice, j.ID, t.worker.id, reason)
	s.finishAttempt(t, next, err)
}

// finishAttempt frees the task's slot and replaces the job by next.
func (s *Scheduler) finishAttempt(t *task, next Job, err error) {
	if err != nil {
		return
	}
	s.detachTask(t)
	s.updateJob(t.entry, next)
}

// updateJob replaces a job that has no task and marks its row for writing.
func (s *Scheduler) updateJob(e *entry, next Job) {
	e.job = next
	if next.State == StateQueued {
		s.backlog.push(e)
	}
	s.markDirty(e)
}
