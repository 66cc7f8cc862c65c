package work

import (
	"time"
)

// How tells how a run ended.
type How int

// Ends of a run.
const (
	// HowDone runs finished their task.
	HowDone How = iota
	// HowFailed runs failed through their own fault or the worker's.
	HowFailed
	// HowStopped runs were told to stop.
	HowStopped
	// HowLapsed runs were not renewed in time.
	HowLapsed
	// HowBroken runs were members of a gang of which another member ended.
	HowBroken
	// HowAlone runs waited too long for the other members of their gang.
	HowAlone
)

// Report is a worker's answer to a renewal.
type Report struct {
	// Clock is the worker's steady clock.
	Clock  time.Duration
	Active []Active
	// Ends are those that were not acknowledged, oldest first; at most EndsPerReport.
	Ends []End
}

// EndsPerReport is how many ends a worker lists at once.
const EndsPerReport = 500

// Active is a run that is on the worker.
type Active struct {
	Run        Run
	Checkpoint string
	// Percent is the share of full speed at which the run works.
	Percent int
	// Load is the tail of response times in milliseconds for a task that serves, else the
	// milli-cores in use, over the last half second.
	Load int
}

// End is a run that ended.
type End struct {
	// Number counts the worker's ends from one in each life.
	Number     uint64
	Run        Run
	How        How
	Checkpoint string
}

// Renewal is what to send to a worker to hold its leases and hear from it.
type Renewal struct {
	Contact
	Epoch uint64
	// Deadline is by the worker's clock; zero asks without granting anything.
	Deadline time.Duration
	// Acknowledged is the number of the last end that the worker may forget.
	Acknowledged uint64
	// Sequence orders the renewal among the board's orders; it comes back with the report.
	Sequence uint64
	// Wait is how long the worker may hold its answer back until something ends.
	Wait time.Duration
}

// Renew returns the next renewal of a worker; ok is false if the board does not know the life any more.
func (b *Board) Renew(l Life, wait time.Duration, now time.Time) (Renewal, bool) {
	w := b.workers[l]
	if w == nil {
		return Renewal{}, false
	}
	b.sequence++
	w.asked = now
	renewal := Renewal{Contact: w.contact(), Epoch: b.Epoch, Acknowledged: w.acknowledged, Sequence: b.sequence}
	if b.settled(now) {
		// An earlier holder that has not heard of its successor could start a task again whose end is
		// forgotten, on a worker that has not seen our epoch yet.
		renewal.Acknowledged = w.acknowledge()
	}
	if !w.clock.heard.IsZero() && w.misses == 0 {
		// A worker that does not answer gets no more time: its leases must come to an end that is known.
		renewal.Deadline = w.clock.grant(now, b.policy.Lease)
		renewal.Wait = b.patience(w, wait, now)
	}
	w.askedWait = renewal.Wait
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
func (b *Board) patience(w *worker, wait time.Duration, now time.Time) time.Duration {
	if len(w.runs) > 0 && now.Sub(w.missed) < wary {
		wait = min(wait, waryLook)
	}
	if b.shared {
		if _, serves := w.strain(); serves && w.fills() > 0 {
			wait = min(wait, servingLook)
		}
	}
	for _, r := range w.runs {
		if r.task != nil && r.task.group.spec().Lasting && r.percent < fullPace {
			return min(wait, startupLook)
		}
	}
	return wait
}

// Idle reports whether nothing is lost if the worker is renewed less often: it does not answer and runs nothing that the board knows of.
func (b *Board) Idle(l Life) bool {
	w := b.workers[l]
	return w != nil && w.misses >= silentMisses && len(w.runs) == 0 && w.answered
}

// Misses is how many calls in a row the worker left without an answer.
func (b *Board) Misses(l Life) int {
	if w := b.workers[l]; w != nil {
		return w.misses
	}
	return 0
}

// Report takes in a worker's answer to the renewal with the sequence number. It returns the ends that are new.
func (b *Board) Report(l Life, sequence uint64, report Report, now time.Time) []End {
	w := b.workers[l]
	if w == nil {
		return nil
	}
	var taken []End
	b.hear(w, report.Clock, now)
	asOf := w.answeredBy(now)
	w.clock.asOf = asOf
	present := make(map[Run]bool, len(report.Active)+len(report.Ends))
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
	if len(report.Ends) < EndsPerReport {
		w.told = true
		b.dropAbsent(w, present, sequence, now)
	}
	return taken
}

// hear notes that the worker answered a call that carried the board's epoch.
func (b *Board) hear(w *worker, clock time.Duration, now time.Time) {
	if w.clock.heard.IsZero() {
		// An earlier holder may have granted the longest lease just now.
		w.clock.granted = max(w.clock.granted, clock+b.policy.MaxLease)
	}
	w.clock.hear(clock, now)
	w.answered = true
	w.misses = 0
}

// dropAbsent ends the runs that the worker confirmed before the renewal was sent and does not have.
func (b *Board) dropAbsent(w *worker, present map[Run]bool, sequence uint64, now time.Time) {
	for _, r := range sortedRuns(w) {
		if r.confirmed && r.known < sequence && !present[r.name] {
			b.giveUp(r, CauseAbsent, now)
		}
	}
}

func (b *Board) takeActive(w *worker, a Active, now time.Time) {
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
	r.percent = a.Percent
	r.load = a.Load
	if a.Checkpoint != "" {
		r.checkpoint = a.Checkpoint
	}
}

// adopt takes in a run that an earlier holder started, or that nobody wants.
func (b *Board) adopt(w *worker, name Run, now time.Time) *run {
	r := &run{name: name, worker: w, phase: phaseRunning, started: now, adopted: true}
	if t := b.find(name.Task); t != nil && !t.done {
		r.demand = t.group.spec().counted()
		t.attempt = max(t.attempt, name.Attempt)
		if len(t.runs) == 0 || t.group.spec().Copies {
			r.task = t
			t.runs = append(t.runs, r)
			t.group.job.begun = true
		}
	}
	if r.task == nil {
		b.unwanted[r] = true
	}
	w.runs[name] = r
	w.used = w.used.Plus(r.demand)
	return r
}

// find returns the task if its job is known and its step is not done. A step of which a worker tells
// is opened, even if the ends before it are not known yet: an earlier holder had seen them.
func (b *Board) find(name Task) *task {
	j := b.jobs[name.Job]
	if j == nil || j.final() || name.Step >= len(j.Steps) || name.Occurrence >= j.Occurrences() {
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
func (b *Board) takeEnd(w *worker, e End, now time.Time) {
	r := w.runs[e.Run]
	t := b.find(e.Run.Task)
	if r != nil {
		if t != nil && e.How == HowDone && r.checkpoint == "" {
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

func (b *Board) applyEnd(w *worker, t *task, e End, now time.Time) {
	j := t.group.job
	lasting := t.group.spec().Lasting
	switch {
	case e.How == HowDone && !lasting:
		w.failedInRow = 0
		b.finishAll(t)
	case e.How == HowFailed && !lasting:
		b.suspect(w, j.ID, now)
		j.change(j.progress.WithFailure(e.Run))
		b.markDirty(j)
		t.failures = j.progress.Failures(t.name())
		if t.failedOn == nil {
			t.failedOn = make(map[string]int)
		}
		t.failedOn[w.Life.Worker]++
		if t.failures >= max(1, j.Attempts) {
			b.end(j, StateFailed)
		}
	}
	if e.Checkpoint != "" && !t.done {
		t.checkpoint = e.Checkpoint
	}
}

// finishAll marks a task done, and with it all members of its gang: they end together, and one such end stands for all.
func (b *Board) finishAll(t *task) {
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
func (b *Board) finish(t *task) {
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
		if due := j.Due(key.occurrence); due.After(latest) {
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
func (b *Board) suspect(w *worker, id ID, now time.Time) {
	if w.lastFailed == id {
		return
	}
	w.lastFailed = id
	w.failedInRow++
	if w.failedInRow >= failuresToSuspect {
		w.closed = now.Add(suspicion)
	}
}
