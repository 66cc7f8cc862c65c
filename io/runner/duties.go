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
	// dutyEvery is the time between two looks at who holds which duty.
	dutyEvery = 200 * time.Millisecond
	// firstDuty is how long a starting member waits before it takes duties, so that members
	// that start together have seen each other.
	firstDuty = 1200 * time.Millisecond
	// hostsWeight is the work of the duty for hosts relative to that for a pool: it calls no workers and starts no tasks.
	hostsWeight = 0.25
)

// runDuties takes and gives up duties until ctx ends, or until this member is not needed. It takes those of others once it has watched.
func (m *Manager) runDuties(ctx context.Context, watch time.Duration) {
	defer m.stopTenures()
	started := time.Now()
	last, needed := started, started
	for sleep(ctx, dutyEvery) {
		now := time.Now()
		live, settled := m.judge(now.Sub(last), now)
		last = now
		m.mu.Lock()
		leaving := m.leaving
		m.mu.Unlock()
		if leaving {
			continue
		}
		names := m.dutyNames()
		spread := m.spread(names, live)
		for _, name := range names {
			if now.Sub(started) >= watch {
				m.look(ctx, name, duty.View{Self: m.MemberName, Live: live, Established: settled, Assignment: spread})
			} else {
				m.resume(ctx, name)
			}
		}
		if m.needed(names, live) {
			needed = now
		} else if now.Sub(needed) > idleAfter {
			return
		}
	}
}

// dutyNames returns the duties: one for hosts, and one for each pool that is not on standby.
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

// spread returns which member should hold each duty by the holders known.
func (m *Manager) spread(names, live []string) map[string]string {
	m.mu.Lock()
	defer m.mu.Unlock()
	duties := make(map[string]duty.Duty, len(names))
	for _, name := range names {
		duties[name] = duty.Duty{Holder: m.holderRows[name].Holder}
		if name == hostsDuty {
			duties[name] = duty.Duty{Holder: m.holderRows[name].Holder, Weight: hostsWeight, Pinned: true}
		}
	}
	return duty.Assignment(duties, duty.Membership{Live: live, Stable: m.ledger.Stable(echoTime), Capacities: m.capacities(live)})
}

// look does what is due about one duty.
func (m *Manager) look(ctx context.Context, name string, view duty.View) {
	m.mu.Lock()
	row := m.holderRows[name]
	t := m.tenures[name]
	m.mu.Unlock()
	switch {
	case t == nil:
	case t.ended():
		m.endTenure(name)
		t = nil
	case row.version > t.epoch:
		t.end("another member took the duty")
		return
	}
	if len(view.Live) == 0 {
		return
	}
	step, to := duty.NextStep(pool.Pool{Name: name, Holder: row.Holder}, view)
	switch {
	case step == duty.StepTake, row.Holder == m.MemberName && t == nil:
		m.takeDuty(ctx, name, row)
	case step == duty.StepHandOver && t != nil && name != hostsDuty && m.quiet(name) && m.rosterKept(name):
		// The duty for hosts is light and stays: its hosts would stand still around a hand-over.
		m.handOver(ctx, t, to)
	}
}

// resume takes a duty that an earlier incarnation of this entry host held: it has ended, and nobody else may know that yet.
func (m *Manager) resume(ctx context.Context, name string) {
	m.mu.Lock()
	row, known := m.holderRows[name]
	held := m.tenures[name] != nil
	m.mu.Unlock()
	if known && !held && row.Holder != m.MemberName && m.earlier(row.Holder) {
		m.takeDuty(ctx, name, row)
	}
}

// quiet reports whether a duty can be handed over without a wait for leases. A new holder has to wait for every worker that
// does not answer, and does not know how long that has been so.
func (m *Manager) quiet(name string) bool {
	h := m.poolHolder(name)
	if h == nil {
		return true
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.loaded && h.scheduler.ReadyForHandOver(time.Now())
}

// rosterKept reports whether the stored roster of a pool has no life that is over.
func (m *Manager) rosterKept(name string) bool {
	h := m.poolHolder(name)
	if h == nil {
		return true
	}
	listings, _ := m.workers.poolWorkers(name)
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.committing && maps.Equal(h.stored, h.scheduler.RequiredRoster(listings, h.clearing.withdrawn()))
}

// takeDuty writes ourselves as the holder of a pool's duty, and runs it.
func (m *Manager) takeDuty(ctx context.Context, name string, row versionedHolder) {
	next := holderRow{Holder: m.MemberName, Term: row.Term + 1}
	version, err := m.writeHolder(ctx, name, row.version, next)
	if err != nil {
		m.record(event.Event{Number: event.WorkDutyFailed, Pool: name, Detail: "take: " + err.Error()})
		return
	}
	t := newTenure(m, name, version, row.Term)
	m.mu.Lock()
	m.tenures[name] = t
	if name == hostsDuty {
		newHostsHolder(t)
	} else {
		m.holders[name] = newPoolHolder(t)
	}
	m.mu.Unlock()
	t.start(ctx)
}

// writeHolder writes the holder's row and the mark that fences earlier holders.
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
	m.mu.Lock()
	defer m.mu.Unlock()
	if version > m.holderRows[name].version {
		m.holderRows[name] = versionedHolder{holderRow: row, version: version}
	}
	return version, nil
}

// handOver stops a duty and names the next holder.
func (m *Manager) handOver(ctx context.Context, t *tenure, to string) {
	t.end("handed over to " + to)
	<-t.done
	m.endTenure(t.name)
	if _, err := m.writeHolder(ctx, t.name, t.epoch, holderRow{Holder: to, Term: t.term + 1}); err != nil {
		m.record(event.Event{Number: event.WorkDutyFailed, Pool: t.name, Detail: fmt.Sprintf("hand over to %s: %v", to, err)})
	}
}

func (m *Manager) endTenure(name string) {
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

func (m *Manager) tenureList() []*tenure {
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

func (m *Manager) holdsAnyDuty() bool { return len(m.tenureList()) > 0 }

// stopTenures waits for the ends of all duties.
func (m *Manager) stopTenures() {
	for _, t := range m.tenureList() {
		t.end("the process ends")
		<-t.done
	}
}

// quietWait is how long a leaving member keeps its duties until they can be handed over without a wait for leases. The balancer
// takes as long to send no more callers.
const quietWait = 1800 * time.Millisecond

// awaitQuiet waits, for a while, until no next holder has to wait for workers that do not answer. A next holder would wait for the whole
// longest lease again, and so would the one after it, if entry hosts are replaced one after the other.
func (m *Manager) awaitQuiet(ctx context.Context) {
	for end := time.Now().Add(quietWait); time.Now().Before(end); {
		quiet := true
		for _, t := range m.tenureList() {
			quiet = quiet && m.quiet(t.name) && m.rosterKept(t.name)
		}
		if quiet || !sleep(ctx, dutyEvery/4) {
			return
		}
	}
}

// Leave gives up all duties, once they are quiet or after a while, and tells the other members, so that they need not wait for a lapse.
func (m *Manager) Leave(ctx context.Context) error {
	m.init()
	m.awaitQuiet(ctx)
	m.mu.Lock()
	m.leaving = true
	m.mu.Unlock()
	m.stopTenures()
	_, err := m.Rows.Commit(ctx, platform.RowTransaction{Deletes: []platform.RowKey{m.memberKey(m.MemberName)}, Purpose: "heartbeat"})
	return err
}
