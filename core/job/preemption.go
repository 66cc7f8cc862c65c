package job

import "time"

const (
	// takeBackAfter is how long a team below its guarantee waits before lent slots are taken back.
	takeBackAfter = 5 * time.Second
	// takeBackEvery is the time between two rounds of taking back.
	takeBackEvery = time.Second
	// claimsPerRound bounds the urgent jobs for which one round makes room.
	claimsPerRound = 64
	// claimTimeout is how long room is kept on a worker that no task leaves any more.
	claimTimeout = 3 * time.Second
)

// claim is the room that is being made on a worker for a waiting urgent job.
type claim struct {
	worker *worker
	demand Demand
	since  time.Time
}

// drop gives the room back, or up when the job took it.
func (c *claim) drop() {
	if c.worker == nil {
		return
	}
	c.worker.claims--
	c.worker.claimed.Cores -= c.demand.Cores
	c.worker.claimed.MemoryBytes -= c.demand.MemoryBytes
	*c = claim{}
}

// makeRoom claims workers for urgent jobs that found no room: lesser tasks are
// throttled where that is enough, else checkpointed and stopped.
func (s *Scheduler) makeRoom(now time.Time) {
	made := 0
	for _, t := range s.backlog.list {
		for _, e := range t.urgent.first(claimsPerRound) {
			if made == claimsPerRound {
				return
			}
			if e.claim.worker != nil && s.stillClaimed(e, now) {
				continue
			}
			made++
			s.claimRoom(e, now)
		}
	}
}

// stillClaimed reports whether the claimed worker can still take the job.
func (s *Scheduler) stillClaimed(e *entry, now time.Time) bool {
	w := e.claim.worker
	promising := now.Sub(e.claim.since) < claimTimeout || w.leaves()
	if promising && w.open && !w.draining && !now.Before(w.backoff) && s.suspicion.allows(w, e, now) {
		return true
	}
	e.claim.drop()
	return false
}

func (s *Scheduler) claimRoom(e *entry, now time.Time) {
	d := s.demand(e)
	if s.throttleFor(e, d, now) {
		return
	}
	var best *worker
	var fewest []*task
	for _, w := range s.order {
		if !w.open || w.draining || now.Before(w.backoff) || !s.suspicion.allows(w, e, now) {
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
	s.claim(e, best, d, now)
	for _, v := range fewest {
		s.leave(v, leaveUrgent, now)
	}
}

func (s *Scheduler) claim(e *entry, w *worker, d Demand, now time.Time) {
	e.claim = claim{worker: w, demand: d, since: now}
	w.claims++
	w.claimed.Cores += d.Cores
	w.claimed.MemoryBytes += d.MemoryBytes
}

// victimsFor returns the fewest youngest tasks that must leave a worker to make room for d.
func (s *Scheduler) victimsFor(w *worker, d Demand) ([]*task, bool) {
	tasks, left := w.staying()
	left.Cores += w.claimed.Cores + d.Cores
	left.MemoryBytes += w.claimed.MemoryBytes + d.MemoryBytes
	tasks += w.claims + 1
	room, slots := s.room(w), s.slots(w)
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

// leaves reports whether a task is about to leave the worker.
func (w *worker) leaves() bool {
	for _, t := range w.tasks {
		if t.leave != leaveNone {
			return true
		}
	}
	return false
}

// staying sums up the tasks that are not about to leave.
func (w *worker) staying() (int, Demand) {
	var sum Demand
	n := 0
	for _, t := range w.tasks {
		if t.leave != leaveNone {
			continue
		}
		n++
		sum.Cores += t.demand.Cores
		sum.MemoryBytes += t.demand.MemoryBytes
	}
	return n, sum
}

// throttleFor makes room by throttling alone, on a worker that lacks only cores.
func (s *Scheduler) throttleFor(e *entry, d Demand, now time.Time) bool {
	for _, w := range s.order {
		withoutCores := Demand{MemoryBytes: d.MemoryBytes, Learnt: d.Learnt}
		if !s.fits(w, withoutCores, e) || now.Before(w.backoff) || !s.suspicion.allows(w, e, now) {
			continue
		}
		lack := w.demand.Cores + w.claimed.Cores + d.Cores - s.room(w).Cores
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
		s.claim(e, w, d, now)
		s.throttleUntil(w)
		return true
	}
	return false
}

// throttleUntil throttles a worker's youngest tasks until its demand and claims fit its cores.
func (s *Scheduler) throttleUntil(w *worker) {
	for _, v := range w.victims() {
		if w.demand.Cores+w.claimed.Cores <= s.room(w).Cores {
			return
		}
		s.throttle(v)
	}
}

// takeBack stops tasks on borrowed slots for teams that wait below their guarantee.
func (s *Scheduler) takeBack(now time.Time) {
	if now.Sub(s.tookBack) < takeBackEvery {
		return
	}
	s.tookBack = now
	need := 0
	for _, t := range s.backlog.list {
		if !t.blocked.IsZero() && now.Sub(t.blocked) >= takeBackAfter && t.waiting > 0 {
			need += min(t.waiting, int(t.slots)-t.running)
		}
	}
	need -= s.leavingFor(leaveQuota)
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
		s.leave(list[0], leaveQuota, now)
		byTeam[lender] = list[1:]
	}
}

func (s *Scheduler) leavingFor(why leaveReason) int {
	n := 0
	for _, t := range s.leaving {
		if t.leave == why {
			n++
		}
	}
	return n
}

// victimsByTeam returns all movable tasks by team, the youngest first.
func (s *Scheduler) victimsByTeam() map[*team][]*task {
	byTeam := make(map[*team][]*task)
	for _, w := range s.order {
		for _, v := range w.victims() {
			t := s.backlog.team(v.job.job.Spec.Team)
			byTeam[t] = append(byTeam[t], v)
		}
	}
	for _, list := range byTeam {
		sortYoungest(list)
	}
	return byTeam
}

// largestBorrower returns the team that borrows most per weight, at least one slot, and has victims.
func (b *backlog) largestBorrower(victims map[*team][]*task) *team {
	var largest *team
	for _, t := range b.list {
		if len(victims[t]) == 0 || float64(t.running)-t.slots < 1 {
			continue
		}
		if largest == nil || t.borrowed() > largest.borrowed() || t.borrowed() == largest.borrowed() && t.name < largest.name {
			largest = t
		}
	}
	return largest
}
