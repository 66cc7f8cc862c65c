package rollout

import (
	"context"
	"time"

	"siskincross/core/config"
	"siskincross/io/peer/peerpb"
)

// pushTimeout bounds one push to, or fetch from, a peer.
const pushTimeout = 4 * time.Second

// forgetAfter is how long a peer's report outlives its last message.
const forgetAfter = time.Minute

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

// announce tells all peers the version that is held.
func (m *Manager) announce() {
	if m.Link.Broadcast != nil {
		m.Link.Broadcast(reportMessage(m.Current().Version))
	}
}

// push sends the configuration to all peers.
func (m *Manager) push() {
	if m.Link.Broadcast == nil {
		return
	}
	e, content := m.held()
	m.Link.Broadcast(headMessage(e.Version, content))
}

// announceAll repeats the announcement, so that peers that missed a push or an
// acknowledgement notice, and drops the reports of peers that are gone.
func (m *Manager) announceAll(ctx context.Context) error {
	for pause(ctx, jitter(m.Periods.announce())) {
		m.announce()
		m.forgetReports()
		m.checkRollouts()
	}
	return nil
}

func (m *Manager) forgetReports() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for member, r := range m.reports {
		if time.Since(r.heard) > forgetAfter {
			delete(m.reports, member)
		}
	}
}

// handleReport notes the version that a peer holds and evens out a difference.
func (m *Manager) handleReport(_ context.Context, from string, message *peerpb.Envelope) *peerpb.Envelope {
	version := config.Version(message.GetConfigReport().GetVersion())
	m.mu.Lock()
	old := m.reports[from]
	m.reports[from] = report{version: max(old.version, version), heard: time.Now()}
	if version > 0 && m.listening.IsZero() {
		m.listening = time.Now()
	}
	current := m.current.Version
	// A peer that repeats an old version has missed the push.
	repeated := !old.heard.IsZero() && old.version == version
	fresh := old.heard.IsZero()
	m.mu.Unlock()
	switch {
	case version > current:
		offer(m.ahead, from)
	case version < current && (repeated || fresh):
		offer(m.lagging, from)
	}
	m.checkRollouts()
	return nil
}

// offer adds a member to a queue unless it is full: the next announcement offers it again.
func offer(queue chan<- string, member string) {
	select {
	case queue <- member:
	default:
	}
}

// handleHead adopts a pushed configuration, or answers a request for the one that is held.
func (m *Manager) handleHead(_ context.Context, from string, message *peerpb.Envelope) *peerpb.Envelope {
	pushed := message.GetConfigHead()
	if len(pushed.GetContent()) > 0 {
		return m.receive(from, pushed)
	}
	e, content := m.held()
	if uint64(e.Version) > pushed.GetVersion() {
		return headMessage(e.Version, content)
	}
	return nil
}

func (m *Manager) receive(from string, pushed *peerpb.ConfigHead) *peerpb.Envelope {
	if config.Version(pushed.GetVersion()) <= m.Current().Version {
		return nil
	}
	var e config.Expanded
	if err := unpack(pushed.GetContent(), &e); err != nil {
		return refusal(err.Error())
	}
	if uint64(e.Version) != pushed.GetVersion() {
		return refusal("the content is of another version")
	}
	m.mu.Lock()
	if m.listening.IsZero() {
		m.listening = time.Now()
	}
	m.mu.Unlock()
	m.adopt(e, pushed.GetContent(), "entry host "+from)
	return nil
}

func refusal(reason string) *peerpb.Envelope {
	return &peerpb.Envelope{Body: &peerpb.Envelope_Acknowledgement{
		Acknowledgement: &peerpb.Acknowledgement{Error: reason},
	}}
}

// exchange pushes to lagging peers and fetches from those ahead, one after another.
func (m *Manager) exchange(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case member := <-m.lagging:
			m.pushTo(ctx, member)
		case member := <-m.ahead:
			m.fetchFrom(ctx, member)
		}
	}
}

func (m *Manager) pushTo(ctx context.Context, member string) {
	e, content := m.held()
	if m.Link.Call == nil || m.reported(member) >= e.Version {
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
	if m.Link.Call == nil || m.reported(member) <= version {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	reply, err := m.Link.Call(ctx, member, headMessage(version, nil))
	if err != nil || len(reply.GetConfigHead().GetContent()) == 0 {
		m.scope().Counter("failed-fetches").Inc(1)
		return
	}
	m.receive(member, reply.GetConfigHead())
}

func (m *Manager) reported(member string) config.Version {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.reports[member].version
}
