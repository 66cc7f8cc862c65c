package work

import "math"

// tasksPerWorker returns the number of tasks of the step that fit on an empty worker of this capacity.
func (s *Step) tasksPerWorker(capacity Resources) int {
	demand := s.reservedResources()
	n := math.MaxInt32
	for _, r := range [][2]int{
		{capacity.MilliCores, demand.MilliCores}, {capacity.MemoryMB, demand.MemoryMB}, {capacity.Accelerators, demand.Accelerators},
	} {
		if r[1] > 0 {
			n = min(n, r[0]/r[1])
		}
	}
	return n
}

// missingWorkers returns the number of workers of this capacity needed for the long-running tasks that found no
// worker in the last round. Steps share workers, so only the largest need due to a spread limit counts. A step
// whose tasks do not fit on such a worker counts as one worker, since the pool may get hosts of another size.
func (s *Scheduler) missingWorkers(capacity Resources) int {
	room, spread := 0.0, 0
	for g, tasks := range s.unplacedTasks {
		step := g.spec()
		if fit := step.tasksPerWorker(capacity); fit > 0 {
			room += float64(tasks) / float64(fit)
		} else {
			room++
		}
		if step.SpreadLimit > 0 {
			spread = max(spread, (tasks+step.SpreadLimit-1)/step.SpreadLimit)
		}
	}
	return max(spread, int(math.Ceil(room)))
}

// workersForLongRunning returns the number of workers of this capacity that the long-running tasks need, in any
// of their resources.
func (s *Scheduler) workersForLongRunning(capacity Resources) int {
	workers := 0.0
	for _, g := range s.groups {
		if step := g.spec(); step.LongRunning && g.remainingTasks > 0 {
			workers += float64(s.permittedTasks(g)) / float64(max(1, step.tasksPerWorker(capacity)))
		}
	}
	return int(math.Ceil(workers))
}

// permittedTasks returns the number of tasks of a step that are not done and that the limit of its organisation lets run in the pool. The
// other steps of the organisation may use the same room.
func (s *Scheduler) permittedTasks(g *taskGroup) int {
	headroom, bound := s.Quota.Headroom(g.job.Organisation)
	if !bound {
		return g.remainingTasks
	}
	share := min(1, shareWithin(headroom.MilliCores, g.spec().Demand.MilliCores*g.remainingTasks), shareWithin(headroom.MemoryMB, g.spec().Demand.MemoryMB*g.remainingTasks),
		shareWithin(headroom.Accelerators, g.spec().Demand.Accelerators*g.remainingTasks))
	return int(math.Ceil(share * float64(g.remainingTasks)))
}
