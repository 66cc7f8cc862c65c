package capacity

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// planMoves moves evacuated and switched-off hosts to the pools that request hosts, and switches off evacuated
// hosts that no pool requests.
func (p *Planner) planMoves(plan *Plan, now time.Time) {
	requests := p.unmetRequests(now)
	size := p.poolSizes()
	for _, m := range p.sortedHosts() {
		if !m.available(now) || p.awaitsMaintenance(m) {
			continue
		}
		standby := p.pools[m.Pool].Standby
		if !standby && !slices.Contains(p.reports[m.Pool].Evacuated, m.Worker) {
			m.idleSince = time.Time{}
			continue
		}
		to := p.neediestPool(m, requests, size)
		if to == "" && !standby && p.idleLongEnough(m, now) {
			to = p.standbyPool(m)
		}
		if to == "" || to == m.Pool {
			continue
		}
		m.idleSince = time.Time{}
		if r := requests[to]; r.total > 0 {
			requests[to] = r.decremented()
			size[to]++
		}
		p.issue(m, Order{Kind: KindMove, Host: m.Host, Pool: to}, plan, now)
	}
}

// switchOffDelay is how long an evacuated host must have been unrequested before it is switched off. Requests
// vary within tenths of a second, and a host that is switched off returns only after two moves.
const switchOffDelay = 400 * time.Millisecond

// idleLongEnough reports whether no pool has requested an evacuated host for at least switchOffDelay.
func (p *Planner) idleLongEnough(m *machine, now time.Time) bool {
	if m.idleSince.IsZero() {
		m.idleSince = now
	}
	return now.Sub(m.idleSince) >= switchOffDelay && !now.Before(p.NoSwitchOffBefore)
}

// awaitsMaintenance reports whether the host is withdrawn for maintenance, which takes precedence over moves.
func (p *Planner) awaitsMaintenance(m *machine) bool {
	for _, w := range p.waves {
		if w.withdrawn[m.Host] && !w.started[m.Host] {
			return true
		}
	}
	return false
}

// arrivalSlack is how long after its usual downtime a moving host is still expected to arrive.
const arrivalSlack = 2 * time.Second

// unmetRequests returns the requests of each pool less the hosts that are moving to it or about to return.
func (p *Planner) unmetRequests(now time.Time) map[string]request {
	requests := make(map[string]request, len(p.reports))
	for pool, report := range p.reports {
		if spec, ok := p.pools[pool]; ok && !spec.Standby {
			requests[pool] = request{urgent: report.Urgent, total: report.Requested}
		}
	}
	for _, m := range p.machines {
		if !m.hasOrder || m.State == StateDown || now.Sub(m.orderedAt) > p.Timings.withDefaults().MoveDuration+arrivalSlack {
			continue
		}
		pool := m.Pool
		if m.order.Kind == KindMove {
			pool = m.order.Pool
		}
		if r := requests[pool]; r.total > 0 {
			requests[pool] = r.decremented()
		}
	}
	return requests
}

// request is the number of hosts that a pool still lacks, and how many of these are urgent.
type request struct{ urgent, total int }

// decremented returns the request after one host was assigned to the pool.
func (r request) decremented() request { return request{max(0, r.urgent-1), r.total - 1} }

// poolSizes returns the number of hosts of each pool, including those that are moving to it.
func (p *Planner) poolSizes() map[string]int {
	sizes := make(map[string]int)
	for _, m := range p.machines {
		pool := m.Pool
		if m.hasOrder && m.order.Kind == KindMove {
			pool = m.order.Pool
		}
		sizes[pool]++
	}
	return sizes
}

// neediestPool returns the pool that gets the host next, or "" if there is none. Pools with an urgent request
// come first, then pools with the most requested hosts relative to their size.
func (p *Planner) neediestPool(m *machine, requests map[string]request, size map[string]int) string {
	best, bestRank := "", 0.0
	for _, pool := range slices.Sorted(maps.Keys(requests)) {
		r := requests[pool]
		if pool == m.Pool || r.total <= 0 || p.impossible[[2]string{m.hardwareKind(), pool}] {
			continue
		}
		rank := float64(r.total) / float64(size[pool]+1)
		if r.urgent > 0 {
			rank += urgentRank
		}
		if rank > bestRank {
			best, bestRank = pool, rank
		}
	}
	return best
}

// urgentRank is higher than the rank of any pool without an urgent request.
const urgentRank = 1e6

// recallHosts withdraws workers of the largest pools for urgent requests that no available host can meet.
func (p *Planner) recallHosts(plan *Plan, now time.Time) {
	missing := 0
	for _, r := range p.unmetRequests(now) {
		missing += r.urgent
	}
	var candidates []*machine
	size := p.poolSizes()
	for _, m := range p.sortedHosts() {
		if p.pools[m.Pool].Standby && m.available(now) && !p.awaitsMaintenance(m) {
			missing-- // the host is moved as soon as possible
		}
		if !p.pools[m.Pool].Standby && m.available(now) && m.Worker != "" && p.reports[m.Pool].Urgent == 0 {
			candidates = append(candidates, m)
		}
		if m.recalled && (m.hasOrder || missing <= 0) {
			m.recalled = false
		}
	}
	slices.SortStableFunc(candidates, func(a, b *machine) int {
		return cmp.Or(compareBool(b.recalled, a.recalled), cmp.Compare(size[b.Pool], size[a.Pool]))
	})
	for _, m := range candidates {
		if missing <= 0 || size[m.Pool] <= recallMinSize {
			return
		}
		missing--
		m.recalled = true
		plan.Withdraw = append(plan.Withdraw, m.Worker)
	}
}

// recallMinSize is the size up to which a pool gives up no hosts for the urgent requests of other pools.
const recallMinSize = 5

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// standbyPool returns a standby pool that accepts the host, or "" if there is none.
func (p *Planner) standbyPool(m *machine) string {
	names := slices.SortedFunc(maps.Keys(p.pools), cmp.Compare[string])
	for _, name := range names {
		if p.pools[name].Standby && !p.impossible[[2]string{m.hardwareKind(), name}] {
			return name
		}
	}
	return ""
}
