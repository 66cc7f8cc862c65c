package runner_test

import (
	"context"
	"slices"
	"strings"
	"time"

	"siskincross/io/platform"
)

// Limits of the pages that the store returns.
const (
	pageRows  = 500
	pageBytes = 1 << 20
	// rowOverhead is the approximate size in bytes of a row's keys and version on the wire.
	rowOverhead = 130
	// linkChunk is the number of bytes of an answer that arrive at once.
	linkChunk = 16 << 10
)

// fakeLink is one direction of an entry host's link. Its calls share the bandwidth.
type fakeLink struct {
	bytesPerSecond int
	busyUntil      time.Time
}

// limitBandwidth limits the bandwidth of the links from the store to the entry hosts and of their transactions.
func (s *fakeStore) limitBandwidth(bytesPerSecond int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.links, s.bandwidth = make(map[string]*fakeLink), bytesPerSecond
}

// dropPages makes the store lose every n-th page that a takeover reads.
func (s *fakeStore) dropPages(every int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.losePageEvery = every
}

// dropsPage reports whether the answer to a read is lost.
func (s *fakeStore) dropsPage(query platform.RangeQuery) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.losePageEvery == 0 || query.Purpose != "takeover" {
		return false
	}
	s.takeoverPages++
	return s.takeoverPages%s.losePageEvery == 0
}

// transfer simulates the transfer of an answer to an entry host.
func (s *fakeStore) transfer(ctx context.Context, node string, size int, arriving func()) error {
	for size > 0 {
		chunk := min(size, linkChunk)
		size -= chunk
		wait := s.reserve(node, chunk)
		if wait == 0 {
			continue
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return platform.ErrOutcomeUnknown{Service: "store", Reason: ctx.Err().Error()}
		}
		if arriving != nil {
			arriving()
		}
	}
	return nil
}

// reserve reserves the entry host's link for a number of bytes and returns the time until they have arrived.
func (s *fakeStore) reserve(node string, size int) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.bandwidth == 0 {
		return 0
	}
	link := s.links[node]
	if link == nil {
		link = &fakeLink{bytesPerSecond: s.bandwidth}
		s.links[node] = link
	}
	now := time.Now()
	if link.busyUntil.Before(now) {
		link.busyUntil = now
	}
	link.busyUntil = link.busyUntil.Add(time.Duration(size) * time.Second / time.Duration(link.bytesPerSecond))
	return link.busyUntil.Sub(now)
}

// commitSize returns the approximate size of a transaction on the wire in bytes.
func commitSize(tx platform.RowTransaction) int {
	size := rowOverhead * (len(tx.Preconditions) + len(tx.Deletes))
	for _, w := range tx.Writes {
		size += rowOverhead + len(w.Value)*4/3
	}
	return size
}

// wireSize returns the approximate size of rows in an answer in bytes.
func wireSize(rows []platform.VersionedRow) int {
	size := 0
	for _, row := range rows {
		size += rowOverhead + len(row.Value)*4/3
	}
	return size
}

// firstPage returns the first page of sorted rows within the store's limits, and whether there are further pages.
func firstPage(rows []platform.VersionedRow, limit int) ([]platform.VersionedRow, bool) {
	maxRows := pageRows
	if limit > 0 {
		maxRows = min(maxRows, limit)
	}
	size := 0
	for i, row := range rows {
		size += len(row.Value)
		if i == maxRows || (i > 0 && size > pageBytes) {
			return rows[:i], true
		}
	}
	return rows, false
}

// preload stores rows without announcing them in any feed, as if they were old.
func (s *fakeStore) preload(rows []platform.VersionedRow) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, row := range rows {
		s.version++
		row.Version = s.version
		s.rows[row.RowKey] = row
	}
}

func sortRows(rows []platform.VersionedRow) {
	slices.SortFunc(rows, func(a, b platform.VersionedRow) int { return strings.Compare(a.Key, b.Key) })
}
