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

	policy    Policy
	epoch     uint64
	jobs      map[ID]*entry
	workers   map[host.ID]*worker
	backlog   backlog
	usage     Usage
	suspicion suspicion
	ledger    ledger
	// order holds the workers by ID, so that equal choices fall the same way.
	order []*worker
	// cursor is where in order the next search begins.
	cursor int
	// spread counts the tasks of a group by rack and by availability zone.
	spread map[spreadKey]int
	// leaving holds the tasks that must go.
	leaving map[ID]*task
	// open counts the workers that may receive new work; total and free count their task slots.
	open, total, free int
	// largest is the most that one open worker gives to tasks.
	largest Demand
	notices []Notice
	names   interner
	// delayed holds refused jobs that wait for their next try.
	delayed []delay
	// started counts the tasks that workers accepted.
	started int
	// tookBack is when slots were last taken back.
	tookBack time.Time
}

func (s *Scheduler) init() {
	if s.jobs != nil {
		return
	}
	s.policy = s.Policy.withDefaults()
	s.epoch = s.Epoch
	s.jobs = make(map[ID]*entry)
	s.names = make(interner)
	s.workers = make(map[host.ID]*worker)
	s.spread = make(map[spreadKey]int)
	s.leaving = make(map[ID]*task)
	s.suspicion.policy = s.policy
}

// SetWorkers replaces the workers that may receive new work. Workers that are
// not among the targets keep the tasks that they have.
func (s *Scheduler) SetWorkers(targets []route.Target, now time.Time) {
	s.init()
	for _, w := range s.order {
		w.open = false
	}
	for _, target := range targets {
		w := s.worker(target.Host, now)
		w.returns(now)
		w.update(target)
		w.listed = now
	}
	s.order = slices.DeleteFunc(s.order, func(w *worker) bool { return s.dropWorker(w, now) })
	s.count()
}

const (
	// forgetWorker is how long the failures of a worker that left are kept.
	forgetWorker = 10 * time.Minute
	// rebootAbsence is how long a worker stays away when it is rebooted or repaired, and not only missing in a list.
	rebootAbsence = 20 * time.Second
)

// returns gives a suspected worker new probes if it was away for a while.
func (w *worker) returns(now time.Time) {
	if !w.listed.IsZero() && now.Sub(w.listed) >= rebootAbsence {
		w.record.probes = 0
		w.record.nextProbe = now
	}
}

// dropWorker forgets a worker that left, and reports whether it did.
func (s *Scheduler) dropWorker(w *worker, now time.Time) bool {
	if w.open || len(w.tasks) > 0 || w.strays && now.Sub(w.listed) < forgetWorker {
		return false
	}
	if len(w.record.evidence) > 0 && now.Sub(w.listed) < forgetWorker {
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

// Put takes over a job from its row. A final job is forgotten.
func (s *Scheduler) Put(j Job, now time.Time) {
	s.init()
	e := s.jobs[j.ID]
	if e == nil {
		e = &entry{}
	}
	s.names.spec(&j.Spec)
	dispatched := e.task == nil || e.task.dispatched
	s.release(e)
	e.job = j
	e.base = j.Commit
	s.ledger.clean(e)
	if Final(j.State) {
		s.forget(e)
		return
	}
	s.jobs[j.ID] = e
	switch {
	case j.State == StateQueued:
		s.backlog.push(e)
	case OnWorker(j.State):
		s.resume(e, dispatched, now)
	}
}

// resume attaches a job whose attempt may be on its worker. The worker counts as
// proved, so that a takeover does not keep new work from it.
func (s *Scheduler) resume(e *entry, dispatched bool, now time.Time) {
	w := s.worker(e.job.Host, now)
	d := s.demand(e)
	t := &task{
		state: attemptChart.Initial, since: now, demand: d, estimate: d.MemoryBytes,
		dispatched: dispatched, resumed: true,
	}
	s.attach(e, w, t)
	if len(w.record.evidence) == 0 {
		w.record.prove(now)
	}
	if e.job.State == StateCancelling {
		s.leave(t, leaveCancel, now)
	}
}

// release detaches an entry from its worker and from the backlog.
func (s *Scheduler) release(e *entry) {
	s.backlog.remove(e)
	e.claim.drop()
	if e.task != nil {
		s.detach(e.task)
	}
}

func (s *Scheduler) forget(e *entry) {
	delete(s.jobs, e.job.ID)
	delete(s.suspicion.failed, e.job.ID)
}

func (s *Scheduler) attach(e *entry, w *worker, t *task) {
	t.job, t.worker = e, w
	e.task = t
	w.add(t)
	s.backlog.team(e.job.Spec.Team).running++
	s.countSpread(t, 1)
	s.free -= s.occupied(w)
}

func (s *Scheduler) detach(t *task) {
	s.free += s.occupied(t.worker)
	t.worker.remove(t)
	delete(s.leaving, t.job.job.ID)
	if t.leave == leaveNone {
		s.backlog.team(t.job.job.Spec.Team).running--
	}
	s.countSpread(t, -1)
	t.job.task = nil
}

// occupied is 1 if the worker's slots count as free ones of the pool.
func (s *Scheduler) occupied(w *worker) int {
	if w.open && !w.draining {
		return 1
	}
	return 0
}

func (s *Scheduler) countSpread(t *task, n int) {
	group := t.job.job.Spec.Group()
	for _, domain := range []string{t.worker.place.Zone, t.worker.place.Rack} {
		key := spreadKey{group, domain}
		s.spread[key] += n
		if s.spread[key] <= 0 {
			delete(s.spread, key)
		}
	}
}

func (s *Scheduler) worker(id host.ID, now time.Time) *worker {
	w := s.workers[id]
	if w == nil {
		w = &worker{id: id, contact: now}
		s.workers[id] = w
		s.order = insert(s.order, w)
	}
	return w
}

// insert keeps the workers sorted by ID.
func insert(order []*worker, w *worker) []*worker {
	i := sort.Search(len(order), func(i int) bool { return order[i].id >= w.id })
	return slices.Insert(order, i, w)
}

// count sums the slots of the workers that may receive new work.
func (s *Scheduler) count() {
	s.open, s.total, s.free, s.largest = 0, 0, 0, Demand{}
	for _, w := range s.order {
		if !w.open || w.draining {
			continue
		}
		s.open++
		s.total += s.slots(w)
		s.free += s.slots(w) - len(w.tasks)
		room := s.room(w)
		s.largest.Cores = math.Max(s.largest.Cores, room.Cores)
		s.largest.MemoryBytes = max(s.largest.MemoryBytes, room.MemoryBytes)
	}
}
