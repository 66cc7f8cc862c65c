package runner

import (
	"maps"
	"slices"
	"time"
)

const (
	// maxAnnouncedWaits bounds the number of organisations that a member row names, those that have waited longest first. The row is
	// written with each heartbeat.
	maxAnnouncedWaits = 32
	// awaitedInterval is the time between two looks at what other members announce.
	awaitedInterval = 100 * time.Millisecond
)

// waitingOrganisations returns the organisations of which tasks wait in the pools that this process holds, because other pools have been
// granted too much of their limit.
func (m *Manager) waitingOrganisations(now time.Time) []string {
	m.mu.Lock()
	holders := slices.Collect(maps.Values(m.holders))
	m.mu.Unlock()
	since := make(map[string]time.Time)
	for _, h := range holders {
		h.mu.Lock()
		for name, at := range h.scheduler.Quota.Waiting(now) {
			if known, ok := since[name]; !ok || at.Before(known) {
				since[name] = at
			}
		}
		h.mu.Unlock()
	}
	names := slices.Sorted(maps.Keys(since))
	slices.SortStableFunc(names, func(a, b string) int { return since[a].Compare(since[b]) })
	return names[:min(len(names), maxAnnouncedWaits)]
}

// awaitedOrganisations returns the organisations that live members announce as waiting.
func (m *Manager) awaitedOrganisations() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var names []string
	for _, member := range m.failureDetector.Live() {
		names = append(names, m.members[member].Member.Waiting...)
	}
	return names
}
