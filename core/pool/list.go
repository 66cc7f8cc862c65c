package pool

import (
	"fmt"
	"time"

	"siskincross/core/host"
)

// ListedHost is one host in the list of the platform.
type ListedHost struct {
	ID       host.ID
	Address  string
	Place    host.Place
	Capacity host.Capacity
	// HomePool is the pool that adopts the host when it is first listed.
	HomePool string
	// Live, Leaving and Failed are the condition of the host. If none is set, the host is restarting.
	Live, Leaving, Failed bool
	// BootCount is the number of starts of the host.
	BootCount int
}

// HostList accumulates successive readings of the platform's list of hosts. The zero value has no readings.
// HostLists are immutable.
//
// A reading is distrusted if more than a third of the hosts are missing from it, or if more than half of the
// live hosts are listed as failed: an error in the list is more likely than the loss of half of the fleet.
// Hosts missing from a distrusted reading keep their previous condition while the distrust lasts. A mass
// failure is accepted once it has been listed for MassFailureDelay.
type HostList struct {
	// MassFailureDelay is how long a mass failure must be listed before it is accepted.
	MassFailureDelay time.Duration
	entries          map[host.ID]entry
	// distrustedSince is when the current distrust began; zero if the list is trusted.
	distrustedSince time.Time
	distrustReason  string
	// listedCount is the number of entries that are listed.
	listedCount int
	// unhealthy holds the listed hosts that are leaving or failed.
	unhealthy map[host.ID]bool
	// revision is the number of readings that changed the list.
	revision int
}

// entry is the accumulated state of one host.
type entry struct {
	host   ListedHost
	listed bool
	// since is when the list began to report the current condition of the host.
	since time.Time
}

// WithListing returns the list after another reading at time now.
func (l HostList) WithListing(hosts []ListedHost, now time.Time) HostList {
	if l.unchangedBy(hosts) {
		return l
	}
	c := l.compare(hosts)
	tooManyMissing := 3*c.missing > c.listed
	massFailure := 2*c.newlyFailed > c.live
	next := HostList{MassFailureDelay: l.MassFailureDelay, entries: make(map[host.ID]entry, len(l.entries)), distrustedSince: l.distrustedSince}
	next.updateDistrust(tooManyMissing, massFailure, c, now)
	acceptFailures := !massFailure || now.Sub(next.distrustedSince) >= l.MassFailureDelay
	for id, e := range l.entries {
		next.entries[id] = e
	}
	seen := make(map[host.ID]bool, len(hosts))
	for _, h := range hosts {
		seen[h.ID] = true
		next.recordHost(h, acceptFailures, now)
	}
	if !tooManyMissing {
		next.recordMissing(seen, now)
	}
	next.revision = l.revision + 1
	next.summarise()
	return next
}

// unchangedBy reports whether a reading equals the list. Only sorted readings are compared, because sorting
// excludes duplicates.
func (l HostList) unchangedBy(hosts []ListedHost) bool {
	if !l.distrustedSince.IsZero() || len(hosts) != l.listedCount || l.entries == nil {
		return false
	}
	for i, h := range hosts {
		e, ok := l.entries[h.ID]
		if !ok || !e.listed || e.host != h || (i > 0 && h.ID <= hosts[i-1].ID) {
			return false
		}
	}
	return true
}

// summarise computes the values derived from the entries.
func (l *HostList) summarise() {
	l.unhealthy = make(map[host.ID]bool)
	for id, e := range l.entries {
		if !e.listed {
			continue
		}
		l.listedCount++
		if e.host.Leaving || e.host.Failed {
			l.unhealthy[id] = true
		}
	}
}

// Unhealthy returns the listed hosts that are leaving or failed. The map must not be modified.
func (l HostList) Unhealthy() map[host.ID]bool { return l.unhealthy }

// Revision returns the number of readings that changed the list.
func (l HostList) Revision() int { return l.revision }

// DistrustReason returns why the latest reading was distrusted, or "".
func (l HostList) DistrustReason() string { return l.distrustReason }

// All calls yield for each listed host, in no particular order.
func (l HostList) All(yield func(ListedHost) bool) {
	for _, e := range l.entries {
		if e.listed && !yield(e.host) {
			return
		}
	}
}

// Observation returns the observed condition of a host. A host that was never listed counts as missing since
// started.
func (l HostList) Observation(id host.ID, started, now time.Time) Observation {
	e, ok := l.entries[id]
	if !ok {
		return Observation{UnchangedFor: now.Sub(started)}
	}
	o := Observation{Listed: e.listed, BootCount: e.host.BootCount, UnchangedFor: now.Sub(e.since)}
	if e.listed {
		o.Live, o.Leaving, o.Failed = e.host.Live, e.host.Leaving, e.host.Failed
	}
	return o
}

// comparison counts the differences between the list and a reading.
type comparison struct {
	// listed and live are the numbers of listed hosts and of live ones before the reading.
	listed, live int
	// missing is the number of listed hosts that are not in the reading.
	missing int
	// newlyFailed is the number of live hosts that are failed in the reading.
	newlyFailed int
}

// compare counts the differences between the list and a reading.
func (l HostList) compare(hosts []ListedHost) comparison {
	read := make(map[host.ID]ListedHost, len(hosts))
	for _, h := range hosts {
		read[h.ID] = h
	}
	var c comparison
	for id, e := range l.entries {
		if !e.listed {
			continue
		}
		h, ok := read[id]
		c.listed++
		if !ok {
			c.missing++
		}
		if e.host.Live {
			c.live++
		}
		if e.host.Live && h.Failed {
			c.newlyFailed++
		}
	}
	return c
}

// updateDistrust records whether and why the reading is distrusted.
func (l *HostList) updateDistrust(tooManyMissing, massFailure bool, c comparison, now time.Time) {
	if !tooManyMissing && !massFailure {
		l.distrustedSince = time.Time{}
		return
	}
	if l.distrustedSince.IsZero() {
		l.distrustedSince = now
	}
	l.distrustReason = fmt.Sprintf("%d of %d hosts are missing from the list at once", c.missing, c.listed)
	if !tooManyMissing {
		l.distrustReason = fmt.Sprintf("%d of %d live hosts are listed as failed at once", c.newlyFailed, c.live)
	}
}

// recordHost records a host of a reading. A failure is recorded only if failures are accepted.
func (l *HostList) recordHost(h ListedHost, acceptFailures bool, now time.Time) {
	e, ok := l.entries[h.ID]
	if ok && !acceptFailures && e.listed && e.host.Live && h.Failed {
		return
	}
	same := ok && e.listed && e.host.Live == h.Live && e.host.Leaving == h.Leaving && e.host.Failed == h.Failed
	if !same {
		e.since = now
	}
	e.host, e.listed = h, true
	l.entries[h.ID] = e
}

// missingRetention is how long the entry of a missing host is kept.
const missingRetention = 24 * time.Hour

// recordMissing records the hosts that are not in a reading as missing.
func (l *HostList) recordMissing(seen map[host.ID]bool, now time.Time) {
	for id, e := range l.entries {
		if seen[id] {
			continue
		}
		if e.listed {
			e.listed, e.since = false, now
			l.entries[id] = e
		}
		if now.Sub(e.since) >= missingRetention {
			delete(l.entries, id)
		}
	}
}
