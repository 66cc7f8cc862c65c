package work

import (
	"slices"
	"time"
)

// silentEnds holds the incarnations that are no longer listed, don't answer, and whose leases have expired: they have crashed, or
// were cut off and live. Each counts as crashed once another incarnation has taken its place, and as alive once it is back. The zero
// value has none.
type silentEnds struct {
	ends map[Incarnation]silentEnd
}

// silentEnd is an incarnation as it was when its leases had expired.
type silentEnd struct {
	// worker has the runs that were lost with it in expired, and no others.
	worker *worker
	at     time.Time
}

// silentEndMemory is the time for which it is remembered that an incarnation has fallen silent. A worker that has crashed is back
// after some seconds.
const silentEndMemory = time.Minute

// add remembers an incarnation with the runs that are lost if it has crashed.
func (e *silentEnds) add(w *worker, now time.Time) {
	for inc, end := range e.ends {
		if now.Sub(end.at) > silentEndMemory {
			delete(e.ends, inc)
		}
	}
	lost := w.lostRuns()
	if _, known := e.ends[w.Incarnation]; known || len(lost) == 0 || w.crashRecorded {
		return
	}
	if e.ends == nil {
		e.ends = make(map[Incarnation]silentEnd)
	}
	copied := *w
	copied.runs, copied.expired = nil, nil
	for _, r := range lost {
		if r.task != nil {
			lostRun := *r
			lostRun.worker = &copied
			copied.expired = append(copied.expired, lostRun)
		}
	}
	e.ends[w.Incarnation] = silentEnd{worker: &copied, at: now}
}

// forget forgets an incarnation, which is alive.
func (e *silentEnds) forget(inc Incarnation) { delete(e.ends, inc) }

// isReplacedBy reports whether the incarnation has certainly ended because another one is listed: a later one of the same worker, or
// at its address, or on its host.
func (w *worker) isReplacedBy(info WorkerInfo) bool {
	samePlace := w.Incarnation.Worker == info.Incarnation.Worker || w.Address == info.Address || (w.Host != "" && w.Host == info.Host)
	return samePlace && w.Incarnation.StartMillis < info.Incarnation.StartMillis
}

// takeReplaced removes and returns the incarnations that have certainly ended because this one is listed.
func (e *silentEnds) takeReplaced(info WorkerInfo) []*worker {
	var ended []*worker
	for inc, end := range e.ends {
		if end.worker.isReplacedBy(info) {
			ended = append(ended, end.worker)
			delete(e.ends, inc)
		}
	}
	slices.SortFunc(ended, func(a, b *worker) int { return compareIncarnations(a.Incarnation, b.Incarnation) })
	return ended
}

// take removes and returns an incarnation that has certainly ended, or nil if it is not remembered.
func (e *silentEnds) take(inc Incarnation) *worker {
	end := e.ends[inc]
	delete(e.ends, inc)
	return end.worker
}

// recordSilentEnd notes that a worker that isn't listed has lost its runs. It has crashed if another incarnation has taken its place;
// otherwise that shows later.
func (s *Scheduler) recordSilentEnd(w *worker, now time.Time) {
	if slices.ContainsFunc(s.sortedWorkers, func(other *worker) bool { return w.isReplacedBy(other.WorkerInfo) }) {
		s.recordCrash(w)
		return
	}
	s.silentEnds.add(w, now)
}

// recordCertainEnd records the crash of an incarnation that has certainly ended, also if its runs were given up before.
func (s *Scheduler) recordCertainEnd(inc Incarnation) {
	if w := s.silentEnds.take(inc); w != nil {
		s.recordCrash(w)
	}
	if w := s.workers[inc]; w != nil {
		s.recordCrash(w)
	}
}
