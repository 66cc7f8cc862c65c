package work

import (
	"fmt"
	"time"
)

const (
	// slowdownFactor is the factor by which the pace of best-effort tasks is reduced while a serving task on the
	// same worker misses its latency target. Three reductions halt them, well within the platform's usual limit
	// of four seconds for such interference.
	slowdownFactor = 0.35
	// minPacePercent is the pace below which best-effort tasks are halted.
	minPacePercent = 10
	// paceIncreasePercent is the step, in percentage points, by which the pace is raised again.
	paceIncreasePercent = 10
	// increaseThreshold is the ratio of tail latency to target below which the pace is raised.
	increaseThreshold = 0.75
	// minPaceInterval is the shortest time between two changes of pace. Reported figures cover the last half
	// second, and a change takes effect after a tenth of a second.
	minPaceInterval = 600 * time.Millisecond
	// paceRefreshInterval is the time after which a pace is sent again, because an earlier order without an answer may
	// have been carried out since. Full pace is not sent again later than lateOrderBound after the last such order.
	paceRefreshInterval = 2 * time.Second
	// lateOrderBound is the time after which an order that got no answer is not carried out any more.
	lateOrderBound = 15 * time.Second
	// paceRetryDelay is the delay after a pace order that failed.
	paceRetryDelay = 300 * time.Millisecond
	// latencyPollInterval is the polling interval of a worker on which best-effort tasks run beside a task with
	// a latency target.
	latencyPollInterval = 500 * time.Millisecond
)

// paceControl is the reduction of the pace of the best-effort tasks of a worker in favour of its serving tasks.
// The zero value is full pace.
type paceControl struct {
	// reductionPercent is the difference to full pace in percentage points.
	reductionPercent int
	changedAt        time.Time
	// haltedAt is when the pace last became zero.
	haltedAt time.Time
}

func (c paceControl) percent() int { return fullPacePercent - c.reductionPercent }

// maxLatencyRatio returns the highest ratio of tail latency to target among the serving tasks on the worker, and
// false if no task has a target.
func (w *worker) maxLatencyRatio() (ratio float64, ok bool) {
	for _, r := range w.runs {
		if r.task == nil || r.task.group.spec().TailLatencyTarget == 0 {
			continue
		}
		ok = true
		target := r.task.group.spec().TailLatencyTarget
		ratio = max(ratio, float64(r.load)/float64(target.Milliseconds()))
	}
	return ratio, ok
}

// bestEffortCount returns the number of best-effort tasks on the worker.
func (w *worker) bestEffortCount() int {
	n := 0
	for _, r := range w.runs {
		if r.isBestEffort() {
			n++
		}
	}
	return n
}

func (r *run) isBestEffort() bool { return r.task != nil && r.task.group.spec().BestEffort }

// adjustPace updates the pace of the best-effort tasks from the worker's latest report.
func (w *worker) adjustPace(now time.Time) {
	ratio, serves := w.maxLatencyRatio()
	switch {
	case !serves:
		w.paceControl = paceControl{}
	case now.Sub(w.paceControl.changedAt) < minPaceInterval:
	case ratio > 1 && w.bestEffortCount() > 0:
		pace := int(float64(w.paceControl.percent()) * slowdownFactor)
		if pace < minPacePercent {
			pace = 0
		}
		w.paceControl = paceControl{reductionPercent: fullPacePercent - pace, changedAt: now, haltedAt: w.paceControl.haltedAt}
		if pace == 0 && w.paceControl.haltedAt.IsZero() {
			w.paceControl.haltedAt = now
		}
	case ratio < increaseThreshold && w.paceControl.reductionPercent > 0:
		w.paceControl = paceControl{reductionPercent: max(0, w.paceControl.reductionPercent-paceIncreasePercent), changedAt: now}
	}
}

// paceOrders returns an order for each best-effort task that is not confirmed to run at the pace of its worker.
func (s *Scheduler) paceOrders(now time.Time) []Order {
	if !s.adjustsPace {
		return nil
	}
	var orders []Order
	for _, w := range s.sortedWorkers {
		if w.consecutiveMisses > 0 || w.bestEffortCount() == 0 {
			continue
		}
		for _, r := range sortedRuns(w) {
			if !r.isBestEffort() || r.phase != phaseRunning || r.pace.inFlight || now.Before(r.pace.retryAt) || r.pace.isConfirmed(w.paceControl.percent(), r.adopted, now) {
				continue
			}
			r.pace.inFlight = true
			orders = append(orders, Order{Kind: OrderPace, Endpoint: w.endpoint(), Epoch: s.Epoch, Run: r.id, SpeedPercent: w.paceControl.percent(), Reason: w.paceReason()})
		}
	}
	return orders
}

// paceReason returns the figures behind a change of pace, for the log.
func (w *worker) paceReason() string {
	ratio, _ := w.maxLatencyRatio()
	return fmt.Sprintf("pace %d%%, the tail latency of the serving tasks is %.0f%% of its target", w.paceControl.percent(), 100*ratio)
}

// isConfirmed reports whether the worker is known to run the task at this pace. Runs start at full pace, but the
// pace of a run that an earlier holder started is unknown.
func (p runPace) isConfirmed(pace int, adopted bool, now time.Time) bool {
	if !p.confirmed {
		return pace == fullPacePercent && !adopted && p.slowedAt.IsZero()
	}
	if p.confirmedPercent != pace {
		return false
	}
	isFinal := pace == fullPacePercent && p.confirmedAt.Sub(p.slowedAt) > lateOrderBound
	return isFinal || now.Sub(p.confirmedAt) < paceRefreshInterval
}

// handlePaceResult processes the result of a pace order.
func (s *Scheduler) handlePaceResult(r *run, o Order, res OrderResult, now time.Time) {
	r.pace.inFlight = false
	if res.Outcome == OutcomeUnknown && o.SpeedPercent < fullPacePercent {
		r.pace.slowedAt = now
	}
	if res.Outcome != OutcomeOK {
		r.pace.retryAt = now.Add(paceRetryDelay)
		return
	}
	r.pace.confirmedPercent, r.pace.confirmedAt, r.pace.confirmed = o.SpeedPercent, now, true
}
