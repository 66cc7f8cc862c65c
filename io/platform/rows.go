package platform

import (
	"context"
	"fmt"
	"time"
)

// Rows is a transactional table service whose rows lie in tables and parts. A
// transaction touches one part only.
type Rows struct {
	// Commit applies all writes if all rows have the versions expected, or none. It returns the
	// version that the written rows have. It returns ErrOvertaken, ErrUnavailable or ErrOutcomeUnknown.
	Commit func(ctx context.Context, c Commit) (uint64, error)
	// Range returns rows of one part in the order of their keys, as of one moment.
	Range func(ctx context.Context, q Range) (Page, error)
	// Parts returns the names of a table's parts.
	Parts func(ctx context.Context, table string) ([]string, error)
	// Follow waits up to wait for changes of a table later than a version. It returns
	// ErrHistoryGone if the service no longer knows all of them.
	Follow func(ctx context.Context, table string, after uint64, wait time.Duration) (Changes, error)
	// Now estimates the service's steady clock from its last answer. It is behind by no more than that answer took.
	// It returns false before the first answer.
	Now func() (time.Duration, bool)
}

// RowKey names a row.
type RowKey struct {
	Table string
	Part  string
	Key   string
}

// PartRow is a row as the service has it.
type PartRow struct {
	RowKey
	Value []byte
	// Version is unique over all rows and grows with each transaction; zero if the row does not exist.
	Version uint64
	// Deleted is set in changes for a row that was removed.
	Deleted bool
}

// Expectation requires a row to have a version; zero requires that it does not exist.
type Expectation struct {
	RowKey
	Version uint64
}

// RowWrite sets a row's value.
type RowWrite struct {
	RowKey
	Value []byte
}

// Commit is one transaction.
type Commit struct {
	Expected []Expectation
	Writes   []RowWrite
	Removes  []RowKey
	// Purpose names the mechanism that writes, for the metrics.
	Purpose string
}

// Range selects rows of a part with keys from From up to Until, which it excludes; empty bounds are open.
type Range struct {
	Table string
	Part  string
	From  string
	Until string
	Limit int
	// Purpose names the mechanism that reads, for the metrics.
	Purpose string
	// Arriving is called when more of the answer has come; nil means nobody cares.
	Arriving func()
}

// Page is a part of the rows of a range.
type Page struct {
	Rows []PartRow
	// More is set if rows of the range follow the last one.
	More bool
	// Version is the newest version of the whole service at that moment.
	Version uint64
	// Clock is the service's steady clock.
	Clock time.Duration
}

// Changes are the rows of a table that changed after a version.
type Changes struct {
	Rows []PartRow
	// Version is where to go on from.
	Version uint64
}

// ErrOvertaken is returned when rows did not have the versions expected. Nothing was written.
type ErrOvertaken struct {
	// Rows are the expected rows as they are; those that do not exist have version zero or are left out.
	Rows []PartRow
}

// Error implements error.
func (e ErrOvertaken) Error() string {
	return fmt.Sprintf("rows changed meanwhile; the service returned %d of them", len(e.Rows))
}

// Find returns the row as it was when the transaction failed.
func (e ErrOvertaken) Find(key RowKey) (PartRow, bool) {
	for _, row := range e.Rows {
		if row.RowKey == key {
			return row, row.Version != 0 && !row.Deleted
		}
	}
	return PartRow{RowKey: key}, false
}

// ErrHistoryGone is returned when changes since a version are no longer known. The table must be read anew.
type ErrHistoryGone struct{ Table string }

// Error implements error.
func (e ErrHistoryGone) Error() string {
	return fmt.Sprintf("the history of table %q is no longer available", e.Table)
}

// ReadAll returns all rows of a part between two keys, page by page, with the version of the first page.
func (r Rows) ReadAll(ctx context.Context, q Range) ([]PartRow, uint64, error) {
	reading := Reading{Query: q}
	if err := reading.Continue(ctx, r); err != nil {
		return nil, 0, err
	}
	return reading.Rows, reading.Version, nil
}

// ReadOne returns a row, and false if it does not exist.
func (r Rows) ReadOne(ctx context.Context, key RowKey, purpose string) (PartRow, bool, error) {
	page, err := r.Range(ctx, Range{
		Table: key.Table, Part: key.Part, From: key.Key, Until: key.Key + "\x00", Limit: 1, Purpose: purpose,
	})
	if err != nil || len(page.Rows) == 0 {
		return PartRow{RowKey: key}, false, err
	}
	return page.Rows[0], true, nil
}
