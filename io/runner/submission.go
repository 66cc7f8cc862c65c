package runner

import (
	"context"
	"errors"
	"time"

	"siskincross/core/work"
)

// submission is a caller's job that is being stored.
type submission struct {
	job         work.Job
	caller      Caller
	encodedSpec []byte
	// configuration is the version of the configuration in which the pool serves the job's queue; zero if it is not known.
	configuration uint64
	// admittedBy is the version of the gate's row under which the job was looked for in the former pools of its queue.
	admittedBy uint64
	// maybeStored is true once a commit with the job had an unknown outcome.
	maybeStored bool
	// forwarded is true if another entry host sent the job. Such a job is stored here or not at all.
	forwarded  bool
	receivedAt time.Time
	// waitsUntil is when the caller no longer waits for the result.
	waitsUntil time.Time
	ctx        context.Context
	done       chan error
	// batcher is set by enqueue.
	batcher *batcher
	// followers are repetitions of the submission, which share its result. The lock of the batcher guards them.
	followers []*submission
}

// finish reports the result of a submission. Repetitions of a submission whose outcome is unknown are queued in its place.
func (s *submission) finish(err error) {
	s.done <- err
	b := s.batcher
	if b == nil {
		return // it was never queued
	}
	var unknown ErrOutcomeUnknown
	b.mu.Lock()
	followers := s.followers
	s.followers = nil
	if b.open[s.job.ID] == s {
		delete(b.open, s.job.ID)
	}
	if errors.As(err, &unknown) && len(followers) > 0 {
		next := followers[0]
		next.maybeStored, next.followers = true, followers[1:]
		b.open[next.job.ID] = next
		b.queued = append([]*submission{next}, b.queued...)
		followers = nil
	}
	b.mu.Unlock()
	for _, f := range followers {
		f.done <- err
	}
}
