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
	// standbyCheckInterval is the time between two checks of the active members by a member on standby. Two heartbeats
	// fit into it.
	standbyCheckInterval = 1500 * time.Millisecond
	// standbyCheckSlack is how late a check may be and still tell that a row was not renewed since the last one.
	standbyCheckSlack = time.Second
	// idleAfter is how long an active member must not have been needed before it goes on standby. It is long enough for
	// all members to know it as established.
	idleAfter = establishedAfter + time.Second
	// activationDelay is how long a member that leaves standby is active before it takes duties. A heartbeat of each
	// live member arrives in that time.
	activationDelay = heartbeatInterval + 200*time.Millisecond
	// activationChance is the probability per missing member that a member on standby becomes active at the first check
	// that finds members missing. It doubles with each further check, since no member knows how many are on standby.
	activationChance = 1.0 / 128
)

// runMember takes part in the membership until ctx ends: active at first, and on standby while enough other members
// are active.
func (m *Manager) runMember(ctx context.Context) {
	for watch := initialDutyDelay; ctx.Err() == nil; watch = activationDelay {
		m.runActive(ctx, watch)
		m.standBy(ctx)
	}
}

// runActive renews our row, follows the members and runs duties until this member need not be active. It takes duties
// of other members only after the watch time.
func (m *Manager) runActive(ctx context.Context, watch time.Duration) {
	ctx, cancel := context.WithCancel(ctx)
	var group sync.WaitGroup
	group.Go(func() { m.followFleet(ctx) })
	group.Go(func() { m.runHeartbeats(ctx) })
	m.runDuties(ctx, watch)
	cancel()
	group.Wait()
}

// mustBeActive reports whether this member has to be active, given what it knows of the others.
func (m *Manager) mustBeActive(names, live []string) bool {
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
	members := m.failureDetector.Stable(maxEchoAge)
	chosen := duty.PreferredActive(members, holders, m.capacities(members), duty.ActiveTarget(len(names)))
	for _, member := range chosen {
		if member == m.MemberName {
			return true
		}
	}
	return len(chosen) < duty.ActiveTarget(len(names))
}

// capacities returns the capacities in the members' rows. The caller holds the lock.
func (m *Manager) capacities(members []string) map[string]duty.Capacity {
	capacities := make(map[string]duty.Capacity, len(members))
	for _, member := range members {
		if sighting, ok := m.failureDetector.Member(member); ok {
			capacities[member] = sighting.Member.Capacity
		}
	}
	return capacities
}

// standBy removes our row, and checks the active members until too few are left.
func (m *Manager) standBy(ctx context.Context) {
	if ctx.Err() != nil {
		return
	}
	m.mu.Lock()
	m.connected, m.lostConnection, m.heartbeatAt = false, false, time.Time{}
	m.mu.Unlock()
	m.record(event.Event{Number: event.MemberStandsBy, Detail: m.MemberName})
	if err := m.removeMemberRow(ctx); err != nil {
		m.record(event.Event{Number: event.WorkDutyFailed, Detail: "remove our member row: " + err.Error()})
	}
	checkedAt := time.Now()
	if !sleep(ctx, rand.N(standbyCheckInterval)) {
		return
	}
	var retry backoff
	for shortfalls := 0; ctx.Err() == nil; {
		now := time.Now()
		rows, _, err := m.Rows.ReadAll(ctx, platform.RangeQuery{Table: fleetTable, Purpose: "members"})
		if err != nil {
			if !m.awaitRetry(ctx, &retry) {
				return
			}
			continue
		}
		retry = backoff{}
		promotion, missing := m.checkActiveMembers(rows, now.Sub(checkedAt))
		checkedAt = now
		if promotion == duty.PromoteNone {
			shortfalls = 0
		} else if shortfalls++; promotion == duty.PromoteAll || rand.Float64() < activationChance*float64(missing)*float64(int(1)<<min(shortfalls-1, 16)) {
			m.record(event.Event{Number: event.MemberActive, Detail: fmt.Sprintf("%s: %d active members are missing", m.MemberName, missing)})
			return
		}
		if !sleep(ctx, standbyCheckInterval-min(standbyCheckInterval, time.Since(now))) {
			return
		}
	}
}

// checkActiveMembers evaluates the active members by their rows and the time since the last check. It returns what
// the members on standby have to do, and how many active members are missing.
func (m *Manager) checkActiveMembers(rows []platform.VersionedRow, elapsed time.Duration) (duty.Promotion, int) {
	m.removeAbsentMembers(rows)
	m.applyFleetRows(rows)
	names := m.dutyNames()
	m.mu.Lock()
	defer m.mu.Unlock()
	if elapsed > standbyCheckInterval+standbyCheckSlack {
		elapsed = 0 // the store was unavailable: others may have been unable to renew their rows
	}
	m.failureDetector = m.failureDetector.WithPoll(m.memberRows(), m.countedSilence(elapsed))
	m.detectorAtEcho = m.failureDetector
	if m.leaving || len(names) == 0 {
		return duty.PromoteNone, 0
	}
	active, target := len(m.failureDetector.RenewedWithin(heartbeatInterval)), duty.ActiveTarget(len(names))
	return duty.RequiredPromotion(active, target), target - active
}

// memberRows returns the members' rows. The caller holds the lock.
func (m *Manager) memberRows() []duty.MemberRow {
	rows := make([]duty.MemberRow, 0, len(m.members))
	for _, s := range m.members {
		rows = append(rows, s)
	}
	return rows
}
