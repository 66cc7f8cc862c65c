package work

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// ReplacedHolderBound is how long a holder may go on after another one has replaced it: the age, by its own clock, of its last proof
// that it had not been replaced, up to which it grants leases and starts tasks.
const ReplacedHolderBound = 1500 * time.Millisecond

// AddUnresolvedIncarnation adds an incarnation on which an earlier holder may have started tasks. Until each such
// incarnation or a later one of its worker has reported, or is no longer listed and its leases have expired, tasks of jobs
// that were accepted before this holder's epoch are not started. None of them is waited for longer than listedSilenceLimit if
// all runs of earlier holders must have ended. Long-running tasks are started once all leases of earlier holders have expired.
func (s *Scheduler) AddUnresolvedIncarnation(inc Incarnation, now time.Time) {
	s.initialise()
	s.unresolved[inc] = now
	s.takenAt = laterTime(s.takenAt, now)
	s.earlierRunsEnded = false
	if _, known := s.strays[inc]; !known {
		s.strays[inc] = strayAcknowledgement{cursor: anyEnd, until: now, rosterOnly: true}
	}
}

// earlierLeasesExpired reports whether every lease that an earlier holder granted has certainly expired, so that
// none of its runs is active on a worker that has not reported to this holder. Runs may have succeeded before.
//
// A holder that was replaced without having ended may renew a lease until a worker rejects its epoch, but not
// after the lease expired.
func (s *Scheduler) earlierLeasesExpired(now time.Time) bool {
	now = s.provenTime(now)
	if !s.LastForcedTakeover.IsZero() && !now.After(s.LastForcedTakeover.Add(2*s.earlierLeaseBound())) {
		return false
	}
	for inc := range s.unresolved {
		if w := s.workers[inc]; !now.After(s.earlierLeasesEnd(inc)) || (w != nil && w.answered && !s.leasesExpired(w, now)) {
			return false
		}
	}
	return true
}

// listedSilenceLimit is the longest time for which tasks wait for the report of a listed worker that doesn't answer, beyond the
// expiry of its leases. The report would tell which of them succeeded there, so that they need not run again.
const listedSilenceLimit = 10 * time.Second

// allEarlierRunsEnded reports whether every run of an earlier holder has certainly ended, on workers that have not reported to
// this holder too, and their reports have been waited for long enough. The ends that such a worker has yet to list were followed
// by the expiry of its lease, so a second run of a task that succeeded there is allowed.
func (s *Scheduler) allEarlierRunsEnded(now time.Time) bool {
	now = s.provenTime(now)
	if !s.earlierLeasesExpired(now) {
		return false
	}
	for inc, since := range s.unresolved {
		if now.Sub(since) <= listedSilenceLimit {
			return false
		}
		lastEnd := s.lastEarlierGrant(inc).Add(lateOrderBound + s.localLeaseBound(s.timing.MaxLease))
		for _, later := range s.laterIncarnations(inc) { // may carry out late orders to this one
			if !now.After(lastEnd) || (later.answered && !s.leasesExpired(later, now)) {
				return false
			}
		}
	}
	return true
}

// earlierLeaseBound returns the longest time that a lease of an earlier holder can last, measured by the local clock.
// Earlier holders grant the same lease; their estimate of a worker's clock is ahead by its drift during a lease at most.
func (s *Scheduler) earlierLeaseBound() time.Duration {
	return s.localLeaseBound(time.Duration(float64(s.timing.Lease) * (1 + maxClockDrift)))
}

// earlierHoldersSuspendedAt returns the time from which no earlier holder that learns of replacements grants leases or starts tasks;
// zero if all of them have ended.
func (s *Scheduler) earlierHoldersSuspendedAt() time.Time {
	if s.LastForcedTakeover.IsZero() {
		return time.Time{}
	}
	return s.LastForcedTakeover.Add(s.localLeaseBound(ReplacedHolderBound))
}

// lastEarlierGrant returns the latest time at which earlier holders can have granted a lease on an unresolved incarnation.
func (s *Scheduler) lastEarlierGrant(inc Incarnation) time.Time {
	return laterTime(s.unresolved[inc], s.earlierHoldersSuspendedAt())
}

// earlierLeasesEnd returns the time at which leases of earlier holders on an unresolved incarnation are certain to have
// expired. If a later incarnation carried out a start that was ordered from this one, the deadline was by another clock, and
// only the longest lease that workers grant bounds the run.
func (s *Scheduler) earlierLeasesEnd(inc Incarnation) time.Time {
	if s.HasLaterIncarnation(inc) {
		return s.lastEarlierGrant(inc).Add(s.localLeaseBound(s.timing.MaxLease))
	}
	return s.lastEarlierGrant(inc).Add(s.earlierLeaseBound())
}

// localLeaseBound returns the longest time that a lease, or what another clock measures, can last by the local clock.
func (s *Scheduler) localLeaseBound(lease time.Duration) time.Duration {
	return time.Duration(float64(lease) / (1 - maxClockDrift))
}

// mayHaveEarlierLease reports whether an earlier holder may have granted a lease for tasks to a worker that has not
// answered yet. Earlier holders started tasks on the incarnations of their roster only.
func (s *Scheduler) mayHaveEarlierLease(worker string) bool {
	for inc := range s.unresolved {
		if inc.Worker == worker {
			return true
		}
	}
	return false
}

// allResolved reports whether every run that an earlier holder may have started is known or has certainly ended.
func (s *Scheduler) allResolved(now time.Time) bool {
	s.dropResolved(now)
	if len(s.unresolved) == 0 {
		return true
	}
	// A worker that answers later may take several reports to list its ends, which change nothing about this.
	s.earlierRunsEnded = s.earlierRunsEnded || s.allEarlierRunsEnded(now)
	return s.earlierRunsEnded
}

// dropResolved drops the unresolved incarnations of which nothing more can become known.
func (s *Scheduler) dropResolved(now time.Time) {
	now = s.provenTime(now)
	for inc := range s.unresolved {
		w := s.workers[inc]
		switch {
		case w != nil && w.fullyReported, s.hasReportingSuccessor(inc):
			delete(s.unresolved, inc)
		case now.After(s.lastEarlierGrant(inc).Add(s.earlierLeaseBound())) && !s.isListed(inc):
			delete(s.unresolved, inc)
		}
	}
}

// mayAcknowledge reports whether the worker may forget ends that are stored. An earlier holder that goes on could start a task
// whose end was forgotten again, on a worker that has not seen this epoch. It can't if holders that may have been replaced are
// suspended by now, as SetValidity does, or if there is no such worker.
func (s *Scheduler) mayAcknowledge(w *worker, now time.Time) bool {
	suspended := !s.validUntil.IsZero() && now.After(s.earlierHoldersSuspendedAt())
	return s.allResolved(now) || (w.answered && (suspended || s.allAnswered()))
}

// allAnswered reports whether every worker on which an earlier holder may start tasks has seen this epoch.
func (s *Scheduler) allAnswered() bool {
	for inc := range s.unresolved {
		w := s.workers[inc]
		if (w == nil || !w.answered) && !slices.ContainsFunc(s.laterIncarnations(inc), func(w *worker) bool { return w.answered }) {
			return false
		}
	}
	return true
}

// UnresolvedIncarnations returns the incarnations that jobs of earlier holders still wait for, sorted by worker.
func (s *Scheduler) UnresolvedIncarnations(now time.Time) []Incarnation {
	s.initialise()
	if s.allResolved(now) {
		return nil
	}
	return s.SilentIncarnations()
}

// SilentIncarnations returns the incarnations on which an earlier holder may have started tasks and that have not reported to
// this holder, sorted by worker, whether jobs still wait for them or not.
func (s *Scheduler) SilentIncarnations() []Incarnation {
	incarnations := slices.Collect(maps.Keys(s.unresolved))
	slices.SortFunc(incarnations, func(a, c Incarnation) int { return cmp.Compare(a.Worker, c.Worker) })
	return incarnations
}

// ReadyForHandOver reports whether the next holder would have no incarnation to wait for: every incarnation with
// runs is listed and answers.
func (s *Scheduler) ReadyForHandOver(now time.Time) bool {
	s.initialise()
	if s.dropResolved(now); len(s.unresolved) > 0 {
		return false
	}
	for _, w := range s.sortedWorkers {
		if len(w.runs) > 0 && (w.consecutiveMisses > 0 || !w.listed) {
			return false
		}
	}
	return true
}
