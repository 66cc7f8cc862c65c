package job

import (
	"fmt"
	"slices"
	"time"

	"siskincross/core/host"
)

// HandleStartOutcome processes the outcome of a start command. reason is the reason of a refusal.
func (s *Scheduler) HandleStartOutcome(id ID, attempt int, outcome StartOutcome, reason string, now time.Time) {
	e := s.jobs[id]
	if e == nil || e.task == nil || e.job.Attempt != attempt {
		return
	}
	t := e.task
	switch outcome {
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
			s.handleLapse(t, "worker "+string(t.worker.id)+" did not answer the start command")
		}
	}
}

const (
	// workerBackoff is the initial time for which a worker that refused a task or did not answer gets no
	// other task. It doubles with each consecutive failure.
	workerBackoff = 2 * time.Second
	// maxBackoffDoublings bounds the doublings of workerBackoff.
	maxBackoffDoublings = 5
)

// startBackoff excludes a worker from new work for a time that doubles with each consecutive failure.
func (w *worker) startBackoff(now time.Time) {
	w.backoffUntil = now.Add(workerBackoff << min(w.consecutiveFailures, maxBackoffDoublings))
	w.consecutiveFailures++
}

// recordAnswer records an answer of the worker and resets its backoff.
func (w *worker) recordAnswer(now time.Time) {
	w.lastAnswer = now
	w.consecutiveFailures = 0
}

// HandleNoAnswer processes a failed call of a worker.
func (s *Scheduler) HandleNoAnswer(h host.ID, now time.Time) {
	if w := s.workers[h]; w != nil {
		w.startBackoff(now)
	}
}

// StartOutcome is what is known about a task after its start command.
type StartOutcome int

// Outcomes of a start command.
const (
	// StartAccepted means that the worker runs the task.
	StartAccepted StartOutcome = iota
	// StartRefused means that the worker proved that it did not start the task.
	StartRefused
	// StartUnknown means that the task may run. A later report or the end of the lease decides.
	StartUnknown
)

// HandleRenewal processes a worker's confirmation of a lease renewal.
func (s *Scheduler) HandleRenewal(h host.ID, now time.Time) {
	if w := s.workers[h]; w != nil {
		w.recordAnswer(now)
	}
}

// ExpireLeases ends the tasks of workers that did not answer for a whole lease. A worker that was not called
// since its last answer is not counted as silent: this process may have been paused, and the worker may have
// ends to report.
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
