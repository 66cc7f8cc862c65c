package work

import (
	"slices"
	"time"
)

// lateStarts holds the start orders without an answer that may still be carried out. A later incarnation of the worker refuses most of
// them as old, but takes over their lease deadlines, which are by the earlier one's clock. The zero value has none.
type lateStarts struct {
	byWorker map[string]map[RunID][]lateStart
}

// lateStart is what is known of the unanswered orders to an incarnation to start a run.
type lateStart struct {
	// endpoint is where the orders were sent, with the highest generation of them.
	endpoint Endpoint
	// count is the number of orders that have not shown to be carried out; each is carried out once at most.
	count int
	// until is the time until which they may be.
	until time.Time
	// shown is true once one of them has shown to be carried out, or the run's being listed can't show it because another order was
	// answered.
	shown bool
	// misdirected is true once another worker has answered at the address: it refuses the orders.
	misdirected bool
}

// lateStartMemory is the time for which an unanswered start is remembered: until it and the lease that it may extend have ended.
const lateStartMemory = 2 * lateOrderBound

// mayCome reports whether some of the orders may still be carried out.
func (l lateStart) mayCome(now time.Time) bool { return l.count > 0 && !now.After(l.until) }

// add records that an order to start a run got no answer.
func (l *lateStarts) add(o Order, now time.Time) {
	l.dropOld(now)
	worker := o.Incarnation.Worker
	if l.byWorker == nil {
		l.byWorker = make(map[string]map[RunID][]lateStart)
	}
	if l.byWorker[worker] == nil {
		l.byWorker[worker] = make(map[RunID][]lateStart)
	}
	orders := l.byWorker[worker][o.Run]
	i := slices.IndexFunc(orders, func(late lateStart) bool { return late.endpoint.Incarnation == o.Incarnation })
	if i < 0 {
		i, orders = len(orders), append(orders, lateStart{endpoint: o.Endpoint})
	}
	orders[i].count++
	orders[i].until = now.Add(lateOrderBound)
	orders[i].endpoint.Generation = max(orders[i].endpoint.Generation, o.Generation)
	l.byWorker[worker][o.Run] = orders
}

// dropOld drops the orders that concern nothing any more.
func (l *lateStarts) dropOld(now time.Time) {
	for worker, runs := range l.byWorker {
		for run, orders := range runs {
			orders = slices.DeleteFunc(orders, func(late lateStart) bool { return now.Sub(late.until) > lateStartMemory })
			if runs[run] = orders; len(orders) == 0 {
				delete(runs, run)
			}
		}
		if len(runs) == 0 {
			delete(l.byWorker, worker)
		}
	}
}

// show records that a worker has listed a run, so one of the orders to start it was carried out.
func (l *lateStarts) show(worker string, run RunID) {
	orders := l.byWorker[worker][run]
	for i := range orders {
		if !orders[i].shown {
			orders[i].count--
			orders[i].shown = true
		}
	}
}

// answered records that an order to start a run was answered: its being listed later doesn't show that an unanswered one was carried out.
func (l *lateStarts) answered(worker string, run RunID) {
	orders := l.byWorker[worker][run]
	for i := range orders {
		orders[i].shown = true
	}
}

// mayCome reports whether an unanswered order to start a run may still be carried out.
func (l *lateStarts) mayCome(worker string, run RunID, now time.Time) bool {
	return slices.ContainsFunc(l.byWorker[worker][run], func(late lateStart) bool { return late.mayCome(now) })
}

// lastFor returns the time until which start orders to earlier incarnations of the worker may be carried out; zero if there are none.
func (l *lateStarts) lastFor(inc Incarnation) time.Time {
	var last time.Time
	for _, orders := range l.byWorker[inc.Worker] {
		for _, late := range orders {
			if late.count > 0 && late.endpoint.Incarnation.StartMillis < inc.StartMillis {
				last = laterTime(last, late.until)
			}
		}
	}
	return last
}

// target returns the endpoint of the worker's latest incarnation to which a start order may still be carried out, with the highest
// generation of these orders, and false if there is none.
func (l *lateStarts) target(worker string, now time.Time) (Endpoint, bool) {
	var target Endpoint
	found := false
	for _, orders := range l.byWorker[worker] {
		for _, late := range orders {
			if !late.mayCome(now) || late.misdirected {
				continue
			}
			generation := max(target.Generation, late.endpoint.Generation)
			if !found || late.endpoint.Incarnation.StartMillis > target.Incarnation.StartMillis {
				target = late.endpoint
			}
			target.Generation, found = generation, true
		}
	}
	return target, found
}

// markMisdirected records that another worker answers at the address of this one.
func (l *lateStarts) markMisdirected(worker, address string) {
	for _, orders := range l.byWorker[worker] {
		for i := range orders {
			orders[i].misdirected = orders[i].misdirected || orders[i].endpoint.Address == address
		}
	}
}

// leasesExpired reports whether every lease that the worker may hold has certainly expired, also one that a late start order to an
// earlier incarnation has extended.
func (s *Scheduler) leasesExpired(w *worker, now time.Time) bool {
	if !w.clock.allLeasesExpired(now) {
		return false
	}
	last := s.lateStarts.lastFor(w.Incarnation)
	return last.IsZero() || now.After(last.Add(s.localLeaseBound(s.timing.MaxLease)))
}
