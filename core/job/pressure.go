package job

import "time"

// relieveMemoryPressure reduces the memory usage of a worker. With rising usage, evictable tasks are
// throttled, then checkpointed and stopped, then stopped at once, the youngest first. Memory of tasks being
// evicted counts as free, except for the last step.
func (s *Scheduler) relieveMemoryPressure(w *worker, now time.Time) {
	if s.policy.Method != MethodLearned || w.capacity.MemoryBytes == 0 {
		return
	}
	total, remaining := w.expectedMemory(s.policy.UsageReportLag)
	if total/float64(w.capacity.MemoryBytes) >= s.policy.StopThreshold {
		defer w.skipCheckpointWait(now)
	}
	used := remaining / float64(w.capacity.MemoryBytes)
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

// skipCheckpointWait makes the worker's evicted tasks due for their stop without waiting for a checkpoint.
func (w *worker) skipCheckpointWait(now time.Time) {
	for _, t := range w.tasks {
		if t.eviction != evictNone && t.stopAt.After(now) {
			t.stopAt, t.checkpointRequested = now, true
		}
	}
}

// expectedMemory returns the estimated present memory usage of all tasks, and of those that are not being
// evicted. Reports are late, so the usage of a task is extrapolated by the growth between its last two
// reports. Growth is limited by the task's estimate unless the usage has exceeded it.
func (w *worker) expectedMemory(lag time.Duration) (total, remaining float64) {
	for _, t := range w.tasks {
		used := float64(t.usedMemory)
		expected := used + t.growthRate*lag.Seconds()
		if estimate := float64(t.estimate); used < estimate {
			expected = min(expected, estimate)
		}
		total += expected
		if t.eviction == evictNone {
			remaining += expected
		}
	}
	return total, remaining
}

// recordMemory records a reported memory usage of the task and its growth rate.
func (t *task) recordMemory(memory int64, now time.Time) {
	if elapsed := now.Sub(t.measuredAt); elapsed > 0 && !t.measuredAt.IsZero() {
		t.growthRate = max(0, float64(memory-t.usedMemory)/elapsed.Seconds())
	}
	t.usedMemory, t.measuredAt = memory, now
}

// unthrottleNext restores the cores of one throttled task if the worker has room for them.
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
