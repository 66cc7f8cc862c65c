package rollout

import (
	"context"
	"fmt"
	"time"

	"siskincross/core/event"
)

// verifyRetryDelay is the delay between attempts of a starting process to verify its
// configuration.
const verifyRetryDelay = 250 * time.Millisecond

// awaitVerified makes the manager ready once its configuration is verified: by reading the
// head or, while the table service or the object store doesn't answer, by holding the
// highest version that the peers reported within PeerWait. In the second case the version
// is known to have been accepted and not to be lower than that of any such peer. A higher
// version may still have been accepted by an entry host that is gone.
func (m *Manager) awaitVerified(ctx context.Context) error {
	for {
		if err := m.pollWithTimeout(ctx, m.Periods.peerWait()); err == nil {
			m.markReady("read from the head row")
			return nil
		}
		m.broadcastVersion()
		if m.holdsHighestPeerVersion() {
			m.markReady("highest version of the peers, the store does not answer")
			return nil
		}
		if !sleep(ctx, jitter(verifyRetryDelay)) {
			return nil
		}
	}
}

func (m *Manager) pollWithTimeout(ctx context.Context, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return m.poll(ctx)
}

// holdsHighestPeerVersion reports whether no peer has reported a higher version and
// PeerWait has passed since the first report.
func (m *Manager) holdsHighestPeerVersion() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.current.Version == 0 || m.firstPeerReport.IsZero() {
		return false
	}
	for _, r := range m.peerReports {
		if r.version > m.current.Version {
			return false
		}
	}
	return time.Since(m.firstPeerReport) >= m.Periods.peerWait()
}

func (m *Manager) markReady(reason string) {
	m.mu.Lock()
	version := m.current.Version
	m.mu.Unlock()
	m.record(event.Event{Number: event.ConfigProved, Detail: fmt.Sprintf("version %d: %s", version, reason)})
	close(m.ready)
	m.broadcastVersion()
}
