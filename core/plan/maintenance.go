// Package plan decides which planned work to start: the maintenance of hosts and their moves between pools. It
// also evaluates policies for moves.
package plan

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"siskincross/core/config"
	"siskincross/core/host"
	"siskincross/core/pool"
)

// MaintenanceSchedule plans one reboot of every host per Period.
//
// A host becomes due between earliestDue and latestDue of the period, at a time that depends on its rack: the
// hosts of a rack become due together, and the racks of a pool one after another. The rest of the period is a
// margin for long drains and for pauses during mass failures.
type MaintenanceSchedule struct {
	Period time.Duration
	// PerHost is the expected duration of one drain and reboot.
	PerHost time.Duration
}

// Fractions of the period, and the margin of forecasts.
const (
	earliestDue = 0.6
	latestDue   = 0.8
	// reserveShare is the fraction of the period that a forecast must leave before the deadline.
	reserveShare = 0.1
	// retryShare is the fraction of the period for which a host is not drained again after its drain was
	// abandoned.
	retryShare = 0.02
	// perHostMargin multiplies PerHost in forecasts, to allow for drains that wait and for pauses.
	perHostMargin = 2
)

// EarliestStart returns the time at which the maintenance of a host becomes due.
func (m MaintenanceSchedule) EarliestStart(h pool.Host) time.Time {
	const shares = 1000
	share := float64(xxhash.Sum64String(h.Place.Zone+"/"+h.Place.Rack)%shares) / shares
	part := earliestDue + share*(latestDue-earliestDue)
	due := h.LastMaintained.Add(m.fraction(part))
	if retry := h.LastDrainAbandoned.Add(m.fraction(retryShare)); retry.After(due) {
		return retry
	}
	return due
}

// fraction returns a fraction of the period.
func (m MaintenanceSchedule) fraction(share float64) time.Duration {
	return time.Duration(share * float64(m.Period))
}

// Deadline returns the time by which the maintenance of a host must be complete.
func (m MaintenanceSchedule) Deadline(h pool.Host) time.Time { return h.LastMaintained.Add(m.Period) }

// NextHost returns the host of p whose maintenance should start now, if the budget allows it and one more
// failure.
//
// Hosts in a rack that already has a host out of service come first, so that planned work stays within one
// failure domain. Next is the rack that has waited longest. The error is pool.ErrBudgetExceeded if a host is
// due and the budget does not allow it.
func (m MaintenanceSchedule) NextHost(p pool.Pool, limits config.Pool, now time.Time) (host.ID, bool, error) {
	due := m.dueHosts(p, now)
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

// BehindSchedule reports whether the pool is forecast to miss a deadline, less a reserve, at the pace that its
// budget allows.
func (m MaintenanceSchedule) BehindSchedule(p pool.Pool, limits config.Pool, now time.Time) bool {
	waiting := make([]pool.Host, len(p.Hosts))
	copy(waiting, p.Hosts)
	sort.Slice(waiting, func(i, j int) bool { return waiting[i].LastMaintained.Before(waiting[j].LastMaintained) })
	concurrent := max(1, PlannedLimit(p, limits))
	reserve := m.fraction(reserveShare)
	for i, h := range waiting {
		if h.Work.Purpose != pool.PurposeNone {
			continue
		}
		start := now
		if due := m.EarliestStart(h); due.After(now) {
			start = due
		}
		finish := start.Add(time.Duration(i/concurrent+1) * perHostMargin * m.PerHost)
		if start.Equal(now) && finish.After(m.Deadline(h).Add(-reserve)) {
			return true
		}
	}
	return false
}

// dueHosts returns the hosts in service whose maintenance is due, in the order in which to maintain them.
func (m MaintenanceSchedule) dueHosts(p pool.Pool, now time.Time) []pool.Host {
	var due []pool.Host
	racks := make(map[host.Place]rackState)
	for _, h := range p.Hosts {
		racks[h.Place] = racks[h.Place].withHost(h)
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

// rackState summarises the hosts of a pool in one rack.
type rackState struct {
	// disrupted is set if a host is out of service.
	disrupted bool
	// oldest is the earliest last maintenance of a host.
	oldest time.Time
}

// withHost returns the state with another host of the rack included.
func (r rackState) withHost(h pool.Host) rackState {
	if r.oldest.IsZero() || h.LastMaintained.Before(r.oldest) {
		r.oldest = h.LastMaintained
	}
	r.disrupted = r.disrupted || h.State != host.Serving
	return r
}

// PlannedLimit returns the number of hosts of p that may be out of service once planned work has started, so
// that the budget still covers the loss of one more failure domain: a rack if the budget is larger than a rack,
// otherwise one host. A budget of one has no reserve.
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

// Headroom returns the loss that the budget of a pool covers in addition to one planned disruption: "rack",
// "host" or "none".
func Headroom(p pool.Pool, limits config.Pool) string {
	switch {
	case limits.MaxUnavailable > largestRack(p):
		return "rack"
	case limits.MaxUnavailable > 1:
		return "host"
	}
	return "none"
}

// largestRack returns the maximum number of hosts in service that p has in one rack.
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
