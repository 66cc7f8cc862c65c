package runner

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"siskincross/core/event"
	"siskincross/core/work"
)

// ErrNotAccepted is returned for a job that is not stored and never will be.
type ErrNotAccepted struct {
	Reason string
	// RetryAfter is when the caller should come back.
	RetryAfter time.Duration
}

// Error implements error.
func (e ErrNotAccepted) Error() string { return "not accepted: " + e.Reason }

// ErrOutcomeUnknown is returned when it is not known whether a caller's write is stored.
type ErrOutcomeUnknown struct{ Reason string }

// Error implements error.
func (e ErrOutcomeUnknown) Error() string { return "not known whether it is stored: " + e.Reason }

// ErrJobNotFound is returned when there is no such job.
type ErrJobNotFound struct{ ID work.JobID }

// Error implements error.
func (e ErrJobNotFound) Error() string { return "there is no job " + string(e.ID) }

// storeRetryAfter is the Retry-After while the store refuses calls: its short disturbances are over by then.
const storeRetryAfter = time.Second

// Submit stores a job. It returns nil once the job is stored, also if it was before, ErrNotAccepted or ErrOutcomeUnknown.
func (m *Manager) Submit(ctx context.Context, q work.Queue, job work.Job) error {
	m.init()
	job.Queue, job.Priority, job.MaxFailedAttempts = q.Key(), q.Priority, q.MaxFailedAttempts
	job.Objective, job.PolicyService, job.AcceptedAt = q.Objective, q.PolicyService, time.Now()
	if err := job.Validate(); err != nil {
		return err
	}
	if m.storeHealth.isUnavailable(q.Pool) {
		err := ErrNotAccepted{Reason: errStoreUnavailable().Error(), RetryAfter: storeRetryAfter}
		m.recordSubmission(q, job, err)
		return err
	}
	row := encodeRow(newSpecRow(job))
	if err := checkRowSize(job.ID, row); err != nil {
		return err
	}
	s := &submission{job: job, encodedSpec: row, receivedAt: time.Now(), ctx: ctx, done: make(chan error, 1)}
	if stored, err := m.storedInFormerPool(ctx, q, job.ID); stored || err != nil {
		return err
	}
	m.enqueue(q.Pool, s)
	select {
	case err := <-s.done:
		m.recordSubmission(q, job, err)
		return err
	case <-ctx.Done():
		err := ErrOutcomeUnknown{"the caller's time is over"}
		m.recordSubmission(q, job, err)
		return err
	}
}

const (
	// maxSpecRowBytes bounds the row of a job's specification, in bytes: with its encoding it is the 64 KiB that the store takes.
	maxSpecRowBytes = 48 << 10
	// maxIDBytes bounds a job's ID, in bytes: the store's bound for a key.
	maxIDBytes = 200
)

// checkRowSize returns work.ErrInvalid for a job that the store would not take.
func checkRowSize(id work.JobID, row []byte) error {
	if len(id) > maxIDBytes {
		return work.ErrInvalid{Job: id[:maxIDBytes], Reason: fmt.Sprintf("ID: %d bytes, allowed are %d", len(id), maxIDBytes)}
	}
	if len(row) > maxSpecRowBytes {
		return work.ErrInvalid{Job: id, Reason: fmt.Sprintf("its description takes %d bytes, allowed are %d", len(row), maxSpecRowBytes)}
	}
	return nil
}

// storedInFormerPool reports whether a job is stored in another pool that served its queue before: its repeat may come after
// the queue was given to this one.
func (m *Manager) storedInFormerPool(ctx context.Context, q work.Queue, id work.JobID) (bool, error) {
	m.mu.Lock()
	pools := slices.Clone(m.formerPools[q.Key()])
	m.mu.Unlock()
	for _, pool := range pools {
		if pool == q.Pool {
			continue
		}
		_, ok, err := m.Rows.ReadRow(ctx, jobKey(pool, id), "accept")
		if err != nil {
			return false, ErrNotAccepted{Reason: err.Error(), RetryAfter: storeRetryAfter}
		}
		if ok {
			return true, nil
		}
	}
	return false, nil
}

func (m *Manager) recordSubmission(q work.Queue, job work.Job, err error) {
	e := event.Event{Number: event.WorkAccepted, Pool: q.Pool, Job: string(job.ID), Detail: "queue " + q.Name}
	var refused ErrNotAccepted
	switch {
	case errors.As(err, &refused):
		e.Number = event.WorkNotAccepted
		e.Detail += ": " + refused.Reason
	case err != nil:
		e.Number = event.WorkUnsure
		e.Detail += ": " + err.Error()
	}
	m.record(e)
}
