package fleet

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"siskincross/core/duty"
	"siskincross/core/event"
	"siskincross/core/pool"
)

// maxMembers bounds the member rows that one poll reads.
const maxMembers = 200

// runDecisionRounds polls the table service and executes decisions until ctx ends.
func (m *Manager) runDecisionRounds(ctx context.Context) error {
	return runPeriodically(ctx, m.Periods.Poll, nil, func(ctx context.Context) {
		m.decisionMu.Lock()
		defer m.decisionMu.Unlock()
		if m.hasHandedOver() || m.poll(ctx) != nil {
			return
		}
		m.scanDroppedPools(ctx)
		m.decideDuties(ctx)
		m.decideHosts(ctx)
		m.decideWork(ctx)
		m.deleteLapsedMembers(ctx)
	})
}

func (m *Manager) hasHandedOver() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.handedOver
}

// poll reads the member rows and the pool rows that changed according to them.
func (m *Manager) poll(ctx context.Context) error {
	started := time.Now()
	members, err := m.scanMembers(ctx)
	if err != nil {
		return err
	}
	m.recordMembers(members, started, time.Now())
	if err := m.refresh(ctx, m.changedPools(members)); err != nil {
		return err
	}
	m.mu.Lock()
	m.store.lastPoll = started
	m.mu.Unlock()
	return nil
}

func (m *Manager) scanMembers(ctx context.Context) ([]duty.MemberRow, error) {
	ctx, cancel := context.WithTimeout(ctx, m.Periods.CallTimeout)
	defer cancel()
	rows, err := m.Platform.Table.Scan(ctx, memberPrefix, "", maxMembers)
	if err != nil {
		return nil, err
	}
	m.scope().Counter("fleet-reads").Inc(int64(len(rows)))
	m.mu.Lock()
	detector := m.detector
	m.mu.Unlock()
	members := make([]duty.MemberRow, 0, len(rows))
	for _, r := range rows {
		s, ok := detector.Member(strings.TrimPrefix(r.Key, memberPrefix))
		if ok && s.Version == r.Version {
			members = append(members, s)
			continue
		}
		s = duty.MemberRow{Version: r.Version}
		if json.Unmarshal(r.Value, &s.Member) == nil {
			members = append(members, s)
		}
	}
	return members, nil
}

// recordMembers feeds the member rows to the failure detector. The time credited to all
// members runs from the receipt of the previous rows to the start of this poll, so that a
// member lapses only if its row did not change for a whole lease. At most two poll periods
// are credited, so that a pause or an outage makes no member lapse. Nothing is credited
// while this entry host can't write its own row.
func (m *Manager) recordMembers(members []duty.MemberRow, started, received time.Time) {
	m.mu.Lock()
	elapsed := max(0, min(started.Sub(m.store.membersReceived), 2*m.Periods.Poll))
	if m.store.membersReceived.IsZero() || started.Sub(m.store.lastHeartbeat) > 2*m.Periods.Heartbeat {
		elapsed = 0
	}
	before := m.detector
	m.detector = m.detector.WithPoll(members, elapsed)
	m.store.membersReceived, m.store.liveMembers = received, len(m.detector.Live())
	after := m.detector
	m.mu.Unlock()
	m.reportMembers(before, after)
}

func (m *Manager) reportMembers(before, after duty.FailureDetector) {
	live, known := after.Live(), before.Live()
	for _, name := range live {
		if !slices.Contains(known, name) {
			m.record(event.Event{Number: event.MemberJoined, Detail: name})
		}
	}
	for _, name := range known {
		if slices.Contains(after.Lapsed(), name) {
			m.record(event.Event{Number: event.MemberLapsed, Detail: name})
		}
	}
	if m.Link.SetPeers != nil && !slices.Equal(after.All(), before.All()) {
		m.Link.SetPeers(m.peerAddresses(after))
	}
}

// peerAddresses returns the peer addresses of all other members, including lapsed ones: a
// member that lost the table service still has to receive routes.
func (m *Manager) peerAddresses(detector duty.FailureDetector) map[string]string {
	addresses := make(map[string]string)
	for _, name := range detector.All() {
		s, ok := detector.Member(name)
		if ok && name != m.Member && s.Member.Address != "" {
			addresses[name] = s.Member.Address
		}
	}
	return addresses
}

// changedPools returns the pools whose rows need to be read: those of which a member
// advertises a newer version, those that are not current, and one more in round-robin
// order.
func (m *Manager) changedPools(members []duty.MemberRow) []string {
	pools := m.pools()
	m.mu.Lock()
	defer m.mu.Unlock()
	var changed []string
	for i, p := range pools {
		r, ok := m.rows[p.Name]
		needsRead := !ok || !r.current || i == m.nextRefresh%len(pools)
		for _, s := range members {
			needsRead = needsRead || s.Member.RowVersions[p.Name] > r.version
		}
		if needsRead {
			changed = append(changed, p.Name)
		}
	}
	m.nextRefresh++
	return changed
}

// membershipView returns the membership as this member knows it.
func (m *Manager) membershipView() duty.View {
	m.mu.Lock()
	defer m.mu.Unlock()
	live := m.detector.Live()
	if !slices.Contains(live, m.Member) {
		live = append(live, m.Member)
		slices.Sort(live)
	}
	return duty.View{Self: m.Member, Live: live, Established: m.detector.Established(m.Periods.EstablishedAfter)}
}

// selectRows returns the current rows that keep accepts, in the order of the configuration.
func (m *Manager) selectRows(keep func(poolRow) bool) []poolRow {
	pools := m.pools()
	m.mu.Lock()
	defer m.mu.Unlock()
	var rows []poolRow
	for _, p := range pools {
		r, ok := m.rows[p.Name]
		if ok && r.current && keep(r) {
			rows = append(rows, r)
		}
	}
	return rows
}

// heldRows returns the current rows of the pools whose duty this member holds.
func (m *Manager) heldRows() []poolRow {
	return m.selectRows(func(r poolRow) bool { return r.exists && r.pool.Holder == m.Member })
}

// currentRow returns the row of one pool, and false if it is not current.
func (m *Manager) currentRow(name string) (poolRow, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r, ok := m.rows[name]
	return r, ok && r.current
}

// decideDuties takes over duties whose holder is gone and hands over those that another
// member should hold.
func (m *Manager) decideDuties(ctx context.Context) {
	view := m.membershipView()
	for _, r := range m.selectRows(func(poolRow) bool { return true }) {
		step, holder := duty.NextStep(r.pool, view)
		switch step {
		case duty.StepTake:
			m.changeHolder(ctx, r, holder, event.DutyTaken)
		case duty.StepHandOver:
			m.changeHolder(ctx, r, holder, event.DutyReleased)
		}
	}
}

func (m *Manager) changeHolder(ctx context.Context, r poolRow, holder string, number event.Number) {
	after := r.pool.WithHolder(holder)
	err := m.commitAndReadBack(ctx, decision{purpose: "duty", changes: []change{{before: r, after: after}}})
	if err != nil {
		m.reportConflict(r.pool, err)
		return
	}
	m.record(event.Event{Number: number, Pool: r.pool.Name, Detail: "from " + r.pool.Holder + " to " + holder})
}

func (m *Manager) reportConflict(p pool.Pool, err error) {
	m.record(event.Event{Number: event.DutyConflict, Pool: p.Name, Detail: err.Error()})
}

// deleteLapsedMembers deletes the rows of members that lapsed long ago. Only the first live
// member does so.
func (m *Manager) deleteLapsedMembers(ctx context.Context) {
	view := m.membershipView()
	if view.Live[0] != m.Member {
		return
	}
	m.mu.Lock()
	lapsed := slices.DeleteFunc(m.detector.LapsedFor(m.Periods.MemberRetention), func(name string) bool {
		return time.Since(m.peers[name].lastVouch) <= m.Periods.MaxRouteAge
	})
	m.mu.Unlock()
	for _, name := range lapsed {
		m.deleteMember(ctx, name)
	}
}
