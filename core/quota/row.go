package quota

import (
	"maps"

	"siskincross/core/resource"
)

// Entry is one pool's part of an organisation's row.
type Entry struct {
	// Epoch is the epoch of the holder of the pool that wrote the entry last.
	Epoch uint64
	// Granted is what the pool may have running. It is never below what may run there.
	Granted resource.Amount
}

// Row holds what the pools may have running for one organisation, by pool. It is immutable.
type Row map[string]Entry

// With returns a copy of the row with another entry of a pool.
func (r Row) With(pool string, e Entry) Row {
	next := maps.Clone(r)
	if next == nil {
		next = make(Row, 1)
	}
	next[pool] = e
	return next
}

// Without returns a copy of the row without the entry of a pool.
func (r Row) Without(pool string) Row {
	next := maps.Clone(r)
	delete(next, pool)
	return next
}

// Total returns the sum of all entries.
func (r Row) Total() resource.Amount {
	var sum resource.Amount
	for _, e := range r {
		sum = sum.Add(e.Granted)
	}
	return sum
}

// VersionedRow is a stored row with its version, which is zero if the row does not exist.
type VersionedRow struct {
	Row     Row
	Version uint64
}
