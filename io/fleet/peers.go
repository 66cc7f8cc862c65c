package fleet

import (
	"context"
	"time"

	"siskincross/core/host"
	"siskincross/io/peer"
	"siskincross/io/peer/peerpb"
)

// peerState is what one peer told over the link.
type peerState struct {
	// heard is when the peer last vouched.
	heard time.Time
	// storeAge was the age of the peer's last full read of the table service then.
	storeAge time.Duration
	// versions holds the versions of the pools' rows that the peer knows.
	versions map[string]uint64
	// reports holds the peer's acknowledgements of routes, by pool.
	reports map[string]routeReport
	// loads holds the peer's requests in progress, by pool.
	loads map[string]map[host.ID]int
}

// maxLoadEntries bounds the hosts whose load is told in one period, for the sake of the link's traffic.
const maxLoadEntries = 32

// runPeers tells the peers about routes and load until ctx ends.
func (m *Manager) runPeers(ctx context.Context) error {
	var turn int
	return every(ctx, m.Periods.PeerReports, nil, func(context.Context) {
		m.reportTouch()
		m.forgetPeers()
		if m.Link.Broadcast == nil {
			return
		}
		m.tellVouch(turn)
		m.tellReports()
		m.tellLoads()
		turn++
	})
}

// forgetPeers drops what peers told that have not been heard of for long.
func (m *Manager) forgetPeers() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, p := range m.peers {
		if time.Since(p.heard) > m.Periods.MemberRetention {
			delete(m.peers, name)
		}
	}
}

// fullVouch is the number of periods between vouches for the rows of all pools. The others name rows that changed.
const fullVouch = 5

// recentChange is how long a row counts as changed for vouches.
const recentChange = 10 * time.Second

func (m *Manager) tellVouch(turn int) {
	now := time.Now()
	vouch := &peerpb.Vouch{Versions: make(map[string]uint64)}
	m.mu.Lock()
	vouch.StoreAgeMillis = now.Sub(m.contact.read).Milliseconds()
	for name, current := range m.routes {
		if turn%fullVouch == 0 || now.Sub(current.since) < recentChange {
			vouch.Versions[name] = current.snapshot.Version
		}
	}
	m.mu.Unlock()
	m.Link.Broadcast(&peerpb.Envelope{Member: m.Member, Body: &peerpb.Envelope_Vouch{Vouch: vouch}})
}

// tellReports acknowledges the routes of pools with hosts out of service.
func (m *Manager) tellReports() {
	now := time.Now()
	own := m.ownRequests()
	m.mu.Lock()
	all := m.acknowledge(now, own)
	m.mu.Unlock()
	for name, a := range all {
		report := &peerpb.RouteReport{Pool: name, Version: a.version, InProgress: counts(a.busy)}
		m.Link.Broadcast(&peerpb.Envelope{Member: m.Member, Body: &peerpb.Envelope_RouteReport{RouteReport: report}})
	}
}

// tellLoads tells this entry host's requests in progress, some pools in each
// period. A pool without any is told once.
func (m *Manager) tellLoads() {
	if m.InProgress == nil {
		return
	}
	pools := m.pools()
	for told, i := 0, 0; told < maxLoadEntries && i < len(pools); i++ {
		name := pools[m.nextLoad%len(pools)].Name
		m.nextLoad++
		load := m.InProgress(name)
		if len(load) == 0 && !m.told[name] {
			continue
		}
		m.told[name] = len(load) > 0
		told += len(load)
		report := &peerpb.LoadReport{Pool: name, InProgress: counts(load)}
		m.Link.Broadcast(&peerpb.Envelope{Member: m.Member, Body: &peerpb.Envelope_LoadReport{LoadReport: report}})
	}
}

func counts(load map[host.ID]int) map[string]int32 {
	all := make(map[string]int32, len(load))
	for id, n := range load {
		all[string(id)] = int32(n)
	}
	return all
}

func hostCounts(load map[string]int32) map[host.ID]int {
	all := make(map[host.ID]int, len(load))
	for id, n := range load {
		all[host.ID(id)] = int(n)
	}
	return all
}

// handlePeers registers the receivers of the peers' messages.
func (m *Manager) handlePeers() {
	if m.Link.Handle == nil {
		return
	}
	m.Link.Handle(peer.KindVouch, m.receive(m.receiveVouch))
	m.Link.Handle(peer.KindRouteReport, m.receive(m.receiveReport))
	m.Link.Handle(peer.KindLoadReport, m.receive(m.receiveLoad))
	m.Link.Handle(peer.KindRoutes, m.receiveRoutes)
}

func (m *Manager) receive(take func(from string, e *peerpb.Envelope)) func(context.Context, string, *peerpb.Envelope) *peerpb.Envelope {
	return func(_ context.Context, from string, e *peerpb.Envelope) *peerpb.Envelope {
		take(from, e)
		return nil
	}
}

// receiveVouch notes what a peer knows, and asks it for the routes that it has a newer version of.
func (m *Manager) receiveVouch(from string, e *peerpb.Envelope) {
	vouch := e.GetVouch()
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peer(from)
	now := time.Now()
	p.heard = now
	p.storeAge = time.Duration(vouch.GetStoreAgeMillis()) * time.Millisecond
	for name, version := range vouch.GetVersions() {
		p.versions[name] = version
		if m.noteMissed(name, version, now) {
			m.ask(question{member: from, pool: name})
		}
	}
	m.peers[from] = p
}

func (m *Manager) receiveReport(from string, e *peerpb.Envelope) {
	r := e.GetRouteReport()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.peer(from).reports[r.GetPool()] = routeReport{member: from, version: r.GetVersion(), busy: hostCounts(r.GetInProgress())}
}

func (m *Manager) receiveLoad(from string, e *peerpb.Envelope) {
	r := e.GetLoadReport()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.peer(from).loads[r.GetPool()] = hostCounts(r.GetInProgress())
}

// peer returns what a peer told, ready to be filled. The caller holds the lock.
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

// heardReport returns the last report of a member whose row lapsed but that the
// link still reaches. Such a member may still send requests. The caller holds the lock.
func (m *Manager) heardReport(member, name string) (routeReport, bool) {
	p, ok := m.peers[member]
	if !ok || time.Since(p.heard) > m.Periods.MaxRouteAge {
		return routeReport{}, false
	}
	report, ok := p.reports[name]
	if !ok {
		report = routeReport{member: member}
	}
	return report, true
}

// PeerLoad returns the other members' requests in progress on the targets of a pool.
func (m *Manager) PeerLoad(name string) map[host.ID]int {
	m.mu.Lock()
	defer m.mu.Unlock()
	total := make(map[host.ID]int)
	for _, p := range m.peers {
		if time.Since(p.heard) > m.Periods.TakeoverTimeout {
			continue
		}
		for id, n := range p.loads[name] {
			total[id] += n
		}
	}
	return total
}
