package work

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Policy holds the figures that decide. Zero fields have the values of withDefaults.
type Policy struct {
	// Lease is how long a worker runs its tasks without hearing from the holder.
	Lease time.Duration
	// MaxLease is the longest lease that workers grant to anybody.
	MaxLease time.Duration
	// StopTime is how long a worker may take to stop a task.
	StopTime time.Duration
	// MoveTime is how long a host is away while it moves to another pool.
	MoveTime time.Duration
}

const (
	// defaultMaxLease is the platform's usual bound.
	defaultMaxLease = 6 * time.Second
	// defaultLease leaves a new duty holder time to renew: a lapse of the old one's membership
	// (two seconds), a takeover (half a second) and the pause between two renewals.
	defaultLease = 5 * time.Second
	// defaultStopTime is the platform's usual bound.
	defaultStopTime = 400 * time.Millisecond
	// defaultMoveTime is the platform's usual time.
	defaultMoveTime = 1500 * time.Millisecond
)

func (p Policy) withDefaults() Policy {
	p.MaxLease = cmp.Or(p.MaxLease, defaultMaxLease)
	p.StopTime = cmp.Or(p.StopTime, defaultStopTime)
	p.MoveTime = cmp.Or(p.MoveTime, defaultMoveTime)
	p.Lease = min(cmp.Or(p.Lease, defaultLease), p.MaxLease)
	return p
}

// LeaseTime is how long a lease is given for.
func (p Policy) LeaseTime() time.Duration { return p.withDefaults().Lease }

// attemptsPerTerm separates the attempts of one holder from those of the next, which does not
// know all that its predecessor started.
const attemptsPerTerm = 1000

// Board holds the jobs and workers of one pool for its duty holder. Its owner calls it from one
// goroutine at a time. A zero Board with its public fields set works.
type Board struct {
	Pool string
	// Epoch is the fencing token that orders carry.
	Epoch uint64
	// Term counts the holders of the duty.
	Term   int
	Policy Policy
	// GaveUp is told of each run that the board takes as over without a report of its end; nil means nobody is.
	GaveUp func(GivenUp)

	ready    bool
	policy   Policy
	jobs     map[ID]*job
	workers  map[Life]*worker
	order    []*worker
	sequence uint64
	// groups holds the steps with tasks that may have to be started, in no order.
	groups []*group
	// unseen holds the lives that may run something of an earlier holder.
	unseen map[Life]time.Time
	timed  int
	// dirty holds the jobs with changes to be stored.
	dirty []*job
	// wanted holds the runs that must be stopped.
	unwanted map[*run]bool
	// ended holds the jobs that ended lately: a reading of the store that was on its way may still have them.
	ended endedJobs
	// durations holds what is learnt of tasks, by queue.
	durations map[string]*durations
	// arriving counts the jobs that come, by queue.
	arriving map[string]*arrivals
	// approving holds what is learnt of the policy service's answers, by queue.
	approving map[string]approvalShare
	// inquiring counts the calls of the policy service that are on their way; there are none before inquireAfter.
	inquiring    int
	inquireAfter time.Time
	// knownAsOf and listedAsOf are as of when the stored jobs and the directory are known; zero if that plays no part.
	knownAsOf, listedAsOf time.Time
	// inFlight counts the starts that are on their way.
	inFlight int
	// unsure counts the runs whose start is to be sent again.
	unsure int
	// shared is true once a job came with tasks that fill or that have a target.
	shared bool
	// full holds the demands for which no worker had room in this round.
	full []Resources
	// homeless counts by step the lasting tasks that found no worker in the last round, cramped those of them that should leave the one
	// that they are on.
	homeless map[*group]int
	cramped  int
	// short is true while pools ask for more hosts than there are.
	short bool
	// spareSince is since when the pool has had more workers than it needs.
	spareSince time.Time
}

func (b *Board) init() {
	if b.ready {
		return
	}
	b.ready = true
	b.policy = b.Policy.withDefaults()
	b.jobs = make(map[ID]*job)
	b.workers = make(map[Life]*worker)
	b.unseen = make(map[Life]time.Time)
	b.unwanted = make(map[*run]bool)
	b.homeless = make(map[*group]int)
	b.durations = make(map[string]*durations)
	b.arriving = make(map[string]*arrivals)
	b.approving = make(map[string]approvalShare)
}

// Expect names a life on which an earlier holder may have started tasks. Jobs that are added before
// every such life has answered or its leases are over start only what is certain not to run.
func (b *Board) Expect(l Life, now time.Time) {
	b.init()
	b.unseen[l] = now.Add(b.lapse(b.policy.MaxLease))
}

// lapse is how long a lease can last by our clock.
func (b *Board) lapse(lease time.Duration) time.Duration {
	return time.Duration(float64(lease) / (1 - clockDrift))
}

// settled reports whether nothing of an earlier holder can run unknown to the board.
func (b *Board) settled(now time.Time) bool {
	for life, until := range b.unseen {
		w := b.workers[life]
		switch {
		case w != nil && w.told, b.succeeded(life):
			delete(b.unseen, life)
		case now.After(until) && (w == nil || !w.listed):
			delete(b.unseen, life)
		}
	}
	return len(b.unseen) == 0
}

// Awaited returns the lives for which jobs of earlier holders wait.
func (b *Board) Awaited(now time.Time) []Life {
	b.init()
	if b.settled(now) {
		return nil
	}
	lives := slices.Collect(maps.Keys(b.unseen))
	slices.SortFunc(lives, func(a, c Life) int { return cmp.Compare(a.Worker, c.Worker) })
	return lives
}

// Quiet reports whether the next holder would have nothing to wait for: every life that may run something answers.
func (b *Board) Quiet(now time.Time) bool {
	b.init()
	if !b.settled(now) {
		return false
	}
	for _, w := range b.order {
		if len(w.runs) > 0 && (w.misses > 0 || !w.listed) {
			return false
		}
	}
	return true
}

// succeeded reports whether a later life of the worker has answered.
func (b *Board) succeeded(l Life) bool {
	return slices.ContainsFunc(b.laterLives(l), func(w *worker) bool { return w.answered })
}

// reborn reports whether the worker of a life is known to have started again since.
func (b *Board) reborn(l Life) bool { return len(b.laterLives(l)) > 0 }

// Add takes a job in. Version is that of its stored progress. Earlier tells that it was
// accepted before this board's epoch, so that an earlier holder may have started it.
func (b *Board) Add(spec Job, p Progress, version uint64, earlier bool, now time.Time) {
	b.init()
	if b.jobs[spec.ID] != nil || p.State.Final() || b.ended.has(spec.ID) {
		return
	}
	j := &job{
		Job: spec, progress: p, version: version, ambiguous: earlier,
		opened: make(map[stepKey]bool), finished: make(map[stepKey]bool),
		begun: p.State == StateRunning, arrived: now,
	}
	b.jobs[spec.ID] = j
	b.shared = b.shared || spec.shares()
	if j.Repeat.Count > 0 {
		j.timed = true
		b.timed++
	}
	if earlier {
		j.arrived = j.Accepted
	} else {
		b.arrive(j, now)
	}
	b.openSteps(j, time.Time{})
}

// Has reports whether a job is on the board, or ended there lately: it need not be added.
func (b *Board) Has(id ID) bool {
	b.init()
	return b.jobs[id] != nil || b.ended.has(id)
}

// openSteps opens the steps whose turn has come and completes the job if all are done.
func (b *Board) openSteps(j *job, now time.Time) {
	complete := true
	waiting := false
	for k := range j.Occurrences() {
		if due := j.Due(k); !due.IsZero() && (now.IsZero() || due.After(now)) {
			complete = false
			waiting = true
			continue
		}
		for i := range j.Steps {
			key := stepKey{k, i}
			if !j.opened[key] && b.preceded(j, k, i) {
				b.openStep(j, key)
			}
			complete = complete && j.finished[key]
		}
	}
	if j.timed && !waiting {
		j.timed = false
		b.timed--
	}
	if complete && !j.final() {
		b.end(j, StateCompleted)
	}
}

func (b *Board) preceded(j *job, occurrence, step int) bool {
	for _, before := range j.Steps[step].After {
		if !j.finished[stepKey{occurrence, before}] {
			return false
		}
	}
	return true
}

func (b *Board) openStep(j *job, key stepKey) {
	j.opened[key] = true
	g := &group{job: j, occurrence: key.occurrence, step: key.step}
	g.tasks = make([]*task, j.Steps[key.step].Tasks)
	for i := range g.tasks {
		t := &task{group: g, index: i, attempt: b.Term * attemptsPerTerm}
		t.done = j.progress.Done(t.name())
		t.failures = j.progress.Failures(t.name())
		if !t.done {
			g.left++
		}
		g.tasks[i] = t
	}
	if g.left == 0 {
		j.finished[key] = true
		return
	}
	b.aim(g)
	j.groups = append(j.groups, g)
	b.groups = append(b.groups, g)
}

// end makes a job final. Its runs are stopped and its row is stored.
func (b *Board) end(j *job, s State) {
	j.change(j.progress.WithState(s))
	b.markDirty(j)
	b.abandon(j)
}

// abandon gives up all runs of a job.
func (b *Board) abandon(j *job) {
	for _, g := range j.groups {
		for _, t := range g.tasks {
			for _, r := range t.runs {
				r.task = nil
				b.unwanted[r] = true
			}
			t.runs = nil
		}
	}
	j.groups = nil
	b.groups = slices.DeleteFunc(b.groups, func(g *group) bool { return g.job == j })
	if j.timed {
		j.timed = false
		b.timed--
	}
}

// knowledgeTime is how old the knowledge of the stored jobs may be for a start: the longest wait of a feed and its answer's way. With the time
// that a start may take it is below the time in which a cancel must have effect.
const knowledgeTime = 2200 * time.Millisecond

// listedTime is how old the knowledge of the directory may be for a start: with the time that a start may take, it is about the shortest
// stated time after which a worker that said that it leaves must get no more tasks.
const listedTime = 1900 * time.Millisecond

// KnownAsOf notes as of when the stored jobs and the directory are known. A job that was cancelled since may still be on the board, and a
// worker that is about to leave may look as if it stayed, so that nothing is started on knowledge that is too old.
func (b *Board) KnownAsOf(jobs, workers time.Time) { b.knownAsOf, b.listedAsOf = jobs, workers }

// outdated reports whether too many cancels, or too many workers that leave, may not have been heard of.
func (b *Board) outdated(now time.Time) bool {
	return (!b.knownAsOf.IsZero() && now.Sub(b.knownAsOf) > knowledgeTime) ||
		(!b.listedAsOf.IsZero() && now.Sub(b.listedAsOf) > listedTime)
}

// Cancel forgets a job that its caller cancelled, and stops its runs. The caller's write is stored already.
func (b *Board) Cancel(id ID) {
	b.init()
	b.ended.add(id)
	j := b.jobs[id]
	if j == nil || j.final() {
		return
	}
	b.abandon(j)
	j.progress = j.progress.WithState(StateCancelled)
	j.stored = j.changes
	b.forget(j)
}

func (b *Board) forget(j *job) {
	b.ended.add(j.ID)
	delete(b.jobs, j.ID)
	b.dirty = slices.DeleteFunc(b.dirty, func(other *job) bool { return other == j })
}

func (b *Board) markDirty(j *job) {
	if !slices.Contains(b.dirty, j) {
		b.dirty = append(b.dirty, j)
	}
}

// Pending counts by queue the jobs that have no time of their own and no task started.
func (b *Board) Pending() map[string]int {
	counts := make(map[string]int)
	for _, j := range b.jobs {
		if !j.begun && j.Repeat.Count == 0 {
			counts[j.Queue]++
		}
	}
	return counts
}

// Empty reports whether the board has no job that is not final.
func (b *Board) Empty() bool { return len(b.jobs) == 0 }

// State returns the state of a job that the board holds.
func (b *Board) State(id ID) (State, bool) {
	j := b.jobs[id]
	if j == nil || j.final() {
		return StateQueued, false
	}
	if j.begun {
		return StateRunning, true
	}
	return StateQueued, true
}
