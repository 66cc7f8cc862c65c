package runner

import (
	"cmp"
	"sync"
	"time"
)

const (
	// leastPatience is the least time that a worker is given for an answer: workers answer within milliseconds, and what waits
	// for an answer that is lost waits as long.
	leastPatience = 200 * time.Millisecond
	// mostPatience is the most: the bound of the platform's client.
	mostPatience = time.Second
	// patienceFactor is how many times the usual time an answer may take.
	patienceFactor = 10
	// pauseFactor is how many times the usual time of an answer lies between two renewals of a worker, mostPause the most.
	pauseFactor = 2
	mostPause   = 250 * time.Millisecond
	// usualStep is by which part the usual time follows each answer: from one millisecond to a hundred within fifty answers.
	usualStep = 1.1
	// stretchTime is how long calls are given the most after one was told to wait: a few of the calls that wait a second each.
	stretchTime = 3 * time.Second
	// leastUsual keeps the usual time from falling so low that it rises too late.
	leastUsual = time.Millisecond
)

// Bounds of the time that the store is given. A transaction may wait for a second of others when the store is slow; an answer that
// is lost costs its callers the whole time.
const (
	leastStorePatience = 300 * time.Millisecond
	mostStorePatience  = 2500 * time.Millisecond
)

// patience learns the median of the times that others take to answer, as this process sees them: a process that is slow
// itself must not take its own slowness for lost answers. The zero value has learnt nothing.
type patience struct {
	// least and most bound the time that a call may take; zero means those for workers.
	least, most time.Duration

	mu    sync.Mutex
	usual time.Duration
	// stretched is until when calls are given the most.
	stretched time.Time
}

// took takes in how long an answer took. A call without an answer counts as longer than any.
func (p *patience) took(d time.Duration, answered bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.usual = max(p.usual, leastUsual)
	if !answered || d > p.usual {
		p.usual = min(time.Duration(float64(p.usual)*usualStep), cmp.Or(p.most, mostPatience))
		return
	}
	p.usual = max(time.Duration(float64(p.usual)/usualStep), leastUsual)
}

// stretch gives calls the most time for a while: the other side told that calls wait for each other. A call that is given up
// goes on waiting there, and its repeat waits behind it.
func (p *patience) stretch() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stretched = time.Now().Add(stretchTime)
}

// pause is the time between two renewals of a worker: longer while answers take longer, so that a process that is short of its
// processor hears of more ends with each call.
func (p *patience) pause() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return min(max(pauseFactor*p.usual, renewGap), mostPause)
}

// limit is how long the next call may take.
func (p *patience) limit() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if time.Now().Before(p.stretched) {
		return cmp.Or(p.most, mostPatience)
	}
	return min(max(patienceFactor*p.usual, cmp.Or(p.least, leastPatience)), cmp.Or(p.most, mostPatience))
}
