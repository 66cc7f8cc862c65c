package route

import (
	"math/rand/v2"
	"time"

	"siskincross/core/host"
)

// Scheduler assigns the requests of one pool at one entry host to targets, lets them wait
// or refuses them. The zero value has no targets and refuses every request. It is not safe
// for concurrent use.
type Scheduler struct {
	Selector    TargetSelector
	RetryBudget RetryBudget

	queue    FairQueue
	estimate RunTimeEstimate
	arrivals uint64
}

// Admission is the decision on a new request: it is placed at Target, waits or is refused.
type Admission struct {
	// Target is set if Placed is set.
	Target Target
	Placed bool
	Queued bool
	// Refusal is set if the request is refused.
	Refusal Refusal
	// Displaced is a waiter that is refused in favour of this request; nil if there is none.
	Displaced *Waiter
}

// Grant ends the wait of a request with a target, or with a refusal if Refusal has a reason.
type Grant struct {
	Waiter  *Waiter
	Target  Target
	Refusal Refusal
}

// Bounds of Refusal.RetryAfter.
const (
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
)

// Admit decides on a new request.
func (s *Scheduler) Admit(now time.Time, rng *rand.Rand, w *Waiter) Admission {
	s.arrivals++
	s.RetryBudget.RecordRequest()
	w.heapIndex = noIndex
	if !now.Before(w.Deadline) {
		return Admission{Refusal: s.refusal(rng, ReasonDeadline)}
	}
	if !s.Selector.HasTargets() {
		return Admission{Refusal: s.refusal(rng, ReasonNoTargets)}
	}
	if s.queue.Len() == 0 {
		if target, ok := s.Selector.Acquire(now, rng, w); ok {
			return Admission{Target: target, Placed: true}
		}
	}
	if now.Add(s.estimateWait(w)).After(w.Deadline) {
		return Admission{Refusal: s.refusal(rng, ReasonDeadline)}
	}
	displaced, reason := s.queue.Push(w)
	if reason != ReasonNone {
		return Admission{Refusal: s.refusal(rng, reason)}
	}
	return Admission{Queued: true, Displaced: displaced}
}

// Precheck returns the refusal that w would get now for lack of targets or of time, or the zero value. It does not count an arrival.
func (s *Scheduler) Precheck(now time.Time, rng *rand.Rand, w *Waiter) Refusal {
	if !s.Selector.HasTargets() {
		return s.refusal(rng, ReasonNoTargets)
	}
	if s.Selector.HasRoom(now) || !now.Add(s.estimateWait(w)).After(w.Deadline) {
		return Refusal{}
	}
	return s.refusal(rng, ReasonDeadline)
}

// Requeue requeues a request whose attempt failed, ahead of all other requests of its priority.
func (s *Scheduler) Requeue(w *Waiter, failed host.ID) {
	w.Avoid = append(w.Avoid, failed)
	s.queue.PushFront(w)
}

// GrantTargets assigns waiting requests to targets as long as there is room. It must be called after every change.
func (s *Scheduler) GrantTargets(now time.Time, rng *rand.Rand) []Grant {
	var grants []Grant
	for s.queue.Len() > 0 {
		if !s.Selector.HasTargets() {
			grants = append(grants, Grant{Waiter: s.queue.Pop(), Refusal: s.refusal(rng, ReasonNoTargets)})
			continue
		}
		if !s.Selector.HasRoom(now) {
			return grants
		}
		w := s.queue.Pop()
		if s.missesDeadline(now, w) {
			grants = append(grants, Grant{Waiter: w, Refusal: s.refusal(rng, ReasonDeadline)})
			continue
		}
		target, _ := s.Selector.Acquire(now, rng, w)
		grants = append(grants, Grant{Waiter: w, Target: target})
	}
	return grants
}

// RefuseAll refuses all waiting requests.
func (s *Scheduler) RefuseAll(rng *rand.Rand, reason Reason) []Grant {
	var grants []Grant
	for w := s.queue.Pop(); w != nil; w = s.queue.Pop() {
		grants = append(grants, Grant{Waiter: w, Refusal: s.refusal(rng, reason)})
	}
	return grants
}

// Cancel removes a waiting request. It returns false if the request has its grant already.
func (s *Scheduler) Cancel(w *Waiter) bool {
	return s.queue.Remove(w)
}

// NewRefusal returns the refusal of a request for a reason determined by the caller.
func (s *Scheduler) NewRefusal(rng *rand.Rand, reason Reason) Refusal {
	return s.refusal(rng, reason)
}

// FinishAttempt records the end of an attempt at a target and its duration.
func (s *Scheduler) FinishAttempt(now time.Time, queue string, id host.ID, a Attempt, duration time.Duration) {
	s.Selector.Release(now, id, a, duration)
	switch a.Fault {
	case FaultNone:
		s.RetryBudget.RecordAnswer()
		s.estimate.Observe(queue, duration)
	case FaultTimeout:
		s.estimate.Observe(queue, duration)
		s.RetryBudget.RecordFailure(a.Fault, s.Selector.InProgressCount())
	case FaultCaller:
	default:
		s.RetryBudget.RecordFailure(a.Fault, s.Selector.InProgressCount())
	}
}

// WaitingCount returns the number of waiting requests.
func (s *Scheduler) WaitingCount() int {
	return s.queue.Len()
}

// ArrivalCount returns the number of requests that have arrived.
func (s *Scheduler) ArrivalCount() uint64 {
	return s.arrivals
}

// estimateWait estimates the time until w would be assigned to a target.
func (s *Scheduler) estimateWait(w *Waiter) time.Duration {
	perSlot := float64(s.estimate.Mean()) / float64(max(1, s.Selector.InProgressCount()))
	return time.Duration(float64(s.queue.EstimateAhead(w)) * perSlot)
}

// missesDeadline reports whether less than half of the queue's mean running time is left until w's deadline.
// Without an estimate the request is tried.
func (s *Scheduler) missesDeadline(now time.Time, w *Waiter) bool {
	return now.Add(s.estimate.QueueMean(w.Flow.Queue) / 2).After(w.Deadline)
}

// refusal returns a refusal whose RetryAfter is random, so that retries spread over twice the time that the waiting requests take.
func (s *Scheduler) refusal(rng *rand.Rand, reason Reason) Refusal {
	backlog := time.Duration(float64(s.queue.Len()) * float64(s.estimate.Mean()) / float64(max(1, s.Selector.InProgressCount())))
	retryAfter := minRetryAfter + time.Duration(rng.Float64()*float64(backlog)*2)
	return Refusal{Reason: reason, RetryAfter: min(retryAfter, maxRetryAfter)}
}
