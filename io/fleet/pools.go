package fleet

import (
	"context"
	"slices"
	"strings"
	"time"

	"siskincross/core/config"
)

// pools returns the limits of all pools: those of the configuration, and those
// of pools that were dropped from it and still have a row.
func (m *Manager) pools() []config.Pool {
	configured := m.Config().Pools
	m.mu.Lock()
	defer m.mu.Unlock()
	var dropped []config.Pool
	for name, r := range m.rows {
		known := func(p config.Pool) bool { return p.Name == name }
		if r.exists && !slices.ContainsFunc(configured, known) {
			dropped = append(dropped, droppedPool(name))
		}
	}
	if len(dropped) == 0 {
		return configured
	}
	slices.SortFunc(dropped, func(a, b config.Pool) int { return strings.Compare(a.Name, b.Name) })
	return append(slices.Clone(configured), dropped...)
}

// droppedWeight is the cost of an idle host in a pool that nobody uses any
// more: so high that any move pays.
const droppedWeight = 1e9

// droppedPool returns the limits under which a pool that was dropped from the
// configuration gives its hosts away, one at a time.
func droppedPool(name string) config.Pool {
	organisation, _, _ := strings.Cut(name, "/")
	return config.Pool{Name: name, Organisation: organisation, MaxUnavailable: 1, BufferWeight: droppedWeight}
}

// limits returns the limits of one pool.
func (m *Manager) limits(name string) (config.Pool, bool) {
	if p, ok := m.Config().Pool(name); ok {
		return p, true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return droppedPool(name), m.rows[name].exists
}

const (
	// droppedPeriod is how often the rows of dropped pools are looked for.
	droppedPeriod = 10 * time.Minute
	// maxPools bounds the rows of one search.
	maxPools = 1000
)

// findDropped reads the rows of pools that the configuration does not have. A
// process that started after a pool was dropped finds its hosts in this way.
func (m *Manager) findDropped(ctx context.Context) {
	now := time.Now()
	if now.Sub(m.searched) < droppedPeriod {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, m.Periods.CallTimeout)
	defer cancel()
	rows, err := m.Platform.Table.Scan(ctx, poolPrefix, "", maxPools)
	if err != nil {
		return
	}
	m.searched = now
	m.scope().Counter("fleet-reads").Inc(int64(len(rows)))
	for _, found := range rows {
		if r, err := m.decode(found); err == nil {
			m.install(r)
		}
	}
}
