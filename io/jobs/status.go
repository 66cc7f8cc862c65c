package jobs

import (
	"sort"

	"siskincross/core/host"
	"siskincross/core/job"
)

// Status is the job status of one entry host.
type Status struct {
	Member string `json:"member"`
	// Pools holds the pools whose jobs this entry host schedules, sorted by name.
	Pools []PoolStatus `json:"pools"`
}

// PoolStatus summarises the jobs of one pool.
type PoolStatus struct {
	Pool  string `json:"pool"`
	Epoch uint64 `json:"epoch"`
	// Rebuilt is false until all rows were read after a takeover.
	Rebuilt bool `json:"rebuilt"`
	// Duty is false while another entry host is said to hold the duty. Leases are then still renewed, but no
	// jobs are placed.
	Duty bool `json:"duty"`
	job.Counts
}

// Status returns the status of all pools that this entry host holds.
func (m *Manager) Status() Status {
	m.init()
	status := Status{Member: m.MemberID, Pools: []PoolStatus{}}
	for _, h := range m.holderList() {
		h.withLock(func() {
			status.Pools = append(status.Pools, PoolStatus{
				Pool: h.pool, Epoch: h.epoch, Rebuilt: h.rebuilt, Duty: h.hasDuty.Load(), Counts: h.scheduler.Counts(),
			})
		})
	}
	sort.Slice(status.Pools, func(i, j int) bool { return status.Pools[i].Pool < status.Pools[j].Pool })
	return status
}

// TaskCount returns the number of tasks that may run on a host, as known to this entry host. It is at least 1
// while the state of a pool is being rebuilt, because any host may then run a task.
func (m *Manager) TaskCount(id host.ID) int {
	m.init()
	tasks := 0
	rebuilding := 0
	for _, h := range m.holderList() {
		h.withLock(func() {
			tasks += h.scheduler.TaskCount(id)
			if !h.rebuilt {
				rebuilding = 1
			}
		})
	}
	return max(tasks, rebuilding)
}
