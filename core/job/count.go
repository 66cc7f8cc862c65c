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
		Slots: s.total, FreeSlots: s.free, Behind: s.Behind(),
	}
	for _, e := range s.jobs {
		c.States[e.job.State]++
		if e.queued {
			c.Queues[e.job.Spec.Queue]++
		}
	}
	for _, w := range s.order {
		if w.record.suspected {
			c.Suspected = append(c.Suspected, w.id)
		}
	}
	sort.Slice(c.Suspected, func(i, j int) bool { return c.Suspected[i] < c.Suspected[j] })
	return c
}

// Waiting counts the jobs that wait for a worker.
func (s *Scheduler) Waiting() int {
	return s.backlog.waiting + len(s.delayed)
}

// TasksOn counts the tasks that may run on a worker.
func (s *Scheduler) TasksOn(h host.ID) int {
	w := s.workers[h]
	if w == nil {
		return 0
	}
	return len(w.tasks)
}

const (
	// pollPart is the part of its youngest task's age after which a worker is looked at again.
	pollPart = 10
	// pollMemory is the share of a worker's memory in use from which it is looked at as often as possible.
	pollMemory = 0.7
)

// PollAfter returns the time between two looks at a worker, from least to
// most. A worker with young or leaving tasks, or little memory left, is looked
// at more often; what a task's end waits to be seen stays a small part of its run.
func (s *Scheduler) PollAfter(h host.ID, now time.Time, least, most time.Duration) time.Duration {
	w := s.workers[h]
	if w == nil {
		return least
	}
	wait := most
	var used float64
	for _, t := range w.tasks {
		if t.leave != leaveNone {
			return least
		}
		wait = min(wait, now.Sub(t.since)/pollPart)
		used += float64(t.usedMemory)
	}
	if used >= pollMemory*float64(w.capacity.MemoryBytes) {
		return least
	}
	return max(wait, least)
}

// Busy calls visit for each worker that may run tasks, with the IDs of those
// that are not given up, in the order of worker IDs.
func (s *Scheduler) Busy(visit func(h host.ID, tasks []string)) {
	for _, w := range s.order {
		var ids []string
		for _, t := range w.tasks {
			if t.dispatched {
				ids = append(ids, t.job.job.Task())
			}
		}
		if len(ids) == 0 && !w.strays {
			continue
		}
		sort.Strings(ids)
		visit(w.id, ids)
	}
}
