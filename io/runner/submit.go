package runner

import (
	"context"
	"errors"
	"fmt"
	"time"

	"siskincross/core/event"
	"siskincross/core/work"
	"siskincross/io/platform"
)

// ErrNotAccepted is returned for a job that is not stored and will not be stored.
type ErrNotAccepted struct {
	Reason string
	// RetryAfter is the delay after which the caller may retry.
	RetryAfter time.Duration
	// BeyondShare is true if the job lies beyond its organisation's share. No entry host stores it then.
	BeyondShare bool
	// Overload is true if the store can't store the job in its caller's time, through whichever entry host.
	Overload bool
}

// Error implements error.
func (e ErrNotAccepted) Error() string { return "not accepted: " + e.Reason }

// ErrOutcomeUnknown is returned when it is unknown whether a caller's write was stored.
type ErrOutcomeUnknown struct{ Reason string }

// Error implements error.
func (e ErrOutcomeUnknown) Error() string {
	return "outcome unknown, the write may be stored: " + e.Reason
}

// ErrJobNotFound is returned when no job has the given ID.
type ErrJobNotFound struct{ ID work.JobID }

// Error implements error.
func (e ErrJobNotFound) Error() string { return "no such job: " + string(e.ID) }

// storeRetryAfter is the Retry-After value while the store is unavailable. Its short outages end within that time.
const storeRetryAfter = time.Second

// unservedRetryAfter is the Retry-After value of a queue that no pool serves. It takes a change of the configuration.
const unservedRetryAfter = 10 * time.Second

// Submit stores a caller's job. It returns nil if the job is stored, also if an earlier call stored it, ErrNotAccepted if it
// will not be stored, ErrKeyRefused if the caller's key is no longer taken, and ErrOutcomeUnknown if it is unknown whether
// the job is stored. It returns work.ErrInvalid for a job that can't be run or is too large.
func (m *Manager) Submit(ctx context.Context, caller Caller, q work.Queue, job work.Job) error {
	m.init()
	q, configuration := m.currentQueue(q)
	job.Organisation = caller.jobOrganisation(q)
	job.Queue, job.Priority, job.MaxFailedAttempts = q.Key(), q.Priority, q.MaxFailedAttempts
	job.Objective, job.PolicyService, job.AcceptedAt = q.Objective, q.PolicyService, time.Now()
	if err := job.Validate(); err != nil {
		return err
	}
	if o, ok := m.Catalogue().Organisations.Find(job.Organisation); ok {
		if err := job.ValidateLimit(o.Limit); err != nil {
			return err
		}
	}
	if m.storeHealth.isUnavailable(q.Pool) && !m.canForward(q.Pool) {
		err := ErrNotAccepted{Reason: errStoreUnavailable().Error(), RetryAfter: storeRetryAfter}
		m.recordSubmission(q, job, err)
		return err
	}
	row := encodeRow(newSpecRow(job))
	if err := checkRowSize(job.ID, row); err != nil {
		return err
	}
	if !m.hasHosts(q.Pool) {
		err := m.submitUnserved(ctx, caller, q, job.ID)
		m.recordSubmission(q, job, err)
		return err
	}
	sub := &submission{
		job: job, caller: caller, encodedSpec: row, configuration: configuration, receivedAt: time.Now(), waitsUntil: waitsUntil(ctx), ctx: ctx, done: make(chan error, 1),
	}
	m.enqueue(q.Pool, sub)
	select {
	case err := <-sub.done:
		m.recordSubmission(q, job, err)
		return err
	case <-ctx.Done():
		err := ErrOutcomeUnknown{"the caller's deadline has passed"}
		m.recordSubmission(q, job, err)
		return err
	}
}

// waitsUntil returns the deadline of a caller's context.
func waitsUntil(ctx context.Context) time.Time {
	if deadline, ok := ctx.Deadline(); ok {
		return deadline
	}
	return time.Now().Add(maxStoreTimeout)
}

const (
	// maxSpecRowBytes bounds the encoded specification of a job. With the encoding of the row it amounts to the
	// store's limit of 64 KiB.
	maxSpecRowBytes = 48 << 10
	// maxIDBytes bounds the ID of a job. It is the store's limit for a key.
	maxIDBytes = 200
)

// checkRowSize returns work.ErrInvalid for a job whose ID or row exceeds the store's limits.
func checkRowSize(id work.JobID, row []byte) error {
	if len(id) > maxIDBytes {
		return work.ErrInvalid{Job: id[:maxIDBytes], Reason: fmt.Sprintf("ID: %d bytes, at most %d are allowed", len(id), maxIDBytes)}
	}
	if len(row) > maxSpecRowBytes {
		return work.ErrInvalid{Job: id, Reason: fmt.Sprintf("specification: %d bytes, at most %d are allowed", len(row), maxSpecRowBytes)}
	}
	return nil
}

// hasHosts reports whether the configuration has a pool and runs its jobs.
func (m *Manager) hasHosts(pool string) bool {
	p, ok := m.Catalogue().Pools[pool]
	return ok && !p.Standby
}

// currentQueue returns the queue as the configuration in force has it, and the version of that configuration. A queue that it
// doesn't have is returned as it is, with version zero.
func (m *Manager) currentQueue(q work.Queue) (work.Queue, uint64) {
	c := m.Catalogue()
	if current, ok := c.QueueByKey(q.Key()); ok {
		return current, c.Version
	}
	return q, 0
}

// submitUnserved is Submit for a queue whose pool is not in service. The job may be stored all the same, by an earlier submission.
func (m *Manager) submitUnserved(ctx context.Context, caller Caller, q work.Queue, id work.JobID) error {
	pools, err := m.storingPools(ctx, q, "accept")
	var row platform.VersionedRow
	found := false
	if err == nil {
		row, found, err = m.findRow(ctx, caller, pools, id, "accept")
	}
	switch {
	case err != nil:
		return ErrNotAccepted{Reason: err.Error(), RetryAfter: storeRetryAfter}
	case found:
		return caller.checkStored(id, row)
	}
	return ErrNotAccepted{Reason: "the configuration has no pool " + q.Pool + " in service", RetryAfter: unservedRetryAfter}
}

// recordSubmission records the result of a submission.
func (m *Manager) recordSubmission(q work.Queue, job work.Job, err error) {
	e := event.Event{Number: event.WorkAccepted, Organisation: job.Organisation, Pool: q.Pool, Job: string(job.ID), Detail: "queue " + q.Name}
	var refused ErrNotAccepted
	var keyRefused ErrKeyRefused
	switch {
	case errors.As(err, &keyRefused):
		return // RecordRefusal does
	case errors.As(err, &refused):
		e.Number = event.WorkNotAccepted
		e.Detail += ": " + refused.Reason
	case err != nil:
		e.Number = event.WorkUnsure
		e.Detail += ": " + err.Error()
	}
	m.record(e)
}
