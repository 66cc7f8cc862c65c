package work

import (
	"math"
	"time"
)

// durations learns how long the tasks of one queue run, and what callers' estimates are worth. The zero value has learnt nothing.
type durations struct {
	// count is the number of tasks seen, at most learntTasks.
	count float64
	// mean is the mean duration in seconds, error the mean absolute logarithm of duration by estimate.
	mean, error float64
}

const (
	// learntTasks bounds the weight of the past, so that a change of a queue's tasks shows within some hundred tasks.
	learntTasks = 200
	// fewTasks is how many tasks must be seen before their mean counts for more than an estimate.
	fewTasks = 10
	// usefulError is the mean error, about half as long or short again, up to which estimates are believed.
	usefulError = 0.4
	// unknownDuration stands in while neither an estimate nor a mean is known.
	unknownDuration = time.Second
)

// learn takes in the duration of a task that was done.
func (d *durations) learn(actual, estimate time.Duration) {
	if actual <= 0 {
		return
	}
	d.count = math.Min(d.count+1, learntTasks)
	d.mean += (actual.Seconds() - d.mean) / d.count
	if estimate > 0 {
		off := math.Abs(math.Log(actual.Seconds() / estimate.Seconds()))
		d.error += (off - d.error) / d.count
	}
}

// expect returns how long a task of the step is expected to run.
func (d *durations) expect(s *Step) time.Duration {
	known := d.count >= fewTasks
	switch {
	case s.Estimate > 0 && (!known || d.error <= usefulError):
		return s.Estimate
	case known:
		return time.Duration(d.mean * float64(time.Second))
	}
	return unknownDuration
}
