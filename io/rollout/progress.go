package rollout

import (
	"fmt"
	"sort"
	"time"

	"siskincross/core/config"
	"siskincross/core/event"
)

// keptRollouts bounds the versions whose roll-out time is kept.
const keptRollouts = 1024

// Progress tells how far a version is in force.
type Progress struct {
	Version config.Version `json:"version"`
	// Acknowledged are the live entry hosts that hold the version or a higher one.
	Acknowledged []string `json:"acknowledged"`
	// Waiting are the live entry hosts that do not.
	Waiting []string `json:"waiting"`
	// InForce tells that every live entry host has acknowledged.
	InForce bool `json:"in-force"`
	// RolloutTime is the time from the receipt of the change to its being in force. It is
	// known at the entry host that accepted the change, and zero elsewhere.
	RolloutTime time.Duration `json:"rollout,omitempty"`
}

// tracked is the roll-out of a version that was accepted here.
type tracked struct {
	organisation string
	received     time.Time
	cause        event.ID
	// rollout is zero until the version was in force.
	rollout time.Duration
}

// RolloutProgress tells which live entry hosts have acknowledged a version.
func (m *Manager) RolloutProgress(v config.Version) Progress {
	m.init()
	members := m.members()
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.progress(v, members)
}

// progress is InForce for a caller that holds the lock.
func (m *Manager) progress(v config.Version, members []string) Progress {
	p := Progress{Version: v, Acknowledged: []string{}, Waiting: []string{}}
	for _, member := range members {
		held := m.reports[member].version
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
		p.RolloutTime = t.rollout
		// Once in force a version stays in force: members only ever hold higher ones.
		p.InForce = p.InForce || t.rollout > 0
	}
	return p
}

// members returns the live members, sorted; always with this one.
func (m *Manager) members() []string {
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

// track begins to time the roll-out of an accepted version.
func (m *Manager) track(v config.Version, t *tracked) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.rollouts[v] = t
	if len(m.rollouts) <= keptRollouts {
		return
	}
	oldest := v
	for version := range m.rollouts {
		oldest = min(oldest, version)
	}
	delete(m.rollouts, oldest)
}

// checkRollouts notes the versions that have come into force.
func (m *Manager) checkRollouts() {
	members := m.members()
	m.mu.Lock()
	var done []event.Event
	for version, t := range m.rollouts {
		if t.rollout > 0 || !m.progress(version, members).InForce {
			continue
		}
		t.rollout = max(time.Since(t.received), time.Nanosecond)
		m.scope().Timer("rollout").Record(t.rollout)
		done = append(done, event.Event{
			Number: event.ConfigInForce, Organisation: t.organisation, Cause: t.cause,
			Detail: fmt.Sprintf("version %d after %s", version, t.rollout.Round(time.Millisecond)),
		})
	}
	m.mu.Unlock()
	for _, e := range done {
		m.record(e)
	}
}
