package capacity

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// planMoves gives cleared hosts and switched-off ones to the pools that ask, and switches the rest off.
func (p *Planner) planMoves(plan *Plan, now time.Time) {
	asks := p.asks()
	for _, m := range p.hosts() {
		if !m.free(now) || p.waits(m) {
			continue
		}
		standby := p.pools[m.Pool].Standby
		if !standby && !slices.Contains(p.needs[m.Pool].Cleared, m.Worker) {
			continue
		}
		to := p.neediest(m, asks)
		if to == "" && !standby {
			to = p.standbyFor(m)
		}
		if to == "" || to == m.Pool {
			continue
		}
		if asks[to] > 0 {
			asks[to]--
		}
		p.give(m, Order{Kind: KindMove, Host: m.Host, Pool: to}, plan, now)
	}
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

// asks returns how many hosts each pool still misses, less those on their way.
func (p *Planner) asks() map[string]int {
	asks := make(map[string]int, len(p.needs))
	for pool, n := range p.needs {
		if spec, ok := p.pools[pool]; ok && !spec.Standby {
			asks[pool] = n.Ask
		}
	}
	for _, m := range p.machines {
		if m.ordered && m.order.Kind == KindMove && asks[m.order.Pool] > 0 {
			asks[m.order.Pool]--
		}
		if m.ordered && m.order.Kind == KindMaintain && asks[m.Pool] > 0 {
			asks[m.Pool]--
		}
	}
	return asks
}

// neediest returns the pool that misses the most hosts and can take this one, or "".
func (p *Planner) neediest(m *machine, asks map[string]int) string {
	best := ""
	for _, pool := range slices.Sorted(maps.Keys(asks)) {
		if pool == m.Pool || asks[pool] <= 0 || p.impossible[[2]string{m.kind(), pool}] {
			continue
		}
		if best == "" || asks[pool] > asks[best] {
			best = pool
		}
	}
	return best
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
