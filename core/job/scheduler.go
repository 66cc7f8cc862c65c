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

// Scheduler holds the jobs of one pool in memory and decides about them. Its
// owner calls it from one goroutine, commits what Pending returns and carries
// out what Commands returns. A zero Scheduler with Pool and Epoch set works.
type Scheduler struct {
	// Pool is the full name of the pool.
	Pool string
	// Epoch is the epoch of the pool's duty holder, written into every attempt.
	Epoch uint64
	// Policy holds the numbers that decide; zero fields have defaults.
	Policy Policy

	policy     Policy
	epoch      uint64
	jobs       map[ID]*entry
	workers    map[host.ID]*worker
	backlog    backlog
	usage      Usage
	faults     faultTracker
	writeQueue writeQueue
	// sortedWorkers holds the workers by ID, so that equal choices fall the same way.
	sortedWorkers []*worker
	// searchStart is where in order the next search begins.
	searchStart int
	// domainCounts counts the tasks of a group by rack and by availability zone.
	domainCounts map[domainKey]int
	// evicting holds the tasks that must go.
	evicting map[ID]*task
	// schedulableWorkers counts the workers that may receive new work; total and free count their task slots.
	schedulableWorkers, totalSlots, freeSlots int
	// largestCapacity is the most that one open worker gives to tasks.
	largestCapacity Demand
	notices         []Notice
	internedNames   interner
	// delayedJobs holds refused jobs that wait for their next try.
	delayedJobs []delayedJob
	// acceptedStarts counts the tasks that workers accepted.
	acceptedStarts int
	// lastReclaim is when slots were last taken back.
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

// SetWorkers replaces the workers that may receive new work. Workers that are
// not among the targets keep the tasks that they have.
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
	// workerRetention is how long the failures of a worker that left are kept.
	workerRetention = 10 * time.Minute
	// minRebootAbsence is how long a worker stays away when it is rebooted or repaired, and not only missing in a list.
	minRebootAbsence = 20 * time.Second
)

// resetProbesAfterAbsence gives a suspected worker new probes if it was away for a while.
func (w *worker) resetProbesAfterAbsence(now time.Time) {
	if !w.lastListed.IsZero() && now.Sub(w.lastListed) >= minRebootAbsence {
		w.health.probes = 0
		w.health.nextProbe = now
	}
}

// removeIfUnused forgets a worker that left, and reports whether it did.
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

// SetTeams replaces the teams. share is the pool's part of its organisation's hosts.
func (s *Scheduler) SetTeams(teams []config.Team, share float64) {
	s.init()
	s.backlog.setTeams(teams, share)
}

// Job returns a job as it stands in memory, which may be ahead of its row.
func (s *Scheduler) Job(id ID) (Job, bool) {
	e := s.jobs[id]
	if e == nil {
		return Job{}, false
	}
	return e.job, true
}

// LoadJob takes over a job from its row. A final job is forgotten.
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

// recoverAttempt attaches a job whose attempt may be on its worker. The worker counts as
// proved, so that a takeover does not keep new work from it.
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

// schedulableSlot is 1 if the worker's slots count as free ones of the pool.
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

// insertWorker keeps the workers sorted by ID.
func insertWorker(order []*worker, w *worker) []*worker {
	i := sort.Search(len(order), func(i int) bool { return order[i].id >= w.id })
	return slices.Insert(order, i, w)
}

// updateSlotCounts sums the slots of the workers that may receive new work.
func (s *Scheduler) updateSlotCounts() {
	s.schedulableWorkers, s.totalSlots, s.freeSlots, s.largestCapacity = 0, 0, 0, Demand{}
	for _, w := range s.sortedWorkers {
		if !w.schedulable || w.draining {
			continue
		}
		s.schedulableWorkers++
		s.totalSlots += s.taskSlots(w)
		s.freeSlots += s.taskSlots(w) - len(w.tasks)
		room := s.taskCapacity(w)
		s.largestCapacity.Cores = math.Max(s.largestCapacity.Cores, room.Cores)
		s.largestCapacity.MemoryBytes = max(s.largestCapacity.MemoryBytes, room.MemoryBytes)
	}
}
