package runner_test

import (
	"context"
	"maps"
	"sync"
	"time"

	"siskincross/io/platform"
)

// storeUsage is the use of the store for one purpose.
type storeUsage struct {
	calls, rows, bytes int
}

// usageCounter counts the calls of the store by entry hosts, and the rows and bytes delivered to them, by purpose and
// by entry host. It counts nothing before the first reset.
type usageCounter struct {
	mu          sync.Mutex
	byPurpose   map[string]storeUsage
	byEntryHost map[string]storeUsage
}

// reset discards all counts and starts counting.
func (c *usageCounter) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.byPurpose, c.byEntryHost = make(map[string]storeUsage), make(map[string]storeUsage)
}

// countCall counts one call and the rows delivered.
func (c *usageCounter) countCall(entryHost, purpose string, rows []platform.VersionedRow) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byPurpose == nil {
		return
	}
	add := storeUsage{calls: 1, rows: len(rows), bytes: wireSize(rows)}
	for table, key := range map[*map[string]storeUsage]string{&c.byPurpose: purpose, &c.byEntryHost: entryHost} {
		sum := (*table)[key]
		(*table)[key] = storeUsage{sum.calls + add.calls, sum.rows + add.rows, sum.bytes + add.bytes}
	}
}

// callsFor returns the number of calls for a purpose.
func (c *usageCounter) callsFor(purpose string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.byPurpose[purpose].calls
}

// usageByPurpose returns the counts by purpose.
func (c *usageCounter) usageByPurpose() map[string]storeUsage {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.byPurpose)
}

// totalUsage returns the sum over all purposes.
func (c *usageCounter) totalUsage() storeUsage {
	c.mu.Lock()
	defer c.mu.Unlock()
	var sum storeUsage
	for _, t := range c.byPurpose {
		sum = storeUsage{sum.calls + t.calls, sum.rows + t.rows, sum.bytes + t.bytes}
	}
	return sum
}

// wrap returns the store of an entry host with its calls counted.
func (c *usageCounter) wrap(entryHost string, rows platform.RowStore) platform.RowStore {
	return platform.RowStore{
		Commit: func(ctx context.Context, commit platform.RowTransaction) (uint64, error) {
			c.countCall(entryHost, commit.Purpose, nil)
			return rows.Commit(ctx, commit)
		},
		ReadRange: func(ctx context.Context, q platform.RangeQuery) (platform.Page, error) {
			page, err := rows.ReadRange(ctx, q)
			c.countCall(entryHost, q.Purpose, page.Rows)
			return page, err
		},
		ListPartitions: func(ctx context.Context, table string) ([]string, error) {
			c.countCall(entryHost, "parts", nil)
			return rows.ListPartitions(ctx, table)
		},
		AwaitChanges: func(ctx context.Context, table string, after uint64, wait time.Duration) (platform.Changes, error) {
			changes, err := rows.AwaitChanges(ctx, table, after, wait)
			c.countCall(entryHost, "feed of "+table, changes.Rows)
			return changes, err
		},
		EstimateClock: rows.EstimateClock,
	}
}
