package work

import "math"

const (
	// maxFill is the fraction of the workers' cores that tasks can fill. What is left on a worker is too small for
	// another task.
	maxFill = 0.95
	// growDeviations and shrinkDeviations are the numbers of standard deviations of the needed cores that a pool
	// requests and keeps in reserve. The pool of many small jobs needs a smaller share in reserve than that of a few
	// large ones.
	growDeviations   = 0.5
	shrinkDeviations = 1.6
	// shortageDeviations is the fraction of these deviations that remains while hosts are scarce.
	shortageDeviations = 0.5
)

// coreNeed is what a pool needs, in cores.
type coreNeed struct {
	// lasting is needed for long-running tasks, and ending for the others, running, waiting and expected.
	lasting, ending float64
	// jobWidth is the number of cores that a job uses at once, averaged over the cores in use.
	jobWidth float64
	// rising is set while more jobs arrive than before.
	rising bool
}

// total returns the cores needed for all tasks.
func (n coreNeed) total() float64 { return n.lasting + n.ending }

// deviation returns the standard deviation of the needed cores if jobs of that width come independently of each other.
func (n coreNeed) deviation() float64 { return math.Sqrt(n.ending * n.jobWidth) }

// reserveBounds are the numbers of cores below which a pool requests workers and above which it offers some.
type reserveBounds struct{ grow, shrink float64 }

// reserveBounds returns the bounds for a need. The reserve is a fixed share of the need, or less if the need is known to
// vary less. While demand rises, the share is kept: hosts that come too late are not made up for.
func (s *Scheduler) reserveBounds(n coreNeed) reserveBounds {
	grow, shrink, deviation := growUtilization, shrinkUtilization, n.deviation()
	if s.hostShortage {
		grow, shrink, deviation = shortageGrowUtilization, shortageShrinkUtilization, shortageDeviations*deviation
	}
	b := reserveBounds{n.total() / grow, n.total() / shrink}
	if n.jobWidth == 0 || (n.rising && !s.hostShortage) {
		return b
	}
	filled := n.total() / maxFill
	return reserveBounds{min(b.grow, filled+growDeviations*deviation), min(b.shrink, filled+shrinkDeviations*deviation)}
}

// jobWidth returns the mean number of cores that the tasks of a step which are not done use at once, averaged over these
// cores, without long-running steps.
func (s *Scheduler) jobWidth() float64 {
	sum, squares := 0.0, 0.0
	for _, g := range s.groups {
		step := g.spec()
		if step.LongRunning {
			continue
		}
		cores := float64(g.remainingTasks) * float64(step.reservedResources().MilliCores) / 1000
		sum += cores
		squares += cores * cores
	}
	if sum == 0 {
		return 0
	}
	return squares / sum
}
