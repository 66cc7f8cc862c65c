package work

import (
	"slices"
	"time"

	"siskincross/core/interference"
)

// Incarnation identifies one process lifetime of a worker. A restarted worker has a new incarnation and keeps
// nothing of the previous one.
type Incarnation struct {
	Worker string
	// StartMillis is the start time of the worker in Unix milliseconds, by the worker's clock.
	StartMillis int64
}

// WorkerInfo describes a worker as the worker directory lists it.
type WorkerInfo struct {
	Incarnation Incarnation
	Address     string
	Pool        string
	Zone        string
	Rack        string
	Labels      []string
	// Capacity is the amount of resources that the worker offers to tasks. It may shrink and grow while the worker
	// runs tasks.
	Capacity Resources
	// Draining is true if the worker is about to leave. It gets no new tasks.
	Draining bool
	// Host is the machine that the worker runs on; empty if it is not known yet.
	Host string
}

// Equal reports whether both values are the same.
func (w WorkerInfo) Equal(other WorkerInfo) bool {
	return w.Incarnation == other.Incarnation && w.Address == other.Address && w.Pool == other.Pool && w.Zone == other.Zone && w.Rack == other.Rack &&
		slices.Equal(w.Labels, other.Labels) && w.Capacity == other.Capacity && w.Draining == other.Draining && w.Host == other.Host
}

// Endpoint is the address of a call and the incarnation that it is meant for.
type Endpoint struct {
	Incarnation Incarnation
	Address     string
	// Generation grows with each incarnation of the worker that the caller knows, and when earlier calls have to be fenced off. It is
	// part of the fencing token.
	Generation uint32
}

// maxClockDrift is the largest fraction by which a worker's monotonic clock may run slower than the local clock,
// as the platform states it.
const maxClockDrift = 0.02

// leaseClock converts between the local clock and the clock of one incarnation of a worker. The zero value means
// that the worker has not answered yet.
type leaseClock struct {
	// receivedAt is the local time at which reading was received.
	receivedAt time.Time
	reading    time.Duration
	// readAt is the approximate local time at which the worker read its clock. It is before receivedAt if this
	// process was slow to read the answer.
	readAt time.Time
	// latestDeadline is the latest lease deadline that was granted, by the worker's clock. confirmedDeadline is the latest of
	// those that the worker has confirmed with an answer; zero if there is none.
	latestDeadline, confirmedDeadline time.Duration
	// lowestOffset is the lowest known difference between the local time at which a reading was received, as the time since
	// offsetBase, and the reading. It was measured at offsetAt.
	lowestOffset         time.Duration
	offsetBase, offsetAt time.Time
	// boundReading is the reading in a report that was asked for at the local time boundAskedAt: of all reports, the one that
	// bounds the worker's clock most closely from above.
	boundReading time.Duration
	boundAskedAt time.Time
}

func (c *leaseClock) record(reading time.Duration, now time.Time) {
	c.receivedAt, c.readAt = now, now
	c.reading = reading
	if c.offsetBase.IsZero() {
		c.offsetBase = now
	}
	if offset := now.Sub(c.offsetBase) - reading; c.offsetAt.IsZero() || offset <= c.highestOffset(now) {
		c.lowestOffset, c.offsetAt = offset, now
	}
}

// highestOffset returns the highest difference between local time, since offsetBase, and the worker's clock. Answers take at least as
// long as the fastest one; the difference grows if the worker's clock is slow.
func (c *leaseClock) highestOffset(now time.Time) time.Duration {
	return c.lowestOffset + time.Duration(float64(now.Sub(c.offsetAt))*maxClockDrift)
}

// latestTimeOf returns the latest local time at which the worker's clock can have had the reading that was received now.
func (c *leaseClock) latestTimeOf(reading time.Duration, now time.Time) time.Time {
	if t := c.offsetBase.Add(reading + c.highestOffset(now)); t.Before(now) {
		return t
	}
	return now
}

// estimate returns the reading of the worker's clock now, on the assumption that it runs as fast as the local
// clock.
func (c *leaseClock) estimate(now time.Time) time.Duration {
	return c.reading + now.Sub(c.readAt)
}

// minReading returns the lowest reading that the worker's clock can have now.
func (c *leaseClock) minReading(now time.Time) time.Duration {
	return c.reading + time.Duration(float64(now.Sub(c.receivedAt))*(1-maxClockDrift))
}

// grant returns the deadline of a lease that begins now, by the worker's clock, and records it.
func (c *leaseClock) grant(now time.Time, lease time.Duration) time.Duration {
	deadline := c.estimate(now) + lease
	c.latestDeadline = max(c.latestDeadline, deadline)
	return deadline
}

// confirm records that the worker holds a lease until this deadline; zero if the call granted none.
func (c *leaseClock) confirm(deadline time.Duration) {
	c.confirmedDeadline = max(c.confirmedDeadline, deadline)
}

// recordReport records the reading in a report that was asked for at this time; zero if the report had none. A report that the worker
// held back bounds its clock less closely than one that it gave at once.
func (c *leaseClock) recordReport(reading time.Duration, askedAt time.Time) {
	if reading > 0 && (c.boundAskedAt.IsZero() || reading <= c.maxReading(askedAt)) {
		c.boundReading, c.boundAskedAt = reading, askedAt
	}
}

// maxReading returns the highest reading that the worker's clock, which is never fast, can have now. The worker has reported.
func (c *leaseClock) maxReading(now time.Time) time.Duration {
	return c.boundReading + now.Sub(c.boundAskedAt)
}

// holdsLeaseFor reports whether the worker certainly holds a lease for that long.
func (c *leaseClock) holdsLeaseFor(d time.Duration, now time.Time) bool {
	return !c.boundAskedAt.IsZero() && c.maxReading(now)+d < c.confirmedDeadline
}

// allLeasesExpired reports whether every lease granted to this incarnation has certainly expired.
func (c *leaseClock) allLeasesExpired(now time.Time) bool {
	return !c.receivedAt.IsZero() && c.minReading(now) > c.latestDeadline
}

// worker is the state of one incarnation of a worker.
type worker struct {
	WorkerInfo
	clock leaseClock
	// generation is the Endpoint.Generation of calls to the incarnation.
	generation uint32
	// listed is true while the directory lists this incarnation.
	listed bool
	// answered is true once the worker answered a call with the scheduler's epoch, which fences earlier holders
	// there.
	answered bool
	// fullyReported is true once the worker has listed all its runs and all unacknowledged ends.
	fullyReported bool
	// renewedAt is the time of the last renewal, and renewalWait the time for which the worker could delay its
	// answer. renewalSequence is its sequence number and renewalDeadline the lease that it grants, if any.
	renewedAt       time.Time
	renewalWait     time.Duration
	renewalSequence uint64
	renewalDeadline time.Duration
	// answeredRenewalAt is the time of the last renewal that the worker has answered with a report.
	answeredRenewalAt time.Time
	// answeredSequence is the sequence number of that renewal.
	answeredSequence uint64
	runs             map[RunID]*run
	// reserved is what runs take, including runs that are being stopped. It exceeds Capacity if that has shrunk.
	reserved Resources
	// unknownDemands counts the runs whose demand is not known, which reserved lacks.
	unknownDemands int
	// lastEnd is the number of the last end that was recorded; acknowledged is the number of the last end that
	// the worker may forget.
	lastEnd, acknowledged uint64
	pendingEnds           []pendingEnd
	// oldestListedEnd is the number of the oldest end in the last report; zero if that listed none.
	oldestListedEnd uint64
	// acknowledgeableSince is the time since which the worker lists ends that it may forget; zero if it doesn't.
	acknowledgeableSince time.Time
	// sentCursor is what the renewal in flight acknowledges, missedCursor what the last one without an answer did; zero if there is none
	// or it is settled. strayBefore holds the incarnation's stray acknowledgements before it, and strayUntil is the time until which this
	// scheduler's own may be carried out.
	sentCursor, missedCursor uint64
	strayBefore              strayAcknowledgement
	strayUntil               time.Time
	// forgettableEnds is the number of the last end that the incarnation may forget before it lists it, as calls to earlier
	// incarnations may have acknowledged it there; zero if there is none. forgottenEnds counts those that it has forgotten.
	forgettableEnds, forgottenEnds uint64
	// probes counts the probes that were started on the worker, the last one at probedAt, and lateProbes those of them that arrived after
	// the end of their lease.
	probes, lateProbes int
	probedAt           time.Time
	// admitted is true once the directory has listed the incarnation to this scheduler, which it does for incarnations on the stored
	// roster only.
	admitted bool
	// knownFromStart is true if no earlier holder can have acknowledged ends of this incarnation.
	knownFromStart bool
	// ended is true once another process has answered at the worker's address.
	ended bool
	// crashRecorded is true once the end of the worker was recorded for the tasks that it ran.
	crashRecorded bool
	// expired holds the runs whose leases expired while the worker was listed and did not answer. They count as lost with
	// it if it turns out to have ended.
	expired []run
	// trial is a task under which workers crashed: until trialUntil the worker gets no other tasks. It is nil if there
	// is none.
	trial      *task
	trialUntil time.Time
	// startsInFlight counts the start orders that have no answer yet.
	startsInFlight int
	// consecutiveMisses counts the calls without an answer since the last answered call.
	consecutiveMisses int
	// lastMissAt is the time at which the last unanswered call was abandoned, and silentSince the first of them since
	// the last answered call; zero if there is none.
	lastMissAt, silentSince time.Time
	// unavailableUntil is the time before which the worker gets no new tasks, after a refusal or failures.
	unavailableUntil time.Time
	// consecutiveFailures counts failed runs of different jobs since the last successful run.
	consecutiveFailures int
	lastFailedJob       JobID
	// withdrawn workers get no new tasks, because their host is to leave the pool or to be maintained.
	withdrawn   bool
	withdrawnAt time.Time
	paceControl paceControl
	// presences holds the times during which runs that have ended were on the worker, by kind; the one that ended longest ago
	// first. Those of one kind don't overlap.
	presences []presence
	// runsByKind counts the runs by kind. It has no entry for kinds without any.
	runsByKind map[interference.Kind]int
}

// pendingEnd is a recorded end whose consequences are not known to be stored.
type pendingEnd struct {
	number uint64
	job    *job
	// requiredChange is the job's change that must be stored before the worker may forget the end.
	requiredChange uint64
}

func (w *worker) endpoint() Endpoint {
	return Endpoint{Incarnation: w.Incarnation, Address: w.Address, Generation: w.generation}
}

// maxAnswerAge is the greatest age of a worker's last answer at which tasks are started on it: the longest
// interval between two renewals plus the timeout of a call. A holder that was paused for longer may have been
// replaced, and the answer of a worker tells it so.
const maxAnswerAge = 2500 * time.Millisecond

// acceptsTasks reports whether the worker may get new tasks.
func (w *worker) acceptsTasks(now time.Time) bool { return w.isReady(now) && w.listsEnds() }

// isReady reports whether the worker may get new tasks, as far as it is sure to list their ends.
func (w *worker) isReady(now time.Time) bool {
	return w.listed && w.answered && !w.Draining && !w.withdrawn && w.consecutiveMisses == 0 && !now.Before(w.unavailableUntil) &&
		w.unknownDemands == 0 && now.Sub(w.clock.readAt) < maxAnswerAge
}

// answerDelayMargin is the time beyond the allowed wait within which an answer still counts as read promptly.
const answerDelayMargin = 100 * time.Millisecond

// latestAnswerTime returns the latest time at which the worker can have answered the last renewal with this reading of its
// clock, for an answer that is read now. A process that lacks processor time reads answers late.
func (w *worker) latestAnswerTime(reading time.Duration, now time.Time) time.Time {
	latest := w.clock.latestTimeOf(reading, now)
	if limit := w.renewedAt.Add(w.renewalWait + answerDelayMargin); limit.Before(latest) {
		latest = limit
	}
	return laterTime(latest, w.renewedAt)
}

// recordMiss records a call without an answer.
func (w *worker) recordMiss(now time.Time) {
	if w.silentSince.IsZero() {
		w.silentSince = now
	}
	w.consecutiveMisses++
	w.lastMissAt = now
}

// silentFor returns for how long the worker has answered no call; zero if it has answered the last one.
func (w *worker) silentFor(now time.Time) time.Duration {
	if w.silentSince.IsZero() {
		return 0
	}
	return now.Sub(w.silentSince)
}

// freeResources returns what the runs leave of the capacity. It is negative while the worker is overfull.
func (w *worker) freeResources() Resources { return w.Capacity.Sub(w.reserved) }

// isOverfull reports whether the runs take more than the capacity, which may have shrunk since their starts.
func (w *worker) isOverfull() bool { return !w.Capacity.Covers(w.reserved) }

func (w *worker) hasLabel(label string) bool {
	return label == "" || slices.Contains(w.Labels, label)
}

// isEmpty reports whether the next holder needs nothing from the worker: it has no runs, and every end that it
// listed is stored. A worker with an end that is held only in memory must stay known, or the task of that end
// would be started again.
func (w *worker) isEmpty() bool {
	if len(w.runs) > 0 {
		return false
	}
	for _, e := range w.pendingEnds {
		if !e.isStored() {
			return false
		}
	}
	return true
}

// isStored reports whether the consequences of the end are known to be stored.
func (e pendingEnd) isStored() bool { return e.job == nil || e.job.storedChanges >= e.requiredChange }

// advanceAcknowledged moves the acknowledgement past the ends whose consequences are stored.
func (w *worker) advanceAcknowledged() {
	i := 0
	for ; i < len(w.pendingEnds); i++ {
		if !w.pendingEnds[i].isStored() {
			break
		}
		w.acknowledged = w.pendingEnds[i].number
	}
	w.pendingEnds = slices.Delete(w.pendingEnds, 0, i)
}
