package work

import "time"

// maxJobSnapshotAge is the greatest age of the snapshot of stored jobs at which tasks are started: the longest
// wait of a feed request plus the time of its answer. Together with the duration of a start it is below the time
// within which a cancellation must take effect.
const maxJobSnapshotAge = 2200 * time.Millisecond

// maxWorkerSnapshotAge is the greatest age of the snapshot of the worker directory at which tasks are started.
// Together with the duration of a start it is about the shortest stated time after which a worker that announced
// that it leaves must get no more tasks.
const maxWorkerSnapshotAge = 1900 * time.Millisecond

// SetSnapshotTimes sets the times up to which the stored jobs and the worker directory are known. Nothing is
// started on a snapshot that is too old: a job may have been cancelled since, and a worker may be about to
// leave.
func (s *Scheduler) SetSnapshotTimes(jobs, workers time.Time) {
	s.jobsReadAt, s.workersReadAt = jobs, workers
}

// SetValidity sets the time until which no other holder can have started tasks of the pool. Later, no leases are granted and nothing is
// started. The zero time means that there is no such bound.
func (s *Scheduler) SetValidity(until time.Time) { s.validUntil = until }

// SetHeldUntil sets the time until which no other holder can have taken the duty. A lease that was over by then was renewed by nobody
// else; one that ran out later may have been. The zero time means that there is no such bound.
func (s *Scheduler) SetHeldUntil(until time.Time) { s.heldUntil = until }

// provenTime returns the latest time, at most now, at which no other holder can have renewed leases.
func (s *Scheduler) provenTime(now time.Time) time.Time {
	if s.heldUntil.IsZero() || now.Before(s.heldUntil) {
		return now
	}
	return s.heldUntil
}

// isValid reports whether no other holder can have started tasks of the pool yet.
func (s *Scheduler) isValid(now time.Time) bool {
	return s.validUntil.IsZero() || !now.After(s.validUntil)
}

// hasStaleSnapshot reports whether a snapshot is so old that cancellations or leaving workers may be missing
// from it, or that another holder may have taken over.
func (s *Scheduler) hasStaleSnapshot(now time.Time) bool {
	return !s.isValid(now) || (!s.jobsReadAt.IsZero() && now.Sub(s.jobsReadAt) > maxJobSnapshotAge) ||
		(!s.workersReadAt.IsZero() && now.Sub(s.workersReadAt) > maxWorkerSnapshotAge)
}
