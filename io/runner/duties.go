package runner

import (
	"context"
	"fmt"
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
)

// runDuties takes and gives up duties until ctx ends.
func (m *Manager) runDuties(ctx context.Context) {
	defer m.stopHolders()
	started := time.Now()
	last := started
	for sleep(ctx, dutyEvery) {
		now := time.Now()
		live, settled := m.judge(now.Sub(last), now)
		last = now
		m.mu.Lock()
		leaving := m.leaving
		m.mu.Unlock()
		if leaving || now.Sub(started) < firstDuty {
			continue
		}
		for _, name := range m.dutyNames() {
			m.look(ctx, name, duty.View{Self: m.Member, Live: live, Settled: settled})
		}
	}
}

// dutyNames returns the duties: one for each pool that is not on standby.
func (m *Manager) dutyNames() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	names := m.catalogue.PoolNames()
	kept := names[:0]
	for _, name := range names {
		if !m.catalogue.Pools[name].Standby {
			kept = append(kept, name)
		}
	}
	return kept
}

// look does what is due about one duty.
func (m *Manager) look(ctx context.Context, name string, view duty.View) {
	m.mu.Lock()
	row := m.holderRows[name]
	h := m.holders[name]
	m.mu.Unlock()
	if h != nil {
		select {
		case <-h.done:
			m.setHolder(name, nil)
			h = nil
		default:
			if row.version > h.epoch {
				h.lose("another member took the duty")
				return
			}
		}
	}
	if len(view.Live) == 0 {
		return
	}
	step, to := duty.Decide(pool.Pool{Name: name, Holder: row.Holder}, view)
	switch {
	case step == duty.StepTake, row.Holder == m.Member && h == nil:
		m.takeDuty(ctx, name, row)
	case step == duty.StepHandOver && h != nil:
		m.handOver(ctx, h, to)
	}
}

// takeDuty writes ourselves as the holder of a pool's duty, and runs it.
func (m *Manager) takeDuty(ctx context.Context, name string, row heldRow) {
	next := holderRow{Holder: m.Member, Term: row.Term + 1}
	version, err := m.writeHolder(ctx, name, row.version, next)
	if err != nil {
		m.record(event.Event{Number: event.WorkDutyFailed, Pool: name, Detail: "take: " + err.Error()})
		return
	}
	h := newHolder(m, name, version, row.Term)
	m.setHolder(name, h)
	h.start(ctx)
}

// writeHolder writes the holder's row and the mark that fences earlier holders.
func (m *Manager) writeHolder(ctx context.Context, name string, expected uint64, row holderRow) (uint64, error) {
	key := platform.RowKey{Table: fleetTable, Part: name, Key: holderKey}
	value := encode(row)
	version, err := m.Rows.Commit(ctx, platform.Commit{
		Expected: []platform.Expectation{{RowKey: key, Version: expected}},
		Writes:   []platform.RowWrite{{RowKey: key, Value: value}, {RowKey: markKey(name, fenceKey), Value: value}},
		Purpose:  "duty",
	})
	if err != nil {
		return 0, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if version > m.holderRows[name].version {
		m.holderRows[name] = heldRow{holderRow: row, version: version}
	}
	return version, nil
}

// handOver stops a duty and names the next holder.
func (m *Manager) handOver(ctx context.Context, h *holder, to string) {
	h.lose("handed over to " + to)
	<-h.done
	m.setHolder(h.pool, nil)
	if _, err := m.writeHolder(ctx, h.pool, h.epoch, holderRow{Holder: to, Term: h.board.Term + 1}); err != nil {
		m.record(event.Event{Number: event.WorkDutyFailed, Pool: h.pool, Detail: fmt.Sprintf("hand over to %s: %v", to, err)})
	}
}

func (m *Manager) setHolder(name string, h *holder) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if h == nil {
		delete(m.holders, name)
		return
	}
	m.holders[name] = h
}

// holder returns the running holder of a pool, or nil.
func (m *Manager) holder(name string) *holder {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.holders[name]
}

func (m *Manager) holderList() []*holder {
	m.mu.Lock()
	defer m.mu.Unlock()
	list := make([]*holder, 0, len(m.holders))
	for _, h := range m.holders {
		list = append(list, h)
	}
	return list
}

func (m *Manager) holdsAny() bool { return len(m.holderList()) > 0 }

// stopHolders waits for the ends of all duties.
func (m *Manager) stopHolders() {
	for _, h := range m.holderList() {
		h.lose("the process ends")
		<-h.done
	}
}

// Leave gives up all duties and tells the other members, so that they need not wait for a lapse.
func (m *Manager) Leave(ctx context.Context) error {
	m.init()
	m.mu.Lock()
	m.leaving = true
	m.mu.Unlock()
	m.stopHolders()
	_, err := m.Rows.Commit(ctx, platform.Commit{Removes: []platform.RowKey{m.memberKey(m.Member)}, Purpose: "heartbeat"})
	return err
}
