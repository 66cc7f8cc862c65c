package rollout

import (
	"context"
	"fmt"
	"time"

	"siskincross/core/event"
)

// proofRetry is the pause between attempts of a starting process to prove its configuration.
const proofRetry = 250 * time.Millisecond

// prove makes the manager ready: with the head read from the store, or, while
// the store does not answer, with the highest version of the peers that
// answered within the settle period. The latter proves that no version is
// served that was not accepted, and none below that of any such peer; it does
// not prove that no higher version was accepted at an entry host that is gone.
func (m *Manager) prove(ctx context.Context) error {
	for {
		if err := m.pollWithin(ctx, m.Periods.settle()); err == nil {
			m.markProved("the head row was read")
			return nil
		}
		m.announce()
		if m.heardEnough() {
			m.markProved("highest of the peers, the store does not answer")
			return nil
		}
		if !pause(ctx, jitter(proofRetry)) {
			return nil
		}
	}
}

func (m *Manager) pollWithin(ctx context.Context, bound time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, bound)
	defer cancel()
	return m.poll(ctx)
}

// heardEnough reports whether the peers' highest version is held and they had time to tell it.
func (m *Manager) heardEnough() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.current.Version == 0 || m.listening.IsZero() {
		return false
	}
	for _, r := range m.reports {
		if r.version > m.current.Version {
			return false
		}
	}
	return time.Since(m.listening) >= m.Periods.settle()
}

func (m *Manager) markProved(how string) {
	m.mu.Lock()
	m.proved = true
	version := m.current.Version
	m.mu.Unlock()
	m.record(event.Event{Number: event.ConfigProved, Detail: fmt.Sprintf("version %d: %s", version, how)})
	close(m.ready)
	m.announce()
}
