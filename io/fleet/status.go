package fleet

import (
	"time"

	"siskincross/core/config"
	"siskincross/core/host"
	"siskincross/core/plan"
	"siskincross/core/pool"
)

// Status is the state of the fleet as known to an entry host, for operators.
type Status struct {
	Member  string       `json:"member"`
	Members []string     `json:"members"`
	Pools   []PoolStatus `json:"pools"`
	// ListDistrustReason is why the platform's host list is not trusted; empty when it is
	// trusted.
	ListDistrustReason string `json:"list-doubt,omitempty"`
}

// PoolStatus is the state of one pool.
type PoolStatus struct {
	Name        string           `json:"name"`
	Holder      string           `json:"holder"`
	Epoch       uint64           `json:"epoch"`
	Limits      config.Pool      `json:"limits"`
	Disruptions pool.Disruptions `json:"disruptions"`
	// DesiredHosts is the number of hosts that the policy wants the pool to have.
	DesiredHosts int            `json:"desired-hosts"`
	Hosts        []HostStatus   `json:"hosts"`
	Inbound      []pool.Inbound `json:"inbound,omitempty"`
	// Headroom names the loss that the disruption budget can absorb besides one planned
	// disruption: "rack", "host" or "none".
	Headroom string `json:"headroom"`
	// WorkWaitsFor is what holds back planned work. Only the holder of the duty knows it.
	WorkWaitsFor string `json:"work-waits-for,omitempty"`
	// Behind is set if the holder forecasts a missed maintenance deadline.
	Behind bool `json:"behind,omitempty"`
}

// HostStatus is the state of one host.
type HostStatus struct {
	pool.Host
	// WaitsFor is what the host's next step waits for.
	WaitsFor string `json:"waits-for,omitempty"`
	// MaintenanceDue is the earliest start of the host's maintenance.
	MaintenanceDue time.Time `json:"maintenance-due"`
}

// Status returns the pools with their disruption budgets and hosts as this entry host knows
// them.
func (m *Manager) Status() Status {
	list, _ := m.hostList()
	s := Status{Member: m.Member, Members: m.Members(), ListDistrustReason: list.DistrustReason()}
	for _, limits := range m.pools() {
		s.Pools = append(s.Pools, m.poolStatus(limits))
	}
	return s
}

func (m *Manager) poolStatus(limits config.Pool) PoolStatus {
	r, _ := m.currentRow(limits.Name)
	m.mu.Lock()
	waiting, behind := m.waitReasons[limits.Name], m.behindSchedule[limits.Name]
	m.mu.Unlock()
	s := PoolStatus{
		Name:         limits.Name,
		Holder:       r.pool.Holder,
		Epoch:        r.pool.Epoch,
		Limits:       limits,
		Disruptions:  r.pool.Disruptions(),
		Inbound:      r.pool.Inbound,
		DesiredHosts: m.desiredHosts(r.pool, limits),
		Headroom:     plan.Headroom(r.pool, limits),
		WorkWaitsFor: waiting,
		Behind:       behind,
	}
	for _, h := range r.pool.Hosts {
		s.Hosts = append(s.Hosts, HostStatus{Host: h, WaitsFor: m.hostBlocker(r, h), MaintenanceDue: m.maintenanceSchedule().EarliestStart(h)})
	}
	return s
}

// hostBlocker returns what a host that is out of service waits for.
func (m *Manager) hostBlocker(r poolRow, h pool.Host) string {
	switch h.State {
	case host.Serving:
		return ""
	case host.Draining:
		if wait := m.drainBlocker(r, h); wait != "" {
			return wait
		}
		return "the platform's confirmation of the drain"
	case host.Drained:
		return "the commit of its reboot in the pool row"
	case host.Rebooting:
		return "the host's return from its reboot"
	case host.Ready:
		return "the platform's confirmation that the host accepts work again"
	}
	return "the platform's host list to show the host live"
}
