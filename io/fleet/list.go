package fleet

import (
	"context"
	"time"

	"siskincross/core/event"
	"siskincross/core/host"
	"siskincross/core/pool"
	"siskincross/io/platform"
)

// runList reads the platform's host list until ctx ends. Every entry host reads it
// independently, so that a host listed as leaving or failed gets no new work even while
// nobody can write the pool row.
func (m *Manager) runList(ctx context.Context) error {
	return runPeriodically(ctx, m.Periods.List, nil, m.readList)
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
	if m.listedSince.IsZero() && len(listings) > 0 {
		m.listedSince = now
	}
	before := m.list
	m.list = before.WithListing(listedHosts(listings), now)
	after := m.list
	m.mu.Unlock()
	m.reportDistrust(before.DistrustReason(), after.DistrustReason())
}

func (m *Manager) reportDistrust(before, after string) {
	switch {
	case before == "" && after != "":
		m.record(event.Event{Number: event.ListDoubted, Detail: after})
	case before != "" && after == "":
		m.record(event.Event{Number: event.ListTrusted, Detail: before})
	}
}

func listedHosts(listings []platform.HostInfo) []pool.ListedHost {
	hosts := make([]pool.ListedHost, 0, len(listings))
	for _, l := range listings {
		hosts = append(hosts, pool.ListedHost{
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
	return hosts
}

// hostList returns the host list, and false until a list that is not empty has been read.
func (m *Manager) hostList() (pool.HostList, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.list, !m.listedSince.IsZero()
}

// observation returns what the host list shows of a host.
func (m *Manager) observation(id host.ID, now time.Time) pool.Observation {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.list.Observation(id, m.listedSince, now)
}
