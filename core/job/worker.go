package job

import (
	"slices"
	"strings"
	"time"

	"siskincross/core/chart"
	"siskincross/core/host"
	"siskincross/core/route"
)

// worker is the scheduler's state of one host.
type worker struct {
	id       host.ID
	place    host.Place
	capacity host.Capacity
	// schedulable is true while the host may receive new work.
	schedulable bool
	// draining is true while the host is to be emptied of tasks.
	draining bool
	// lastAnswer is when the host last answered, or when it first became known.
	lastAnswer time.Time
	// lastListed is when the host was last among those that may receive new work.
	lastListed time.Time
	// backoffUntil is when the host may receive tasks again after it refused one or did not answer.
	backoffUntil time.Time
	// consecutiveFailures counts refusals and missing answers since the last successful answer.
	consecutiveFailures int
	// mayRunAbandoned is true while tasks whose leases lapsed may still run on the host.
	mayRunAbandoned bool
	// tasks is sorted by job ID.
	tasks []*task
	// demand is the sum of the demands of tasks.
	demand Demand
	// reservations counts the urgent jobs with a reservation on the host. reservedDemand is the sum of their
	// demands.
	reservations   int
	reservedDemand Demand
	health         workerHealth
}

// task is the newest attempt of a job on a worker.
type task struct {
	entry  *entry
	worker *worker
	// state is a state of the chart in attempt.toml.
	state chart.State
	// createdAt is when the attempt was decided or recovered. acknowledgedAt is when the worker confirmed it.
	createdAt, acknowledgedAt time.Time
	// demand is the larger of the estimate and the measured usage.
	demand     Demand
	peakCores  float64
	peakMemory int64
	// estimate is the expected memory usage at the time of placement.
	estimate int64
	// usedMemory is the memory usage reported last, at measuredAt. growthRate is in bytes per second.
	usedMemory         int64
	measuredAt         time.Time
	growthRate         float64
	usageSampled       bool
	checkpoint         string
	checkpointReported bool
	// throttled is true after the worker was told to throttle the task.
	throttled bool
	// dispatched is true once the worker may have received the start command.
	dispatched bool
	// recovered is true for a task that was recovered from a row after a takeover or a conflict.
	recovered bool
	// eviction is the reason for evicting the task. stopAt is when it is stopped at the latest.
	eviction evictionReason
	stopAt   time.Time
	// checkpointRequested is true after the worker was told to checkpoint the evicted task.
	checkpointRequested bool
	// lastStopSent is when the last stop command was sent.
	lastStopSent time.Time
}

func (w *worker) update(target route.Target) {
	w.place = target.Place
	w.capacity = target.Capacity
	w.schedulable = true
}

func (w *worker) addTask(t *task) {
	i, _ := slices.BinarySearchFunc(w.tasks, t, compareByJobID)
	w.tasks = slices.Insert(w.tasks, i, t)
	w.demand.Cores += t.demand.Cores
	w.demand.MemoryBytes += t.demand.MemoryBytes
}

func (w *worker) removeTask(t *task) {
	i, ok := slices.BinarySearchFunc(w.tasks, t, compareByJobID)
	if !ok {
		return
	}
	w.tasks = slices.Delete(w.tasks, i, i+1)
	w.demand.Cores -= t.demand.Cores
	w.demand.MemoryBytes -= t.demand.MemoryBytes
	if len(w.tasks) == 0 {
		w.demand = Demand{}
	}
}

func compareByJobID(a, b *task) int {
	return strings.Compare(string(a.entry.job.ID), string(b.entry.job.ID))
}

// setDemand replaces the demand of one of the worker's tasks.
func (w *worker) setDemand(t *task, d Demand) {
	w.demand.Cores += d.Cores - t.demand.Cores
	w.demand.MemoryBytes += d.MemoryBytes - t.demand.MemoryBytes
	t.demand = d
}

// transition applies an event of the attempt chart and reports whether the state allows it. Other events
// change nothing.
func (t *task) transition(event chart.Event) bool {
	next, err := attemptChart.Next(t.state, event)
	if err != nil {
		return false
	}
	t.state = next
	return true
}
