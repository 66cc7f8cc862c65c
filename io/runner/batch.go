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
	// maxJobsPerCommit keeps a transaction of callers' jobs, two rows and an expectation each, below the store's 100 entries.
	maxJobsPerCommit = 30
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
	job         work.Job
	encodedSpec []byte
	// maybeStored is true once a commit with it had an unknown outcome.
	maybeStored bool
	// forwarded is true if another entry host handed it in: it is stored here or not at all.
	forwarded  bool
	receivedAt time.Time
	ctx        context.Context
	done       chan error
}

// batcher collects the submissions for one pool. One commit is in flight at a time.
type batcher struct {
	mu      sync.Mutex
	waiting []*submission
	running bool
}

func (m *Manager) enqueue(pool string, s *submission) {
	m.mu.Lock()
	b := m.batchers[pool]
	if b == nil {
		b = &batcher{}
		m.batchers[pool] = b
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
func (m *Manager) drain(pool string, b *batcher) {
	for {
		b.mu.Lock()
		group := b.next()
		if len(group) == 0 {
			b.running = false
			b.mu.Unlock()
			return
		}
		b.mu.Unlock()
		if group = m.forwardJobs(pool, group); len(group) > 0 {
			m.storeGroup(pool, b, group)
		}
		if m.poolHolder(pool) != nil {
			sleep(m.ctx, acceptGather)
		}
	}
}

// putBack has submissions wait again, before those that came later.
func (b *batcher) putBack(group []*submission) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waiting = append(group, b.waiting...)
}

// refuseQueuedSubmissions refuses the submissions that wait behind a commit that the store does not answer, and were not sent themselves.
func (m *Manager) refuseQueuedSubmissions() {
	m.mu.Lock()
	waiting := make(map[string]*batcher, len(m.batchers))
	for pool, b := range m.batchers {
		if m.storeHealth.isUnavailable(pool) {
			waiting[pool] = b
		}
	}
	m.mu.Unlock()
	for _, b := range waiting {
		b.refuse(errStoreUnavailable())
	}
}

// refuse refuses the waiting submissions of which no commit can have taken effect.
func (b *batcher) refuse(err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waiting = refuseNew(b.waiting, err)
}

// next takes the oldest submissions that fit into one transaction.
func (b *batcher) next() []*submission {
	size, n := 0, 0
	for n < len(b.waiting) && n < maxJobsPerCommit && (n == 0 || size+len(b.waiting[n].encodedSpec) < bytesPerCommit) {
		size += len(b.waiting[n].encodedSpec)
		n++
	}
	group := b.waiting[:n:n]
	b.waiting = b.waiting[n:]
	return group
}

// storeGroup commits a group until the outcome of each submission is known or its caller's time is over. While too many transactions
// wait at the store, it puts the group back into the batch instead, so that the next one takes more submissions.
func (m *Manager) storeGroup(pool string, b *batcher, group []*submission) {
	var retry backoff
	for len(group) > 0 {
		err := m.commitGroup(pool, group)
		var overtaken platform.ErrVersionMismatch
		var unavailable platform.ErrUnavailable
		var invalid platform.ErrInvalid
		switch {
		case err == nil:
			finish(group, nil)
			return
		case errors.As(err, &overtaken):
			group = dropStored(pool, group, overtaken)
			continue
		case errors.As(err, &unavailable) && unavailable.Overloaded:
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
				s.maybeStored = true
			}
		}
		group = dropExpired(group, err)
		if len(group) > 0 && !m.awaitRetry(m.ctx, &retry) {
			finish(group, ErrOutcomeUnknown{"the process ends"})
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
	tx.Preconditions = append(tx.Preconditions, h.fence())
	version, err := m.Rows.Commit(m.ctx, tx)
	if err != nil {
		h.fenced(err)
		return err
	}
	h.addAcceptedJobs(group, version)
	return nil
}

// acceptingHolder returns our holder of a pool's duty, or nil.
func (m *Manager) acceptingHolder(pool string) *poolHolder {
	if h := m.poolHolder(pool); h != nil && h.acceptsJobs() {
		return h
	}
	return nil
}

func acceptTransaction(pool string, group []*submission) platform.RowTransaction {
	tx := platform.RowTransaction{Purpose: "accept"}
	for _, s := range group {
		key := jobKey(pool, s.job.ID)
		tx.Preconditions = append(tx.Preconditions, platform.RowPrecondition{RowKey: key})
		tx.Writes = append(tx.Writes,
			platform.RowWrite{RowKey: key, Value: stateValue(work.StateQueued)},
			platform.RowWrite{RowKey: specKey(pool, s.job.ID), Value: s.encodedSpec})
	}
	return tx
}

func finish(group []*submission, err error) {
	for _, s := range group {
		s.done <- err
	}
}

// dropStored answers the submissions that were stored before, by a lost commit of ours or at another entry host.
func dropStored(pool string, group []*submission, err platform.ErrVersionMismatch) []*submission {
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
		if s.maybeStored {
			kept = append(kept, s)
			continue
		}
		s.done <- ErrNotAccepted{Reason: err.Error(), RetryAfter: storeRetryAfter}
	}
	return kept
}

// refuseOld refuses the submissions that have waited for long and of which no commit can have taken effect.
func refuseOld(group []*submission, err error) []*submission {
	kept := group[:0]
	for _, s := range group {
		if !s.maybeStored && time.Since(s.receivedAt) > busyTime {
			s.done <- ErrNotAccepted{Reason: err.Error(), RetryAfter: storeRetryAfter}
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
			s.done <- ErrOutcomeUnknown{err.Error()}
			continue
		}
		kept = append(kept, s)
	}
	return kept
}
