package runner

import "time"

// suspensionTolerance is the growth of the total suspended time up to which a machine counts as not suspended, since two clocks can't
// be read at once.
const suspensionTolerance = 20 * time.Millisecond

// suspension is what a process knows of the suspensions of its machine. The zero value knows of none.
type suspension struct {
	// total is the total suspended time when it was first read or when the last suspension was noticed, and read is true once it was
	// read.
	total time.Duration
	read  bool
	// noticedAt is when the last suspension was noticed; zero if there was none.
	noticedAt time.Time
}

// forget returns the zero time for a time before the last suspension was noticed: what was known then may have changed long ago.
func (s *suspension) forget(t time.Time) time.Time {
	if t.Before(s.noticedAt) {
		return time.Time{}
	}
	return t
}

// outdatedSnapshot is the time of a snapshot that is too old for anything.
var outdatedSnapshot = time.Unix(0, 0)

// forgetSnapshot is forget for the time of a snapshot. The zero time would mean that its age doesn't matter.
func (s *suspension) forgetSnapshot(t time.Time) time.Time {
	if t.Before(s.noticedAt) {
		return outdatedSnapshot
	}
	return t
}

// noticeSuspension finds out whether this machine was suspended since the last call. Answers to calls that began before, and times that
// were taken before, then prove nothing any more.
func (m *Manager) noticeSuspension() {
	if m.SuspendedTime == nil {
		return
	}
	total := m.SuspendedTime()
	m.mu.Lock()
	defer m.mu.Unlock()
	s := &m.suspension
	suspended := s.read && total-s.total > suspensionTolerance
	if !s.read || suspended {
		s.total, s.read = total, true
	}
	if !suspended {
		return
	}
	s.noticedAt = time.Now()
	m.heartbeatAt, m.fleetReadAt, m.echoAt = time.Time{}, time.Time{}, time.Time{}
	clear(m.storeSilences)
}
