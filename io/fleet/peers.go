package fleet

import (
	"context"
	"time"

	"siskincross/core/host"
	"siskincross/io/peer"
	"siskincross/io/peer/peerpb"
)

// peerState is what one peer reported over the link.
type peerState struct {
	// lastVouch is when the last vouch of the peer was received.
	lastVouch time.Time
	// storeAge is the age that the peer's last full read of the table service had at its
	// last vouch.
	storeAge time.Duration
	// versions holds the versions of the routes that the peer has, by pool.
	versions map[string]uint64
	// reports holds the peer's acknowledgements of routes, by pool.
	reports map[string]routeReport
	// loads holds the peer's requests in progress, by pool and host.
	loads map[string]map[host.ID]int
}

// maxLoadEntries bounds the hosts whose load is broadcast in one period, to limit traffic.
const maxLoadEntries = 32

// runPeerReports broadcasts routes and load to the peers until ctx ends.
func (m *Manager) runPeerReports(ctx context.Context) error {
	var round int
	return runPeriodically(ctx, m.Periods.PeerReports, nil, func(context.Context) {
		m.reportRouteFreshness()
		m.deleteSilentPeers()
		if m.Link.Broadcast == nil {
			return
		}
		m.broadcastVouch(round)
		m.broadcastRouteReports()
		m.broadcastLoads()
		round++
	})
}

// deleteSilentPeers deletes the state of peers that have not sent a vouch for MemberRetention.
func (m *Manager) deleteSilentPeers() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, p := range m.peers {
		if time.Since(p.lastVouch) > m.Periods.MemberRetention {
			delete(m.peers, name)
		}
	}
}

// fullVouchInterval is the number of periods between vouches for the routes of all pools.
// The vouches in between name only recently changed routes.
const fullVouchInterval = 5

// recentChange is how long routes count as recently changed for vouches.
const recentChange = 10 * time.Second

func (m *Manager) broadcastVouch(round int) {
	now := time.Now()
	vouch := &peerpb.Vouch{Versions: make(map[string]uint64)}
	m.mu.Lock()
	vouch.StoreAgeMillis = now.Sub(m.store.lastPoll).Milliseconds()
	for name, current := range m.routes {
		if round%fullVouchInterval == 0 || now.Sub(current.since) < recentChange {
			vouch.Versions[name] = current.snapshot.Version
		}
	}
	m.mu.Unlock()
	m.Link.Broadcast(&peerpb.Envelope{Member: m.Member, Body: &peerpb.Envelope_Vouch{Vouch: vouch}})
}

// broadcastRouteReports acknowledges the routes of pools with hosts out of service.
func (m *Manager) broadcastRouteReports() {
	now := time.Now()
	requests := m.localRequests()
	m.mu.Lock()
	acknowledged := m.routeAcknowledgements(now, requests)
	m.mu.Unlock()
	for name, a := range acknowledged {
		report := &peerpb.RouteReport{Pool: name, Version: a.version, InProgress: wireCounts(a.inProgress)}
		m.Link.Broadcast(&peerpb.Envelope{Member: m.Member, Body: &peerpb.Envelope_RouteReport{RouteReport: report}})
	}
}

// broadcastLoads reports this entry host's requests in progress, for some of the pools in
// each period. A pool that becomes idle is reported once.
func (m *Manager) broadcastLoads() {
	if m.InProgress == nil {
		return
	}
	pools := m.pools()
	for reported, i := 0, 0; reported < maxLoadEntries && i < len(pools); i++ {
		name := pools[m.nextLoadReport%len(pools)].Name
		m.nextLoadReport++
		load := m.InProgress(name)
		if len(load) == 0 && !m.reportedLoad[name] {
			continue
		}
		m.reportedLoad[name] = len(load) > 0
		reported += len(load)
		report := &peerpb.LoadReport{Pool: name, InProgress: wireCounts(load)}
		m.Link.Broadcast(&peerpb.Envelope{Member: m.Member, Body: &peerpb.Envelope_LoadReport{LoadReport: report}})
	}
}

func wireCounts(load map[host.ID]int) map[string]int32 {
	counts := make(map[string]int32, len(load))
	for id, n := range load {
		counts[string(id)] = int32(n)
	}
	return counts
}

func hostCounts(load map[string]int32) map[host.ID]int {
	counts := make(map[host.ID]int, len(load))
	for id, n := range load {
		counts[host.ID(id)] = int(n)
	}
	return counts
}

// registerPeerHandlers registers the handlers of the peers' messages.
func (m *Manager) registerPeerHandlers() {
	if m.Link.Handle == nil {
		return
	}
	m.Link.Handle(peer.KindVouch, m.handlerFor(m.handleVouch))
	m.Link.Handle(peer.KindRouteReport, m.handlerFor(m.handleRouteReport))
	m.Link.Handle(peer.KindLoadReport, m.handlerFor(m.handleLoadReport))
	m.Link.Handle(peer.KindRoutes, m.handleRoutes)
}

func (m *Manager) handlerFor(handle func(from string, e *peerpb.Envelope)) func(context.Context, string, *peerpb.Envelope) *peerpb.Envelope {
	return func(_ context.Context, from string, e *peerpb.Envelope) *peerpb.Envelope {
		handle(from, e)
		return nil
	}
}

// handleVouch records what a peer knows and enqueues a query for each pool of which the
// peer has newer routes.
func (m *Manager) handleVouch(from string, e *peerpb.Envelope) {
	vouch := e.GetVouch()
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peer(from)
	now := time.Now()
	p.lastVouch = now
	p.storeAge = time.Duration(vouch.GetStoreAgeMillis()) * time.Millisecond
	for name, version := range vouch.GetVersions() {
		p.versions[name] = version
		if m.detectMissing(name, version, now) {
			m.enqueueRouteQuery(routeQuery{member: from, pool: name})
		}
	}
	m.peers[from] = p
}

func (m *Manager) handleRouteReport(from string, e *peerpb.Envelope) {
	r := e.GetRouteReport()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.peer(from).reports[r.GetPool()] = routeReport{member: from, version: r.GetVersion(), inProgress: hostCounts(r.GetInProgress())}
}

func (m *Manager) handleLoadReport(from string, e *peerpb.Envelope) {
	r := e.GetLoadReport()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.peer(from).loads[r.GetPool()] = hostCounts(r.GetInProgress())
}

// peer returns the state of a peer, creating it if needed. The caller holds mu.
func (m *Manager) peer(name string) peerState {
	p, ok := m.peers[name]
	if !ok {
		p = peerState{
			versions: make(map[string]uint64),
			reports:  make(map[string]routeReport),
			loads:    make(map[string]map[host.ID]int),
		}
		m.peers[name] = p
	}
	return p
}

// lapsedMemberReport returns the last report of a member whose row lapsed but that still
// sends vouches over the link. Such a member may still send requests. The caller holds mu.
func (m *Manager) lapsedMemberReport(member, name string) (routeReport, bool) {
	p, ok := m.peers[member]
	if !ok || time.Since(p.lastVouch) > m.Periods.MaxRouteAge {
		return routeReport{}, false
	}
	report, ok := p.reports[name]
	if !ok {
		report = routeReport{member: member}
	}
	return report, true
}

// PeerLoad returns the other members' requests in progress on the hosts of a pool.
func (m *Manager) PeerLoad(name string) map[host.ID]int {
	m.mu.Lock()
	defer m.mu.Unlock()
	total := make(map[host.ID]int)
	for _, p := range m.peers {
		if time.Since(p.lastVouch) > m.Periods.TakeoverTimeout {
			continue
		}
		for id, n := range p.loads[name] {
			total[id] += n
		}
	}
	return total
}
