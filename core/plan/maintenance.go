// Package plan decides which planned work to start: the maintenance of hosts
// and moves between pools. It also evaluates policies of moves side by side.
package plan

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"siskincross/core/config"
	"siskincross/core/host"
	"siskincross/core/pool"
)

// MaintenanceSchedule plans the reboot of every host once in Period.
//
// A host becomes due between earliestDue and latestDue of the period, at a
// share that its rack decides: the hosts of a rack are due together, and the
// racks of a pool one after another. The rest of the period is left for drains
// that take long and for pauses in waves of failures.
type MaintenanceSchedule struct {
	Period time.Duration
	// PerHost is the expected time of one drain and reboot.
	PerHost time.Duration
}

const (
	earliestDue = 0.6
	latestDue   = 0.8
	// reserveShare is the part of the period that a forecast must leave before the deadline.
	reserveShare = 0.1
	// retryShare is the part of the period for which a host is left alone after its drain was given up.
	retryShare = 0.02
	// perHostMargin multiplies PerHost in forecasts, for drains that wait and work that pauses.
	perHostMargin = 2
)

// EarliestStart returns when a host's maintenance may start.
func (m MaintenanceSchedule) EarliestStart(h pool.Host) time.Time {
	const shares = 1000
	share := float64(xxhash.Sum64String(h.Place.Zone+"/"+h.Place.Rack)%shares) / shares
	part := earliestDue + share*(latestDue-earliestDue)
	due := h.LastMaintained.Add(m.part(part))
	if retry := h.LastDrainAbandoned.Add(m.part(retryShare)); retry.After(due) {
		return retry
	}
	return due
}

func (m MaintenanceSchedule) part(share float64) time.Duration {
	return time.Duration(share * float64(m.Period))
}

// Deadline returns when a host's maintenance must be over.
func (m MaintenanceSchedule) Deadline(h pool.Host) time.Time { return h.LastMaintained.Add(m.Period) }

// NextHost returns the host of p whose maintenance should start now, if the budget
// has room for it and for one more failure.
//
// Hosts of a rack that already has a host out of service come first, so that
// planned work stays within one failure domain; then the rack that waited
// longest. The error is pool.ErrBudgetExceeded when a host is due and there is no room.
func (m MaintenanceSchedule) NextHost(p pool.Pool, limits config.Pool, now time.Time) (host.ID, bool, error) {
	due := m.due(p, now)
	if len(due) == 0 {
		return "", false, nil
	}
	allowed := PlannedLimit(p, limits)
	if m.BehindSchedule(p, limits, now) {
		allowed = limits.MaxUnavailable
	}
	if err := p.CheckBudget(allowed); err != nil {
		return "", false, err
	}
	return due[0].ID, true, nil
}

// BehindSchedule reports whether the pool would miss a deadline, less a reserve, if it
// went on with the work that its budget allows.
func (m MaintenanceSchedule) BehindSchedule(p pool.Pool, limits config.Pool, now time.Time) bool {
	waiting := make([]pool.Host, len(p.Hosts))
	copy(waiting, p.Hosts)
	sort.Slice(waiting, func(i, j int) bool { return waiting[i].LastMaintained.Before(waiting[j].LastMaintained) })
	atOnce := max(1, PlannedLimit(p, limits))
	reserve := m.part(reserveShare)
	for i, h := range waiting {
		if h.Work.Purpose != pool.PurposeNone {
			continue
		}
		start := now
		if due := m.EarliestStart(h); due.After(now) {
			start = due
		}
		finish := start.Add(time.Duration(i/atOnce+1) * perHostMargin * m.PerHost)
		if start.Equal(now) && finish.After(m.Deadline(h).Add(-reserve)) {
			return true
		}
	}
	return false
}

// due returns the serving hosts whose maintenance may start, the first to be done first.
func (m MaintenanceSchedule) due(p pool.Pool, now time.Time) []pool.Host {
	var due []pool.Host
	racks := make(map[host.Place]rackState)
	for _, h := range p.Hosts {
		racks[h.Place] = racks[h.Place].with(h)
		if h.State == host.Serving && !m.EarliestStart(h).After(now) {
			due = append(due, h)
		}
	}
	sort.Slice(due, func(i, j int) bool {
		a, b := racks[due[i].Place], racks[due[j].Place]
		if a.disrupted != b.disrupted {
			return a.disrupted
		}
		if !a.oldest.Equal(b.oldest) {
			return a.oldest.Before(b.oldest)
		}
		if due[i].Place != due[j].Place {
			return due[i].Place.Zone+due[i].Place.Rack < due[j].Place.Zone+due[j].Place.Rack
		}
		return due[i].ID < due[j].ID
	})
	return due
}

// rackState sums up a pool's hosts in one rack.
type rackState struct {
	disrupted bool
	oldest    time.Time
}

func (r rackState) with(h pool.Host) rackState {
	if r.oldest.IsZero() || h.LastMaintained.Before(r.oldest) {
		r.oldest = h.LastMaintained
	}
	r.disrupted = r.disrupted || h.State != host.Serving
	return r
}

// PlannedLimit returns how many hosts of p may be out of service after planned
// work starts, so that the budget holds when one more failure domain is lost:
// a rack where the budget is larger than a rack, else one host. A budget of one
// has no reserve.
func PlannedLimit(p pool.Pool, limits config.Pool) int {
	largest := largestRack(p)
	switch {
	case limits.MaxUnavailable > largest:
		return limits.MaxUnavailable - largest
	case limits.MaxUnavailable > 1:
		return limits.MaxUnavailable - 1
	}
	return limits.MaxUnavailable
}

// Headroom says which loss the budget of a pool bears besides one planned disruption.
func Headroom(p pool.Pool, limits config.Pool) string {
	switch {
	case limits.MaxUnavailable > largestRack(p):
		return "rack"
	case limits.MaxUnavailable > 1:
		return "host"
	}
	return "none"
}

// largestRack returns the most hosts in service that p has in one rack.
func largestRack(p pool.Pool) int {
	largest := 0
	counts := make(map[host.Place]int)
	for _, h := range p.Hosts {
		if h.State == host.Serving {
			counts[h.Place]++
			largest = max(largest, counts[h.Place])
		}
	}
	return largest
}
