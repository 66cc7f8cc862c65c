package fleet

import (
	"context"
	"time"

	"siskincross/core/config"
	"siskincross/core/plan"
	"siskincross/core/pool"
)

// poolLoad is the demand on one pool as estimated by this entry host. Every entry host
// estimates it for all pools, so that the next holder of a duty has it as well.
type poolLoad struct {
	meter  plan.DemandMeter
	demand plan.Demand
	// lastMeasured is when the load was last measured.
	lastMeasured time.Time
	// requiredHosts is the number of hosts that the policy last computed for the pool, at
	// lastSized.
	requiredHosts int
	lastSized     time.Time
	// size is the pool's number of hosts, and surplusSince the time from which it has had a
	// surplus at that size.
	size         int
	surplusSince time.Time
}

// runDemand measures the load of all pools until ctx ends.
func (m *Manager) runDemand(ctx context.Context) error {
	if m.Demand == nil {
		return nil
	}
	return runPeriodically(ctx, plan.DemandStep, nil, func(context.Context) {
		members := len(m.membershipView().Live)
		for _, p := range m.pools() {
			m.measure(p.Name, members, time.Now())
		}
	})
}

// measure estimates the load of all entry hosts from this one's own load, because the
// platform's balancer spreads callers over them.
func (m *Manager) measure(name string, members int, now time.Time) {
	inProgress, queued, arrivals := m.Demand(name)
	m.mu.Lock()
	defer m.mu.Unlock()
	l := m.poolLoads[name]
	var slots float64
	l.meter, slots = l.meter.WithObservation(inProgress, queued, arrivals, now.Sub(l.lastMeasured))
	l.lastMeasured = now
	l.demand = l.demand.WithStep(slots * float64(members))
	m.poolLoads[name] = l
}

// maxSizings bounds the pools that are sized in one round of planning, so that the cost of
// a round does not grow with the number of pools.
const maxSizings = 4

// sizePools computes the required hosts of the pools that were sized longest ago, from
// their learned demand.
func (m *Manager) sizePools(policy plan.Policy, now time.Time) {
	for range maxSizings {
		name, ok := m.longestUnsizedPool(now)
		if !ok {
			return
		}
		r, _ := m.currentRow(name)
		deadline := m.shortestDeadline(name)
		m.mu.Lock()
		l := m.poolLoads[name]
		l.requiredHosts, l.lastSized = policy.Size(l.demand, meanSlots(r.pool), deadline), now
		m.poolLoads[name] = l
		m.mu.Unlock()
	}
}

// longestUnsizedPool returns the pool that was sized longest ago, among those whose demand
// is known.
func (m *Manager) longestUnsizedPool(now time.Time) (string, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	oldest, found := "", false
	for name, l := range m.poolLoads {
		if l.demand.WindowFull() && l.lastSized.Before(now) && (!found || l.lastSized.Before(m.poolLoads[oldest].lastSized)) {
			oldest, found = name, true
		}
	}
	return oldest, found
}

// poolViews returns the policy's view of the pools, by organisation. It returns false while
// a pool row is not known.
func (m *Manager) poolViews(policy plan.Policy, now time.Time) (map[string][]plan.PoolView, bool) {
	views := make(map[string][]plan.PoolView)
	for _, limits := range m.pools() {
		r, ok := m.currentRow(limits.Name)
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
	l := m.poolLoads[limits.Name]
	v := plan.PoolView{Pool: p, Limits: limits, RequiredHosts: l.required(policy, limits)}
	if size := len(p.Hosts) - p.OutboundCount(); size != l.size || !policy.HasSurplus(v) {
		l.size, l.surplusSince = size, now
	}
	v.SurplusDuration = now.Sub(l.surplusSince)
	m.poolLoads[limits.Name] = l
	return v
}

// required returns the number of hosts in service that a pool needs: by its demand if that
// is known, otherwise as configured.
func (l poolLoad) required(policy plan.Policy, limits config.Pool) int {
	if l.lastSized.IsZero() {
		return limits.Hosts - policy.Reserve
	}
	return l.requiredHosts
}

// desiredHosts returns the number of hosts that the policy wants a pool to have.
func (m *Manager) desiredHosts(p pool.Pool, limits config.Pool) int {
	policy := plan.Absorbing(m.Periods.CoolDown)
	m.mu.Lock()
	defer m.mu.Unlock()
	return policy.DesiredHosts(plan.PoolView{Pool: p, Limits: limits, RequiredHosts: m.poolLoads[limits.Name].required(policy, limits)})
}

// meanSlots returns the mean number of slots of a pool's hosts.
func meanSlots(p pool.Pool) int {
	if len(p.Hosts) == 0 {
		return 0
	}
	slots := 0
	for _, h := range p.Hosts {
		slots += h.Capacity.Slots
	}
	return slots / len(p.Hosts)
}

// shortestDeadline returns the shortest deadline of a pool's queues.
func (m *Manager) shortestDeadline(name string) time.Duration {
	var shortest time.Duration
	for _, q := range m.Config().Queues {
		if q.Pool == name && q.Deadline > 0 && (shortest == 0 || q.Deadline < shortest) {
			shortest = q.Deadline
		}
	}
	return shortest
}
