package work

import (
	"cmp"
	"slices"
	"time"
)

// UpdateWorkers replaces the directory's list of the pool's workers. It returns the incarnations that were added
// and those that were removed.
func (s *Scheduler) UpdateWorkers(infos []WorkerInfo, now time.Time) (added []WorkerInfo, removed []Incarnation) {
	s.initialise()
	for _, w := range s.sortedWorkers {
		w.listed = false
	}
	for _, info := range infos {
		if s.HasLaterIncarnation(info.Incarnation) {
			continue
		}
		w := s.workers[info.Incarnation]
		if w == nil {
			w = s.addIncarnation(info, now)
			added = append(added, info)
		}
		w.WorkerInfo = info
		w.listed, w.admitted = true, true
		s.silentEnds.forget(info.Incarnation)
	}
	s.crashRate.setListed(len(infos), now)
	for _, w := range slices.Clone(s.sortedWorkers) {
		if !w.listed && w.isEmpty() {
			s.recordSilentEnd(w, now)
			s.keepEarlierStarts(w, now)
			s.removeWorker(w)
			removed = append(removed, w.Incarnation)
		}
	}
	return added, removed
}

// HasIncarnation reports whether the scheduler knows the incarnation, listed or not.
func (s *Scheduler) HasIncarnation(inc Incarnation) bool { return s.workers[inc] != nil }

// addIncarnation adds an incarnation. Orders to an earlier incarnation whose answers were lost may be carried
// out by the new one.
func (s *Scheduler) addIncarnation(info WorkerInfo, now time.Time) *worker {
	_, known := s.unresolved[info.Incarnation]
	w := &worker{WorkerInfo: info, runs: make(map[RunID]*run), knownFromStart: !known, generation: s.generations.next(info.Incarnation.Worker, now)}
	s.workers[info.Incarnation] = w
	if w.forgettableEnds = s.strayCursor(info.Incarnation); w.forgettableEnds > 0 {
		s.reportForgettableEnds(w)
	}
	for _, ended := range s.silentEnds.takeReplaced(info) {
		s.recordCrash(ended)
	}
	for _, earlier := range s.sortedWorkers {
		if earlier.Incarnation.Worker != info.Incarnation.Worker {
			continue
		}
		if earlier.Incarnation.StartMillis >= info.Incarnation.StartMillis {
			continue
		}
		s.recordCertainEnd(earlier.Incarnation)
		for _, r := range sortedRuns(earlier) {
			s.endOrTransferRun(r, w, now)
		}
	}
	s.sortedWorkers = append(s.sortedWorkers, w)
	slices.SortFunc(s.sortedWorkers, func(a, c *worker) int { return compareIncarnations(a.Incarnation, c.Incarnation) })
	return w
}

// compareIncarnations orders incarnations by worker and start time, as in Scheduler.sortedWorkers.
func compareIncarnations(a, c Incarnation) int {
	return cmp.Or(cmp.Compare(a.Worker, c.Worker), cmp.Compare(a.StartMillis, c.StartMillis))
}

// laterIncarnations returns the known later incarnations of the same worker.
func (s *Scheduler) laterIncarnations(inc Incarnation) []*worker {
	from, _ := slices.BinarySearchFunc(s.sortedWorkers, Incarnation{Worker: inc.Worker, StartMillis: inc.StartMillis + 1}, func(w *worker, inc Incarnation) int { return compareIncarnations(w.Incarnation, inc) })
	until := from
	for until < len(s.sortedWorkers) && s.sortedWorkers[until].Incarnation.Worker == inc.Worker {
		until++
	}
	return s.sortedWorkers[from:until]
}

// hasReportingSuccessor reports whether a later incarnation of the worker has reported. It may have carried out orders of
// an earlier holder to this one.
func (s *Scheduler) hasReportingSuccessor(inc Incarnation) bool {
	return slices.ContainsFunc(s.laterIncarnations(inc), func(w *worker) bool { return w.fullyReported })
}

// HasLaterIncarnation reports whether a later incarnation of the worker is known. It refuses calls to this one once it has answered.
func (s *Scheduler) HasLaterIncarnation(inc Incarnation) bool {
	return len(s.laterIncarnations(inc)) > 0
}

// isListed reports whether the incarnation or a later one of its worker is listed. A later one may hold the end of a run that
// was ordered from this one.
func (s *Scheduler) isListed(inc Incarnation) bool {
	w := s.workers[inc]
	return (w != nil && w.listed) || slices.ContainsFunc(s.laterIncarnations(inc), func(w *worker) bool { return w.listed })
}

// endOrTransferRun ends a run of an incarnation that has ended. If the next incarnation may have carried out the start
// order, or may still do so, the run becomes an uncertain run of that one instead. Answers to orders don't tell which
// incarnation gave them; reports do.
func (s *Scheduler) endOrTransferRun(r *run, next *worker, now time.Time) {
	if r.phase == phaseStarting || r.phase == phaseUncertain || r.lastReported.IsZero() || s.lateStarts.mayCome(r.worker.Incarnation.Worker, r.id, now) {
		s.detachRun(r)
		r.worker = next
		r.phase = phaseUncertain
		r.unansweredSequence = s.sequence
		r.confirmed, r.begun = false, false
		r.stopInFlight = false
		r.repeatStart = false
		next.attachRun(r)
		s.withdrawMove(r)
		s.requestStopUnlessReported(r)
		return
	}
	s.presumeEnded(r, CauseLifeOver, time.Time{})
}

// isUnheard reports whether the worker has never answered, and can't run anything any more that an unanswered order to an
// earlier incarnation started on it.
func (s *Scheduler) isUnheard(w *worker, now time.Time) bool {
	return !w.answered && w.silentFor(now) > lateOrderBound+s.localLeaseBound(s.timing.MaxLease)
}

// attachRun adds a run to the worker.
func (w *worker) attachRun(r *run) {
	w.runs[r.id] = r
	w.reserved = w.reserved.Add(r.demand)
	if r.demandUnknown {
		w.unknownDemands++
	}
	w.countKind(r.kind, 1)
}

// detachRun removes a run from its worker.
func (s *Scheduler) detachRun(r *run) {
	delete(r.worker.runs, r.id)
	r.worker.reserved = r.worker.reserved.Sub(r.demand)
	if r.demandUnknown {
		r.worker.unknownDemands--
	}
	r.worker.countKind(r.kind, -1)
}

// releaseRun removes a run that certainly neither runs nor will run.
func (s *Scheduler) releaseRun(r *run) {
	s.detachRun(r)
	s.releaseQuota(r)
	delete(s.runsToStop, r)
	if r.task != nil {
		r.worker.endTrial(r.task)
		if r.checkpoint != "" {
			r.task.checkpoint = r.checkpoint
		}
		r.task.removeRun(r)
		r.task = nil
	}
}

func (s *Scheduler) removeWorker(w *worker) {
	delete(s.workers, w.Incarnation)
	s.sortedWorkers = slices.DeleteFunc(s.sortedWorkers, func(other *worker) bool { return other == w })
}

func sortedRuns(w *worker) []*run {
	runs := make([]*run, 0, len(w.runs))
	for _, r := range w.runs {
		runs = append(runs, r)
	}
	slices.SortFunc(runs, compareRuns)
	return runs
}

func compareRuns(a, c *run) int {
	x, y := a.id, c.id
	return cmp.Or(
		cmp.Compare(x.Task.Job, y.Task.Job), cmp.Compare(x.Task.Occurrence, y.Task.Occurrence),
		cmp.Compare(x.Task.Step, y.Task.Step), cmp.Compare(x.Task.Index, y.Task.Index), cmp.Compare(x.Attempt, y.Attempt))
}

// RequiredRoster returns the incarnations that the stored roster must contain before they get tasks: those that
// are listed and those that may have runs or unstored ends, without the evacuated ones among the leaving
// workers.
func (s *Scheduler) RequiredRoster(infos []WorkerInfo, leaving map[string]bool) map[Incarnation]bool {
	s.initialise()
	roster := make(map[Incarnation]bool)
	for _, inc := range s.IncarnationsToRenew() {
		roster[inc] = true
	}
	for inc := range s.unresolved {
		roster[inc] = true
	}
	for _, info := range infos {
		roster[info.Incarnation] = true
	}
	for _, inc := range s.EvacuatedIncarnations() {
		if leaving[inc.Worker] {
			delete(roster, inc)
		}
	}
	return roster
}
