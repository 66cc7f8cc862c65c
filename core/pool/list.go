package pool

import (
	"fmt"
	"time"

	"siskincross/core/host"
)

// ListedHost is one line of the platform's list of hosts.
type ListedHost struct {
	ID       host.ID
	Address  string
	Place    host.Place
	Capacity host.Capacity
	// HomePool is the pool that adopts the host at first sight.
	HomePool string
	// Live, Leaving and Failed give the condition; all false means that the host is restarting.
	Live, Leaving, Failed bool
	// BootCount counts the host's starts.
	BootCount int
}

// HostList is what successive readings of the platform's list told. The zero value
// has read nothing. Lists are immutable.
//
// A reading in which more than a third of the hosts are missing, or more than
// half of the live hosts are failed, is doubted: a fault of the list is
// likelier than the end of half of the fleet. Missing hosts of a doubted
// reading stay as they were for as long as the doubt lasts; a mass failure is
// believed after Doubt.
type HostList struct {
	// MassFailureDelay is how long a mass failure must be listed until it is believed.
	MassFailureDelay time.Duration
	entries          map[host.ID]entry
	// doubted is when the present doubt began; zero when there is none.
	doubted time.Time
	reason  string
	// listed counts the entries that are listed.
	listed int
	// unfit holds the listed hosts that are leaving or failed.
	unfit map[host.ID]bool
	// serial counts the readings that changed anything.
	serial int
}

type entry struct {
	line   ListedHost
	listed bool
	// since is when the list began to tell this of the host.
	since time.Time
}

// WithListing returns the list after one more reading at now.
func (l HostList) WithListing(lines []ListedHost, now time.Time) HostList {
	if l.repeats(lines) {
		return l
	}
	c := l.compare(lines)
	shrunken := 3*c.missing > c.listed
	collapsed := 2*c.collapsed > c.live
	next := HostList{MassFailureDelay: l.MassFailureDelay, entries: make(map[host.ID]entry, len(l.entries)), doubted: l.doubted}
	next.noteDoubt(shrunken, collapsed, c, now)
	believed := !collapsed || now.Sub(next.doubted) >= l.MassFailureDelay
	for id, e := range l.entries {
		next.entries[id] = e
	}
	seen := make(map[host.ID]bool, len(lines))
	for _, line := range lines {
		seen[line.ID] = true
		next.observe(line, believed, now)
	}
	if !shrunken {
		next.observeMissing(seen, now)
	}
	next.serial = l.serial + 1
	next.sum()
	return next
}

// repeats reports whether a reading tells nothing new. Only a sorted reading
// is recognised, because it names no host twice.
func (l HostList) repeats(lines []ListedHost) bool {
	if !l.doubted.IsZero() || len(lines) != l.listed || l.entries == nil {
		return false
	}
	for i, line := range lines {
		e, ok := l.entries[line.ID]
		if !ok || !e.listed || e.line != line || (i > 0 && line.ID <= lines[i-1].ID) {
			return false
		}
	}
	return true
}

func (l *HostList) sum() {
	l.unfit = make(map[host.ID]bool)
	for id, e := range l.entries {
		if !e.listed {
			continue
		}
		l.listed++
		if e.line.Leaving || e.line.Failed {
			l.unfit[id] = true
		}
	}
}

// Unhealthy returns the listed hosts that are leaving or failed. It must not be changed.
func (l HostList) Unhealthy() map[host.ID]bool { return l.unfit }

// Revision counts the readings that changed anything.
func (l HostList) Revision() int { return l.serial }

// DistrustReason returns why the newest reading was doubted, or "".
func (l HostList) DistrustReason() string { return l.reason }

// All calls yield for each listed host, in no order.
func (l HostList) All(yield func(ListedHost) bool) {
	for _, e := range l.entries {
		if e.listed && !yield(e.line) {
			return
		}
	}
}

// Observation returns what the list tells of a host. A host that was never listed has been missing since the first reading.
func (l HostList) Observation(id host.ID, started, now time.Time) Observation {
	e, ok := l.entries[id]
	if !ok {
		return Observation{UnchangedFor: now.Sub(started)}
	}
	s := Observation{Listed: e.listed, BootCount: e.line.BootCount, UnchangedFor: now.Sub(e.since)}
	if e.listed {
		s.Live, s.Leaving, s.Failed = e.line.Live, e.line.Leaving, e.line.Failed
	}
	return s
}

// comparison counts hosts of the list before a reading.
type comparison struct {
	listed, live int
	// missing hosts were listed and are not in the reading.
	missing int
	// collapsed hosts were live and are failed in the reading.
	collapsed int
}

func (l HostList) compare(lines []ListedHost) comparison {
	read := make(map[host.ID]ListedHost, len(lines))
	for _, line := range lines {
		read[line.ID] = line
	}
	var c comparison
	for id, e := range l.entries {
		if !e.listed {
			continue
		}
		line, ok := read[id]
		c.listed++
		if !ok {
			c.missing++
		}
		if e.line.Live {
			c.live++
		}
		if e.line.Live && line.Failed {
			c.collapsed++
		}
	}
	return c
}

func (l *HostList) noteDoubt(shrunken, collapsed bool, c comparison, now time.Time) {
	if !shrunken && !collapsed {
		l.doubted = time.Time{}
		return
	}
	if l.doubted.IsZero() {
		l.doubted = now
	}
	l.reason = fmt.Sprintf("%d of %d hosts are missing from the list at once", c.missing, c.listed)
	if !shrunken {
		l.reason = fmt.Sprintf("%d of %d live hosts are listed as failed at once", c.collapsed, c.live)
	}
}

func (l *HostList) observe(line ListedHost, believed bool, now time.Time) {
	e, ok := l.entries[line.ID]
	if ok && !believed && e.listed && e.line.Live && line.Failed {
		return
	}
	same := ok && e.listed && e.line.Live == line.Live && e.line.Leaving == line.Leaving && e.line.Failed == line.Failed
	if !same {
		e.since = now
	}
	e.line, e.listed = line, true
	l.entries[line.ID] = e
}

// longMissing is how long a missing host is remembered.
const longMissing = 24 * time.Hour

func (l *HostList) observeMissing(seen map[host.ID]bool, now time.Time) {
	for id, e := range l.entries {
		if seen[id] {
			continue
		}
		if e.listed {
			e.listed, e.since = false, now
			l.entries[id] = e
		}
		if now.Sub(e.since) >= longMissing {
			delete(l.entries, id)
		}
	}
}
