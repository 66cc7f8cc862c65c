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

// maxMembers bounds the member rows of one poll.
const maxMembers = 200

// runRounds polls the table service and carries out decisions until ctx ends.
func (m *Manager) runRounds(ctx context.Context) error {
	return every(ctx, m.Periods.Poll, nil, func(ctx context.Context) {
		m.deciding.Lock()
		defer m.deciding.Unlock()
		if m.hasLeft() || m.poll(ctx) != nil {
			return
		}
		m.findDropped(ctx)
		m.decideDuties(ctx)
		m.decideHosts(ctx)
		m.decideWork(ctx)
		m.buryMembers(ctx)
	})
}

func (m *Manager) hasLeft() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.left
}

// poll reads the member rows, and the pools' rows that these show to have changed.
func (m *Manager) poll(ctx context.Context) error {
	started := time.Now()
	members, err := m.scanMembers(ctx)
	if err != nil {
		return err
	}
	m.observeMembers(members, started, time.Now())
	if err := m.refresh(ctx, m.changedPools(members)); err != nil {
		return err
	}
	m.mu.Lock()
	m.contact.read = started
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
	ledger := m.ledger
	m.mu.Unlock()
	members := make([]duty.MemberRow, 0, len(rows))
	for _, r := range rows {
		s, ok := ledger.Member(strings.TrimPrefix(r.Key, memberPrefix))
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

// observeMembers credits the time since the last poll to all members: from the
// receipt of the rows then to the start of the poll now, so that a member lapses
// only if its row did not change for the whole lease. No more than two periods
// are credited, so that a pause or an outage lapses nobody, and none while this
// entry host's own row can't be written.
func (m *Manager) observeMembers(members []duty.MemberRow, started, received time.Time) {
	m.mu.Lock()
	elapsed := max(0, min(started.Sub(m.contact.polled), 2*m.Periods.Poll))
	if m.contact.polled.IsZero() || started.Sub(m.contact.beat) > 2*m.Periods.Heartbeat {
		elapsed = 0
	}
	before := m.ledger
	m.ledger = m.ledger.WithPoll(members, elapsed)
	m.contact.polled, m.contact.members = received, len(m.ledger.Live())
	after := m.ledger
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

// peerAddresses includes the members that lapsed: one that lost the table
// service still has to hear about routes.
func (m *Manager) peerAddresses(ledger duty.FailureDetector) map[string]string {
	addresses := make(map[string]string)
	for _, name := range ledger.All() {
		s, ok := ledger.Member(name)
		if ok && name != m.Member && s.Member.Address != "" {
			addresses[name] = s.Member.Address
		}
	}
	return addresses
}

// changedPools returns the pools whose rows are to be read: those that a member
// advertises a newer version of, those that are not fresh, and one more in turn.
func (m *Manager) changedPools(members []duty.MemberRow) []string {
	pools := m.pools()
	m.mu.Lock()
	defer m.mu.Unlock()
	var changed []string
	for i, p := range pools {
		r, ok := m.rows[p.Name]
		stale := !ok || !r.fresh || i == m.nextSweep%len(pools)
		for _, s := range members {
			stale = stale || s.Member.RowVersions[p.Name] > r.version
		}
		if stale {
			changed = append(changed, p.Name)
		}
	}
	m.nextSweep++
	return changed
}

// view returns what this member knows of the others.
func (m *Manager) view() duty.View {
	m.mu.Lock()
	defer m.mu.Unlock()
	live := m.ledger.Live()
	if !slices.Contains(live, m.Member) {
		live = append(live, m.Member)
		slices.Sort(live)
	}
	return duty.View{Self: m.Member, Live: live, Established: m.ledger.Established(m.Periods.EstablishedAfter)}
}

// rowsOf returns the fresh rows that keep accepts, in the order of the configuration.
func (m *Manager) rowsOf(keep func(row) bool) []row {
	pools := m.pools()
	m.mu.Lock()
	defer m.mu.Unlock()
	var rows []row
	for _, p := range pools {
		r, ok := m.rows[p.Name]
		if ok && r.fresh && keep(r) {
			rows = append(rows, r)
		}
	}
	return rows
}

// held returns the fresh rows of the pools whose duty this member holds.
func (m *Manager) held() []row {
	return m.rowsOf(func(r row) bool { return r.exists && r.pool.Holder == m.Member })
}

// rowOf returns one pool's row, if it is fresh.
func (m *Manager) rowOf(name string) (row, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r, ok := m.rows[name]
	return r, ok && r.fresh
}

// decideDuties takes duties whose holder is gone and hands over those that another member should have.
func (m *Manager) decideDuties(ctx context.Context) {
	view := m.view()
	for _, r := range m.rowsOf(func(row) bool { return true }) {
		step, holder := duty.NextStep(r.pool, view)
		switch step {
		case duty.StepTake:
			m.changeHolder(ctx, r, holder, event.DutyTaken)
		case duty.StepHandOver:
			m.changeHolder(ctx, r, holder, event.DutyReleased)
		}
	}
}

func (m *Manager) changeHolder(ctx context.Context, r row, holder string, number event.Number) {
	after := r.pool.WithHolder(holder)
	err := m.carryOut(ctx, decision{purpose: "duty", changes: []change{{before: r, after: after}}})
	if err != nil {
		m.reportRefused(r.pool, err)
		return
	}
	m.record(event.Event{Number: number, Pool: r.pool.Name, Detail: "from " + r.pool.Holder + " to " + holder})
}

func (m *Manager) reportRefused(p pool.Pool, err error) {
	m.record(event.Event{Number: event.DutyConflict, Pool: p.Name, Detail: err.Error()})
}

// buryMembers deletes the rows of members that lapsed long ago. The first live member does it.
func (m *Manager) buryMembers(ctx context.Context) {
	view := m.view()
	if view.Live[0] != m.Member {
		return
	}
	m.mu.Lock()
	dead := slices.DeleteFunc(m.ledger.LapsedFor(m.Periods.MemberRetention), func(name string) bool {
		return time.Since(m.peers[name].heard) <= m.Periods.MaxRouteAge
	})
	m.mu.Unlock()
	for _, name := range dead {
		m.deleteMember(ctx, name)
	}
}
