package job

import (
	"maps"
	"slices"
	"sort"
	"time"

	"siskincross/core/host"
)

//go:generate go run github.com/dmarkham/enumer@v1.7.2 -type=leaveReason -transform=kebab -trimprefix=leave -output=relief_enumer.go

// leaveReason tells why a task must go.
type leaveReason int

const (
	leaveNone leaveReason = iota
	leaveCancel
	leaveDrain
	leaveUrgent
	leaveQuota
	leaveMemory
)

// resendStop is the time between two stops of the same task.
const resendStop = 2 * time.Second

// Command is something to tell a worker about one task.
type Command struct {
	Action Action
	Host   host.ID
	Task   string
	// Share is the part of its cores that a throttled task keeps.
	Share float64
}

// leave makes a task go: it is told to save its progress, then stopped.
func (s *Scheduler) leave(t *task, why leaveReason, now time.Time) {
	wait := s.policy.CheckpointWait
	switch why {
	case leaveCancel:
		wait = 0
	case leaveUrgent:
		wait = s.policy.UrgentCheckpointWait
	}
	if t.leave != leaveNone && !now.Add(wait).Before(t.leaveAt) {
		return
	}
	if t.leave == leaveNone {
		s.backlog.team(t.job.job.Spec.Team).running--
	}
	t.leave = why
	t.leaveAt = now.Add(wait)
	t.newProgress = false
	s.leaving[t.job.job.ID] = t
	if why != leaveCancel {
		s.notice(NoticeLeaving, t.job.job.ID, t.worker.id, why.String())
	}
}

// SetDraining replaces the workers whose tasks must leave. Tasks that must not
// run again stay to their end.
func (s *Scheduler) SetDraining(hosts []host.ID, now time.Time) {
	s.init()
	draining := make(map[host.ID]bool, len(hosts))
	for _, h := range hosts {
		draining[h] = true
	}
	changed := false
	for _, w := range s.order {
		changed = changed || w.draining != draining[w.id]
		w.draining = draining[w.id]
		if !w.draining {
			continue
		}
		for _, t := range w.tasks {
			if t.movable() {
				s.leave(t, leaveDrain, now)
			}
		}
	}
	if changed {
		s.count()
	}
}

// movable reports whether a task may be stopped and run again elsewhere.
func (t *task) movable() bool {
	return t.leave == leaveNone && t.job.job.Spec.Idempotent && t.state != AttemptCommitted
}

// Commands returns what to tell workers now.
func (s *Scheduler) Commands(now time.Time) []Command {
	s.init()
	commands := s.ledger.commands
	s.ledger.commands = nil
	for _, t := range s.leavers() {
		if !t.dispatched {
			s.refused(t, "not sent", now)
			continue
		}
		if c, ok := t.command(now); ok {
			commands = append(commands, c)
		}
	}
	sort.SliceStable(commands, func(i, j int) bool { return commands[i].Task < commands[j].Task })
	return commands
}

// leavers returns the tasks that must go, sorted by the IDs of their jobs.
func (s *Scheduler) leavers() []*task {
	return slices.SortedFunc(maps.Values(s.leaving), byJob)
}

// command returns the next step of a task that must go.
func (t *task) command(now time.Time) (Command, bool) {
	c := Command{Host: t.worker.id, Task: t.job.job.Task()}
	switch {
	case !t.asked && t.leave != leaveCancel:
		t.asked = true
		c.Action = ActionCheckpoint
		return c, true
	case now.Before(t.leaveAt) && !t.newProgress:
		return c, false
	case now.Sub(t.stopSent) < resendStop:
		return c, false
	}
	t.stopSent = now
	t.follow(AttemptStop)
	c.Action = ActionStop
	return c, true
}

// throttle lets a task use only a part of its cores.
func (s *Scheduler) throttle(t *task) {
	if t.throttled {
		return
	}
	t.throttled = true
	share := s.policy.ThrottleShare
	d := t.demand
	d.Cores *= share
	t.worker.setDemand(t, d)
	s.ledger.commands = append(s.ledger.commands,
		Command{Action: ActionThrottle, Host: t.worker.id, Task: t.job.job.Task(), Share: share})
}

// victims returns the movable tasks that are not urgent, the youngest first.
func (w *worker) victims() []*task {
	var list []*task
	for _, t := range w.tasks {
		if t.movable() && !t.job.job.Spec.Urgent {
			list = append(list, t)
		}
	}
	sortYoungest(list)
	return list
}

func sortYoungest(list []*task) {
	sort.Slice(list, func(i, j int) bool {
		if list[i].since.Equal(list[j].since) {
			return list[i].job.job.ID > list[j].job.job.ID
		}
		return list[i].since.After(list[j].since)
	})
}
