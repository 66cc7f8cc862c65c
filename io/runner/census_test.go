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

// usageCounter counts the calls that entry hosts make of the store, the rows and bytes delivered to them, by purpose. The zero value counts.
type usageCounter struct {
	mu        sync.Mutex
	byPurpose map[string]storeUsage
	byNode    map[string]storeUsage
}

// reset begins anew.
func (c *usageCounter) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.byPurpose, c.byNode = make(map[string]storeUsage), make(map[string]storeUsage)
}

func (c *usageCounter) countCall(node, purpose string, rows []platform.VersionedRow) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byPurpose == nil {
		return
	}
	add := storeUsage{calls: 1, rows: len(rows), bytes: wireSize(rows)}
	for table, key := range map[*map[string]storeUsage]string{&c.byPurpose: purpose, &c.byNode: node} {
		sum := (*table)[key]
		(*table)[key] = storeUsage{sum.calls + add.calls, sum.rows + add.rows, sum.bytes + add.bytes}
	}
}

// callsFor returns how many calls were made for a purpose.
func (c *usageCounter) callsFor(purpose string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.byPurpose[purpose].calls
}

// usageByPurpose returns what was counted by purpose.
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

// wrap returns the store as an entry host sees it, with its calls counted.
func (c *usageCounter) wrap(node string, rows platform.RowStore) platform.RowStore {
	return platform.RowStore{
		Commit: func(ctx context.Context, commit platform.RowTransaction) (uint64, error) {
			c.countCall(node, commit.Purpose, nil)
			return rows.Commit(ctx, commit)
		},
		ReadRange: func(ctx context.Context, q platform.RangeQuery) (platform.Page, error) {
			page, err := rows.ReadRange(ctx, q)
			c.countCall(node, q.Purpose, page.Rows)
			return page, err
		},
		ListPartitions: func(ctx context.Context, table string) ([]string, error) {
			c.countCall(node, "parts", nil)
			return rows.ListPartitions(ctx, table)
		},
		AwaitChanges: func(ctx context.Context, table string, after uint64, wait time.Duration) (platform.Changes, error) {
			changes, err := rows.AwaitChanges(ctx, table, after, wait)
			c.countCall(node, "feed of "+table, changes.Rows)
			return changes, err
		},
		EstimateClock: rows.EstimateClock,
	}
}
