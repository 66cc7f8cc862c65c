// Package standin simulates the platform, its workers and its targets in one process, with switches that inject faults.
package standin

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"siskincross/io/platform"
)

// TableFaults holds the fault switches of the table service. The zero value is a healthy service.
type TableFaults struct {
	// Down makes every call fail with ErrUnavailable and without effect.
	Down bool `json:"down,omitempty"`
	// Delay is added to every call.
	Delay time.Duration `json:"delay,omitempty"`
	// LoseAnswers is the number of coming commits that take effect and return ErrOutcomeUnknown.
	LoseAnswers int `json:"lose-answers,omitempty"`
	// LoseCommits is the number of coming commits that take no effect and return ErrOutcomeUnknown.
	LoseCommits int `json:"lose-commits,omitempty"`
}

// Table is an in-memory transactional table. The zero value is empty and healthy.
type Table struct {
	mu   sync.Mutex
	rows map[string]platform.Row
	// lastVersion is the version of the rows that the latest transaction wrote. All keys share the counter.
	lastVersion uint64
	faults      TableFaults
	counts      TableCounts
	// onCommit is called with every transaction that takes effect, while mu is held. It may be nil.
	onCommit func(at time.Time, tx platform.Transaction)
}

// TableCounts counts the operations that a table has carried out.
type TableCounts struct {
	// Commits counts the transactions that took effect.
	Commits int `json:"commits"`
	// RowWrites counts the rows that these transactions wrote or deleted.
	RowWrites int `json:"writes"`
	// RowReads counts the keys that were read and the rows that scans returned.
	RowReads int `json:"reads"`
	// RowWritesByPurpose counts row writes by the purpose of their transaction.
	RowWritesByPurpose map[string]int `json:"purposes"`
}

// Service returns the table as the platform's table service, called in process without a wire format.
func (t *Table) Service() platform.Table {
	return platform.Table{Commit: t.Commit, Read: t.Read, Scan: t.Scan}
}

// SetCommitObserver makes the table call observe with every transaction that takes effect, in commit order.
// The table's lock is held during the call.
func (t *Table) SetCommitObserver(observe func(at time.Time, tx platform.Transaction)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.onCommit = observe
}

// SetFaults replaces the fault switches.
func (t *Table) SetFaults(f TableFaults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = f
}

// Faults returns the current fault switches.
func (t *Table) Faults() TableFaults {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.faults
}

// Counts returns a copy of the counts so far.
func (t *Table) Counts() TableCounts {
	t.mu.Lock()
	defer t.mu.Unlock()
	counts := t.counts
	counts.RowWritesByPurpose = make(map[string]int, len(t.counts.RowWritesByPurpose))
	for purpose, n := range t.counts.RowWritesByPurpose {
		counts.RowWritesByPurpose[purpose] = n
	}
	return counts
}

// Commit implements the Commit call of platform.Table.
func (t *Table) Commit(ctx context.Context, tx platform.Transaction) error {
	if err := t.injectFaults(ctx); err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.faults.LoseCommits > 0 {
		t.faults.LoseCommits--
		return platform.ErrOutcomeUnknown{Service: "table", Reason: "request lost"}
	}
	if err := t.checkPreconditions(tx.Preconditions); err != nil {
		return err
	}
	t.applyWrites(tx)
	if t.faults.LoseAnswers > 0 {
		t.faults.LoseAnswers--
		return platform.ErrOutcomeUnknown{Service: "table", Reason: "response lost"}
	}
	return nil
}

// Read implements the Read call of platform.Table.
func (t *Table) Read(ctx context.Context, keys []string) ([]platform.Row, error) {
	if err := t.injectFaults(ctx); err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.RowReads += len(keys)
	rows := make([]platform.Row, 0, len(keys))
	for _, key := range keys {
		if row, ok := t.rows[key]; ok {
			rows = append(rows, row)
		}
	}
	return rows, nil
}

// Scan implements the Scan call of platform.Table.
func (t *Table) Scan(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	if err := t.injectFaults(ctx); err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var rows []platform.Row
	for key, row := range t.rows {
		if strings.HasPrefix(key, prefix) && key > after {
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	if len(rows) > limit {
		rows = rows[:limit]
	}
	t.counts.RowReads += len(rows)
	return rows, nil
}

// injectFaults applies the delay and the outage, the faults that affect every kind of call.
func (t *Table) injectFaults(ctx context.Context) error {
	faults := t.Faults()
	if faults.Delay > 0 {
		select {
		case <-time.After(faults.Delay):
		case <-ctx.Done():
			return platform.ErrUnavailable{Service: "table", Reason: ctx.Err().Error()}
		}
	}
	if faults.Down {
		return platform.ErrUnavailable{Service: "table", Reason: "down"}
	}
	return nil
}

// checkPreconditions returns ErrConflict for the first row whose version differs from the expected one. The caller holds t.mu.
func (t *Table) checkPreconditions(preconditions []platform.Precondition) error {
	for _, p := range preconditions {
		actual := t.rows[p.Key].Version
		if actual != p.Version {
			return platform.ErrConflict{Key: p.Key, Expected: p.Version, Actual: actual}
		}
	}
	return nil
}

// applyWrites applies all writes of tx and counts them. All keys share one version counter, so that the version of a row
// that is deleted and written again still grows. The caller holds t.mu.
func (t *Table) applyWrites(tx platform.Transaction) {
	if t.rows == nil {
		t.rows = make(map[string]platform.Row)
		t.counts.RowWritesByPurpose = make(map[string]int)
	}
	t.lastVersion++
	for _, w := range tx.Writes {
		if w.Delete {
			delete(t.rows, w.Key)
			continue
		}
		t.rows[w.Key] = platform.Row{Key: w.Key, Version: t.lastVersion, Value: w.Value}
	}
	t.counts.Commits++
	t.counts.RowWrites += len(tx.Writes)
	t.counts.RowWritesByPurpose[tx.Purpose] += len(tx.Writes)
	if t.onCommit != nil {
		t.onCommit(time.Now(), tx)
	}
}
