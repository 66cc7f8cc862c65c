package work

import "time"

// phase is how far a run is, as the board knows it.
type phase int

const (
	// phaseOrdered runs were sent to their worker, which has not answered.
	phaseOrdered phase = iota
	// phaseRunning runs are known to be on their worker.
	phaseRunning
	// phaseDoubtful runs may or may not be there, now or later: the answer to the order was lost.
	phaseDoubtful
	// phaseStopping runs have been told to stop and must be reported ended.
	phaseStopping
)

// run is one attempt of a task on a worker. It exists until it is certain that it does not and will not run.
type run struct {
	name RunID
	// task is nil if nobody wants the run.
	task   *task
	worker *worker
	demand Resources
	phase  phase
	// known is the board's sequence number when the worker last confirmed what it does with the run.
	// A report that was asked for later and does not have the run proves that it ended.
	known uint64
	// confirmed is true if known counts.
	confirmed bool
	// order is the start order. It is sent again if unsure is true: there was no answer to it. Repeats counts how often it was.
	order   Order
	unsure  bool
	repeats int
	// stopping is true while a stop order is on its way.
	stopping bool
	// retry is when the next stop order may be sent.
	retry time.Time
	// percent is the share of full speed at which the run works, load the worker's rough figure for it.
	percent int
	// evacuated runs are stopped because their worker is to be cleared.
	evacuated bool
	load      int
	pace      pacing
	started   time.Time
	// seen is when the worker last listed the run.
	seen time.Time
	// adopted runs were started by an earlier holder, which may have told the worker to stop them.
	adopted    bool
	checkpoint string
}

// pacing is what a run was told about its pace.
type pacing struct {
	// told is the percentage that the worker confirmed at that time, if set; runs begin at full pace.
	told int
	at   time.Time
	set  bool
	// sending is true while an order is on its way; after a failed one there is none before retry.
	sending bool
	retry   time.Time
}

// task is a task of an opened step.
type task struct {
	group *group
	index int
	done  bool
	// attempt is the highest attempt known.
	attempt int
	runs    []*run
	// checkpoint is where the next attempt resumes; empty for a fresh start.
	checkpoint string
	// notBefore delays the next attempt after a refusal.
	notBefore time.Time
	failures  int
	// failedOn counts the failed attempts that this holder heard of, by worker.
	failedOn map[string]int
}

func (t *task) name() TaskID {
	g := t.group
	return TaskID{Job: g.job.ID, Occurrence: g.occurrence, Step: g.step, Index: t.index}
}

// drop removes a run from its task.
func (t *task) drop(r *run) {
	for i, other := range t.runs {
		if other == r {
			t.runs = append(t.runs[:i], t.runs[i+1:]...)
			return
		}
	}
}

// group is the tasks of one step of one occurrence, once its turn has come.
type group struct {
	job              *job
	occurrence, step int
	tasks            []*task
	// left counts the tasks that are not done.
	left int
	// from is when the occurrence arrived or was due, allowed the time from there in which it should end,
	// and tail the expected time from this step's start to that end.
	from          time.Time
	allowed, tail time.Duration
	// due is when it should end, stands how it stands against that as of the last round.
	due    time.Time
	stands standing
	// approvals holds what the policy service said of workers, if the step needs its approval.
	approvals map[Incarnation]approval
	// inquiring is true while the policy service is asked about the step.
	inquiring bool
	// searching is true if a task found no place in the last round.
	searching bool
}

func (g *group) spec() *Step { return &g.job.Steps[g.step] }

// job is a job that is not final, or whose end is not stored.
type job struct {
	Job
	progress Progress
	// version is that of the stored progress.
	version uint64
	// groups holds the opened steps that are not done.
	groups []*group
	// opened and finished mark steps by occurrence.
	opened   map[stepKey]bool
	finished map[stepKey]bool
	// arrived is when the board first knew of the job, or its acceptance if that was before the board's time.
	arrived time.Time
	// tails are the expected times from each step's start to the end, chain the longest of them.
	tails []time.Duration
	chain time.Duration
	// changes counts the changes of progress, stored those that are known to be stored.
	changes, stored uint64
	// committing is true while a commit of the row is on its way.
	committing bool
	// begun is true once a task was started.
	begun bool
	// ambiguous jobs may have runs of an earlier holder on workers that have not answered yet.
	ambiguous bool
	// timed is true while an occurrence waits for its time.
	timed bool
}

func (j *job) final() bool { return j.progress.State.Final() }

func (j *job) change(p Progress) {
	j.progress = p
	j.changes++
}
