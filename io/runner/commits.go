package runner

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"siskincross/core/event"
	"siskincross/core/work"
	"siskincross/io/platform"
)

const (
	// maxChangesPerCommit is the maximum number of jobs in one transaction, and maxEntriesPerCommit the maximum number
	// of entries for them. The store takes 100 entries, of which the fence and the rows that don't belong to jobs need
	// up to six.
	maxChangesPerCommit = 32
	maxEntriesPerCommit = 94
	// finalCommitDelay is how long the end of a job waits for other changes to share its commit.
	finalCommitDelay = 8 * time.Millisecond
	// progressCommitDelay is how long other progress waits. The ends of runs in it are not acknowledged meanwhile, which
	// delays no one.
	progressCommitDelay = 120 * time.Millisecond
	// maxRefusals is the number of times that the store refuses the progress of a job by itself until the job is given up.
	maxRefusals = 3
	// auxiliaryRetryPause is how long the count and the need are not stored after the store has refused them by themselves.
	auxiliaryRetryPause = 30 * time.Second
)

// startDueCommit starts a commit of the pending changes if one is due.
func (h *poolHolder) startDueCommit(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	changed, final := h.scheduler.HasPendingChanges()
	if !changed {
		h.oldestChangeAt = time.Time{}
	} else if h.oldestChangeAt.IsZero() {
		h.oldestChangeAt = now
	}
	if h.commitInFlight || now.Before(h.commitRetryAt) {
		return
	}
	delay := progressCommitDelay
	if final {
		delay = finalCommitDelay
	}
	count, countDue, need, needDue := h.dueAuxiliary(now)
	if changed && now.Sub(h.oldestChangeAt) < delay {
		changed = false
		time.AfterFunc(delay, h.wake)
	}
	if !changed && !countDue && !needDue {
		return
	}
	var roster map[work.Incarnation]bool
	if needDue {
		roster = h.rosterForNeed(need)
	}
	h.startCommit(poolCommit{purpose: "progress", changes: h.takeChanges(changed), rows: h.auxiliaryWrites(count, countDue, need, needDue), roster: roster})
}

// startRosterCommit starts a commit of the incarnations on which tasks may run from now on, with all pending changes:
// while workers keep joining and the store is slow, there might be no other commit for them. After a failure it has no
// changes, as one of them may have caused it. The caller holds the lock.
func (h *poolHolder) startRosterCommit(roster map[work.Incarnation]bool, now time.Time) {
	changed, _ := h.scheduler.HasPendingChanges()
	changed = changed && h.commitFailures == 0
	count, countDue, need, needDue := h.dueAuxiliary(now)
	if needDue {
		if later := h.rosterForNeed(need); later != nil {
			roster = later
		}
	}
	h.startCommit(poolCommit{purpose: "roster", changes: h.takeChanges(changed), rows: h.auxiliaryWrites(count, countDue, need, needDue), roster: roster})
}

// dueAuxiliary returns the count and the need, and whether they are to be stored. The caller holds the lock.
func (h *poolHolder) dueAuxiliary(now time.Time) (count pendingCountRow, countDue bool, need needRow, needDue bool) {
	if now.Before(h.auxiliaryRetryAt) {
		return count, false, need, false
	}
	count, countDue = h.duePendingCount(now)
	need, needDue = h.dueNeed(now)
	return count, countDue, need, needDue
}

// takeChanges begins the commit of the changes of jobs that fit into a transaction, if there are any. The caller holds
// the lock.
func (h *poolHolder) takeChanges(changed bool) []work.ProgressChange {
	if !changed {
		return nil
	}
	h.oldestChangeAt = time.Time{}
	return h.trimToTransaction(h.scheduler.BeginCommit(maxChangesPerCommit))
}

// poolCommit is a transaction of what a pool's holder has to store.
type poolCommit struct {
	purpose string
	changes []work.ProgressChange
	// rows are the writes of the count and the need.
	rows []platform.RowWrite
	// roster is the new roster, or nil if it stays the same.
	roster map[work.Incarnation]bool
}

// startCommit starts a commit. The caller holds the lock.
func (h *poolHolder) startCommit(c poolCommit) {
	writes := c.rows
	if c.roster != nil {
		writes = append(slices.Clip(writes), h.beginRosterWrite(c.roster))
	}
	preconditions := h.auxiliaryPreconditions(writes)
	h.commitInFlight = true
	h.group.Go(func() { h.commit(c, writes, preconditions) })
}

// auxiliaryPreconditions returns the preconditions of writes of a roster and a need. The caller holds the lock.
func (h *poolHolder) auxiliaryPreconditions(writes []platform.RowWrite) []platform.RowPrecondition {
	var preconditions []platform.RowPrecondition
	for _, w := range writes {
		switch w.RowKey {
		case reservedKey(h.pool, rosterKey):
			preconditions = append(preconditions, platform.RowPrecondition{RowKey: w.RowKey, Version: h.rosterVersion})
		case needRowKey(h.pool):
			preconditions = append(preconditions, platform.RowPrecondition{RowKey: w.RowKey, Version: h.needVersion})
		}
	}
	return preconditions
}

// updateAuxiliaryVersions records the versions of the roster and the need after a commit with them. A conflict can
// only come from an earlier write of ours whose answer was lost; the next write then expects the version of that one.
// The caller holds the lock.
func (h *poolHolder) updateAuxiliaryVersions(writes []platform.RowWrite, version uint64, err error) {
	for _, w := range writes {
		known := version
		var conflict platform.ErrVersionMismatch
		switch {
		case err == nil:
		case errors.As(err, &conflict):
			row, ok := conflict.Find(w.RowKey)
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
		case needRowKey(h.pool):
			h.needVersion = known
		}
	}
}

// auxiliaryWrites returns the writes of the count and the need, and records them as the last ones stored. The caller
// holds the lock.
func (h *poolHolder) auxiliaryWrites(count pendingCountRow, countDue bool, need needRow, needDue bool) []platform.RowWrite {
	var rows []platform.RowWrite
	if countDue {
		key := platform.RowKey{Table: countTable, Partition: h.pool, Key: pendingKey}
		rows = append(rows, platform.RowWrite{RowKey: key, Value: encodeRow(count)})
		h.lastCount = count.Pending
	}
	if needDue {
		rows = append(rows, platform.RowWrite{RowKey: needRowKey(h.pool), Value: encodeRow(need)})
		h.storedNeed, h.storedNeedKnown = need, true
		h.evacuation.markReported(need.Evacuated)
	}
	return rows
}

// commit stores the changes and the other writes of a commit in one transaction. If the store refuses it for good, it stores each
// change and the other writes by themselves, so that what it refuses holds up nothing else.
func (h *poolHolder) commit(c poolCommit, writes []platform.RowWrite, preconditions []platform.RowPrecondition) {
	tx, changes := h.progressTransaction(c.changes)
	tx.Purpose = c.purpose
	tx.Preconditions = append(tx.Preconditions, preconditions...)
	tx.Writes = append(tx.Writes, writes...)
	version, err := h.commitTransaction(tx)
	var invalid platform.ErrInvalid
	if errors.As(err, &invalid) && len(changes) > 0 {
		h.commitApart(c.purpose, changes)
		changes = nil
		tx = platform.RowTransaction{Preconditions: append(preconditions, h.fencePrecondition()), Writes: writes, Purpose: c.purpose}
		version, err = h.commitTransaction(tx)
	}
	h.applyCommitResult(changes, version, err)
	h.mu.Lock()
	h.commitInFlight = false
	if errors.As(err, &invalid) {
		h.auxiliaryRetryAt = time.Now().Add(auxiliaryRetryPause)
	}
	h.updateAuxiliaryVersions(writes, version, err)
	switch {
	case len(c.rows) == 0:
	case err == nil:
		h.evacuation.markStored(h.storedNeed.Evacuated, time.Now())
	default:
		h.lastCount, h.storedNeedKnown = nil, false
	}
	if c.roster != nil && err == nil {
		h.completeRosterWrite(c.roster)
		h.feed.expectCommit(version, time.Now())
	}
	h.mu.Unlock()
	h.updateCommitBackoff(err)
	h.wake()
}

// commitTransaction commits a transaction unless it writes nothing.
func (h *poolHolder) commitTransaction(tx platform.RowTransaction) (uint64, error) {
	if len(tx.Writes) == 0 {
		return 0, nil
	}
	return h.commitFenced(h.ctx, tx)
}

// commitFenced commits a transaction that expects the fence. If it succeeds, the duty was this holder's after the call began.
func (h *poolHolder) commitFenced(ctx context.Context, tx platform.RowTransaction) (uint64, error) {
	started := time.Now()
	version, err := h.manager.Rows.Commit(ctx, tx)
	if err == nil {
		h.mu.Lock()
		h.committedAt = laterTime(h.committedAt, started)
		h.mu.Unlock()
	}
	return version, err
}

// commitApart stores changes one by one, until the store fails in another way. A job whose change the store refuses each time is
// given up.
func (h *poolHolder) commitApart(purpose string, changes []work.ProgressChange) {
	for i, c := range changes {
		tx, alone := h.progressTransaction([]work.ProgressChange{c})
		tx.Purpose = purpose
		version, err := h.commitTransaction(tx)
		h.applyCommitResult(alone, version, err)
		var invalid platform.ErrInvalid
		var conflict platform.ErrVersionMismatch
		switch {
		case errors.As(err, &invalid):
			h.countRefusal(c.ID, err)
		case err != nil && (h.endIfFenced(err) || !errors.As(err, &conflict)):
			h.abortCommit(changes[i+1:])
			return
		}
	}
}

// countRefusal counts that the store has refused the change of a job, and gives the job up after maxRefusals. The refused change
// is not being committed any more.
func (h *poolHolder) countRefusal(id work.JobID, err error) {
	h.mu.Lock()
	h.refusals[id]++
	count := h.refusals[id]
	if count == maxRefusals {
		h.scheduler.GiveUpJob(id)
	}
	h.mu.Unlock()
	h.manager.record(event.Event{Number: event.ProgressRefused, Pool: h.pool, Job: string(id), Detail: fmt.Sprintf("refusal %d of %d: %v", count, maxRefusals, err)})
}

// progressTransaction returns the transaction for job changes: the state of each job, the progress of those that are
// not final, and the removal of the other rows of those that are. It returns the changes that are part of it, and hands the others
// back to the scheduler: those beyond the size of a transaction, and those that don't fit into a row, whose jobs are given up.
func (h *poolHolder) progressTransaction(changes []work.ProgressChange) (platform.RowTransaction, []work.ProgressChange) {
	tx := platform.RowTransaction{Preconditions: []platform.RowPrecondition{h.fencePrecondition()}}
	var included []work.ProgressChange
	size := 0
	for i, c := range changes {
		details, err := c.Progress.Encode()
		if err != nil || len(details) > work.MaxProgressBytes {
			h.giveUpJob(c, len(details), err)
			continue
		}
		if size += len(details); size > maxBytesPerCommit && len(included) > 0 {
			h.abortCommit(changes[i:])
			break
		}
		included = append(included, c)
		key := jobKey(h.pool, c.ID)
		tx.Preconditions = append(tx.Preconditions, platform.RowPrecondition{RowKey: key, Version: c.Version})
		tx.Writes = append(tx.Writes, platform.RowWrite{RowKey: key, Value: encodedState(c.Progress.State, c.Organisation)})
		switch {
		case !c.Progress.State.IsFinal():
			tx.Writes = append(tx.Writes, platform.RowWrite{RowKey: progressKey(h.pool, c.ID), Value: details})
			h.markProgressRow(c.ID)
		case h.hasProgressRow(c.ID):
			tx.Deletes = append(tx.Deletes, specKey(h.pool, c.ID), progressKey(h.pool, c.ID))
		default:
			tx.Deletes = append(tx.Deletes, specKey(h.pool, c.ID))
		}
	}
	return tx, included
}

// giveUpJob makes a job fail whose progress can't be stored.
func (h *poolHolder) giveUpJob(c work.ProgressChange, size int, err error) {
	h.abortCommit([]work.ProgressChange{c})
	h.mu.Lock()
	h.scheduler.GiveUpJob(c.ID)
	h.mu.Unlock()
	h.manager.record(event.Event{Number: event.ProgressRefused, Pool: h.pool, Job: string(c.ID), Detail: fmt.Sprintf(
		"its progress takes %d bytes, at most %d can be stored (%v); the job is given up", size, work.MaxProgressBytes, err)})
}

// abortCommit hands changes back to the scheduler.
func (h *poolHolder) abortCommit(changes []work.ProgressChange) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.scheduler.AbortCommit(changes)
}

// trimToTransaction returns the first changes that fit into one transaction, and hands the others back to the
// scheduler. The caller holds the lock.
func (h *poolHolder) trimToTransaction(changes []work.ProgressChange) []work.ProgressChange {
	entries := 0
	for i, c := range changes {
		entries += 3 // a precondition, the state, and the progress or the removal of the specification
		if c.Progress.State.IsFinal() && h.withProgressRow[c.ID] {
			entries++
		}
		if entries > maxEntriesPerCommit {
			h.scheduler.AbortCommit(changes[i:])
			return changes[:i]
		}
	}
	return changes
}

// markProgressRow records that a job may have a progress row from now on.
func (h *poolHolder) markProgressRow(id work.JobID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.withProgressRow[id] = true
}

// hasProgressRow reports whether a job may have a progress row.
func (h *poolHolder) hasProgressRow(id work.JobID) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.withProgressRow[id]
}

// applyCommitResult gives the scheduler the result of a commit.
func (h *poolHolder) applyCommitResult(changes []work.ProgressChange, version uint64, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var conflict platform.ErrVersionMismatch
	switch {
	case err == nil:
		h.minReadVersion = max(h.minReadVersion, version)
		h.scheduler.CompleteCommit(changes, version)
		for _, c := range changes {
			delete(h.refusals, c.ID)
			if c.Progress.State.IsFinal() {
				delete(h.withProgressRow, c.ID)
				h.feed.expectCommit(version, time.Now())
				h.recordEnd(c)
			}
		}
	case errors.As(err, &conflict):
		h.resolveConflicts(changes, conflict)
	default:
		h.scheduler.AbortCommit(changes)
	}
	h.signalEnds()
}

// recordEnd records the final state of a job.
func (h *poolHolder) recordEnd(c work.ProgressChange) {
	e := event.Event{Number: event.WorkEnded, Pool: h.pool, Job: string(c.ID), Detail: c.Progress.State.String()}
	if c.Progress.State == work.StateCancelled {
		e.Number, e.Detail = event.WorkCancelled, ""
	}
	h.manager.record(e)
}

// resolveConflicts gives the scheduler the rows that other writers have changed. The caller holds the lock.
func (h *poolHolder) resolveConflicts(changes []work.ProgressChange, err platform.ErrVersionMismatch) {
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
