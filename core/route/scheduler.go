package route

import (
	"math/rand/v2"
	"time"

	"siskincross/core/host"
)

// Scheduler decides for one pool, at one entry host, which requests go to which targets,
// which wait and which are refused. The zero value has no targets and refuses everything.
// It is not safe for concurrent use.
type Scheduler struct {
	Board  Board
	Budget Budget

	queue    FairQueue
	estimate Estimate
	arrivals uint64
}

// Admission is the decision on a request that arrived. Exactly one of Target, Waits and Refusal holds.
type Admission struct {
	Target  Target
	Placed  bool
	Waits   bool
	Refusal Refusal
	// Displaced is a waiter that is refused in favour of this one; nil for none.
	Displaced *Waiter
}

// Grant ends a waiter's wait: with a target, or with a refusal where Refusal has a reason.
type Grant struct {
	Waiter  *Waiter
	Target  Target
	Refusal Refusal
}

const (
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
)

// Arrive decides on a new request.
func (s *Scheduler) Arrive(now time.Time, rng *rand.Rand, w *Waiter) Admission {
	s.arrivals++
	s.Budget.Arrive()
	w.index = noPosition
	if !now.Before(w.Deadline) {
		return Admission{Refusal: s.refuse(rng, ReasonDeadline)}
	}
	if !s.Board.Listed() {
		return Admission{Refusal: s.refuse(rng, ReasonNoTargets)}
	}
	if s.queue.Len() == 0 {
		if target, ok := s.Board.Acquire(now, rng, w); ok {
			return Admission{Target: target, Placed: true}
		}
	}
	if now.Add(s.wait(w)).After(w.Deadline) {
		return Admission{Refusal: s.refuse(rng, ReasonDeadline)}
	}
	displaced, reason := s.queue.Push(w)
	if reason != ReasonNone {
		return Admission{Refusal: s.refuse(rng, reason)}
	}
	return Admission{Waits: true, Displaced: displaced}
}

// Check returns the refusal that w would meet now, without counting it as an arrival.
func (s *Scheduler) Check(now time.Time, rng *rand.Rand, w *Waiter) Refusal {
	if !s.Board.Listed() {
		return s.refuse(rng, ReasonNoTargets)
	}
	if s.Board.Open(now) || !now.Add(s.wait(w)).After(w.Deadline) {
		return Refusal{}
	}
	return s.refuse(rng, ReasonDeadline)
}

// Again lets a request whose attempt failed wait for another target before all others.
func (s *Scheduler) Again(w *Waiter, failed host.ID) {
	w.Avoid = append(w.Avoid, failed)
	s.queue.PushFront(w)
}

// Next ends as many waits as there are targets with room. The caller calls it after every change.
func (s *Scheduler) Next(now time.Time, rng *rand.Rand) []Grant {
	var grants []Grant
	for s.queue.Len() > 0 {
		if !s.Board.Listed() {
			grants = append(grants, Grant{Waiter: s.queue.Pop(), Refusal: s.refuse(rng, ReasonNoTargets)})
			continue
		}
		if !s.Board.Open(now) {
			return grants
		}
		w := s.queue.Pop()
		if s.hopeless(now, w) {
			grants = append(grants, Grant{Waiter: w, Refusal: s.refuse(rng, ReasonDeadline)})
			continue
		}
		target, _ := s.Board.Acquire(now, rng, w)
		grants = append(grants, Grant{Waiter: w, Target: target})
	}
	return grants
}

// Dismiss ends every wait with a refusal.
func (s *Scheduler) Dismiss(rng *rand.Rand, reason Reason) []Grant {
	var grants []Grant
	for w := s.queue.Pop(); w != nil; w = s.queue.Pop() {
		grants = append(grants, Grant{Waiter: w, Refusal: s.refuse(rng, reason)})
	}
	return grants
}

// Cancel ends a wait without a grant. It reports false where the waiter has its grant already.
func (s *Scheduler) Cancel(w *Waiter) bool {
	return s.queue.Remove(w)
}

// Refuse returns the refusal of a request for a reason that the caller found.
func (s *Scheduler) Refuse(rng *rand.Rand, reason Reason) Refusal {
	return s.refuse(rng, reason)
}

// Finish ends an attempt at a target that took the given time.
func (s *Scheduler) Finish(now time.Time, queue string, id host.ID, a Attempt, took time.Duration) {
	s.Board.Release(now, id, a, took)
	switch a.Fault {
	case FaultNone:
		s.Budget.Answer()
		s.estimate.Observe(queue, took)
	case FaultTimeout:
		s.estimate.Observe(queue, took)
		s.Budget.Fail(a.Fault, s.Board.Total())
	case FaultCaller:
	default:
		s.Budget.Fail(a.Fault, s.Board.Total())
	}
}

// Waiting returns the number of waiting requests.
func (s *Scheduler) Waiting() int {
	return s.queue.Len()
}

// Arrivals returns the running count of requests that arrived.
func (s *Scheduler) Arrivals() uint64 {
	return s.arrivals
}

// wait estimates how long w would wait.
func (s *Scheduler) wait(w *Waiter) time.Duration {
	perSlot := float64(s.estimate.Mean()) / float64(max(1, s.Board.Total()))
	return time.Duration(float64(s.queue.Ahead(w)) * perSlot)
}

// hopeless reports whether w's deadline would pass before its answer. Work of unknown length is tried.
func (s *Scheduler) hopeless(now time.Time, w *Waiter) bool {
	return now.Add(s.estimate.Typical(w.Flow.Queue) / 2).After(w.Deadline)
}

// refuse spreads the next tries over twice the time in which the waiting requests are worked off.
func (s *Scheduler) refuse(rng *rand.Rand, reason Reason) Refusal {
	backlog := time.Duration(float64(s.queue.Len()) * float64(s.estimate.Mean()) / float64(max(1, s.Board.Total())))
	after := minRetryAfter + time.Duration(rng.Float64()*float64(backlog)*2)
	return Refusal{Reason: reason, RetryAfter: min(after, maxRetryAfter)}
}
