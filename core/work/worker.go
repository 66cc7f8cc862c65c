package work

import (
	"slices"
	"time"
)

// Incarnation is one life of a worker: a worker that starts again holds nothing of its earlier life.
type Incarnation struct {
	Worker string
	// StartMillis is when the worker started, in Unix milliseconds by the worker's clock.
	StartMillis int64
}

// WorkerInfo is what the directory of workers says of one.
type WorkerInfo struct {
	Incarnation Incarnation
	Address     string
	Pool        string
	Zone        string
	Rack        string
	Labels      []string
	// Capacity is what the worker offers to tasks.
	Capacity Resources
	// Draining workers are about to leave and get no new task.
	Draining bool
	// Host is the machine that the worker runs on; empty if it is not known yet.
	Host string
}

// Equal reports whether two listings say the same.
func (l WorkerInfo) Equal(o WorkerInfo) bool {
	return l.Incarnation == o.Incarnation && l.Address == o.Address && l.Pool == o.Pool && l.Zone == o.Zone && l.Rack == o.Rack &&
		slices.Equal(l.Labels, o.Labels) && l.Capacity == o.Capacity && l.Draining == o.Draining && l.Host == o.Host
}

// Endpoint is where and to which life of a worker a call goes.
type Endpoint struct {
	Incarnation Incarnation
	Address     string
}

// clockDrift is how much slower than ours a worker's steady clock may run, as the platform states it.
const clockDrift = 0.02

// leaseClock converts between our clock and that of one life of a worker.
// The zero value has not heard from the worker.
type leaseClock struct {
	// heard is when we received reading.
	heard   time.Time
	reading time.Duration
	// snapshotTime is about when the worker read its clock: before heard if this process took long to read the answer.
	asOf time.Time
	// granted is the latest deadline that we gave, by the worker's clock.
	granted time.Duration
}

func (c *leaseClock) hear(reading time.Duration, now time.Time) {
	c.heard, c.asOf = now, now
	c.reading = reading
}

// estimate is what the worker's clock reads now, if it runs as fast as ours.
func (c *leaseClock) estimate(now time.Time) time.Duration {
	return c.reading + now.Sub(c.asOf)
}

// least is the lowest reading that the worker's clock can have now.
func (c *leaseClock) least(now time.Time) time.Duration {
	return c.reading + time.Duration(float64(now.Sub(c.heard))*(1-clockDrift))
}

// grant returns the deadline of a lease that begins now.
func (c *leaseClock) grant(now time.Time, lease time.Duration) time.Duration {
	deadline := c.estimate(now) + lease
	c.granted = max(c.granted, deadline)
	return deadline
}

// over reports whether every lease given to this life has certainly ended.
func (c *leaseClock) over(now time.Time) bool {
	return !c.heard.IsZero() && c.least(now) > c.granted
}

// worker is one life of a worker as the board knows it.
type worker struct {
	WorkerInfo
	clock leaseClock
	// listed is true while the directory has this life.
	listed bool
	// answered is true once the worker answered a call with the board's epoch: earlier holders are fenced there.
	answered bool
	// told is true once it has listed all that it runs and all ends that were not acknowledged.
	told bool
	// asked is when the last renewal was made, askedWait how long its answer could be held back.
	asked     time.Time
	askedWait time.Duration
	runs      map[RunID]*run
	// used is what the runs take from Capacity, stopping ones included.
	used Resources
	// taken is the number of the last end taken in, acknowledged that of the last one that may be forgotten.
	taken, acknowledged uint64
	ends                []pendingEnd
	// unanswered counts the starts that are on their way.
	unanswered int
	// misses counts calls without an answer since the last one with.
	misses int
	// missed is when the last call without an answer was given up.
	missed time.Time
	// closed is when the worker may get new work again, after it refused or failed.
	closed time.Time
	// failedInRow counts failed runs of different jobs since the last run that was done.
	failedInRow int
	lastFailed  JobID
	// withdrawn workers get no new work, because their host is to leave the pool or be maintained.
	withdrawn   bool
	withdrawnAt time.Time
	filling     filling
}

// pendingEnd is an end taken in whose consequences are not known to be stored.
type pendingEnd struct {
	number uint64
	job    *job
	// mark is the job's change that must be stored before the end may be forgotten.
	mark uint64
}

func (w *worker) contact() Endpoint { return Endpoint{Incarnation: w.Incarnation, Address: w.Address} }

// heardTime is how old a worker's last answer may be for a start: the longest time between two renewals, and that of a call. A
// holder that stood still for longer may have been replaced, and its workers tell it so.
const heardTime = 2500 * time.Millisecond

// open reports whether the worker may be given new work.
func (w *worker) open(now time.Time) bool {
	return w.listed && w.answered && !w.Draining && !w.withdrawn && w.misses == 0 && !now.Before(w.closed) &&
		now.Sub(w.clock.asOf) < heardTime
}

// answerSlack is how much longer than its wait a worker may take for an answer that is still read in time.
const answerSlack = 100 * time.Millisecond

// answeredBy is about when the worker gave the answer to the last renewal, which is read now: a process that is short of its processor
// reads it late.
func (w *worker) answeredBy(now time.Time) time.Time {
	if latest := w.asked.Add(w.askedWait + answerSlack); latest.Before(now) {
		return latest
	}
	return now
}

// miss notes a call without an answer.
func (w *worker) miss(now time.Time) {
	w.misses++
	w.missed = now
}

func (w *worker) free() Resources { return w.Capacity.Sub(w.used) }

func (w *worker) hasLabel(label string) bool {
	return label == "" || slices.Contains(w.Labels, label)
}

// empty reports whether nothing of the worker matters to a next holder: it runs nothing, and every end that it listed is stored.
// A worker of which an end is only in our memory must stay known, or its task would be started again.
func (w *worker) empty() bool {
	if len(w.runs) > 0 {
		return false
	}
	for _, e := range w.ends {
		if !e.stored() {
			return false
		}
	}
	return true
}

// stored reports whether the consequences of the end are known to be stored.
func (e pendingEnd) stored() bool { return e.job == nil || e.job.stored >= e.mark }

// acknowledge moves the cursor over the ends whose consequences are stored.
func (w *worker) acknowledge() uint64 {
	i := 0
	for ; i < len(w.ends); i++ {
		if !w.ends[i].stored() {
			break
		}
		w.acknowledged = w.ends[i].number
	}
	w.ends = slices.Delete(w.ends, 0, i)
	return w.acknowledged
}
