package plan

import (
	"sort"
	"time"

	"siskincross/core/config"
	"siskincross/core/host"
	"siskincross/core/pool"
)

// Policy decides which hosts move between pools. Policies differ in how they
// size a pool and in how long a surplus must last until it is moved.
type Policy struct {
	Name string
	// Size returns how many hosts in service a pool needs; nil means that hosts never move.
	Size func(d Demand, slots int, deadline time.Duration) int
	// Payback is how many times the cost of a move the surplus must have cost before it moves; zero moves it at once.
	Payback float64
	// CoolDown is how long a host stays in a pool that it moved to.
	CoolDown time.Duration
	// Reserve is the number of hosts that a pool keeps beyond its size for one planned disruption or failure.
	Reserve int
}

// Policies of moves.
const (
	defaultPayback = 2
	// waitShare is the part of a deadline that work may spend waiting.
	waitShare = 0.8
)

// Static never moves a host.
func Static() Policy { return Policy{Name: "static"} }

// Reactive sizes every pool by its load of the moment.
func Reactive() Policy {
	return Policy{Name: "reactive", Size: func(d Demand, slots int, _ time.Duration) int {
		return hostsFor(d.Last(), slots)
	}}
}

// PeakSized sizes every pool by the highest load of the window.
func PeakSized() Policy {
	return Policy{Name: "peak-sized", Size: func(d Demand, slots int, _ time.Duration) int {
		return hostsFor(d.Peak(), slots)
	}}
}

// Absorbing sizes every pool so that its peaks wait no longer than the deadline
// allows, and moves a surplus only after it cost as much as the move and its
// reversal: whatever comes next, the moves cost no more than the surplus did.
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

// PoolView is what a policy knows of one pool.
type PoolView struct {
	Pool   pool.Pool
	Limits config.Pool
	// RequiredHosts is the number of hosts in service that the policy's Size gave.
	RequiredHosts int
	// SurplusDuration is how long the pool has had more hosts than it needs, without a break.
	SurplusDuration time.Duration
}

// Move is one host to be drained for another pool.
type Move struct {
	Host host.ID
	From string
	To   string
}

// need is a pool's view with the size that a policy gives it.
type need struct {
	PoolView
	// desired is the number of hosts that the pool should have, within its bounds.
	desired int
	// size counts the hosts that the pool will have when all moves under way are over.
	size int
}

func (n need) shortage() int { return n.desired - n.size }

// DesiredHosts returns how many hosts a pool should have, within its bounds.
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
func (p Policy) HasSurplus(v PoolView) bool { return p.need(v).shortage() < 0 }

func (p Policy) need(v PoolView) need {
	size := len(v.Pool.Hosts) - v.Pool.OutboundCount() + len(v.Pool.Inbound)
	return need{PoolView: v, desired: p.DesiredHosts(v), size: size}
}

// NextMoves returns the moves to start now: at most one from each pool and one to each pool.
//
// Shortages are filled from the spare pool first and from the largest surplus
// after it. A surplus that nobody needs goes to the spare pool once it cost
// enough. A pool never gives a host that it needs itself, and the spare pool
// is no exception.
func (p Policy) NextMoves(views []PoolView, now time.Time) []Move {
	if p.Size == nil {
		return nil
	}
	needs := make([]need, 0, len(views))
	for _, v := range views {
		needs = append(needs, p.need(v))
	}
	moves, used := p.fillShortages(needs, now)
	return append(moves, p.returnSurplus(needs, used, now)...)
}

func (p Policy) fillShortages(needs []need, now time.Time) ([]Move, map[string]bool) {
	used := make(map[string]bool)
	var moves []Move
	for _, to := range byShortage(needs) {
		from, id, ok := p.donor(needs, to, used, now)
		if !ok {
			continue
		}
		used[from.Pool.Name], used[to.Pool.Name] = true, true
		moves = append(moves, Move{Host: id, From: from.Pool.Name, To: to.Pool.Name})
	}
	return moves, used
}

// byShortage returns the pools that are short of hosts, the worst first.
func byShortage(needs []need) []need {
	var short []need
	for _, n := range needs {
		if n.shortage() > 0 && n.Pool.Name != "" {
			short = append(short, n)
		}
	}
	sort.SliceStable(short, func(i, j int) bool { return short[i].shortage() > short[j].shortage() })
	return short
}

// donor returns the pool that gives a host to another, and the host.
func (p Policy) donor(needs []need, to need, used map[string]bool, now time.Time) (need, host.ID, bool) {
	var best need
	var bestHost host.ID
	for _, n := range needs {
		if used[n.Pool.Name] || n.Pool.Name == to.Pool.Name || n.shortage() >= 0 {
			continue
		}
		id, ok := p.choose(n, now)
		better := bestHost == "" || (n.Limits.Spare && !best.Limits.Spare) ||
			(n.Limits.Spare == best.Limits.Spare && n.shortage() < best.shortage())
		if ok && better {
			best, bestHost = n, id
		}
	}
	return best, bestHost, bestHost != ""
}

func (p Policy) returnSurplus(needs []need, used map[string]bool, now time.Time) []Move {
	spare, ok := spareOf(needs)
	if !ok || used[spare.Pool.Name] || !spare.roomy() {
		return nil
	}
	for _, n := range needs {
		if n.Limits.Spare || used[n.Pool.Name] || n.shortage() >= 0 || !p.paysBack(n, spare) {
			continue
		}
		if id, ok := p.choose(n, now); ok {
			return []Move{{Host: id, From: n.Pool.Name, To: spare.Pool.Name}}
		}
	}
	return nil
}

// paysBack reports whether a surplus has cost as much as Payback moves: the
// difference between holding the host here and in the spare pool.
func (p Policy) paysBack(n, spare need) bool {
	saving := n.Limits.BufferWeight - spare.Limits.BufferWeight
	if p.Payback == 0 {
		return true
	}
	return saving > 0 && saving*n.SurplusDuration.Hours() >= p.Payback*n.Limits.MoveWeight
}

// roomy reports whether the pool's bounds let one more host in.
func (n need) roomy() bool { return n.Limits.MaxHosts == 0 || n.size < n.Limits.MaxHosts }

func spareOf(needs []need) (need, bool) {
	for _, n := range needs {
		if n.Limits.Spare {
			return n, true
		}
	}
	return need{}, false
}

// choose returns the host that a pool gives away: one in service that is not
// cooling down, the longest since its last reboot, because a move reboots it.
func (p Policy) choose(n need, now time.Time) (host.ID, bool) {
	if n.Pool.CheckBudget(PlannedLimit(n.Pool, n.Limits)) != nil || n.size-1 < n.Limits.MinHosts {
		return "", false
	}
	var best pool.Host
	for _, h := range n.Pool.Hosts {
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
