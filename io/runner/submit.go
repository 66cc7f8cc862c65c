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

// ErrUnsure is returned when it is not known whether a caller's write is stored.
type ErrUnsure struct{ Reason string }

// Error implements error.
func (e ErrUnsure) Error() string { return "not known whether it is stored: " + e.Reason }

// ErrNoJob is returned when there is no such job.
type ErrNoJob struct{ ID work.ID }

// Error implements error.
func (e ErrNoJob) Error() string { return "there is no job " + string(e.ID) }

// storeAway is the Retry-After while the store refuses calls: its short disturbances are over by then.
const storeAway = time.Second

// Submit stores a job. It returns nil once the job is stored, also if it was before, ErrNotAccepted or ErrUnsure.
func (m *Manager) Submit(ctx context.Context, q work.Queue, job work.Job) error {
	m.init()
	job.Queue, job.Priority, job.Attempts = q.Key(), q.Priority, q.Attempts
	job.Objective, job.Advice, job.Accepted = q.Objective, q.Advice, time.Now()
	if err := job.Check(); err != nil {
		return err
	}
	if m.health.away(q.Pool) {
		err := ErrNotAccepted{Reason: errStoreAway().Error(), RetryAfter: storeAway}
		m.tellSubmit(q, job, err)
		return err
	}
	row := encode(newSpecRow(job))
	if err := checkRow(job.ID, row); err != nil {
		return err
	}
	s := &submission{job: job, row: row, came: time.Now(), ctx: ctx, done: make(chan error, 1)}
	if stored, err := m.storedBefore(ctx, q, job.ID); stored || err != nil {
		return err
	}
	m.enqueue(q.Pool, s)
	select {
	case err := <-s.done:
		m.tellSubmit(q, job, err)
		return err
	case <-ctx.Done():
		err := ErrUnsure{"the caller's time is over"}
		m.tellSubmit(q, job, err)
		return err
	}
}

const (
	// maxRow bounds the row of a job's specification, in bytes: with its encoding it is the 64 KiB that the store takes.
	maxRow = 48 << 10
	// maxID bounds a job's ID, in bytes: the store's bound for a key.
	maxID = 200
)

// checkRow returns work.ErrInvalid for a job that the store would not take.
func checkRow(id work.ID, row []byte) error {
	if len(id) > maxID {
		return work.ErrInvalid{Job: id[:maxID], Reason: fmt.Sprintf("ID: %d bytes, allowed are %d", len(id), maxID)}
	}
	if len(row) > maxRow {
		return work.ErrInvalid{Job: id, Reason: fmt.Sprintf("its description takes %d bytes, allowed are %d", len(row), maxRow)}
	}
	return nil
}

// storedBefore reports whether a job is stored in another pool that served its queue before: its repeat may come after
// the queue was given to this one.
func (m *Manager) storedBefore(ctx context.Context, q work.Queue, id work.ID) (bool, error) {
	m.mu.Lock()
	pools := slices.Clone(m.former[q.Key()])
	m.mu.Unlock()
	for _, pool := range pools {
		if pool == q.Pool {
			continue
		}
		_, ok, err := m.Rows.ReadOne(ctx, jobKey(pool, id), "accept")
		if err != nil {
			return false, ErrNotAccepted{Reason: err.Error(), RetryAfter: storeAway}
		}
		if ok {
			return true, nil
		}
	}
	return false, nil
}

func (m *Manager) tellSubmit(q work.Queue, job work.Job, err error) {
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
