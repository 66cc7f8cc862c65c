package plan

import (
	"sort"
	"time"

	"siskincross/core/config"
	"siskincross/core/host"
	"siskincross/core/pool"
)

// Policy decides which hosts move between pools. Policies differ in the size that they give a pool and in how
// long a surplus must last before it is moved.
type Policy struct {
	Name string
	// Size returns the number of hosts in service that a pool needs. If it is nil, hosts never move.
	Size func(d Demand, slots int, deadline time.Duration) int
	// Payback is the cost that a surplus must have accrued before it is moved, as a multiple of the cost of a
	// move. Zero moves it at once.
	Payback float64
	// CoolDown is how long a host stays in a pool after a move.
	CoolDown time.Duration
	// Reserve is the number of hosts that a pool keeps in addition to its size, to cover one planned disruption
	// or failure.
	Reserve int
}

// Parameters of Absorbing.
const (
	defaultPayback = 2
	// waitShare is the fraction of a deadline that a request may spend waiting.
	waitShare = 0.8
)

// Static returns the policy that never moves a host.
func Static() Policy { return Policy{Name: "static"} }

// Reactive returns the policy that sizes each pool by its current load.
func Reactive() Policy {
	return Policy{Name: "reactive", Size: func(d Demand, slots int, _ time.Duration) int {
		return hostsFor(d.Last(), slots)
	}}
}

// PeakSized returns the policy that sizes each pool by its maximum load in the window.
func PeakSized() Policy {
	return Policy{Name: "peak-sized", Size: func(d Demand, slots int, _ time.Duration) int {
		return hostsFor(d.Peak(), slots)
	}}
}

// Absorbing returns the policy that sizes each pool so that no request of the window would have waited longer
// than its deadline allows. It moves a surplus only after the surplus has cost as much as the move and its
// reversal. Whatever the later demand, the moves then cost no more than the surplus did.
func Absorbing(coolDown time.Duration) Policy {
	return Policy{
		Name: "absorbing",
		Size: func(d Demand, slots int, deadline time.Duration) int {
			return d.MinHosts(slots, time.Duration(waitShare*float64(deadline)))
		},
		Payback:  defaultPayback,
		CoolDown: coolDown,
		Reserve:  1,
	}
}

// PoolView is the input of a policy for one pool.
type PoolView struct {
	Pool   pool.Pool
	Limits config.Pool
	// RequiredHosts is the number of hosts in service computed by Size.
	RequiredHosts int
	// SurplusDuration is how long the pool has continuously had more hosts than it needs.
	SurplusDuration time.Duration
}

// Move is a host to be drained and moved to another pool.
type Move struct {
	Host host.ID
	From string
	To   string
}

// poolBalance is the view of a pool with its target and expected sizes.
type poolBalance struct {
	PoolView
	// target is the number of hosts that the pool should have, within its limits.
	target int
	// size is the number of hosts that the pool will have when all current moves are complete.
	size int
}

// shortage returns the number of missing hosts; it is negative if there is a surplus.
func (b poolBalance) shortage() int { return b.target - b.size }

// DesiredHosts returns the number of hosts that a pool should have, within its limits.
func (p Policy) DesiredHosts(v PoolView) int {
	if p.Size == nil {
		return len(v.Pool.Hosts)
	}
	desired := max(v.RequiredHosts+p.Reserve, v.Limits.MinHosts)
	if v.Limits.MaxHosts > 0 {
		desired = min(desired, v.Limits.MaxHosts)
	}
	return desired
}

// HasSurplus reports whether a pool has more hosts than it should.
func (p Policy) HasSurplus(v PoolView) bool { return p.balance(v).shortage() < 0 }

// balance returns the view of a pool with its target and expected sizes.
func (p Policy) balance(v PoolView) poolBalance {
	size := len(v.Pool.Hosts) - v.Pool.OutboundCount() + len(v.Pool.Inbound)
	return poolBalance{PoolView: v, target: p.DesiredHosts(v), size: size}
}

// NextMoves returns the moves to start now: at most one out of each pool and one into each pool.
//
// Shortages are filled from the spare pool first, then from the pool with the largest surplus. A surplus that
// no pool needs moves to the spare pool once its cost covers the move. No pool, including the spare pool, gives
// away a host that it needs itself.
func (p Policy) NextMoves(views []PoolView, now time.Time) []Move {
	if p.Size == nil {
		return nil
	}
	balances := make([]poolBalance, 0, len(views))
	for _, v := range views {
		balances = append(balances, p.balance(v))
	}
	moves, used := p.fillShortages(balances, now)
	return append(moves, p.returnSurplus(balances, used, now)...)
}

// fillShortages returns moves into pools with a shortage, and the names of the pools that take part.
func (p Policy) fillShortages(balances []poolBalance, now time.Time) ([]Move, map[string]bool) {
	used := make(map[string]bool)
	var moves []Move
	for _, to := range byShortage(balances) {
		from, id, ok := p.donor(balances, to, used, now)
		if !ok {
			continue
		}
		used[from.Pool.Name], used[to.Pool.Name] = true, true
		moves = append(moves, Move{Host: id, From: from.Pool.Name, To: to.Pool.Name})
	}
	return moves, used
}

// byShortage returns the pools with a shortage, the largest shortage first.
func byShortage(balances []poolBalance) []poolBalance {
	var short []poolBalance
	for _, b := range balances {
		if b.shortage() > 0 && b.Pool.Name != "" {
			short = append(short, b)
		}
	}
	sort.SliceStable(short, func(i, j int) bool { return short[i].shortage() > short[j].shortage() })
	return short
}

// donor returns the pool that gives a host to another pool, and the host.
func (p Policy) donor(balances []poolBalance, to poolBalance, used map[string]bool, now time.Time) (poolBalance, host.ID, bool) {
	var best poolBalance
	var bestHost host.ID
	for _, b := range balances {
		if used[b.Pool.Name] || b.Pool.Name == to.Pool.Name || b.shortage() >= 0 {
			continue
		}
		id, ok := p.hostToMove(b, now)
		better := bestHost == "" || (b.Limits.Spare && !best.Limits.Spare) ||
			(b.Limits.Spare == best.Limits.Spare && b.shortage() < best.shortage())
		if ok && better {
			best, bestHost = b, id
		}
	}
	return best, bestHost, bestHost != ""
}

// returnSurplus returns a move of a surplus host to the spare pool, if one is due.
func (p Policy) returnSurplus(balances []poolBalance, used map[string]bool, now time.Time) []Move {
	spare, ok := sparePool(balances)
	if !ok || used[spare.Pool.Name] || !spare.acceptsHost() {
		return nil
	}
	for _, b := range balances {
		if b.Limits.Spare || used[b.Pool.Name] || b.shortage() >= 0 || !p.coversMoveCost(b, spare) {
			continue
		}
		if id, ok := p.hostToMove(b, now); ok {
			return []Move{{Host: id, From: b.Pool.Name, To: spare.Pool.Name}}
		}
	}
	return nil
}

// coversMoveCost reports whether the cost of a surplus has reached Payback moves. The cost is the difference
// between holding the host in its pool and in the spare pool.
func (p Policy) coversMoveCost(b, spare poolBalance) bool {
	saving := b.Limits.BufferWeight - spare.Limits.BufferWeight
	if p.Payback == 0 {
		return true
	}
	return saving > 0 && saving*b.SurplusDuration.Hours() >= p.Payback*b.Limits.MoveWeight
}

// acceptsHost reports whether the limits of the pool allow one more host.
func (b poolBalance) acceptsHost() bool { return b.Limits.MaxHosts == 0 || b.size < b.Limits.MaxHosts }

// sparePool returns the spare pool, if there is one.
func sparePool(balances []poolBalance) (poolBalance, bool) {
	for _, b := range balances {
		if b.Limits.Spare {
			return b, true
		}
	}
	return poolBalance{}, false
}

// hostToMove returns the host that a pool gives away: of the hosts in service that are not cooling down, the
// one whose last reboot was longest ago, because a move reboots it.
func (p Policy) hostToMove(b poolBalance, now time.Time) (host.ID, bool) {
	if b.Pool.CheckBudget(PlannedLimit(b.Pool, b.Limits)) != nil || b.size-1 < b.Limits.MinHosts {
		return "", false
	}
	var best pool.Host
	for _, h := range b.Pool.Hosts {
		cooling := !h.LastMoved.IsZero() && now.Sub(h.LastMoved) < p.CoolDown
		if h.State != host.Serving || cooling {
			continue
		}
		if best.ID == "" || h.LastMaintained.Before(best.LastMaintained) {
			best = h
		}
	}
	return best.ID, best.ID != ""
}
