package runner

import (
	"context"
	"fmt"
	"maps"
	"time"

	"siskincross/core/duty"
	"siskincross/core/event"
	"siskincross/core/pool"
	"siskincross/io/platform"
)

const (
	// dutyCheckInterval is the time between two checks of who holds which duty.
	dutyCheckInterval = 200 * time.Millisecond
	// initialDutyDelay is how long a starting member waits before it takes duties, so that members that start together
	// have seen each other.
	initialDutyDelay = 1200 * time.Millisecond
	// hostsDutyWeight is the load of the duty for hosts relative to that of a pool. The duty for hosts makes no calls to
	// workers and starts no tasks.
	hostsDutyWeight = 0.25
)

// runDuties takes and gives up duties until ctx ends or this member need not be active. It takes duties of other
// members only after the watch time.
func (m *Manager) runDuties(ctx context.Context, watch time.Duration) {
	defer m.endTenures()
	m.setTakesDuties(true)
	defer m.setTakesDuties(false)
	started := time.Now()
	last, needed := started, started
	for m.awaitDutyCheck(ctx) {
		now := time.Now()
		live, established := m.updateLiveness(now.Sub(last), now)
		last = now
		m.mu.Lock()
		leaving := m.leaving
		m.mu.Unlock()
		if leaving {
			continue
		}
		names := m.dutyNames()
		m.takeOfferedDuties(ctx)
		m.askSilentHolders(names, now)
		m.sendTakeoverNotices(names, now)
		assignment := m.assignedHolders(names, live)
		for _, name := range names {
			if now.Sub(started) >= watch {
				m.checkDuty(ctx, name, duty.View{Self: m.MemberName, Live: live, Established: established, Assignment: assignment})
			} else {
				m.retakeDuty(ctx, name)
			}
		}
		if m.mustBeActive(names, live) {
			needed = now
		} else if now.Sub(needed) > idleAfter {
			return
		}
	}
}

// setTakesDuties records whether this member takes duties that are offered to it.
func (m *Manager) setTakesDuties(takes bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.takesDuties = takes
	clear(m.dutyOffers)
}

// dutyNames returns the names of the duties: one for hosts, and one for each pool that is not on standby.
func (m *Manager) dutyNames() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	names := m.catalogue.PoolNames()
	kept := make([]string, 0, len(names)+1)
	if m.CloudAPI.SendOrder != nil && len(names) > 0 {
		kept = append(kept, hostsDuty)
	}
	for _, name := range names {
		if !m.catalogue.Pools[name].Standby {
			kept = append(kept, name)
		}
	}
	return kept
}

// assignedHolders returns the member that should hold each duty, given the known holders.
func (m *Manager) assignedHolders(names, live []string) map[string]string {
	m.mu.Lock()
	defer m.mu.Unlock()
	duties := make(map[string]duty.Duty, len(names))
	for _, name := range names {
		duties[name] = duty.Duty{Holder: m.holderRows[name].Holder}
		if name == hostsDuty {
			duties[name] = duty.Duty{Holder: m.holderRows[name].Holder, Weight: hostsDutyWeight, Pinned: true}
		}
	}
	return duty.Assignment(duties, duty.Membership{Live: live, Stable: m.failureDetector.Stable(maxEchoAge), Capacities: m.capacities(live)})
}

// checkDuty ends an outdated tenure of a duty, and takes the duty or hands it over if that is due.
func (m *Manager) checkDuty(ctx context.Context, name string, view duty.View) {
	m.mu.Lock()
	row := m.holderRows[name]
	t := m.tenures[name]
	m.mu.Unlock()
	switch {
	case t == nil:
	case t.ended():
		m.removeTenure(name)
		t = nil
	case row.version > t.epoch:
		t.end("another member has taken the duty")
		return
	}
	if len(view.Live) == 0 {
		return
	}
	step, to := duty.NextStep(pool.Pool{Name: name, Holder: row.Holder}, view)
	switch {
	case step == duty.StepTake && !row.ended && m.mustWaitForHolder(name, row, time.Now()):
	case step == duty.StepTake, row.Holder == m.MemberName && t == nil:
		if m.beginTaking(name, row, time.Now()) {
			m.takeDuty(ctx, name, row)
			m.endTaking()
		}
	case step == duty.StepHandOver && t != nil && name != hostsDuty && m.readyForHandOver(name) && m.rosterCurrent(name):
		// The duty for hosts is never handed over: it is light, and no host could be moved or maintained during a
		// hand-over.
		m.handOver(ctx, t, to)
	}
}

// mustWaitForHolder reports whether a duty must not be taken yet from a holder that has lapsed and may not have ended.
func (m *Manager) mustWaitForHolder(name string, row versionedHolder, now time.Time) bool {
	return m.holderAnswers(name, row, now) || m.mustSendNotice(row.Holder, now)
}

// retakeDuty takes a duty that an earlier incarnation of this entry host held, once this one has a member row. The earlier one
// has ended, and other members may not know that yet.
func (m *Manager) retakeDuty(ctx context.Context, name string) {
	m.mu.Lock()
	row, known := m.holderRows[name]
	held := m.tenures[name] != nil
	hasRow := !m.heartbeatAt.IsZero()
	m.mu.Unlock()
	if known && hasRow && !held && row.Holder != m.MemberName && m.isEarlierIncarnation(row.Holder) {
		m.takeDuty(ctx, name, row)
	}
}

// readyForHandOver reports whether a duty can be handed over without waiting for leases. A new holder has to wait for
// the lease of every worker that does not answer, and does not know how long the worker has been silent.
func (m *Manager) readyForHandOver(name string) bool {
	h := m.poolHolder(name)
	if h == nil {
		return true
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.loaded && h.scheduler.ReadyForHandOver(time.Now())
}

// rosterCurrent reports whether the stored roster of a pool has no incarnation that has ended.
func (m *Manager) rosterCurrent(name string) bool {
	h := m.poolHolder(name)
	if h == nil {
		return true
	}
	listings, _ := m.workers.poolWorkers(name)
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.commitInFlight && maps.Equal(h.possibleRoster, h.scheduler.RequiredRoster(listings, h.evacuation.excludedWorkers()))
}

// takeDuty stores this member as the holder of a duty, and starts the duty.
func (m *Manager) takeDuty(ctx context.Context, name string, row versionedHolder) {
	next := holderRow{Holder: m.MemberName, Term: row.Term + 1, ForcedMillis: m.forcedMillis(row, m.MemberName, time.Now())}
	version, err := m.writeHolder(ctx, name, row.version, next)
	if err != nil {
		m.record(event.Event{Number: event.WorkDutyFailed, Pool: name, Detail: "take the duty: " + err.Error()})
		return
	}
	t := newTenure(m, name, version, row.Term)
	m.mu.Lock()
	m.tenures[name] = t
	if name == hostsDuty {
		newHostsHolder(t)
	} else {
		m.holders[name] = newPoolHolder(t)
		m.holders[name].scheduler.LastForcedTakeover = m.holderRows[name].forcedAt
	}
	t.start(ctx) // before others see it
	m.mu.Unlock()
}

// writeHolder writes the holder row and the fence row that fences earlier holders, and returns their version.
func (m *Manager) writeHolder(ctx context.Context, name string, expected uint64, row holderRow) (uint64, error) {
	key := platform.RowKey{Table: fleetTable, Partition: name, Key: holderKey}
	value := encodeRow(row)
	version, err := m.Rows.Commit(ctx, platform.RowTransaction{
		Preconditions: []platform.RowPrecondition{{RowKey: key, Version: expected}},
		Writes:        []platform.RowWrite{{RowKey: key, Value: value}, {RowKey: reservedKey(name, fenceKey), Value: value}},
		Purpose:       "duty",
	})
	if err != nil {
		return 0, err
	}
	m.replaceHolder(name, row, version)
	return version, nil
}

// handOver ends a tenure and stores the next holder of its duty.
func (m *Manager) handOver(ctx context.Context, t *tenure, to string) {
	t.end("handed over to " + to)
	<-t.done
	m.removeTenure(t.name)
	m.mu.Lock()
	held := m.holderRows[t.name]
	m.mu.Unlock()
	// The row names this member, whose tenure has ended.
	next := holderRow{Holder: to, Term: t.term + 1, ForcedMillis: m.forcedMillis(held, m.MemberName, time.Now())}
	if _, err := m.writeHolder(ctx, t.name, t.epoch, next); err != nil {
		m.record(event.Event{Number: event.WorkDutyFailed, Pool: t.name, Detail: fmt.Sprintf("hand over to %s: %v", to, err)})
	}
}

// removeTenure forgets the tenure of a duty.
func (m *Manager) removeTenure(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.tenures, name)
	delete(m.holders, name)
}

// poolHolder returns the running holder of a pool, or nil.
func (m *Manager) poolHolder(name string) *poolHolder {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.holders[name]
}

// currentTenures returns the tenures of this process.
func (m *Manager) currentTenures() []*tenure {
	m.mu.Lock()
	defer m.mu.Unlock()
	list := make([]*tenure, 0, len(m.tenures))
	for _, t := range m.tenures {
		list = append(list, t)
	}
	return list
}

// holdsDuty reports whether this process holds a duty.
func (m *Manager) holdsDuty(name string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.tenures[name] != nil
}

// holdsAnyDuty reports whether this process holds any duty.
func (m *Manager) holdsAnyDuty() bool { return len(m.currentTenures()) > 0 }

// endTenures ends all tenures and waits until their goroutines have ended.
func (m *Manager) endTenures() {
	for _, t := range m.currentTenures() {
		t.end("the process is shutting down")
		<-t.done
	}
}

// maxHandOverWait is how long a leaving member waits until its duties can be handed over without waiting for leases.
// The load balancer takes as long to stop sending callers.
const maxHandOverWait = 1800 * time.Millisecond

// awaitHandOverReadiness waits, for at most maxHandOverWait, until the next holder of each duty need not wait for
// workers that do not answer. The next holder would otherwise wait for the longest lease again, and so would the one
// after it, if entry hosts are replaced one after the other.
func (m *Manager) awaitHandOverReadiness(ctx context.Context) {
	for end := time.Now().Add(maxHandOverWait); time.Now().Before(end); {
		quiet := true
		for _, t := range m.currentTenures() {
			quiet = quiet && m.readyForHandOver(t.name) && m.rosterCurrent(t.name)
		}
		if quiet || !sleep(ctx, dutyCheckInterval/4) {
			return
		}
	}
}

// Leave gives up all duties, once they can be handed over without waiting for leases or after maxHandOverWait. It
// then removes the member row, so that other members need not wait until it lapses.
func (m *Manager) Leave(ctx context.Context) error {
	m.init()
	m.awaitHandOverReadiness(ctx)
	m.mu.Lock()
	m.leaving = true
	m.mu.Unlock()
	ended := m.currentTenures()
	m.endTenures()
	m.offerDuties(ctx, ended)
	_, err := m.Rows.Commit(ctx, platform.RowTransaction{Deletes: []platform.RowKey{m.memberKey(m.MemberName)}, Purpose: "heartbeat"})
	return err
}
