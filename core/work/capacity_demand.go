package work

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// drainTimeInTime, drainTimeLate and drainTimeMissed are the times within which waiting work should be
	// completed: work that can still meet its objective, work that is late, and work so late that nobody waits
	// for it any more. For the latter two, hosts are of more use to other pools meanwhile.
	drainTimeInTime = 1000 * time.Millisecond
	drainTimeLate   = 3 * time.Second
	drainTimeMissed = 8 * time.Second
	// growUtilization is the utilization of the pool's capacity by expected work above which more workers are
	// requested, and shrinkUtilization the one below which workers are spare, unless the deviation of the work allows
	// more.
	growUtilization   = 0.78
	shrinkUtilization = 0.70
	// shortageGrowUtilization and shortageShrinkUtilization replace them while hosts are scarce: a reserve for
	// random peaks would then take hosts from work of other pools that is already waiting.
	shortageGrowUtilization   = 0.88
	shortageShrinkUtilization = 0.80
	// spareDelay is the time for which workers must have been spare before they are offered.
	spareDelay = 150 * time.Millisecond
	// missesUntilLost is the number of consecutive unanswered calls after which a worker no longer counts as
	// part of its pool.
	missesUntilLost = 2
	// minWorkers is the minimum number of workers of a pool. With it the pool still works after the loss of a
	// rack, or with a step that needs more than one worker.
	minWorkers = 3
	// minWorkerCores is the minimum number of cores that an additional worker is taken to offer. The capacity of the
	// present ones may have shrunk to nothing.
	minWorkerCores = 1.0
)

// CapacityDemand is the number of workers that a pool needs in addition or can give up.
type CapacityDemand struct {
	// RequestedCount is the number of additional workers that the pool could use, and SpareCount the number that
	// it can give up.
	RequestedCount int
	// UrgentCount is the part of RequestedCount that is needed for tasks that must not be unavailable.
	UrgentCount int
	SpareCount  int
	// SpareWorkers holds the spare workers whose removal disrupts the pool least.
	SpareWorkers []string
	// Reason states the figures behind the numbers, for the log.
	Reason string
}

// expectedCoreSeconds returns the expected work of a number of tasks of a step.
func (s *Scheduler) expectedCoreSeconds(j *job, step *Step, tasks int) float64 {
	if step.BestEffort || step.LongRunning {
		return 0
	}
	return float64(tasks) * float64(step.Demand.MilliCores) / 1000 * s.queueDurations(j.Queue).estimate(step).Seconds()
}

func (s *Scheduler) queueDurations(queue string) *durationStats {
	d := s.durations[queue]
	if d == nil {
		d = &durationStats{}
		s.durations[queue] = d
	}
	return d
}

// recordArrival counts a new job and its expected work.
func (s *Scheduler) recordArrival(j *job, now time.Time) {
	total := 0.0
	for i := range j.Steps {
		total += s.expectedCoreSeconds(j, &j.Steps[i], j.Steps[i].TaskCount)
	}
	total = s.limitArrival(j.Organisation, total, now)
	if total == 0 {
		return
	}
	a := s.arrivals[j.Queue]
	if a == nil {
		a = &arrivalStats{}
		s.arrivals[j.Queue] = a
	}
	a.add(total, now)
}

// forecastArrivals returns the work, in core-seconds per second, that is expected to arrive at the time when a
// host that is requested now becomes usable, and whether the arrivals of a queue are rising.
func (s *Scheduler) forecastArrivals(now time.Time) (work float64, rising bool) {
	for _, a := range s.arrivals {
		work += a.forecast(s.timing.MoveDuration+hostOrderLatency, now)
		rising = rising || a.rising
	}
	return work, rising
}

// coreDemand is what the steps of one organisation need, in cores.
type coreDemand struct {
	// continuous is needed for long-running tasks, running is in use, and waiting would complete the waiting tasks in
	// time.
	continuous, running, waiting float64
	// total is the demand of all tasks together.
	total Resources
}

// add adds the tasks of a step that are not done.
func (d *coreDemand) add(s *Scheduler, g *taskGroup, now time.Time) {
	step := g.spec()
	cores := float64(step.reservedResources().MilliCores) / 1000
	d.total = d.total.Add(step.Demand.Times(g.remainingTasks))
	if step.LongRunning {
		d.continuous += float64(g.remainingTasks) * cores
		return
	}
	busy := 0
	for _, t := range g.tasks {
		if !t.done && len(t.runs) > 0 {
			busy++
		}
	}
	d.running += float64(busy) * cores
	// More cores than the waiting tasks can use at once would not complete them sooner.
	d.waiting += min(s.expectedCoreSeconds(g.job, step, g.remainingTasks-busy)/g.drainTime(now).Seconds(), float64(g.remainingTasks-busy)*cores)
}

// limitedTo returns the demand without what an organisation may not have running because of its limit.
func (d coreDemand) limitedTo(headroom Resources) coreDemand {
	share := min(1, shareWithin(headroom.MilliCores, d.total.MilliCores), shareWithin(headroom.MemoryMB, d.total.MemoryMB), shareWithin(headroom.Accelerators, d.total.Accelerators))
	cores := share * float64(d.total.MilliCores) / 1000
	d.continuous = min(d.continuous, cores)
	d.running = min(d.running, cores-d.continuous)
	d.waiting = min(d.waiting, cores-d.continuous-d.running)
	return d
}

// shareWithin returns the share of a demand that fits within a headroom. A headroom of zero means no limit.
func shareWithin(headroom, demand int) float64 {
	if headroom == 0 || demand == 0 {
		return 1
	}
	return float64(headroom) / float64(demand)
}

// requiredCores returns the cores that the pool needs: those of long-running tasks, and for the others the
// larger of two figures: the cores for the work that will arrive, or those in use together with those that
// complete the waiting work in time.
func (s *Scheduler) requiredCores(now time.Time) coreNeed {
	demands := make(map[string]*coreDemand)
	for _, g := range s.groups {
		d := demands[g.job.Organisation]
		if d == nil {
			d = &coreDemand{}
			demands[g.job.Organisation] = d
		}
		d.add(s, g, now)
	}
	var sum coreDemand
	for _, name := range slices.Sorted(maps.Keys(demands)) {
		d := *demands[name]
		if headroom, bound := s.Quota.Headroom(name); bound {
			d = d.limitedTo(headroom)
		}
		sum.continuous += d.continuous
		sum.running += d.running
		sum.waiting += d.waiting
	}
	expected, rising := s.forecastArrivals(now)
	return coreNeed{lasting: sum.continuous, ending: math.Max(expected, sum.running+sum.waiting), jobWidth: s.jobWidth(), rising: rising}
}

// drainTime returns the time within which the waiting work of a step should be completed: before the step's
// objective is missed, if it still can be met.
func (g *taskGroup) drainTime(now time.Time) time.Duration {
	switch g.urgencyNow(now) {
	case urgencyLate:
		return drainTimeLate
	case urgencyMissed:
		return drainTimeMissed
	}
	if g.allowedDuration == 0 {
		return drainTimeInTime
	}
	slack := g.allowedDuration - time.Duration(float64(g.remainingDuration)*remainingDurationMargin) - now.Sub(g.objectiveStart)
	return min(max(slack, drainTimeInTime), drainTimeLate)
}

// workerSummary describes the usable workers of the pool, without leaving, withdrawn and lost ones: their number,
// how many of them get no tasks at the moment, those that have answered this holder, the total number of cores
// and the largest capacity of one worker.
type workerSummary struct {
	count, unavailable int
	answered           []*worker
	cores              float64
	largest            Resources
}

func (s *Scheduler) workerSummary(now time.Time) workerSummary {
	var summary workerSummary
	for _, w := range s.sortedWorkers {
		if !w.listed || w.Draining || w.withdrawn || w.consecutiveMisses >= missesUntilLost {
			continue
		}
		summary.count++
		summary.largest = summary.largest.Max(w.Capacity)
		summary.cores += float64(w.Capacity.MilliCores) / 1000
		if !w.acceptsTasks(now) {
			summary.unavailable++
		}
		if w.answered {
			summary.answered = append(summary.answered, w)
		}
	}
	return summary
}

// SetHostShortage sets whether the pools together request more hosts than there are.
func (s *Scheduler) SetHostShortage(short bool) { s.hostShortage = short }

// CapacityDemand returns the pool's demand for workers. Workers that have not answered yet are counted, so that
// a new holder does not request hosts in their place. No worker is offered while there are such workers.
func (s *Scheduler) CapacityDemand(now time.Time) CapacityDemand {
	s.initialise()
	summary := s.workerSummary(now)
	present, cores := summary.count, summary.cores
	if present == 0 {
		if len(s.groups) > 0 {
			return CapacityDemand{RequestedCount: minWorkers, UrgentCount: minWorkers, Reason: "no workers"}
		}
		return CapacityDemand{}
	}
	each := max(cores/float64(present), minWorkerCores)
	need := s.requiredCores(now)
	demand := CapacityDemand{Reason: fmt.Sprintf("%d workers with %.0f cores, %.0f cores needed, %d steps with unplaced tasks, %d blocked evacuations", present, cores, need.total(), len(s.unplacedTasks), s.blockedEvacuations)}
	bounds := s.reserveBounds(need)
	if bounds.grow > cores {
		demand.RequestedCount = int(math.Ceil((bounds.grow - cores) / each))
	}
	demand.UrgentCount = max(0, minWorkers-present)
	if len(s.unplacedTasks) > 0 {
		// Workers that are only unavailable for a moment have room again before new hosts would arrive.
		demand.UrgentCount = max(demand.UrgentCount, 1, s.missingWorkers(summary.largest)-summary.unavailable)
	}
	demand.RequestedCount = max(demand.RequestedCount, demand.UrgentCount)
	keep := max(minWorkers, s.workersForSpread(), s.workersForLongRunning(summary.largest), int(math.Ceil(bounds.shrink/each)))
	if present <= keep || len(summary.answered) < present || demand.UrgentCount > 0 {
		s.spareSince = time.Time{}
		return demand
	}
	if s.spareSince.IsZero() {
		s.spareSince = now
	}
	if now.Sub(s.spareSince) < spareDelay {
		return demand
	}
	demand.SpareWorkers = s.leastDisruptiveWorkers(summary.answered, present-keep, now)
	demand.SpareCount = len(demand.SpareWorkers)
	return demand
}

// workersForSpread returns the number of workers that the long-running steps need because of their spread
// limits.
func (s *Scheduler) workersForSpread() int {
	workers := 0
	for _, g := range s.groups {
		if step := g.spec(); step.LongRunning && step.SpreadLimit > 0 {
			workers = max(workers, (s.permittedTasks(g)+step.SpreadLimit-1)/step.SpreadLimit)
		}
	}
	return workers
}

// remainingBusyTime returns the time for which the tasks on the worker, apart from long-running ones, are
// expected to run on.
func (s *Scheduler) remainingBusyTime(w *worker, now time.Time) time.Duration {
	longest := time.Duration(0)
	for _, r := range w.runs {
		if r.task == nil || r.task.group.spec().LongRunning {
			continue
		}
		g := r.task.group
		longest = max(longest, s.queueDurations(g.job.Queue).estimate(g.spec())-now.Sub(r.startedAt))
	}
	return longest
}

// countLongRunning returns the number of long-running tasks on the worker.
func (w *worker) countLongRunning() int {
	n := 0
	for _, r := range w.runs {
		if r.task != nil && r.task.group.spec().LongRunning {
			n++
		}
	}
	return n
}
