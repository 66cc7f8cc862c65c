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
	// hostsTable holds the pools' needs, each in its pool's part, and the plan for hosts in the duty's part.
	hostsTable = "hosts"
	needKey    = "need"
	planKey    = "plan"
	donePrefix = "wave/"
	// hostsGather is the least time between two answers about the table of hosts for the holder of the duty for hosts, who acts on
	// the pools' needs. Holders of pools look for the workers that are to be cleared alone, and wait for poolHostsGather.
	hostsGather     = 20 * time.Millisecond
	poolHostsGather = 150 * time.Millisecond
	// hostsWait is how long the store may hold an answer about the table of hosts back.
	hostsWait = 700 * time.Millisecond
	// needAge is how old the knowledge of the pools' needs may be for an order about a host.
	needAge = 1500 * time.Millisecond
)

// hostsTableState is what the table of hosts says.
type hostsTableState struct {
	needs    map[string]needRow
	withdraw map[string]bool
	recent   []orderRow
	// short is true while pools ask for more hosts than there are.
	short bool
	// done holds the hosts of each wave that have begun their maintenance.
	done map[string][]string
	// snapshotTime is as of when the table is known.
	asOf time.Time
}

// planRow is the plan of the holder of the duty for hosts.
type planRow struct {
	// Withdraw holds the workers that are to be cleared for maintenance.
	Withdraw []string `json:"withdraw,omitempty"`
	// Short tells the holders of pools that more hosts are asked for than there are.
	Short bool `json:"short,omitempty"`
	// Recent holds the orders that were given a moment ago or follow this row: the next holder leaves their hosts alone
	// for a while.
	Recent []orderRow `json:"recent,omitempty"`
}

// orderRow is an order for a host.
type orderRow struct {
	Host string `json:"host"`
	// Pool is where a move leads, Wave the number of the wave of a maintenance.
	Pool string `json:"pool,omitempty"`
	Wave int    `json:"wave,omitempty"`
	// AtMillis is the latest time at which the order can have been given, by the store's clock; zero if that is not known.
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

type doneRow struct {
	Hosts []string `json:"hosts"`
}

// followHosts keeps the table of hosts up to date while this process holds a duty.
func (m *Manager) followHosts(ctx context.Context) {
	m.followTable(ctx, tableFollower{
		table: hostsTable, wait: hostsWait, apply: m.takeHosts, readAll: m.readHosts, onAnswer: func(_ uint64, asked time.Time) { m.hostsKnown(asked) },
		intervalFunc: func() time.Duration {
			if m.holdsDuty(hostsDuty) {
				return hostsGather
			}
			return poolHostsGather
		},
		suspended: func() bool { return !m.holdsAnyDuty() },
	})
}

// hostsKnown notes that the table of hosts is known as of a time.
func (m *Manager) hostsKnown(asOf time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if asOf.After(m.hostsState.asOf) {
		m.hostsState.asOf = asOf
	}
}

// hostsOutdated reports whether a pool may have taken back what its need said of cleared workers, and may use them by now.
func (m *Manager) hostsOutdated(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return now.Sub(m.hostsState.asOf) > needAge
}

func (m *Manager) readHosts(ctx context.Context) (uint64, error) {
	parts, err := m.Rows.ListPartitions(ctx, hostsTable)
	if err != nil {
		return 0, err
	}
	lowest := uint64(0)
	for _, part := range parts {
		rows, version, err := m.Rows.ReadAll(ctx, platform.RangeQuery{Table: hostsTable, Partition: part, Purpose: "hosts"})
		if err != nil {
			return 0, err
		}
		m.takeHosts(rows)
		if lowest == 0 || version < lowest {
			lowest = version
		}
	}
	return lowest, nil
}

func (m *Manager) takeHosts(rows []platform.VersionedRow) {
	m.mu.Lock()
	withdrawn := m.hostsState.withdraw
	for _, row := range rows {
		if err := m.hostsState.take(row); err != nil {
			m.record(event.Event{Number: event.WorkRowUnreadable, Detail: err.Error()})
		}
	}
	concernsPools := !maps.Equal(withdrawn, m.hostsState.withdraw)
	m.mu.Unlock()
	for _, t := range m.tenureList() {
		if t.name == hostsDuty || concernsPools {
			t.wake()
		}
	}
}

func (r *hostsTableState) take(row platform.VersionedRow) error {
	if row.Deleted {
		return nil
	}
	name, isDone := strings.CutPrefix(row.Key, donePrefix)
	switch {
	case row.Partition != hostsDuty && row.Key == needKey:
		var need needRow
		err := decodeRow(row, &need)
		r.needs[row.Partition] = need
		return err
	case row.Partition == hostsDuty && row.Key == planKey:
		var plan planRow
		err := decodeRow(row, &plan)
		r.recent, r.short = plan.Recent, plan.Short
		r.withdraw = make(map[string]bool, len(plan.Withdraw))
		for _, id := range plan.Withdraw {
			r.withdraw[id] = true
		}
		return err
	case row.Partition == hostsDuty && isDone:
		var done doneRow
		err := decodeRow(row, &done)
		r.done[name] = done.Hosts
		return err
	}
	return nil
}

// hostsShort reports whether pools ask for more hosts than there are, as the holder of the duty for hosts told.
func (m *Manager) hostsShort() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.hostsState.short
}

// withdrawn returns the workers that are to be cleared for maintenance.
func (m *Manager) withdrawn() map[string]bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.hostsState.withdraw
}
