package runner

import (
	"cmp"
	"sync"
	"time"
)

const (
	// minWorkerTimeout is the minimum timeout of a call to a worker. Workers answer within milliseconds, and a lost
	// answer delays whatever depends on it by the whole timeout.
	minWorkerTimeout = 200 * time.Millisecond
	// maxWorkerTimeout is the maximum timeout, which is that of the platform's client.
	maxWorkerTimeout = time.Second
	// timeoutFactor is the ratio of the timeout to the estimated median latency.
	timeoutFactor = 10
	// renewIntervalFactor is the ratio of the time between two renewals of a worker to the estimated median latency.
	// maxRenewInterval bounds that time.
	renewIntervalFactor = 2
	maxRenewInterval    = 250 * time.Millisecond
	// medianStep is the factor by which each answer raises or lowers the estimate. It takes fifty answers to go from
	// 1 ms to 100 ms.
	medianStep = 1.1
	// extensionTime is how long the maximum timeout applies after the store reported overload. It covers a few of the
	// calls that wait a second each.
	extensionTime = 3 * time.Second
	// minMedian bounds the estimate from below. A lower estimate would take too many answers to rise again.
	minMedian = time.Millisecond
)

// Bounds of the timeout of calls to the store. A transaction may be queued for a second when the store is slow; a
// lost answer delays its callers by the whole timeout.
const (
	minStoreTimeout = 300 * time.Millisecond
	maxStoreTimeout = 2500 * time.Millisecond
)

// latencyEstimator estimates the median latency of calls and derives timeouts from it. It measures latency as seen by
// this process, because a process that is itself slow must not take its own delays for lost answers. The zero value
// has seen no calls.
type latencyEstimator struct {
	// minTimeout and maxTimeout bound the timeout of a call. If they are zero, the bounds for workers apply.
	minTimeout, maxTimeout time.Duration

	mu     sync.Mutex
	median time.Duration
	// extendedUntil is the time until which calls get the maximum timeout.
	extendedUntil time.Time
}

// recordLatency updates the estimate with the latency of a call. An unanswered call counts as slower than any
// answered one.
func (e *latencyEstimator) recordLatency(latency time.Duration, answered bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.median = max(e.median, minMedian)
	if !answered || latency > e.median {
		e.median = min(time.Duration(float64(e.median)*medianStep), cmp.Or(e.maxTimeout, maxWorkerTimeout))
		return
	}
	e.median = max(time.Duration(float64(e.median)/medianStep), minMedian)
}

// extend applies the maximum timeout for a while. It is called when the store reports that calls are queued: a call
// that is given up stays queued there, and its repetition is queued behind it.
func (e *latencyEstimator) extend() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.extendedUntil = time.Now().Add(extensionTime)
}

// renewInterval returns the time between two renewals of a worker. It grows with the latency, so that a process that
// is short of processor time gets the ends of more tasks with each call.
func (e *latencyEstimator) renewInterval() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return min(max(renewIntervalFactor*e.median, minRenewInterval), maxRenewInterval)
}

// timeout returns the timeout of the next call.
func (e *latencyEstimator) timeout() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if time.Now().Before(e.extendedUntil) {
		return cmp.Or(e.maxTimeout, maxWorkerTimeout)
	}
	return min(max(timeoutFactor*e.median, cmp.Or(e.minTimeout, minWorkerTimeout)), cmp.Or(e.maxTimeout, maxWorkerTimeout))
}
