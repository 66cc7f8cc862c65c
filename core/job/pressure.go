package job

import "time"

// pressure relieves a worker whose memory fills: movable tasks are throttled,
// then checkpointed and stopped, then stopped at once, the youngest first. What
// leaving tasks use counts as free already.
func (s *Scheduler) pressure(w *worker, now time.Time) {
	if s.policy.Method != MethodLearned || w.capacity.MemoryBytes == 0 {
		return
	}
	all, staying := w.expectedMemory(s.policy.UsageLag)
	if all/float64(w.capacity.MemoryBytes) >= s.policy.StopAt {
		defer w.hasten(now)
	}
	used := staying / float64(w.capacity.MemoryBytes)
	if used < s.policy.ThrottleAt {
		if used < s.policy.MemoryShare {
			s.unthrottle(w)
		}
		return
	}
	victims := w.victims()
	if used < s.policy.CheckpointAt {
		s.throttleFirst(victims)
		return
	}
	if len(victims) == 0 {
		return
	}
	s.leave(victims[0], leaveMemory, now)
	s.throttleFirst(victims[1:])
}

// throttleFirst throttles the first task that is not throttled yet.
func (s *Scheduler) throttleFirst(tasks []*task) {
	for _, t := range tasks {
		if !t.throttled {
			s.throttle(t)
			return
		}
	}
}

// hasten stops the tasks that are leaving without waiting for their progress.
func (w *worker) hasten(now time.Time) {
	for _, t := range w.tasks {
		if t.leave != leaveNone && t.leaveAt.After(now) {
			t.leaveAt, t.asked = now, true
		}
	}
}

// expectedMemory is what all tasks, and those that stay, use by now. Reports are late, so
// a task is expected to have grown on as it did between the last two, up to its
// estimate, or beyond if it has passed that.
func (w *worker) expectedMemory(lag time.Duration) (all, staying float64) {
	for _, t := range w.tasks {
		used := float64(t.usedMemory)
		grown := used + t.growth*lag.Seconds()
		if estimate := float64(t.estimate); used < estimate {
			grown = min(grown, estimate)
		}
		all += grown
		if t.leave == leaveNone {
			staying += grown
		}
	}
	return all, staying
}

// measure takes in a task's memory by a report.
func (t *task) measure(memory int64, now time.Time) {
	if since := now.Sub(t.measuredAt); since > 0 && !t.measuredAt.IsZero() {
		t.growth = max(0, float64(memory-t.usedMemory)/since.Seconds())
	}
	t.usedMemory, t.measuredAt = memory, now
}

// unthrottle gives a task its cores back on a worker that has room for them again.
func (s *Scheduler) unthrottle(w *worker) {
	for _, t := range w.tasks {
		if !t.throttled || t.leave != leaveNone {
			continue
		}
		full := t.demand.Cores / s.policy.ThrottleShare
		if w.demand.Cores+w.claimed.Cores+full-t.demand.Cores > s.room(w).Cores {
			continue
		}
		t.throttled = false
		w.setDemand(t, Demand{Cores: full, MemoryBytes: t.demand.MemoryBytes, Learnt: t.demand.Learnt})
		s.ledger.commands = append(s.ledger.commands,
			Command{Action: ActionThrottle, Host: w.id, Task: t.job.job.Task(), Share: 1})
		return
	}
}
