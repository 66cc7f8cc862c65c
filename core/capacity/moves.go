package capacity

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// planMoves gives cleared hosts and switched-off ones to the pools that ask, and switches the rest off.
func (p *Planner) planMoves(plan *Plan, now time.Time) {
	asks := p.asks(now)
	size := p.sizes()
	for _, m := range p.hosts() {
		if !m.free(now) || p.waits(m) {
			continue
		}
		standby := p.pools[m.Pool].Standby
		if !standby && !slices.Contains(p.needs[m.Pool].Drained, m.Worker) {
			continue
		}
		to := p.neediest(m, asks, size)
		if to == "" && !standby && p.idle(m, now) {
			to = p.standbyFor(m)
		}
		if to == "" || to == m.Pool {
			continue
		}
		m.unwanted = time.Time{}
		if a := asks[to]; a.total > 0 {
			asks[to] = a.less()
			size[to]++
		}
		p.give(m, Order{Kind: KindMove, Host: m.Host, Pool: to}, plan, now)
	}
}

// switchOffDelay is how long nobody must have asked for a cleared host before it is switched off: needs swing within tenths
// of a second, and a host that is switched off comes back only after two moves.
const switchOffDelay = 400 * time.Millisecond

// idle reports whether nobody has asked for a cleared host for a while.
func (p *Planner) idle(m *machine, now time.Time) bool {
	if m.unwanted.IsZero() {
		m.unwanted = now
	}
	return now.Sub(m.unwanted) >= switchOffDelay && !now.Before(p.NoSwitchOffBefore)
}

// waits reports whether the host is withdrawn for maintenance, which comes first.
func (p *Planner) waits(m *machine) bool {
	for _, w := range p.waves {
		if w.withdrawn[m.Host] && !w.done[m.Host] {
			return true
		}
	}
	return false
}

// expectTime is how much longer than usual a host on its way is counted on.
const expectTime = 2 * time.Second

// asks returns how many hosts each pool still misses, less those on their way.
func (p *Planner) asks(now time.Time) map[string]ask {
	asks := make(map[string]ask, len(p.needs))
	for pool, n := range p.needs {
		if spec, ok := p.pools[pool]; ok && !spec.Standby {
			asks[pool] = ask{urgent: n.Urgent, total: n.Requested}
		}
	}
	for _, m := range p.machines {
		if !m.ordered || m.State == StateDown || now.Sub(m.at) > p.Timings.withDefaults().MoveTime+expectTime {
			continue
		}
		pool := m.Pool
		if m.order.Kind == KindMove {
			pool = m.order.Pool
		}
		if a := asks[pool]; a.total > 0 {
			asks[pool] = a.less()
		}
	}
	return asks
}

// ask is how many hosts a pool still misses.
type ask struct{ urgent, total int }

func (a ask) less() ask { return ask{max(0, a.urgent-1), a.total - 1} }

// sizes counts the hosts of each pool, with those on their way to it.
func (p *Planner) sizes() map[string]int {
	sizes := make(map[string]int)
	for _, m := range p.machines {
		pool := m.Pool
		if m.ordered && m.order.Kind == KindMove {
			pool = m.order.Pool
		}
		sizes[pool]++
	}
	return sizes
}

// neediest returns the pool that gets the host next, or "": one with an urgent need first, then the one that misses
// the most for each host that it has.
func (p *Planner) neediest(m *machine, asks map[string]ask, size map[string]int) string {
	best, bestRank := "", 0.0
	for _, pool := range slices.Sorted(maps.Keys(asks)) {
		a := asks[pool]
		if pool == m.Pool || a.total <= 0 || p.impossible[[2]string{m.kind(), pool}] {
			continue
		}
		rank := float64(a.total) / float64(size[pool]+1)
		if a.urgent > 0 {
			rank += urgentRank
		}
		if rank > bestRank {
			best, bestRank = pool, rank
		}
	}
	return best
}

// urgentRank is above the rank of any pool without an urgent need.
const urgentRank = 1e6

// recall withdraws workers of the largest pools for urgent needs that no free host can meet.
func (p *Planner) recall(plan *Plan, now time.Time) {
	missing := 0
	for _, a := range p.asks(now) {
		missing += a.urgent
	}
	var largest []*machine
	size := p.sizes()
	for _, m := range p.hosts() {
		if p.pools[m.Pool].Standby && m.free(now) && !p.waits(m) {
			missing-- // it is moved as soon as it can be
		}
		if !p.pools[m.Pool].Standby && m.free(now) && m.Worker != "" && p.needs[m.Pool].Urgent == 0 {
			largest = append(largest, m)
		}
		if m.recalled && (m.ordered || missing <= 0) {
			m.recalled = false
		}
	}
	slices.SortStableFunc(largest, func(a, b *machine) int {
		return cmp.Or(compareBool(b.recalled, a.recalled), cmp.Compare(size[b.Pool], size[a.Pool]))
	})
	for _, m := range largest {
		if missing <= 0 || size[m.Pool] <= recallAbove {
			return
		}
		missing--
		m.recalled = true
		plan.Drain = append(plan.Drain, m.Worker)
	}
}

// recallAbove is the size of a pool from which on it gives hosts up for the urgent needs of others.
const recallAbove = 5

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// standbyFor returns a pool of switched-off hosts that can take the host, or "".
func (p *Planner) standbyFor(m *machine) string {
	names := slices.SortedFunc(maps.Keys(p.pools), cmp.Compare[string])
	for _, name := range names {
		if p.pools[name].Standby && !p.impossible[[2]string{m.kind(), name}] {
			return name
		}
	}
	return ""
}
