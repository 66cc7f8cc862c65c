package fleet

import (
	"context"
	"slices"

	"github.com/cockroachdb/errors"

	"siskincross/core/duty"
	"siskincross/core/event"
	"siskincross/io/platform"
)

// HandOver releases the duties of this member to its successors and deletes its
// member row. Duties that could not be released are taken over once the row has lapsed.
func (m *Manager) HandOver(ctx context.Context) error {
	m.deciding.Lock()
	defer m.deciding.Unlock()
	m.mu.Lock()
	m.left = true
	m.mu.Unlock()
	view := m.view()
	others := slices.DeleteFunc(slices.Clone(view.Live), func(name string) bool { return name == m.Member })
	for _, r := range m.held() {
		m.changeHolder(ctx, r, duty.Propose(r.pool.Name, others), event.DutyReleased)
	}
	tx := platform.Transaction{
		Writes:  []platform.Write{{Key: memberPrefix + m.Member, Delete: true}},
		Purpose: "leave",
	}
	return errors.Wrap(m.commit(ctx, tx), "delete the member row")
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
