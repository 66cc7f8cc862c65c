package work

import (
	"time"
)

// EndReason tells how a run ended.
type EndReason int

// Ends of a run.
const (
	// EndReasonDone runs finished their task.
	EndReasonDone EndReason = iota
	// EndReasonFailed runs failed through their own fault or the worker's.
	EndReasonFailed
	// EndReasonStopped runs were told to stop.
	EndReasonStopped
	// EndReasonLapsed runs were not renewed in time.
	EndReasonLapsed
	// EndReasonBroken runs were members of a gang of which another member ended.
	EndReasonBroken
	// EndReasonAlone runs waited too long for the other members of their gang.
	EndReasonAlone
)

// Report is a worker's answer to a renewal.
type Report struct {
	// WorkerClock is the worker's steady clock.
	WorkerClock time.Duration
	Active      []ActiveRun
	// Ends are those that were not acknowledged, oldest first; at most MaxEndsPerReport.
	Ends []RunEnd
}

// MaxEndsPerReport is how many ends a worker lists at once.
const MaxEndsPerReport = 500

// ActiveRun is a run that is on the worker.
type ActiveRun struct {
	Run        RunID
	Checkpoint string
	// SpeedPercent is the share of full speed at which the run works.
	SpeedPercent int
	// Load is the tail of response times in milliseconds for a task that serves, else the
	// milli-cores in use, over the last half second.
	Load int
}

// RunEnd is a run that ended.
type RunEnd struct {
	// Number counts the worker's ends from one in each life.
	Number     uint64
	Run        RunID
	Reason     EndReason
	Checkpoint string
}

// Renewal is what to send to a worker to hold its leases and hear from it.
type Renewal struct {
	Endpoint
	Epoch uint64
	// LeaseDeadline is by the worker's clock; zero asks without granting anything.
	LeaseDeadline time.Duration
	// AcknowledgedEnd is the number of the last end that the worker may forget.
	AcknowledgedEnd uint64
	// Sequence orders the renewal among the board's orders; it comes back with the report.
	Sequence uint64
	// MaxWait is how long the worker may hold its answer back until something ends.
	MaxWait time.Duration
}

// PrepareRenewal returns the next renewal of a worker; ok is false if the board does not know the life any more.
func (b *Scheduler) PrepareRenewal(l Incarnation, wait time.Duration, now time.Time) (Renewal, bool) {
	w := b.workers[l]
	if w == nil {
		return Renewal{}, false
	}
	b.sequence++
	w.asked = now
	renewal := Renewal{Endpoint: w.contact(), Epoch: b.Epoch, AcknowledgedEnd: w.acknowledged, Sequence: b.sequence}
	if b.settled(now) {
		// An earlier holder that has not heard of its successor could start a task again whose end is
		// forgotten, on a worker that has not seen our epoch yet.
		renewal.AcknowledgedEnd = w.acknowledge()
	}
	if !w.clock.heard.IsZero() && w.misses == 0 {
		// A worker that does not answer gets no more time: its leases must come to an end that is known.
		renewal.LeaseDeadline = w.clock.grant(now, b.policy.Lease)
		renewal.MaxWait = b.patience(w, wait, now)
	}
	w.askedWait = renewal.MaxWait
	return renewal, true
}

const (
	// wary is how long after a call without an answer a worker is looked at more often: what ended on it is heard of only with the
	// next answer, and a call that waits for an end can't be told from one that is lost.
	wary = 5 * time.Second
	// waryLook is the time between two looks then.
	waryLook = 250 * time.Millisecond
)

// startupLook is the time between two looks at a worker on which a lasting task has not begun to work.
const startupLook = 200 * time.Millisecond

// patience shortens the wait for the worker's next end while something on it is to be seen sooner.
func (b *Scheduler) patience(w *worker, wait time.Duration, now time.Time) time.Duration {
	if len(w.runs) > 0 && now.Sub(w.missed) < wary {
		wait = min(wait, waryLook)
	}
	if b.shared {
		if _, serves := w.strain(); serves && w.fills() > 0 {
			wait = min(wait, servingLook)
		}
	}
	for _, r := range w.runs {
		if r.task != nil && r.task.group.spec().LongRunning && r.percent < fullPace {
			return min(wait, startupLook)
		}
	}
	return wait
}

// Idle reports whether nothing is lost if the worker is renewed less often: it does not answer and runs nothing that the board knows of.
func (b *Scheduler) Idle(l Incarnation) bool {
	w := b.workers[l]
	return w != nil && w.misses >= silentMisses && len(w.runs) == 0 && w.answered
}

// Misses is how many calls in a row the worker left without an answer.
func (b *Scheduler) Misses(l Incarnation) int {
	if w := b.workers[l]; w != nil {
		return w.misses
	}
	return 0
}

// HandleReport takes in a worker's answer to the renewal with the sequence number. It returns the ends that are new.
func (b *Scheduler) HandleReport(l Incarnation, sequence uint64, report Report, now time.Time) []RunEnd {
	w := b.workers[l]
	if w == nil {
		return nil
	}
	var taken []RunEnd
	b.hear(w, report.WorkerClock, now)
	asOf := w.answeredBy(now)
	w.clock.asOf = asOf
	present := make(map[RunID]bool, len(report.Active)+len(report.Ends))
	for _, a := range report.Active {
		present[a.Run] = true
		b.takeActive(w, a, asOf)
	}
	if b.shared {
		w.balance(now)
	}
	for _, e := range report.Ends {
		present[e.Run] = true
		if e.Number > w.taken {
			w.taken = e.Number
			b.takeEnd(w, e, now)
			taken = append(taken, e)
		}
	}
	if len(report.Ends) < MaxEndsPerReport {
		w.told = true
		b.dropAbsent(w, present, sequence, now)
	}
	return taken
}

// hear notes that the worker answered a call that carried the board's epoch.
func (b *Scheduler) hear(w *worker, clock time.Duration, now time.Time) {
	if w.clock.heard.IsZero() {
		// An earlier holder may have granted the longest lease just now.
		w.clock.granted = max(w.clock.granted, clock+b.policy.MaxLease)
	}
	w.clock.hear(clock, now)
	w.answered = true
	w.misses = 0
}

// dropAbsent ends the runs that the worker confirmed before the renewal was sent and does not have.
func (b *Scheduler) dropAbsent(w *worker, present map[RunID]bool, sequence uint64, now time.Time) {
	for _, r := range sortedRuns(w) {
		if r.confirmed && r.known < sequence && !present[r.name] {
			b.giveUp(r, CauseAbsent, now)
		}
	}
}

func (b *Scheduler) takeActive(w *worker, a ActiveRun, now time.Time) {
	r := w.runs[a.Run]
	if r == nil {
		r = b.adopt(w, a.Run, now)
	}
	if r.phase == phaseOrdered || (r.phase == phaseDoubtful && r.task != nil) {
		r.phase = phaseRunning
		delete(b.unwanted, r)
	}
	if r.phase == phaseRunning && !r.confirmed {
		r.confirmed = true
		r.known = b.sequence
	}
	r.seen = now
	r.percent = a.SpeedPercent
	r.load = a.Load
	if a.Checkpoint != "" {
		r.checkpoint = a.Checkpoint
	}
}

// adopt takes in a run that an earlier holder started, or that nobody wants.
func (b *Scheduler) adopt(w *worker, name RunID, now time.Time) *run {
	r := &run{name: name, worker: w, phase: phaseRunning, started: now, adopted: true}
	if t := b.find(name.Task); t != nil && !t.done {
		r.demand = t.group.spec().counted()
		t.attempt = max(t.attempt, name.Attempt)
		if len(t.runs) == 0 || t.group.spec().Speculative {
			r.task = t
			t.runs = append(t.runs, r)
			t.group.job.begun = true
		}
	}
	if r.task == nil {
		b.unwanted[r] = true
	}
	w.runs[name] = r
	w.used = w.used.Add(r.demand)
	return r
}

// find returns the task if its job is known and its step is not done. A step of which a worker tells
// is opened, even if the ends before it are not known yet: an earlier holder had seen them.
func (b *Scheduler) find(name TaskID) *task {
	j := b.jobs[name.Job]
	if j == nil || j.final() || name.Step >= len(j.Steps) || name.Occurrence >= j.OccurrenceCount() {
		return nil
	}
	key := stepKey{name.Occurrence, name.Step}
	if !j.opened[key] {
		b.openStep(j, key)
	}
	for _, g := range j.groups {
		if g.occurrence == name.Occurrence && g.step == name.Step && name.Index < len(g.tasks) {
			return g.tasks[name.Index]
		}
	}
	return nil
}

// takeEnd takes in one end. What must be stored of it is marked, so that it is acknowledged only then.
func (b *Scheduler) takeEnd(w *worker, e RunEnd, now time.Time) {
	r := w.runs[e.Run]
	t := b.find(e.Run.Task)
	if r != nil {
		if t != nil && e.Reason == EndReasonDone && r.checkpoint == "" {
			b.learnt(t.group.job.Queue).learn(now.Sub(r.started), t.group.spec().Estimate)
		}
		if e.Checkpoint != "" {
			r.checkpoint = e.Checkpoint
		}
		b.release(r)
	}
	pending := pendingEnd{number: e.Number}
	if t != nil && !t.done {
		pending.job = t.group.job
		t.attempt = max(t.attempt, e.Run.Attempt)
		b.applyEnd(w, t, e, now)
		pending.mark = pending.job.changes
	} else if j := b.jobs[e.Run.Task.Job]; j != nil {
		pending.job, pending.mark = j, j.changes
	}
	w.ends = append(w.ends, pending)
}

func (b *Scheduler) applyEnd(w *worker, t *task, e RunEnd, now time.Time) {
	j := t.group.job
	lasting := t.group.spec().LongRunning
	switch {
	case e.Reason == EndReasonDone && !lasting:
		w.failedInRow = 0
		b.finishAll(t)
	case e.Reason == EndReasonFailed && !lasting:
		b.suspect(w, j.ID, now)
		j.change(j.progress.WithFailure(e.Run))
		b.markDirty(j)
		t.failures = j.progress.FailureCount(t.name())
		if t.failedOn == nil {
			t.failedOn = make(map[string]int)
		}
		t.failedOn[w.Incarnation.Worker]++
		if t.failures >= max(1, j.MaxFailedAttempts) {
			b.end(j, StateFailed)
		}
	}
	if e.Checkpoint != "" && !t.done {
		t.checkpoint = e.Checkpoint
	}
}

// finishAll marks a task done, and with it all members of its gang: they end together, and one such end stands for all.
func (b *Scheduler) finishAll(t *task) {
	if !t.group.spec().Gang {
		b.finish(t)
		return
	}
	for _, member := range t.group.tasks {
		if !member.done {
			b.finish(member)
		}
	}
}

// finish marks a task done, gives up its other runs and opens what follows.
func (b *Scheduler) finish(t *task) {
	g := t.group
	j := g.job
	t.done = true
	for _, r := range t.runs {
		r.task = nil
		b.unwanted[r] = true
	}
	t.runs = nil
	g.left--
	j.change(j.progress.WithState(StateRunning).WithDone(t.name()))
	b.markDirty(j)
	if g.left > 0 {
		return
	}
	j.finished[stepKey{g.occurrence, g.step}] = true
	j.groups = without(j.groups, g)
	b.groups = without(b.groups, g)
	b.openSteps(j, j.horizon())
}

// horizon is a time by which all occurrences that are open were due.
func (j *job) horizon() time.Time {
	latest := time.Time{}
	for key := range j.opened {
		if due := j.DueTime(key.occurrence); due.After(latest) {
			latest = due
		}
	}
	return latest
}

func without(groups []*group, g *group) []*group {
	kept := make([]*group, 0, len(groups))
	for _, other := range groups {
		if other != g {
			kept = append(kept, other)
		}
	}
	return kept
}

const (
	// failuresToSuspect is how many jobs in a row must fail on a worker before it is passed over;
	// single failures are mostly the jobs' own.
	failuresToSuspect = 3
	// suspicion is how long a suspected worker is passed over before the next try.
	suspicion = 3 * time.Second
)

// suspect counts failures of different jobs on a worker.
func (b *Scheduler) suspect(w *worker, id JobID, now time.Time) {
	if w.lastFailed == id {
		return
	}
	w.lastFailed = id
	w.failedInRow++
	if w.failedInRow >= failuresToSuspect {
		w.closed = now.Add(suspicion)
	}
}
