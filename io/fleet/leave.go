package fleet

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"siskincross/core/duty"
	"siskincross/core/event"
	"siskincross/io/platform"
)

// handOverPolls is how many poll periods a leaving member waits, so that the other members
// read the rows that it wrote last.
const handOverPolls = 2

// HandOver releases the duties of this member to its successors and deletes its member row.
// Duties that could not be released are taken over after the row has lapsed.
//
// The members and rows are read again first, so that no duty is handed to a member that has
// just left. The member row then stays for a few polls and advertises the released rows;
// without it, the successors would find them only in round-robin order. If the table
// service is unavailable when the row is to be deleted, the row lapses.
func (m *Manager) HandOver(ctx context.Context) error {
	alone, err := m.releaseDutiesWithin(ctx, handOverStoreTimeout)
	if err != nil {
		return err
	}
	if !alone {
		sleep(ctx, handOverPolls*m.Periods.Poll)
	}
	tx := platform.Transaction{
		Writes:  []platform.Write{{Key: memberPrefix + m.Member, Delete: true}},
		Purpose: "leave",
	}
	if err := m.commit(ctx, tx); err != nil {
		// The other members know that this one is leaving, and its row lapses.
		m.record(event.Event{Number: event.StoreUnavailable, Detail: "delete the member row when leaving: " + err.Error()})
	}
	return nil
}

// handOverStoreTimeout is how long a leaving member waits for an unavailable table service.
// After a few seconds its row lapses anyway, and its duties are taken over.
const handOverStoreTimeout = 3 * time.Second

// releaseDutiesWithin calls releaseDuties and retries it while the table service is
// unavailable, for at most wait.
func (m *Manager) releaseDutiesWithin(ctx context.Context, wait time.Duration) (alone bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		alone, err = m.releaseDuties(ctx)
		if !errors.As(err, &platform.ErrUnavailable{}) || ctx.Err() != nil {
			return alone, err
		}
		m.record(event.Event{Number: event.StoreUnavailable, Detail: "release duties when leaving: " + err.Error()})
		sleep(ctx, handOverRetryDelay)
	}
}

// handOverRetryDelay is the delay between attempts to hand over.
const handOverRetryDelay = 200 * time.Millisecond

// releaseDuties hands the duties to the other members and announces the leave. No decisions
// are made afterwards. It reports whether there are no other members.
func (m *Manager) releaseDuties(ctx context.Context) (alone bool, err error) {
	m.decisionMu.Lock()
	defer m.decisionMu.Unlock()
	m.mu.Lock()
	m.handedOver = true
	m.mu.Unlock()
	if err := m.refreshAll(ctx); err != nil {
		return false, err
	}
	live := m.membershipView().Live
	others := slices.DeleteFunc(slices.Clone(live), func(name string) bool { return name == m.Member })
	for _, r := range m.heldRows() {
		m.changeHolder(ctx, r, duty.PreferredHolder(r.pool.Name, others), event.DutyReleased)
	}
	return len(others) == 0, m.announceLeave(ctx)
}

// refreshAll reads the member rows and all pool rows.
func (m *Manager) refreshAll(ctx context.Context) error {
	if err := m.poll(ctx); err != nil {
		return errors.Wrap(err, "read the member rows before leaving")
	}
	pools := m.Config().Pools
	names := make([]string, len(pools))
	for i, p := range pools {
		names[i] = p.Name
	}
	return m.refresh(ctx, names)
}

// announceLeave writes the member row for the last time, marked as leaving.
func (m *Manager) announceLeave(ctx context.Context) error {
	now := time.Now()
	requests := m.localRequests()
	m.mu.Lock()
	member := m.memberRow(now, requests)
	m.mu.Unlock()
	member.Leaving = true
	value, err := json.Marshal(member)
	if err != nil {
		return errors.Wrap(err, "encode the member row")
	}
	tx := platform.Transaction{
		Writes:  []platform.Write{{Key: memberPrefix + m.Member, Value: value}},
		Purpose: "leave",
	}
	return errors.Wrap(m.commit(ctx, tx), "write the leaving member row")
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// deleteMember deletes the row of another member, provided that it hasn't changed since it
// was read.
func (m *Manager) deleteMember(ctx context.Context, name string) {
	m.mu.Lock()
	s, ok := m.detector.Member(name)
	m.mu.Unlock()
	if !ok {
		return
	}
	key := memberPrefix + name
	tx := platform.Transaction{
		Preconditions: []platform.Precondition{{Key: key, Version: s.Version}},
		Writes:        []platform.Write{{Key: key, Delete: true}},
		Purpose:       "leave",
	}
	if err := m.commit(ctx, tx); err != nil && !errors.As(err, &platform.ErrConflict{}) {
		m.record(event.Event{Number: event.StoreUnavailable, Detail: err.Error()})
	}
}
