package pool

import (
	"fmt"
	"time"

	"siskincross/core/config"
	"siskincross/core/host"
)

// ErrSizeLimit is returned when a move would violate the minimum or maximum size of a pool.
type ErrSizeLimit struct {
	Pool  string
	Hosts int
	Min   int
	Max   int
}

// Error implements error.
func (e ErrSizeLimit) Error() string {
	return fmt.Sprintf("pool %s would have %d hosts, outside its limits of %d to %d", e.Pool, e.Hosts, e.Min, e.Max)
}

// OutboundCount returns the number of hosts that p drains for other pools.
func (p Pool) OutboundCount() int {
	n := 0
	for _, h := range p.Hosts {
		if h.Work.Purpose == PurposeMove {
			n++
		}
	}
	return n
}

// StartMove starts to drain a host of from, within the budget of that pool, and adds the host to the inbound
// hosts of to. The caller commits both rows in one transaction.
func StartMove(from, to Pool, id host.ID, operation string, limits, toLimits config.Pool, now time.Time) (Pool, Pool, error) {
	if left := len(from.Hosts) - from.OutboundCount() - 1; left < limits.MinHosts {
		return from, to, ErrSizeLimit{Pool: from.Name, Hosts: left, Min: limits.MinHosts, Max: limits.MaxHosts}
	}
	if size := len(to.Hosts) + len(to.Inbound) + 1; toLimits.MaxHosts > 0 && size > toLimits.MaxHosts {
		return from, to, ErrSizeLimit{Pool: to.Name, Hosts: size, Min: toLimits.MinHosts, Max: toLimits.MaxHosts}
	}
	work := PlannedWork{Purpose: PurposeMove, Operation: operation, Destination: to.Name}
	drained, err := from.WithPlannedWork(id, work, limits.MaxUnavailable, now)
	if err != nil {
		return from, to, err
	}
	return drained, to.withInbound(Inbound{Host: id, From: from.Name}), nil
}

// FinishMove moves a rebooted host from the row of one pool to that of another. The caller commits both rows
// and the host's own row, which is returned, in one transaction.
func FinishMove(from, to Pool, id host.ID, now time.Time) (Pool, Pool, Ownership, error) {
	h, ok := from.Host(id)
	if !ok {
		return from, to, Ownership{}, ErrHostNotFound{Pool: from.Name, Host: id}
	}
	left, err := from.WithHostEvent(id, host.Move, "", now)
	if err != nil {
		return from, to, Ownership{}, err
	}
	h.State, h.StateSince, h.LastMoved = host.Serving, now, now
	h.Reason = "moved from " + from.Name
	h.Work = PlannedWork{}
	h.Generation++
	return left, to.WithHost(h).WithoutInbound(id), Ownership{Pool: to.Name, Generation: h.Generation}, nil
}

// WithAdoptedHost returns p with a host that has not been in any pool before, and the host's own row.
func (p Pool) WithAdoptedHost(h Host, now time.Time) (Pool, Ownership) {
	h.State, h.StateSince, h.LastMaintained, h.Generation = host.Serving, now, now, 1
	h.Reason = "adopted from the platform's list"
	return p.WithHost(h), Ownership{Pool: p.Name, Generation: 1}
}
