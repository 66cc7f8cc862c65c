package job

import (
	"sort"
	"time"

	"siskincross/core/chart"
	"siskincross/core/host"
)

// Counts sums up a scheduler's memory.
type Counts struct {
	// States counts the jobs that are not final by state.
	States map[chart.State]int `json:"states"`
	// Queues counts the waiting jobs by the full name of the queue.
	Queues map[string]int `json:"queues"`
	// Slots is the number of task slots of the workers that may receive new work; FreeSlots of them are free.
	Slots     int `json:"slots"`
	FreeSlots int `json:"free-slots"`
	// Behind counts the jobs whose rows are not written yet.
	Behind int `json:"behind"`
	// Suspected holds the workers that get probes only, sorted.
	Suspected []host.ID `json:"suspected"`
}

// Counts returns the sums over all jobs in memory.
func (s *Scheduler) Counts() Counts {
	s.init()
	c := Counts{
		States: make(map[chart.State]int), Queues: make(map[string]int),
		Slots: s.totalSlots, FreeSlots: s.freeSlots, Behind: s.PendingWriteCount(),
	}
	for _, e := range s.jobs {
		c.States[e.job.State]++
		if e.queued {
			c.Queues[e.job.Spec.Queue]++
		}
	}
	for _, w := range s.sortedWorkers {
		if w.health.suspected {
			c.Suspected = append(c.Suspected, w.id)
		}
	}
	sort.Slice(c.Suspected, func(i, j int) bool { return c.Suspected[i] < c.Suspected[j] })
	return c
}

// WaitingCount counts the jobs that wait for a worker.
func (s *Scheduler) WaitingCount() int {
	return s.backlog.waiting + len(s.delayedJobs)
}

// TaskCount counts the tasks that may run on a worker.
func (s *Scheduler) TaskCount(h host.ID) int {
	w := s.workers[h]
	if w == nil {
		return 0
	}
	return len(w.tasks)
}

const (
	// pollAgeDivisor is the part of its youngest task's age after which a worker is looked at again.
	pollAgeDivisor = 10
	// pollMemoryThreshold is the share of a worker's memory in use from which it is looked at as often as possible.
	pollMemoryThreshold = 0.7
)

// PollInterval returns the time between two looks at a worker, from least to
// most. A worker with young or leaving tasks, or little memory left, is looked
// at more often; what a task's end waits to be seen stays a small part of its run.
func (s *Scheduler) PollInterval(h host.ID, now time.Time, least, most time.Duration) time.Duration {
	w := s.workers[h]
	if w == nil {
		return least
	}
	wait := most
	var used float64
	for _, t := range w.tasks {
		if t.eviction != evictNone {
			return least
		}
		wait = min(wait, now.Sub(t.createdAt)/pollAgeDivisor)
		used += float64(t.usedMemory)
	}
	if used >= pollMemoryThreshold*float64(w.capacity.MemoryBytes) {
		return least
	}
	return max(wait, least)
}

// VisitBusyWorkers calls visit for each worker that may run tasks, with the IDs of those
// that are not given up, in the order of worker IDs.
func (s *Scheduler) VisitBusyWorkers(visit func(h host.ID, tasks []string)) {
	for _, w := range s.sortedWorkers {
		var ids []string
		for _, t := range w.tasks {
			if t.dispatched {
				ids = append(ids, t.entry.job.TaskID())
			}
		}
		if len(ids) == 0 && !w.mayRunAbandoned {
			continue
		}
		sort.Strings(ids)
		visit(w.id, ids)
	}
}
