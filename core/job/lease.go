package job

import (
	"fmt"
	"slices"
	"time"

	"siskincross/core/host"
)

// Started takes in the worker's answer to the start of a task, and the reason of a refusal.
func (s *Scheduler) Started(id ID, attempt int, answer StartAnswer, reason string, now time.Time) {
	e := s.jobs[id]
	if e == nil || e.task == nil || e.job.Attempt != attempt {
		return
	}
	t := e.task
	switch answer {
	case StartAccepted:
		t.worker.answered(now)
		s.started++
		e.refusals = refusals{}
		t.started = now
		t.follow(AttemptSeen)
	case StartRefused:
		s.refused(t, reason, now)
	case StartUnknown:
		t.worker.putOff(now)
		if e.job.Spec.Idempotent {
			s.lapse(t, "the answer of worker "+string(t.worker.id)+" to the start was lost")
		}
	}
}

const (
	// refuseWait is how long a worker that refused a task or did not answer gets no other. It doubles each time.
	refuseWait = 2 * time.Second
	// maxPutOffs bounds the doublings.
	maxPutOffs = 5
)

// putOff keeps new work from a worker for a while.
func (w *worker) putOff(now time.Time) {
	w.backoff = now.Add(refuseWait << min(w.putOffs, maxPutOffs))
	w.putOffs++
}

// answered notes that a worker answered.
func (w *worker) answered(now time.Time) {
	w.contact = now
	w.putOffs = 0
}

// Unanswered notes that a worker did not answer.
func (s *Scheduler) Unanswered(h host.ID, now time.Time) {
	if w := s.workers[h]; w != nil {
		w.putOff(now)
	}
}

// StartAnswer is what is known after a worker was told to start a task.
type StartAnswer int

// Answers to a start.
const (
	// StartAccepted tasks run.
	StartAccepted StartAnswer = iota
	// StartRefused tasks were proved not to have started.
	StartRefused
	// StartUnknown tasks may run; reports or the lease will tell.
	StartUnknown
)

// Renewed notes that a worker took the renewal of its tasks' leases.
func (s *Scheduler) Renewed(h host.ID, now time.Time) {
	if w := s.workers[h]; w != nil {
		w.answered(now)
	}
}

// Lapse ends the tasks of workers that were silent for a whole lease. Workers
// that were not called since they last answered are not silent: this process may
// have been paused, and they may have ends to report.
func (s *Scheduler) Lapse(now time.Time) {
	limit := s.policy.Lease + s.policy.LeaseMargin
	for _, w := range s.order {
		if len(w.tasks) == 0 || w.putOffs == 0 || now.Sub(w.contact) <= limit {
			continue
		}
		for _, t := range slices.Clone(w.tasks) {
			if t.dispatched && now.Sub(t.since) > limit {
				s.lapse(t, fmt.Sprintf("worker %s was silent for %v", w.id, limit))
			}
		}
	}
}
