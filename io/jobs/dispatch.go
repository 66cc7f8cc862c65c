package jobs

import (
	"context"
	"errors"
	"time"

	"siskincross/core/chart"
	"siskincross/core/event"
	"siskincross/core/host"
	"siskincross/core/job"
	"siskincross/io/platform"
)

// workerCalls holds the state of the calls of one worker with tasks.
type workerCalls struct {
	inProgress            bool
	lastPoll, lastRenewal time.Time
}

// callWorker runs call, which calls a worker, with WorkerTimeout. At most maxWorkerCalls calls of an entry host
// run concurrently.
func (m *Manager) callWorker(ctx context.Context, call func(ctx context.Context) error) error {
	select {
	case m.callSlots <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-m.callSlots }()
	ctx, cancel := context.WithTimeout(ctx, m.timing.WorkerTimeout)
	defer cancel()
	return call(ctx)
}

// startTasks sends the start commands of committed attempts.
func (h *poolHolder) startTasks(ctx context.Context, starts []job.TaskStart) {
	for _, start := range starts {
		h.runAsync(ctx, func(ctx context.Context) func() {
			err := h.manager.callWorker(ctx, func(ctx context.Context) error {
				return h.manager.Platform.Workers.StartTask(ctx, start.Host, h.taskSpec(start.Job))
			})
			return func() { h.handleStarted(start, err) }
		})
	}
}

func (h *poolHolder) taskSpec(j job.Job) platform.TaskSpec {
	return platform.TaskSpec{
		Task: j.TaskID(), Job: string(j.ID), Pool: h.pool, Epoch: h.epoch,
		Program: j.Spec.Program, Cores: j.Spec.Cores, MemoryBytes: j.Spec.MemoryBytes,
		Lease: h.leaseDuration(), Checkpoint: j.Checkpoint,
	}
}

func (h *poolHolder) leaseDuration() time.Duration {
	if h.manager.Policy.Lease > 0 {
		return h.manager.Policy.Lease
	}
	return job.DefaultPolicy().Lease
}

func (h *poolHolder) handleStarted(start job.TaskStart, err error) {
	if h.stopIfStale(err) {
		return
	}
	outcome := job.StartUnknown
	var refused platform.ErrRefused
	switch {
	case err == nil:
		outcome = job.StartAccepted
		h.recordEvent(event.JobStarted, start.Job.ID, start.Host, start.Job.TaskID())
		h.manager.scope.Timer("wait").Record(time.Since(time.UnixMilli(start.Job.AcceptedMillis)))
	case errors.As(err, &refused):
		outcome = job.StartRefused
	}
	h.scheduler.HandleStartOutcome(start.Job.ID, start.Job.Attempt, outcome, refused.Reason, time.Now())
}

// pollWorkers polls the workers with tasks whose interval is over and renews their leases when due.
func (h *poolHolder) pollWorkers(ctx context.Context, now time.Time) {
	busy := make(map[host.ID]bool)
	h.scheduler.VisitBusyWorkers(func(id host.ID, taskIDs []string) {
		busy[id] = true
		c := h.workerCalls[id]
		if c == nil {
			c = &workerCalls{}
			h.workerCalls[id] = c
		}
		renew := now.Sub(c.lastRenewal) >= h.manager.timing.LeaseRenewalInterval
		interval := h.scheduler.PollInterval(id, now, h.manager.timing.MinWorkerPollInterval, h.manager.timing.MaxWorkerPollInterval)
		if c.inProgress || !renew && now.Sub(c.lastPoll) < interval {
			return
		}
		h.syncWorker(ctx, id, c, h.leaseRenewal(taskIDs, renew), nil)
	})
	for id, c := range h.workerCalls {
		if !busy[id] && !c.inProgress {
			delete(h.workerCalls, id)
		}
	}
}

func (h *poolHolder) leaseRenewal(taskIDs []string, due bool) *platform.LeaseRenewal {
	if !due {
		return nil
	}
	return &platform.LeaseRenewal{Pool: h.pool, Epoch: h.epoch, Tasks: taskIDs, Duration: h.leaseDuration()}
}

// syncWorker renews a worker's leases, sends it commands and reads its task list, in this order.
func (h *poolHolder) syncWorker(ctx context.Context, id host.ID, c *workerCalls, lease *platform.LeaseRenewal, commands []job.Command) {
	c.inProgress = true
	c.lastPoll = time.Now()
	h.runAsync(ctx, func(ctx context.Context) func() {
		var asked time.Time
		var statuses []platform.TaskStatus
		renewed, err := h.renewLeases(ctx, id, lease)
		if err == nil {
			err = h.executeCommands(ctx, id, commands)
		}
		if err == nil {
			asked = time.Now()
			err = h.manager.callWorker(ctx, func(ctx context.Context) (err error) {
				statuses, err = h.manager.Platform.Workers.ListTasks(ctx, id)
				return err
			})
		}
		return func() {
			c.inProgress = false
			h.handleSynced(ctx, id, c, renewed, asked, statuses, err)
		}
	})
}

func (h *poolHolder) renewLeases(ctx context.Context, id host.ID, lease *platform.LeaseRenewal) (bool, error) {
	if lease == nil {
		return false, nil
	}
	err := h.manager.callWorker(ctx, func(ctx context.Context) error { return h.manager.Platform.Workers.RenewLeases(ctx, id, *lease) })
	return err == nil, err
}

func (h *poolHolder) handleSynced(ctx context.Context, id host.ID, c *workerCalls, renewed bool, asked time.Time, statuses []platform.TaskStatus, err error) {
	if h.stopIfStale(err) {
		return
	}
	now := time.Now()
	if renewed {
		c.lastRenewal = now
		h.scheduler.HandleRenewal(id, now)
	}
	if err != nil {
		h.scheduler.HandleNoAnswer(id, now)
		return
	}
	stale := h.scheduler.HandleReports(id, h.taskReports(statuses), asked, now)
	commands := make([]job.Command, len(stale))
	for i, task := range stale {
		commands[i] = job.Command{Action: job.ActionStop, Host: id, TaskID: task}
	}
	h.sendCommands(ctx, commands)
}

var reportEvents = map[platform.TaskState]chart.Event{
	platform.TaskRunning:  job.AttemptEventRunning,
	platform.TaskFinished: job.AttemptEventFinish,
	platform.TaskFailed:   job.AttemptEventFail,
	platform.TaskStopped:  job.AttemptEventStopped,
	platform.TaskLapsed:   job.AttemptEventLapse,
}

// taskReports converts the statuses of this pool's tasks into reports.
func (h *poolHolder) taskReports(statuses []platform.TaskStatus) []job.TaskReport {
	var reports []job.TaskReport
	for _, s := range statuses {
		if s.Pool != h.pool {
			continue
		}
		reports = append(reports, job.TaskReport{
			TaskID: s.Task, Event: reportEvents[s.State], UsedCores: s.UsedCores, UsedMemoryBytes: s.UsedMemoryBytes,
			Checkpoint: s.Checkpoint, Result: s.Result, ResultDigest: s.ResultDigest, Failure: s.Failure,
		})
	}
	return reports
}

// sendCommands sends commands to workers. The commands of one worker go out in one sync, which then reads the
// resulting states of its tasks.
func (h *poolHolder) sendCommands(ctx context.Context, commands []job.Command) {
	byHost := make(map[host.ID][]job.Command)
	for _, c := range commands {
		byHost[c.Host] = append(byHost[c.Host], c)
	}
	for id, list := range byHost {
		c := h.workerCalls[id]
		if c == nil {
			c = &workerCalls{lastRenewal: time.Now()}
			h.workerCalls[id] = c
		}
		h.syncWorker(ctx, id, c, nil, list)
	}
}

// executeCommands sends commands to one worker in order.
func (h *poolHolder) executeCommands(ctx context.Context, id host.ID, commands []job.Command) error {
	workers := h.manager.Platform.Workers
	for _, c := range commands {
		target := platform.TaskCommand{Task: c.TaskID, Pool: h.pool, Epoch: h.epoch}
		err := h.manager.callWorker(ctx, func(ctx context.Context) error {
			switch c.Action {
			case job.ActionThrottle:
				return workers.ThrottleTask(ctx, id, target, c.Share)
			case job.ActionCheckpoint:
				return workers.CheckpointTask(ctx, id, target)
			default:
				return workers.StopTask(ctx, id, target)
			}
		})
		var missing platform.ErrNotFound
		if err != nil && !errors.As(err, &missing) {
			return err
		}
	}
	return nil
}
