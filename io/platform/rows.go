package platform

import (
	"context"
	"fmt"
	"time"
)

// RowStore is a transactional store of rows. Tables consist of partitions, and a
// transaction is limited to one partition.
type RowStore struct {
	// Commit applies all writes if all preconditions hold, or none. It returns the version of the
	// written rows, or ErrVersionMismatch, ErrUnavailable or ErrOutcomeUnknown.
	Commit func(ctx context.Context, c RowTransaction) (uint64, error)
	// ReadRange returns a consistent page of rows of one partition, ordered by key.
	ReadRange func(ctx context.Context, q RangeQuery) (Page, error)
	// ListPartitions returns the names of a table's partitions.
	ListPartitions func(ctx context.Context, table string) ([]string, error)
	// AwaitChanges returns the changes of a table after a version, waiting up to wait if there are none yet.
	// It returns ErrHistoryTruncated if the store no longer has all of them.
	AwaitChanges func(ctx context.Context, table string, after uint64, wait time.Duration) (Changes, error)
	// EstimateClock estimates the store's monotonic clock from its last response. The estimate is behind by at most the time that
	// the response took. It returns false before the first response.
	EstimateClock func() (time.Duration, bool)
}

// RowKey identifies a row.
type RowKey struct {
	Table     string
	Partition string
	Key       string
}

// VersionedRow is a row with its version.
type VersionedRow struct {
	RowKey
	Value []byte
	// Version is the version of the store that the row was written in. It grows with each transaction, and is zero if the row does
	// not exist.
	Version uint64
	// Deleted is set for a deleted row in Changes.
	Deleted bool
}

// RowPrecondition requires a row to have a version. Version zero requires that the row does not exist.
type RowPrecondition struct {
	RowKey
	Version uint64
}

// RowWrite sets a row's value.
type RowWrite struct {
	RowKey
	Value []byte
}

// RowTransaction is a set of preconditions, writes and deletions that is applied atomically.
type RowTransaction struct {
	Preconditions []RowPrecondition
	Writes        []RowWrite
	Deletes       []RowKey
	// Purpose names the mechanism that writes. It is a label of metrics.
	Purpose string
}

// RangeQuery selects the rows of a partition whose keys are at least From and less than Until. An empty bound is open.
type RangeQuery struct {
	Table     string
	Partition string
	From      string
	Until     string
	Limit     int
	// Purpose names the mechanism that reads. It is a label of metrics.
	Purpose string
	// OnProgress is called when more bytes of the response have arrived; it may be nil.
	OnProgress func()
}

// Page holds consecutive rows of a range.
type Page struct {
	Rows []VersionedRow
	// More is set if rows of the range follow the last one.
	More bool
	// Version is the version of the store that was read.
	Version uint64
}

// Changes are the rows of a table that changed after a version.
type Changes struct {
	Rows []VersionedRow
	// Version is the version to pass to the next AwaitChanges.
	Version uint64
}

// ErrVersionMismatch is returned when a precondition of a transaction did not hold. Nothing was written.
type ErrVersionMismatch struct {
	// Rows holds the current rows of the preconditions. A row that does not exist has version zero or is left out.
	Rows []VersionedRow
}

// Error implements error.
func (e ErrVersionMismatch) Error() string {
	return fmt.Sprintf("versions of rows differ from the expected ones; the service returned %d current rows", len(e.Rows))
}

// Find returns the current row of a precondition, and false if the row does not exist.
func (e ErrVersionMismatch) Find(key RowKey) (VersionedRow, bool) {
	for _, row := range e.Rows {
		if row.RowKey == key {
			return row, row.Version != 0 && !row.Deleted
		}
	}
	return VersionedRow{RowKey: key}, false
}

// ErrHistoryTruncated is returned when the changes since a version are no longer available. The table must be read in full.
type ErrHistoryTruncated struct{ Table string }

// Error implements error.
func (e ErrHistoryTruncated) Error() string {
	return fmt.Sprintf("the history of table %q is no longer available", e.Table)
}

// ReadAll reads a range page by page. It returns all rows and the lowest version of a page.
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
