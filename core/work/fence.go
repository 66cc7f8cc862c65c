package work

import (
	"cmp"
	"slices"
	"time"
)

// A new incarnation of a worker has seen no fencing token. It carries out any start order to a former incarnation that arrives before
// the first call with a higher token. While a worker is silent and such orders may arrive, it is called at short intervals with a token
// that is higher than theirs, also if the directory no longer lists it.

// fenceSilence is the time without any answer after which a worker with unanswered start orders may have ended.
const fenceSilence = 100 * time.Millisecond

// WorkersToFence returns the silent workers of which a new incarnation could carry out a start order to a former one, sorted.
func (s *Scheduler) WorkersToFence(now time.Time) []string {
	var workers []string
	add := func(worker string) {
		if _, ok := s.endpointToFence(worker, now); ok {
			workers = append(workers, worker)
		}
	}
	for _, w := range s.sortedWorkers {
		if w.consecutiveMisses >= missesUntilLost {
			add(w.Incarnation.Worker)
		}
	}
	for worker := range s.lateStarts.byWorker {
		if s.latestIncarnation(worker) == nil {
			add(worker)
		}
	}
	for worker, former := range s.formerEndpoints {
		switch {
		case !now.Before(former.until):
			delete(s.formerEndpoints, worker)
		case s.latestIncarnation(worker) == nil:
			add(worker)
		}
	}
	slices.Sort(workers)
	return slices.Compact(workers)
}

// formerEndpoint is an endpoint to which earlier holders may have sent start orders.
type formerEndpoint struct {
	Endpoint
	// until is the time until which these may be carried out.
	until time.Time
}

// AddFormerEndpoint adds an endpoint on which an earlier holder may have started tasks. It is called if the directory no longer lists its
// worker.
func (s *Scheduler) AddFormerEndpoint(e Endpoint, now time.Time) {
	s.initialise()
	e.Generation = 0 // the token's epoch is higher than theirs
	until := laterTime(now, s.earlierHoldersSuspendedAt()).Add(lateOrderBound)
	if known, ok := s.formerEndpoints[e.Incarnation.Worker]; !ok || known.Incarnation.StartMillis <= e.Incarnation.StartMillis {
		s.formerEndpoints[e.Incarnation.Worker] = formerEndpoint{e, until}
	}
}

// UnfencedEndpoints returns the endpoints that the next holder must pass to AddFormerEndpoint though their incarnations aren't on the
// roster, sorted by worker.
func (s *Scheduler) UnfencedEndpoints(now time.Time) []Endpoint {
	var endpoints []Endpoint
	for _, worker := range s.WorkersToFence(now) {
		if e, ok := s.endpointToFence(worker, now); ok {
			endpoints = append(endpoints, e)
		}
	}
	return endpoints
}

// Address returns the address of an incarnation; empty if it isn't known.
func (s *Scheduler) Address(inc Incarnation) string {
	if w := s.workers[inc]; w != nil {
		return w.Address
	}
	return ""
}

// Fence is a call that fences a worker.
type Fence struct {
	Renewal
	// Presumed is true if no order is known that has to be fenced off: earlier holders may have sent some.
	Presumed bool
}

// PrepareFence returns the next call that fences off the unanswered start orders to a worker, and false if none is needed any more. It
// grants no lease and acknowledges no end. The answer of the addressed incarnation is of no use to the scheduler: calls overlap, so that a
// report could be older than one that is known, and a worker counts as answering once it has reported.
func (s *Scheduler) PrepareFence(worker string, now time.Time) (Fence, bool) {
	e, ok := s.endpointToFence(worker, now)
	if !ok {
		return Fence{}, false
	}
	s.generations.called(worker, now)
	_, known := s.lateStarts.target(worker, now)
	return Fence{Renewal: Renewal{Endpoint: e, Epoch: s.Epoch}, Presumed: !known}, true
}

// HandleMisdirectedFence records that another worker has answered a call of PrepareFence, so that start orders to its address are refused.
func (s *Scheduler) HandleMisdirectedFence(e Endpoint) {
	s.lateStarts.markMisdirected(e.Incarnation.Worker, e.Address)
	if s.formerEndpoints[e.Incarnation.Worker].Address == e.Address {
		delete(s.formerEndpoints, e.Incarnation.Worker)
	}
}

// endpointToFence returns the endpoint to call, with a higher generation than that of the orders to be fenced off, and false if there
// are none or the worker is not silent.
func (s *Scheduler) endpointToFence(worker string, now time.Time) (Endpoint, bool) {
	w := s.latestIncarnation(worker)
	target, ok := s.lateStarts.target(worker, now)
	switch {
	case w == nil && ok:
		target.Generation = s.generations.raise(worker, target.Generation, now)
		return target, true
	case w == nil && now.Before(s.formerEndpoints[worker].until):
		return s.formerEndpoints[worker].Endpoint, true
	case w == nil, w.ended, w.consecutiveMisses < missesUntilLost, w.silentFor(now) < fenceSilence:
		return Endpoint{}, false
	case ok && w.generation <= target.Generation:
		w.generation = s.generations.raise(worker, target.Generation, now)
	case !ok && (w.isLeaving() || !now.Before(s.earlierStartsUntil(w))):
		return Endpoint{}, false
	}
	return w.endpoint(), true
}

// earlierStartsUntil returns the time until which start orders of earlier holders to the worker may be carried out; zero if there are
// none.
func (s *Scheduler) earlierStartsUntil(w *worker) time.Time {
	if w.knownFromStart || s.takenAt.IsZero() {
		return time.Time{}
	}
	return laterTime(s.takenAt, s.earlierHoldersSuspendedAt()).Add(lateOrderBound)
}

// isLeaving reports whether the worker is to leave the pool. It doesn't start again under its ID then.
func (w *worker) isLeaving() bool { return w.withdrawn || w.Draining }

// keepEarlierStarts remembers, for a worker that is removed, that start orders of earlier holders may still be carried out there.
func (s *Scheduler) keepEarlierStarts(w *worker, now time.Time) {
	if until := s.earlierStartsUntil(w); now.Before(until) && !w.ended && !w.isLeaving() {
		s.formerEndpoints[w.Incarnation.Worker] = formerEndpoint{w.endpoint(), until}
	}
}

// latestIncarnation returns the latest known incarnation of a worker, or nil.
func (s *Scheduler) latestIncarnation(id string) *worker {
	i, _ := slices.BinarySearchFunc(s.sortedWorkers, id+"\x00", func(w *worker, next string) int { return cmp.Compare(w.Incarnation.Worker, next) })
	if i == 0 || s.sortedWorkers[i-1].Incarnation.Worker != id {
		return nil
	}
	return s.sortedWorkers[i-1]
}

// HasSupersededToken reports whether later calls to the incarnation of an endpoint, or to a later incarnation of its worker, carry a
// higher token than a call to this endpoint. A refusal of that call is then no sign of another holder.
func (s *Scheduler) HasSupersededToken(e Endpoint) bool {
	w := s.workers[e.Incarnation]
	return s.HasLaterIncarnation(e.Incarnation) || (w != nil && w.generation > e.Generation)
}
