package work

import (
	"cmp"
	"slices"
	"time"

	"siskincross/core/interference"
	"siskincross/core/quota"
)

// Timing holds the durations on which decisions are based. Fields that are zero take the defaults of
// withDefaults.
type Timing struct {
	// Lease is how long a worker keeps running its tasks without a renewal from the duty holder. All holders of a
	// deployment must use the same: each waits for the leases of those before it.
	Lease time.Duration
	// MaxLease is the longest lease that workers grant to any caller.
	MaxLease time.Duration
	// StopTimeout is the longest time that a worker takes to stop a task.
	StopTimeout time.Duration
	// MoveDuration is how long a host is unavailable while it moves to another pool.
	MoveDuration time.Duration
}

const (
	// defaultMaxLease is the platform's usual limit.
	defaultMaxLease = 6 * time.Second
	// defaultLease leaves a new duty holder time to renew: it covers the lapse of the old holder's membership (2
	// s), a takeover (0.5 s) and the interval between two renewals.
	defaultLease = 5 * time.Second
	// defaultStopTimeout is the platform's usual limit.
	defaultStopTimeout = 400 * time.Millisecond
	// defaultMoveTime is the platform's usual duration.
	defaultMoveTime = 1500 * time.Millisecond
)

func (t Timing) withDefaults() Timing {
	t.MaxLease = cmp.Or(t.MaxLease, defaultMaxLease)
	t.StopTimeout = cmp.Or(t.StopTimeout, defaultStopTimeout)
	t.MoveDuration = cmp.Or(t.MoveDuration, defaultMoveTime)
	t.Lease = min(cmp.Or(t.Lease, defaultLease), t.MaxLease)
	return t
}

// EffectiveLease returns the duration of a granted lease, with defaults and the limit MaxLease applied.
func (t Timing) EffectiveLease() time.Duration { return t.withDefaults().Lease }

// attemptsPerTerm separates the attempt numbers of one holder from those of the next one, which does not know
// every attempt that its predecessor started.
const attemptsPerTerm = 1000

// Scheduler schedules the jobs of one pool on the pool's workers, on behalf of the pool's duty holder. It is not
// safe for concurrent use. A zero Scheduler with its exported fields set is ready to use.
type Scheduler struct {
	Pool string
	// Epoch is the fencing token of this holder; every order carries it.
	Epoch uint64
	// Term counts the takeovers of the duty. It separates the attempt numbers of successive holders.
	Term   int
	Timing Timing
	// Quota accounts for what each organisation has running in the pool, and bounds it.
	Quota quota.Ledger
	// OnPresumedEnd is called for each run that the scheduler treats as ended without a report of its end. It
	// may be nil.
	OnPresumedEnd func(PresumedEnd)
	// OnCrash is called when a worker has ended under a task that may be the cause. It may be nil.
	OnCrash func(CrashVerdict)
	// OnLingeringRun is called while a worker lists a run that no task needs, every lingerInterval. It may be nil.
	OnLingeringRun func(LingeringRun)
	// OnMissingEnds is called when the numbers of the ends that a worker lists leave a gap. It may be nil.
	OnMissingEnds func(MissingEnds)
	// OnForgettableEnds is called when an incarnation is found that may forget ends before it lists them, and when it no longer does. It may
	// be nil.
	OnForgettableEnds func(ForgettableEnds)
	// OnInterference is called when two kinds of tasks are kept apart from now on, or no longer. It may be nil.
	OnInterference func(interference.Verdict)
	// LastForcedTakeover is the time of the last takeover from a holder that may not have ended, by the local
	// clock; zero if each earlier holder has ended.
	LastForcedTakeover time.Time

	quotas      quotaState
	initialised bool
	timing      Timing
	jobs        map[JobID]*job
	// silences holds when workers fell silent that were not leaving.
	silences   map[Incarnation]silence
	crashRate  crashRate
	silentEnds silentEnds
	lateStarts lateStarts
	// formerEndpoints holds, by worker, where start orders of earlier holders may still be carried out.
	formerEndpoints map[string]formerEndpoint
	// strays holds what calls to an incarnation may have acknowledged at a later one of its worker, by the former.
	strays map[Incarnation]strayAcknowledgement
	// generations tells calls to an incarnation of a worker from those to later ones.
	generations generations
	// lostTogether holds the tasks that were on crashed workers together.
	lostTogether []lostRuns
	// trialsWait is true if tasks that need a trial had to wait in the last round.
	trialsWait bool
	// lastTrialAt is the time at which the last task on trial was started.
	lastTrialAt   time.Time
	workers       map[Incarnation]*worker
	sortedWorkers []*worker
	sequence      uint64
	// groups holds the active steps with tasks that may have to be started, unsorted between rounds.
	groups []*taskGroup
	// unresolved holds the incarnations on which runs of an earlier holder may exist or have ended unheard of, with the
	// time at which they were added. earlierRunsEnded is true once all these runs have certainly ended.
	unresolved       map[Incarnation]time.Time
	earlierRunsEnded bool
	// takenAt is the time at which the incarnations on the stored roster were added; zero if there were none.
	takenAt             time.Time
	jobsAwaitingDueTime int
	// dirty holds the jobs with changes that are not stored yet.
	dirty []*job
	// runsToStop holds the runs that are to be stopped, with the cause.
	runsToStop map[*run]stopCause
	// recentlyEnded holds the jobs that ended recently: a read of the store that was already in progress may
	// still return them.
	recentlyEnded endedJobs
	// durations holds the task duration statistics by queue.
	durations map[string]*durationStats
	// arrivals holds the job arrival statistics by queue.
	arrivals map[string]*arrivalStats
	// approvalRates holds the share of workers that the policy service approves, by queue.
	approvalRates map[string]approvalRate
	// approvalRequestsInFlight counts the calls to the policy service that have no answer yet. No call is made
	// before nextApprovalRequest.
	approvalRequestsInFlight int
	nextApprovalRequest      time.Time
	// jobsReadAt and workersReadAt are the times up to which the stored jobs and the worker directory are known;
	// zero disables the check of their age.
	jobsReadAt, workersReadAt time.Time
	// startsInFlight counts the start orders that have no answer yet. startWindow limits them.
	startsInFlight int
	// validUntil is the time until which leases may be granted; zero if there is no bound.
	validUntil time.Time
	// heldUntil is the time until which no other holder can have taken the duty; zero if there is no bound.
	heldUntil   time.Time
	startWindow startWindow
	// startsToRepeat counts the runs whose start order is to be sent again.
	startsToRepeat int
	// adjustsPace is true once a job was added with best-effort tasks or with a latency target.
	adjustsPace bool
	// unplaceable holds the demands for which no worker had room in this round.
	unplaceable []Resources
	// awaitsRoom is true if a task waits for room that a worker would have if it was empty.
	awaitsRoom bool
	// unplacedTasks counts, by step, the long-running tasks that found no worker in the last round.
	// blockedEvacuations counts those of them that are still on a worker that they should leave.
	unplacedTasks      map[*taskGroup]int
	blockedEvacuations int
	// hostShortage is true while the pools together request more hosts than there are.
	hostShortage bool
	// interference learns which kinds of tasks slow each other down if learnsInterference is set.
	interference       interference.Model
	learnsInterference bool
	// movedRun is the best-effort task's run that was last stopped in order to be started on another worker. movesSoughtAt is
	// when a run to be moved was last looked for.
	movedRun            *run
	movesSoughtAt       time.Time
	latenciesComparedAt time.Time
	// spareSince is the time since which the pool has had more workers than it needs; zero if it does not.
	spareSince time.Time
	shares     shares
}

func (s *Scheduler) initialise() {
	if s.initialised {
		return
	}
	s.initialised = true
	s.timing = s.Timing.withDefaults()
	s.interference.OnVerdict = func(v interference.Verdict) {
		if s.OnInterference != nil {
			s.OnInterference(v)
		}
	}
	s.jobs = make(map[JobID]*job)
	s.workers = make(map[Incarnation]*worker)
	s.silences = make(map[Incarnation]silence)
	s.unresolved = make(map[Incarnation]time.Time)
	s.formerEndpoints = make(map[string]formerEndpoint)
	s.strays = make(map[Incarnation]strayAcknowledgement)
	s.runsToStop = make(map[*run]stopCause)
	s.quotas = quotaState{unaccountedRuns: make(map[*run]bool), holds: make(map[string]bool), arrivals: make(map[string]*arrivalAllowance)}
	s.unplacedTasks = make(map[*taskGroup]int)
	s.durations = make(map[string]*durationStats)
	s.arrivals = make(map[string]*arrivalStats)
	s.approvalRates = make(map[string]approvalRate)
}

// AddJob adds a job. Version is the version of its stored progress. Earlier is true if the job was accepted
// before this scheduler's epoch, so that an earlier holder may have started some of its tasks.
func (s *Scheduler) AddJob(spec Job, p Progress, version uint64, earlier bool, now time.Time) {
	s.initialise()
	if s.jobs[spec.ID] != nil || p.State.IsFinal() || s.recentlyEnded.has(spec.ID) {
		return
	}
	j := &job{
		Job: spec, progress: p, version: version, mayHaveEarlierRuns: earlier,
		activated: make(map[stepKey]bool), finished: make(map[stepKey]bool),
		started: p.State == StateRunning, arrivedAt: now,
	}
	s.jobs[spec.ID] = j
	s.shares.count(j, earlier, now)
	s.adjustsPace = s.adjustsPace || spec.affectsPace()
	if j.Repeat.Count > 0 {
		j.awaitsDueTime = true
		s.jobsAwaitingDueTime++
	}
	if earlier {
		j.arrivedAt = j.AcceptedAt
	} else {
		s.recordArrival(j, now)
	}
	s.activateReadySteps(j, time.Time{})
}

// HasJobOf reports whether the job is held or ended recently, and belongs to the organisation.
func (s *Scheduler) HasJobOf(id JobID, organisation string) bool {
	if j := s.jobs[id]; j != nil {
		return j.Organisation == organisation
	}
	return s.recentlyEnded.hasOf(id, organisation)
}

// HasJob reports whether the job is held or ended recently, in which case it need not be added.
func (s *Scheduler) HasJob(id JobID) bool {
	s.initialise()
	return s.jobs[id] != nil || s.recentlyEnded.has(id)
}

// activateReadySteps activates the steps whose dependencies are done and whose occurrence is due and may be open, and completes
// the job if all steps are done. Occurrences become due in their order.
func (s *Scheduler) activateReadySteps(j *job, now time.Time) {
	complete, waiting := true, false
	open := 0
	for k := j.firstUnfinished; k < j.OccurrenceCount(); k++ {
		if j.progress.HasFinishedOccurrence(k) {
			if k == j.firstUnfinished {
				j.firstUnfinished++
			}
			continue
		}
		if open++; !j.isDue(k, now) || (open > 1 && open*j.occurrenceBytes() > maxOpenProgressBytes) {
			complete, waiting = false, true
			break
		}
		for i := range j.Steps {
			key := stepKey{k, i}
			if !j.activated[key] && s.dependenciesDone(j, k, i) {
				s.activateStep(j, key)
			}
		}
		if j.isOccurrenceFinished(k) {
			j.closeOccurrence(k)
			continue
		}
		complete = false
	}
	if j.awaitsDueTime && !waiting {
		j.awaitsDueTime = false
		s.jobsAwaitingDueTime--
	}
	if complete && !j.isFinal() {
		s.finishJob(j, StateCompleted)
	}
}

// isDue reports whether an occurrence may start. The zero time is before all due times.
func (j *job) isDue(k int, now time.Time) bool {
	due := j.DueTime(k)
	return due.IsZero() || (!now.IsZero() && !due.After(now))
}

// dependenciesDone reports whether the steps that a step depends on are done in this occurrence.
func (s *Scheduler) dependenciesDone(j *job, occurrence, step int) bool {
	for _, dependency := range j.Steps[step].DependsOn {
		if !j.finished[stepKey{occurrence, dependency}] {
			return false
		}
	}
	return true
}

// activateStep creates the tasks of a step with their stored progress.
func (s *Scheduler) activateStep(j *job, key stepKey) {
	j.activated[key] = true
	g := &taskGroup{job: j, occurrence: key.occurrence, step: key.step, kind: s.kindOf(j, key.step)}
	g.tasks = make([]*task, j.Steps[key.step].TaskCount)
	for i := range g.tasks {
		t := &task{group: g, index: i, attempt: s.Term * attemptsPerTerm}
		t.done = j.progress.IsDone(t.id())
		t.failures = j.progress.FailureCount(t.id())
		t.crashes = newCrashRecord(j.progress.crashes[t.id()])
		if !t.done {
			g.remainingTasks++
		}
		g.tasks[i] = t
	}
	if g.remainingTasks == 0 {
		j.finished[key] = true
		return
	}
	s.setObjective(g)
	j.groups = append(j.groups, g)
	s.groups = append(s.groups, g)
}

// finishJob moves a job to a final state, stops its runs and marks it to be stored.
func (s *Scheduler) finishJob(j *job, state State) {
	j.setProgress(j.progress.WithState(state))
	s.markDirty(j)
	s.stopAllRuns(j)
}

// removeJob removes a job whose final state is stored.
func (s *Scheduler) removeJob(j *job) {
	s.recentlyEnded.add(j.ID, endedJob{organisation: j.Organisation, ownerKnown: true})
	delete(s.jobs, j.ID)
	s.dirty = slices.DeleteFunc(s.dirty, func(other *job) bool { return other == j })
}

func (s *Scheduler) markDirty(j *job) {
	if !slices.Contains(s.dirty, j) {
		s.dirty = append(s.dirty, j)
	}
}
