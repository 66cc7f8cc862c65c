package work

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// anyEnd stands for an unknown number of acknowledged ends.
	anyEnd = math.MaxUint64
	// strayMemory is the time, after the last moment at which a stray acknowledgement can be carried out, for which it is remembered: an
	// incarnation that is heard of later began later.
	strayMemory = time.Minute
)

// strayAcknowledgement is what calls to an incarnation may have acknowledged at a later one of its worker. The numbers of ends start anew
// there, and it may forget ends up to the acknowledged number as they come, before it has listed them.
type strayAcknowledgement struct {
	// cursor is the highest number that was acknowledged.
	cursor uint64
	// until is the time until which the calls may be carried out.
	until time.Time
	// rosterOnly is true if the calls are those that an earlier holder may have made. That holder knew of none that concern the other
	// incarnations on its roster.
	rosterOnly bool
}

// AddUnsettledIncarnation adds an incarnation to which an earlier holder may have sent acknowledgements that a later incarnation of the
// worker, on its roster or not, has carried out.
func (s *Scheduler) AddUnsettledIncarnation(inc Incarnation, now time.Time) {
	s.initialise()
	s.strays[inc] = strayAcknowledgement{cursor: anyEnd, until: now}
}

// UnsettledIncarnations returns the incarnations that the next holder must pass to AddUnsettledIncarnation if this roster is stored.
func (s *Scheduler) UnsettledIncarnations(roster map[Incarnation]bool, now time.Time) []Incarnation {
	s.initialise()
	s.dropOldStrays(now)
	unsettled := make(map[Incarnation]bool)
	for inc, stray := range s.strays {
		if !stray.rosterOnly || s.workers[inc] == nil || s.HasLaterIncarnation(inc) {
			unsettled[inc] = true
		}
	}
	for inc := range roster {
		// Acknowledgements to this one may still be sent before a later one is admitted.
		if s.precedesUnknown(inc, roster) {
			unsettled[inc] = true
		}
	}
	return slices.SortedFunc(maps.Keys(unsettled), compareIncarnations)
}

// precedesUnknown reports whether a roster has a later incarnation of the worker that isn't known yet.
func (s *Scheduler) precedesUnknown(inc Incarnation, roster map[Incarnation]bool) bool {
	for later := range roster {
		if later.Worker == inc.Worker && later.StartMillis > inc.StartMillis && s.workers[later] == nil {
			return true
		}
	}
	return false
}

// dropOldStrays drops what concerns no incarnation that may still be heard of.
func (s *Scheduler) dropOldStrays(now time.Time) {
	for inc := range s.strays {
		if s.workers[inc] == nil && now.After(s.strayUntil(inc).Add(strayMemory)) {
			delete(s.strays, inc)
		}
	}
}

// strayUntil returns the time until which stray acknowledgements to the incarnation may be carried out.
func (s *Scheduler) strayUntil(inc Incarnation) time.Time {
	stray := s.strays[inc]
	if stray.cursor != anyEnd {
		return stray.until
	}
	return laterTime(stray.until, s.earlierHoldersSuspendedAt()).Add(lateOrderBound)
}

// strayCursor returns the highest end number that may have been acknowledged at an incarnation by calls to earlier ones; zero if there is
// none.
func (s *Scheduler) strayCursor(inc Incarnation) uint64 {
	var cursor uint64
	_, onRoster := s.strays[inc]
	for earlier, stray := range s.strays {
		if earlier.Worker == inc.Worker && earlier.StartMillis < inc.StartMillis && (!stray.rosterOnly || !onRoster) {
			cursor = max(cursor, stray.cursor)
		}
	}
	return cursor
}

// acknowledge returns the number of the last end that a renewal tells the worker to forget, and zero if the worker has listed none that
// may be forgotten: a number that isn't needed could only do harm at a later incarnation.
func (s *Scheduler) acknowledge(w *worker, now time.Time) uint64 {
	if s.mayAcknowledge(w, now) {
		w.advanceAcknowledged()
	}
	if w.oldestListedEnd == 0 || w.oldestListedEnd > w.acknowledged {
		w.acknowledgeableSince = time.Time{}
		return 0
	}
	if w.acknowledgeableSince.IsZero() {
		w.acknowledgeableSince = now
	}
	// If a start and an acknowledgement both reached the next incarnation before it is known, the end of that run could be forgotten.
	starts, uncertain := w.unreportedStarts(now)
	if !w.admitted || w.consecutiveMisses > 0 || starts || uncertain || !s.isValid(now) || s.HasLaterIncarnation(w.Incarnation) {
		return 0
	}
	return w.acknowledged
}

// unreportedStarts reports whether the worker was told to start what no report of this incarnation has listed yet, and whether an order of
// them got no answer. The latter may never be listed, and count for as long as they may be carried out.
func (w *worker) unreportedStarts(now time.Time) (starts, uncertain bool) {
	starts = w.startsInFlight > 0
	for _, r := range w.runs {
		switch {
		case !r.lastReported.IsZero() || now.Sub(r.startedAt) > lateOrderBound:
		case r.phase == phaseUncertain || r.phase == phaseStopping:
			uncertain = true
		default:
			starts = true
		}
	}
	return starts, uncertain
}

// maxAcknowledgementDelay is how long starts may hold up an acknowledgement. After that the worker gets none until it is sent, unless it
// waits for an order without an answer.
const maxAcknowledgementDelay = time.Second

// mayForgetStarted reports whether the next incarnation of the worker, as long as it isn't known, could forget the end of a run that is
// started now, or whether an acknowledgement has to be sent first.
func (w *worker) mayForgetStarted(now time.Time) bool {
	delayed := !w.acknowledgeableSince.IsZero() && now.Sub(w.acknowledgeableSince) > maxAcknowledgementDelay
	if delayed {
		_, uncertain := w.unreportedStarts(now)
		delayed = !uncertain
	}
	return w.sentCursor > 0 || now.Before(w.strayUntil) || delayed
}

// recordSentAcknowledgement records that a renewal with this acknowledgement is sent.
func (s *Scheduler) recordSentAcknowledgement(w *worker, cursor uint64, now time.Time) {
	if cursor == 0 {
		return
	}
	w.sentCursor, w.strayBefore, w.acknowledgeableSince = cursor, s.strays[w.Incarnation], time.Time{}
	stray := w.strayBefore
	stray.cursor, stray.until, stray.rosterOnly = max(stray.cursor, cursor), laterTime(stray.until, now.Add(lateOrderBound)), false
	s.strays[w.Incarnation] = stray
}

// recordMissedAcknowledgement records that the last renewal got no answer. It may be carried out late, by a later incarnation too.
func (s *Scheduler) recordMissedAcknowledgement(w *worker, now time.Time) {
	if w.sentCursor == 0 {
		return
	}
	stray := s.strays[w.Incarnation]
	stray.until = laterTime(stray.until, now.Add(lateOrderBound))
	s.strays[w.Incarnation] = stray
	w.strayUntil = laterTime(w.strayUntil, stray.until)
	w.sentCursor, w.missedCursor = 0, w.sentCursor
}

// observeMissedAcknowledgement settles an acknowledgement without an answer if the next report shows that the worker has carried it out.
// Each call is carried out once at most.
func (s *Scheduler) observeMissedAcknowledgement(w *worker, r Report) {
	if w.missedCursor > 0 && w.sentCursor == 0 && (len(r.Ends) == 0 || r.Ends[0].Number > w.missedCursor) {
		w.sentCursor = w.missedCursor
		s.settleAcknowledgement(w)
		w.strayUntil = s.strays[w.Incarnation].until
	}
	w.missedCursor = 0
}

// settleAcknowledgement records that the last renewal was carried out by the worker's incarnation itself, or by none.
func (s *Scheduler) settleAcknowledgement(w *worker) {
	if w.sentCursor == 0 {
		return
	}
	w.sentCursor = 0
	s.strays[w.Incarnation] = w.strayBefore
	if w.strayBefore.cursor == 0 {
		delete(s.strays, w.Incarnation)
	}
}

// settleEarlierCalls drops what calls may have acknowledged at incarnations after this one if they could only be carried out before the
// renewal that it has just answered.
func (s *Scheduler) settleEarlierCalls(w *worker) {
	for inc := range s.strays {
		concerns := inc == w.Incarnation || (inc.Worker == w.Incarnation.Worker && inc.StartMillis < w.Incarnation.StartMillis && w.listsEnds())
		if concerns && w.renewedAt.After(s.strayUntil(inc)) {
			delete(s.strays, inc)
		}
	}
}

// HandleUnsentRenewal records that a renewal did not reach the worker.
func (s *Scheduler) HandleUnsentRenewal(inc Incarnation, now time.Time) {
	if w := s.workers[inc]; w != nil {
		s.settleAcknowledgement(w)
		s.recordMiss(w, now)
	}
}

// listsEnds reports whether the incarnation lists every end of a run before it forgets it.
func (w *worker) listsEnds() bool { return w.forgettableEnds == 0 }

// observeListedEnds records which ends a report lists. An incarnation that lists one has been told to forget none of the later ones: it has
// answered calls with its own fencing token, so that it refuses those to earlier incarnations.
func (s *Scheduler) observeListedEnds(w *worker, r Report) {
	w.oldestListedEnd = 0
	if len(r.Ends) > 0 {
		w.oldestListedEnd = r.Ends[0].Number
		s.trustEnds(w)
	}
}

// observeForgottenEnd records that a run has ended whose end the worker doesn't list.
func (s *Scheduler) observeForgottenEnd(w *worker) {
	w.forgottenEnds++
	if w.forgottenEnds >= w.forgettableEnds {
		s.trustEnds(w)
	}
}

// trustEnds records that the incarnation lists every further end.
func (s *Scheduler) trustEnds(w *worker) {
	if w.listsEnds() {
		return
	}
	w.forgettableEnds = 0
	for earlier := range s.strays {
		if earlier.Worker == w.Incarnation.Worker && earlier.StartMillis < w.Incarnation.StartMillis {
			delete(s.strays, earlier)
		}
	}
	s.reportForgettableEnds(w)
}

// ForgettableEnds tells that an incarnation may forget ends up to a number before it lists them, or no longer does if the number is zero.
type ForgettableEnds struct {
	Incarnation Incarnation
	// Last is the number of the last of them, or math.MaxUint64 if it isn't known.
	Last uint64
}

func (s *Scheduler) reportForgettableEnds(w *worker) {
	if s.OnForgettableEnds != nil {
		s.OnForgettableEnds(ForgettableEnds{w.Incarnation, w.forgettableEnds})
	}
}
