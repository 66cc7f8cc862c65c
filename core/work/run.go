package work

import (
	"time"

	"siskincross/core/interference"
)

// phase is the state of a run as far as the scheduler knows it.
type phase int

const (
	// phaseStarting is the state of a run whose start order has no answer yet.
	phaseStarting phase = iota
	// phaseRunning is the state of a run that its worker confirmed.
	phaseRunning
	// phaseUncertain is the state of a run whose start order's answer was lost: the worker may carry the order
	// out at any time, or may have done so.
	phaseUncertain
	// phaseStopping is the state of a run whose stop order was confirmed and whose end is not reported yet.
	phaseStopping
)

// run is one attempt of a task on a worker. It is kept until it is certain that the attempt neither runs nor
// will run.
type run struct {
	id RunID
	// task is nil if the run is no longer needed.
	task   *task
	worker *worker
	demand Resources
	// demandUnknown is true for an adopted run of a job that is not known. Its demand is zero.
	demandUnknown bool
	// usage is what the run counts towards the limit of its organisation.
	usage quotaUsage
	phase phase
	// confirmedSequence is the scheduler's sequence number at the worker's last confirmation of the run. A
	// report that was requested later and lacks the run proves that the run ended.
	confirmedSequence uint64
	// confirmed is true if confirmedSequence is set.
	confirmed bool
	// begun is true once the worker's incarnation has certainly begun the run: it listed the run, or answered its start.
	begun bool
	// startOrder is the order that started the run. It is sent again if repeatStart is true, because it got no
	// answer. startRepeats counts how often it was sent again.
	startOrder   Order
	repeatStart  bool
	startRepeats int
	// unansweredSequence is the scheduler's sequence number when the last start or stop order without an answer was given up, or when the
	// run passed to this incarnation of its worker; zero if there is none. Renewals that were sent later have higher ones.
	unansweredSequence uint64
	// stopReason states the figures behind a stop of a task that is still wanted, for the log; empty otherwise.
	// stopsSent counts the stop orders.
	stopReason string
	stopsSent  int
	// stopInFlight is true while a stop order has no answer yet. stopUnansweredAt is when the last one without an answer was
	// given up; zero if there is none.
	stopInFlight     bool
	stopUnansweredAt time.Time
	// stopRetryAt is the earliest time of the next stop order.
	stopRetryAt time.Time
	// speedPercent is the reported speed of the run as a percentage of full speed; load is the reported
	// ActiveRun.Load.
	speedPercent int
	load         int
	pace         runPace
	startedAt    time.Time
	// lastReported is the time of the worker's last report that listed the run.
	lastReported time.Time
	// unneededSince is the time of the first report that listed the run although no task needed it, and
	// lingerNotedAt that of the last call of OnLingeringRun for it. They are zero before the first such report.
	unneededSince, lingerNotedAt time.Time
	// kind names what runs, if it is known.
	kind interference.Kind
	// fromStart is true if the run began without a checkpoint.
	fromStart bool
	// adopted is true if an earlier holder started the run. That holder may also have ordered the worker to stop
	// it.
	adopted bool
	// probe is true if the run was started with the lease of a probe.
	probe      bool
	checkpoint string
}

// runPace is the state of the pace orders of a run.
type runPace struct {
	// confirmedPercent is the pace that the worker confirmed at confirmedAt, if confirmed is true. Runs start at
	// full pace.
	confirmedPercent int
	confirmedAt      time.Time
	confirmed        bool
	// slowedAt is the time of the last order to run below full pace that got no answer. It may still be carried out.
	slowedAt time.Time
	// inFlight is true while a pace order has no answer yet. After a failed order the next one is not sent
	// before retryAt.
	inFlight bool
	retryAt  time.Time
}

// task is one task of an active step.
type task struct {
	group *taskGroup
	index int
	done  bool
	// attempt is the highest attempt number known.
	attempt int
	runs    []*run
	// checkpoint is where the next attempt resumes; empty if it starts from the beginning.
	checkpoint string
	// notBefore is the earliest time of the next attempt, set after a refusal.
	notBefore time.Time
	failures  int
	// crashes is what is known of the ends of workers under the task. crashChange is the job's change with the last
	// of them, and crashedAddresses holds the addresses of those workers.
	crashes          crashRecord
	crashChange      uint64
	crashedAddresses map[string]bool
	// moves counts the runs of a best-effort task that were stopped because they stood still.
	moves int
	// failuresByWorker counts the failed attempts that were reported to this holder, by worker.
	failuresByWorker map[string]int
}

func (t *task) id() TaskID {
	g := t.group
	return TaskID{Job: g.job.ID, Occurrence: g.occurrence, Step: g.step, Index: t.index}
}

// removeRun removes a run from the task.
func (t *task) removeRun(r *run) {
	for i, other := range t.runs {
		if other == r {
			t.runs = append(t.runs[:i], t.runs[i+1:]...)
			return
		}
	}
}

// taskGroup holds the tasks of one active step of one occurrence.
type taskGroup struct {
	job              *job
	occurrence, step int
	tasks            []*task
	// remainingTasks counts the tasks that are not done.
	remainingTasks int
	// objectiveStart is the time at which the occurrence arrived or was due. allowedDuration is the time from
	// then within which it should end, and remainingDuration the expected time from the start of this step to
	// that end.
	objectiveStart                     time.Time
	allowedDuration, remainingDuration time.Duration
	// deadline is objectiveStart plus allowedDuration. urgency is the urgency as of the last round.
	deadline time.Time
	urgency  urgency
	// approvals holds the decisions of the policy service by incarnation, if the step needs its approval.
	approvals map[Incarnation]approval
	// approvalRequested is true while an approval request for the step has no answer yet.
	approvalRequested bool
	// lacksQuotaSince is the time since which the group, a gang, has lacked room in its organisation's grant; zero if it
	// does not.
	lacksQuotaSince time.Time
	// unplaced is true if a task found no worker in the last round.
	unplaced bool
	// rank is the precedence of the step, and begun is true if some of its tasks have started, both as of the last round
	// in which the pool's room was divided.
	rank  int
	begun bool
	kind  interference.Kind
	// completed holds the durations of the tasks that are done, the last of them at completedAt, to be compared once all are.
	completed   []alikeRuns
	completedAt time.Time
}

func (g *taskGroup) spec() *Step { return &g.job.Steps[g.step] }

// job is a job that is not final, or whose final state is not stored yet.
type job struct {
	Job
	progress Progress
	// version is the version of the stored progress.
	version uint64
	// groups holds the active steps that are not done.
	groups []*taskGroup
	// activated and finished hold the steps that were activated and finished, by occurrence.
	activated map[stepKey]bool
	finished  map[stepKey]bool
	// firstUnfinished is an occurrence before which all are finished.
	firstUnfinished int
	// arrivedAt is the time at which the job was added, or its AcceptedAt if an earlier holder may have started
	// it.
	arrivedAt time.Time
	// remainingDurations holds the expected time from the start of each step to the end of the job; criticalPath
	// is the longest of them.
	remainingDurations []time.Duration
	criticalPath       time.Duration
	// changeCount counts the changes of progress; storedChanges is the number of them that are known to be
	// stored.
	changeCount, storedChanges uint64
	// committing is true while a commit of the job's row is in progress.
	committing bool
	// started is true once a task was started.
	started bool
	// mayHaveEarlierRuns is true if an earlier holder may have started tasks of the job on workers that have not
	// reported yet.
	mayHaveEarlierRuns bool
	// awaitsDueTime is true while an occurrence is not due yet.
	awaitsDueTime bool
	// beyondShare is true if the job lay beyond its organisation's share when it arrived.
	beyondShare bool
}

func (j *job) isFinal() bool { return j.progress.State.IsFinal() }

func (j *job) setProgress(p Progress) {
	j.progress = p
	j.changeCount++
}
