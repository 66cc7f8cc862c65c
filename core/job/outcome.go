package job

import (
	"fmt"
	"time"

	"siskincross/core/host"
)

// fail takes in a failed attempt: the job runs again elsewhere, is parked or ends.
func (s *Scheduler) fail(t *task, reason string, now time.Time) {
	j, w := t.job.job, t.worker
	next, err := j.WithFailure(j.Attempt, reason)
	if err != nil {
		return
	}
	s.notice(NoticeFailed, j.ID, w.id, reason)
	wasSuspected := w.record.suspected
	s.detachFailed(t, now)
	if !wasSuspected && w.record.suspected {
		s.suspect(w)
	}
	if next.State == StateQueued && s.tries(next) >= s.policy.MaxTries {
		next, _ = next.WithPark(fmt.Sprintf("failed on %d workers that run other jobs, last: %s", s.policy.MaxTries, reason))
		s.suspicion.clear(j.ID)
		s.notice(NoticeParked, j.ID, w.id, next.Reason)
	}
	s.keep(t.job, next)
}

func (s *Scheduler) detachFailed(t *task, now time.Time) {
	s.suspicion.note(t, now)
	s.detach(t)
}

// tries counts the different workers that a job failed on and that are not suspected.
func (s *Scheduler) tries(j Job) int {
	hosts := make(map[host.ID]bool)
	for _, f := range j.Failures {
		if w := s.workers[f.Host]; w == nil || !w.record.suspected {
			hosts[f.Host] = true
		}
	}
	return len(hosts)
}

// ended takes in a task that the worker stopped before it had a result.
func (s *Scheduler) ended(t *task) {
	j := t.job.job
	if j.State == StateRunning && !j.Spec.Idempotent {
		s.lapse(t, "the worker stopped the task")
		return
	}
	next, err := j.WithRequeue(j.Attempt, t.checkpoint, t.leave.String())
	s.settle(t, next, err)
}

// lapse takes in an attempt of which nothing more is known.
func (s *Scheduler) lapse(t *task, reason string) {
	t.follow(AttemptLapse)
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
