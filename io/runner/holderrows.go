package runner

import (
	"strings"
	"time"

	"siskincross/io/platform"
)

// versionedHolder is a stored holder row with its version.
type versionedHolder struct {
	holderRow
	version uint64
	// ended is true once the holder is known to have ended.
	ended bool
	// forcedAt is the latest time of a takeover from a holder that may not have ended, by the local clock; zero if there
	// was none.
	forcedAt time.Time
}

// replacedBy returns the next state of a duty whose row was read or written at this time. A hand-over keeps the term,
// and is written by the earlier holder after its end. stated is the forcedAt that the row states: neither it nor what this
// process has seen is too early, so the earlier one holds.
func (v versionedHolder) replacedBy(row holderRow, version uint64, stated, now time.Time) versionedHolder {
	next := versionedHolder{holderRow: row, version: version, forcedAt: v.forcedAt}
	missed := v.version == 0 || row.Term > v.Term+1 // takeovers of which only the row tells
	if missed || (row.Term != v.Term && !v.hasEnded(row.Holder)) {
		next.forcedAt = now
	}
	if stated.Before(next.forcedAt) {
		next.forcedAt = stated
	}
	return next
}

// offered returns the state of a duty that its holder has ended and offers now. A holder whose row this process has not
// read may just have taken the duty from one that has not ended.
func (v versionedHolder) offered(row versionedHolder, now time.Time) versionedHolder {
	row.forcedAt = v.forcedAt
	if v.version != row.version {
		row.forcedAt = now
	}
	return row
}

// hasEnded reports whether the holder has certainly ended when this member holds the duty in its place. A process of the
// same entry host runs in the place of the earlier one.
func (v versionedHolder) hasEnded(successor string) bool {
	return v.ended || entryHostOf(successor) == entryHostOf(v.Holder)
}

// replaceHolder records a holder row that was read or written now, unless a newer one is known.
func (m *Manager) replaceHolder(name string, row holderRow, version uint64) {
	now := time.Now()
	stated := m.statedForcedAt(row, now)
	m.mu.Lock()
	defer m.mu.Unlock()
	if held := m.holderRows[name]; version > held.version {
		m.holderRows[name] = held.replacedBy(row, version, stated, now)
	}
}

// endAbsentHolders marks the holders that have ended because a read of all members lacks them. version is that of the read.
// A member writes its row before it takes a duty, so one that took a duty before the read had a row and has removed it.
func (m *Manager) endAbsentHolders(members []platform.VersionedRow, version uint64) {
	present := make(map[string]bool, len(members))
	for _, row := range members {
		present[strings.TrimPrefix(row.Key, memberPrefix)] = true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, held := range m.holderRows {
		if held.version <= version && !present[held.Holder] {
			held.ended = true
			m.holderRows[name] = held
		}
	}
}

// statedForcedAt returns the latest time of a takeover from a holder that may not have ended, as far as a row tells: now
// if it states none.
func (m *Manager) statedForcedAt(row holderRow, now time.Time) time.Time {
	clock, known := m.Rows.EstimateClock()
	switch {
	case row.ForcedMillis == nil, !known && *row.ForcedMillis != 0:
		return now
	case *row.ForcedMillis == 0:
		return time.Time{}
	}
	return now.Add(-max(0, clock-milliseconds(*row.ForcedMillis)))
}

// forcedMillis returns what the next holder row of a duty states about takeovers from holders that may not have ended. It
// is nil if the next takeover is one itself: the store may carry it out later than it is sent.
func (m *Manager) forcedMillis(held versionedHolder, successor string, now time.Time) *int64 {
	var millis int64
	if held.version == 0 {
		return &millis // the takeover fails unless it is the first one
	}
	clock, known := m.Rows.EstimateClock()
	switch {
	case !held.hasEnded(successor):
		return nil
	case held.forcedAt.IsZero():
		return &millis
	case !known:
		return nil
	}
	millis = max(1, (clock - now.Sub(held.forcedAt) + maxStoreTimeout).Milliseconds()) // the estimate may be behind by an answer's time
	return &millis
}
