package work

import (
	"slices"
	"time"
)

const (
	// youngAge is the age up to which a run counts as a possible cause of its worker's end.
	youngAge = 100 * time.Millisecond
	// minProbation and maxProbation bound the age at which a run shows that its task does not crash workers. A run
	// that was older than maxProbation when its worker ended is not connected with that end.
	minProbation = 200 * time.Millisecond
	maxProbation = time.Minute
	// probationFactor is the ratio of that age to the age at which workers ended under the task.
	probationFactor = 2
	// minCrashes is the number of crashes from which the job of a task can be given up.
	minCrashes = 2
	// minCrashesLongRunning is the same for a long-running task. It meets more crashes that have another cause, and all tasks
	// of its job are stopped with it.
	minCrashesLongRunning = 4
	// maxCrashes is the number of crashes after which the job of a task is given up in any case.
	maxCrashes = 5
	// maxSimultaneous is the number of other workers up to which their silence at the same time may have other causes.
	maxSimultaneous = 1
	// simultaneity is the difference up to which workers count as silent since the same time.
	simultaneity = 60 * time.Millisecond
	// maxCrashedTasks is the number of a job's tasks under which crashes are recorded. It keeps the row of the job's
	// progress within the limit of the table service.
	maxCrashedTasks = 200
	// lostRunsMemory is the time for which the tasks on a crashed worker are remembered together.
	lostRunsMemory = time.Minute
	// maxSilenceDelay bounds the time between the end of a worker and the first call that is known to have no answer.
	maxSilenceDelay = 2500 * time.Millisecond
	// silenceMemory is the time for which the silence of workers is remembered. A crash is known for certain once the
	// worker has returned or its leases have expired.
	silenceMemory = 30 * time.Second
)

// Crash is the end of a worker while it ran an attempt of a task.
type Crash struct {
	Run RunID
	// MinAge and MaxAge bound the age of the run when its worker ended.
	MinAge, MaxAge time.Duration
	// Coincident is true if the crash is likely to have another cause: several other workers fell silent at the same
	// time, the worker had more likely causes, or one of those crashed another worker.
	Coincident bool
	// Confirmed is true if the incarnation that ended is known to have begun the run. Otherwise the run may never have been
	// there.
	Confirmed bool
}

// CrashVerdict describes a crash and what follows from it for the task.
type CrashVerdict struct {
	Crash
	Incarnation Incarnation
	// Count, ConfirmedCount and Conclusive are the numbers of crashes under the task since a run of it last lasted: of all, of
	// confirmed ones, and of those confirmed ones that are not coincident.
	Count, ConfirmedCount, Conclusive int
	// Alone is true if no other run on the worker can have been the cause.
	Alone bool
	// Simultaneous is the number of other workers that fell silent at the same time.
	Simultaneous int
	// LongRunning is true for a long-running task.
	LongRunning bool
	// Chance is the probability of as many crashes under a long-running task if it has nothing to do with them; zero for others.
	Chance float64
	// Forgotten is true if the crashes would be enough to give up the job, and are likely to be chance. They don't count any more.
	Forgotten bool
	// GivenUp is true if the task's job fails for it.
	GivenUp bool
}

// isGivenUp reports whether the task is taken for the cause: it was the only possible one at one of its later crashes, or
// workers have crashed under it too often.
func (v CrashVerdict) isGivenUp() bool {
	required := minCrashes
	if v.LongRunning {
		required = minCrashesLongRunning
	}
	switch {
	case v.Coincident:
		return false
	case v.Alone && v.Confirmed && max(v.Conclusive, v.ConfirmedCount-1) >= required+v.Simultaneous:
		return true
	}
	return v.Conclusive >= maxCrashes || (v.Alone && v.Count >= maxCrashes)
}

// lostRuns holds the runs for which the end of a worker was recorded.
type lostRuns struct {
	at   time.Time
	runs []RunID
}

// crashRecord is what is known of the crashes under a task. The zero value has none.
type crashRecord struct {
	// total counts all crashes, confirmed the confirmed ones, and conclusive those of them that were not coincident.
	total, confirmed, conclusive int
	// young is true if a run was young at a crash that was not coincident. lowestAge is the lowest age at such a crash,
	// and highestAge the highest one at any crash.
	young                 bool
	lowestAge, highestAge time.Duration
	// exposure is the sum of the ages of all runs when their workers crashed.
	exposure time.Duration
}

func newCrashRecord(crashes []Crash) crashRecord {
	r := crashRecord{total: len(crashes), lowestAge: maxProbation}
	for _, c := range crashes {
		r.highestAge = max(r.highestAge, c.MaxAge)
		r.exposure += c.MaxAge
		if c.Confirmed {
			r.confirmed++
		}
		if c.Coincident {
			continue
		}
		if c.Confirmed {
			r.conclusive++
		}
		r.lowestAge = min(r.lowestAge, c.MinAge)
		r.young = r.young || c.MinAge <= youngAge
	}
	return r
}

// needsTrial reports whether the next run has to be apart from other possible causes of a crash.
func (r crashRecord) needsTrial() bool { return r.total > 1 || r.young }

// probation returns the age at which a run shows that the task does not crash workers.
func (r crashRecord) probation() time.Duration {
	return min(max(probationFactor*r.highestAge, minProbation), maxProbation)
}

// trialDuration returns the age up to which a run has to be apart from other possible causes. It doubles with each crash
// after the first two, for tasks that crash their workers late.
func (r crashRecord) trialDuration() time.Duration {
	return min(r.probation(), maxTrial<<min(max(0, r.total-minCrashes), maxTrialDoublings))
}

// recordCrash records the end of a worker for the tasks that it ran, and gives up the jobs of those that caused it. A
// worker that was leaving has not crashed.
func (s *Scheduler) recordCrash(w *worker) {
	if w.Draining || w.withdrawn || w.crashRecorded {
		return
	}
	w.crashRecorded = true
	runs := w.lostRuns()
	s.crashRate.add(w.endedAt(), runs)
	culprit := onlySuspect(runs)
	suspects, onTrial := countSuspects(runs), culprit.hasCrashes()
	lost := lostRuns{}
	for _, r := range runs {
		lowest, _ := r.ageAtSilence()
		if r.task == nil || r.task.group.job.isFinal() || lowest > maxProbation || (r != culprit && onTrial) || !r.task.mayRecordCrash() {
			continue
		}
		lost.at = laterTime(lost.at, r.startedAt)
		lost.runs = append(lost.runs, r.id)
		s.recordCrashOf(r, r == culprit, suspects > 0 && !r.isSuspect())
	}
	s.lostTogether = slices.DeleteFunc(s.lostTogether, func(old lostRuns) bool { return lost.at.Sub(old.at) > lostRunsMemory })
	if len(lost.runs) > 1 {
		s.lostTogether = append(s.lostTogether, lost)
	}
}

// lostRuns returns the runs that are lost if the worker has ended, sorted, without those of tasks that have ended since.
func (w *worker) lostRuns() []*run {
	runs := sortedRuns(w)
	for i := range w.expired {
		if r := &w.expired[i]; !r.task.done && !r.task.group.job.isFinal() {
			runs = append(runs, r)
		}
	}
	return runs
}

// countSuspects returns the number of runs that are possible causes of their worker's end.
func countSuspects(runs []*run) int {
	n := 0
	for _, r := range runs {
		if r.isSuspect() {
			n++
		}
	}
	return n
}

// onlySuspect returns the only run that is a possible cause of the worker's end, or nil if there is none or several.
func onlySuspect(runs []*run) *run {
	if countSuspects(runs) != 1 {
		return nil
	}
	return runs[slices.IndexFunc(runs, (*run).isSuspect)]
}

// hasCrashes reports whether workers crashed under the run's task before. It is false for no run.
func (r *run) hasCrashes() bool { return r != nil && r.task != nil && r.task.crashes.total > 0 }

// exonerateOthers records that a worker fell silent under a task on trial: earlier crashes have no other cause among the
// tasks that were beside it.
func (s *Scheduler) exonerateOthers(culprit TaskID, now time.Time) {
	s.lostTogether = slices.DeleteFunc(s.lostTogether, func(lost lostRuns) bool {
		if now.Sub(lost.at) > lostRunsMemory {
			return true
		}
		if !slices.ContainsFunc(lost.runs, func(r RunID) bool { return r.Task == culprit }) {
			return false
		}
		for _, r := range lost.runs {
			if t := s.activeTask(r.Task); t != nil && r.Task != culprit {
				j := t.group.job
				j.setProgress(j.progress.WithExplainedCrash(r))
				s.markDirty(j)
				t.crashes = newCrashRecord(j.progress.crashes[r.Task])
			}
		}
		return true
	})
}

// isSuspect reports whether the run is a possible cause of its worker's end, now or when it fell silent: it is young, or
// its task needs a trial and the run has not lasted long enough.
func (r *run) isSuspect() bool {
	lowest, _ := r.ageAtSilence()
	return lowest <= youngAge || (r.task != nil && r.task.crashes.needsTrial() && lowest <= r.task.crashes.trialDuration())
}

// mayRecordCrash reports whether the progress of the task's job has room for another crash under it.
func (t *task) mayRecordCrash() bool {
	return t.crashes.total > 0 || t.group.job.progress.CrashedTaskCount() < maxCrashedTasks
}

// recordCrashOf records the end of a run's worker for its task. Alone is true if no other run can have been the cause,
// and beside if others are more likely to have been.
func (s *Scheduler) recordCrashOf(r *run, alone, beside bool) {
	t := r.task
	j := t.group.job
	v := CrashVerdict{Crash: Crash{Run: r.id, Confirmed: r.begun}, Incarnation: r.worker.Incarnation, Alone: alone, Simultaneous: s.countSimultaneous(r.worker), LongRunning: t.group.spec().LongRunning}
	v.MinAge, v.MaxAge = r.ageAtSilence()
	v.Coincident = beside || v.Simultaneous > maxSimultaneous
	j.setProgress(j.progress.WithCrash(v.Crash))
	s.markDirty(j)
	t.crashes = newCrashRecord(j.progress.crashes[t.id()])
	t.crashChange = j.changeCount
	if t.crashedAddresses == nil {
		t.crashedAddresses = make(map[string]bool)
	}
	t.crashedAddresses[r.worker.Address] = true
	v.Count, v.ConfirmedCount, v.Conclusive = t.crashes.total, t.crashes.confirmed, t.crashes.conclusive
	v.GivenUp = v.isGivenUp()
	if v.LongRunning {
		v.Chance = s.chanceOfCrashes(t, r.worker.endedAt())
		v.Forgotten = v.GivenUp && v.Chance >= minForgottenChance
		v.GivenUp = v.GivenUp && v.Chance <= maxVerdictChance
	}
	if s.OnCrash != nil {
		s.OnCrash(v)
	}
	switch {
	case v.GivenUp:
		s.finishJob(j, StateFailed)
	case v.Forgotten:
		s.clearCrashes(t)
	}
}

// endedAt returns about when a worker ended that has crashed.
func (w *worker) endedAt() time.Time { return laterTime(w.clock.receivedAt, w.silentSince) }

// hasAnswered reports whether an answer to an order that is received now certainly came from this incarnation, judged by its
// reading of the worker's clock. A later incarnation, whose clock starts anew, has run for less time: it began after the
// last report of this one was asked for.
func (w *worker) hasAnswered(reading time.Duration, now time.Time) bool {
	return !w.answeredRenewalAt.IsZero() && reading > now.Sub(w.answeredRenewalAt)
}

// clearCrashes records that a run of the task has lasted: it does not crash workers.
func (s *Scheduler) clearCrashes(t *task) {
	j := t.group.job
	j.setProgress(j.progress.WithoutCrashes(t.id()))
	s.markDirty(j)
	t.crashes, t.crashedAddresses = crashRecord{}, nil
}

// recordMiss records a call to a worker without an answer.
func (s *Scheduler) recordMiss(w *worker, now time.Time) {
	if w.silentSince.IsZero() && !w.Draining && !w.withdrawn {
		if culprit := onlySuspect(w.lostRuns()); culprit.hasCrashes() {
			s.exonerateOthers(culprit.id.Task, now)
		}
		for inc, other := range s.silences {
			if now.Sub(other.until) > silenceMemory {
				delete(s.silences, inc)
			}
		}
		w.recordMiss(now)
		s.silences[w.Incarnation] = w.silence()
		return
	}
	w.recordMiss(now)
}

// silence bounds the time at which a worker fell silent: its last answer, and the first call that was known to have none.
type silence struct{ after, until time.Time }

// silence returns when the worker fell silent.
func (w *worker) silence() silence {
	return silence{laterTime(w.clock.receivedAt, w.silentSince.Add(-maxSilenceDelay)), w.silentSince}
}

// mayCoincideWith reports whether both can have begun at the same time.
func (a silence) mayCoincideWith(c silence) bool {
	return !a.after.After(c.until.Add(simultaneity)) && !c.after.After(a.until.Add(simultaneity))
}

// countSimultaneous returns the number of other workers that may have fallen silent at the same time.
func (s *Scheduler) countSimultaneous(w *worker) int {
	if w.silentSince.IsZero() {
		return 0
	}
	n := 0
	for inc, other := range s.silences {
		if inc != w.Incarnation && w.silence().mayCoincideWith(other) {
			n++
		}
	}
	return n
}

// mayFollowCrash reports whether what is known of crashes allows another start. After the second one the task is not
// started before it is stored, so that holders that replace each other don't start it again and again.
func (t *task) mayFollowCrash() bool {
	return t.crashes.total < minCrashes || t.crashChange <= t.group.job.storedChanges
}
