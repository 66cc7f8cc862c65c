package runner

import (
	"cmp"
	"sync"
	"time"
)

const (
	// minWorkerTimeout is the least time that a worker is given for an answer: workers answer within milliseconds, and what waits
	// for an answer that is lost waits as long.
	minWorkerTimeout = 200 * time.Millisecond
	// maxWorkerTimeout is the most: the bound of the platform's client.
	maxWorkerTimeout = time.Second
	// timeoutFactor is how many times the usual time an answer may take.
	timeoutFactor = 10
	// renewIntervalFactor is how many times the usual time of an answer lies between two renewals of a worker, maxRenewInterval the most.
	renewIntervalFactor = 2
	maxRenewInterval    = 250 * time.Millisecond
	// medianStep is by which part the usual time follows each answer: from one millisecond to a hundred within fifty answers.
	medianStep = 1.1
	// extensionTime is how long calls are given the most after one was told to wait: a few of the calls that wait a second each.
	extensionTime = 3 * time.Second
	// minMedian keeps the usual time from falling so low that it rises too late.
	minMedian = time.Millisecond
)

// Bounds of the time that the store is given. A transaction may wait for a second of others when the store is slow; an answer that
// is lost costs its callers the whole time.
const (
	minStoreTimeout = 300 * time.Millisecond
	maxStoreTimeout = 2500 * time.Millisecond
)

// latencyEstimator learns the median of the times that others take to answer, as this process sees them: a process that is slow
// itself must not take its own slowness for lost answers. The zero value has learnt nothing.
type latencyEstimator struct {
	// minTimeout and most bound the time that a call may take; zero means those for workers.
	minTimeout, maxTimeout time.Duration

	mu     sync.Mutex
	median time.Duration
	// extendedUntil is until when calls are given the most.
	extendedUntil time.Time
}

// recordLatency takes in how long an answer took. A call without an answer counts as longer than any.
func (p *latencyEstimator) recordLatency(d time.Duration, answered bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.median = max(p.median, minMedian)
	if !answered || d > p.median {
		p.median = min(time.Duration(float64(p.median)*medianStep), cmp.Or(p.maxTimeout, maxWorkerTimeout))
		return
	}
	p.median = max(time.Duration(float64(p.median)/medianStep), minMedian)
}

// extend gives calls the most time for a while: the other side told that calls wait for each other. A call that is given up
// goes on waiting there, and its repeat waits behind it.
func (p *latencyEstimator) extend() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.extendedUntil = time.Now().Add(extensionTime)
}

// renewInterval is the time between two renewals of a worker: longer while answers take longer, so that a process that is short of its
// processor hears of more ends with each call.
func (p *latencyEstimator) renewInterval() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return min(max(renewIntervalFactor*p.median, minRenewInterval), maxRenewInterval)
}

// timeout is how long the next call may take.
func (p *latencyEstimator) timeout() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if time.Now().Before(p.extendedUntil) {
		return cmp.Or(p.maxTimeout, maxWorkerTimeout)
	}
	return min(max(timeoutFactor*p.median, cmp.Or(p.minTimeout, minWorkerTimeout)), cmp.Or(p.maxTimeout, maxWorkerTimeout))
}
