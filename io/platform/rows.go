package platform

import (
	"context"
	"fmt"
	"time"
)

// RowStore is a transactional table service whose rows lie in tables and parts. A
// transaction touches one part only.
type RowStore struct {
	// Commit applies all writes if all rows have the versions expected, or none. It returns the
	// version that the written rows have. It returns ErrVersionMismatch, ErrUnavailable or ErrOutcomeUnknown.
	Commit func(ctx context.Context, c RowTransaction) (uint64, error)
	// ReadRange returns rows of one part in the order of their keys, as of one moment.
	ReadRange func(ctx context.Context, q RangeQuery) (Page, error)
	// ListPartitions returns the names of a table's parts.
	ListPartitions func(ctx context.Context, table string) ([]string, error)
	// AwaitChanges waits up to wait for changes of a table later than a version. It returns
	// ErrHistoryTruncated if the service no longer knows all of them.
	AwaitChanges func(ctx context.Context, table string, after uint64, wait time.Duration) (Changes, error)
	// EstimateClock estimates the service's steady clock from its last answer. It is behind by no more than that answer took.
	// It returns false before the first answer.
	EstimateClock func() (time.Duration, bool)
}

// RowKey names a row.
type RowKey struct {
	Table     string
	Partition string
	Key       string
}

// VersionedRow is a row as the service has it.
type VersionedRow struct {
	RowKey
	Value []byte
	// Version is unique over all rows and grows with each transaction; zero if the row does not exist.
	Version uint64
	// Deleted is set in changes for a row that was removed.
	Deleted bool
}

// RowPrecondition requires a row to have a version; zero requires that it does not exist.
type RowPrecondition struct {
	RowKey
	Version uint64
}

// RowWrite sets a row's value.
type RowWrite struct {
	RowKey
	Value []byte
}

// RowTransaction is one transaction.
type RowTransaction struct {
	Preconditions []RowPrecondition
	Writes        []RowWrite
	Deletes       []RowKey
	// Purpose names the mechanism that writes, for the metrics.
	Purpose string
}

// RangeQuery selects rows of a part with keys from From up to Until, which it excludes; empty bounds are open.
type RangeQuery struct {
	Table     string
	Partition string
	From      string
	Until     string
	Limit     int
	// Purpose names the mechanism that reads, for the metrics.
	Purpose string
	// OnProgress is called when more of the answer has come; nil means nobody cares.
	OnProgress func()
}

// Page is a part of the rows of a range.
type Page struct {
	Rows []VersionedRow
	// More is set if rows of the range follow the last one.
	More bool
	// Version is the newest version of the whole service at that moment.
	Version uint64
	// Clock is the service's steady clock.
	Clock time.Duration
}

// Changes are the rows of a table that changed after a version.
type Changes struct {
	Rows []VersionedRow
	// Version is where to go on from.
	Version uint64
}

// ErrVersionMismatch is returned when rows did not have the versions expected. Nothing was written.
type ErrVersionMismatch struct {
	// Rows are the expected rows as they are; those that do not exist have version zero or are left out.
	Rows []VersionedRow
}

// Error implements error.
func (e ErrVersionMismatch) Error() string {
	return fmt.Sprintf("rows changed meanwhile; the service returned %d of them", len(e.Rows))
}

// Find returns the row as it was when the transaction failed.
func (e ErrVersionMismatch) Find(key RowKey) (VersionedRow, bool) {
	for _, row := range e.Rows {
		if row.RowKey == key {
			return row, row.Version != 0 && !row.Deleted
		}
	}
	return VersionedRow{RowKey: key}, false
}

// ErrHistoryTruncated is returned when changes since a version are no longer known. The table must be read anew.
type ErrHistoryTruncated struct{ Table string }

// Error implements error.
func (e ErrHistoryTruncated) Error() string {
	return fmt.Sprintf("the history of table %q is no longer available", e.Table)
}

// ReadAll returns all rows of a part between two keys, page by page, with the version of the first page.
func (r RowStore) ReadAll(ctx context.Context, q RangeQuery) ([]VersionedRow, uint64, error) {
	reading := RangeReader{Query: q}
	if err := reading.ReadRemaining(ctx, r); err != nil {
		return nil, 0, err
	}
	return reading.Rows, reading.Version, nil
}

// ReadRow returns a row, and false if it does not exist.
func (r RowStore) ReadRow(ctx context.Context, key RowKey, purpose string) (VersionedRow, bool, error) {
	page, err := r.ReadRange(ctx, RangeQuery{
		Table: key.Table, Partition: key.Partition, From: key.Key, Until: key.Key + "\x00", Limit: 1, Purpose: purpose,
	})
	if err != nil || len(page.Rows) == 0 {
		return VersionedRow{RowKey: key}, false, err
	}
	return page.Rows[0], true, nil
}
