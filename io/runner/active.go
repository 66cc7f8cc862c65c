package runner

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"siskincross/core/duty"
	"siskincross/core/event"
	"siskincross/io/platform"
)

const (
	// standbyEvery is the time between two looks of a member that stands by at those that are active. Two heartbeats fit into it.
	standbyEvery = 1500 * time.Millisecond
	// standbySlack is by how much a look may be late and still tell that a row was not renewed meanwhile.
	standbySlack = time.Second
	// idleAfter is how long an active member is not needed before it stands by: long enough to be known to all as settled.
	idleAfter = settledAfter + time.Second
	// activeWatch is how long a member that stood by is active before it takes duties. A heartbeat of each live member arrives in it.
	activeWatch = beatEvery + 200*time.Millisecond
	// callChance is the chance to become active for each missing member at the first look that finds it missing. It doubles with each
	// further look, since nobody knows how many stand by.
	callChance = 1.0 / 128
)

// runMember takes part in the membership until ctx ends: active at first, then standing by while enough others are active.
func (m *Manager) runMember(ctx context.Context) {
	for watch := firstDuty; ctx.Err() == nil; watch = activeWatch {
		m.runActive(ctx, watch)
		m.standBy(ctx)
	}
}

// runActive renews our row, follows the members and takes duties until this member is not needed.
func (m *Manager) runActive(ctx context.Context, watch time.Duration) {
	ctx, cancel := context.WithCancel(ctx)
	var group sync.WaitGroup
	group.Go(func() { m.followFleet(ctx) })
	group.Go(func() { m.runBeats(ctx) })
	m.runDuties(ctx, watch)
	cancel()
	group.Wait()
}

// needed reports whether this member has to be active, by what it knows of the others.
func (m *Manager) needed(names, live []string) bool {
	if len(names) == 0 || len(live) == 0 || m.holdsAnyDuty() {
		return true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.leaving {
		return true
	}
	holders := make(map[string]bool, len(names))
	for _, name := range names {
		holders[m.holderRows[name].Holder] = true
	}
	members := m.ledger.Stable(echoTime)
	chosen := duty.PreferredActive(members, holders, m.capacities(members), duty.ActiveTarget(len(names)))
	for _, member := range chosen {
		if member == m.MemberName {
			return true
		}
	}
	return len(chosen) < duty.ActiveTarget(len(names))
}

// capacities returns what the members' rows tell of their capacities. The caller holds the lock.
func (m *Manager) capacities(members []string) map[string]duty.Capacity {
	capacities := make(map[string]duty.Capacity, len(members))
	for _, member := range members {
		if sighting, ok := m.ledger.Member(member); ok {
			capacities[member] = sighting.Member.Capacity
		}
	}
	return capacities
}

// standBy removes our row, and looks at the active members now and then until too few are left.
func (m *Manager) standBy(ctx context.Context) {
	if ctx.Err() != nil {
		return
	}
	m.mu.Lock()
	m.connected, m.cutOff = false, false
	m.mu.Unlock()
	m.record(event.Event{Number: event.MemberStandsBy, Detail: m.MemberName})
	if _, err := m.Rows.Commit(ctx, platform.RowTransaction{Deletes: []platform.RowKey{m.memberKey(m.MemberName)}, Purpose: "heartbeat"}); err != nil {
		m.record(event.Event{Number: event.WorkDutyFailed, Detail: "remove our member row: " + err.Error()})
	}
	looked := time.Now()
	if !sleep(ctx, rand.N(standbyEvery)) {
		return
	}
	var retry backoff
	for calls := 0; ctx.Err() == nil; {
		now := time.Now()
		rows, _, err := m.Rows.ReadAll(ctx, platform.RangeQuery{Table: fleetTable, Purpose: "members"})
		if err != nil {
			if !m.awaitRetry(ctx, &retry) {
				return
			}
			continue
		}
		retry = backoff{}
		call, missing := m.lookAtActive(rows, now.Sub(looked))
		looked = now
		if call == duty.PromoteNone {
			calls = 0
		} else if calls++; call == duty.PromoteAll || rand.Float64() < callChance*float64(missing)*float64(int(1)<<min(calls-1, 16)) {
			m.record(event.Event{Number: event.MemberActive, Detail: fmt.Sprintf("%s: %d active members are missing", m.MemberName, missing)})
			return
		}
		if !sleep(ctx, standbyEvery-min(standbyEvery, time.Since(now))) {
			return
		}
	}
}

// lookAtActive judges the active members by their rows and the time since the last look. It returns the call for members that stand by,
// and how many are missing.
func (m *Manager) lookAtActive(rows []platform.VersionedRow, elapsed time.Duration) (duty.Promotion, int) {
	m.forgetMembers(rows)
	m.takeFleet(rows)
	names := m.dutyNames()
	m.mu.Lock()
	defer m.mu.Unlock()
	if elapsed > standbyEvery+standbySlack {
		elapsed = 0 // the store was away: others may have been unable to renew their rows
	}
	m.ledger = m.ledger.WithPoll(m.sightings(), elapsed)
	m.echoedLedger = m.ledger
	if m.leaving || len(names) == 0 {
		return duty.PromoteNone, 0
	}
	active, wanted := len(m.ledger.RenewedWithin(beatEvery)), duty.ActiveTarget(len(names))
	return duty.RequiredPromotion(active, wanted), wanted - active
}

// sightings returns the members' rows. The caller holds the lock.
func (m *Manager) sightings() []duty.MemberRow {
	rows := make([]duty.MemberRow, 0, len(m.members))
	for _, s := range m.members {
		rows = append(rows, s)
	}
	return rows
}
