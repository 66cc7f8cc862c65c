package work

import "time"

// backlog estimates how long the usable workers of a pool take for work.
type backlog struct {
	// room is what the workers have for work that ends by itself, and free the part of it that is not in use nor taken by
	// steps of the backlog.
	room, free Resources
	// milliCores, memoryMB and accelerators are the work, each times seconds.
	milliCores, memoryMB, accelerators float64
	// claimed holds what the steps of the backlog take of the limits of their organisations.
	claimed map[string]Resources
}

// newBacklog returns an empty backlog of the pool.
func (s *Scheduler) newBacklog() backlog {
	var b backlog
	for _, w := range s.sortedWorkers {
		if w.listed && !w.Draining && !w.withdrawn && w.consecutiveMisses < missesUntilLost {
			b.room = b.room.Add(w.Capacity)
			b.free = b.free.Add(w.freeResources().Max(Resources{}))
		}
	}
	for _, g := range s.groups {
		if g.spec().LongRunning {
			b.room = b.room.Sub(g.spec().reservedResources().Times(g.remainingTasks))
		}
	}
	return b
}

// add adds the tasks of a step that can be started, as far as its organisation may have them running. They are not waited
// for if they fit into the free room.
func (b *backlog) add(s *Scheduler, g *taskGroup, now time.Time) {
	spec := g.spec()
	if spec.LongRunning {
		return
	}
	demand, n := spec.reservedResources(), b.claimWithinLimit(s, g, countStartable(g.tasks, now))
	if together := demand.Times(n); b.free.Covers(together) {
		b.free = b.free.Sub(together)
		return
	}
	b.free = Resources{}
	seconds := float64(n) * s.queueDurations(g.job.Queue).estimate(spec).Seconds()
	b.milliCores += seconds * float64(demand.MilliCores)
	b.memoryMB += seconds * float64(demand.MemoryMB)
	b.accelerators += seconds * float64(demand.Accelerators)
}

// claimWithinLimit returns how many of n tasks of a step its organisation may have running in addition to its runs and to
// the steps of the backlog.
func (b *backlog) claimWithinLimit(s *Scheduler, g *taskGroup, n int) int {
	usage := g.quotaUsage()
	limit, bound := s.Quota.Headroom(usage.organisation)
	if !bound {
		return n
	}
	used := s.Quota.Used(usage.organisation).Add(b.claimed[usage.organisation])
	for _, r := range [][3]int{
		{limit.MilliCores, used.MilliCores, usage.demand.MilliCores},
		{limit.MemoryMB, used.MemoryMB, usage.demand.MemoryMB},
		{limit.Accelerators, used.Accelerators, usage.demand.Accelerators},
	} {
		if limit, used, demand := r[0], r[1], r[2]; limit > 0 && demand > 0 {
			n = min(n, max(0, limit-used)/demand)
		}
	}
	if b.claimed == nil {
		b.claimed = make(map[string]Resources)
	}
	b.claimed[usage.organisation] = b.claimed[usage.organisation].Add(usage.demand.Times(n))
	return n
}

// wait returns how long the pool takes for the work, by the resource that binds.
func (b *backlog) wait() time.Duration {
	seconds := max(
		b.milliCores/float64(max(1, b.room.MilliCores)),
		b.memoryMB/float64(max(1, b.room.MemoryMB)),
		b.accelerators/float64(max(1, b.room.Accelerators)))
	return time.Duration(min(seconds, maxDuration.Seconds()) * float64(time.Second))
}

// expectedWait returns how long the pool takes for the tasks that wait, without long-running ones.
func (s *Scheduler) expectedWait(now time.Time) time.Duration {
	b := s.newBacklog()
	for _, g := range s.groups {
		b.add(s, g, now)
	}
	return b.wait()
}

// laxity returns how long the step can still wait if its job is to meet the objective, and false if it has none or can't
// meet it.
func (g *taskGroup) laxity(now time.Time) (time.Duration, bool) {
	if g.allowedDuration == 0 || g.urgency != urgencyInTime {
		return 0, false
	}
	remaining := time.Duration(float64(g.remainingDuration) * remainingDurationMargin)
	return g.allowedDuration - now.Sub(g.objectiveStart) - remaining, true
}

// addInTime adds steps to the backlog, and reports whether all of them can be served in time if they go in this order.
func (b *backlog) addInTime(s *Scheduler, groups []*taskGroup, now time.Time) bool {
	inTime := true
	for _, g := range groups {
		laxity, ok := g.laxity(now)
		inTime = inTime && ok && b.wait() <= laxity
		b.add(s, g, now)
	}
	return inTime
}
