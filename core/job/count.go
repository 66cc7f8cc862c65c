package job

import (
	"sort"
	"time"

	"siskincross/core/chart"
	"siskincross/core/host"
)

// Counts summarises the state of a scheduler.
type Counts struct {
	// States counts the jobs that are not final, by state.
	States map[chart.State]int `json:"states"`
	// Queues counts the waiting jobs by the full name of the queue.
	Queues map[string]int `json:"queues"`
	// Slots is the number of task slots of the workers that may receive new work. FreeSlots of them are free.
	Slots     int `json:"slots"`
	FreeSlots int `json:"free-slots"`
	// Behind counts the jobs whose rows are not written yet.
	Behind int `json:"behind"`
	// Suspected holds the workers that receive only probe tasks, sorted.
	Suspected []host.ID `json:"suspected"`
}

// Counts summarises all jobs in memory.
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

// WaitingCount returns the number of jobs that wait for a worker.
func (s *Scheduler) WaitingCount() int {
	return s.backlog.waiting + len(s.delayedJobs)
}

// TaskCount returns the number of tasks that may run on a worker.
func (s *Scheduler) TaskCount(h host.ID) int {
	w := s.workers[h]
	if w == nil {
		return 0
	}
	return len(w.tasks)
}

const (
	// pollAgeDivisor sets the poll interval of a worker: the age of its youngest task divided by this.
	pollAgeDivisor = 10
	// pollMemoryThreshold is the fraction of memory in use from which a worker is polled at the minimum
	// interval.
	pollMemoryThreshold = 0.7
)

// PollInterval returns the interval between two polls of a worker, between minInterval and maxInterval.
// Workers that have young or evicted tasks or little free memory are polled more often. The interval grows
// with the age of the tasks, so that the delay in noticing the end of a task is a small fraction of its run
// time.
func (s *Scheduler) PollInterval(h host.ID, now time.Time, minInterval, maxInterval time.Duration) time.Duration {
	w := s.workers[h]
	if w == nil {
		return minInterval
	}
	interval := maxInterval
	var usedMemory float64
	for _, t := range w.tasks {
		if t.eviction != evictNone {
			return minInterval
		}
		interval = min(interval, now.Sub(t.createdAt)/pollAgeDivisor)
		usedMemory += float64(t.usedMemory)
	}
	if usedMemory >= pollMemoryThreshold*float64(w.capacity.MemoryBytes) {
		return minInterval
	}
	return max(interval, minInterval)
}

// VisitBusyWorkers calls visit for each worker that may run tasks, in the order of worker IDs, with the IDs
// of its dispatched tasks.
func (s *Scheduler) VisitBusyWorkers(visit func(h host.ID, taskIDs []string)) {
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
