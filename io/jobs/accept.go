package jobs

import (
	"context"
	"errors"
	"time"

	"siskincross/core/job"
	"siskincross/io/platform"
)

const (
	// maxGroupChanges bounds the callers' writes in one transaction.
	maxGroupChanges = 100
	// maxUnknownOutcomes bounds the attempts to commit a group whose outcomes stay unknown.
	maxUnknownOutcomes = 4
	// callerCommitPrefix begins the commit IDs of callers' writes.
	callerCommitPrefix = "caller-"
)

// callerWrite is a caller's write of one job row. Each row has a commit ID of its own, although rows share
// transactions.
type callerWrite struct {
	pool string
	job  job.Job
	// absentKeys holds the row keys that must not exist when a job is accepted.
	absentKeys []string
	// maybeApplied is true once the outcome of an attempt was unknown.
	maybeApplied bool
	// done receives the outcome. It is buffered, so that sending never blocks.
	done chan error
}

func (c *callerWrite) key() string {
	return jobKey(c.pool, c.job.ID)
}

func (c *callerWrite) preconditions() []platform.Precondition {
	list := []platform.Precondition{{Key: c.key(), Version: c.job.Version}}
	for _, key := range c.absentKeys {
		if key != c.key() {
			list = append(list, platform.Precondition{Key: key})
		}
	}
	return list
}

// hasPrecondition reports whether key is a precondition of this write.
func (c *callerWrite) hasPrecondition(key string) bool {
	for _, p := range c.preconditions() {
		if p.Key == key {
			return true
		}
	}
	return false
}

// commitWrite commits a write together with other writes and waits for the outcome. It returns
// platform.ErrConflict, platform.ErrUnavailable or platform.ErrOutcomeUnknown.
func (m *Manager) commitWrite(ctx context.Context, c *callerWrite) error {
	c.done = make(chan error, 1)
	c.job.CommitID = callerCommitPrefix + newUniqueID()
	select {
	case m.callerWrites <- c:
	case <-ctx.Done():
		return platform.ErrUnavailable{Service: "table", Reason: "the request ended before the write was sent"}
	}
	select {
	case err := <-c.done:
		return err
	case <-ctx.Done():
		return platform.ErrOutcomeUnknown{Service: "table", Reason: "the request ended before the outcome of the write was known"}
	}
}

// runCommitGroups commits callers' writes in groups until ctx is done.
func (m *Manager) runCommitGroups(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-m.callerWrites:
			m.commitGroup(ctx, m.collectGroup(ctx, first))
		}
	}
}

// collectGroup collects writes for CommitGroupDelay, or until the group is full.
func (m *Manager) collectGroup(ctx context.Context, first *callerWrite) []*callerWrite {
	group := []*callerWrite{first}
	timer := time.NewTimer(m.timing.CommitGroupDelay)
	defer timer.Stop()
	for len(group) < maxGroupChanges {
		select {
		case c := <-m.callerWrites:
			group = append(group, c)
		case <-timer.C:
			return group
		case <-ctx.Done():
			return group
		}
	}
	return group
}

// commitGroup commits a group of writes. Writes with conflicts are removed and the others are tried again.
func (m *Manager) commitGroup(ctx context.Context, group []*callerWrite) {
	unknownOutcomes := 0
	for len(group) > 0 {
		err := m.commitTransaction(ctx, groupTransaction(group))
		var conflict platform.ErrConflict
		var unavailable platform.ErrUnavailable
		switch {
		case err == nil:
			m.reportOutcome(group, nil)
			return
		case errors.As(err, &conflict):
			group = m.resolveConflicts(ctx, group, conflict)
		case errors.As(err, &unavailable):
			m.reportOutcome(group, err)
			return
		default:
			unknownOutcomes++
			group = m.resolveUnknown(ctx, group, err)
			if unknownOutcomes == maxUnknownOutcomes {
				m.reportOutcome(group, err)
				return
			}
		}
	}
}

func groupTransaction(group []*callerWrite) platform.Transaction {
	tx := platform.Transaction{ID: newUniqueID(), Purpose: "job-accept"}
	notices := make(map[string]noticeRow)
	for _, c := range group {
		tx.Preconditions = append(tx.Preconditions, c.preconditions()...)
		tx.Writes = append(tx.Writes, platform.Write{Key: c.key(), Value: encodeJSON(c.job)})
		notice := notices[c.pool]
		notice.Jobs = append(notice.Jobs, c.job.ID)
		notices[c.pool] = notice
	}
	for pool, notice := range notices {
		key := noticePrefix + pool + "/" + tx.ID
		tx.Writes = append(tx.Writes, platform.Write{Key: key, Value: encodeJSON(notice)})
	}
	return tx
}

// reportOutcome reports err to the callers of all writes in the group. A write that may have been applied by
// an earlier attempt is reported as unknown instead of failed.
func (m *Manager) reportOutcome(group []*callerWrite, err error) {
	for _, c := range group {
		if err != nil && c.maybeApplied {
			c.done <- platform.ErrOutcomeUnknown{Service: "table", Reason: err.Error()}
			continue
		}
		c.done <- err
		m.wakeHolder(c.pool)
	}
}

// resolveConflicts reads the rows of a group after a conflict. It reports the outcome of the writes that were
// applied earlier and of those that conflict, and returns the others.
func (m *Manager) resolveConflicts(ctx context.Context, group []*callerWrite, conflict platform.ErrConflict) []*callerWrite {
	rows, err := m.read(ctx, groupKeys(group))
	if err != nil {
		m.reportOutcome(group, err)
		return nil
	}
	var remaining []*callerWrite
	for _, c := range group {
		row := rows[c.key()]
		switch {
		case c.isAppliedIn(row):
			m.reportOutcome([]*callerWrite{c}, nil)
		case row.Version != c.job.Version:
			c.done <- platform.ErrConflict{Key: c.key(), Expected: c.job.Version, Actual: row.Version}
		case c.hasPrecondition(conflict.Key) && conflict.Key != c.key():
			c.done <- conflict
		default:
			remaining = append(remaining, c)
		}
	}
	return remaining
}

// resolveUnknown reads the rows of a group after an unknown outcome. It reports success for the writes that
// were applied and returns the others.
func (m *Manager) resolveUnknown(ctx context.Context, group []*callerWrite, cause error) []*callerWrite {
	for _, c := range group {
		c.maybeApplied = true
	}
	rows, err := m.read(ctx, groupKeys(group))
	if err != nil {
		m.reportOutcome(group, cause)
		return nil
	}
	var remaining []*callerWrite
	for _, c := range group {
		if c.isAppliedIn(rows[c.key()]) {
			m.reportOutcome([]*callerWrite{c}, nil)
			continue
		}
		remaining = append(remaining, c)
	}
	return remaining
}

func groupKeys(group []*callerWrite) []string {
	keys := make([]string, len(group))
	for i, c := range group {
		keys[i] = c.key()
	}
	return keys
}

// isAppliedIn reports whether the row holds this write.
func (c *callerWrite) isAppliedIn(row platform.Row) bool {
	if row.Version == 0 {
		return false
	}
	j, err := decodeJob(row)
	return err == nil && j.CommitID == c.job.CommitID
}
