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

// leavePolls is how many polls of the others a leaving member waits for, so
// that they read the rows that it wrote last.
const leavePolls = 2

// HandOver releases the duties of this member to its successors and deletes its
// member row. Duties that could not be released are taken over once the row has lapsed.
//
// The members and rows are read afresh first, so that no duty goes to a member
// that has just left. The member row then stays for some polls and names the
// released rows; without it, the successors would find them only in turn. If the store is away when the row is to be deleted, it lapses.
func (m *Manager) HandOver(ctx context.Context) error {
	alone, err := m.releaseWithin(ctx, leaveWait)
	if err != nil {
		return err
	}
	if !alone {
		pause(ctx, leavePolls*m.Periods.Poll)
	}
	tx := platform.Transaction{
		Writes:  []platform.Write{{Key: memberPrefix + m.Member, Delete: true}},
		Purpose: "leave",
	}
	if err := m.commit(ctx, tx); err != nil {
		// The others know that this member leaves; its row lapses.
		m.record(event.Event{Number: event.StoreUnavailable, Detail: "delete the member row: " + err.Error()})
	}
	return nil
}

// leaveWait is how long a leaving member waits for a store that is away: after a few seconds its row lapses, and its duties are taken over
// without it.
const leaveWait = 3 * time.Second

// releaseWithin is release, tried again for a while as long as the store is away.
func (m *Manager) releaseWithin(ctx context.Context, wait time.Duration) (alone bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		alone, err = m.release(ctx)
		if !errors.As(err, &platform.ErrUnavailable{}) || ctx.Err() != nil {
			return alone, err
		}
		m.record(event.Event{Number: event.StoreUnavailable, Detail: "leave: " + err.Error()})
		pause(ctx, leaveRetry)
	}
}

// leaveRetry is the time between two tries to leave.
const leaveRetry = 200 * time.Millisecond

// release gives the duties to the others and tells them. Nothing is decided
// afterwards. It reports whether there are no others.
func (m *Manager) release(ctx context.Context) (alone bool, err error) {
	m.deciding.Lock()
	defer m.deciding.Unlock()
	m.mu.Lock()
	m.left = true
	m.mu.Unlock()
	if err := m.refreshAll(ctx); err != nil {
		return false, err
	}
	live := m.view().Live
	others := slices.DeleteFunc(slices.Clone(live), func(name string) bool { return name == m.Member })
	for _, r := range m.held() {
		m.changeHolder(ctx, r, duty.PreferredHolder(r.pool.Name, others), event.DutyReleased)
	}
	return len(others) == 0, m.announceLeave(ctx)
}

// refreshAll reads the member rows and all pools' rows.
func (m *Manager) refreshAll(ctx context.Context) error {
	if err := m.poll(ctx); err != nil {
		return errors.Wrap(err, "read the members before leaving")
	}
	pools := m.Config().Pools
	names := make([]string, len(pools))
	for i, p := range pools {
		names[i] = p.Name
	}
	return m.refresh(ctx, names)
}

// announceLeave writes the member row for the last time.
func (m *Manager) announceLeave(ctx context.Context) error {
	own := m.ownRequests()
	m.mu.Lock()
	member := m.describe(time.Now(), own)
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
	return errors.Wrap(m.commit(ctx, tx), "announce the leave")
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// deleteMember deletes the row of another member if it is still as it was seen.
func (m *Manager) deleteMember(ctx context.Context, name string) {
	m.mu.Lock()
	s, ok := m.ledger.Member(name)
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
