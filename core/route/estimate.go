package route

import "time"

// estimateWeight is the weight of a new observation in the moving average.
const estimateWeight = 1.0 / 16

// Estimate learns how long requests run from those that ended. The zero value knows nothing and estimates zero.
type Estimate struct {
	all     time.Duration
	byQueue map[string]time.Duration
}

// Observe adds the running time of one request of a queue.
func (e *Estimate) Observe(queue string, took time.Duration) {
	if e.byQueue == nil {
		e.byQueue = make(map[string]time.Duration)
	}
	e.all = average(e.all, took)
	e.byQueue[queue] = average(e.byQueue[queue], took)
}

// Mean returns the running time over all queues.
func (e *Estimate) Mean() time.Duration {
	return e.all
}

// Typical returns the running time of a queue's requests.
func (e *Estimate) Typical(queue string) time.Duration {
	return e.byQueue[queue]
}

func average(old, took time.Duration) time.Duration {
	if old == 0 {
		return took
	}
	return old + time.Duration(float64(took-old)*estimateWeight)
}
