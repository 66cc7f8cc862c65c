package job

import (
	"math"
	"time"
)

// lookahead bounds the jobs of one lane that are tried after one that fits nowhere.
const lookahead = 4

// spreadKey names a group in a rack or an availability zone.
type spreadKey struct {
	group  string
	domain string
}

// pass is the state of one round of placement.
type pass struct {
	now time.Time
	// unfit holds groups that fit nowhere in this round.
	unfit map[string]bool
	skip  map[*team]bool
}

// Place chooses workers for up to limit waiting jobs and returns how many it
// placed. Their attempts are pending writes until Committed.
func (s *Scheduler) Place(now time.Time, limit int) int {
	s.init()
	s.takeUp(now)
	if s.backlog.waiting == 0 || s.open == 0 {
		return 0
	}
	placed := s.placeUrgent(now, limit)
	if s.backlog.urgent > 0 {
		s.makeRoom(now)
	}
	if s.free > s.reserved() {
		placed += s.placeTeams(now, limit-placed, workLanes)
	} else {
		s.blockAll(now)
	}
	s.takeBack(now)
	return placed
}

func urgentLanes(t *team) []*lane { return []*lane{&t.urgent} }

func workLanes(t *team) []*lane { return []*lane{&t.failed, &t.retries, &t.normal} }

func (s *Scheduler) placeUrgent(now time.Time, limit int) int {
	if s.backlog.urgent == 0 {
		return 0
	}
	return s.placeTeams(now, limit, urgentLanes)
}

func (s *Scheduler) placeTeams(now time.Time, limit int, lanes func(*team) []*lane) int {
	p := pass{now: now, unfit: make(map[string]bool), skip: make(map[*team]bool)}
	placed := 0
	for placed < limit {
		t := s.backlog.next(p.skip)
		if t == nil {
			return placed
		}
		if s.placeOne(p, lanes(t)) {
			placed++
			t.blocked = time.Time{}
			continue
		}
		p.skip[t] = true
		t.block(now)
	}
	return placed
}

// blockAll notes that no team finds room.
func (s *Scheduler) blockAll(now time.Time) {
	for _, t := range s.backlog.list {
		if t.waiting > 0 {
			t.block(now)
		}
	}
}

// block notes that a team found no room.
func (t *team) block(now time.Time) {
	if !t.below() {
		t.blocked = time.Time{}
	} else if t.blocked.IsZero() {
		t.blocked = now
	}
}

func (s *Scheduler) placeOne(p pass, lanes []*lane) bool {
	for _, l := range lanes {
		for _, e := range l.first(lookahead) {
			if s.free <= s.reserved() && !e.job.Spec.Urgent {
				return false
			}
			if s.placeEntry(p, e) {
				return true
			}
		}
	}
	return false
}

func (s *Scheduler) placeEntry(p pass, e *entry) bool {
	fresh := len(e.job.Failures) == 0 && e.floor == 0
	group := e.job.Spec.Group()
	if fresh && p.unfit[group] {
		return false
	}
	d := s.demand(e)
	w := s.choose(e, d, p.now)
	if w == nil {
		p.unfit[group] = p.unfit[group] || fresh
		return false
	}
	s.start(e, w, d, p.now)
	return true
}

// reserved is the number of slots that only urgent work may take.
func (s *Scheduler) reserved() int {
	return max(1, int(math.Ceil(s.policy.UrgentShare*float64(s.total))))
}

// demand returns what a job is expected to use, at most what the largest
// worker gives to tasks: a declared size that fits nowhere is tried there.
func (s *Scheduler) demand(e *entry) Demand {
	spec := e.job.Spec
	if s.policy.Method != MethodLearned {
		return Demand{Cores: float64(spec.Cores), MemoryBytes: spec.MemoryBytes, Learnt: true}
	}
	d := s.usage.Estimate(spec)
	d.Cores = math.Min(d.Cores, s.largest.Cores)
	d.MemoryBytes = min(max(d.MemoryBytes, e.floor), s.largest.MemoryBytes)
	return d
}

// maxCandidates bounds the workers with room that are compared for one job, so
// that the cost of a placement does not grow with the pool.
const maxCandidates = 64

// choose returns the best worker for a job, or nil. Each search begins where the last ended.
func (s *Scheduler) choose(e *entry, d Demand, now time.Time) *worker {
	var best *worker
	var bestScore float64
	group := e.job.Spec.Group()
	candidates := 0
	if s.policy.Method != MethodLearned {
		s.cursor = 0
	}
	for range s.order {
		w := s.order[s.cursor%len(s.order)]
		s.cursor = (s.cursor + 1) % len(s.order)
		if !s.fits(w, d, e) || now.Before(w.backoff) || !s.suspicion.allows(w, e, now) {
			continue
		}
		if s.policy.Method == MethodFirstFit {
			return w
		}
		score := s.score(w, d, group)
		if e.careful() && !w.reliable() {
			score -= scoreTrust
		} else {
			candidates++
		}
		if best == nil || score > bestScore {
			best, bestScore = w, score
		}
		if candidates >= maxCandidates {
			return best
		}
	}
	return best
}

// maxUnlearnt bounds the tasks of a worker whose usage is a guess, but for urgent ones.
const maxUnlearnt = 2

// fits reports whether a worker has room for a job, beside what others have claimed.
func (s *Scheduler) fits(w *worker, d Demand, e *entry) bool {
	claims, claimed := w.claims, w.claimed
	if e.claim.worker == w {
		claims--
		claimed.Cores -= e.claim.demand.Cores
		claimed.MemoryBytes -= e.claim.demand.MemoryBytes
	}
	if !w.open || w.draining || len(w.tasks)+claims >= s.slots(w) {
		return false
	}
	room := s.room(w)
	cores := w.demand.Cores + claimed.Cores + d.Cores
	memory := w.demand.MemoryBytes + claimed.MemoryBytes + d.MemoryBytes
	if cores > room.Cores || memory > room.MemoryBytes {
		return false
	}
	return d.Learnt || e.job.Spec.Urgent || w.unlearnt() < maxUnlearnt
}

// room is what a worker gives to all its tasks together.
func (s *Scheduler) room(w *worker) Demand {
	if s.policy.Method != MethodLearned {
		return Demand{Cores: float64(w.capacity.Cores), MemoryBytes: w.capacity.MemoryBytes}
	}
	return Demand{
		Cores:       s.policy.CoreShare * float64(w.capacity.Cores),
		MemoryBytes: int64(s.policy.MemoryShare * float64(w.capacity.MemoryBytes)),
	}
}

// slots is the number of tasks that a worker may hold.
func (s *Scheduler) slots(w *worker) int {
	return max(0, w.capacity.Slots-s.policy.RequestSlots)
}

// unlearnt counts the tasks whose demand rests on the declared size.
func (w *worker) unlearnt() int {
	n := 0
	for _, t := range w.tasks {
		if !t.demand.Learnt {
			n++
		}
	}
	return n
}

const (
	// scoreTrust is lost where a careful job meets a worker that is not reliable; it outweighs all else.
	scoreTrust = 1e6
	// scoreZone and scoreRack are lost for each task of the group in the same failure domain.
	scoreZone = 10
	scoreRack = 3
)

// score rates a worker for a job; the highest is chosen. Failure domains
// without the group's tasks come first, then the fullest worker.
func (s *Scheduler) score(w *worker, d Demand, group string) float64 {
	room := s.room(w)
	cores := (w.demand.Cores + d.Cores) / room.Cores
	memory := float64(w.demand.MemoryBytes+d.MemoryBytes) / float64(room.MemoryBytes)
	score := math.Max(cores, memory)
	if s.policy.Method != MethodLearned {
		return score
	}
	score -= scoreZone * float64(s.spread[spreadKey{group, w.place.Zone}])
	score -= scoreRack * float64(s.spread[spreadKey{group, w.place.Rack}])
	return score
}

// careful reports whether a job failed before, or must not run twice.
func (e *entry) careful() bool {
	return len(e.job.Failures) > 0 || !e.job.Spec.Idempotent
}

// reliable reports whether a worker ran a job well and failed none since.
func (w *worker) reliable() bool {
	return !w.record.proved.IsZero() && len(w.record.evidence) == 0
}

// start commits a job to a worker. The attempt is written before the worker hears of it.
func (s *Scheduler) start(e *entry, w *worker, d Demand, now time.Time) {
	next, err := e.job.WithStart(w.id, s.epoch)
	if err != nil {
		return
	}
	s.suspicion.probe(w, now)
	s.backlog.remove(e)
	e.claim.drop()
	e.job = next
	s.attach(e, w, &task{state: attemptChart.Initial, since: now, demand: d, estimate: d.MemoryBytes})
	s.write(e)
}
