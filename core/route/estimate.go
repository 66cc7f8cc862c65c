package route

import "time"

// estimateSmoothing is the weight of a new observation in the exponential moving averages.
const estimateSmoothing = 1.0 / 16

// RunTimeEstimate estimates the running time of requests from those that ended. The zero value has no observations and estimates zero.
type RunTimeEstimate struct {
	mean       time.Duration
	queueMeans map[string]time.Duration
}

// Observe adds the running time of one request of a queue.
func (e *RunTimeEstimate) Observe(queue string, duration time.Duration) {
	if e.queueMeans == nil {
		e.queueMeans = make(map[string]time.Duration)
	}
	e.mean = movingAverage(e.mean, duration)
	e.queueMeans[queue] = movingAverage(e.queueMeans[queue], duration)
}

// Mean returns the mean running time of all requests.
func (e *RunTimeEstimate) Mean() time.Duration {
	return e.mean
}

// QueueMean returns the mean running time of a queue's requests.
func (e *RunTimeEstimate) QueueMean(queue string) time.Duration {
	return e.queueMeans[queue]
}

// movingAverage returns an exponential moving average after one more observation. An average of zero means that there is none yet.
func movingAverage(old, duration time.Duration) time.Duration {
	if old == 0 {
		return duration
	}
	return old + time.Duration(float64(duration-old)*estimateSmoothing)
}
