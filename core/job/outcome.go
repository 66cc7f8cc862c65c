package job

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"siskincross/core/host"
)

// fail takes in a failed attempt: the job runs again elsewhere, is parked or ends.
func (s *Scheduler) fail(t *task, reason string, now time.Time) {
	j, w := t.job.job, t.worker
	next, err := j.WithFailure(j.Attempt, reason, w.proves())
	if err != nil {
		return
	}
	s.notice(NoticeFailed, j.ID, w.id, reason)
	wasSuspected := w.record.suspected
	s.detachFailed(t, now)
	if !wasSuspected && w.record.suspected {
		s.suspect(w)
	}
	s.keep(t.job, s.parkIfHopeless(next, w))
}

// parkIfHopeless parks a waiting job that failed often enough.
func (s *Scheduler) parkIfHopeless(j Job, last *worker) Job {
	if j.State != StateQueued || !s.hopeless(j) {
		return j
	}
	parked, err := j.WithPark(fmt.Sprintf("failed on %d workers, last: %s", len(j.Failures), j.Reason))
	if err != nil {
		return j
	}
	s.suspicion.clear(j.ID)
	s.notice(NoticeParked, j.ID, last.id, parked.Reason)
	return parked
}

// hopeless reports whether a job failed on MaxTries different workers that ran
// other jobs, on twice as many whatever they did, or on all that there are.
func (s *Scheduler) hopeless(j Job) bool {
	proved, all := 0, 0
	tried := make(map[host.ID]bool)
	for _, f := range j.Failures {
		w := s.workers[f.Host]
		if tried[f.Host] || w != nil && w.record.suspected {
			continue
		}
		tried[f.Host] = true
		all++
		if f.Proved {
			proved++
		}
	}
	return proved >= s.policy.MaxTries || all >= 2*s.policy.MaxTries || all > 0 && s.untried(j) == 0
}

// untried counts the workers that may receive new work and that the job has not failed on.
func (s *Scheduler) untried(j Job) int {
	n := 0
	for _, w := range s.order {
		if w.open && !w.record.suspected && !failedOn(j, w.id) {
			n++
		}
	}
	return n
}

// reconsider lets parked jobs wait again whose failures were a suspected worker's.
func (s *Scheduler) reconsider(w *worker) {
	for _, id := range slices.Sorted(maps.Keys(s.jobs)) {
		e := s.jobs[id]
		if e.job.State != StateParked || !failedOn(e.job, w.id) || s.hopeless(e.job) {
			continue
		}
		failures := e.job.Failures
		next, err := e.job.WithRelease()
		if err != nil {
			continue
		}
		next.Failures = failures
		s.notice(NoticeReleased, e.job.ID, w.id, "parked by the failures of a suspected worker")
		s.keep(e, next)
	}
}

func (s *Scheduler) detachFailed(t *task, now time.Time) {
	s.suspicion.note(t, now)
	s.detach(t)
}

// ended takes in a task that the worker stopped before it had a result.
func (s *Scheduler) ended(t *task) {
	j := t.job.job
	if j.State == StateRunning && !j.Spec.Idempotent {
		s.lapse(t, "the worker stopped the task")
		return
	}
	if t.leave == leaveMemory {
		t.job.floor = t.peakMemory + t.peakMemory/4
	}
	next, err := j.WithRequeue(j.Attempt, t.checkpoint, t.leave.String())
	if next.State == StateQueued {
		s.notice(NoticeRequeued, j.ID, t.worker.id, next.Reason)
	}
	s.settle(t, next, err)
}

// lapse takes in an attempt of which nothing more is known.
func (s *Scheduler) lapse(t *task, reason string) {
	t.follow(AttemptLapse)
	t.worker.strays = true
	j := t.job.job
	next, err := j.WithLapse(j.Attempt, t.checkpoint, reason)
	kind := NoticeLapsed
	if next.State == StateUnknown {
		kind = NoticeUnknown
	}
	s.notice(kind, j.ID, t.worker.id, reason)
	s.settle(t, next, err)
}

// settle frees the task's slot and keeps what became of its job.
func (s *Scheduler) settle(t *task, next Job, err error) {
	if err != nil {
		return
	}
	s.detach(t)
	s.keep(t.job, next)
}

// keep replaces a job that has no task any more, and writes it.
func (s *Scheduler) keep(e *entry, next Job) {
	e.job = next
	if next.State == StateQueued {
		s.backlog.push(e)
	}
	s.write(e)
}
