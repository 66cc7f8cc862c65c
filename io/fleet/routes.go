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

// Snapshot returns the newest targets of a pool. It returns false when there
// are none yet, or when this entry host can't vouch for them.
func (m *Manager) Snapshot(name string) (route.Snapshot, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	current, ok := m.routes[name]
	if !ok || !m.vouched(name, time.Now()) {
		return route.Snapshot{}, false
	}
	if current.reading != m.list.Revision() {
		current = m.offer(current)
		m.routes[name] = current
	}
	return current.offered, true
}

// offer brings what is offered in line with the list. Targets that stay the
// same stay in the same slice, by which callers see that nothing changed. The
// caller holds the lock.
func (m *Manager) offer(r routes) routes {
	next := m.withoutListed(r.snapshot)
	r.reading = m.list.Revision()
	if !slices.Equal(next.Targets, r.offered.Targets) {
		r.offered = next
	}
	return r
}

// DutyEpoch returns the epoch under which this member holds a pool's duty.
func (m *Manager) DutyEpoch(name string) (uint64, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r, ok := m.rows[name]
	if !ok || m.left || r.pool.Holder != m.Member {
		return 0, false
	}
	return r.pool.Epoch, true
}

// Members returns the live members with this one, sorted.
func (m *Manager) Members() []string { return m.view().Live }

// DrainingHosts returns the hosts of a pool that planned work waits to drain. Their tasks should checkpoint and leave.
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

// adopt puts a snapshot in force if it is newer. The caller holds the lock.
func (m *Manager) adopt(s route.Snapshot, now time.Time) {
	current, ok := m.routes[s.Pool]
	if missed, ok := m.missed[s.Pool]; ok && s.Version >= missed.version {
		delete(m.missed, s.Pool)
	}
	if !ok || s.NewerThan(current.snapshot) {
		m.routes[s.Pool] = routes{snapshot: s, since: now, offered: m.withoutListed(s), reading: m.list.Revision()}
	}
}

// withoutListed drops the targets that the platform's list shows as leaving or
// failed before the pool's row does. The caller holds the lock.
func (m *Manager) withoutListed(s route.Snapshot) route.Snapshot {
	listed := m.list.Unhealthy()
	unfit := func(t route.Target) bool { return listed[t.Host] }
	if len(listed) == 0 || !slices.ContainsFunc(s.Targets, unfit) {
		return s
	}
	s.Targets = slices.DeleteFunc(slices.Clone(s.Targets), unfit)
	return s
}

func hasTarget(s route.Snapshot, id host.ID) bool {
	i := sort.Search(len(s.Targets), func(i int) bool { return s.Targets[i].Host >= id })
	return i < len(s.Targets) && s.Targets[i].Host == id
}

// miss is a version of a pool's routes that a peer has and this entry host lacks.
type miss struct {
	version uint64
	since   time.Time
}

// missedGrace is how long newer routes may be on their way before the older
// ones are no longer used. With the period of vouches it is less than Vouch.
const missedGrace = time.Second

// noteMissed notes that a peer has a version of a pool's routes, and reports
// whether this entry host lacks it. The caller holds the lock.
func (m *Manager) noteMissed(name string, version uint64, now time.Time) bool {
	if version <= m.routes[name].snapshot.Version {
		return false
	}
	if _, ok := m.missed[name]; !ok {
		m.missed[name] = miss{version: version, since: now}
	}
	return true
}

// vouched reports whether the routes of a pool may be used. The caller holds the lock.
func (m *Manager) vouched(name string, now time.Time) bool {
	if missed, ok := m.missed[name]; ok && now.Sub(missed.since) > missedGrace {
		return false
	}
	return m.inTouch(now)
}

// lapseMargin is how long before the others can find it lapsed an entry host
// stops relying on the store alone.
const lapseMargin = 250 * time.Millisecond

// inTouch reports whether this entry host may rely on its knowledge of the
// fleet. One that reads the store but can't write its row is as good as cut off
// from it: drains do not wait for a lapsed member. The caller holds the lock.
func (m *Manager) inTouch(now time.Time) bool {
	v := duty.RouteFreshness{Members: m.contact.members, StoreAge: now.Sub(m.contact.read)}
	if beat := now.Sub(m.contact.beat); beat > m.Periods.lease()-lapseMargin {
		v.StoreAge = beat
	}
	if m.contact.read.IsZero() {
		v.Members = maxMembers
	}
	if v.StoreAge <= m.Periods.MaxRouteAge {
		return true
	}
	for _, p := range m.peers {
		v.Peers = append(v.Peers, duty.PeerFreshness{SinceHeard: now.Sub(p.heard), StoreAge: p.storeAge})
	}
	return v.Usable(m.Periods.MaxRouteAge)
}

// reportTouch records when this entry host falls silent and when it speaks again.
func (m *Manager) reportTouch() {
	m.mu.Lock()
	silent := !m.inTouch(time.Now())
	changed := silent != m.contact.silent
	m.contact.silent = silent
	m.mu.Unlock()
	if !changed {
		return
	}
	number := event.RoutesVouched
	if silent {
		number = event.RoutesSilenced
	}
	m.record(event.Event{Number: number})
}
