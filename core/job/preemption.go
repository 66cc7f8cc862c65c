package job

import "time"

const (
	// reclaimDelay is how long a team below its guarantee waits before lent slots are reclaimed.
	reclaimDelay = 5 * time.Second
	// reclaimInterval is the interval between two rounds of reclaiming.
	reclaimInterval = time.Second
	// maxReservationsPerRound bounds the urgent jobs for which one round reserves capacity.
	maxReservationsPerRound = 64
	// reservationTimeout is how long a reservation is kept on a worker from which no task is being evicted.
	reservationTimeout = 3 * time.Second
)

// reservation is the capacity that is reserved on a worker for a waiting urgent job.
type reservation struct {
	worker *worker
	demand Demand
	since  time.Time
}

// release returns the reserved capacity to the worker. It is also called when the job takes the capacity.
func (r *reservation) release() {
	if r.worker == nil {
		return
	}
	r.worker.reservations--
	r.worker.reservedDemand.Cores -= r.demand.Cores
	r.worker.reservedDemand.MemoryBytes -= r.demand.MemoryBytes
	*r = reservation{}
}

// reserveForUrgent reserves capacity for urgent jobs that found no room. Other tasks are throttled where that
// suffices, and evicted otherwise.
func (s *Scheduler) reserveForUrgent(now time.Time) {
	attempted := 0
	for _, t := range s.backlog.sortedTeams {
		for _, e := range t.urgent.peek(maxReservationsPerRound) {
			if attempted == maxReservationsPerRound {
				return
			}
			if e.reservation.worker != nil && s.retainReservation(e, now) {
				continue
			}
			attempted++
			s.reserveWorker(e, now)
		}
	}
}

// retainReservation reports whether the reserved worker can still take the job. If not, it releases the
// reservation.
func (s *Scheduler) retainReservation(e *entry, now time.Time) bool {
	w := e.reservation.worker
	pending := now.Sub(e.reservation.since) < reservationTimeout || w.hasEvictions()
	if pending && w.schedulable && !w.draining && !now.Before(w.backoffUntil) && s.faults.mayReceive(w, e, now) {
		return true
	}
	e.reservation.release()
	return false
}

func (s *Scheduler) reserveWorker(e *entry, now time.Time) {
	d := s.expectedDemand(e)
	if s.reserveByThrottling(e, d, now) {
		return
	}
	var best *worker
	var bestVictims []*task
	for _, w := range s.sortedWorkers {
		if !w.schedulable || w.draining || now.Before(w.backoffUntil) || !s.faults.mayReceive(w, e, now) {
			continue
		}
		victims, ok := s.victimsFor(w, d)
		if ok && (best == nil || len(victims) < len(bestVictims)) {
			best, bestVictims = w, victims
		}
	}
	if best == nil {
		return
	}
	s.reserve(e, best, d, now)
	for _, v := range bestVictims {
		s.evict(v, evictUrgent, now)
	}
}

func (s *Scheduler) reserve(e *entry, w *worker, d Demand, now time.Time) {
	e.reservation = reservation{worker: w, demand: d, since: now}
	w.reservations++
	w.reservedDemand.Cores += d.Cores
	w.reservedDemand.MemoryBytes += d.MemoryBytes
}

// victimsFor returns the shortest prefix of the worker's victims, the youngest first, whose eviction makes
// room for d.
func (s *Scheduler) victimsFor(w *worker, d Demand) ([]*task, bool) {
	tasks, demand := w.remainingTasks()
	demand.Cores += w.reservedDemand.Cores + d.Cores
	demand.MemoryBytes += w.reservedDemand.MemoryBytes + d.MemoryBytes
	tasks += w.reservations + 1
	capacity, slots := s.taskCapacity(w), s.taskSlots(w)
	victims := w.victims()
	for i := 0; ; i++ {
		if tasks <= slots && demand.Cores <= capacity.Cores && demand.MemoryBytes <= capacity.MemoryBytes {
			return victims[:i], true
		}
		if i == len(victims) {
			return nil, false
		}
		tasks--
		demand.Cores -= victims[i].demand.Cores
		demand.MemoryBytes -= victims[i].demand.MemoryBytes
	}
}

// hasEvictions reports whether a task of the worker is being evicted.
func (w *worker) hasEvictions() bool {
	for _, t := range w.tasks {
		if t.eviction != evictNone {
			return true
		}
	}
	return false
}

// remainingTasks returns the number and the total demand of the tasks that are not being evicted.
func (w *worker) remainingTasks() (int, Demand) {
	var demand Demand
	n := 0
	for _, t := range w.tasks {
		if t.eviction != evictNone {
			continue
		}
		n++
		demand.Cores += t.demand.Cores
		demand.MemoryBytes += t.demand.MemoryBytes
	}
	return n, demand
}

// reserveByThrottling reserves capacity on a worker that lacks only cores, by throttling tasks and without
// evictions.
func (s *Scheduler) reserveByThrottling(e *entry, d Demand, now time.Time) bool {
	for _, w := range s.sortedWorkers {
		withoutCores := Demand{MemoryBytes: d.MemoryBytes, Learnt: d.Learnt}
		if !s.hasRoomFor(w, withoutCores, e) || now.Before(w.backoffUntil) || !s.faults.mayReceive(w, e, now) {
			continue
		}
		missingCores := w.demand.Cores + w.reservedDemand.Cores + d.Cores - s.taskCapacity(w).Cores
		for _, v := range w.victims() {
			if missingCores <= 0 {
				break
			}
			if !v.throttled {
				missingCores -= v.demand.Cores * (1 - s.policy.ThrottleShare)
			}
		}
		if missingCores > 0 {
			continue
		}
		s.reserve(e, w, d, now)
		s.throttleToFit(w)
		return true
	}
	return false
}

// throttleToFit throttles a worker's youngest tasks until its demand and reservations fit its cores.
func (s *Scheduler) throttleToFit(w *worker) {
	for _, v := range w.victims() {
		if w.demand.Cores+w.reservedDemand.Cores <= s.taskCapacity(w).Cores {
			return
		}
		s.throttle(v)
	}
}

// reclaimSlots evicts tasks from borrowed slots for teams that have waited below their guarantee.
func (s *Scheduler) reclaimSlots(now time.Time) {
	if now.Sub(s.lastReclaim) < reclaimInterval {
		return
	}
	s.lastReclaim = now
	needed := 0
	for _, t := range s.backlog.sortedTeams {
		if !t.blockedSince.IsZero() && now.Sub(t.blockedSince) >= reclaimDelay && t.waiting > 0 {
			needed += min(t.waiting, int(t.guaranteedSlots)-t.running)
		}
	}
	needed -= s.evictionCount(evictQuota)
	if needed <= 0 {
		return
	}
	byTeam := s.victimsByTeam()
	for ; needed > 0; needed-- {
		borrower := s.backlog.largestBorrower(byTeam)
		if borrower == nil {
			return
		}
		list := byTeam[borrower]
		s.evict(list[0], evictQuota, now)
		byTeam[borrower] = list[1:]
	}
}

func (s *Scheduler) evictionCount(reason evictionReason) int {
	n := 0
	for _, t := range s.evicting {
		if t.eviction == reason {
			n++
		}
	}
	return n
}

// victimsByTeam returns all victims by team, the youngest first.
func (s *Scheduler) victimsByTeam() map[*team][]*task {
	byTeam := make(map[*team][]*task)
	for _, w := range s.sortedWorkers {
		for _, v := range w.victims() {
			t := s.backlog.ensureTeam(v.entry.job.Spec.Team)
			byTeam[t] = append(byTeam[t], v)
		}
	}
	for _, list := range byTeam {
		sortYoungestFirst(list)
	}
	return byTeam
}

// largestBorrower returns the team with victims that borrows the most slots per weight, and at least one
// slot.
func (b *backlog) largestBorrower(victims map[*team][]*task) *team {
	var largest *team
	for _, t := range b.sortedTeams {
		if len(victims[t]) == 0 || float64(t.running)-t.guaranteedSlots < 1 {
			continue
		}
		if largest == nil || t.borrowedPerWeight() > largest.borrowedPerWeight() || t.borrowedPerWeight() == largest.borrowedPerWeight() && t.name < largest.name {
			largest = t
		}
	}
	return largest
}
