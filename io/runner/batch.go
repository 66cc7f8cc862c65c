package runner

import (
	"errors"
	"sync"
	"time"

	"siskincross/core/work"
	"siskincross/io/platform"
)

const (
	// maxJobsPerCommit keeps a transaction of callers' jobs, with two rows and a precondition each, below the store's
	// limit of 100 entries.
	maxJobsPerCommit = 30
	// maxBytesPerCommit keeps the transaction far below the store's limit of one megabyte. It takes about a second over
	// the smallest stated link, 2 Mbit/s.
	maxBytesPerCommit = 200_000
	// overloadRetryPause is the time between two attempts meanwhile.
	overloadRetryPause = 300 * time.Millisecond
	// maxConcurrentCommits is the number of groups of callers' jobs that the pool's holder commits at the same time while
	// the store is slow: the next one then reaches the partition before the last one is answered. More of them, with
	// the commits of progress, would exceed the time that the store lets transactions wait.
	maxConcurrentCommits = 2
	// maxConcurrentHandIns is the number of HandIn calls for one pool that an entry host has in flight while the holder
	// is slow.
	maxConcurrentHandIns = 4
	// acceptCommitPause is the pause of a duty's holder between two commits of callers' jobs. Jobs that entry hosts
	// forward meanwhile share the next commit, and commits of progress get a turn in the partition.
	acceptCommitPause = 8 * time.Millisecond
	// maxQueuesPerCommit bounds the gates in such a transaction, one a queue.
	maxQueuesPerCommit = 8
)

// batcher collects the submissions for one pool into group commits.
type batcher struct {
	mu     sync.Mutex
	queued []*submission
	// open holds the submissions that have no result yet.
	open map[work.JobID]*submission
	// loops is the number of running commit loops. Further loops start while the first is held up.
	loops int
	// takenAt is when a loop last took a group.
	takenAt time.Time
	// storing has room for one entry, that of the loop that stores a group, on members without the pool's duty.
	storing chan struct{}
}

// enqueue queues a submission for a pool, and starts a commit loop if necessary.
func (m *Manager) enqueue(pool string, s *submission) {
	maxLoops := m.maxCommitLoops(pool)
	m.mu.Lock()
	b := m.batchers[pool]
	if b == nil {
		b = &batcher{open: make(map[work.JobID]*submission), storing: make(chan struct{}, 1)}
		m.batchers[pool] = b
	}
	m.mu.Unlock()
	s.batcher = b
	b.mu.Lock()
	defer b.mu.Unlock()
	if first := b.open[s.job.ID]; first != nil && first.caller == s.caller && first.job.Organisation == s.job.Organisation {
		first.followers = append(first.followers, s)
		return
	}
	b.open[s.job.ID] = s
	b.queued = append(b.queued, s)
	if b.needsLoop(maxLoops, time.Now()) {
		b.loops++
		m.group.Go(func() { m.commitQueued(pool, b) })
	}
}

// maxCommitLoops returns how many groups of a pool's submissions are forwarded or stored at the same time.
func (m *Manager) maxCommitLoops(pool string) int {
	if m.poolHolder(pool) != nil {
		return maxConcurrentCommits
	}
	if m.canForward(pool) {
		return maxConcurrentHandIns
	}
	return 1
}

// needsLoop reports whether to start another commit loop: the first one, or a further one while the last group is held
// up by a slow store. The caller holds the lock.
func (b *batcher) needsLoop(maxLoops int, now time.Time) bool {
	if b.loops == 0 {
		return true
	}
	if now.Sub(b.takenAt) <= slowAnswer || b.loops >= maxLoops {
		return false
	}
	// Each transaction takes the same time in the partition, so a further one is for a full group.
	return maxLoops == maxConcurrentHandIns || len(b.queued) >= maxJobsPerCommit
}

// commitQueued commits the queued submissions of a pool until none is left.
func (m *Manager) commitQueued(pool string, b *batcher) {
	for {
		m.refuseHopeless(pool, b)
		b.mu.Lock()
		group := b.takeGroup()
		if len(group) == 0 {
			b.loops--
			b.mu.Unlock()
			return
		}
		b.takenAt = time.Now()
		b.mu.Unlock()
		forwards := m.canForward(pool)
		group = m.forwardJobs(pool, group)
		if forwards && len(group) > 0 && !m.hasStoreAccess(pool) {
			group = refuseUncommitted(group, errStoreUnavailable())
		}
		if group = m.refuseBeyondShare(pool, group); len(group) > 0 {
			m.storeTaken(pool, b, group)
		}
		if m.poolHolder(pool) != nil {
			sleep(m.ctx, acceptCommitPause)
		}
	}
}

// hasStoreAccess reports whether the store answers this entry host. It is asked before this entry host stores what the
// pool's holder did not: a store that is silent to both makes the outcome unknown.
func (m *Manager) hasStoreAccess(pool string) bool {
	switch {
	case m.storeHealth.isUnavailable(pool):
		return false
	case m.storeHealth.answeredSince(time.Now().Add(-slowAnswer)):
		return true
	}
	_, _, err := m.Rows.ReadRow(m.ctx, platform.RowKey{Table: fleetTable, Partition: pool, Key: holderKey}, "access")
	return err == nil
}

// storeTaken stores a group. A member without the pool's duty stores one group at a time.
func (m *Manager) storeTaken(pool string, b *batcher, group []*submission) {
	if m.poolHolder(pool) == nil {
		b.storing <- struct{}{}
		defer func() { <-b.storing }()
	}
	m.storeGroup(pool, b, m.completeKnown(pool, group))
}

// completeKnown reports success to the submissions of jobs that the pool's holder knows: they are stored, and one of
// them would make the transaction of the whole group fail. It returns the others.
func (m *Manager) completeKnown(pool string, group []*submission) []*submission {
	h := m.readyHolder(pool)
	if h == nil {
		return group
	}
	withoutOrganisations := m.Catalogue().Organisations.IsEmpty()
	kept := group[:0]
	for _, s := range group {
		h.mu.Lock()
		known := h.scheduler.HasJobOf(s.job.ID, s.job.Organisation) || (withoutOrganisations && h.scheduler.HasJob(s.job.ID))
		h.mu.Unlock()
		if known {
			s.finish(nil)
			continue
		}
		kept = append(kept, s)
	}
	return kept
}

// requeue puts submissions back at the head of the queue.
func (b *batcher) requeue(group []*submission) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.queued = append(group, b.queued...)
}

// refuseQueuedSubmissions refuses the submissions of unavailable pools that wait behind a commit without an answer
// and have not been sent themselves.
func (m *Manager) refuseQueuedSubmissions() {
	m.mu.Lock()
	unavailable := make(map[string]*batcher, len(m.batchers))
	for pool, b := range m.batchers {
		if m.storeHealth.isUnavailable(pool) {
			unavailable[pool] = b
		}
	}
	m.mu.Unlock()
	for pool, b := range unavailable {
		if !m.canForward(pool) {
			b.refuseQueued(errStoreUnavailable())
		}
	}
}

// refuseQueued refuses the queued submissions of which no commit can have taken effect.
func (b *batcher) refuseQueued(err error) {
	b.mu.Lock()
	var refused []*submission
	kept := b.queued[:0]
	for _, s := range b.queued {
		if s.maybeStored {
			kept = append(kept, s)
			continue
		}
		refused = append(refused, s)
	}
	b.queued = kept
	b.mu.Unlock()
	refuseUncommitted(refused, err)
}

// takeGroup takes the oldest submissions that fit into one transaction off the queue. Two submissions of one ID by different
// organisations don't: the second one must find the first one stored. The caller holds the lock.
func (b *batcher) takeGroup() []*submission {
	size, n := 0, 0
	owners := make(map[work.JobID]string)
	queues := make(map[string]bool)
	for n < len(b.queued) && n < maxJobsPerCommit && (n == 0 || size+len(b.queued[n].encodedSpec) < maxBytesPerCommit) {
		job := b.queued[n].job
		if owner, ok := owners[job.ID]; ok && owner != job.Organisation {
			break
		}
		if queues[job.Queue] = true; len(queues) > maxQueuesPerCommit {
			break
		}
		owners[job.ID] = job.Organisation
		size += len(b.queued[n].encodedSpec)
		n++
	}
	group := b.queued[:n:n]
	b.queued = b.queued[n:]
	return group
}

// storeGroup commits a group until the outcome of each submission is known or its caller's deadline has passed. While
// too many transactions wait at the store, it requeues the group instead, so that the next transaction takes more
// submissions.
func (m *Manager) storeGroup(pool string, b *batcher, group []*submission) {
	var retry backoff
	for len(group) > 0 {
		var gates []gate
		if group, gates = m.awaitAdmission(pool, group); len(group) == 0 {
			return
		}
		err := m.commitGroup(pool, group, gates)
		var conflict platform.ErrVersionMismatch
		var unavailable platform.ErrUnavailable
		var invalid platform.ErrInvalid
		switch {
		case err == nil:
			completeAll(group, nil)
			return
		case errors.As(err, &conflict):
			m.forgetChangedGates(conflict)
			group = completeStored(pool, group, conflict)
			continue
		case errors.As(err, &unavailable) && unavailable.Overloaded:
			group = failExpired(m.refuseOverdue(pool, group), err)
			b.requeue(group)
			if len(group) > 0 {
				sleep(m.ctx, jitter(overloadRetryPause))
			}
			return
		case errors.As(err, &invalid) && len(group) > 1:
			// A submission that the store rejects must not fail the others.
			for i := range group {
				m.storeGroup(pool, b, group[i:i+1:i+1])
			}
			return
		case errors.As(err, &unavailable), errors.As(err, &invalid):
			group = refuseUncommitted(group, err)
		default:
			for _, s := range group {
				s.maybeStored = true
			}
		}
		group = failExpired(group, err)
		if len(group) > 0 && !m.awaitRetry(m.ctx, &retry) {
			completeAll(group, ErrOutcomeUnknown{"the process is shutting down"})
			return
		}
	}
}

// commitGroup tries once to store a group. If this process holds the pool's duty, the duty's fence is part of the
// transaction and its holder receives the jobs. Jobs that are stored after another member took the duty must be
// unknown to all earlier holders, since the next holder relies on that.
func (m *Manager) commitGroup(pool string, group []*submission, gates []gate) error {
	h := m.readyHolder(pool)
	tx := acceptTransaction(pool, group)
	for _, g := range gates {
		tx.Preconditions = append(tx.Preconditions, g.RowPrecondition)
	}
	if h == nil {
		_, err := m.Rows.Commit(m.ctx, tx)
		return err
	}
	tx.Preconditions = append(tx.Preconditions, h.fencePrecondition())
	version, err := h.commitFenced(m.ctx, tx)
	if err != nil {
		h.endIfFenced(err)
		return err
	}
	h.addAcceptedJobs(group, version)
	return nil
}

// readyHolder returns the holder of a pool's duty in this process if it accepts jobs, or nil.
func (m *Manager) readyHolder(pool string) *poolHolder {
	if h := m.poolHolder(pool); h != nil && h.acceptsJobs() {
		return h
	}
	return nil
}

// acceptTransaction returns the transaction that stores a group of new jobs.
func acceptTransaction(pool string, group []*submission) platform.RowTransaction {
	tx := platform.RowTransaction{Purpose: "accept"}
	for _, s := range group {
		key := jobKey(pool, s.job.ID)
		tx.Preconditions = append(tx.Preconditions, platform.RowPrecondition{RowKey: key})
		tx.Writes = append(tx.Writes,
			platform.RowWrite{RowKey: key, Value: encodedState(work.StateQueued, s.job.Organisation)},
			platform.RowWrite{RowKey: specKey(pool, s.job.ID), Value: s.encodedSpec})
	}
	return tx
}

// awaitAdmission admits a group until the store has answered for each submission or its caller's deadline has passed. It returns
// those that are to be stored, with their gates.
func (m *Manager) awaitAdmission(pool string, group []*submission) ([]*submission, []gate) {
	var retry backoff
	for {
		admitted, gates, err := m.admitGroup(pool, group)
		if err == nil {
			return admitted, gates
		}
		if group = failUnadmitted(admitted, err); len(group) == 0 {
			return nil, nil
		}
		if !m.awaitRetry(m.ctx, &retry) {
			completeAll(group, ErrOutcomeUnknown{"the process is shutting down"})
			return nil, nil
		}
	}
}

// failUnadmitted answers the submissions that can't be admitted because of the store: those of which no commit can have taken
// effect if the store is unavailable, and those whose callers' deadlines have passed. It returns the others.
func failUnadmitted(group []*submission, err error) []*submission {
	var unavailable platform.ErrUnavailable
	if errors.As(err, &unavailable) {
		group = refuseUncommitted(group, err)
	}
	kept := group[:0]
	for _, s := range group {
		switch {
		case s.ctx.Err() == nil:
			kept = append(kept, s)
		case s.maybeStored:
			s.finish(ErrOutcomeUnknown{err.Error()})
		default:
			s.finish(ErrNotAccepted{Reason: err.Error(), RetryAfter: storeRetryAfter})
		}
	}
	return kept
}

// completeAll answers all submissions of a group.
func completeAll(group []*submission, err error) {
	for _, s := range group {
		s.finish(err)
	}
}

// completeStored reports success to the submissions that are already stored, by a commit of ours without an answer or
// by another entry host, and refuses those whose ID belongs to another organisation. It returns the others.
func completeStored(pool string, group []*submission, err platform.ErrVersionMismatch) []*submission {
	kept := group[:0]
	for _, s := range group {
		if row, ok := err.Find(jobKey(pool, s.job.ID)); ok {
			s.finish(s.caller.checkStored(s.job.ID, row))
			continue
		}
		kept = append(kept, s)
	}
	return kept
}

// refuseUncommitted refuses the submissions of which no commit can have taken effect. It returns the others.
func refuseUncommitted(group []*submission, err error) []*submission {
	kept := group[:0]
	for _, s := range group {
		if s.maybeStored {
			kept = append(kept, s)
			continue
		}
		s.finish(ErrNotAccepted{Reason: err.Error(), RetryAfter: storeRetryAfter})
	}
	return kept
}

// failExpired answers the submissions whose callers' deadlines have passed: their outcome is unknown. It returns the
// others.
func failExpired(group []*submission, err error) []*submission {
	kept := group[:0]
	for _, s := range group {
		if s.ctx.Err() != nil {
			s.finish(ErrOutcomeUnknown{err.Error()})
			continue
		}
		kept = append(kept, s)
	}
	return kept
}
