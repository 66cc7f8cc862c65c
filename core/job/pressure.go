package job

import "time"

// relieveMemoryPressure relieves a worker whose memory fills: movable tasks are throttled,
// then checkpointed and stopped, then stopped at once, the youngest first. What
// leaving tasks use counts as free already.
func (s *Scheduler) relieveMemoryPressure(w *worker, now time.Time) {
	if s.policy.Method != MethodLearned || w.capacity.MemoryBytes == 0 {
		return
	}
	all, staying := w.expectedMemory(s.policy.UsageReportLag)
	if all/float64(w.capacity.MemoryBytes) >= s.policy.StopThreshold {
		defer w.stopEvictingNow(now)
	}
	used := staying / float64(w.capacity.MemoryBytes)
	if used < s.policy.ThrottleThreshold {
		if used < s.policy.MemoryShare {
			s.unthrottleNext(w)
		}
		return
	}
	victims := w.victims()
	if used < s.policy.CheckpointThreshold {
		s.throttleNext(victims)
		return
	}
	if len(victims) == 0 {
		return
	}
	s.evict(victims[0], evictMemory, now)
	s.throttleNext(victims[1:])
}

// throttleNext throttles the first task that is not throttled yet.
func (s *Scheduler) throttleNext(tasks []*task) {
	for _, t := range tasks {
		if !t.throttled {
			s.throttle(t)
			return
		}
	}
}

// stopEvictingNow stops the tasks that are leaving without waiting for their progress.
func (w *worker) stopEvictingNow(now time.Time) {
	for _, t := range w.tasks {
		if t.eviction != evictNone && t.stopAt.After(now) {
			t.stopAt, t.checkpointRequested = now, true
		}
	}
}

// expectedMemory is what all tasks, and those that stay, use by now. Reports are late, so
// a task is expected to have grown on as it did between the last two, up to its
// estimate, or beyond if it has passed that.
func (w *worker) expectedMemory(lag time.Duration) (all, staying float64) {
	for _, t := range w.tasks {
		used := float64(t.usedMemory)
		grown := used + t.growthRate*lag.Seconds()
		if estimate := float64(t.estimate); used < estimate {
			grown = min(grown, estimate)
		}
		all += grown
		if t.eviction == evictNone {
			staying += grown
		}
	}
	return all, staying
}

// recordMemory takes in a task's memory by a report.
func (t *task) recordMemory(memory int64, now time.Time) {
	if since := now.Sub(t.measuredAt); since > 0 && !t.measuredAt.IsZero() {
		t.growthRate = max(0, float64(memory-t.usedMemory)/since.Seconds())
	}
	t.usedMemory, t.measuredAt = memory, now
}

// unthrottleNext gives a task its cores back on a worker that has room for them again.
func (s *Scheduler) unthrottleNext(w *worker) {
	for _, t := range w.tasks {
		if !t.throttled || t.eviction != evictNone {
			continue
		}
		full := t.demand.Cores / s.policy.ThrottleShare
		if w.demand.Cores+w.reservedDemand.Cores+full-t.demand.Cores > s.taskCapacity(w).Cores {
			continue
		}
		t.throttled = false
		w.setDemand(t, Demand{Cores: full, MemoryBytes: t.demand.MemoryBytes, Learnt: t.demand.Learnt})
		s.writeQueue.commands = append(s.writeQueue.commands,
			Command{Action: ActionThrottle, Host: w.id, TaskID: t.entry.job.TaskID(), Share: 1})
		return
	}
}
