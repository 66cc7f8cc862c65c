package fleet

import (
	"context"
	"time"

	"siskincross/core/event"
	"siskincross/core/host"
	"siskincross/core/pool"
	"siskincross/io/platform"
)

// runList reads the platform's list of hosts until ctx ends. Every entry host
// reads it itself: a host that is listed as leaving or failed gets no new work
// here, also while nobody can write the pool's row.
func (m *Manager) runList(ctx context.Context) error {
	return every(ctx, m.Periods.List, nil, m.readList)
}

func (m *Manager) readList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, m.Periods.CallTimeout)
	defer cancel()
	listings, err := m.Platform.Hosts.List(ctx)
	if err != nil {
		return
	}
	now := time.Now()
	m.mu.Lock()
	if m.listStarted.IsZero() && len(listings) > 0 {
		m.listStarted = now
	}
	before := m.list
	m.list = before.WithListing(lines(listings), now)
	after := m.list
	m.mu.Unlock()
	m.reportDoubt(before.DistrustReason(), after.DistrustReason())
}

func (m *Manager) reportDoubt(before, after string) {
	switch {
	case before == "" && after != "":
		m.record(event.Event{Number: event.ListDoubted, Detail: after})
	case before != "" && after == "":
		m.record(event.Event{Number: event.ListTrusted, Detail: before})
	}
}

func lines(listings []platform.HostInfo) []pool.ListedHost {
	all := make([]pool.ListedHost, 0, len(listings))
	for _, l := range listings {
		all = append(all, pool.ListedHost{
			ID:        l.Host,
			Address:   l.Address,
			Place:     l.Place,
			Capacity:  l.Capacity,
			HomePool:  l.HomePool,
			Live:      l.Condition == platform.ConditionLive,
			Leaving:   l.Condition == platform.ConditionLeaving,
			Failed:    l.Condition == platform.ConditionFailed,
			BootCount: l.BootCount,
		})
	}
	return all
}

// listed returns the list, and whether anything may be decided by it.
func (m *Manager) listed() (pool.HostList, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.list, !m.listStarted.IsZero()
}

// sight returns what the list tells of a host.
func (m *Manager) sight(id host.ID, now time.Time) pool.Observation {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.list.Observation(id, m.listStarted, now)
}
