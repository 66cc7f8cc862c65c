package job

import "math"

const (
	// minLearntTasks is the number of observed tasks from which a group's usage replaces the declared size.
	minLearntTasks = 3
	// minSampleWeight is the weight of the newest task in a group's mean.
	minSampleWeight = 0.1
	// memoryDeviations are added to the mean memory, coreDeviations to the mean cores.
	memoryDeviations = 3
	coreDeviations   = 1
	// unlearntFactor multiplies the declared memory while a group's usage is not known.
	unlearntFactor = 3
	// maxGroups bounds the groups that are remembered.
	maxGroups = 1024
	// peakDecay is what remains of a group's highest memory after each task.
	peakDecay = 0.98
)

// Demand is what a task is expected to use.
type Demand struct {
	Cores       float64
	MemoryBytes int64
	// Learnt is false while the demand rests on the declared size.
	Learnt bool
}

// Usage learns the usage of groups of jobs. The zero value knows nothing.
type Usage struct {
	groups map[string]*groupUsage
	// observedTasks counts all tasks.
	observedTasks uint64
}

// groupUsage holds the moments of the peaks of a group's tasks.
type groupUsage struct {
	tasks  int
	cores  moments
	memory moments
	// peak is the highest memory of a task, decaying with each further task.
	peak float64
	// lastObserved is Usage.observed when the group's last task was learnt.
	lastObserved uint64
}

// moments is an exponentially weighted mean and variance.
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

// Observe learns the peaks of one task.
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

// removeOldestGroup drops the group that was learnt longest ago, if there are too many.
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

// Estimate returns the demand of a job. Declared sizes count only while little
// is known of the job's group; memory then counts several times, because
// memory that was declared too small can't be taken back.
func (u *Usage) Estimate(spec Spec) Demand {
	g := u.groups[spec.UsageGroup()]
	if g == nil || g.tasks < minLearntTasks {
		return Demand{Cores: float64(spec.Cores), MemoryBytes: unlearntFactor * spec.MemoryBytes}
	}
	memory := math.Max(g.memory.meanPlusDeviations(memoryDeviations), g.peak)
	return Demand{Cores: g.cores.meanPlusDeviations(coreDeviations), MemoryBytes: int64(memory), Learnt: true}
}
