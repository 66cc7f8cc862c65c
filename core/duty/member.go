// Package duty detects which entry hosts are live and decides which of them holds the duty of a pool, that is
// the exclusive responsibility for the decisions about it.
package duty

import (
	"sort"
	"time"

	"siskincross/core/host"
)

// Member is the value of the member row of an entry host. Only that entry host writes it.
type Member struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	// Capacity is the capacity available to the process of the member.
	Capacity Capacity `json:"capacity,omitzero"`
	// Leaving is set while the member shuts down. A leaving member gets no duties, and its row only tells which
	// rows it wrote last.
	Leaving bool `json:"leaving,omitempty"`
	// Heartbeats counts the writes of the row.
	Heartbeats uint64 `json:"beat"`
	// RowVersions maps pools to the versions of their rows that the member wrote or holds.
	RowVersions map[string]uint64 `json:"rows,omitempty"`
	// RouteVersions acknowledges, for the pools that have hosts out of service, the version of the pool's row
	// that the member routes by.
	RouteVersions map[string]uint64 `json:"routes,omitempty"`
	// InProgress counts the requests of the member that are in progress on hosts missing from all versions in
	// RouteVersions.
	InProgress map[host.ID]int `json:"busy,omitempty"`
	// Waiting names the organisations of which tasks wait in pools that the member holds, because other pools have been granted too much
	// of their limit.
	Waiting []string `json:"waiting,omitempty"`
}

// MemberRow is a member row as read by one poll.
type MemberRow struct {
	Member  Member
	Version uint64
}

// FailureDetector tells live members from failed ones by the changes of their rows. The zero value knows no
// members. FailureDetectors are immutable.
//
// A member lapses when the version of its row has not changed for the whole lease, measured by the clock of the
// observer. Only time in which the observer itself could read and write the table service counts, so that
// neither an outage of the service nor a pause of the observer makes members lapse.
type FailureDetector struct {
	// Lease is how long a row may stay unchanged.
	Lease   time.Duration
	records map[string]memberRecord
}

// memberRecord is what has been observed of one member.
type memberRecord struct {
	row MemberRow
	// sinceChange is the time for which the row has had this version.
	sinceChange time.Duration
	// liveFor is the time for which the member has been live without interruption.
	liveFor time.Duration
	// graceUsed is set when the member was granted a grace period, until its row changes.
	graceUsed bool
}

// WithPoll returns the detector after a poll that read all rows. The argument elapsed is the observed time
// since the previous poll.
func (d FailureDetector) WithPoll(rows []MemberRow, elapsed time.Duration) FailureDetector {
	records := make(map[string]memberRecord, len(rows))
	for _, row := range rows {
		name := row.Member.Name
		previous, known := d.records[name]
		next := memberRecord{row: row}
		if known && previous.sinceChange < d.Lease {
			next.liveFor = previous.liveFor + elapsed
		}
		if known && previous.row.Version == row.Version {
			next.sinceChange = previous.sinceChange + elapsed
			next.graceUsed = previous.graceUsed
		}
		records[name] = next
	}
	return FailureDetector{Lease: d.Lease, records: records}
}

// WithRenewalGrace returns the detector after its owner has regained access to the table service. If other
// members lost access too, they may renew their rows later than the owner. Each member that has not lapsed gets
// the allowed time to renew its row, at most once until the row changes.
func (d FailureDetector) WithRenewalGrace(allowed time.Duration) FailureDetector {
	records := make(map[string]memberRecord, len(d.records))
	for name, r := range d.records {
		if !r.graceUsed && r.sinceChange < d.Lease {
			r.sinceChange, r.graceUsed = min(r.sinceChange, max(0, d.Lease-allowed)), true
		}
		records[name] = r
	}
	return FailureDetector{Lease: d.Lease, records: records}
}

// Live returns the names of the members that have not lapsed and are not leaving, sorted.
func (d FailureDetector) Live() []string {
	return d.names(d.isLive)
}

// isLive reports whether a member has not lapsed and is not leaving.
func (d FailureDetector) isLive(r memberRecord) bool {
	return r.sinceChange < d.Lease && !r.row.Member.Leaving
}

// Lapsed returns the names of the members that have a row and have lapsed, sorted.
func (d FailureDetector) Lapsed() []string {
	return d.names(func(r memberRecord) bool { return r.sinceChange >= d.Lease })
}

// All returns the names of the members that have a row, sorted.
func (d FailureDetector) All() []string {
	return d.names(func(memberRecord) bool { return true })
}

// Established returns the names of the members that have been live for at least the duration, sorted.
func (d FailureDetector) Established(duration time.Duration) []string {
	return d.names(func(r memberRecord) bool { return d.isLive(r) && r.liveFor >= duration })
}

// Stable returns the names of the live members that have been live for at least the lease and whose rows
// changed less than maxAge ago, sorted.
func (d FailureDetector) Stable(maxAge time.Duration) []string {
	return d.names(func(r memberRecord) bool { return d.isLive(r) && r.liveFor >= d.Lease && r.sinceChange < maxAge })
}

// RenewedWithin returns the names of the live members whose rows changed less than the duration ago, sorted.
func (d FailureDetector) RenewedWithin(duration time.Duration) []string {
	return d.names(func(r memberRecord) bool { return d.isLive(r) && r.sinceChange < duration })
}

// SilentFor returns the names of the members whose rows have not changed for at least the duration, sorted.
func (d FailureDetector) SilentFor(duration time.Duration) []string {
	return d.names(func(r memberRecord) bool { return r.sinceChange >= duration })
}

// LapsedFor returns the names of the members that lapsed at least the duration ago, sorted.
func (d FailureDetector) LapsedFor(duration time.Duration) []string {
	return d.names(func(r memberRecord) bool { return r.sinceChange >= d.Lease+duration })
}

// Member returns the latest row of a member.
func (d FailureDetector) Member(name string) (MemberRow, bool) {
	r, ok := d.records[name]
	return r.row, ok
}

// names returns the names of the members whose records satisfy keep, sorted.
func (d FailureDetector) names(keep func(memberRecord) bool) []string {
	names := make([]string, 0, len(d.records))
	for name, r := range d.records {
		if keep(r) {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}
