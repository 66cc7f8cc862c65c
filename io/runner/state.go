package runner

import (
	"cmp"
	"context"
	"errors"
	"slices"

	"golang.org/x/sync/errgroup"

	"siskincross/core/event"
	"siskincross/core/work"
	"siskincross/io/platform"
)

// State returns the state of a job. It returns ErrJobNotFound if the caller has no such job, or the error of the store. The calls
// of the store are the same for another organisation's job as for none, so that their duration tells nothing either.
func (m *Manager) State(ctx context.Context, caller Caller, q work.Queue, id work.JobID) (work.State, error) {
	if m.storeHealth.isUnavailable(q.Pool) {
		state, ok, err := m.forwardRequest(ctx, caller, q, id, false)
		var unknown ErrOutcomeUnknown
		if ok && !errors.As(err, &unknown) {
			return state, err
		}
	}
	return m.localState(ctx, caller, q, id)
}

// localState is State without the help of other entry hosts.
func (m *Manager) localState(ctx context.Context, caller Caller, q work.Queue, id work.JobID) (work.State, error) {
	if h := m.poolHolder(q.Pool); h != nil {
		h.mu.Lock()
		state, ok := h.scheduler.JobState(id)
		owner := h.scheduler.JobOrganisation(id)
		h.mu.Unlock()
		if ok && caller.mayUse(owner) {
			return state, nil
		}
	}
	if m.storeHealth.isUnavailable(q.Pool) {
		return 0, errStoreUnavailable()
	}
	_, row, err := m.findJob(ctx, caller, q, id)
	if err != nil {
		return 0, err
	}
	p, err := work.DecodeProgress(id, row.Value)
	return p.State, err
}

// findJob returns the pool and the row of a caller's job. It looks in the queue's pool first, then in the other pools, one
// of which may have served the queue before.
func (m *Manager) findJob(ctx context.Context, caller Caller, q work.Queue, id work.JobID) (string, platform.VersionedRow, error) {
	pools := []string{q.Pool}
	for i := 0; i < len(pools); i++ {
		row, ok, err := m.Rows.ReadRow(ctx, jobKey(pools[i], id), "state")
		if err != nil {
			return "", row, err
		}
		if ok && caller.mayUse(ownerOf(row)) && !isBarred(row) {
			return pools[i], row, nil
		}
		if i > 0 {
			continue
		}
		if pools, err = m.storingPools(ctx, q, "state"); err != nil {
			return "", row, err
		}
		for _, name := range m.poolNames() {
			if !slices.Contains(pools, name) {
				pools = append(pools, name)
			}
		}
	}
	return "", platform.VersionedRow{}, ErrJobNotFound{id}
}

// Cancel cancels a job in each pool that has it. It returns nil once the cancel is stored, or if the job is final. Otherwise it
// returns ErrJobNotFound, ErrNotAccepted or ErrOutcomeUnknown. After ErrJobNotFound no submission of the job is stored any more,
// also none that is under way. Another organisation's job is treated like none.
func (m *Manager) Cancel(ctx context.Context, caller Caller, q work.Queue, id work.JobID) error {
	_, ok, err := m.forwardRequest(ctx, caller, q, id, true)
	var unknown ErrOutcomeUnknown
	switch {
	case !ok:
	case !errors.As(err, &unknown):
		return err
	case m.storeHealth.isUnavailable(q.Pool):
		return err
	}
	return m.localCancel(ctx, caller, q, id)
}

// localCancel is Cancel without the help of other entry hosts.
func (m *Manager) localCancel(ctx context.Context, caller Caller, q work.Queue, id work.JobID) error {
	if m.storeHealth.isUnavailable(q.Pool) {
		return ErrNotAccepted{Reason: errStoreUnavailable().Error(), RetryAfter: storeRetryAfter}
	}
	if err := m.cancelFirst(ctx, caller, q, id); err != nil {
		return err
	}
	var retry backoff
	for {
		err := m.cancelDuplicates(ctx, caller, q, id)
		if err == nil {
			return nil
		}
		if !m.awaitRetry(ctx, &retry) {
			return ErrOutcomeUnknown{err.Error()}
		}
	}
}

// cancelFirst is localCancel for the first pool that has the job. The holder of the pool's duty stores the cancel of a job that it
// holds together with other changes, in which a transaction of its own would be a conflict.
func (m *Manager) cancelFirst(ctx context.Context, caller Caller, q work.Queue, id work.JobID) error {
	if h := m.readyHolder(q.Pool); h != nil && h.cancelJob(ctx, caller, id) {
		return nil
	}
	var retry backoff
	for {
		done, err := m.tryCancel(ctx, caller, q, id)
		if done {
			return err
		}
		if !m.awaitRetry(ctx, &retry) {
			return ErrOutcomeUnknown{err.Error()}
		}
	}
}

// cancelJob cancels a caller's job that the scheduler holds, and reports whether that is stored.
func (h *poolHolder) cancelJob(ctx context.Context, caller Caller, id work.JobID) bool {
	h.mu.Lock()
	if !caller.mayUse(h.scheduler.JobOrganisation(id)) || !h.scheduler.RequestCancel(id) {
		h.mu.Unlock()
		return false
	}
	ended := h.awaitedEnds[id]
	if ended == nil {
		ended = make(chan struct{})
		h.awaitedEnds[id] = ended
	}
	h.mu.Unlock()
	h.wake()
	select {
	case <-ended:
		return true
	case <-h.ctx.Done():
	case <-ctx.Done():
	}
	return false
}

// signalEnds closes the channels of the jobs that are no longer held. The caller holds the lock.
func (h *poolHolder) signalEnds() {
	for id, ended := range h.awaitedEnds {
		if !h.scheduler.HoldsJob(id) {
			close(ended)
			delete(h.awaitedEnds, id)
		}
	}
}

// tryCancel tries once to cancel a job. It reports whether the returned error, or nil, is the final result.
func (m *Manager) tryCancel(ctx context.Context, caller Caller, q work.Queue, id work.JobID) (bool, error) {
	pool, row, err := m.findJob(ctx, caller, q, id)
	var none ErrJobNotFound
	if errors.As(err, &none) {
		barred, barErr := m.barJob(ctx, caller, q, id)
		return barred, cmp.Or(barErr, err)
	}
	if err != nil {
		return false, err
	}
	err = m.cancelStored(ctx, pool, row)
	var unreadable ErrUnreadableRow
	return err == nil || errors.As(err, &unreadable), err
}

// cancelStored cancels the job of a row, unless it is final.
func (m *Manager) cancelStored(ctx context.Context, pool string, row platform.VersionedRow) error {
	id := work.JobID(row.Key)
	p, err := work.DecodeProgress(id, row.Value)
	switch {
	case err != nil:
		return ErrUnreadableRow{row.RowKey, err}
	case p.State.IsFinal():
		return nil
	}
	removes := []platform.RowKey{specKey(pool, id)}
	if p.State == work.StateRunning {
		removes = append(removes, progressKey(pool, id))
	}
	_, err = m.Rows.Commit(ctx, platform.RowTransaction{
		Preconditions: []platform.RowPrecondition{{RowKey: row.RowKey, Version: row.Version}},
		Writes:        []platform.RowWrite{{RowKey: row.RowKey, Value: encodedState(work.StateCancelled, ownerOf(row))}},
		Deletes:       removes,
		Purpose:       "cancel",
	})
	if err != nil {
		return err
	}
	m.record(event.Event{Number: event.WorkCancelled, Pool: pool, Job: string(id)})
	if h := m.poolHolder(pool); h != nil {
		h.mu.Lock()
		h.scheduler.CancelJob(id)
		h.mu.Unlock()
		h.wake()
	}
	return nil
}

// cancelDuplicates cancels a job in the other pools that may have stored jobs of its queue. One of them has it too if an entry host
// of an earlier version stored it again after the queue had moved. Pools whose partition of the store is unavailable are left
// out: their outage must not keep other pools' jobs from being cancelled.
func (m *Manager) cancelDuplicates(ctx context.Context, caller Caller, q work.Queue, id work.JobID) error {
	pools, err := m.storingPools(ctx, q, "cancel")
	if err != nil {
		return err
	}
	var reads errgroup.Group
	for _, pool := range pools[1:] {
		if !m.storeHealth.isUnavailable(pool) {
			reads.Go(func() error { return m.cancelDuplicate(ctx, caller, pool, q, id) })
		}
	}
	return reads.Wait()
}

// cancelDuplicate cancels a job in one pool, if the pool has it.
func (m *Manager) cancelDuplicate(ctx context.Context, caller Caller, pool string, q work.Queue, id work.JobID) error {
	row, ok, err := m.Rows.ReadRow(ctx, jobKey(pool, id), "cancel")
	if err != nil || !ok || !caller.mayUse(ownerOf(row)) {
		return err
	}
	spec, ok, err := m.Rows.ReadRow(ctx, specKey(pool, id), "cancel")
	if err != nil || !ok {
		return err
	}
	job, err := decodeJob(spec)
	if err == nil && job.Queue == q.Key() {
		err = m.cancelStored(ctx, pool, row)
	}
	var unreadable ErrUnreadableRow
	if errors.As(err, &unreadable) {
		m.record(event.Event{Number: event.WorkRowUnreadable, Pool: pool, Job: string(id), Detail: err.Error()})
		return nil
	}
	return err
}

// barJob stores rows that keep a job from being stored in any pool that may store jobs of its queue: a submission may be under way
// at an entry host or at the store, which may carry it out later. It reports whether the result is final; if not, the job has
// been stored meanwhile.
func (m *Manager) barJob(ctx context.Context, caller Caller, q work.Queue, id work.JobID) (bool, error) {
	pools, err := m.storingPools(ctx, q, "cancel")
	if err != nil {
		return false, err
	}
	barred := encodeRow(stateRow{State: work.StateCancelled, Organisation: caller.jobOrganisation(q), Barred: true})
	for _, pool := range pools {
		key := jobKey(pool, id)
		_, err := m.Rows.Commit(ctx, platform.RowTransaction{
			Preconditions: []platform.RowPrecondition{{RowKey: key}},
			Writes:        []platform.RowWrite{{RowKey: key, Value: barred}},
			Purpose:       "cancel",
		})
		var conflict platform.ErrVersionMismatch
		switch {
		case errors.As(err, &conflict):
			if row, ok := conflict.Find(key); !ok || (caller.mayUse(ownerOf(row)) && !isBarred(row)) {
				return false, nil
			}
		case err != nil:
			return false, err
		}
	}
	return true, nil
}
