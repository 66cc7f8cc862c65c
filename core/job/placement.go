package job

import (
	"math"
	"time"
)

// lookahead bounds the jobs of one lane that are tried after one that fits nowhere.
const lookahead = 4

// domainKey names a group in a rack or an availability zone.
type domainKey struct {
	group  string
	domain string
}

// placementRound is the state of one round of placement.
type placementRound struct {
	now time.Time
	// unplaceableGroups holds groups that fit nowhere in this round.
	unplaceableGroups map[string]bool
	skippedTeams      map[*team]bool
}

// Place chooses workers for up to limit waiting jobs and returns how many it
// placed. Their attempts are pending writes until Committed.
func (s *Scheduler) Place(now time.Time, limit int) int {
	s.init()
	s.requeueDelayed(now)
	if s.backlog.waiting == 0 || s.schedulableWorkers == 0 {
		return 0
	}
	placed := s.placeUrgent(now, limit)
	if s.backlog.urgent > 0 {
		s.reserveForUrgent(now)
	}
	if s.freeSlots > s.reservedSlots() {
		placed += s.placeByTeam(now, limit-placed, regularLists)
	} else {
		s.markAllBlocked(now)
	}
	s.reclaimSlots(now)
	return placed
}

func urgentLists(t *team) []*waitList { return []*waitList{&t.urgent} }

func regularLists(t *team) []*waitList { return []*waitList{&t.failed, &t.retries, &t.normal} }

func (s *Scheduler) placeUrgent(now time.Time, limit int) int {
	if s.backlog.urgent == 0 {
		return 0
	}
	return s.placeByTeam(now, limit, urgentLists)
}

func (s *Scheduler) placeByTeam(now time.Time, limit int, lanes func(*team) []*waitList) int {
	p := placementRound{now: now, unplaceableGroups: make(map[string]bool), skippedTeams: make(map[*team]bool)}
	placed := 0
	for placed < limit {
		t := s.backlog.nextTeam(p.skippedTeams)
		if t == nil {
			return placed
		}
		if s.placeOne(p, lanes(t)) {
			placed++
			t.blockedSince = time.Time{}
			continue
		}
		p.skippedTeams[t] = true
		t.markBlocked(now)
	}
	return placed
}

// markAllBlocked notes that no team finds room.
func (s *Scheduler) markAllBlocked(now time.Time) {
	for _, t := range s.backlog.sortedTeams {
		if t.waiting > 0 {
			t.markBlocked(now)
		}
	}
}

// markBlocked notes that a team found no room.
func (t *team) markBlocked(now time.Time) {
	if !t.isBelowGuarantee() {
		t.blockedSince = time.Time{}
	} else if t.blockedSince.IsZero() {
		t.blockedSince = now
	}
}

func (s *Scheduler) placeOne(p placementRound, lanes []*waitList) bool {
	for _, l := range lanes {
		for _, e := range l.peek(lookahead) {
			if s.freeSlots <= s.reservedSlots() && !e.job.Spec.Urgent {
				return false
			}
			if s.placeEntry(p, e) {
				return true
			}
		}
	}
	return false
}

func (s *Scheduler) placeEntry(p placementRound, e *entry) bool {
	fresh := len(e.job.Failures) == 0 && e.minMemory == 0
	group := e.job.Spec.UsageGroup()
	if fresh && p.unplaceableGroups[group] {
		return false
	}
	d := s.expectedDemand(e)
	w := s.chooseWorker(e, d, p.now)
	if w == nil {
		p.unplaceableGroups[group] = p.unplaceableGroups[group] || fresh
		return false
	}
	s.startAttempt(e, w, d, p.now)
	return true
}

// reservedSlots is the number of slots that only urgent work may take.
func (s *Scheduler) reservedSlots() int {
	return max(1, int(math.Ceil(s.policy.UrgentShare*float64(s.totalSlots))))
}

// expectedDemand returns what a job is expected to use, at most what the largest
// worker gives to tasks: a declared size that fits nowhere is tried there.
func (s *Scheduler) expectedDemand(e *entry) Demand {
	spec := e.job.Spec
	if s.policy.Method != MethodLearned {
		return Demand{Cores: float64(spec.Cores), MemoryBytes: spec.MemoryBytes, Learnt: true}
	}
	d := s.usage.Estimate(spec)
	d.Cores = math.Min(d.Cores, s.largestCapacity.Cores)
	d.MemoryBytes = min(max(d.MemoryBytes, e.minMemory), s.largestCapacity.MemoryBytes)
	return d
}

// maxCandidates bounds the workers with room that are compared for one job, so
// that the cost of a placement does not grow with the pool.
const maxCandidates = 64

// chooseWorker returns the best worker for a job, or nil. Each search begins where the last ended.
func (s *Scheduler) chooseWorker(e *entry, d Demand, now time.Time) *worker {
	var best *worker
	var bestScore float64
	group := e.job.Spec.UsageGroup()
	candidates := 0
	if s.policy.Method != MethodLearned {
		s.searchStart = 0
	}
	for range s.sortedWorkers {
		w := s.sortedWorkers[s.searchStart%len(s.sortedWorkers)]
		s.searchStart = (s.searchStart + 1) % len(s.sortedWorkers)
		if !s.fits(w, d, e) || now.Before(w.backoffUntil) || !s.faults.allows(w, e, now) {
			continue
		}
		if s.policy.Method == MethodFirstFit {
			return w
		}
		score := s.score(w, d, group)
		if e.needsReliableWorker() && !w.isReliable() {
			score -= unreliablePenalty
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

// maxUnlearntTasks bounds the tasks of a worker whose usage is a guess, but for urgent ones.
const maxUnlearntTasks = 2

// fits reports whether a worker has room for a job, beside what others have claimed.
func (s *Scheduler) fits(w *worker, d Demand, e *entry) bool {
	claims, claimed := w.reservations, w.reservedDemand
	if e.reservation.worker == w {
		claims--
		claimed.Cores -= e.reservation.demand.Cores
		claimed.MemoryBytes -= e.reservation.demand.MemoryBytes
	}
	if !w.schedulable || w.draining || len(w.tasks)+claims >= s.taskSlots(w) {
		return false
	}
	room := s.taskCapacity(w)
	cores := w.demand.Cores + claimed.Cores + d.Cores
	memory := w.demand.MemoryBytes + claimed.MemoryBytes + d.MemoryBytes
	if cores > room.Cores || memory > room.MemoryBytes {
		return false
	}
	return d.Learnt || e.job.Spec.Urgent || w.unlearntTaskCount() < maxUnlearntTasks
}

// taskCapacity is what a worker gives to all its tasks together.
func (s *Scheduler) taskCapacity(w *worker) Demand {
	if s.policy.Method != MethodLearned {
		return Demand{Cores: float64(w.capacity.Cores), MemoryBytes: w.capacity.MemoryBytes}
	}
	return Demand{
		Cores:       s.policy.CoreShare * float64(w.capacity.Cores),
		MemoryBytes: int64(s.policy.MemoryShare * float64(w.capacity.MemoryBytes)),
	}
}

// taskSlots is the number of tasks that a worker may hold.
func (s *Scheduler) taskSlots(w *worker) int {
	return max(0, w.capacity.Slots-s.policy.RequestSlots)
}

// unlearntTaskCount counts the tasks whose demand rests on the declared size.
func (w *worker) unlearntTaskCount() int {
	n := 0
	for _, t := range w.tasks {
		if !t.demand.Learnt {
			n++
		}
	}
	return n
}

const (
	// unreliablePenalty is lost where a careful job meets a worker that is not reliable; it outweighs all else.
	unreliablePenalty = 1e6
	// sameZonePenalty and sameRackPenalty are lost for each task of the group in the same failure domain.
	sameZonePenalty = 10
	sameRackPenalty = 3
)

// score rates a worker for a job; the highest is chosen. Failure domains
// without the group's tasks come first, then the fullest worker.
func (s *Scheduler) score(w *worker, d Demand, group string) float64 {
	room := s.taskCapacity(w)
	cores := (w.demand.Cores + d.Cores) / room.Cores
	memory := float64(w.demand.MemoryBytes+d.MemoryBytes) / float64(room.MemoryBytes)
	score := math.Max(cores, memory)
	if s.policy.Method != MethodLearned {
		return score
	}
	score -= sameZonePenalty * float64(s.domainCounts[domainKey{group, w.place.Zone}])
	score -= sameRackPenalty * float64(s.domainCounts[domainKey{group, w.place.Rack}])
	return score
}

// needsReliableWorker reports whether a job failed before, or must not run twice.
func (e *entry) needsReliableWorker() bool {
	return len(e.job.Failures) > 0 || !e.job.Spec.Idempotent
}

// isReliable reports whether a worker ran a job well and failed none since.
func (w *worker) isReliable() bool {
	return !w.health.lastSuccessStart.IsZero() && len(w.health.taskFailures) == 0
}

// startAttempt commits a job to a worker. The attempt is written before the worker hears of it.
func (s *Scheduler) startAttempt(e *entry, w *worker, d Demand, now time.Time) {
	next, err := e.job.WithStart(w.id, s.epoch)
	if err != nil {
		return
	}
	s.faults.recordProbe(w, now)
	s.backlog.remove(e)
	e.reservation.release()
	e.job = next
	s.attachTask(e, w, &task{state: attemptChart.Initial, createdAt: now, demand: d, estimate: d.MemoryBytes})
	s.markDirty(e)
}
