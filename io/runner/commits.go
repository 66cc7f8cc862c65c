package runner

import (
	"errors"
	"time"

	"siskincross/core/event"
	"siskincross/core/work"
	"siskincross/io/platform"
)

const (
	// changesPerCommit is the most jobs in a transaction, entriesPerCommit the most entries for them: the store takes 100, of which the
	// fence and rows that are no jobs' need up to six.
	changesPerCommit = 32
	entriesPerCommit = 94
	// finalDelay is how long a job's end waits for others to be stored with.
	finalDelay = 8 * time.Millisecond
	// changeDelay is how long other progress waits. Its ends are not acknowledged meanwhile, which delays nobody.
	changeDelay = 120 * time.Millisecond
)

// store begins a commit of what changed, if one is due.
func (h *poolHolder) store(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	changed, final := h.scheduler.HasPendingChanges()
	if !changed {
		h.changedAt = time.Time{}
	} else if h.changedAt.IsZero() {
		h.changedAt = now
	}
	if h.committing || now.Before(h.commitRetryAt) {
		return
	}
	delay := changeDelay
	if final {
		delay = finalDelay
	}
	count, countDue := h.duePendingCount(now)
	need, needDue := h.dueNeed(now)
	if changed && now.Sub(h.changedAt) < delay {
		changed = false
		time.AfterFunc(delay, h.wake)
	}
	if !changed && !countDue && !needDue {
		return
	}
	var changes []work.ProgressChange
	if changed {
		changes = h.fitting(h.scheduler.BeginCommit(changesPerCommit))
		h.changedAt = time.Time{}
	}
	var roster map[work.Incarnation]bool
	if needDue {
		roster = h.dueRoster(need)
	}
	side := h.sideRows(count, countDue, need, needDue)
	if roster != nil {
		side = append(side, h.replaceRoster(roster))
	}
	expected := h.sideExpectations(side)
	h.committing = true
	h.group.Go(func() { h.commit(changes, side, expected, roster) })
}

// sideExpectations returns what the writes of a roster and of a need expect. The caller holds the lock.
func (h *poolHolder) sideExpectations(writes []platform.RowWrite) []platform.RowPrecondition {
	var expected []platform.RowPrecondition
	for _, w := range writes {
		switch w.RowKey {
		case reservedKey(h.pool, rosterKey):
			expected = append(expected, platform.RowPrecondition{RowKey: w.RowKey, Version: h.rosterVersion})
		case needKeyOf(h.pool):
			expected = append(expected, platform.RowPrecondition{RowKey: w.RowKey, Version: h.needVersion})
		}
	}
	return expected
}

// sideCommitted notes the versions of a roster and a need after a commit with them. One that was overtaken by an earlier write of ours, whose
// answer was lost, is tried again on top of that. The caller holds the lock.
func (h *poolHolder) sideCommitted(writes []platform.RowWrite, version uint64, err error) {
	for _, w := range writes {
		known := version
		var overtaken platform.ErrVersionMismatch
		switch {
		case err == nil:
		case errors.As(err, &overtaken):
			row, ok := overtaken.Find(w.RowKey)
			if !ok {
				continue
			}
			known = row.Version
		default:
			continue
		}
		switch w.RowKey {
		case reservedKey(h.pool, rosterKey):
			h.rosterVersion = known
		case needKeyOf(h.pool):
			h.needVersion = known
		}
	}
}

// sideRows returns the rows that are written beside jobs' progress.
func (h *poolHolder) sideRows(count pendingCountRow, countDue bool, need needRow, needDue bool) []platform.RowWrite {
	var rows []platform.RowWrite
	if countDue {
		key := platform.RowKey{Table: countTable, Partition: h.pool, Key: pendingKey}
		rows = append(rows, platform.RowWrite{RowKey: key, Value: encodeRow(count)})
		h.lastCount = count.Waiting
	}
	if needDue {
		rows = append(rows, platform.RowWrite{RowKey: needKeyOf(h.pool), Value: encodeRow(need)})
		h.need, h.needKnown = need, true
		h.clearing.report(need.Cleared)
	}
	return rows
}

// commit stores changes and other rows, that of a roster among them if there is one, in one transaction.
func (h *poolHolder) commit(changes []work.ProgressChange, side []platform.RowWrite, expected []platform.RowPrecondition, roster map[work.Incarnation]bool) {
	tx := h.transaction(changes)
	tx.Preconditions = append(tx.Preconditions, expected...)
	tx.Writes = append(tx.Writes, side...)
	version, err := h.manager.Rows.Commit(h.ctx, tx)
	h.committed(changes, version, err)
	h.mu.Lock()
	h.sideCommitted(side, version, err)
	switch {
	case len(side) == 0:
	case err == nil:
		h.clearing.stored(h.need.Cleared, time.Now())
	default:
		h.lastCount, h.needKnown = nil, false
	}
	if roster != nil && err == nil {
		h.rosterStored(roster)
	}
	h.mu.Unlock()
	h.settle(err)
	h.wake()
}

// transaction returns the commit of changes of jobs: the states of all, and what is done of those that are not final.
func (h *poolHolder) transaction(changes []work.ProgressChange) platform.RowTransaction {
	tx := platform.RowTransaction{Preconditions: []platform.RowPrecondition{h.fence()}, Purpose: "progress"}
	for _, c := range changes {
		details, err := c.Progress.Encode()
		if err != nil {
			h.manager.record(event.Event{Number: event.WorkCommitFailed, Pool: h.pool, Job: string(c.ID), Detail: err.Error()})
			continue
		}
		key := jobKey(h.pool, c.ID)
		tx.Preconditions = append(tx.Preconditions, platform.RowPrecondition{RowKey: key, Version: c.Version})
		tx.Writes = append(tx.Writes, platform.RowWrite{RowKey: key, Value: stateValue(c.Progress.State)})
		switch {
		case !c.Progress.State.Final():
			tx.Writes = append(tx.Writes, platform.RowWrite{RowKey: progressKey(h.pool, c.ID), Value: details})
			h.noteDetails(c.ID)
		case h.hasDetails(c.ID):
			tx.Deletes = append(tx.Deletes, specKey(h.pool, c.ID), progressKey(h.pool, c.ID))
		default:
			tx.Deletes = append(tx.Deletes, specKey(h.pool, c.ID))
		}
	}
	return tx
}

// fitting returns the first changes that fit into one transaction; the others wait. The caller holds the lock.
func (h *poolHolder) fitting(changes []work.ProgressChange) []work.ProgressChange {
	entries := 0
	for i, c := range changes {
		entries += 3 // an expectation, the state, and the progress or the removal of the specification
		if c.Progress.State.Final() && h.withProgressRow[c.ID] {
			entries++
		}
		if entries > entriesPerCommit {
			h.scheduler.AbortCommit(changes[i:])
			return changes[:i]
		}
	}
	return changes
}

// noteDetails notes that a job may have a row of its progress from now on.
func (h *poolHolder) noteDetails(id work.JobID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.withProgressRow[id] = true
}

func (h *poolHolder) hasDetails(id work.JobID) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.withProgressRow[id]
}

// committed tells the board how a commit ended.
func (h *poolHolder) committed(changes []work.ProgressChange, version uint64, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.committing = false
	var overtaken platform.ErrVersionMismatch
	switch {
	case err == nil:
		h.floor = max(h.floor, version)
		h.scheduler.CompleteCommit(changes, version)
		for _, c := range changes {
			if c.Progress.State.Final() {
				delete(h.withProgressRow, c.ID)
				h.feed.expectCommit(version, time.Now())
				h.manager.record(event.Event{
					Number: event.WorkEnded, Pool: h.pool, Job: string(c.ID), Detail: c.Progress.State.String(),
				})
			}
		}
	case errors.As(err, &overtaken):
		h.overtaken(changes, overtaken)
	default:
		h.scheduler.AbortCommit(changes)
	}
}

// overtaken takes in the rows that other writers changed.
func (h *poolHolder) overtaken(changes []work.ProgressChange, err platform.ErrVersionMismatch) {
	h.scheduler.AbortCommit(changes)
	for _, c := range changes {
		row, ok := err.Find(jobKey(h.pool, c.ID))
		if !ok || row.Version == c.Version {
			continue
		}
		p, err := work.DecodeProgress(c.ID, row.Value)
		if err != nil {
			h.manager.record(event.Event{Number: event.WorkRowUnreadable, Pool: h.pool, Job: string(c.ID), Detail: err.Error()})
			continue
		}
		h.scheduler.ResolveConflict(c.ID, p, row.Version)
	}
}
