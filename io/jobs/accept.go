package jobs

import (
	"context"
	"errors"
	"time"

	"siskincross/core/job"
	"siskincross/io/platform"
)

const (
	// groupChanges bounds the callers' writes of one transaction.
	groupChanges = 100
	// unknownTries bounds the tries of writes whose outcome stays unknown.
	unknownTries = 4
	// callerMark begins the commit IDs of callers' writes.
	callerMark = "caller-"
)

// change is one caller's write of a job's row. The row has a commit ID of its own.
type change struct {
	pool string
	job  job.Job
	// absent holds the keys that must not exist, for an accepted job.
	absent []string
	// maybe is true once the outcome of a try was unknown.
	maybe bool
	// done receives the outcome; it has room for it.
	done chan error
}

func (c *change) key() string {
	return jobKey(c.pool, c.job.ID)
}

func (c *change) preconditions() []platform.Precondition {
	list := []platform.Precondition{{Key: c.key(), Version: c.job.Version}}
	for _, key := range c.absent {
		if key != c.key() {
			list = append(list, platform.Precondition{Key: key})
		}
	}
	return list
}

// owns reports whether a conflict on key is about this change.
func (c *change) owns(key string) bool {
	for _, p := range c.preconditions() {
		if p.Key == key {
			return true
		}
	}
	return false
}

// write commits one change together with others and waits for the outcome. It
// returns platform.ErrConflict, ErrUnavailable or ErrOutcomeUnknown.
func (m *Manager) write(ctx context.Context, c *change) error {
	c.done = make(chan error, 1)
	c.job.CommitID = callerMark + unique()
	select {
	case m.accepted <- c:
	case <-ctx.Done():
		return platform.ErrUnavailable{Service: "table", Reason: "the caller's time ran out before the write was sent"}
	}
	select {
	case err := <-c.done:
		return err
	case <-ctx.Done():
		return platform.ErrOutcomeUnknown{Service: "table", Reason: "the caller's time ran out"}
	}
}

// runAccepts groups callers' writes until ctx is done.
func (m *Manager) runAccepts(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-m.accepted:
			m.commitChanges(ctx, m.gather(ctx, first))
		}
	}
}

// gather waits a little for more writes.
func (m *Manager) gather(ctx context.Context, first *change) []*change {
	group := []*change{first}
	timer := time.NewTimer(m.periods.CommitGroupDelay)
	defer timer.Stop()
	for len(group) < groupChanges {
		select {
		case c := <-m.accepted:
			group = append(group, c)
		case <-timer.C:
			return group
		case <-ctx.Done():
			return group
		}
	}
	return group
}

// commitChanges commits a group. Changes that conflict leave it and the others are tried again.
func (m *Manager) commitChanges(ctx context.Context, group []*change) {
	unknown := 0
	for len(group) > 0 {
		err := m.commitOnce(ctx, groupTransaction(group))
		var conflict platform.ErrConflict
		var unavailable platform.ErrUnavailable
		switch {
		case err == nil:
			m.finish(group, nil)
			return
		case errors.As(err, &conflict):
			group = m.dropConflicts(ctx, group, conflict)
		case errors.As(err, &unavailable):
			m.finish(group, err)
			return
		default:
			unknown++
			group = m.dropApplied(ctx, group, err)
			if unknown == unknownTries {
				m.finish(group, err)
				return
			}
		}
	}
}

func groupTransaction(group []*change) platform.Transaction {
	tx := platform.Transaction{ID: unique(), Purpose: "job-accept"}
	notices := make(map[string]noticeRow)
	for _, c := range group {
		tx.Preconditions = append(tx.Preconditions, c.preconditions()...)
		tx.Writes = append(tx.Writes, platform.Write{Key: c.key(), Value: encode(c.job)})
		notice := notices[c.pool]
		notice.Jobs = append(notice.Jobs, c.job.ID)
		notices[c.pool] = notice
	}
	for pool, notice := range notices {
		key := noticePrefix + pool + "/" + tx.ID
		tx.Writes = append(tx.Writes, platform.Write{Key: key, Value: encode(notice)})
	}
	return tx
}

// finish tells the outcome. An unavailable service does not undo an earlier try whose outcome is unknown.
func (m *Manager) finish(group []*change, err error) {
	for _, c := range group {
		if err != nil && c.maybe {
			c.done <- platform.ErrOutcomeUnknown{Service: "table", Reason: err.Error()}
			continue
		}
		c.done <- err
		m.wake(c.pool)
	}
}

// dropConflicts reads the group's rows and tells the changes that can't be
// made any more, all at once. The changes that took effect before are told so.
func (m *Manager) dropConflicts(ctx context.Context, group []*change, conflict platform.ErrConflict) []*change {
	rows, err := m.read(ctx, groupKeys(group))
	if err != nil {
		m.finish(group, err)
		return nil
	}
	var left []*change
	for _, c := range group {
		row := rows[c.key()]
		switch {
		case c.appliedIn(row):
			m.finish([]*change{c}, nil)
		case row.Version != c.job.Version:
			c.done <- platform.ErrConflict{Key: c.key(), Expected: c.job.Version, Actual: row.Version}
		case c.owns(conflict.Key) && conflict.Key != c.key():
			c.done <- conflict
		default:
			left = append(left, c)
		}
	}
	return left
}

// dropApplied reads the group's rows back after an unknown outcome.
func (m *Manager) dropApplied(ctx context.Context, group []*change, cause error) []*change {
	for _, c := range group {
		c.maybe = true
	}
	rows, err := m.read(ctx, groupKeys(group))
	if err != nil {
		m.finish(group, cause)
		return nil
	}
	var left []*change
	for _, c := range group {
		if c.appliedIn(rows[c.key()]) {
			m.finish([]*change{c}, nil)
			continue
		}
		left = append(left, c)
	}
	return left
}

func groupKeys(group []*change) []string {
	keys := make([]string, len(group))
	for i, c := range group {
		keys[i] = c.key()
	}
	return keys
}

// appliedIn reports whether the row holds this change.
func (c *change) appliedIn(row platform.Row) bool {
	if row.Version == 0 {
		return false
	}
	j, err := decodeJob(row)
	return err == nil && j.CommitID == c.job.CommitID
}
