package work

import "time"

// lateStarts holds the incarnations that have left start orders unanswered, with the time until which these may still be carried out.
// A later incarnation of the worker doesn't start what is ordered by them, but takes over their lease deadlines, which are by
// the earlier one's clock. The zero value has none.
type lateStarts struct {
	until map[Incarnation]time.Time
}

// add records that a start order to an incarnation got no answer.
func (l *lateStarts) add(inc Incarnation, now time.Time) {
	if l.until == nil {
		l.until = make(map[Incarnation]time.Time)
	}
	l.until[inc] = now.Add(lateOrderBound)
}

// lastFor returns the time until which start orders to earlier incarnations of the worker may be carried out; zero if there are none. It
// forgets those that ended before the given time.
func (l *lateStarts) lastFor(inc Incarnation, endedBefore time.Time) time.Time {
	var last time.Time
	for earlier, until := range l.until {
		switch {
		case until.Before(endedBefore):
			delete(l.until, earlier)
		case earlier.Worker == inc.Worker && earlier.StartMillis < inc.StartMillis:
			last = laterTime(last, until)
		}
	}
	return last
}

// leasesExpired reports whether every lease that the worker may hold has certainly expired, also one that a late start order to an
// earlier incarnation has extended.
func (s *Scheduler) leasesExpired(w *worker, now time.Time) bool {
	if !w.clock.allLeasesExpired(now) {
		return false
	}
	bound := s.localLeaseBound(s.timing.MaxLease)
	last := s.lateStarts.lastFor(w.Incarnation, now.Add(-bound))
	return last.IsZero() || now.After(last.Add(bound))
}
