package runner

import (
	"context"
	"maps"
	"strings"
	"time"

	"siskincross/core/capacity"
	"siskincross/core/event"
	"siskincross/io/platform"
)

const (
	// hostsTable holds the pools' needs, each in its pool's partition, and the plan for hosts in the partition of the
	// duty for hosts.
	hostsTable         = "hosts"
	needKey            = "need"
	planKey            = "plan"
	startedHostsPrefix = "wave/"
	// hostsMinInterval is the minimum time between two polls of the hosts table by the holder of the duty for hosts,
	// which acts on the pools' needs. Holders of pools read only the workers to be evacuated from it, and poll it every
	// poolHostsMinInterval at most.
	hostsMinInterval     = 20 * time.Millisecond
	poolHostsMinInterval = 150 * time.Millisecond
	// hostsPollWait is how long the store may hold back the answer to a long poll of the hosts table.
	hostsPollWait = 700 * time.Millisecond
	// maxNeedAge is the maximum age of the known needs of the pools for an order to a host.
	maxNeedAge = 1500 * time.Millisecond
)

// hostsTableState is what this process knows of the hosts table.
type hostsTableState struct {
	needs        map[string]needRow
	withdrawn    map[string]bool
	recentOrders []orderRow
	// hostShortage is true while pools request more hosts than there are.
	hostShortage bool
	// startedHosts holds the hosts of each maintenance wave that have begun their maintenance.
	startedHosts map[string][]string
	// snapshotTime is the time as of which the table is known.
	snapshotTime time.Time
}

// planRow is the stored plan of the holder of the duty for hosts.
type planRow struct {
	// Withdraw holds the workers to be evacuated for maintenance.
	Withdraw []string `json:"withdraw,omitempty"`
	// HostShortage tells the holders of pools that more hosts are requested than there are.
	HostShortage bool `json:"short,omitempty"`
	// RecentOrders holds the orders that were given recently or follow this row. The next holder gives their hosts no
	// orders for a while.
	RecentOrders []orderRow `json:"recent,omitempty"`
}

// orderRow is the stored form of an order to a host.
type orderRow struct {
	Host string `json:"host"`
	// Pool is the destination of a move, and Wave the number of the wave of a maintenance.
	Pool string `json:"pool,omitempty"`
	Wave int    `json:"wave,omitempty"`
	// AtMillis is the latest time at which the order can have been given, by the store's clock. It is zero if that is
	// unknown.
	AtMillis int64 `json:"at-millis,omitempty"`
}

func newOrderRow(o capacity.Order) orderRow {
	return orderRow{Host: o.Host, Pool: o.Pool, Wave: o.Wave}
}

func (r orderRow) order() capacity.Order {
	if r.Pool == "" {
		return capacity.Order{Kind: capacity.KindMaintain, Host: r.Host, Wave: r.Wave}
	}
	return capacity.Order{Kind: capacity.KindMove, Host: r.Host, Pool: r.Pool}
}

// startedHostsRow holds the hosts of a maintenance wave that have begun their maintenance.
type startedHostsRow struct {
	Hosts []string `json:"hosts"`
}

// followHostsTable follows the hosts table while this process holds a duty.
func (m *Manager) followHostsTable(ctx context.Context) {
	m.followTable(ctx, tableFollower{
		table: hostsTable, maxPollWait: hostsPollWait, apply: m.applyHostsRows, readAll: m.readHostsTable, onAnswer: func(_ uint64, sentAt time.Time) { m.advanceHostsSnapshotTime(sentAt) },
		intervalFunc: func() time.Duration {
			if m.holdsDuty(hostsDuty) {
				return hostsMinInterval
			}
			return poolHostsMinInterval
		},
		suspended: func() bool { return !m.holdsAnyDuty() },
	})
}

// advanceHostsSnapshotTime records that the hosts table is known as of a time.
func (m *Manager) advanceHostsSnapshotTime(asOf time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if asOf.After(m.hostsState.snapshotTime) {
		m.hostsState.snapshotTime = asOf
	}
}

// hostsStateOutdated reports whether the known needs are so old that a pool may have retracted that a worker is
// evacuated, and may use it again. The monotonic clock doesn't count the time for which the machine was suspended.
func (m *Manager) hostsStateOutdated(now time.Time) bool {
	m.noticeSuspension()
	m.mu.Lock()
	defer m.mu.Unlock()
	return now.Sub(m.suspension.forgetSnapshot(m.hostsState.snapshotTime)) > maxNeedAge
}

// readHostsTable reads the whole hosts table, and returns the lowest version of its partitions.
func (m *Manager) readHostsTable(ctx context.Context) (uint64, error) {
	partitions, err := m.Rows.ListPartitions(ctx, hostsTable)
	if err != nil {
		return 0, err
	}
	lowest := uint64(0)
	for _, partition := range partitions {
		rows, version, err := m.Rows.ReadAll(ctx, platform.RangeQuery{Table: hostsTable, Partition: partition, Purpose: "hosts"})
		if err != nil {
			return 0, err
		}
		m.applyHostsRows(rows)
		if lowest == 0 || version < lowest {
			lowest = version
		}
	}
	return lowest, nil
}

// applyHostsRows applies rows of the hosts table, and wakes the duties that act on them.
func (m *Manager) applyHostsRows(rows []platform.VersionedRow) {
	m.mu.Lock()
	withdrawn := m.hostsState.withdrawn
	for _, row := range rows {
		if err := m.hostsState.apply(row); err != nil {
			m.record(event.Event{Number: event.WorkRowUnreadable, Detail: err.Error()})
		}
	}
	concernsPools := !maps.Equal(withdrawn, m.hostsState.withdrawn)
	m.mu.Unlock()
	for _, t := range m.currentTenures() {
		if t.name == hostsDuty || concernsPools {
			t.wake()
		}
	}
}

// apply updates the state by one row.
func (r *hostsTableState) apply(row platform.VersionedRow) error {
	if row.Deleted {
		return nil
	}
	name, isWave := strings.CutPrefix(row.Key, startedHostsPrefix)
	switch {
	case row.Partition != hostsDuty && row.Key == needKey:
		var need needRow
		err := decodeRow(row, &need)
		r.needs[row.Partition] = need
		return err
	case row.Partition == hostsDuty && row.Key == planKey:
		var plan planRow
		err := decodeRow(row, &plan)
		r.recentOrders, r.hostShortage = plan.RecentOrders, plan.HostShortage
		r.withdrawn = make(map[string]bool, len(plan.Withdraw))
		for _, id := range plan.Withdraw {
			r.withdrawn[id] = true
		}
		return err
	case row.Partition == hostsDuty && isWave:
		var started startedHostsRow
		err := decodeRow(row, &started)
		r.startedHosts[name] = started.Hosts
		return err
	}
	return nil
}

// hostShortage reports whether pools request more hosts than there are, according to the holder of the duty for
// hosts.
func (m *Manager) hostShortage() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.hostsState.hostShortage
}

// withdrawnWorkers returns the workers that are to be evacuated for maintenance.
func (m *Manager) withdrawnWorkers() map[string]bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.hostsState.withdrawn
}
