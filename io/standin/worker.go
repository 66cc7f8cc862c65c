package standin

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"sync"
	"time"

	"siskincross/core/host"
	"siskincross/io/platform"
)

// simulatedHost simulates one host with its target, which serves requests, and its worker, which runs tasks.
type simulatedHost struct {
	spec     HostSpec
	fleet    Fleet
	objects  *Objects
	recorder *recorder

	mu sync.Mutex
	// address is where the target listens; its port is 0 until listen is first called.
	address string
	// states is ordered by start and never empty. States that start in the future are scheduled.
	states  []hostState
	drained bool
	// changed is closed and replaced on each change of the host.
	changed chan struct{}
	// rebootOperations holds the IDs of the reboots so far.
	rebootOperations map[string]bool
	faults           TargetFaults
	// requestsInProgress counts the admitted requests that have not finished.
	requestsInProgress int
	openConnections    int
	// previousIdentity is the identity of the request that the target responded to last, for crossed responses.
	previousIdentity string

	// tasks holds the tasks of the current boot by ID, and earlierTasks the records of the tasks of earlier boots.
	tasks        map[string]*task
	earlierTasks []TaskRecord
	// highestEpochs is the highest epoch seen in a command, by pool.
	highestEpochs map[string]uint64
}

func newSimulatedHost(spec HostSpec, fleet Fleet, objects *Objects, records *recorder) *simulatedHost {
	return &simulatedHost{
		spec: spec, fleet: fleet, objects: objects, recorder: records,
		states:           []hostState{{condition: platform.ConditionLive, bootCount: 1}},
		changed:          make(chan struct{}),
		rebootOperations: make(map[string]bool),
		tasks:            make(map[string]*task),
		highestEpochs:    make(map[string]uint64),
	}
}

// workers returns the workers' service, called in process without a wire format.
func (p *Platform) workers() platform.Workers {
	return platform.Workers{
		StartTask: func(_ context.Context, id host.ID, spec platform.TaskSpec) error {
			return p.callWithEpoch(id, spec.Pool, spec.Epoch, func(h *simulatedHost, now time.Time) error { return h.startTask(now, spec) })
		},
		RenewLeases: func(_ context.Context, id host.ID, lease platform.LeaseRenewal) error {
			return p.callWithEpoch(id, lease.Pool, lease.Epoch, func(h *simulatedHost, now time.Time) error { return h.renewLeases(now, lease) })
		},
		ListTasks: func(_ context.Context, id host.ID) ([]platform.TaskStatus, error) {
			var statuses []platform.TaskStatus
			err := p.callHost(id, func(h *simulatedHost, now time.Time) error {
				statuses = h.taskStatuses(now)
				return nil
			})
			return statuses, err
		},
		CheckpointTask: func(_ context.Context, id host.ID, c platform.TaskCommand) error {
			return p.callOnRunningTask(id, c, func(h *simulatedHost, t *task, _ time.Time) { h.saveCheckpoint(t) })
		},
		ThrottleTask: func(_ context.Context, id host.ID, c platform.TaskCommand, share float64) error {
			if share <= 0 || share > 1 {
				return platform.ErrInvalid{Service: "workers", Reason: fmt.Sprintf("share %v is not in (0, 1]", share)}
			}
			return p.callOnRunningTask(id, c, func(_ *simulatedHost, t *task, _ time.Time) { t.cpuShare = share })
		},
		StopTask: func(_ context.Context, id host.ID, c platform.TaskCommand) error {
			return p.callOnRunningTask(id, c, func(_ *simulatedHost, t *task, now time.Time) { t.end(now, platform.TaskStopped, "stopped") })
		},
	}
}

// callHost calls run on a reachable host with its lock held and its tasks advanced to the time passed to run. It returns
// ErrUnavailable if the host is offline or hung.
func (p *Platform) callHost(id host.ID, run func(*simulatedHost, time.Time) error) error {
	h, err := p.findHost(id)
	if err != nil {
		return err
	}
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	if s := h.stateAt(now); s.offline() || s.hung() {
		return platform.ErrUnavailable{Service: "workers", Reason: "host " + string(id) + " does not answer"}
	}
	h.advanceTasks(now)
	return run(h, now)
}

// callWithEpoch is callHost for calls that carry the caller's fencing epoch. It rejects an epoch below the highest one seen
// for the pool.
func (p *Platform) callWithEpoch(id host.ID, pool string, epoch uint64, run func(*simulatedHost, time.Time) error) error {
	return p.callHost(id, func(h *simulatedHost, now time.Time) error {
		if highest := h.highestEpochs[pool]; epoch < highest {
			return platform.ErrStaleEpoch{Host: string(id), Epoch: epoch, Highest: highest}
		}
		h.highestEpochs[pool] = epoch
		return run(h, now)
	})
}

// callOnRunningTask is callWithEpoch for calls on one task. Calls on a task that has ended have no effect.
func (p *Platform) callOnRunningTask(id host.ID, c platform.TaskCommand, run func(*simulatedHost, *task, time.Time)) error {
	return p.callWithEpoch(id, c.Pool, c.Epoch, func(h *simulatedHost, now time.Time) error {
		t, ok := h.tasks[c.Task]
		if !ok {
			return platform.ErrNotFound{Kind: "task", Name: c.Task}
		}
		if t.record.State == platform.TaskRunning {
			run(h, t, now)
		}
		return nil
	})
}

// startTask starts a task. It returns ErrRefused if the host is drained or out of slots or the program is malformed, and has no
// effect on a task that was started since the last boot. The caller holds h.mu.
func (h *simulatedHost) startTask(now time.Time, spec platform.TaskSpec) error {
	if _, ok := h.tasks[spec.Task]; ok {
		return nil
	}
	refused := func(reason string) error {
		return platform.ErrRefused{Host: string(h.spec.ID), Reason: reason}
	}
	if h.drained {
		return refused("drained")
	}
	if h.slotsInUse() >= h.spec.Capacity.Slots {
		return refused("all slots are in use")
	}
	p, err := parseProgram(spec.Program)
	if err != nil {
		return refused(err.Error())
	}
	if h.faults.FailTasks {
		p.failureReason, p.failAfter = "fault switch fail-tasks is set", 0
	}
	if p.memoryBytes > h.spec.Capacity.MemoryBytes {
		p.failureReason = "out of memory"
	}
	t := &task{program: p, cpuShare: 1, advancedTo: now, leaseExpiry: now.Add(spec.Lease)}
	t.record = TaskRecord{Host: h.spec.ID, Spec: spec, Started: now}
	if spec.Checkpoint != "" {
		t.record.ResumedProgress = parseProgress(h.objects.getForWorker(spec.Checkpoint))
		t.record.Progress = t.record.ResumedProgress
		t.checkpointName = spec.Checkpoint
	}
	h.tasks[spec.Task] = t
	return nil
}

// renewLeases extends the leases of the running tasks of the renewal. The caller holds h.mu.
func (h *simulatedHost) renewLeases(now time.Time, lease platform.LeaseRenewal) error {
	for _, id := range lease.Tasks {
		if t, ok := h.tasks[id]; ok && t.record.State == platform.TaskRunning {
			t.leaseExpiry = now.Add(lease.Duration)
		}
	}
	return nil
}

// saveCheckpoint stores the progress of the task under a new name.
func (h *simulatedHost) saveCheckpoint(t *task) {
	t.checkpointCount++
	t.checkpointName = fmt.Sprintf("checkpoint/%s/%d", t.record.Spec.Task, t.checkpointCount)
	h.objects.putFromWorker(t.checkpointName, formatProgress(t.record.Progress))
}

// slotsInUse returns the number of slots used by requests and running tasks. The caller holds h.mu and has advanced the tasks.
func (h *simulatedHost) slotsInUse() int {
	slots := h.requestsInProgress
	for _, t := range h.tasks {
		if t.record.State == platform.TaskRunning {
			slots++
		}
	}
	return slots
}

// advanceTasks advances all tasks to now and stores the results of those that finished. The caller holds h.mu.
func (h *simulatedHost) advanceTasks(now time.Time) {
	for _, t := range h.tasks {
		if t.record.State != platform.TaskRunning {
			continue
		}
		t.advance(now)
		if t.record.State == platform.TaskFinished {
			h.storeResult(t)
		}
	}
}

// storeResult stores the result of a finished task and records its digest.
func (h *simulatedHost) storeResult(t *task) {
	content := ResponseBody(t.record.Spec.Job, t.program.resultBytes)
	digest := sha256.Sum256(content)
	t.record.ResultDigest = hex.EncodeToString(digest[:])
	t.resultName = "result/" + t.record.Spec.Task
	h.objects.putFromWorker(t.resultName, content)
}

// dropTasks ends the running tasks as failed and moves all tasks to earlierTasks, because the host went offline. The caller
// holds h.mu and has advanced the tasks.
func (h *simulatedHost) dropTasks(now time.Time, reason string) {
	for id, t := range h.tasks {
		if t.record.State == platform.TaskRunning {
			t.end(now, platform.TaskFailed, reason)
		}
		h.earlierTasks = append(h.earlierTasks, t.record)
		delete(h.tasks, id)
	}
}

// taskStatuses returns the statuses of the tasks of this boot, ordered by task ID. The caller holds h.mu and has advanced the tasks.
func (h *simulatedHost) taskStatuses(now time.Time) []platform.TaskStatus {
	var statuses []platform.TaskStatus
	for _, t := range h.tasks {
		statuses = append(statuses, t.status(now.Add(-h.fleet.UsageLag)))
	}
	sortStatuses(statuses)
	return statuses
}

// taskRecords returns the records of all tasks of this and earlier boots.
func (h *simulatedHost) taskRecords(now time.Time) []TaskRecord {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.advanceTasks(now)
	runs := append([]TaskRecord(nil), h.earlierTasks...)
	for _, t := range h.tasks {
		runs = append(runs, t.record)
	}
	return runs
}
