package runner_test

import (
	"context"
	"maps"
	"sync"
	"time"

	"siskincross/io/platform"
)

// tally is the use of the store for one purpose.
type tally struct {
	calls, rows, bytes int
}

// census counts the calls that entry hosts make of the store, the rows and bytes delivered to them, by purpose. The zero value counts.
type census struct {
	mu        sync.Mutex
	byPurpose map[string]tally
	byNode    map[string]tally
}

// reset begins anew.
func (c *census) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.byPurpose, c.byNode = make(map[string]tally), make(map[string]tally)
}

func (c *census) add(node, purpose string, rows []platform.PartRow) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byPurpose == nil {
		return
	}
	add := tally{calls: 1, rows: len(rows), bytes: wireSize(rows)}
	for table, key := range map[*map[string]tally]string{&c.byPurpose: purpose, &c.byNode: node} {
		sum := (*table)[key]
		(*table)[key] = tally{sum.calls + add.calls, sum.rows + add.rows, sum.bytes + add.bytes}
	}
}

// calls returns how many calls were made for a purpose.
func (c *census) calls(purpose string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.byPurpose[purpose].calls
}

// purposes returns what was counted by purpose.
func (c *census) purposes() map[string]tally {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.byPurpose)
}

// total returns the sum over all purposes.
func (c *census) total() tally {
	c.mu.Lock()
	defer c.mu.Unlock()
	var sum tally
	for _, t := range c.byPurpose {
		sum = tally{sum.calls + t.calls, sum.rows + t.rows, sum.bytes + t.bytes}
	}
	return sum
}

// observe returns the store as an entry host sees it, with its calls counted.
func (c *census) observe(node string, rows platform.Rows) platform.Rows {
	return platform.Rows{
		Commit: func(ctx context.Context, commit platform.Commit) (uint64, error) {
			c.add(node, commit.Purpose, nil)
			return rows.Commit(ctx, commit)
		},
		Range: func(ctx context.Context, q platform.Range) (platform.Page, error) {
			page, err := rows.Range(ctx, q)
			c.add(node, q.Purpose, page.Rows)
			return page, err
		},
		Parts: func(ctx context.Context, table string) ([]string, error) {
			c.add(node, "parts", nil)
			return rows.Parts(ctx, table)
		},
		Follow: func(ctx context.Context, table string, after uint64, wait time.Duration) (platform.Changes, error) {
			changes, err := rows.Follow(ctx, table, after, wait)
			c.add(node, "feed of "+table, changes.Rows)
			return changes, err
		},
		Now: rows.Now,
	}
}
