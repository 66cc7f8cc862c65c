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

// runBeats writes the member row until ctx ends.
func (m *Manager) runBeats(ctx context.Context) error {
	var beat uint64
	return every(ctx, m.Periods.Heartbeat, m.urgent, func(ctx context.Context) {
		beat++
		m.beat(ctx, beat)
	})
}

// beat writes the member row once. The row has one writer, so it needs no
// precondition, and a lost answer is settled by the next beat.
func (m *Manager) beat(ctx context.Context, count uint64) {
	now := time.Now()
	own := m.ownRequests()
	m.mu.Lock()
	left := m.left
	member := m.describe(now, own)
	m.mu.Unlock()
	if left {
		return
	}
	member.Beat = count
	value, err := json.Marshal(member)
	if err != nil {
		return
	}
	tx := platform.Transaction{
		Writes:  []platform.Write{{Key: memberPrefix + m.Member, Value: value}},
		Purpose: "heartbeat",
	}
	if m.commit(ctx, tx) != nil {
		time.AfterFunc(m.Periods.Heartbeat/4, m.beatSoon)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.contact.beat = now
}

// beatSoon asks for a beat before the period is over.
func (m *Manager) beatSoon() {
	select {
	case m.urgent <- struct{}{}:
	default:
	}
}

// touchedTime is how long a member advertises rows that it wrote and does not hold.
const touchedTime = time.Minute

// describe returns the member row. The caller holds the lock.
func (m *Manager) describe(now time.Time, own ownRequests) duty.Member {
	member := duty.Member{
		Name:    m.Member,
		Zone:    m.Zone,
		Address: m.PeerAddress,
		Rows:    make(map[string]uint64),
		Routes:  make(map[string]uint64),
		Busy:    make(map[host.ID]int),
	}
	for name, t := range m.touched {
		if now.Sub(t.at) > touchedTime {
			delete(m.touched, name)
			continue
		}
		member.Rows[name] = t.version
	}
	for name, r := range m.rows {
		if r.pool.Holder == m.Member {
			member.Rows[name] = max(member.Rows[name], r.version)
		}
	}
	for name, a := range m.acknowledge(now, own) {
		member.Routes[name] = a.version
		maps.Copy(member.Busy, a.busy)
	}
	return member
}

// acknowledgement is a version that this entry host goes by, and its requests
// in progress on hosts that the version does not have.
type acknowledgement struct {
	version uint64
	busy    map[host.ID]int
}

// acknowledge returns what this entry host can acknowledge, for the pools with
// hosts out of service: the versions that it had gone by for long enough at
// now, which is before own was read. The caller holds the lock.
func (m *Manager) acknowledge(now time.Time, own ownRequests) map[string]acknowledgement {
	all := make(map[string]acknowledgement)
	for name, r := range m.rows {
		current, ok := m.routes[name]
		settled := ok && now.Sub(current.since) >= m.Periods.Acknowledge
		if !settled || (r.pool.Disruptions().Total() == 0 && current.snapshot.Version == r.version) {
			continue
		}
		all[name] = acknowledgement{version: current.snapshot.Version, busy: own.outside(name, current)}
	}
	return all
}

// ownRequests holds this entry host's own requests in progress, by pool and host.
type ownRequests map[string]map[host.ID]int

// ownRequests asks for the requests in progress of all pools. It calls InProgress
// without the lock, for the callers' side holds its own lock when it asks for a
// snapshot. A request that is in progress before an acknowledgement is found: a
// version is acknowledged only when it was gone by for a while.
func (m *Manager) ownRequests() ownRequests {
	if m.InProgress == nil {
		return nil
	}
	m.mu.Lock()
	names := slices.Collect(maps.Keys(m.rows))
	m.mu.Unlock()
	own := make(ownRequests, len(names))
	for _, name := range names {
		own[name] = m.InProgress(name)
	}
	return own
}

// outside returns the requests in progress on hosts that a snapshot does not have.
func (o ownRequests) outside(name string, current routes) map[host.ID]int {
	busy := make(map[host.ID]int)
	for id, n := range o[name] {
		if n > 0 && !hasTarget(current.snapshot, id) {
			busy[id] = n
		}
	}
	return busy
}
