package job

import (
	"math"
	"slices"
	"sort"
	"time"

	"siskincross/core/config"
	"siskincross/core/host"
	"siskincross/core/route"
)

// Scheduler holds the jobs of one pool in memory and decides about them. It is not safe for concurrent use.
// The owner commits the rows that PendingWrites returns and executes the commands that TakeCommands returns.
// A Scheduler with only Pool and Epoch set is ready to use.
type Scheduler struct {
	// Pool is the full name of the pool.
	Pool string
	// Epoch is the epoch of the pool's duty holder. It is written into every attempt.
	Epoch uint64
	// Policy holds the parameters of scheduling. Zero fields have defaults.
	Policy Policy

	policy     Policy
	epoch      uint64
	jobs       map[ID]*entry
	workers    map[host.ID]*worker
	backlog    backlog
	usage      Usage
	faults     faultTracker
	writeQueue writeQueue
	// sortedWorkers holds the workers sorted by ID, which makes decisions deterministic.
	sortedWorkers []*worker
	// searchStart is the index in sortedWorkers at which the next search begins.
	searchStart int
	// domainCounts counts the tasks of a usage group by rack and by availability zone.
	domainCounts map[domainKey]int
	// evicting holds the tasks being evicted.
	evicting map[ID]*task
	// schedulableWorkers counts the workers that may receive new work. totalSlots and freeSlots count their
	// task slots.
	schedulableWorkers, totalSlots, freeSlots int
	// largestCapacity is the largest task capacity of a schedulable worker, by resource.
	largestCapacity Demand
	notices         []Notice
	internedNames   interner
	// delayedJobs holds refused jobs that wait before they are tried again.
	delayedJobs []delayedJob
	// acceptedStarts counts the tasks that workers accepted.
	acceptedStarts int
	// lastReclaim is when slots were last reclaimed.
	lastReclaim time.Time
}

func (s *Scheduler) init() {
	if s.jobs != nil {
		return
	}
	s.policy = s.Policy.withDefaults()
	s.epoch = s.Epoch
	s.jobs = make(map[ID]*entry)
	s.internedNames = make(interner)
	s.workers = make(map[host.ID]*worker)
	s.domainCounts = make(map[domainKey]int)
	s.evicting = make(map[ID]*task)
	s.faults.policy = s.policy
}

// SetWorkers replaces the workers that may receive new work. Workers that are not among the targets keep
// their tasks.
func (s *Scheduler) SetWorkers(targets []route.Target, now time.Time) {
	s.init()
	for _, w := range s.sortedWorkers {
		w.schedulable = false
	}
	for _, target := range targets {
		w := s.ensureWorker(target.Host, now)
		w.resetProbesAfterAbsence(now)
		w.update(target)
		w.lastListed = now
	}
	s.sortedWorkers = slices.DeleteFunc(s.sortedWorkers, func(w *worker) bool { return s.removeIfUnused(w, now) })
	s.updateSlotCounts()
}

const (
	// workerRetention is how long the failures of a worker are kept after it left the list.
	workerRetention = 10 * time.Minute
	// minRebootAbsence is the absence from the list from which a worker is assumed to have been rebooted or
	// repaired. Shorter absences may be gaps in the list.
	minRebootAbsence = 20 * time.Second
)

// resetProbesAfterAbsence allows a suspected worker new probes if it was absent long enough for a reboot.
func (w *worker) resetProbesAfterAbsence(now time.Time) {
	if !w.lastListed.IsZero() && now.Sub(w.lastListed) >= minRebootAbsence {
		w.health.probes = 0
		w.health.nextProbe = now
	}
}

// removeIfUnused removes a worker that left the list and has no tasks, and reports whether it did.
func (s *Scheduler) removeIfUnused(w *worker, now time.Time) bool {
	if w.schedulable || len(w.tasks) > 0 || w.mayRunAbandoned && now.Sub(w.lastListed) < workerRetention {
		return false
	}
	if len(w.health.taskFailures) > 0 && now.Sub(w.lastListed) < workerRetention {
		return false
	}
	delete(s.workers, w.id)
	return true
}

// SetTeams replaces the teams. share is the fraction of the organisation's hosts that the pool has.
func (s *Scheduler) SetTeams(teams []config.Team, share float64) {
	s.init()
	s.backlog.setTeams(teams, share)
}

// Job returns a job as it is in memory, which may be ahead of its row.
func (s *Scheduler) Job(id ID) (Job, bool) {
	e := s.jobs[id]
	if e == nil {
		return Job{}, false
	}
	return e.job, true
}

// LoadJob replaces the in-memory state of a job by its row. A final job is removed.
func (s *Scheduler) LoadJob(j Job, now time.Time) {
	s.init()
	e := s.jobs[j.ID]
	if e == nil {
		e = &entry{}
	}
	s.internedNames.internSpec(&j.Spec)
	dispatched := e.task == nil || e.task.dispatched
	s.detachEntry(e)
	e.job = j
	e.storedCommitID = j.CommitID
	s.writeQueue.markWritten(e)
	if IsFinal(j.State) {
		s.deleteEntry(e)
		return
	}
	s.jobs[j.ID] = e
	switch {
	case j.State == StateQueued:
		s.backlog.push(e)
	case MayHaveAttempt(j.State):
		s.recoverAttempt(e, dispatched, now)
	}
}

// recoverAttempt attaches a job whose attempt may run on its worker. The worker counts as proven, because
// otherwise it would get no new work after a takeover.
func (s *Scheduler) recoverAttempt(e *entry, dispatched bool, now time.Time) {
	w := s.ensureWorker(e.job.Host, now)
	d := s.expectedDemand(e)
	t := &task{
		state: attemptChart.Initial, createdAt: now, demand: d, estimate: d.MemoryBytes,
		dispatched: dispatched, recovered: true,
	}
	s.attachTask(e, w, t)
	if len(w.health.taskFailures) == 0 {
		w.health.recordSuccess(now)
	}
	if e.job.State == StateCancelling {
		s.evict(t, evictCancel, now)
	}
}

// detachEntry detaches an entry from its worker and from the backlog.
func (s *Scheduler) detachEntry(e *entry) {
	s.backlog.remove(e)
	e.reservation.release()
	if e.task != nil {
		s.detachTask(e.task)
	}
}

func (s *Scheduler) deleteEntry(e *entry) {
	delete(s.jobs, e.job.ID)
	delete(s.faults.failedWorkers, e.job.ID)
}

func (s *Scheduler) attachTask(e *entry, w *worker, t *task) {
	t.entry, t.worker = e, w
	e.task = t
	w.addTask(t)
	s.backlog.ensureTeam(e.job.Spec.Team).running++
	s.addDomainCount(t, 1)
	s.freeSlots -= s.schedulableSlot(w)
}

func (s *Scheduler) detachTask(t *task) {
	s.freeSlots += s.schedulableSlot(t.worker)
	t.worker.removeTask(t)
	delete(s.evicting, t.entry.job.ID)
	if t.eviction == evictNone {
		s.backlog.ensureTeam(t.entry.job.Spec.Team).running--
	}
	s.addDomainCount(t, -1)
	t.entry.task = nil
}

// schedulableSlot returns 1 if the worker's free slots count as free slots of the pool, and 0 otherwise.
func (s *Scheduler) schedulableSlot(w *worker) int {
	if w.schedulable && !w.draining {
		return 1
	}
	return 0
}

func (s *Scheduler) addDomainCount(t *task, n int) {
	group := t.entry.job.Spec.UsageGroup()
	for _, domain := range []string{t.worker.place.Zone, t.worker.place.Rack} {
		key := domainKey{group, domain}
		s.domainCounts[key] += n
		if s.domainCounts[key] <= 0 {
			delete(s.domainCounts, key)
		}
	}
}

func (s *Scheduler) ensureWorker(id host.ID, now time.Time) *worker {
	w := s.workers[id]
	if w == nil {
		w = &worker{id: id, lastAnswer: now}
		s.workers[id] = w
		s.sortedWorkers = insertWorker(s.sortedWorkers, w)
	}
	return w
}

// insertWorker inserts a worker and keeps the list sorted by ID.
func insertWorker(sorted []*worker, w *worker) []*worker {
	i := sort.Search(len(sorted), func(i int) bool { return sorted[i].id >= w.id })
	return slices.Insert(sorted, i, w)
}

// updateSlotCounts recounts the slots and the largest capacity of the workers that may receive new work.
func (s *Scheduler) updateSlotCounts() {
	s.schedulableWorkers, s.totalSlots, s.freeSlots, s.largestCapacity = 0, 0, 0, Demand{}
	for _, w := range s.sortedWorkers {
		if !w.schedulable || w.draining {
			continue
		}
		s.schedulableWorkers++
		s.totalSlots += s.taskSlots(w)
		s.freeSlots += s.taskSlots(w) - len(w.tasks)
		capacity := s.taskCapacity(w)
		s.largestCapacity.Cores = math.Max(s.largestCapacity.Cores, capacity.Cores)
		s.largestCapacity.MemoryBytes = max(s.largestCapacity.MemoryBytes, capacity.MemoryBytes)
	}
}
