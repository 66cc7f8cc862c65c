package fleet

import (
	"context"
	"encoding/json"
	"slices"
	"sort"
	"time"

	"siskincross/core/chart"
	"siskincross/core/config"
	"siskincross/core/event"
	"siskincross/core/host"
	"siskincross/core/pool"
)

// maxAdopted bounds the hosts adopted in one transaction.
const maxAdopted = 64

// ownedElsewhereTTL is how long a host is assumed to be owned by a pool other than its home
// pool.
const ownedElsewhereTTL = time.Minute

// decideHosts updates the rows of the held pools according to the host list.
func (m *Manager) decideHosts(ctx context.Context) {
	if _, ok := m.hostList(); !ok {
		return
	}
	for _, r := range m.heldRows() {
		m.observeHosts(ctx, r)
	}
	m.adoptHosts(ctx)
}

// observeHosts applies what the host list shows of the hosts of one pool.
func (m *Manager) observeHosts(ctx context.Context, r poolRow) {
	now := time.Now()
	timeouts := m.Periods.detectionTimeouts()
	d := decision{purpose: "hosts"}
	after := m.withoutStaleInbound(r.pool)
	var events []event.Event
	for _, h := range r.pool.Hosts {
		observed := m.observation(h.ID, now)
		observed.RebootConfirmed = m.isConfirmed(h)
		next, transition, ok := after.WithObservation(h.ID, observed, timeouts, now)
		if !ok {
			continue
		}
		after = next
		events = append(events, event.Event{Number: hostEvents[transition.Event], Pool: r.pool.Name, Host: string(h.ID), Detail: transition.Reason})
		if transition.Event == host.Forget {
			d.owners = append(d.owners, ownershipWrite{id: h.ID, delete: true})
		}
	}
	if len(events) == 0 && len(after.Inbound) == len(r.pool.Inbound) {
		return
	}
	d.changes = []change{{before: r, after: after}}
	m.commitWithEvents(ctx, d, events)
}

// hostEvents maps the events of the host state chart to numbered events.
var hostEvents = map[chart.Event]event.Number{
	host.Drain:     event.HostDraining,
	host.DrainDone: event.HostDrained,
	host.Reboot:    event.HostRebooting,
	host.Return:    event.HostReady,
	host.Cancel:    event.DrainOverdue,
	host.Serve:     event.HostServing,
	host.Fail:      event.HostFailed,
	host.Leave:     event.HostLeaving,
	host.Forget:    event.HostForgotten,
	host.Move:      event.HostMoved,
}

// commitWithEvents commits a decision and, once the rows show it, records its events. The
// cause of a host's event is the host's previous event.
func (m *Manager) commitWithEvents(ctx context.Context, d decision, events []event.Event) {
	if err := m.commitAndReadBack(ctx, d); err != nil {
		m.reportConflict(d.changes[0].after, err)
		return
	}
	for _, e := range events {
		id := host.ID(e.Host)
		e.Cause = m.lastEvents[id]
		m.lastEvents[id] = m.record(e)
	}
}

// adoptionPass is a pass over the host list that found no host to adopt.
type adoptionPass struct {
	listRevision int
	// config is the version of the configuration whose pools were considered. A newer one
	// may name pools that hosts of the same list belong to.
	config    config.Version
	startedAt time.Time
}

// covers reports whether a pass over this revision of the host list under this
// configuration would find nothing new.
func (a adoptionPass) covers(listRevision int, version config.Version) bool {
	return !a.startedAt.IsZero() && a.listRevision == listRevision && a.config == version
}

// adoptionComplete reports whether the newest host list has no host left to adopt. Until
// then pools look smaller than they are, and no host should move between them.
func (m *Manager) adoptionComplete() bool {
	list, ok := m.hostList()
	return ok && m.lastAdoption.covers(list.Revision(), m.Config().Version)
}

// adoptionInterval is the interval between passes over an unchanged host list.
const adoptionInterval = 10 * time.Second

// adoptHosts adds listed hosts that are in no pool to their home pools, as far as this
// member holds them.
func (m *Manager) adoptHosts(ctx context.Context) {
	list, _ := m.hostList()
	now := time.Now()
	version := m.Config().Version
	if m.lastAdoption.covers(list.Revision(), version) && now.Sub(m.lastAdoption.startedAt) < adoptionInterval {
		return
	}
	owned, complete := m.ownedHosts()
	if !complete {
		return
	}
	byPool := make(map[string][]pool.ListedHost)
	for listed := range list.All {
		if _, known := m.limits(listed.HomePool); known && listed.Live && !owned[listed.ID] && !m.isOwnedElsewhere(listed.ID, now) {
			byPool[listed.HomePool] = append(byPool[listed.HomePool], listed)
		}
	}
	if len(byPool) == 0 {
		m.lastAdoption = adoptionPass{listRevision: list.Revision(), config: version, startedAt: now}
	}
	for _, r := range m.heldRows() {
		candidates := byPool[r.pool.Name]
		sort.Slice(candidates, func(i, j int) bool { return candidates[i].ID < candidates[j].ID })
		m.adoptInto(ctx, r, candidates[:min(len(candidates), maxAdopted)])
	}
}

// ownedHosts returns the hosts of all pools, and false if some pool row is not known.
func (m *Manager) ownedHosts() (map[host.ID]bool, bool) {
	pools := m.pools()
	m.mu.Lock()
	defer m.mu.Unlock()
	owned := make(map[host.ID]bool)
	for _, p := range pools {
		r, ok := m.rows[p.Name]
		if !ok {
			return nil, false
		}
		for _, h := range r.pool.Hosts {
			owned[h.ID] = true
		}
	}
	return owned, true
}

func (m *Manager) isOwnedElsewhere(id host.ID, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	at, ok := m.ownedElsewhere[id]
	if ok && now.Sub(at) > ownedElsewhereTTL {
		delete(m.ownedElsewhere, id)
		return false
	}
	return ok
}

// adoptInto adopts the candidates that have no owner. The commit requires that their
// ownership rows don't exist, so that two pools never adopt the same host.
func (m *Manager) adoptInto(ctx context.Context, r poolRow, candidates []pool.ListedHost) {
	if len(candidates) == 0 {
		return
	}
	candidates, err := m.unownedHosts(ctx, candidates)
	if err != nil || len(candidates) == 0 {
		return
	}
	now := time.Now()
	d := decision{purpose: "adopt"}
	after := r.pool
	var events []event.Event
	for _, listed := range candidates {
		h := pool.Host{ID: listed.ID, Address: listed.Address, Place: listed.Place, Capacity: listed.Capacity, BootCount: listed.BootCount}
		next, ownership := after.WithAdoptedHost(h, now)
		after = next
		d.owners = append(d.owners, ownershipWrite{id: listed.ID, value: ownership})
		events = append(events, event.Event{Number: event.HostAdopted, Pool: after.Name, Host: string(listed.ID)})
	}
	d.changes = []change{{before: r, after: after}}
	m.commitWithEvents(ctx, d, events)
}

// unownedHosts returns the candidates that have no ownership row.
func (m *Manager) unownedHosts(ctx context.Context, candidates []pool.ListedHost) ([]pool.ListedHost, error) {
	keys := make([]string, len(candidates))
	for i, listed := range candidates {
		keys[i] = hostPrefix + string(listed.ID)
	}
	rows, err := m.read(ctx, keys)
	if err != nil {
		return nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range rows {
		m.ownedElsewhere[host.ID(r.Key[len(hostPrefix):])] = time.Now()
	}
	return slices.DeleteFunc(candidates, func(listed pool.ListedHost) bool {
		_, owned := m.ownedElsewhere[listed.ID]
		return owned
	}), nil
}

// readOwnership reads the ownership row of a host and its version.
func (m *Manager) readOwnership(ctx context.Context, id host.ID) (pool.Ownership, uint64, error) {
	rows, err := m.read(ctx, []string{hostPrefix + string(id)})
	if err != nil || len(rows) == 0 {
		return pool.Ownership{}, 0, err
	}
	var o pool.Ownership
	return o, rows[0].Version, json.Unmarshal(rows[0].Value, &o)
}
