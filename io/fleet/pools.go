package fleet

import (
	"context"
	"slices"
	"strings"
	"time"

	"siskincross/core/config"
)

// pools returns the limits of all pools: those of the configuration, and those that were
// dropped from it and still have a row.
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

// droppedWeight is the cost of an idle host in a dropped pool. It is so high that any move
// out of the pool pays.
const droppedWeight = 1e9

// droppedPool returns the limits under which a pool that was dropped from the configuration
// releases its hosts, one at a time.
func droppedPool(name string) config.Pool {
	organisation, _, _ := strings.Cut(name, "/")
	return config.Pool{Name: name, Organisation: organisation, MaxUnavailable: 1, BufferWeight: droppedWeight}
}

// limits returns the limits of one pool, and false if the pool is unknown.
func (m *Manager) limits(name string) (config.Pool, bool) {
	if p, ok := m.Config().Pool(name); ok {
		return p, true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return droppedPool(name), m.rows[name].exists
}

const (
	// droppedScanInterval is the interval between scans for the rows of dropped pools.
	droppedScanInterval = 10 * time.Minute
	// maxScannedPools bounds the rows of one scan.
	maxScannedPools = 1000
)

// scanDroppedPools reads the rows of pools that are not in the configuration. A process
// that started after a pool was dropped finds its hosts in this way.
func (m *Manager) scanDroppedPools(ctx context.Context) {
	now := time.Now()
	if now.Sub(m.lastDroppedScan) < droppedScanInterval {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, m.Periods.CallTimeout)
	defer cancel()
	rows, err := m.Platform.Table.Scan(ctx, poolPrefix, "", maxScannedPools)
	if err != nil {
		return
	}
	m.lastDroppedScan = now
	m.scope().Counter("fleet-reads").Inc(int64(len(rows)))
	for _, found := range rows {
		if r, err := m.decode(found); err == nil {
			m.installRow(r)
		}
	}
}
