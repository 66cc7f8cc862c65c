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

// worker is one host: its life, its target and its tasks.
type worker struct {
	spec    HostSpec
	fleet   Fleet
	objects *Objects
	journal *journal

	mu sync.Mutex
	// address is where the target listens; its port is 0 before the target was opened.
	address string
	// stages is ordered by time and never empty; the last ones may lie in the future.
	stages  []stage
	drained bool
	// turn is closed and replaced at each change of the host.
	turn       chan struct{}
	operations map[string]bool
	faults     TargetFaults
	// requests counts the requests in progress.
	requests    int
	connections int
	// previous is the identity of the request answered last, for crossed answers.
	previous string

	// tasks holds the tasks since the last start, past those before.
	tasks  map[string]*task
	past   []TaskRun
	epochs map[string]uint64
}

func newWorker(spec HostSpec, fleet Fleet, objects *Objects, journal *journal) *worker {
	return &worker{
		spec: spec, fleet: fleet, objects: objects, journal: journal,
		stages:     []stage{{condition: platform.ConditionLive, boot: 1}},
		turn:       make(chan struct{}),
		operations: make(map[string]bool),
		tasks:      make(map[string]*task),
		epochs:     make(map[string]uint64),
	}
}

// workers returns the workers' service without a wire format.
func (p *Platform) workers() platform.Workers {
	return platform.Workers{
		StartTask: func(_ context.Context, id host.ID, spec platform.TaskSpec) error {
			return p.command(id, spec.Pool, spec.Epoch, func(w *worker, now time.Time) error { return w.start(now, spec) })
		},
		RenewLeases: func(_ context.Context, id host.ID, lease platform.LeaseRenewal) error {
			return p.command(id, lease.Pool, lease.Epoch, func(w *worker, now time.Time) error { return w.renew(now, lease) })
		},
		ListTasks: func(_ context.Context, id host.ID) ([]platform.TaskStatus, error) {
			var statuses []platform.TaskStatus
			err := p.reach(id, func(w *worker, now time.Time) error {
				statuses = w.statuses(now)
				return nil
			})
			return statuses, err
		},
		CheckpointTask: func(_ context.Context, id host.ID, c platform.TaskCommand) error {
			return p.control(id, c, func(w *worker, t *task, _ time.Time) { w.checkpoint(t) })
		},
		ThrottleTask: func(_ context.Context, id host.ID, c platform.TaskCommand, share float64) error {
			if share <= 0 || share > 1 {
				return platform.ErrInvalid{Service: "workers", Reason: fmt.Sprintf("share %v is not in (0, 1]", share)}
			}
			return p.control(id, c, func(_ *worker, t *task, _ time.Time) { t.share = share })
		},
		StopTask: func(_ context.Context, id host.ID, c platform.TaskCommand) error {
			return p.control(id, c, func(_ *worker, t *task, now time.Time) { t.end(now, platform.TaskStopped, "stopped") })
		},
	}
}

// reach runs a call on a host that answers, with its lock held and its tasks settled.
func (p *Platform) reach(id host.ID, run func(*worker, time.Time) error) error {
	w, err := p.host(id)
	if err != nil {
		return err
	}
	now := time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	if s := w.stageAt(now); s.down() || s.hung() {
		return platform.ErrUnavailable{Service: "workers", Reason: "host " + string(id) + " does not answer"}
	}
	w.settle(now)
	return run(w, now)
}

// command is reach for calls that carry an epoch.
func (p *Platform) command(id host.ID, pool string, epoch uint64, run func(*worker, time.Time) error) error {
	return p.reach(id, func(w *worker, now time.Time) error {
		if highest := w.epochs[pool]; epoch < highest {
			return platform.ErrStaleEpoch{Host: string(id), Epoch: epoch, Highest: highest}
		}
		w.epochs[pool] = epoch
		return run(w, now)
	})
}

// control is command for calls about one running task. Calls about ended tasks do nothing.
func (p *Platform) control(id host.ID, c platform.TaskCommand, run func(*worker, *task, time.Time)) error {
	return p.command(id, c.Pool, c.Epoch, func(w *worker, now time.Time) error {
		t, ok := w.tasks[c.Task]
		if !ok {
			return platform.ErrNotFound{Kind: "task", Name: c.Task}
		}
		if t.run.State == platform.TaskRunning {
			run(w, t, now)
		}
		return nil
	})
}

func (w *worker) start(now time.Time, spec platform.TaskSpec) error {
	if _, ok := w.tasks[spec.Task]; ok {
		return nil
	}
	refused := func(reason string) error {
		return platform.ErrRefused{Host: string(w.spec.ID), Reason: reason}
	}
	if w.drained {
		return refused("drained")
	}
	if w.busy() >= w.spec.Capacity.Slots {
		return refused("all slots are in use")
	}
	p, err := parseProgram(spec.Program)
	if err != nil {
		return refused(err.Error())
	}
	if w.faults.FailTasks {
		p.failure, p.failAfter = "the worker fails every task", 0
	}
	if p.memory > w.spec.Capacity.MemoryBytes {
		p.failure = "out of memory"
	}
	t := &task{program: p, share: 1, settled: now, lapses: now.Add(spec.Lease)}
	t.run = TaskRun{Host: w.spec.ID, Spec: spec, Started: now}
	if spec.Checkpoint != "" {
		t.run.Resumed = parseProgress(w.objects.load(spec.Checkpoint))
		t.run.Progress = t.run.Resumed
		t.checkpoint = spec.Checkpoint
	}
	w.tasks[spec.Task] = t
	return nil
}

func (w *worker) renew(now time.Time, lease platform.LeaseRenewal) error {
	for _, id := range lease.Tasks {
		if t, ok := w.tasks[id]; ok && t.run.State == platform.TaskRunning {
			t.lapses = now.Add(lease.Duration)
		}
	}
	return nil
}

func (w *worker) checkpoint(t *task) {
	t.checkpoints++
	t.checkpoint = fmt.Sprintf("checkpoint/%s/%d", t.run.Spec.Task, t.checkpoints)
	w.objects.save(t.checkpoint, formatProgress(t.run.Progress))
}

// busy counts the slots in use. The caller holds w.mu and has settled the tasks.
func (w *worker) busy() int {
	busy := w.requests
	for _, t := range w.tasks {
		if t.run.State == platform.TaskRunning {
			busy++
		}
	}
	return busy
}

// settle brings all tasks up to now. The caller holds w.mu.
func (w *worker) settle(now time.Time) {
	for _, t := range w.tasks {
		if t.run.State != platform.TaskRunning {
			continue
		}
		t.advance(now)
		if t.run.State == platform.TaskFinished {
			w.finish(t)
		}
	}
}

// finish stores the result of a task.
func (w *worker) finish(t *task) {
	content := Answer(t.run.Spec.Job, t.program.resultBytes)
	digest := sha256.Sum256(content)
	t.run.Digest = hex.EncodeToString(digest[:])
	t.result = "result/" + t.run.Spec.Task
	w.objects.save(t.result, content)
}

// loseTasks forgets all tasks, for the host has stopped. The caller holds w.mu and has settled the tasks.
func (w *worker) loseTasks(now time.Time, reason string) {
	for id, t := range w.tasks {
		if t.run.State == platform.TaskRunning {
			t.end(now, platform.TaskFailed, reason)
		}
		w.past = append(w.past, t.run)
		delete(w.tasks, id)
	}
}

func (w *worker) statuses(now time.Time) []platform.TaskStatus {
	var statuses []platform.TaskStatus
	for _, t := range w.tasks {
		statuses = append(statuses, t.status(now.Add(-w.fleet.UsageLag)))
	}
	sortStatuses(statuses)
	return statuses
}

// taskRuns returns the records of all tasks so far.
func (w *worker) taskRuns(now time.Time) []TaskRun {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.settle(now)
	runs := append([]TaskRun(nil), w.past...)
	for _, t := range w.tasks {
		runs = append(runs, t.run)
	}
	return runs
}
