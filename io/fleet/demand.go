package fleet

import (
	"context"
	"time"

	"siskincross/core/config"
	"siskincross/core/plan"
	"siskincross/core/pool"
)

// load is the demand on one pool as this entry host estimates it. Every entry
// host keeps it for all pools, so that the next holder of a duty knows it too.
type load struct {
	meter  plan.DemandMeter
	demand plan.Demand
	// measured is when the load was last measured.
	measured time.Time
	// needed is the number of hosts that the policy last gave the pool, and sized when it did.
	needed int
	sized  time.Time
	// size and surplusSince tell since when the pool has had more hosts than it needs, at that size.
	size         int
	surplusSince time.Time
}

// runDemand measures the load of all pools until ctx ends.
func (m *Manager) runDemand(ctx context.Context) error {
	if m.Demand == nil {
		return nil
	}
	return every(ctx, plan.DemandStep, nil, func(context.Context) {
		members := len(m.view().Live)
		for _, p := range m.pools() {
			m.measure(p.Name, members, time.Now())
		}
	})
}

// measure estimates the load of all entry hosts by this one's own: the
// platform's balancer spreads callers over them.
func (m *Manager) measure(name string, members int, now time.Time) {
	inProgress, queued, arrivals := m.Demand(name)
	m.mu.Lock()
	defer m.mu.Unlock()
	l := m.loads[name]
	var slots float64
	l.meter, slots = l.meter.WithObservation(inProgress, queued, arrivals, now.Sub(l.measured))
	l.measured = now
	l.demand = l.demand.WithStep(slots * float64(members))
	m.loads[name] = l
}

// maxSizings bounds the pools that are sized anew in one round of planning, so
// that the cost of a round does not grow with the number of pools.
const maxSizings = 4

// sizePools sizes the pools whose sizes are the oldest by their learned demand.
func (m *Manager) sizePools(policy plan.Policy, now time.Time) {
	for range maxSizings {
		name, ok := m.oldestSize(now)
		if !ok {
			return
		}
		r, _ := m.rowOf(name)
		deadline := m.deadline(name)
		m.mu.Lock()
		l := m.loads[name]
		l.needed, l.sized = policy.Size(l.demand, slotsOf(r.pool), deadline), now
		m.loads[name] = l
		m.mu.Unlock()
	}
}

// oldestSize returns the pool whose size is the oldest, among those whose demand is known.
func (m *Manager) oldestSize(now time.Time) (string, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	oldest, found := "", false
	for name, l := range m.loads {
		if l.demand.WindowFull() && l.sized.Before(now) && (!found || l.sized.Before(m.loads[oldest].sized)) {
			oldest, found = name, true
		}
	}
	return oldest, found
}

// poolViews returns what the policy knows of the pools of each organisation.
// It returns false while a pool's row is not known.
func (m *Manager) poolViews(policy plan.Policy, now time.Time) (map[string][]plan.PoolView, bool) {
	views := make(map[string][]plan.PoolView)
	for _, limits := range m.pools() {
		r, ok := m.rowOf(limits.Name)
		if !ok || !r.exists {
			return nil, false
		}
		views[limits.Organisation] = append(views[limits.Organisation], m.poolView(policy, r.pool, limits, now))
	}
	return views, true
}

func (m *Manager) poolView(policy plan.Policy, p pool.Pool, limits config.Pool, now time.Time) plan.PoolView {
	m.mu.Lock()
	defer m.mu.Unlock()
	l := m.loads[limits.Name]
	v := plan.PoolView{Pool: p, Limits: limits, RequiredHosts: l.needs(policy, limits)}
	if size := len(p.Hosts) - p.OutboundCount(); size != l.size || !policy.HasSurplus(v) {
		l.size, l.surplusSince = size, now
	}
	v.SurplusDuration = now.Sub(l.surplusSince)
	m.loads[limits.Name] = l
	return v
}

// needs returns the hosts in service that a pool needs: by its demand when that
// is known, else as configured.
func (l load) needs(policy plan.Policy, limits config.Pool) int {
	if l.sized.IsZero() {
		return limits.Hosts - policy.Reserve
	}
	return l.needed
}

// desired returns the number of hosts that the policy wants a pool to have.
func (m *Manager) desired(p pool.Pool, limits config.Pool) int {
	policy := plan.Absorbing(m.Periods.CoolDown)
	m.mu.Lock()
	defer m.mu.Unlock()
	return policy.DesiredHosts(plan.PoolView{Pool: p, Limits: limits, RequiredHosts: m.loads[limits.Name].needs(policy, limits)})
}

// slotsOf returns the mean number of slots of a pool's hosts.
func slotsOf(p pool.Pool) int {
	if len(p.Hosts) == 0 {
		return 0
	}
	slots := 0
	for _, h := range p.Hosts {
		slots += h.Capacity.Slots
	}
	return slots / len(p.Hosts)
}

// deadline returns the shortest deadline of a pool's queues.
func (m *Manager) deadline(name string) time.Duration {
	var shortest time.Duration
	for _, q := range m.Config().Queues {
		if q.Pool == name && q.Deadline > 0 && (shortest == 0 || q.Deadline < shortest) {
			shortest = q.Deadline
		}
	}
	return shortest
}
