package job

import (
	"math"
	"time"
)

// maxLookahead is the maximum number of jobs at the front of one list that are tried in a round. It keeps a
// job that fits nowhere from blocking those behind it.
const maxLookahead = 4

// domainKey identifies a usage group in a failure domain, which is a rack or an availability zone.
type domainKey struct {
	group  string
	domain string
}

// placementRound is the state of one round of placement.
type placementRound struct {
	now time.Time
	// unplaceableGroups holds usage groups for which no worker has room in this round.
	unplaceableGroups map[string]bool
	skippedTeams      map[*team]bool
}

// PlaceJobs chooses workers for up to limit waiting jobs and returns the number of jobs placed. The attempts
// start once HandleCommitted confirms their rows.
func (s *Scheduler) PlaceJobs(now time.Time, limit int) int {
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

func (s *Scheduler) placeByTeam(now time.Time, limit int, lists func(*team) []*waitList) int {
	round := placementRound{now: now, unplaceableGroups: make(map[string]bool), skippedTeams: make(map[*team]bool)}
	placed := 0
	for placed < limit {
		t := s.backlog.nextTeam(round.skippedTeams)
		if t == nil {
			return placed
		}
		if s.placeNext(round, lists(t)) {
			placed++
			t.blockedSince = time.Time{}
			continue
		}
		round.skippedTeams[t] = true
		t.markBlocked(now)
	}
	return placed
}

// markAllBlocked marks all waiting teams as blocked.
func (s *Scheduler) markAllBlocked(now time.Time) {
	for _, t := range s.backlog.sortedTeams {
		if t.waiting > 0 {
			t.markBlocked(now)
		}
	}
}

// markBlocked records that no slot was free for the team. Only teams below their guarantee count as blocked.
func (t *team) markBlocked(now time.Time) {
	if !t.isBelowGuarantee() {
		t.blockedSince = time.Time{}
	} else if t.blockedSince.IsZero() {
		t.blockedSince = now
	}
}

func (s *Scheduler) placeNext(round placementRound, lists []*waitList) bool {
	for _, list := range lists {
		for _, e := range list.peek(maxLookahead) {
			if s.freeSlots <= s.reservedSlots() && !e.job.Spec.Urgent {
				return false
			}
			if s.tryPlace(round, e) {
				return true
			}
		}
	}
	return false
}

func (s *Scheduler) tryPlace(round placementRound, e *entry) bool {
	unconstrained := len(e.job.Failures) == 0 && e.minMemory == 0
	group := e.job.Spec.UsageGroup()
	if unconstrained && round.unplaceableGroups[group] {
		return false
	}
	d := s.expectedDemand(e)
	w := s.chooseWorker(e, d, round.now)
	if w == nil {
		round.unplaceableGroups[group] = round.unplaceableGroups[group] || unconstrained
		return false
	}
	s.startAttempt(e, w, d, round.now)
	return true
}

// reservedSlots returns the number of slots that only urgent jobs may take.
func (s *Scheduler) reservedSlots() int {
	return max(1, int(math.Ceil(s.policy.UrgentShare*float64(s.totalSlots))))
}

// expectedDemand returns the expected resource usage of a job, bounded by the capacity of the largest worker.
// A job whose declared size exceeds every worker is thus tried on the largest.
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

// maxCandidates bounds the workers with room that are scored for one job, so that the cost of a placement
// does not grow with the pool.
const maxCandidates = 64

// chooseWorker returns the best worker for a job, or nil. With MethodLearned each search begins where the
// previous one ended.
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
		if !s.hasRoomFor(w, d, e) || now.Before(w.backoffUntil) || !s.faults.mayReceive(w, e, now) {
			continue
		}
		if s.policy.Method == MethodFirstFit {
			return w
		}
		score := s.scoreWorker(w, d, group)
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

// maxUnlearntTasks bounds the tasks per worker whose demand is estimated from the declared size. Urgent jobs
// are exempt.
const maxUnlearntTasks = 2

// hasRoomFor reports whether a worker has room for a job in addition to its tasks and the reservations of
// other jobs.
func (s *Scheduler) hasRoomFor(w *worker, d Demand, e *entry) bool {
	reservations, reserved := w.reservations, w.reservedDemand
	if e.reservation.worker == w {
		reservations--
		reserved.Cores -= e.reservation.demand.Cores
		reserved.MemoryBytes -= e.reservation.demand.MemoryBytes
	}
	if !w.schedulable || w.draining || len(w.tasks)+reservations >= s.taskSlots(w) {
		return false
	}
	capacity := s.taskCapacity(w)
	cores := w.demand.Cores + reserved.Cores + d.Cores
	memory := w.demand.MemoryBytes + reserved.MemoryBytes + d.MemoryBytes
	if cores > capacity.Cores || memory > capacity.MemoryBytes {
		return false
	}
	return d.Learnt || e.job.Spec.Urgent || w.unlearntTaskCount() < maxUnlearntTasks
}

// taskCapacity returns the resources of a worker that are available to all its tasks together.
func (s *Scheduler) taskCapacity(w *worker) Demand {
	if s.policy.Method != MethodLearned {
		return Demand{Cores: float64(w.capacity.Cores), MemoryBytes: w.capacity.MemoryBytes}
	}
	return Demand{
		Cores:       s.policy.CoreShare * float64(w.capacity.Cores),
		MemoryBytes: int64(s.policy.MemoryShare * float64(w.capacity.MemoryBytes)),
	}
}

// taskSlots returns the number of tasks that a worker may hold.
func (s *Scheduler) taskSlots(w *worker) int {
	return max(0, w.capacity.Slots-s.policy.RequestSlots)
}

// unlearntTaskCount returns the number of tasks whose demand is estimated from the declared size.
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
	// unreliablePenalty applies where a job that needs a reliable worker meets another one. It outweighs all
	// other terms of the score.
	unreliablePenalty = 1e6
	// sameZonePenalty and sameRackPenalty apply for each task of the same usage group in the same failure
	// domain.
	sameZonePenalty = 10
	sameRackPenalty = 3
)

// scoreWorker rates a worker for a job; the highest score wins. Failure domains with fewer tasks of the usage
// group are preferred, then the worker with the highest utilisation.
func (s *Scheduler) scoreWorker(w *worker, d Demand, group string) float64 {
	capacity := s.taskCapacity(w)
	cores := (w.demand.Cores + d.Cores) / capacity.Cores
	memory := float64(w.demand.MemoryBytes+d.MemoryBytes) / float64(capacity.MemoryBytes)
	score := math.Max(cores, memory)
	if s.policy.Method != MethodLearned {
		return score
	}
	score -= sameZonePenalty * float64(s.domainCounts[domainKey{group, w.place.Zone}])
	score -= sameRackPenalty * float64(s.domainCounts[domainKey{group, w.place.Rack}])
	return score
}

// needsReliableWorker reports whether a job failed before or must not run twice.
func (e *entry) needsReliableWorker() bool {
	return len(e.job.Failures) > 0 || !e.job.Spec.Idempotent
}

// isReliable reports whether a worker ran a task successfully and has failed none since.
func (w *worker) isReliable() bool {
	return !w.health.lastSuccessStart.IsZero() && len(w.health.taskFailures) == 0
}

// startAttempt assigns a job to a worker. The attempt is committed to the store before the worker is told to
// start it.
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
