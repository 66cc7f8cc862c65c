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
	// countEvery is the least time between two writes of a pool's count of waiting jobs, and the longest while it has jobs: half
	// of the age that the count may have.
	countEvery = time.Second
	// countAge is how old a stored count may be, by the store's clock: the platform's bound.
	countAge = 2 * time.Second
	// boardAge is how long a holder may have heard nothing about new jobs and still count by its board: the store answers at
	// least every followWait.
	boardAge = followWait + 500*time.Millisecond
)

// countRow is how many jobs of a pool's queues wait, by the queue's key.
type countRow struct {
	// AtMillis is when that was so, by the store's clock.
	AtMillis int64          `json:"at-millis"`
	Waiting  map[string]int `json:"waiting"`
}

// dueCount returns the count of waiting jobs if it has to be written. The caller holds the lock.
func (h *holder) dueCount(now time.Time) (countRow, bool) {
	if now.Sub(h.countedAt) < countEvery || !h.heard(now) {
		return countRow{}, false
	}
	waiting := h.board.Pending()
	if h.counted != nil && maps.Equal(waiting, h.counted) && h.board.Empty() {
		return countRow{}, false
	}
	storeTime, ok := h.m.Rows.Now()
	if !ok {
		return countRow{}, false
	}
	h.countedAt = now
	return countRow{AtMillis: storeTime.Milliseconds(), Waiting: waiting}, true
}

// heard reports whether the board has heard of new jobs lately. The caller holds the lock.
func (h *holder) heard(now time.Time) bool {
	return h.ready && !h.feed.silent(now) && now.Sub(h.feed.heardAt) < boardAge
}

// Pending returns how many jobs of a queue have no task started, as of two seconds ago or later.
func (m *Manager) Pending(ctx context.Context, q work.Queue) (int, error) {
	if h := m.holder(q.Pool); h != nil {
		h.mu.Lock()
		known, waiting := h.heard(time.Now()), h.board.Pending()
		h.mu.Unlock()
		if known {
			return waiting[q.Key()], nil
		}
	}
	if m.health.away(q.Pool) {
		return 0, errStoreAway()
	}
	row, ok, err := m.Rows.ReadOne(ctx, countKey(q.Pool), "pending")
	if err != nil {
		return 0, err
	}
	if ok {
		var count countRow
		if err := decode(row, &count); err != nil {
			m.record(event.Event{Number: event.WorkRowUnreadable, Pool: q.Pool, Detail: err.Error()})
		} else if storeTime, ok := m.Rows.Now(); ok && storeTime-time.Duration(count.AtMillis)*time.Millisecond < countAge {
			return count.Waiting[q.Key()], nil
		}
	}
	return m.countWaiting(ctx, q, row.Version)
}

func countKey(pool string) platform.RowKey {
	return platform.RowKey{Table: countTable, Part: pool, Key: pendingKey}
}

// countWaiting counts by the rows of the jobs themselves. One call at a time reads those of a pool, and others wait for it. The count
// is stored in place of the one that is too old, so that other entry hosts need not read all rows as well.
func (m *Manager) countWaiting(ctx context.Context, q work.Queue, tooOld uint64) (int, error) {
	found, err, _ := m.counting.Do(q.Pool, func() (any, error) {
		at, known := m.Rows.Now()
		waiting, err := m.readWaiting(ctx, q.Pool)
		if err == nil && known {
			m.group.Go(func() { m.shareCount(q.Pool, tooOld, countRow{AtMillis: at.Milliseconds(), Waiting: waiting}) })
		}
		return waiting, err
	})
	if err != nil {
		return 0, err
	}
	return found.(map[string]int)[q.Key()], nil
}

// shareCount stores a count unless somebody else has stored a newer one.
func (m *Manager) shareCount(pool string, tooOld uint64, count countRow) {
	key := countKey(pool)
	_, err := m.Rows.Commit(m.ctx, platform.Commit{
		Expected: []platform.Expectation{{RowKey: key, Version: tooOld}},
		Writes:   []platform.RowWrite{{RowKey: key, Value: encode(count)}}, Purpose: "count",
	})
	var overtaken platform.ErrOvertaken
	if err != nil && !errors.As(err, &overtaken) {
		m.record(event.Event{Number: event.WorkCommitFailed, Pool: pool, Detail: "count of waiting jobs: " + err.Error()})
	}
}

// readWaiting returns how many jobs of a pool wait, by the queue's key.
func (m *Manager) readWaiting(ctx context.Context, pool string) (map[string]int, error) {
	specs, _, err := m.Rows.ReadAll(ctx, platform.Range{Table: queueTable(pool), Part: pool, From: firstJobKey, Purpose: "count"})
	if err != nil {
		return nil, err
	}
	progress, _, err := m.Rows.ReadAll(ctx, platform.Range{Table: progressTable, Part: pool, Purpose: "count"})
	if err != nil {
		return nil, err
	}
	begun := make(map[string]bool, len(progress))
	for _, row := range progress {
		begun[row.Key] = true
	}
	waiting := make(map[string]int)
	for _, row := range specs {
		job, err := decodeSpec(row)
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
