package fleet

import (
	"slices"
	"sort"
	"time"

	"siskincross/core/duty"
	"siskincross/core/event"
	"siskincross/core/host"
	"siskincross/core/route"
)

// Snapshot returns the newest routes of a pool. It returns false when there are none yet,
// or when they may be too old to use.
func (m *Manager) Snapshot(name string) (route.Snapshot, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	current, ok := m.routes[name]
	if !ok || !m.routesUsable(name, time.Now()) {
		return route.Snapshot{}, false
	}
	if current.listRevision != m.list.Revision() {
		current = m.withUsableTargets(current)
		m.routes[name] = current
	}
	return current.usable, true
}

// withUsableTargets applies the newest host list to a snapshot. If the targets don't
// change, the slice is kept, so that callers can detect changes by identity. The caller
// holds mu.
func (m *Manager) withUsableTargets(r routeState) routeState {
	next := m.withoutUnhealthy(r.snapshot)
	r.listRevision = m.list.Revision()
	if !slices.Equal(next.Targets, r.usable.Targets) {
		r.usable = next
	}
	return r
}

// DutyEpoch returns the epoch under which this member holds the duty of a pool, and false
// if it doesn't hold it.
func (m *Manager) DutyEpoch(name string) (uint64, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r, ok := m.rows[name]
	if !ok || m.handedOver || r.pool.Holder != m.Member {
		return 0, false
	}
	return r.pool.Epoch, true
}

// Members returns the live members including this one, sorted.
func (m *Manager) Members() []string { return m.membershipView().Live }

// DrainingHosts returns the hosts of a pool that are draining for planned work or leaving.
// Their tasks should checkpoint and leave.
func (m *Manager) DrainingHosts(name string) []host.ID {
	m.mu.Lock()
	defer m.mu.Unlock()
	var draining []host.ID
	for _, h := range m.rows[name].pool.Hosts {
		if h.State == host.Draining || h.State == host.Leaving {
			draining = append(draining, h.ID)
		}
	}
	return draining
}

// adoptSnapshot installs a snapshot if it is newer than the known one. The caller holds mu.
func (m *Manager) adoptSnapshot(s route.Snapshot, now time.Time) {
	current, ok := m.routes[s.Pool]
	if missing, ok := m.missingRoutes[s.Pool]; ok && s.Version >= missing.version {
		delete(m.missingRoutes, s.Pool)
	}
	if !ok || s.NewerThan(current.snapshot) {
		m.routes[s.Pool] = routeState{snapshot: s, since: now, usable: m.withoutUnhealthy(s), listRevision: m.list.Revision()}
	}
}

// withoutUnhealthy drops the targets that the host list shows as leaving or failed before
// the pool row does. The caller holds mu.
func (m *Manager) withoutUnhealthy(s route.Snapshot) route.Snapshot {
	unhealthyHosts := m.list.Unhealthy()
	isUnhealthy := func(t route.Target) bool { return unhealthyHosts[t.Host] }
	if len(unhealthyHosts) == 0 || !slices.ContainsFunc(s.Targets, isUnhealthy) {
		return s
	}
	s.Targets = slices.DeleteFunc(slices.Clone(s.Targets), isUnhealthy)
	return s
}

func hasTarget(s route.Snapshot, id host.ID) bool {
	i := sort.Search(len(s.Targets), func(i int) bool { return s.Targets[i].Host >= id })
	return i < len(s.Targets) && s.Targets[i].Host == id
}

// missingVersion is a version of a pool's routes that a peer has and this entry host lacks.
type missingVersion struct {
	version uint64
	since   time.Time
}

// missingRoutesGrace is how long newer routes may be in transit before the older ones are
// no longer used. Together with the period of vouches it is shorter than MaxRouteAge.
const missingRoutesGrace = time.Second

// detectMissing records a version of a pool's routes that a peer advertises, and reports
// whether this entry host lacks it. The caller holds mu.
func (m *Manager) detectMissing(name string, version uint64, now time.Time) bool {
	if version <= m.routes[name].snapshot.Version {
		return false
	}
	if _, ok := m.missingRoutes[name]; !ok {
		m.missingRoutes[name] = missingVersion{version: version, since: now}
	}
	return true
}

// routesUsable reports whether the routes of a pool may be used. The caller holds mu.
func (m *Manager) routesUsable(name string, now time.Time) bool {
	if missing, ok := m.missingRoutes[name]; ok && now.Sub(missing.since) > missingRoutesGrace {
		return false
	}
	return m.fleetViewUsable(now)
}

// leaseSafetyMargin is how long before other members can find it lapsed an entry host stops
// relying on the table service alone.
const leaseSafetyMargin = 250 * time.Millisecond

// fleetViewUsable reports whether this entry host may rely on its knowledge of the fleet.
// An entry host that reads the table service but can't write its row counts as cut off from
// it, because drains do not wait for a lapsed member. The caller holds mu.
func (m *Manager) fleetViewUsable(now time.Time) bool {
	v := duty.RouteFreshness{Members: m.store.liveMembers, StoreAge: now.Sub(m.store.lastPoll)}
	if sinceHeartbeat := now.Sub(m.store.lastHeartbeat); sinceHeartbeat > m.Periods.leaseDuration()-leaseSafetyMargin {
		v.StoreAge = sinceHeartbeat
	}
	if m.store.lastPoll.IsZero() {
		v.Members = maxMembers
	}
	if v.StoreAge <= m.Periods.MaxRouteAge {
		return true
	}
	for _, p := range m.peers {
		v.Peers = append(v.Peers, duty.PeerFreshness{SinceHeard: now.Sub(p.lastVouch), StoreAge: p.storeAge})
	}
	return v.Usable(m.Periods.MaxRouteAge)
}

// reportRouteFreshness records when the routes of this entry host become too old to use and
// when they become usable again.
func (m *Manager) reportRouteFreshness() {
	m.mu.Lock()
	stale := !m.fleetViewUsable(time.Now())
	changed := stale != m.store.stale
	m.store.stale = stale
	m.mu.Unlock()
	if !changed {
		return
	}
	number := event.RoutesVouched
	if stale {
		number = event.RoutesSilenced
	}
	m.record(event.Event{Number: number})
}
