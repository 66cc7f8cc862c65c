package work

import (
	"math"
	"time"
)

// durationStats estimates the duration of the tasks of one queue and the accuracy of the callers' estimates. The
// zero value has no samples.
type durationStats struct {
	// count is the number of samples, at most maxDurationWeight.
	count float64
	// mean is the mean duration in seconds; logError is the mean absolute logarithm of the ratio of duration and
	// estimate.
	mean, logError float64
}

const (
	// maxDurationWeight limits the weight of past tasks, so that a change in a queue's tasks shows within a few
	// hundred tasks.
	maxDurationWeight = 200
	// minTasks is the number of samples from which the mean duration is used.
	minTasks = 10
	// maxUsefulError is the mean error up to which callers' estimates are used: a factor of about 1.5 in either
	// direction.
	maxUsefulError = 0.4
	// defaultDuration is used while there is neither an estimate nor a mean.
	defaultDuration = time.Second
)

// observe adds the duration of a completed task.
func (d *durationStats) observe(actual, estimate time.Duration) {
	if actual <= 0 {
		return
	}
	d.count = math.Min(d.count+1, maxDurationWeight)
	d.mean += (actual.Seconds() - d.mean) / d.count
	if estimate > 0 {
		off := math.Abs(math.Log(actual.Seconds() / estimate.Seconds()))
		d.logError += (off - d.logError) / d.count
	}
}

// estimate returns the expected duration of a task of the step.
func (d *durationStats) estimate(s *Step) time.Duration {
	known := d.count >= minTasks
	switch {
	case s.Estimate > 0 && (!known || d.logError <= maxUsefulError):
		return s.Estimate
	case known:
		return time.Duration(d.mean * float64(time.Second))
	}
	return defaultDuration
}
