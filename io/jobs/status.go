package jobs

import (
	"sort"

	"siskincross/core/host"
	"siskincross/core/job"
)

// Status is what this entry host knows of jobs.
type Status struct {
	Member string `json:"member"`
	// Pools holds the pools whose jobs this entry host decides about, sorted by name.
	Pools []PoolStatus `json:"pools"`
}

// PoolStatus sums up one pool's jobs.
type PoolStatus struct {
	Pool  string `json:"pool"`
	Epoch uint64 `json:"epoch"`
	// Rebuilt is false until all rows were read after a takeover.
	Rebuilt bool `json:"rebuilt"`
	// Duty is false when the duty is said to be another's and only leases are renewed.
	Duty bool `json:"duty"`
	job.Counts
}

// Status returns the counts of the pools that this entry host holds.
func (m *Manager) Status() Status {
	m.init()
	status := Status{Member: m.MemberID, Pools: []PoolStatus{}}
	for _, h := range m.holderList() {
		h.locked(func() {
			status.Pools = append(status.Pools, PoolStatus{
				Pool: h.pool, Epoch: h.epoch, Rebuilt: h.rebuilt, Duty: h.duty.Load(), Counts: h.scheduler.Counts(),
			})
		})
	}
	sort.Slice(status.Pools, func(i, j int) bool { return status.Pools[i].Pool < status.Pools[j].Pool })
	return status
}

// TaskCount counts the tasks that may run on a host, as known here. While a
// pool's state is being rebuilt every host may have one.
func (m *Manager) TaskCount(id host.ID) int {
	m.init()
	tasks := 0
	rebuilding := 0
	for _, h := range m.holderList() {
		h.locked(func() {
			tasks += h.scheduler.TaskCount(id)
			if !h.rebuilt {
				rebuilding = 1
			}
		})
	}
	return max(tasks, rebuilding)
}
