package fleet

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"siskincross/core/duty"
	"siskincross/core/host"
	"siskincross/io/platform"
)

const memberPrefix = "member/"

// runHeartbeats writes the member row until ctx ends.
func (m *Manager) runHeartbeats(ctx context.Context) error {
	var count uint64
	return runPeriodically(ctx, m.Periods.Heartbeat, m.heartbeatNow, func(ctx context.Context) {
		count++
		m.writeMemberRow(ctx, count)
	})
}

// writeMemberRow writes the member row once. The row has a single writer, so the write
// needs no precondition, and the next heartbeat repairs one whose outcome is unknown.
func (m *Manager) writeMemberRow(ctx context.Context, count uint64) {
	now := time.Now()
	requests := m.localRequests()
	m.mu.Lock()
	handedOver := m.handedOver
	member := m.memberRow(now, requests)
	m.mu.Unlock()
	if handedOver {
		return
	}
	member.Heartbeats = count
	value, err := json.Marshal(member)
	if err != nil {
		return
	}
	tx := platform.Transaction{
		Writes:  []platform.Write{{Key: memberPrefix + m.Member, Value: value}},
		Purpose: "heartbeat",
	}
	if m.commit(ctx, tx) != nil {
		time.AfterFunc(m.Periods.Heartbeat/4, m.requestHeartbeat)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.store.lastHeartbeat = now
}

// requestHeartbeat requests a heartbeat before the period is over.
func (m *Manager) requestHeartbeat() {
	select {
	case m.heartbeatNow <- struct{}{}:
	default:
	}
}

// recentWriteTTL is how long a member advertises a row after writing it, even if it doesn't
// hold the pool's duty.
const recentWriteTTL = time.Minute

// memberRow returns the contents of the member row. The caller holds mu.
func (m *Manager) memberRow(now time.Time, requests localRequests) duty.Member {
	member := duty.Member{
		Name:          m.Member,
		Zone:          m.Zone,
		Address:       m.PeerAddress,
		RowVersions:   make(map[string]uint64),
		RouteVersions: make(map[string]uint64),
		InProgress:    make(map[host.ID]int),
	}
	for name, w := range m.recentWrites {
		if now.Sub(w.writtenAt) > recentWriteTTL {
			delete(m.recentWrites, name)
			continue
		}
		member.RowVersions[name] = w.version
	}
	for name, r := range m.rows {
		if r.pool.Holder == m.Member {
			member.RowVersions[name] = max(member.RowVersions[name], r.version)
		}
	}
	for name, a := range m.routeAcknowledgements(now, requests) {
		member.RouteVersions[name] = a.version
		maps.Copy(member.InProgress, a.inProgress)
	}
	return member
}

// acknowledgement is a version of the routes in use by this entry host, and its requests in
// progress on hosts that are not in that version.
type acknowledgement struct {
	version    uint64
	inProgress map[host.ID]int
}

// routeAcknowledgements returns what this entry host acknowledges for the pools with hosts
// out of service: the versions of routes that had been in use for at least AcknowledgeDelay
// at now. The caller holds mu and took now before it collected requests.
func (m *Manager) routeAcknowledgements(now time.Time, requests localRequests) map[string]acknowledgement {
	acknowledged := make(map[string]acknowledgement)
	for name, r := range m.rows {
		current, ok := m.routes[name]
		settled := ok && now.Sub(current.since) >= m.Periods.AcknowledgeDelay
		if !settled || (r.pool.Disruptions().Total() == 0 && current.snapshot.Version == r.version) {
			continue
		}
		acknowledged[name] = acknowledgement{version: current.snapshot.Version, inProgress: requests.outsideSnapshot(name, current)}
	}
	return acknowledged
}

// localRequests holds this entry host's own requests in progress, by pool and host.
type localRequests map[string]map[host.ID]int

// localRequests returns the requests in progress in all pools. It calls InProgress without
// mu, because the request path holds its own lock while it asks for a snapshot. Every
// request that was routed by an older version is counted before the acknowledgement,
// because a version is acknowledged only after it has been in use for AcknowledgeDelay.
func (m *Manager) localRequests() localRequests {
	if m.InProgress == nil {
		return nil
	}
	m.mu.Lock()
	names := slices.Collect(maps.Keys(m.rows))
	m.mu.Unlock()
	requests := make(localRequests, len(names))
	for _, name := range names {
		requests[name] = m.InProgress(name)
	}
	return requests
}

// outsideSnapshot returns the requests in progress on hosts that are not in a snapshot.
func (r localRequests) outsideSnapshot(name string, current routeState) map[host.ID]int {
	inProgress := make(map[host.ID]int)
	for id, n := range r[name] {
		if n > 0 && !hasTarget(current.snapshot, id) {
			inProgress[id] = n
		}
	}
	return inProgress
}
