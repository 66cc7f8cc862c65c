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
func (h *holder) store(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	changed, final := h.board.HasChanges()
	if !changed {
		h.changedAt = time.Time{}
	} else if h.changedAt.IsZero() {
		h.changedAt = now
	}
	if h.committing || now.Before(h.retryAt) {
		return
	}
	delay := changeDelay
	if final {
		delay = finalDelay
	}
	count, countDue := h.dueCount(now)
	need, needDue := h.dueNeed(now)
	if changed && now.Sub(h.changedAt) < delay {
		changed = false
		time.AfterFunc(delay, h.wake)
	}
	if !changed && !countDue && !needDue {
		return
	}
	var changes []work.Change
	if changed {
		changes = h.fitting(h.board.Changes(changesPerCommit))
		h.changedAt = time.Time{}
	}
	var roster map[work.Life]bool
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
func (h *holder) sideExpectations(writes []platform.RowWrite) []platform.Expectation {
	var expected []platform.Expectation
	for _, w := range writes {
		switch w.RowKey {
		case markKey(h.pool, rosterKey):
			expected = append(expected, platform.Expectation{RowKey: w.RowKey, Version: h.rosterVersion})
		case needKeyOf(h.pool):
			expected = append(expected, platform.Expectation{RowKey: w.RowKey, Version: h.needVersion})
		}
	}
	return expected
}

// sideCommitted notes the versions of a roster and a need after a commit with them. One that was overtaken by an earlier write of ours, whose
// answer was lost, is tried again on top of that. The caller holds the lock.
func (h *holder) sideCommitted(writes []platform.RowWrite, version uint64, err error) {
	for _, w := range writes {
		known := version
		var overtaken platform.ErrOvertaken
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
		case markKey(h.pool, rosterKey):
			h.rosterVersion = known
		case needKeyOf(h.pool):
			h.needVersion = known
		}
	}
}

// sideRows returns the rows that are written beside jobs' progress.
func (h *holder) sideRows(count countRow, countDue bool, need needRow, needDue bool) []platform.RowWrite {
	var rows []platform.RowWrite
	if countDue {
		key := platform.RowKey{Table: countTable, Part: h.pool, Key: pendingKey}
		rows = append(rows, platform.RowWrite{RowKey: key, Value: encode(count)})
		h.counted = count.Waiting
	}
	if needDue {
		rows = append(rows, platform.RowWrite{RowKey: needKeyOf(h.pool), Value: encode(need)})
		h.need, h.needKnown = need, true
		h.clearing.report(need.Cleared)
	}
	return rows
}

// commit stores changes and other rows, that of a roster among them if there is one, in one transaction.
func (h *holder) commit(changes []work.Change, side []platform.RowWrite, expected []platform.Expectation, roster map[work.Life]bool) {
	tx := h.transaction(changes)
	tx.Expected = append(tx.Expected, expected...)
	tx.Writes = append(tx.Writes, side...)
	version, err := h.m.Rows.Commit(h.ctx, tx)
	h.committed(changes, version, err)
	h.mu.Lock()
	h.sideCommitted(side, version, err)
	switch {
	case len(side) == 0:
	case err == nil:
		h.clearing.stored(h.need.Cleared, time.Now())
	default:
		h.counted, h.needKnown = nil, false
	}
	if roster != nil && err == nil {
		h.rosterStored(roster)
	}
	h.mu.Unlock()
	h.settle(err)
	h.wake()
}

// transaction returns the commit of changes of jobs: the states of all, and what is done of those that are not final.
func (h *holder) transaction(changes []work.Change) platform.Commit {
	tx := platform.Commit{Expected: []platform.Expectation{h.fence()}, Purpose: "progress"}
	for _, c := range changes {
		details, err := c.Progress.Encode()
		if err != nil {
			h.m.record(event.Event{Number: event.WorkCommitFailed, Pool: h.pool, Job: string(c.ID), Detail: err.Error()})
			continue
		}
		key := jobKey(h.pool, c.ID)
		tx.Expected = append(tx.Expected, platform.Expectation{RowKey: key, Version: c.Version})
		tx.Writes = append(tx.Writes, platform.RowWrite{RowKey: key, Value: stateValue(c.Progress.State)})
		switch {
		case !c.Progress.State.Final():
			tx.Writes = append(tx.Writes, platform.RowWrite{RowKey: progressKey(h.pool, c.ID), Value: details})
			h.noteDetails(c.ID)
		case h.hasDetails(c.ID):
			tx.Removes = append(tx.Removes, specKey(h.pool, c.ID), progressKey(h.pool, c.ID))
		default:
			tx.Removes = append(tx.Removes, specKey(h.pool, c.ID))
		}
	}
	return tx
}

// fitting returns the first changes that fit into one transaction; the others wait. The caller holds the lock.
func (h *holder) fitting(changes []work.Change) []work.Change {
	entries := 0
	for i, c := range changes {
		entries += 3 // an expectation, the state, and the progress or the removal of the specification
		if c.Progress.State.Final() && h.detailed[c.ID] {
			entries++
		}
		if entries > entriesPerCommit {
			h.board.NotCommitted(changes[i:])
			return changes[:i]
		}
	}
	return changes
}

// noteDetails notes that a job may have a row of its progress from now on.
func (h *holder) noteDetails(id work.ID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.detailed[id] = true
}

func (h *holder) hasDetails(id work.ID) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.detailed[id]
}

// committed tells the board how a commit ended.
func (h *holder) committed(changes []work.Change, version uint64, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.committing = false
	var overtaken platform.ErrOvertaken
	switch {
	case err == nil:
		h.floor = max(h.floor, version)
		h.board.Committed(changes, version)
		for _, c := range changes {
			if c.Progress.State.Final() {
				delete(h.detailed, c.ID)
				h.feed.committed(version, time.Now())
				h.m.record(event.Event{
					Number: event.WorkEnded, Pool: h.pool, Job: string(c.ID), Detail: c.Progress.State.String(),
				})
			}
		}
	case errors.As(err, &overtaken):
		h.overtaken(changes, overtaken)
	default:
		h.board.NotCommitted(changes)
	}
}

// overtaken takes in the rows that other writers changed.
func (h *holder) overtaken(changes []work.Change, err platform.ErrOvertaken) {
	h.board.NotCommitted(changes)
	for _, c := range changes {
		row, ok := err.Find(jobKey(h.pool, c.ID))
		if !ok || row.Version == c.Version {
			continue
		}
		p, err := work.DecodeProgress(c.ID, row.Value)
		if err != nil {
			h.m.record(event.Event{Number: event.WorkRowUnreadable, Pool: h.pool, Job: string(c.ID), Detail: err.Error()})
			continue
		}
		h.board.Overtaken(c.ID, p, row.Version)
	}
}
