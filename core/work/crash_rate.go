package work

import (
	"math"
	"slices"
	"time"

	"gonum.org/v1/gonum/stat/distuv"
)

const (
	// crashRateMemory is the time after which crashes, and time without, count for a pool's rate by a factor of e less.
	crashRateMemory = 2 * time.Minute
	// maxCrashRateEntries bounds the crashes that are remembered for it.
	maxCrashRateEntries = 1024
	// maxVerdictChance is the probability up to which crashes under a long-running task aren't chance, given that many tasks are
	// judged again and again. From minForgottenChance on they tell nothing about it.
	maxVerdictChance   = 1e-5
	minForgottenChance = 0.05
)

// crashRate estimates how often the workers of a pool crash without a task. The zero value has seen none.
type crashRate struct {
	// crashes holds the latest crashes.
	crashes []workerCrash
	// observed is the sum of the times for which workers were listed, apart from one worker, up to updatedAt. Like crashes, it counts the
	// less the longer ago it was. listed is the number of workers since then.
	observed  time.Duration
	updatedAt time.Time
	listed    int
}

// workerCrash is a crash of a worker that was not leaving.
type workerCrash struct {
	at time.Time
	// tasks holds the long-running tasks of which the worker had runs.
	tasks []TaskID
}

// setListed records that this many workers are listed from now on.
func (c *crashRate) setListed(workers int, now time.Time) {
	c.observed, c.updatedAt, c.listed = c.observedUntil(now), laterTime(c.updatedAt, now), workers
}

// observedUntil returns observed for a time that is not before updatedAt.
func (c *crashRate) observedUntil(now time.Time) time.Duration {
	if c.updatedAt.IsZero() || now.Before(c.updatedAt) {
		return c.observed
	}
	weight := weightAfter(now.Sub(c.updatedAt))
	return time.Duration(float64(c.observed)*weight + float64(max(1, c.listed-1))*float64(crashRateMemory)*(1-weight))
}

// weightAfter returns how much something counts that was this long ago.
func weightAfter(age time.Duration) float64 {
	return math.Exp(-max(0, age.Seconds()) / crashRateMemory.Seconds())
}

// add records a crash of a worker with these runs.
func (c *crashRate) add(at time.Time, runs []*run) {
	crash := workerCrash{at: at}
	for _, r := range runs {
		if r.task != nil && r.task.group.spec().LongRunning {
			crash.tasks = append(crash.tasks, r.task.id())
		}
	}
	c.crashes = append(c.crashes[max(0, len(c.crashes)+1-maxCrashRateEntries):], crash)
}

// without returns the rate, per second, at which a worker without the task crashes. One more crash than seen is assumed, so that the rate
// is high where little was seen.
func (c *crashRate) without(t TaskID, now time.Time) float64 {
	crashes := 1.0
	for _, crash := range c.crashes {
		if !slices.Contains(crash.tasks, t) {
			crashes += weightAfter(now.Sub(crash.at))
		}
	}
	return crashes / max(c.observedUntil(now), time.Second).Seconds()
}

// chanceOfCrashes returns the probability that as many workers would have crashed under a long-running task if they crashed as often as
// those without it.
func (s *Scheduler) chanceOfCrashes(t *task, at time.Time) float64 {
	expected := s.crashRate.without(t.id(), at) * t.crashes.exposure.Seconds()
	return distuv.Poisson{Lambda: expected}.Survival(float64(t.crashes.total - 1))
}
