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

// contact is when a worker with tasks was last called.
type contact struct {
	busy            bool
	polled, renewed time.Time
}

// call runs one call of a worker within the bounds of this entry host.
func (m *Manager) call(ctx context.Context, f func(ctx context.Context) error) error {
	select {
	case m.calls <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-m.calls }()
	ctx, cancel := context.WithTimeout(ctx, m.periods.WorkerTimeout)
	defer cancel()
	return f(ctx)
}

// launch starts the tasks of committed attempts.
func (h *holder) launch(ctx context.Context, launches []job.TaskStart) {
	for _, l := range launches {
		h.async(ctx, func(ctx context.Context) func() {
			err := h.m.call(ctx, func(ctx context.Context) error {
				return h.m.Platform.Workers.StartTask(ctx, l.Host, h.taskSpec(l.Job))
			})
			return func() { h.launched(l, err) }
		})
	}
}

func (h *holder) taskSpec(j job.Job) platform.TaskSpec {
	return platform.TaskSpec{
		Task: j.TaskID(), Job: string(j.ID), Pool: h.pool, Epoch: h.epoch,
		Program: j.Spec.Program, Cores: j.Spec.Cores, MemoryBytes: j.Spec.MemoryBytes,
		Lease: h.lease(), Checkpoint: j.Checkpoint,
	}
}

func (h *holder) lease() time.Duration {
	if h.m.Policy.Lease > 0 {
		return h.m.Policy.Lease
	}
	return job.DefaultPolicy().Lease
}

func (h *holder) launched(l job.TaskStart, err error) {
	if h.outdated(err) {
		return
	}
	answer := job.StartUnknown
	var refused platform.ErrRefused
	switch {
	case err == nil:
		answer = job.StartAccepted
		h.event(event.JobStarted, l.Job.ID, l.Host, l.Job.TaskID())
		h.m.scope.Timer("wait").Record(time.Since(time.UnixMilli(l.Job.AcceptedMillis)))
	case errors.As(err, &refused):
		answer = job.StartRefused
	}
	h.scheduler.HandleStartOutcome(l.Job.ID, l.Job.Attempt, answer, refused.Reason, time.Now())
}

// poll looks at the workers with tasks that are due, and renews their leases.
func (h *holder) poll(ctx context.Context, now time.Time) {
	seen := make(map[host.ID]bool)
	h.scheduler.VisitBusyWorkers(func(id host.ID, tasks []string) {
		seen[id] = true
		c := h.contacts[id]
		if c == nil {
			c = &contact{}
			h.contacts[id] = c
		}
		renew := now.Sub(c.renewed) >= h.m.periods.LeaseRenewalInterval
		wait := h.scheduler.PollInterval(id, now, h.m.periods.MinWorkerPollInterval, h.m.periods.MaxWorkerPollInterval)
		if c.busy || !renew && now.Sub(c.polled) < wait {
			return
		}
		h.visit(ctx, id, c, h.renewal(tasks, renew), nil)
	})
	for id, c := range h.contacts {
		if !seen[id] && !c.busy {
			delete(h.contacts, id)
		}
	}
}

func (h *holder) renewal(tasks []string, due bool) *platform.LeaseRenewal {
	if !due {
		return nil
	}
	return &platform.LeaseRenewal{Pool: h.pool, Epoch: h.epoch, Tasks: tasks, Duration: h.lease()}
}

// visit renews a worker's leases, sends it commands and reads its tasks, in this order.
func (h *holder) visit(ctx context.Context, id host.ID, c *contact, lease *platform.LeaseRenewal, commands []job.Command) {
	c.busy = true
	c.polled = time.Now()
	h.async(ctx, func(ctx context.Context) func() {
		var asked time.Time
		var statuses []platform.TaskStatus
		renewed, err := h.renew(ctx, id, lease)
		if err == nil {
			err = h.command(ctx, id, commands)
		}
		if err == nil {
			asked = time.Now()
			err = h.m.call(ctx, func(ctx context.Context) (err error) {
				statuses, err = h.m.Platform.Workers.ListTasks(ctx, id)
				return err
			})
		}
		return func() {
			c.busy = false
			h.visited(ctx, id, c, renewed, asked, statuses, err)
		}
	})
}

func (h *holder) renew(ctx context.Context, id host.ID, lease *platform.LeaseRenewal) (bool, error) {
	if lease == nil {
		return false, nil
	}
	err := h.m.call(ctx, func(ctx context.Context) error { return h.m.Platform.Workers.RenewLeases(ctx, id, *lease) })
	return err == nil, err
}

func (h *holder) visited(ctx context.Context, id host.ID, c *contact, renewed bool, asked time.Time, statuses []platform.TaskStatus, err error) {
	if h.outdated(err) {
		return
	}
	now := time.Now()
	if renewed {
		c.renewed = now
		h.scheduler.HandleRenewal(id, now)
	}
	if err != nil {
		h.scheduler.HandleNoAnswer(id, now)
		return
	}
	stop := h.scheduler.HandleReports(id, h.reports(statuses), asked, now)
	commands := make([]job.Command, len(stop))
	for i, task := range stop {
		commands[i] = job.Command{Action: job.ActionStop, Host: id, TaskID: task}
	}
	h.send(ctx, commands)
}

var reportEvents = map[platform.TaskState]chart.Event{
	platform.TaskRunning:  job.AttemptEventRunning,
	platform.TaskFinished: job.AttemptEventFinish,
	platform.TaskFailed:   job.AttemptEventFail,
	platform.TaskStopped:  job.AttemptEventStopped,
	platform.TaskLapsed:   job.AttemptEventLapse,
}

// reports turns a worker's statuses of this pool's tasks into reports.
func (h *holder) reports(statuses []platform.TaskStatus) []job.TaskReport {
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

// send tells workers what to do with tasks, all commands of one worker in one
// visit, which then reads what became of the tasks.
func (h *holder) send(ctx context.Context, commands []job.Command) {
	byHost := make(map[host.ID][]job.Command)
	for _, c := range commands {
		byHost[c.Host] = append(byHost[c.Host], c)
	}
	for id, list := range byHost {
		c := h.contacts[id]
		if c == nil {
			c = &contact{renewed: time.Now()}
			h.contacts[id] = c
		}
		h.visit(ctx, id, c, nil, list)
	}
}

// command sends commands to one worker in order.
func (h *holder) command(ctx context.Context, id host.ID, commands []job.Command) error {
	workers := h.m.Platform.Workers
	for _, c := range commands {
		target := platform.TaskCommand{Task: c.TaskID, Pool: h.pool, Epoch: h.epoch}
		err := h.m.call(ctx, func(ctx context.Context) error {
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
