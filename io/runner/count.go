package runner

import (
	"context"
	"errors"
	"maps"
	"time"

	"siskincross/core/event"
	"siskincross/core/work"
	"siskincross/io/platform"
)

const (
	// countInterval is the least time between two writes of a pool's count of waiting jobs, and the longest while it has jobs: half
	// of the age that the count may have.
	countInterval = time.Second
	// maxCountAge is how old a stored count may be, by the store's clock: the platform's bound.
	maxCountAge = 2 * time.Second
	// maxQueueLag is how long a holder may have heard nothing about new jobs and still count by its board: the store answers at
	// least every longPollWait.
	maxQueueLag = longPollWait + 500*time.Millisecond
)

// pendingCountRow is how many jobs of a pool's queues wait, by the queue's key.
type pendingCountRow struct {
	// AtMillis is when that was so, by the store's clock.
	AtMillis int64          `json:"at-millis"`
	Waiting  map[string]int `json:"waiting"`
}

// duePendingCount returns the count of waiting jobs if it has to be written. The caller holds the lock.
func (h *poolHolder) duePendingCount(now time.Time) (pendingCountRow, bool) {
	if now.Sub(h.lastCountAt) < countInterval || !h.queueIsCurrent(now) {
		return pendingCountRow{}, false
	}
	waiting := h.scheduler.PendingJobCounts()
	if h.lastCount != nil && maps.Equal(waiting, h.lastCount) && h.scheduler.HasNoJobs() {
		return pendingCountRow{}, false
	}
	storeTime, ok := h.manager.Rows.EstimateClock()
	if !ok {
		return pendingCountRow{}, false
	}
	h.lastCountAt = now
	return pendingCountRow{AtMillis: storeTime.Milliseconds(), Waiting: waiting}, true
}

// queueIsCurrent reports whether the board has heard of new jobs lately. The caller holds the lock.
func (h *poolHolder) queueIsCurrent(now time.Time) bool {
	return h.loaded && !h.feed.isOverdue(now) && now.Sub(h.feed.lastAnswer) < maxQueueLag
}

// PendingJobs returns how many jobs of a queue have no task started, as of two seconds ago or later.
func (m *Manager) PendingJobs(ctx context.Context, q work.Queue) (int, error) {
	if h := m.poolHolder(q.Pool); h != nil {
		h.mu.Lock()
		known, waiting := h.queueIsCurrent(time.Now()), h.scheduler.PendingJobCounts()
		h.mu.Unlock()
		if known {
			return waiting[q.Key()], nil
		}
	}
	if m.storeHealth.isUnavailable(q.Pool) {
		return 0, errStoreUnavailable()
	}
	row, ok, err := m.Rows.ReadRow(ctx, pendingCountKey(q.Pool), "pending")
	if err != nil {
		return 0, err
	}
	if ok {
		var count pendingCountRow
		if err := decodeRow(row, &count); err != nil {
			m.record(event.Event{Number: event.WorkRowUnreadable, Pool: q.Pool, Detail: err.Error()})
		} else if storeTime, ok := m.Rows.EstimateClock(); ok && storeTime-time.Duration(count.AtMillis)*time.Millisecond < maxCountAge {
			return count.Waiting[q.Key()], nil
		}
	}
	return m.countPending(ctx, q, row.Version)
}

func pendingCountKey(pool string) platform.RowKey {
	return platform.RowKey{Table: countTable, Partition: pool, Key: pendingKey}
}

// countPending counts by the rows of the jobs themselves. One call at a time reads those of a pool, and others wait for it. The count
// is stored in place of the one that is too old, so that other entry hosts need not read all rows as well.
func (m *Manager) countPending(ctx context.Context, q work.Queue, tooOld uint64) (int, error) {
	found, err, _ := m.countReads.Do(q.Pool, func() (any, error) {
		at, known := m.Rows.EstimateClock()
		waiting, err := m.readPendingCounts(ctx, q.Pool)
		if err == nil && known {
			m.group.Go(func() {
				m.storePendingCount(q.Pool, tooOld, pendingCountRow{AtMillis: at.Milliseconds(), Waiting: waiting})
			})
		}
		return waiting, err
	})
	if err != nil {
		return 0, err
	}
	return found.(map[string]int)[q.Key()], nil
}

// storePendingCount stores a count unless somebody else has stored a newer one.
func (m *Manager) storePendingCount(pool string, tooOld uint64, count pendingCountRow) {
	key := pendingCountKey(pool)
	_, err := m.Rows.Commit(m.ctx, platform.RowTransaction{
		Preconditions: []platform.RowPrecondition{{RowKey: key, Version: tooOld}},
		Writes:        []platform.RowWrite{{RowKey: key, Value: encodeRow(count)}}, Purpose: "count",
	})
	var overtaken platform.ErrVersionMismatch
	if err != nil && !errors.As(err, &overtaken) {
		m.record(event.Event{Number: event.WorkCommitFailed, Pool: pool, Detail: "count of waiting jobs: " + err.Error()})
	}
}

// readPendingCounts returns how many jobs of a pool wait, by the queue's key.
func (m *Manager) readPendingCounts(ctx context.Context, pool string) (map[string]int, error) {
	specs, _, err := m.Rows.ReadAll(ctx, platform.RangeQuery{Table: queueTable(pool), Partition: pool, From: firstJobKey, Purpose: "count"})
	if err != nil {
		return nil, err
	}
	progress, _, err := m.Rows.ReadAll(ctx, platform.RangeQuery{Table: progressTable, Partition: pool, Purpose: "count"})
	if err != nil {
		return nil, err
	}
	begun := make(map[string]bool, len(progress))
	for _, row := range progress {
		begun[row.Key] = true
	}
	waiting := make(map[string]int)
	for _, row := range specs {
		job, err := decodeJob(row)
		if err != nil {
			m.record(event.Event{Number: event.WorkRowUnreadable, Pool: pool, Job: row.Key, Detail: err.Error()})
			continue
		}
		if !begun[row.Key] && job.Repeat.Count == 0 {
			waiting[job.Queue]++
		}
	}
	return waiting, nil
}
