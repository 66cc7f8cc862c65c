package rollout

import (
	"context"
	"time"

	"siskincross/core/config"
	"siskincross/io/peer/peerpb"
)

// pushTimeout bounds one push to a peer or fetch from a peer.
const pushTimeout = 4 * time.Second

// reportTTL is how long the report of a peer is kept after its last announcement.
const reportTTL = time.Minute

func headMessage(v config.Version, content []byte) *peerpb.Envelope {
	return &peerpb.Envelope{Body: &peerpb.Envelope_ConfigHead{
		ConfigHead: &peerpb.ConfigHead{Version: uint64(v), Content: content},
	}}
}

func reportMessage(v config.Version) *peerpb.Envelope {
	return &peerpb.Envelope{Body: &peerpb.Envelope_ConfigReport{
		ConfigReport: &peerpb.ConfigReport{Version: uint64(v)},
	}}
}

// broadcastVersion announces the current version to all peers.
func (m *Manager) broadcastVersion() {
	if m.Link.Broadcast != nil {
		m.Link.Broadcast(reportMessage(m.Current().Version))
	}
}

// broadcastCurrent sends the current configuration to all peers.
func (m *Manager) broadcastCurrent() {
	if m.Link.Broadcast == nil {
		return
	}
	e, content := m.currentWithContent()
	m.Link.Broadcast(headMessage(e.Version, content))
}

// announcePeriodically repeats the announcement, so that missed pushes and acknowledgements
// are detected, and deletes the reports of peers that are gone.
func (m *Manager) announcePeriodically(ctx context.Context) error {
	for sleep(ctx, jitter(m.Periods.announce())) {
		m.broadcastVersion()
		m.deleteStaleReports()
		m.recordCompletedRollouts()
	}
	return nil
}

func (m *Manager) deleteStaleReports() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for member, r := range m.peerReports {
		if time.Since(r.receivedAt) > reportTTL {
			delete(m.peerReports, member)
		}
	}
}

// handleReport records the version that a peer announced. If the versions differ, it
// enqueues a push or a fetch.
func (m *Manager) handleReport(_ context.Context, from string, message *peerpb.Envelope) *peerpb.Envelope {
	version := config.Version(message.GetConfigReport().GetVersion())
	m.mu.Lock()
	previous := m.peerReports[from]
	m.peerReports[from] = peerReport{version: max(previous.version, version), receivedAt: time.Now()}
	if version > 0 && m.firstPeerReport.IsZero() {
		m.firstPeerReport = time.Now()
	}
	current := m.current.Version
	// A peer that repeats an old version has missed the push.
	repeated := !previous.receivedAt.IsZero() && previous.version == version
	firstReport := previous.receivedAt.IsZero()
	m.mu.Unlock()
	switch {
	case version > current:
		tryEnqueue(m.fetchQueue, from)
	case version < current && (repeated || firstReport):
		tryEnqueue(m.pushQueue, from)
	}
	m.recordCompletedRollouts()
	return nil
}

// tryEnqueue adds a member to a queue, or drops it if the queue is full. The peer's next
// announcement enqueues it again.
func tryEnqueue(queue chan<- string, member string) {
	select {
	case queue <- member:
	default:
	}
}

// handleHead adopts a pushed configuration, or replies to a fetch with the current one if
// that is newer.
func (m *Manager) handleHead(_ context.Context, from string, message *peerpb.Envelope) *peerpb.Envelope {
	pushed := message.GetConfigHead()
	if len(pushed.GetContent()) > 0 {
		return m.adoptPushed(from, pushed)
	}
	e, content := m.currentWithContent()
	if uint64(e.Version) > pushed.GetVersion() {
		return headMessage(e.Version, content)
	}
	return nil
}

func (m *Manager) adoptPushed(from string, pushed *peerpb.ConfigHead) *peerpb.Envelope {
	if config.Version(pushed.GetVersion()) <= m.Current().Version {
		return nil
	}
	var e config.Expanded
	if err := unmarshalCompressed(pushed.GetContent(), &e); err != nil {
		return errorReply(err.Error())
	}
	if uint64(e.Version) != pushed.GetVersion() {
		return errorReply("the content has a different version than the message")
	}
	m.mu.Lock()
	if m.firstPeerReport.IsZero() {
		m.firstPeerReport = time.Now()
	}
	m.mu.Unlock()
	m.adopt(e, pushed.GetContent(), "entry host "+from)
	return nil
}

func errorReply(reason string) *peerpb.Envelope {
	return &peerpb.Envelope{Body: &peerpb.Envelope_Acknowledgement{
		Acknowledgement: &peerpb.Acknowledgement{Error: reason},
	}}
}

// runPeerSync pushes to peers with a lower version and fetches from peers with a higher
// one, one at a time, until ctx ends.
func (m *Manager) runPeerSync(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case member := <-m.pushQueue:
			m.pushTo(ctx, member)
		case member := <-m.fetchQueue:
			m.fetchFrom(ctx, member)
		}
	}
}

func (m *Manager) pushTo(ctx context.Context, member string) {
	e, content := m.currentWithContent()
	if m.Link.Call == nil || m.reportedVersion(member) >= e.Version {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	if _, err := m.Link.Call(ctx, member, headMessage(e.Version, content)); err != nil {
		m.scope().Counter("failed-pushes").Inc(1)
	}
}

func (m *Manager) fetchFrom(ctx context.Context, member string) {
	version := m.Current().Version
	if m.Link.Call == nil || m.reportedVersion(member) <= version {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	reply, err := m.Link.Call(ctx, member, headMessage(version, nil))
	if err != nil || len(reply.GetConfigHead().GetContent()) == 0 {
		m.scope().Counter("failed-fetches").Inc(1)
		return
	}
	m.adoptPushed(member, reply.GetConfigHead())
}

func (m *Manager) reportedVersion(member string) config.Version {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.peerReports[member].version
}
