package rollout

import (
	"fmt"
	"sort"
	"time"

	"siskincross/core/config"
	"siskincross/core/event"
)

// maxTrackedRollouts bounds the versions whose roll-out time is kept.
const maxTrackedRollouts = 1024

// Progress is the progress of the roll-out of one version.
type Progress struct {
	Version config.Version `json:"version"`
	// Acknowledged lists the live entry hosts that have the version or a higher one.
	Acknowledged []string `json:"acknowledged"`
	// Waiting lists the live entry hosts that have a lower version.
	Waiting []string `json:"waiting"`
	// InForce is set once every live entry host has acknowledged the version.
	InForce bool `json:"in-force"`
	// RolloutTime is the time from the receipt of the change until it was in force. It is
	// known only on the entry host that received the change, and zero elsewhere.
	RolloutTime time.Duration `json:"rollout,omitempty"`
}

// trackedRollout is the roll-out of a change that this entry host received.
type trackedRollout struct {
	organisation string
	receivedAt   time.Time
	cause        event.ID
	// duration is zero until the version is in force.
	duration time.Duration
}

// RolloutProgress returns the live entry hosts that have acknowledged a version and those
// that have not.
func (m *Manager) RolloutProgress(v config.Version) Progress {
	m.init()
	members := m.liveMembers()
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.progressLocked(v, members)
}

// progressLocked is RolloutProgress for a caller that holds mu.
func (m *Manager) progressLocked(v config.Version, members []string) Progress {
	p := Progress{Version: v, Acknowledged: []string{}, Waiting: []string{}}
	for _, member := range members {
		held := m.peerReports[member].version
		if member == m.Member {
			held = m.current.Version
		}
		if held >= v {
			p.Acknowledged = append(p.Acknowledged, member)
		} else {
			p.Waiting = append(p.Waiting, member)
		}
	}
	p.InForce = len(p.Waiting) == 0
	if t, ok := m.rollouts[v]; ok {
		p.RolloutTime = t.duration
		// A version stays in force: members only ever adopt higher ones.
		p.InForce = p.InForce || t.duration > 0
	}
	return p
}

// liveMembers returns the live members including this one, sorted.
func (m *Manager) liveMembers() []string {
	members := []string{m.Member}
	if m.Members == nil {
		return members
	}
	for _, member := range m.Members() {
		if member != m.Member {
			members = append(members, member)
		}
	}
	sort.Strings(members)
	return members
}

// trackRollout starts to measure the roll-out of an accepted version.
func (m *Manager) trackRollout(v config.Version, t *trackedRollout) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.rollouts[v] = t
	if len(m.rollouts) <= maxTrackedRollouts {
		return
	}
	oldest := v
	for version := range m.rollouts {
		oldest = min(oldest, version)
	}
	delete(m.rollouts, oldest)
}

// recordCompletedRollouts records the versions that have come into force.
func (m *Manager) recordCompletedRollouts() {
	members := m.liveMembers()
	m.mu.Lock()
	var done []event.Event
	for version, t := range m.rollouts {
		if t.duration > 0 || !m.progressLocked(version, members).InForce {
			continue
		}
		t.duration = max(time.Since(t.receivedAt), time.Nanosecond)
		m.scope().Timer("rollout").Record(t.duration)
		done = append(done, event.Event{
			Number: event.ConfigInForce, Organisation: t.organisation, Cause: t.cause,
			Detail: fmt.Sprintf("version %d after %s", version, t.duration.Round(time.Millisecond)),
		})
	}
	m.mu.Unlock()
	for _, e := range done {
		m.record(e)
	}
}
