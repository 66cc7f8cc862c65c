package runner_test

import (
	"context"
	"slices"
	"strings"
	"time"

	"siskincross/io/platform"
)

// Bounds of the store's pages.
const (
	pageRows  = 500
	pageBytes = 1 << 20
	// rowOverhead is what a row's names and version add to its value on the wire, in bytes.
	rowOverhead = 130
	// linkChunk is how many bytes of an answer come at once.
	linkChunk = 16 << 10
)

// fakeLink is an entry host's link in one direction: what its calls carry there shares the bandwidth.
type fakeLink struct {
	bytesPerSecond int
	busyUntil      time.Time
}

// limitBandwidth has the answers to all entry hosts come over links of a bandwidth from now on, and their transactions go over such.
func (s *fakeStore) limitBandwidth(bytesPerSecond int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.links, s.bandwidth = make(map[string]*fakeLink), bytesPerSecond
}

// dropPages has each so many pages that a takeover reads be lost on its way.
func (s *fakeStore) dropPages(every int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.losePageEvery = every
}

// dropsPage reports whether the answer to a reading is lost.
func (s *fakeStore) dropsPage(q platform.RangeQuery) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.losePageEvery == 0 || q.Purpose != "takeover" {
		return false
	}
	s.takeoverPages++
	return s.takeoverPages%s.losePageEvery == 0
}

// transfer plays the way of an answer to an entry host.
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

// reserve takes up the entry host's link for some bytes, and returns how long it takes until they are there.
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

// commitSize is about how many bytes a transaction takes on its way.
func commitSize(c platform.RowTransaction) int {
	size := rowOverhead * (len(c.Preconditions) + len(c.Deletes))
	for _, w := range c.Writes {
		size += rowOverhead + len(w.Value)*4/3
	}
	return size
}

// wireSize is about how many bytes rows take in an answer.
func wireSize(rows []platform.VersionedRow) int {
	size := 0
	for _, row := range rows {
		size += rowOverhead + len(row.Value)*4/3
	}
	return size
}

// firstPage returns the first page of sorted rows, as the store bounds it.
func firstPage(rows []platform.VersionedRow, limit int) ([]platform.VersionedRow, bool) {
	most := pageRows
	if limit > 0 {
		most = min(most, limit)
	}
	size := 0
	for i, row := range rows {
		size += len(row.Value)
		if i == most || (i > 0 && size > pageBytes) {
			return rows[:i], true
		}
	}
	return rows, false
}

// preload stores rows as if they had been there for long: no feed tells of them.
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
