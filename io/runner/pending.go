package runner

import (
	"context"
	"errors"
	"maps"
	"time"

	"golang.org/x/sync/errgroup"

	"siskincross/core/event"
	"siskincross/core/work"
	"siskincross/io/platform"
)

const (
	// countInterval is the minimum time between two writes of a pool's count of pending jobs, and the maximum while
	// the pool has jobs. It is half of maxCountAge.
	countInterval = time.Second
	// maxCountAge is the maximum age of a count that is returned, by the store's clock. The platform sets this bound.
	maxCountAge = 2 * time.Second
	// maxQueueLag is the maximum time since the last answer of the queue's feed at which a holder still counts the
	// jobs in its scheduler. The store answers at least every longPollWait.
	maxQueueLag = longPollWait + 500*time.Millisecond
)

// pendingCountRow is the stored number of pending jobs of a pool, by queue key.
type pendingCountRow struct {
	// AtMillis is the time of the count, by the store's clock.
	AtMillis int64          `json:"at-millis"`
	Pending  map[string]int `json:"waiting"`
}

// duePendingCount returns the count of pending jobs if it must be written. The caller holds the lock.
func (h *poolHolder) duePendingCount(now time.Time) (pendingCountRow, bool) {
	if now.Sub(h.lastCountAt) < countInterval || !h.queueIsCurrent(now) {
		return pendingCountRow{}, false
	}
	pending := h.scheduler.PendingJobCounts()
	if h.lastCount != nil && maps.Equal(pending, h.lastCount) && h.scheduler.HasNoJobs() {
		return pendingCountRow{}, false
	}
	storeTime, ok := h.manager.Rows.EstimateClock()
	if !ok {
		return pendingCountRow{}, false
	}
	h.lastCountAt = now
	return pendingCountRow{AtMillis: storeTime.Milliseconds(), Pending: pending}, true
}

// queueIsCurrent reports whether the scheduler knows the queue's recent changes. The caller holds the lock.
func (h *poolHolder) queueIsCurrent(now time.Time) bool {
	return h.loaded && !h.feed.isOverdue(now) && now.Sub(h.feed.lastAnswer) < maxQueueLag
}

// PendingJobs returns the number of jobs of a queue without a started task, in all pools that may have stored some. The count is at
// most two seconds old.
func (m *Manager) PendingJobs(ctx context.Context, q work.Queue) (int, error) {
	pools, err := m.countedPools(ctx, q)
	if err != nil {
		return 0, err
	}
	counts := make([]int, len(pools))
	var reads errgroup.Group
	for i, pool := range pools {
		reads.Go(func() (err error) {
			counts[i], err = m.pendingJobsIn(ctx, pool, q.Key())
			return err
		})
	}
	err = reads.Wait()
	total := 0
	for _, n := range counts {
		total += n
	}
	return total, err
}

// queuePools is what is known of the pools that may have stored jobs of a queue.
type queuePools struct {
	// version is the version of the configuration that was in force when the pools were read: a queue moves with a later one.
	version uint64
	pools   []string
}

// countedPools is storingPools with one read of the store a configuration.
func (m *Manager) countedPools(ctx context.Context, q work.Queue) ([]string, error) {
	id := gateID{q.Key(), q.Pool}
	m.mu.Lock()
	version, known := m.catalogue.Version, m.queuePools[id]
	m.mu.Unlock()
	if known.pools != nil && known.version == version {
		return known.pools, nil
	}
	pools, err := m.storingPools(ctx, q, "pending")
	if err != nil {
		return nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	maps.DeleteFunc(m.queuePools, func(_ gateID, p queuePools) bool { return p.version < version })
	m.queuePools[id] = queuePools{version, pools}
	return pools, nil
}

// pendingJobsIn returns the number of a queue's jobs without a started task in one pool.
func (m *Manager) pendingJobsIn(ctx context.Context, pool, queue string) (int, error) {
	if h := m.poolHolder(pool); h != nil {
		h.mu.Lock()
		known, pending := h.queueIsCurrent(time.Now()), h.scheduler.PendingJobCounts()
		h.mu.Unlock()
		if known {
			return pending[queue], nil
		}
	}
	if m.storeHealth.isUnavailable(pool) {
		return 0, errStoreUnavailable()
	}
	row, ok, err := m.Rows.ReadRow(ctx, pendingCountKey(pool), "pending")
	if err != nil {
		return 0, err
	}
	if ok {
		var count pendingCountRow
		if err := decodeRow(row, &count); err != nil {
			m.record(event.Event{Number: event.WorkRowUnreadable, Pool: pool, Detail: err.Error()})
		} else if storeTime, ok := m.Rows.EstimateClock(); ok && storeTime-time.Duration(count.AtMillis)*time.Millisecond < maxCountAge {
			return count.Pending[queue], nil
		}
	}
	return m.countPending(ctx, pool, queue, row.Version)
}

// pendingCountKey returns the key of the row with the count of a pool's pending jobs.
func pendingCountKey(pool string) platform.RowKey {
	return platform.RowKey{Table: countTable, Partition: pool, Key: pendingKey}
}

// countPending counts the pending jobs from their rows. Concurrent calls for the same pool share one read. The count
// replaces the stale one in the store, so that other entry hosts need not read all rows too, unless the store is slow:
// rows are read at once, while a transaction delays those of callers' jobs.
func (m *Manager) countPending(ctx context.Context, pool, queue string, staleVersion uint64) (int, error) {
	counts, err, _ := m.countReads.Do(pool, func() (any, error) {
		storeTime, known := m.Rows.EstimateClock()
		pending, err := m.readPendingCounts(ctx, pool)
		if err == nil && known && m.storeHealth.slowLatency() == 0 {
			m.group.Go(func() {
				m.storePendingCount(pool, staleVersion, pendingCountRow{AtMillis: storeTime.Milliseconds(), Pending: pending})
			})
		}
		return pending, err
	})
	if err != nil {
		return 0, err
	}
	return counts.(map[string]int)[queue], nil
}

// storePendingCount stores a count unless another writer has replaced the stale one.
func (m *Manager) storePendingCount(pool string, staleVersion uint64, count pendingCountRow) {
	key := pendingCountKey(pool)
	_, err := m.Rows.Commit(m.ctx, platform.RowTransaction{
		Preconditions: []platform.RowPrecondition{{RowKey: key, Version: staleVersion}},
		Writes:        []platform.RowWrite{{RowKey: key, Value: encodeRow(count)}}, Purpose: "count",
	})
	var mismatch platform.ErrVersionMismatch
	if err != nil && !errors.As(err, &mismatch) {
		m.record(event.Event{Number: event.WorkCommitFailed, Pool: pool, Detail: "store the count of pending jobs: " + err.Error()})
	}
}

// readPendingCounts reads the pool's job rows and returns the number of pending jobs by queue key.
func (m *Manager) readPendingCounts(ctx context.Context, pool string) (map[string]int, error) {
	specs, _, err := m.Rows.ReadAll(ctx, platform.RangeQuery{Table: queueTable(pool), Partition: pool, From: firstJobKey, Purpose: "count"})
	if err != nil {
		return nil, err
	}
	progress, _, err := m.Rows.ReadAll(ctx, platform.RangeQuery{Table: progressTable, Partition: pool, Purpose: "count"})
	if err != nil {
		return nil, err
	}
	started := make(map[string]bool, len(progress))
	for _, row := range progress {
		started[row.Key] = true
	}
	pending := make(map[string]int)
	for _, row := range specs {
		job, err := decodeJob(row)
		if err != nil {
			m.record(event.Event{Number: event.WorkRowUnreadable, Pool: pool, Job: row.Key, Detail: err.Error()})
			continue
		}
		if !started[row.Key] && job.Repeat.Count == 0 {
			pending[job.Queue]++
		}
	}
	return pending, nil
}
