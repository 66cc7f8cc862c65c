package fleet

import (
	"time"

	"siskincross/core/config"
	"siskincross/core/host"
	"siskincross/core/plan"
	"siskincross/core/pool"
)

// Status is what an entry host knows of the fleet, for operators.
type Status struct {
	Member  string       `json:"member"`
	Members []string     `json:"members"`
	Pools   []PoolStatus `json:"pools"`
	// ListDistrustReason is why the platform's list is doubted; empty when it is trusted.
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
	// Headroom names the loss that the budget bears besides one planned disruption: "rack", "host" or "none".
	Headroom string `json:"headroom"`
	// WorkWaitsFor says what holds planned work back; only the duty's holder knows it.
	WorkWaitsFor string `json:"work-waits-for,omitempty"`
	// Behind tells that the holder forecasts a missed deadline of maintenance.
	Behind bool `json:"behind,omitempty"`
}

// HostStatus is the state of one host.
type HostStatus struct {
	pool.Host
	// WaitsFor says what the host's next step waits for.
	WaitsFor string `json:"waits-for,omitempty"`
	// MaintenanceDue is when the host's maintenance may start.
	MaintenanceDue time.Time `json:"maintenance-due"`
}

// Status returns the pools with their budgets and hosts as this entry host knows them.
func (m *Manager) Status() Status {
	list, _ := m.listed()
	s := Status{Member: m.Member, Members: m.Members(), ListDistrustReason: list.DistrustReason()}
	for _, limits := range m.pools() {
		s.Pools = append(s.Pools, m.poolStatus(limits))
	}
	return s
}

func (m *Manager) poolStatus(limits config.Pool) PoolStatus {
	r, _ := m.rowOf(limits.Name)
	m.mu.Lock()
	waiting, behind := m.waiting[limits.Name], m.behind[limits.Name]
	m.mu.Unlock()
	s := PoolStatus{
		Name:         limits.Name,
		Holder:       r.pool.Holder,
		Epoch:        r.pool.Epoch,
		Limits:       limits,
		Disruptions:  r.pool.Disruptions(),
		Inbound:      r.pool.Inbound,
		DesiredHosts: m.desired(r.pool, limits),
		Headroom:     plan.Headroom(r.pool, limits),
		WorkWaitsFor: waiting,
		Behind:       behind,
	}
	for _, h := range r.pool.Hosts {
		s.Hosts = append(s.Hosts, HostStatus{Host: h, WaitsFor: m.explainWait(r, h), MaintenanceDue: m.maintenance().EarliestStart(h)})
	}
	return s
}

// explainWait says what a host that is out of service waits for.
func (m *Manager) explainWait(r row, h pool.Host) string {
	switch h.State {
	case host.Serving:
		return ""
	case host.Draining:
		if wait := m.waitsFor(r, h); wait != "" {
			return wait
		}
		return "the platform's confirmation of the drain"
	case host.Drained:
		return "the record of the reboot"
	case host.Rebooting:
		return "the host's return from its reboot"
	case host.Ready:
		return "the platform's confirmation that the host accepts work"
	}
	return "the platform's list to show the host live"
}
