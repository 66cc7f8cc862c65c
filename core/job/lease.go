package job

import (
	"fmt"
	"slices"
	"time"

	"siskincross/core/host"
)

// HandleStartOutcome takes in the worker's answer to the start of a task, and the reason of a refusal.
func (s *Scheduler) HandleStartOutcome(id ID, attempt int, answer StartOutcome, reason string, now time.Time) {
	e := s.jobs[id]
	if e == nil || e.task == nil || e.job.Attempt != attempt {
		return
	}
	t := e.task
	switch answer {
	case StartAccepted:
		t.worker.recordAnswer(now)
		s.acceptedStarts++
		e.refusals = refusalStreak{}
		t.acknowledgedAt = now
		t.transition(AttemptEventRunning)
	case StartRefused:
		s.handleRefusal(t, reason, now)
	case StartUnknown:
		t.worker.startBackoff(now)
		if e.job.Spec.Idempotent {
			s.handleLapse(t, "the answer of worker "+string(t.worker.id)+" to the start was lost")
		}
	}
}

const (
	// workerBackoff is how long a worker that refused a task or did not answer gets no other. It doubles each time.
	workerBackoff = 2 * time.Second
	// maxBackoffDoublings bounds the doublings.
	maxBackoffDoublings = 5
)

// startBackoff keeps new work from a worker for a while.
func (w *worker) startBackoff(now time.Time) {
	w.backoffUntil = now.Add(workerBackoff << min(w.consecutiveFailures, maxBackoffDoublings))
	w.consecutiveFailures++
}

// recordAnswer notes that a worker answered.
func (w *worker) recordAnswer(now time.Time) {
	w.lastAnswer = now
	w.consecutiveFailures = 0
}

// HandleNoAnswer notes that a worker did not answer.
func (s *Scheduler) HandleNoAnswer(h host.ID, now time.Time) {
	if w := s.workers[h]; w != nil {
		w.startBackoff(now)
	}
}

// StartOutcome is what is known after a worker was told to start a task.
type StartOutcome int

// Answers to a start.
const (
	// StartAccepted tasks run.
	StartAccepted StartOutcome = iota
	// StartRefused tasks were proved not to have started.
	StartRefused
	// StartUnknown tasks may run; reports or the lease will tell.
	StartUnknown
)

// HandleRenewal notes that a worker took the renewal of its tasks' leases.
func (s *Scheduler) HandleRenewal(h host.ID, now time.Time) {
	if w := s.workers[h]; w != nil {
		w.recordAnswer(now)
	}
}

// ExpireLeases ends the tasks of workers that were silent for a whole lease. Workers
// that were not called since they last answered are not silent: this process may
// have been paused, and they may have ends to report.
func (s *Scheduler) ExpireLeases(now time.Time) {
	limit := s.policy.Lease + s.policy.LeaseMargin
	for _, w := range s.sortedWorkers {
		if len(w.tasks) == 0 || w.consecutiveFailures == 0 || now.Sub(w.lastAnswer) <= limit {
			continue
		}
		for _, t := range slices.Clone(w.tasks) {
			if t.dispatched && now.Sub(t.createdAt) > limit {
				s.handleLapse(t, fmt.Sprintf("worker %s was silent for %v", w.id, limit))
			}
		}
	}
}
