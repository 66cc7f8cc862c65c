package work

import (
	"time"
)

// EndReason is the way in which a run ended.
type EndReason int

// Reasons of the end of a run.
const (
	// EndReasonDone means that the run finished its task.
	EndReasonDone EndReason = iota
	// EndReasonFailed means that the run failed, through its own fault or the worker's.
	EndReasonFailed
	// EndReasonStopped means that the run was stopped by an order.
	EndReasonStopped
	// EndReasonLapsed means that the lease of the run was not renewed in time.
	EndReasonLapsed
	// EndReasonBroken means that another member of the run's gang ended.
	EndReasonBroken
	// EndReasonAlone means that the run waited too long for the other members of its gang.
	EndReasonAlone
)

// Report is a worker's answer to a renewal.
type Report struct {
	// WorkerClock is the reading of the worker's monotonic clock.
	WorkerClock time.Duration
	Active      []ActiveRun
	// Ends holds the unacknowledged ends, oldest first, at most MaxEndsPerReport of them.
	Ends []RunEnd
}

// MaxEndsPerReport is the maximum number of ends in one report.
const MaxEndsPerReport = 500

// ActiveRun is a run that is active on a worker.
type ActiveRun struct {
	Run        RunID
	Checkpoint string
	// SpeedPercent is the speed of the run as a percentage of full speed.
	SpeedPercent int
	// Load is the tail latency in milliseconds for a task that serves requests, otherwise the milli-cores in
	// use, both over the last half second.
	Load int
}

// RunEnd is the end of a run.
type RunEnd struct {
	// Number numbers the ends of an incarnation, starting at one.
	Number     uint64
	Run        RunID
	Reason     EndReason
	Checkpoint string
}

// Renewal is a call that renews the leases of a worker and asks for its report.
type Renewal struct {
	Endpoint
	Epoch uint64
	// LeaseDeadline is by the worker's clock; zero requests a report without granting a lease.
	LeaseDeadline time.Duration
	// AcknowledgedEnd is the number of the last end that the worker may forget; zero if it has listed none that it may.
	AcknowledgedEnd uint64
	// Sequence orders the renewal among the scheduler's orders. It is passed to HandleReport with the report.
	Sequence uint64
	// MaxWait is the time for which the worker may delay its answer until a run ends.
	MaxWait time.Duration
}

// PrepareRenewal returns the next renewal of a worker, and false if the scheduler no longer knows the
// incarnation.
func (s *Scheduler) PrepareRenewal(inc Incarnation, wait time.Duration, now time.Time) (Renewal, bool) {
	w := s.workers[inc]
	if w == nil {
		return Renewal{}, false
	}
	s.sequence++
	w.renewedAt = now
	s.generations.called(inc.Worker, now)
	renewal := Renewal{Endpoint: w.endpoint(), Epoch: s.Epoch, AcknowledgedEnd: s.acknowledge(w, now), Sequence: s.sequence}
	s.recordSentAcknowledgement(w, renewal.AcknowledgedEnd, now)
	if s.isValid(now) && !w.clock.receivedAt.IsZero() && w.consecutiveMisses == 0 && now.Sub(w.clock.receivedAt) < maxAnswerAge {
		// A worker that does not answer gets no further lease, so that the expiry of its leases is known. Nor does one
		// that was not asked for long: this holder was paused, may have been replaced, and learns that first.
		if w.listsEnds() || w.needsLease() {
			renewal.LeaseDeadline = w.clock.grant(now, s.timing.Lease)
		}
		renewal.MaxWait = s.limitRenewalWait(w, wait, now)
	}
	if renewal.AcknowledgedEnd > 0 {
		renewal.MaxWait = 0 // as long as the worker may hold its answer back, it may start again
	}
	w.renewalWait, w.renewalSequence, w.renewalDeadline = renewal.MaxWait, renewal.Sequence, renewal.LeaseDeadline
	return renewal, true
}

// IsUnresponsiveAndIdle reports whether the worker can be renewed less often without a loss: it does not answer and has no known
// runs.
func (s *Scheduler) IsUnresponsiveAndIdle(inc Incarnation) bool {
	w := s.workers[inc]
	return w != nil && w.consecutiveMisses >= missesUntilLost && len(w.runs) == 0 && w.answered
}

// ConsecutiveMisses returns the number of consecutive calls that the worker did not answer.
func (s *Scheduler) ConsecutiveMisses(inc Incarnation) int {
	if w := s.workers[inc]; w != nil {
		return w.consecutiveMisses
	}
	return 0
}

// HandleReport processes a worker's answer to the renewal with this sequence number. It returns the ends that
// are new.
func (s *Scheduler) HandleReport(inc Incarnation, sequence uint64, report Report, now time.Time) []RunEnd {
	w := s.workers[inc]
	if w == nil {
		return nil
	}
	var newEnds []RunEnd
	s.recordAnswer(w, report.WorkerClock, now)
	answeredAt := w.latestAnswerTime(report.WorkerClock, now)
	w.clock.readAt = answeredAt
	if sequence == w.renewalSequence {
		w.answeredRenewalAt, w.answeredSequence = w.renewedAt, sequence
		w.clock.confirm(w.renewalDeadline)
		w.clock.recordReport(report.WorkerClock, w.renewedAt)
		s.observeMissedAcknowledgement(w, report)
		s.settleAcknowledgement(w)
		s.settleEarlierCalls(w)
	}
	s.observeListedEnds(w, report)
	present := make(map[RunID]bool, len(report.Active)+len(report.Ends))
	for _, a := range report.Active {
		present[a.Run] = true
		s.recordActiveRun(w, a, answeredAt)
	}
	if s.adjustsPace {
		w.adjustPace(now)
	}
	for _, e := range report.Ends {
		present[e.Run] = true
		if e.Number > w.lastEnd {
			s.noteMissingEnds(w, e.Number)
			w.lastEnd = e.Number
			s.recordEnd(w, e, now)
			newEnds = append(newEnds, e)
		}
	}
	if len(report.Ends) < MaxEndsPerReport {
		w.fullyReported = true
		s.endAbsentRuns(w, present, sequence, now)
	}
	return newEnds
}

// recordAnswer records that the worker answered a call with the scheduler's epoch.
func (s *Scheduler) recordAnswer(w *worker, clock time.Duration, now time.Time) {
	if w.clock.receivedAt.IsZero() && (len(w.runs) > 0 || w.generation > 0 || !w.listsEnds() || s.mayHaveEarlierLease(w.Incarnation.Worker)) {
		// A call to an earlier incarnation, or an earlier holder, may have granted the longest lease just before.
		w.clock.latestDeadline = max(w.clock.latestDeadline, clock+s.timing.MaxLease)
	}
	w.clock.record(clock, now)
	w.answered, w.ended = true, false
	w.consecutiveMisses = 0
	w.silentSince, w.expired = time.Time{}, nil
	delete(s.silences, w.Incarnation)
	s.silentEnds.forget(w.Incarnation)
}

// endAbsentRuns ends the runs that the worker had confirmed before the renewal was sent and that its report
// lacks.
func (s *Scheduler) endAbsentRuns(w *worker, present map[RunID]bool, sequence uint64, now time.Time) {
	for _, r := range sortedRuns(w) {
		if r.confirmed && r.confirmedSequence < sequence && !present[r.id] {
			s.presumeEnded(r, CauseAbsent, now)
		}
	}
}

// recordActiveRun updates a run from the report of its worker, and adopts it if it is not known.
func (s *Scheduler) recordActiveRun(w *worker, a ActiveRun, now time.Time) {
	r := w.runs[a.Run]
	if r == nil {
		r = s.adoptRun(w, a.Run, now)
	}
	s.lateStarts.show(w.Incarnation.Worker, a.Run)
	s.confirmListed(r)
	if r.phase == phaseRunning && !r.confirmed {
		r.confirmed = true
		r.confirmedSequence = s.sequence
	}
	r.begun = true
	r.lastReported = now
	r.speedPercent = a.SpeedPercent
	r.load = a.Load
	if a.Checkpoint != "" {
		r.checkpoint = a.Checkpoint
	}
	s.observeTrial(r, now)
	s.noteLingering(r, now)
}

// adoptRun records a run that this scheduler did not start. It is stopped if its task does not need it.
func (s *Scheduler) adoptRun(w *worker, id RunID, now time.Time) *run {
	r := &run{id: id, worker: w, phase: phaseRunning, startedAt: now, adopted: true}
	if j := s.jobs[id.Task.Job]; j != nil && id.Task.Step < len(j.Steps) {
		r.demand = j.Steps[id.Task.Step].reservedResources()
	} else {
		r.demandUnknown = true
	}
	if t := s.findTask(id.Task); t != nil && !t.done {
		r.kind = t.group.kind
		t.attempt = max(t.attempt, id.Attempt)
		if len(t.runs) == 0 || t.group.spec().Speculative {
			r.task = t
			t.runs = append(t.runs, r)
			t.group.job.started = true
		}
	}
	if r.task == nil {
		s.requestStop(r)
	}
	s.adoptQuota(r)
	w.attachRun(r)
	return r
}

// recordEnd processes one end. It records which change of the job must be stored before the end is acknowledged.
func (s *Scheduler) recordEnd(w *worker, e RunEnd, now time.Time) {
	s.lateStarts.show(w.Incarnation.Worker, e.Run)
	r := w.runs[e.Run]
	t := s.findTask(e.Run.Task)
	if r != nil {
		if t != nil && e.Reason == EndReasonDone && r.checkpoint == "" {
			s.queueDurations(t.group.job.Queue).observe(now.Sub(r.startedAt), t.group.spec().Estimate)
		}
		s.recordNeighbours(w, r, t, e.Reason, now)
		if e.Checkpoint != "" {
			r.checkpoint = e.Checkpoint
		}
		s.releaseRun(r)
	}
	pending := pendingEnd{number: e.Number}
	if t != nil && !t.done {
		pending.job = t.group.job
		t.attempt = max(t.attempt, e.Run.Attempt)
		s.applyEnd(w, t, e, now)
		pending.requiredChange = pending.job.changeCount
	} else if j := s.jobs[e.Run.Task.Job]; j != nil {
		pending.job, pending.requiredChange = j, j.changeCount
	}
	w.pendingEnds = append(w.pendingEnds, pending)
}

// applyEnd applies an end to its task and job. An end of a long-running task only makes it start again.
func (s *Scheduler) applyEnd(w *worker, t *task, e RunEnd, now time.Time) {
	j := t.group.job
	isLongRunning := t.group.spec().LongRunning
	switch {
	case e.Reason == EndReasonDone && !isLongRunning:
		w.consecutiveFailures = 0
		s.finishTaskOrGang(t)
	case e.Reason == EndReasonFailed && !isLongRunning:
		s.recordFailure(w, j.ID, now)
		j.setProgress(j.progress.WithFailedAttempt(e.Run))
		s.markDirty(j)
		t.failures = j.progress.FailureCount(t.id())
		if t.failuresByWorker == nil {
			t.failuresByWorker = make(map[string]int)
		}
		t.failuresByWorker[w.Incarnation.Worker]++
		if t.failures >= max(1, j.MaxFailedAttempts) {
			s.finishJob(j, StateFailed)
		}
	}
	if e.Checkpoint != "" && !t.done {
		t.checkpoint = e.Checkpoint
	}
}

// finishTaskOrGang marks a task as done, and for a gang all its members. Members end together, so the end of one
// stands for all.
func (s *Scheduler) finishTaskOrGang(t *task) {
	if !t.group.spec().Gang {
		s.finishTask(t)
		return
	}
	for _, member := range t.group.tasks {
		if !member.done {
			s.finishTask(member)
		}
	}
}

// finishTask marks a task as done, stops its other runs and activates the steps that depended on it.
func (s *Scheduler) finishTask(t *task) {
	g := t.group
	j := g.job
	t.done = true
	for _, r := range t.runs {
		r.task = nil
		s.requestStop(r)
	}
	t.runs = nil
	g.remainingTasks--
	if t.crashes.total > 0 {
		s.clearCrashes(t)
	}
	j.setProgress(j.progress.WithState(StateRunning).WithDoneTask(t.id()))
	s.markDirty(j)
	if g.remainingTasks > 0 {
		return
	}
	s.compareCompletedRuns(g)
	j.finished[stepKey{g.occurrence, g.step}] = true
	if j.isOccurrenceFinished(g.occurrence) {
		j.closeOccurrence(g.occurrence)
	}
	j.groups = withoutGroup(j.groups, g)
	s.groups = withoutGroup(s.groups, g)
	s.activateReadySteps(j, j.latestActivatedDueTime())
}

// latestActivatedDueTime returns the latest due time of the activated occurrences.
func (j *job) latestActivatedDueTime() time.Time {
	latest := time.Time{}
	for key := range j.activated {
		if due := j.DueTime(key.occurrence); due.After(latest) {
			latest = due
		}
	}
	return latest
}

func withoutGroup(groups []*taskGroup, g *taskGroup) []*taskGroup {
	kept := make([]*taskGroup, 0, len(groups))
	for _, other := range groups {
		if other != g {
			kept = append(kept, other)
		}
	}
	return kept
}

const (
	// failuresUntilSuspension is the number of consecutive jobs that must fail on a worker before it gets no new
	// tasks for a while. Single failures are mostly the fault of the job.
	failuresUntilSuspension = 3
	// suspensionDuration is the time for which such a worker gets no new tasks.
	suspensionDuration = 3 * time.Second
)

// recordFailure counts consecutive failures of different jobs on a worker and suspends the worker if there are
// too many.
func (s *Scheduler) recordFailure(w *worker, id JobID, now time.Time) {
	if w.lastFailedJob == id {
		return
	}
	w.lastFailedJob = id
	w.consecutiveFailures++
	if w.consecutiveFailures >= failuresUntilSuspension {
		w.unavailableUntil = now.Add(suspensionDuration)
	}
}
