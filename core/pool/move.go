package pool

import (
	"fmt"
	"time"

	"siskincross/core/config"
	"siskincross/core/host"
)

// ErrBounds is returned when a move would break a pool's bounds of size.
type ErrBounds struct {
	Pool  string
	Hosts int
	Min   int
	Max   int
}

// Error implements error.
func (e ErrBounds) Error() string {
	return fmt.Sprintf("pool %s would have %d hosts, its bounds are %d to %d", e.Pool, e.Hosts, e.Min, e.Max)
}

// Outbound counts the hosts that p drains for other pools.
func (p Pool) Outbound() int {
	n := 0
	for _, h := range p.Hosts {
		if h.Work.Purpose == PurposeMove {
			n++
		}
	}
	return n
}

// StartMove takes a disruption from the budget of from and announces the host
// to to. Both rows are to be committed in one transaction.
func StartMove(from, to Pool, id host.ID, operation string, limits, toLimits config.Pool, now time.Time) (Pool, Pool, error) {
	if left := len(from.Hosts) - from.Outbound() - 1; left < limits.MinHosts {
		return from, to, ErrBounds{Pool: from.Name, Hosts: left, Min: limits.MinHosts, Max: limits.MaxHosts}
	}
	if size := len(to.Hosts) + len(to.Inbound) + 1; toLimits.MaxHosts > 0 && size > toLimits.MaxHosts {
		return from, to, ErrBounds{Pool: to.Name, Hosts: size, Min: toLimits.MinHosts, Max: toLimits.MaxHosts}
	}
	work := Work{Purpose: PurposeMove, Operation: operation, Destination: to.Name}
	drained, err := from.WithWork(id, work, limits.MaxUnavailable, now)
	if err != nil {
		return from, to, err
	}
	return drained, to.withInbound(Inbound{Host: id, From: from.Name}), nil
}

// FinishMove puts a rebooted host from one pool's row into another's. Both rows
// and the host's own row, which is returned, are to be committed in one transaction.
func FinishMove(from, to Pool, id host.ID, now time.Time) (Pool, Pool, Ownership, error) {
	h, ok := from.Host(id)
	if !ok {
		return from, to, Ownership{}, ErrAbsent{Pool: from.Name, Host: id}
	}
	left, err := from.WithEvent(id, host.Move, "", now)
	if err != nil {
		return from, to, Ownership{}, err
	}
	h.State, h.Since, h.Moved = host.Serving, now, now
	h.Reason = "moved from " + from.Name
	h.Work = Work{}
	h.Generation++
	return left, to.WithHost(h).WithoutInbound(id), Ownership{Pool: to.Name, Generation: h.Generation}, nil
}

// WithAdopted returns p with a host that no pool has had before, and the host's own row.
func (p Pool) WithAdopted(h Host, now time.Time) (Pool, Ownership) {
	h.State, h.Since, h.Maintained, h.Generation = host.Serving, now, now, 1
	h.Reason = "adopted from the platform's list"
	return p.WithHost(h), Ownership{Pool: p.Name, Generation: 1}
}
