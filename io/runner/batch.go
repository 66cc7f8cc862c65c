package runner

import (
	"context"
	"errors"
	"sync"
	"time"

	"siskincross/core/work"
	"siskincross/io/platform"
)

const (
	// jobsPerCommit keeps a transaction of callers' jobs, two rows and an expectation each, below the store's 100 entries.
	jobsPerCommit = 30
	// bytesPerCommit keeps it far below the store's megabyte: about a second over the smallest stated link, 2 Mbit/s.
	bytesPerCommit = 200_000
	// busyTime is how long a submission waits for its part of the store while too many transactions wait there: a second of them is in
	// front, and the next one takes all submissions of this entry host.
	busyTime = 1500 * time.Millisecond
	// busyPause is the time between two tries meanwhile.
	busyPause = 300 * time.Millisecond
	// acceptGather is the pause of a duty's holder between two commits of callers' jobs: those that all entry hosts hand in meanwhile share
	// the next one, and commits of progress find room in the part.
	acceptGather = 8 * time.Millisecond
)

// submission is a caller's job on its way to the store.
type submission struct {
	job work.Job
	row []byte
	// maybe is true once a commit with it had an unknown outcome.
	maybe bool
	// handed is true if another entry host handed it in: it is stored here or not at all.
	handed bool
	came   time.Time
	ctx    context.Context
	done   chan error
}

// batch collects the submissions for one pool. One commit is in flight at a time.
type batch struct {
	mu      sync.Mutex
	waiting []*submission
	running bool
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
		if group = m.handIn(pool, group); len(group) > 0 {
			m.storeGroup(pool, b, group)
		}
		if m.holder(pool) != nil {
			sleep(m.ctx, acceptGather)
		}
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
		err := m.commitGroup(pool, group)
		var overtaken platform.ErrOvertaken
		var unavailable platform.ErrUnavailable
		var invalid platform.ErrInvalid
		switch {
		case err == nil:
			finish(group, nil)
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
		case errors.As(err, &invalid) && len(group) > 1:
			// One that the store does not take must not cost the others.
			for i := range group {
				m.storeGroup(pool, b, group[i:i+1:i+1])
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

// commitGroup makes one try to store a group. If the pool's duty is held here, its fence is part of the transaction, and its holder is
// given the jobs: those that are stored after another member took the duty must be unknown to all earlier holders, since the next one
// relies on that.
func (m *Manager) commitGroup(pool string, group []*submission) error {
	tx := acceptTransaction(pool, group)
	h := m.acceptingHolder(pool)
	if h == nil {
		_, err := m.Rows.Commit(m.ctx, tx)
		return err
	}
	tx.Expected = append(tx.Expected, h.fence())
	version, err := m.Rows.Commit(m.ctx, tx)
	if err != nil {
		h.fenced(err)
		return err
	}
	h.accepted(group, version)
	return nil
}

// acceptingHolder returns our holder of a pool's duty, or nil.
func (m *Manager) acceptingHolder(pool string) *holder {
	if h := m.holder(pool); h != nil && h.takesJobs() {
		return h
	}
	return nil
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
