package job

import (
	"maps"
	"slices"
	"sort"
	"time"

	"siskincross/core/host"
)

//go:generate go run github.com/dmarkham/enumer@v1.7.2 -type=evictionReason -transform=kebab -trimprefix=evict -output=eviction_enumer.go

// evictionReason is the reason for evicting a task.
type evictionReason int

const (
	evictNone evictionReason = iota
	evictCancel
	evictDrain
	evictUrgent
	evictQuota
	evictMemory
)

// stopResendInterval is the interval between two stop commands for the same task.
const stopResendInterval = 2 * time.Second

// Command is a command to a worker about one task.
type Command struct {
	Action Action
	Host   host.ID
	TaskID string
	// Share is the fraction of its cores that a throttled task keeps.
	Share float64
}

// evict marks a task for eviction: the worker is told to checkpoint it, and later to stop it.
func (s *Scheduler) evict(t *task, reason evictionReason, now time.Time) {
	timeout := s.policy.CheckpointTimeout
	switch reason {
	case evictCancel:
		timeout = 0
	case evictUrgent:
		timeout = s.policy.UrgentCheckpointTimeout
	}
	if t.eviction != evictNone && !now.Add(timeout).Before(t.stopAt) {
		return
	}
	if t.eviction == evictNone {
		s.backlog.ensureTeam(t.entry.job.Spec.Team).running--
	}
	t.eviction = reason
	t.stopAt = now.Add(timeout)
	t.checkpointReported = false
	s.evicting[t.entry.job.ID] = t
	if reason != evictCancel {
		s.addNotice(NoticeLeaving, t.entry.job.ID, t.worker.id, reason.String())
	}
}

// endDrainEvictions keeps the tasks of a worker that is no longer drained, except those that were told to stop.
func (s *Scheduler) endDrainEvictions(w *worker) {
	for _, t := range w.tasks {
		if t.eviction != evictDrain || !t.lastStopSent.IsZero() {
			continue
		}
		t.eviction, t.stopAt, t.checkpointRequested = evictNone, time.Time{}, false
		delete(s.evicting, t.entry.job.ID)
		s.backlog.ensureTeam(t.entry.job.Spec.Team).running++
	}
}

// SetDraining replaces the set of workers to drain. Their idempotent tasks are evicted. Tasks that must not
// run again stay until they end.
func (s *Scheduler) SetDraining(hosts []host.ID, now time.Time) {
	s.init()
	draining := make(map[host.ID]bool, len(hosts))
	for _, h := range hosts {
		draining[h] = true
	}
	anyChanged := false
	for _, w := range s.sortedWorkers {
		changed := w.draining != draining[w.id]
		anyChanged = anyChanged || changed
		w.draining = draining[w.id]
		if !w.draining {
			if changed {
				s.endDrainEvictions(w)
			}
			continue
		}
		for _, t := range w.tasks {
			if t.isEvictable() {
				s.evict(t, evictDrain, now)
			}
		}
	}
	if anyChanged {
		s.updateSlotCounts()
	}
}

// isEvictable reports whether a task may be stopped and run again on another worker.
func (t *task) isEvictable() bool {
	return t.eviction == evictNone && t.entry.job.Spec.Idempotent && t.state != AttemptCommitted
}

// TakeCommands returns the commands that are due and marks them as sent. Evicted tasks that were not
// dispatched yet return to the backlog.
func (s *Scheduler) TakeCommands(now time.Time) []Command {
	s.init()
	commands := s.writeQueue.commands
	s.writeQueue.commands = nil
	for _, t := range s.sortedEvictions() {
		if !t.dispatched {
			s.withdraw(t)
			continue
		}
		if command, ok := t.nextCommand(now); ok {
			commands = append(commands, command)
		}
	}
	sort.SliceStable(commands, func(i, j int) bool { return commands[i].TaskID < commands[j].TaskID })
	return commands
}

// withdraw ends an attempt that was evicted before its dispatch. Its worker has refused nothing, so that neither the
// worker nor the job has to wait.
func (s *Scheduler) withdraw(t *task) {
	if !t.transition(AttemptEventRefuse) {
		return
	}
	next, err := t.entry.job.WithRequeue(t.entry.job.Attempt, "", "withdrawn before dispatch")
	s.finishAttempt(t, next, err)
}

// sortedEvictions returns the tasks being evicted, sorted by job ID.
func (s *Scheduler) sortedEvictions() []*task {
	return slices.SortedFunc(maps.Values(s.evicting), compareByJobID)
}

// nextCommand returns the command that is due for a task being evicted, if any.
func (t *task) nextCommand(now time.Time) (Command, bool) {
	c := Command{Host: t.worker.id, TaskID: t.entry.job.TaskID()}
	switch {
	case !t.checkpointRequested && t.eviction != evictCancel:
		t.checkpointRequested = true
		c.Action = ActionCheckpoint
		return c, true
	case now.Before(t.stopAt) && !t.checkpointReported:
		return c, false
	case now.Sub(t.lastStopSent) < stopResendInterval:
		return c, false
	}
	t.lastStopSent = now
	t.transition(AttemptEventStop)
	c.Action = ActionStop
	return c, true
}

// throttle limits a task to ThrottleShare of its cores.
func (s *Scheduler) throttle(t *task) {
	if t.throttled {
		return
	}
	t.throttled = true
	share := s.policy.ThrottleShare
	d := t.demand
	d.Cores *= share
	t.worker.setDemand(t, d)
	s.writeQueue.commands = append(s.writeQueue.commands,
		Command{Action: ActionThrottle, Host: t.worker.id, TaskID: t.entry.job.TaskID(), Share: share})
}

// victims returns the evictable tasks that are not urgent, the youngest first.
func (w *worker) victims() []*task {
	var list []*task
	for _, t := range w.tasks {
		if t.isEvictable() && !t.entry.job.Spec.Urgent {
			list = append(list, t)
		}
	}
	sortYoungestFirst(list)
	return list
}

func sortYoungestFirst(list []*task) {
	sort.Slice(list, func(i, j int) bool {
		if list[i].createdAt.Equal(list[j].createdAt) {
			return list[i].entry.job.ID > list[j].entry.job.ID
		}
		return list[i].createdAt.After(list[j].createdAt)
	})
}
