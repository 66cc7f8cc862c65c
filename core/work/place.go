package work

import (
	"math"
	"slices"
	"time"
)

// maxUnansweredStartsPerWorker limits the start orders to one worker that have no answer yet. Some of them wait
// for the answers of others, and with more of them the last ones would time out before they are sent. Workers
// answer within milliseconds, so the limit allows hundreds of starts a second.
const maxUnansweredStartsPerWorker = 5

// placeTasks starts the tasks that can run now, in the order of their urgency. It starts nothing while the
// snapshots are stale, since jobs may have been cancelled.
func (s *Scheduler) placeTasks(now time.Time) []Order {
	if s.hasStaleSnapshot(now) {
		return nil
	}
	resolved := s.allResolved(now)
	expired := resolved || s.earlierLeasesExpired(now)
	s.sortGroups(now)
	available := s.availableWorkers(now)
	s.beginQuotaRound(available, now)
	var orders []Order
	s.unplaceable = s.unplaceable[:0]
	groups := slices.DeleteFunc(slices.Clone(s.groups), func(g *taskGroup) bool {
		awaitsEarlierRuns := g.job.mayHaveEarlierRuns && !resolved && (!expired || !g.spec().LongRunning)
		return awaitsEarlierRuns || !s.dependenciesDone(g.job, g.occurrence, g.step)
	})
	orders = append(orders, s.placeTrials(groups, available, now)...)
	if s.dividesRoom() {
		orders = append(orders, s.placeByShare(groups, available, now)...)
	} else {
		for _, g := range groups {
			orders = append(orders, s.placeGroup(g, available, now, nil)...)
		}
	}
	return append(orders, s.placeProbes(groups, now)...)
}

// availableWorkers returns the workers that may get new tasks now.
func (s *Scheduler) availableWorkers(now time.Time) []*worker {
	var available []*worker
	for _, w := range s.sortedWorkers {
		if w.acceptsTasks(now) && !w.mayForgetStarted(now) {
			available = append(available, w)
		}
	}
	return available
}

// sortGroups sorts the active steps by urgency.
func (s *Scheduler) sortGroups(now time.Time) {
	for _, g := range s.groups {
		g.urgency = g.urgencyNow(now)
	}
	slices.SortFunc(s.groups, compareGroups)
}

// placeGroup starts the tasks of a step that can run now, until no worker has room for one, too many starts are
// unanswered, or mayContinue, which may be nil, returns false after a start.
func (s *Scheduler) placeGroup(g *taskGroup, available []*worker, now time.Time, mayContinue func() bool) []Order {
	if g.spec().Gang {
		return s.placeGang(g, available, now)
	}
	var orders []Order
	for i, t := range g.tasks {
		if !t.isStartable(now) {
			continue
		}
		if s.startsInFlight >= s.startWindow.size() {
			break
		}
		if !s.withinQuota(g, 1) {
			s.wantQuota(g, g.spec().Demand, countStartable(g.tasks[i:], now))
			break
		}
		if t.crashes.needsTrial() {
			continue // placeTrials has started it if it can be
		}
		w := s.chooseWorker(g, available, nil, t.failuresByWorker, now)
		if w == nil {
			g.unplaced = true
			if g.spec().LongRunning && (!g.needsApproval() || len(g.approvals) > 0) {
				s.unplacedTasks[g] += countStartable(g.tasks[i:], now)
			}
			break
		}
		orders = append(orders, s.startTask(t, w, now))
		if mayContinue != nil && !mayContinue() {
			break
		}
	}
	return orders
}

// countStartable returns the number of tasks that can be started now.
func countStartable(tasks []*task, now time.Time) int {
	n := 0
	for _, t := range tasks {
		if t.isStartable(now) {
			n++
		}
	}
	return n
}

// isStartable reports whether the task is not done, has no run, is not delayed, and may follow the last crash
// under it.
func (t *task) isStartable(now time.Time) bool {
	return !t.done && len(t.runs) == 0 && !now.Before(t.notBefore) && t.mayFollowCrash()
}

// placeGang starts all tasks of a gang with the same attempt number, or none of them.
func (s *Scheduler) placeGang(g *taskGroup, available []*worker, now time.Time) []Order {
	if s.startsInFlight >= s.startWindow.size() {
		return nil
	}
	attempt := 0
	for _, t := range g.tasks {
		if !t.isStartable(now) {
			return nil
		}
		attempt = max(attempt, t.attempt)
	}
	if !s.withinQuota(g, len(g.tasks)) {
		s.awaitQuotaForGang(g, now)
		return nil
	}
	g.lacksQuotaSince = time.Time{}
	plannedTasks := make(map[*worker]int)
	chosen := make([]*worker, len(g.tasks))
	for i := range g.tasks {
		chosen[i] = s.chooseWorker(g, available, plannedTasks, g.tasks[i].failuresByWorker, now)
		if chosen[i] == nil {
			g.unplaced = true
			return nil
		}
		plannedTasks[chosen[i]]++
	}
	orders := make([]Order, len(g.tasks))
	checkpoint := g.gangCheckpoint()
	for i, t := range g.tasks {
		t.attempt = attempt
		t.checkpoint = checkpoint
		orders[i] = s.startTask(t, chosen[i], now)
	}
	return orders
}

// gangCheckpoint returns the checkpoint of any member of the gang, since a checkpoint of one member is valid for
// all.
func (g *taskGroup) gangCheckpoint() string {
	for _, t := range g.tasks {
		if t.checkpoint != "" {
			return t.checkpoint
		}
	}
	return ""
}

// chooseWorker returns the worker with the highest score that has room for one more task of the step and the
// required approval, or nil. PlannedTasks counts the tasks of the step that are about to be placed; failuresByWorker counts the
// failed attempts of the task by worker.
func (s *Scheduler) chooseWorker(g *taskGroup, available []*worker, plannedTasks map[*worker]int, failuresByWorker map[string]int, now time.Time) *worker {
	spec := g.spec()
	demand := spec.reservedResources()
	if s.isUnplaceable(g, demand) {
		return nil
	}
	racks := g.tasksByRack(plannedTasks)
	avoided := s.kindsToAvoid(g)
	var best *worker
	bestScore := math.Inf(-1)
	for _, w := range available {
		planned := plannedTasks[w]
		need := demand
		for range planned {
			need = need.Add(demand)
		}
		if w.inTrial(now) || !w.hasLabel(spec.RequiredLabel) || !w.freeResources().Covers(need) || !g.isApproved(w, now) || (!spec.LongRunning && w.startsInFlight >= maxUnansweredStartsPerWorker) {
			continue
		}
		if spec.SpreadLimit > 0 && g.runsOn(w)+planned >= spec.SpreadLimit {
			continue
		}
		score := w.score(spec, need, racks) - scoreFailed*float64(failuresByWorker[w.Incarnation.Worker])
		if score > bestScore && w.runsAnyOf(avoided) {
			score -= scoreBadNeighbour
		}
		if score > bestScore {
			best, bestScore = w, score
		}
	}
	if best == nil {
		s.recordUnplaceable(g, demand)
	}
	return best
}

// isUnplaceable reports whether a demand of this size or smaller found no worker earlier in this round. Free
// capacity only shrinks within a round.
func (s *Scheduler) isUnplaceable(g *taskGroup, demand Resources) bool {
	if g.spec().LongRunning {
		return false // the limit of unanswered starts does not apply to long-running tasks
	}
	return slices.ContainsFunc(s.unplaceable, demand.Covers)
}

// recordUnplaceable records that no worker has room for a demand, if room is the only thing that the step
// requires of a worker.
func (s *Scheduler) recordUnplaceable(g *taskGroup, demand Resources) {
	if spec := g.spec(); spec.RequiredLabel == "" && spec.SpreadLimit == 0 && !spec.Gang && !g.needsApproval() {
		s.unplaceable = append(s.unplaceable, demand)
	}
}

// runsOn returns the number of runs of the group on a worker.
func (g *taskGroup) runsOn(w *worker) int {
	n := 0
	for r := range w.eachRun {
		if r.id.Task.Job == g.job.ID && r.id.Task.Occurrence == g.occurrence && r.id.Task.Step == g.step {
			n++
		}
	}
	return n
}

// eachRun calls yield for every run on the worker.
func (w *worker) eachRun(yield func(*run) bool) {
	for _, r := range w.runs {
		if !yield(r) {
			return
		}
	}
}

// tasksByRack counts the placed tasks of a group by rack, or returns nil if the step has no rack preference.
func (g *taskGroup) tasksByRack(plannedTasks map[*worker]int) map[string]int {
	if !g.spec().PreferSameRack {
		return nil
	}
	racks := make(map[string]int)
	for _, t := range g.tasks {
		for _, r := range t.runs {
			racks[r.worker.Rack]++
		}
	}
	for w, n := range plannedTasks {
		racks[w.Rack] += n
	}
	return racks
}

// Weights of a worker's score. A rack weighs more than any difference in load, because a task on another rack
// takes a multiple of its time. A failed attempt weighs more than the load: the next attempt goes to another
// worker of the rack if there is one, and after two failures to another rack. A neighbour that slows the task down weighs
// more than the load and less than a rack.
const (
	scoreDataRack     = 4.0
	scoreSameRack     = 2.0
	scoreFailed       = 3.0
	scoreBadNeighbour = 1.5
)

// score rates a worker for a task. Workers near the task's data score highest. Long-running tasks go to the
// emptiest worker, so that the loss of one worker affects few of them. Best-effort tasks go where the fewest of
// them run and none is slowed down. Other tasks go to the fullest worker, so that the others empty soon and
// their hosts can move to other pools.
func (w *worker) score(spec *Step, need Resources, racks map[string]int) float64 {
	score := 0.0
	if spec.DataRack != "" && spec.DataRack == w.Rack {
		score += scoreDataRack
	}
	if racks[w.Rack] > 0 {
		score += scoreSameRack
	}
	remaining := w.freeResources().Sub(need)
	free := fraction(remaining.MilliCores, w.Capacity.MilliCores) + fraction(remaining.MemoryMB, w.Capacity.MemoryMB)/4
	switch {
	case spec.BestEffort:
		return score + free - float64(w.bestEffortCount()+w.paceControl.reductionPercent/minPacePercent)
	case spec.LongRunning:
		return score + free
	}
	return score - free
}

// fraction returns part divided by whole, or zero if whole is zero.
func fraction(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
