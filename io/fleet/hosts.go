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

// elsewhereTime is how long a host is believed to have another owner than its home pool.
const elsewhereTime = time.Minute

// decideHosts brings the rows of the held pools in line with the list.
func (m *Manager) decideHosts(ctx context.Context) {
	if _, ok := m.listed(); !ok {
		return
	}
	for _, r := range m.held() {
		m.observeHosts(ctx, r)
	}
	m.adoptHosts(ctx)
}

// observeHosts applies what the list tells of the hosts of one pool.
func (m *Manager) observeHosts(ctx context.Context, r row) {
	now := time.Now()
	patience := m.Periods.patience()
	d := decision{purpose: "hosts"}
	after := m.withoutStaleInbound(r.pool)
	var events []event.Event
	for _, h := range r.pool.Hosts {
		sight := m.sight(h.ID, now)
		sight.RebootConfirmed = m.isConfirmed(h)
		next, c, ok := after.WithObservation(h.ID, sight, patience, now)
		if !ok {
			continue
		}
		after = next
		events = append(events, event.Event{Number: hostEvents[c.Event], Pool: r.pool.Name, Host: string(h.ID), Detail: c.Reason})
		if c.Event == host.Forget {
			d.owners = append(d.owners, ownershipWrite{id: h.ID, remove: true})
		}
	}
	if len(events) == 0 && len(after.Inbound) == len(r.pool.Inbound) {
		return
	}
	d.changes = []change{{before: r, after: after}}
	m.decide(ctx, d, events)
}

// hostEvents gives the numbered event of each event of a host.
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

// decide carries a decision out and records its events once the rows show it.
// The cause of a host's event is the one before it.
func (m *Manager) decide(ctx context.Context, d decision, events []event.Event) {
	if err := m.carryOut(ctx, d); err != nil {
		m.reportRefused(d.changes[0].after, err)
		return
	}
	for _, e := range events {
		id := host.ID(e.Host)
		e.Cause = m.lastEvents[id]
		m.lastEvents[id] = m.record(e)
	}
}

// adoption is a pass over the list that found nothing to adopt.
type adoption struct {
	reading int
	// config is the version of the configuration whose pools were looked at. A
	// newer one may name pools that hosts of the same list belong to.
	config config.Version
	at     time.Time
}

// covers reports whether a pass over a reading of the list under a configuration would find nothing new.
func (a adoption) covers(reading int, version config.Version) bool {
	return !a.at.IsZero() && a.reading == reading && a.config == version
}

// settled reports whether the newest list had no host left to adopt. Until
// then pools look smaller than they are, and no host should move between them.
func (m *Manager) settled() bool {
	list, ok := m.listed()
	return ok && m.adopted.covers(list.Revision(), m.Config().Version)
}

// adoptionPeriod is how often the list is searched for hosts to adopt when it does not change.
const adoptionPeriod = 10 * time.Second

// adoptHosts takes listed hosts that no pool has into their home pools, if this member holds these.
func (m *Manager) adoptHosts(ctx context.Context) {
	list, _ := m.listed()
	now := time.Now()
	version := m.Config().Version
	if m.adopted.covers(list.Revision(), version) && now.Sub(m.adopted.at) < adoptionPeriod {
		return
	}
	owned, complete := m.ownedHosts()
	if !complete {
		return
	}
	byPool := make(map[string][]pool.ListedHost)
	for line := range list.All {
		if _, known := m.limits(line.HomePool); known && line.Live && !owned[line.ID] && !m.isElsewhere(line.ID, now) {
			byPool[line.HomePool] = append(byPool[line.HomePool], line)
		}
	}
	if len(byPool) == 0 {
		m.adopted = adoption{reading: list.Revision(), config: version, at: now}
	}
	for _, r := range m.held() {
		candidates := byPool[r.pool.Name]
		sort.Slice(candidates, func(i, j int) bool { return candidates[i].ID < candidates[j].ID })
		m.adoptInto(ctx, r, candidates[:min(len(candidates), maxAdopted)])
	}
}

// ownedHosts returns the hosts of all pools, and whether all pools' rows are known.
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

func (m *Manager) isElsewhere(id host.ID, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	at, ok := m.elsewhere[id]
	if ok && now.Sub(at) > elsewhereTime {
		delete(m.elsewhere, id)
		return false
	}
	return ok
}

// adoptInto adopts the candidates that have no owner. The hosts' own rows must
// not exist, so that two pools never adopt one host.
func (m *Manager) adoptInto(ctx context.Context, r row, candidates []pool.ListedHost) {
	if len(candidates) == 0 {
		return
	}
	candidates, err := m.withoutOwner(ctx, candidates)
	if err != nil || len(candidates) == 0 {
		return
	}
	now := time.Now()
	d := decision{purpose: "adopt"}
	after := r.pool
	var events []event.Event
	for _, line := range candidates {
		h := pool.Host{ID: line.ID, Address: line.Address, Place: line.Place, Capacity: line.Capacity, BootCount: line.BootCount}
		next, ownership := after.WithAdoptedHost(h, now)
		after = next
		d.owners = append(d.owners, ownershipWrite{id: line.ID, value: ownership})
		events = append(events, event.Event{Number: event.HostAdopted, Pool: after.Name, Host: string(line.ID)})
	}
	d.changes = []change{{before: r, after: after}}
	m.decide(ctx, d, events)
}

// withoutOwner returns the candidates whose own row does not exist.
func (m *Manager) withoutOwner(ctx context.Context, candidates []pool.ListedHost) ([]pool.ListedHost, error) {
	keys := make([]string, len(candidates))
	for i, line := range candidates {
		keys[i] = hostPrefix + string(line.ID)
	}
	rows, err := m.read(ctx, keys)
	if err != nil {
		return nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range rows {
		m.elsewhere[host.ID(r.Key[len(hostPrefix):])] = time.Now()
	}
	return slices.DeleteFunc(candidates, func(line pool.ListedHost) bool {
		_, owned := m.elsewhere[line.ID]
		return owned
	}), nil
}

// ownership reads a host's own row and its version.
func (m *Manager) ownership(ctx context.Context, id host.ID) (pool.Ownership, uint64, error) {
	rows, err := m.read(ctx, []string{hostPrefix + string(id)})
	if err != nil || len(rows) == 0 {
		return pool.Ownership{}, 0, err
	}
	var o pool.Ownership
	return o, rows[0].Version, json.Unmarshal(rows[0].Value, &o)
}
