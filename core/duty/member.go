// Package duty decides which entry hosts are alive and which of them holds the
// duty of a pool.
package duty

import (
	"sort"
	"time"

	"siskincross/core/host"
)

// Member is the value of an entry host's member row. Only that entry host writes it.
type Member struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	// Capacity is what the member's process may use.
	Capacity Capacity `json:"capacity,omitzero"`
	// Leaving members are about to end. They get no duties, and the row only tells
	// which rows they wrote last.
	Leaving bool `json:"leaving,omitempty"`
	// Heartbeats counts the writes of the row.
	Heartbeats uint64 `json:"beat"`
	// RowVersions holds the versions of the pools' rows that the member wrote or holds, by pool.
	RowVersions map[string]uint64 `json:"rows,omitempty"`
	// RouteVersions acknowledges the version of each pool's row that the member routes
	// by, for the pools that have hosts out of service.
	RouteVersions map[string]uint64 `json:"routes,omitempty"`
	// InProgress counts the member's own requests in progress on hosts that no version in Routes has.
	InProgress map[host.ID]int `json:"busy,omitempty"`
}

// MemberRow is one member row of one poll.
type MemberRow struct {
	Member  Member
	Version uint64
}

// FailureDetector judges members by what its owner has observed. The zero value has
// seen nobody. Ledgers are immutable.
//
// A member lapses when its row's version has not changed for the whole lease
// by the observer's own clock. Only time in which the observer itself could
// read and write the table service counts, so that an outage of the service or
// a pause of the observer lapses nobody.
type FailureDetector struct {
	// Lease is how long a row may stay unchanged.
	Lease   time.Duration
	records map[string]record
}

type record struct {
	sighting MemberRow
	// unchanged is how long the row has had this version.
	unchanged time.Duration
	// observed is how long the member has been live without a break.
	observed time.Duration
	// spared is true once the row's age was forgiven, until it changes.
	spared bool
}

// WithPoll returns the ledger after a poll that saw all rows, elapsed after the one before.
func (l FailureDetector) WithPoll(rows []MemberRow, elapsed time.Duration) FailureDetector {
	records := make(map[string]record, len(rows))
	for _, row := range rows {
		name := row.Member.Name
		previous, known := l.records[name]
		next := record{sighting: row}
		if known && previous.unchanged < l.Lease {
			next.observed = previous.observed + elapsed
		}
		if known && previous.sighting.Version == row.Version {
			next.unchanged = previous.unchanged + elapsed
			next.spared = previous.spared
		}
		records[name] = next
	}
	return FailureDetector{Lease: l.Lease, records: records}
}

// WithRenewalGrace returns the ledger after its owner was cut off from the table service and is back: if others were cut off too, their
// renewals may come later than its own. Each member that has not lapsed gets a time to renew its row, once until it does.
func (l FailureDetector) WithRenewalGrace(allowed time.Duration) FailureDetector {
	records := make(map[string]record, len(l.records))
	for name, r := range l.records {
		if !r.spared && r.unchanged < l.Lease {
			r.unchanged, r.spared = min(r.unchanged, max(0, l.Lease-allowed)), true
		}
		records[name] = r
	}
	return FailureDetector{Lease: l.Lease, records: records}
}

// Live returns the names of the members that have not lapsed and are not leaving, sorted.
func (l FailureDetector) Live() []string {
	return l.names(l.isLive)
}

func (l FailureDetector) isLive(r record) bool {
	return r.unchanged < l.Lease && !r.sighting.Member.Leaving
}

// Lapsed returns the names of the members whose rows are there and lapsed, sorted.
func (l FailureDetector) Lapsed() []string {
	return l.names(func(r record) bool { return r.unchanged >= l.Lease })
}

// All returns the names of the members whose rows are there, sorted.
func (l FailureDetector) All() []string {
	return l.names(func(record) bool { return true })
}

// Established returns the names of the live members that have been observed for at least d, sorted.
func (l FailureDetector) Established(d time.Duration) []string {
	return l.names(func(r record) bool { return l.isLive(r) && r.observed >= d })
}

// Stable returns the names of the live members that have been observed for at least the lease and whose rows changed less than
// fresh ago, sorted.
func (l FailureDetector) Stable(fresh time.Duration) []string {
	return l.names(func(r record) bool { return l.isLive(r) && r.observed >= l.Lease && r.unchanged < fresh })
}

// RenewedWithin returns the names of the live members whose rows changed less than d ago, sorted.
func (l FailureDetector) RenewedWithin(d time.Duration) []string {
	return l.names(func(r record) bool { return l.isLive(r) && r.unchanged < d })
}

// LapsedFor returns the names of the members that lapsed at least d ago, sorted.
func (l FailureDetector) LapsedFor(d time.Duration) []string {
	return l.names(func(r record) bool { return r.unchanged >= l.Lease+d })
}

// Member returns the newest row of a member.
func (l FailureDetector) Member(name string) (MemberRow, bool) {
	r, ok := l.records[name]
	return r.sighting, ok
}

func (l FailureDetector) names(keep func(record) bool) []string {
	names := make([]string, 0, len(l.records))
	for name, r := range l.records {
		if keep(r) {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}
