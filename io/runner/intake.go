package runner

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"siskincross/core/event"
	"siskincross/core/work"
	"siskincross/io/platform"
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

const (
	// jobsPerCommit keeps a transaction of callers' jobs, two rows and an expectation each, below the store's 100 entries.
	jobsPerCommit = 30
	// bytesPerCommit keeps it far below the store's megabyte: about a second over the smallest stated link, 2 Mbit/s.
	bytesPerCommit = 200_000
	// storeAway is the Retry-After while the store refuses calls: its short disturbances are over by then.
	storeAway = time.Second
	// busyTime is how long a submission waits for its part of the store while too many transactions wait there: a second of them is in
	// front, and the next one takes all submissions of this entry host.
	busyTime = 1500 * time.Millisecond
	// busyPause is the time between two tries meanwhile.
	busyPause = 300 * time.Millisecond
)

// submission is a caller's job on its way to the store.
type submission struct {
	job work.Job
	row []byte
	// maybe is true once a commit with it had an unknown outcome.
	maybe bool
	came  time.Time
	ctx   context.Context
	done  chan error
}

// batch collects the submissions for one pool. One commit is in flight at a time.
type batch struct {
	mu      sync.Mutex
	waiting []*submission
	running bool
}

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
	s := &submission{job: job, row: encode(newSpecRow(job)), came: time.Now(), ctx: ctx, done: make(chan error, 1)}
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

func (m *Manager) enqueue(pool string, s *submission) {
	m.mu.Lock()
	b := m.batches[pool]
	if b == nil {
		b = &batch{}
		m.batches[pool] = b
	}
	m.mu.Unlock()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waiting = append(b.waiting, s)
	if !b.running {
		b.running = true
		m.group.Go(func() { m.drain(pool, b) })
	}
}

// drain commits what waits for a pool until nothing does.
func (m *Manager) drain(pool string, b *batch) {
	for {
		b.mu.Lock()
		group := b.next()
		if len(group) == 0 {
			b.running = false
			b.mu.Unlock()
			return
		}
		b.mu.Unlock()
		m.storeGroup(pool, b, group)
	}
}

// putBack has submissions wait again, before those that came later.
func (b *batch) putBack(group []*submission) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waiting = append(group, b.waiting...)
}

// refuseWaiting refuses the submissions that wait behind a commit that the store does not answer, and were not sent themselves.
func (m *Manager) refuseWaiting() {
	m.mu.Lock()
	waiting := make(map[string]*batch, len(m.batches))
	for pool, b := range m.batches {
		if m.health.away(pool) {
			waiting[pool] = b
		}
	}
	m.mu.Unlock()
	for _, b := range waiting {
		b.refuse(errStoreAway())
	}
}

// refuse refuses the waiting submissions of which no commit can have taken effect.
func (b *batch) refuse(err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waiting = refuseNew(b.waiting, err)
}

// next takes the oldest submissions that fit into one transaction.
func (b *batch) next() []*submission {
	size, n := 0, 0
	for n < len(b.waiting) && n < jobsPerCommit && (n == 0 || size+len(b.waiting[n].row) < bytesPerCommit) {
		size += len(b.waiting[n].row)
		n++
	}
	group := b.waiting[:n:n]
	b.waiting = b.waiting[n:]
	return group
}

// storeGroup commits a group until the outcome of each submission is known or its caller's time is over. While too many transactions
// wait at the store, it puts the group back into the batch instead, so that the next one takes more submissions.
func (m *Manager) storeGroup(pool string, b *batch, group []*submission) {
	var retry backoff
	for len(group) > 0 {
		version, err := m.Rows.Commit(m.ctx, acceptTransaction(pool, group))
		var overtaken platform.ErrOvertaken
		var unavailable platform.ErrUnavailable
		var invalid platform.ErrInvalid
		switch {
		case err == nil:
			finish(group, nil)
			if h := m.holder(pool); h != nil {
				h.accepted(group, version)
			}
			return
		case errors.As(err, &overtaken):
			group = dropStored(pool, group, overtaken)
			continue
		case errors.As(err, &unavailable) && unavailable.Busy:
			group = dropExpired(refuseOld(group, err), err)
			b.putBack(group)
			if len(group) > 0 {
				sleep(m.ctx, jitter(busyPause))
			}
			return
		case errors.As(err, &unavailable), errors.As(err, &invalid):
			group = refuseNew(group, err)
		default:
			for _, s := range group {
				s.maybe = true
			}
		}
		group = dropExpired(group, err)
		if len(group) > 0 && !m.pause(m.ctx, &retry) {
			finish(group, ErrUnsure{"the process ends"})
			return
		}
	}
}

func acceptTransaction(pool string, group []*submission) platform.Commit {
	tx := platform.Commit{Purpose: "accept"}
	for _, s := range group {
		key := jobKey(pool, s.job.ID)
		tx.Expected = append(tx.Expected, platform.Expectation{RowKey: key})
		tx.Writes = append(tx.Writes,
			platform.RowWrite{RowKey: key, Value: stateValue(work.StateQueued)},
			platform.RowWrite{RowKey: specKey(pool, s.job.ID), Value: s.row})
	}
	return tx
}

func finish(group []*submission, err error) {
	for _, s := range group {
		s.done <- err
	}
}

// dropStored answers the submissions that were stored before, by a lost commit of ours or at another entry host.
func dropStored(pool string, group []*submission, err platform.ErrOvertaken) []*submission {
	kept := group[:0]
	for _, s := range group {
		if _, ok := err.Find(jobKey(pool, s.job.ID)); ok {
			s.done <- nil
			continue
		}
		kept = append(kept, s)
	}
	return kept
}

// refuseNew refuses the submissions of which no commit can have taken effect.
func refuseNew(group []*submission, err error) []*submission {
	kept := group[:0]
	for _, s := range group {
		if s.maybe {
			kept = append(kept, s)
			continue
		}
		s.done <- ErrNotAccepted{Reason: err.Error(), RetryAfter: storeAway}
	}
	return kept
}

// refuseOld refuses the submissions that have waited for long and of which no commit can have taken effect.
func refuseOld(group []*submission, err error) []*submission {
	kept := group[:0]
	for _, s := range group {
		if !s.maybe && time.Since(s.came) > busyTime {
			s.done <- ErrNotAccepted{Reason: err.Error(), RetryAfter: storeAway}
			continue
		}
		kept = append(kept, s)
	}
	return kept
}

// dropExpired gives up the submissions whose callers' time is over.
func dropExpired(group []*submission, err error) []*submission {
	kept := group[:0]
	for _, s := range group {
		if s.ctx.Err() != nil {
			s.done <- ErrUnsure{err.Error()}
			continue
		}
		kept = append(kept, s)
	}
	return kept
}

// State returns the state of a job. It returns ErrNoJob if there is none, or the error of the store.
func (m *Manager) State(ctx context.Context, q work.Queue, id work.ID) (work.State, error) {
	if h := m.holder(q.Pool); h != nil {
		h.mu.Lock()
		state, ok := h.board.State(id)
		h.mu.Unlock()
		if ok {
			return state, nil
		}
	}
	if m.health.away(q.Pool) {
		return 0, errStoreAway()
	}
	_, row, err := m.findJob(ctx, q, id)
	if err != nil {
		return 0, err
	}
	p, err := work.DecodeProgress(id, row.Value)
	return p.State, err
}

// findJob returns the pool and row of a job: in the queue's pool, or in one that served it before.
func (m *Manager) findJob(ctx context.Context, q work.Queue, id work.ID) (string, platform.PartRow, error) {
	pools := []string{q.Pool}
	for _, name := range m.poolNames() {
		if name != q.Pool {
			pools = append(pools, name)
		}
	}
	for _, pool := range pools {
		row, ok, err := m.Rows.ReadOne(ctx, jobKey(pool, id), "state")
		if err != nil {
			return "", row, err
		}
		if ok {
			return pool, row, nil
		}
	}
	return "", platform.PartRow{}, ErrNoJob{id}
}

// Cancel cancels a job. It returns nil once that is stored, or if the job is final; ErrNoJob, or ErrUnsure.
func (m *Manager) Cancel(ctx context.Context, q work.Queue, id work.ID) error {
	if m.health.away(q.Pool) {
		return ErrNotAccepted{Reason: errStoreAway().Error(), RetryAfter: storeAway}
	}
	var retry backoff
	for {
		done, err := m.cancelOnce(ctx, q, id)
		if done {
			return err
		}
		if !m.pause(ctx, &retry) {
			return ErrUnsure{err.Error()}
		}
	}
}

func (m *Manager) cancelOnce(ctx context.Context, q work.Queue, id work.ID) (bool, error) {
	pool, row, err := m.findJob(ctx, q, id)
	if err != nil {
		var none ErrNoJob
		return errors.As(err, &none), err
	}
	p, err := work.DecodeProgress(id, row.Value)
	if err != nil {
		return true, err
	}
	if p.State.Final() {
		return true, nil
	}
	removes := []platform.RowKey{specKey(pool, id)}
	if p.State == work.StateRunning {
		removes = append(removes, progressKey(pool, id))
	}
	_, err = m.Rows.Commit(ctx, platform.Commit{
		Expected: []platform.Expectation{{RowKey: row.RowKey, Version: row.Version}},
		Writes:   []platform.RowWrite{{RowKey: row.RowKey, Value: stateValue(work.StateCancelled)}},
		Removes:  removes,
		Purpose:  "cancel",
	})
	if err != nil {
		return false, err
	}
	m.record(event.Event{Number: event.WorkCancelled, Pool: pool, Job: string(id)})
	if h := m.holder(pool); h != nil {
		h.mu.Lock()
		h.board.Cancel(id)
		h.mu.Unlock()
		h.wake()
	}
	return true, nil
}
