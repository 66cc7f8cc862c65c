package job

import "time"

const (
	// reclaimDelay is how long a team below its guarantee waits before lent slots are taken back.
	reclaimDelay = 5 * time.Second
	// reclaimInterval is the time between two rounds of taking back.
	reclaimInterval = time.Second
	// maxReservationsPerRound bounds the urgent jobs for which one round makes room.
	maxReservationsPerRound = 64
	// reservationTimeout is how long room is kept on a worker that no task leaves any more.
	reservationTimeout = 3 * time.Second
)

// reservation is the room that is being made on a worker for a waiting urgent job.
type reservation struct {
	worker *worker
	demand Demand
	since  time.Time
}

// release gives the room back, or up when the job took it.
func (c *reservation) release() {
	if c.worker == nil {
		return
	}
	c.worker.reservations--
	c.worker.reservedDemand.Cores -= c.demand.Cores
	c.worker.reservedDemand.MemoryBytes -= c.demand.MemoryBytes
	*c = reservation{}
}

// reserveForUrgent claims workers for urgent jobs that found no room: lesser tasks are
// throttled where that is enough, else checkpointed and stopped.
func (s *Scheduler) reserveForUrgent(now time.Time) {
	made := 0
	for _, t := range s.backlog.sortedTeams {
		for _, e := range t.urgent.peek(maxReservationsPerRound) {
			if made == maxReservationsPerRound {
				return
			}
			if e.reservation.worker != nil && s.retainReservation(e, now) {
				continue
			}
			made++
			s.reserveWorker(e, now)
		}
	}
}

// retainReservation reports whether the claimed worker can still take the job.
func (s *Scheduler) retainReservation(e *entry, now time.Time) bool {
	w := e.reservation.worker
	promising := now.Sub(e.reservation.since) < reservationTimeout || w.hasEvictions()
	if promising && w.schedulable && !w.draining && !now.Before(w.backoffUntil) && s.faults.allows(w, e, now) {
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
	var fewest []*task
	for _, w := range s.sortedWorkers {
		if !w.schedulable || w.draining || now.Before(w.backoffUntil) || !s.faults.allows(w, e, now) {
			continue
		}
		victims, ok := s.victimsFor(w, d)
		if ok && (best == nil || len(victims) < len(fewest)) {
			best, fewest = w, victims
		}
	}
	if best == nil {
		return
	}
	s.reserve(e, best, d, now)
	for _, v := range fewest {
		s.evict(v, evictUrgent, now)
	}
}

func (s *Scheduler) reserve(e *entry, w *worker, d Demand, now time.Time) {
	e.reservation = reservation{worker: w, demand: d, since: now}
	w.reservations++
	w.reservedDemand.Cores += d.Cores
	w.reservedDemand.MemoryBytes += d.MemoryBytes
}

// victimsFor returns the fewest youngest tasks that must leave a worker to make room for d.
func (s *Scheduler) victimsFor(w *worker, d Demand) ([]*task, bool) {
	tasks, left := w.remainingTasks()
	left.Cores += w.reservedDemand.Cores + d.Cores
	left.MemoryBytes += w.reservedDemand.MemoryBytes + d.MemoryBytes
	tasks += w.reservations + 1
	room, slots := s.taskCapacity(w), s.taskSlots(w)
	victims := w.victims()
	for i := 0; ; i++ {
		if tasks <= slots && left.Cores <= room.Cores && left.MemoryBytes <= room.MemoryBytes {
			return victims[:i], true
		}
		if i == len(victims) {
			return nil, false
		}
		tasks--
		left.Cores -= victims[i].demand.Cores
		left.MemoryBytes -= victims[i].demand.MemoryBytes
	}
}

// hasEvictions reports whether a task is about to leave the worker.
func (w *worker) hasEvictions() bool {
	for _, t := range w.tasks {
		if t.eviction != evictNone {
			return true
		}
	}
	return false
}

// remainingTasks sums up the tasks that are not about to leave.
func (w *worker) remainingTasks() (int, Demand) {
	var sum Demand
	n := 0
	for _, t := range w.tasks {
		if t.eviction != evictNone {
			continue
		}
		n++
		sum.Cores += t.demand.Cores
		sum.MemoryBytes += t.demand.MemoryBytes
	}
	return n, sum
}

// reserveByThrottling makes room by throttling alone, on a worker that lacks only cores.
func (s *Scheduler) reserveByThrottling(e *entry, d Demand, now time.Time) bool {
	for _, w := range s.sortedWorkers {
		withoutCores := Demand{MemoryBytes: d.MemoryBytes, Learnt: d.Learnt}
		if !s.fits(w, withoutCores, e) || now.Before(w.backoffUntil) || !s.faults.allows(w, e, now) {
			continue
		}
		lack := w.demand.Cores + w.reservedDemand.Cores + d.Cores - s.taskCapacity(w).Cores
		for _, v := range w.victims() {
			if lack <= 0 {
				break
			}
			if !v.throttled {
				lack -= v.demand.Cores * (1 - s.policy.ThrottleShare)
			}
		}
		if lack > 0 {
			continue
		}
		s.reserve(e, w, d, now)
		s.throttleToFit(w)
		return true
	}
	return false
}

// throttleToFit throttles a worker's youngest tasks until its demand and claims fit its cores.
func (s *Scheduler) throttleToFit(w *worker) {
	for _, v := range w.victims() {
		if w.demand.Cores+w.reservedDemand.Cores <= s.taskCapacity(w).Cores {
			return
		}
		s.throttle(v)
	}
}

// reclaimSlots stops tasks on borrowed slots for teams that wait below their guarantee.
func (s *Scheduler) reclaimSlots(now time.Time) {
	if now.Sub(s.lastReclaim) < reclaimInterval {
		return
	}
	s.lastReclaim = now
	need := 0
	for _, t := range s.backlog.sortedTeams {
		if !t.blockedSince.IsZero() && now.Sub(t.blockedSince) >= reclaimDelay && t.waiting > 0 {
			need += min(t.waiting, int(t.guaranteedSlots)-t.running)
		}
	}
	need -= s.evictionCount(evictQuota)
	if need <= 0 {
		return
	}
	byTeam := s.victimsByTeam()
	for ; need > 0; need-- {
		lender := s.backlog.largestBorrower(byTeam)
		if lender == nil {
			return
		}
		list := byTeam[lender]
		s.evict(list[0], evictQuota, now)
		byTeam[lender] = list[1:]
	}
}

func (s *Scheduler) evictionCount(why evictionReason) int {
	n := 0
	for _, t := range s.evicting {
		if t.eviction == why {
			n++
		}
	}
	return n
}

// victimsByTeam returns all movable tasks by team, the youngest first.
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

// largestBorrower returns the team that borrows most per weight, at least one slot, and has victims.
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
