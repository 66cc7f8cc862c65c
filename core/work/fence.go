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
	slices.Sort(workers)
	return slices.Compact(workers)
}

// PrepareFence returns the next call that fences off the unanswered start orders to a worker, and false if none is needed any more. It
// grants no lease and acknowledges no end.
func (s *Scheduler) PrepareFence(worker string, now time.Time) (Renewal, bool) {
	e, ok := s.endpointToFence(worker, now)
	if !ok {
		return Renewal{}, false
	}
	s.generations.called(worker, now)
	return Renewal{Endpoint: e, Epoch: s.Epoch}, true
}

// HandleFenceAnswer records that the addressed incarnation itself has answered a call of PrepareFence with this reading of its clock.
func (s *Scheduler) HandleFenceAnswer(inc Incarnation, clock time.Duration, now time.Time) {
	if w := s.workers[inc]; w != nil {
		s.recordAnswer(w, clock, now)
	}
}

// HandleMisdirectedFence records that another worker has answered a call of PrepareFence, so that start orders to its address are refused.
func (s *Scheduler) HandleMisdirectedFence(e Endpoint) {
	s.lateStarts.markMisdirected(e.Incarnation.Worker, e.Address)
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
	case w == nil, w.ended, w.consecutiveMisses < missesUntilLost, w.silentFor(now) < fenceSilence:
		return Endpoint{}, false
	case ok && w.generation <= target.Generation:
		w.generation = s.generations.raise(worker, target.Generation, now)
	case !ok && !now.Before(s.earlierStartsUntil(w)):
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

// keepEarlierStarts remembers, for a worker that is removed, that start orders of earlier holders may still be carried out there.
func (s *Scheduler) keepEarlierStarts(w *worker, now time.Time) {
	if until := s.earlierStartsUntil(w); now.Before(until) {
		s.lateStarts.keep(lateStart{endpoint: w.endpoint(), count: 1, until: until, shown: true}, RunID{}, now)
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
