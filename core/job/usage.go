package job

import "math"

const (
	// minLearntTasks is the number of observed tasks from which the usage of a group replaces the declared
	// size.
	minLearntTasks = 3
	// minSampleWeight is the minimum weight of the newest task in the moving averages of a group.
	minSampleWeight = 0.1
	// memoryDeviations and coreDeviations are the numbers of standard deviations that are added to the mean
	// memory and to the mean cores.
	memoryDeviations = 3
	coreDeviations   = 1
	// unlearntFactor multiplies the declared memory while the usage of a group is not learnt.
	unlearntFactor = 3
	// maxGroups bounds the groups that are tracked.
	maxGroups = 1024
	// peakDecay is the factor by which the peak memory of a group decays with each task.
	peakDecay = 0.98
)

// Demand is the expected resource usage of a task.
type Demand struct {
	Cores       float64
	MemoryBytes int64
	// Learnt is false while the demand is estimated from the declared size.
	Learnt bool
}

// Usage learns the resource usage of groups of jobs. The zero value is empty and ready to use.
type Usage struct {
	groups map[string]*groupUsage
	// observedTasks counts all observed tasks.
	observedTasks uint64
}

// groupUsage holds moving averages of the peak usage of a group's tasks.
type groupUsage struct {
	tasks  int
	cores  moments
	memory moments
	// peak is the highest memory usage of a task, decayed with each further task.
	peak float64
	// lastObserved is the value of Usage.observedTasks when the group's last task was observed.
	lastObserved uint64
}

// moments is an exponentially weighted moving mean and variance.
type moments struct {
	mean, variance float64
}

func (m *moments) add(x float64, n int) {
	weight := math.Max(minSampleWeight, 1/float64(n))
	delta := x - m.mean
	m.mean += weight * delta
	m.variance = (1 - weight) * (m.variance + weight*delta*delta)
}

func (m moments) meanPlusDeviations(deviations float64) float64 {
	return m.mean + deviations*math.Sqrt(m.variance)
}

// Observe records the peak usage of one task.
func (u *Usage) Observe(group string, cores float64, memoryBytes int64) {
	if u.groups == nil {
		u.groups = make(map[string]*groupUsage)
	}
	g := u.groups[group]
	if g == nil {
		g = &groupUsage{}
		u.removeOldestGroup()
		u.groups[group] = g
	}
	u.observedTasks++
	g.lastObserved = u.observedTasks
	g.tasks++
	g.cores.add(cores, g.tasks)
	g.memory.add(float64(memoryBytes), g.tasks)
	g.peak = math.Max(g.peak*peakDecay, float64(memoryBytes))
}

// removeOldestGroup removes the least recently observed group if there are too many groups.
func (u *Usage) removeOldestGroup() {
	if len(u.groups) < maxGroups {
		return
	}
	oldest := ""
	for name, g := range u.groups {
		if oldest == "" || g.lastObserved < u.groups[oldest].lastObserved {
			oldest = name
		}
	}
	delete(u.groups, oldest)
}

// Estimate returns the demand of a job. The declared size counts only until minLearntTasks tasks of the group
// were observed. The declared memory is then multiplied by unlearntFactor, because memory can't be taken back
// from a task whose declared size was too small.
func (u *Usage) Estimate(spec Spec) Demand {
	g := u.groups[spec.UsageGroup()]
	if g == nil || g.tasks < minLearntTasks {
		return Demand{Cores: float64(spec.Cores), MemoryBytes: unlearntFactor * spec.MemoryBytes}
	}
	memory := math.Max(g.memory.meanPlusDeviations(memoryDeviations), g.peak)
	return Demand{Cores: g.cores.meanPlusDeviations(coreDeviations), MemoryBytes: int64(memory), Learnt: true}
}
