package work

import (
	"fmt"
	"time"
)

const (
	// slowTo is the share of its pace to which filling work is slowed when a serving task beside it misses its target:
	// three steps bring it to a halt, well within the platform's usual four seconds for harm.
	slowTo = 0.35
	// leastPace is the pace in percent below which filling work is halted.
	leastPace = 10
	// hastenBy is by how many percent filling work is hastened at a time.
	hastenBy = 10
	// calmTail is the share of its target below which a serving task's tail must be before filling work is hastened.
	calmTail = 0.75
	// paceEvery is the least time between two changes: the figures are of the last half second, and a change counts after a tenth.
	paceEvery = 600 * time.Millisecond
	// paceAgain is after how long a pace below the full one is told again: an earlier order without an answer may have been carried out since.
	paceAgain = 2 * time.Second
	// paceRetry is the pause after an order that got no answer.
	paceRetry = 300 * time.Millisecond
	// servingLook is the time between two looks at a worker on which work fills beside a task with a target.
	servingLook = 500 * time.Millisecond
)

// filling is how the work that fills a worker is slowed for the sake of the tasks that serve there. The zero value is the full pace.
type filling struct {
	// slowed is by how many percent the filling tasks are below full pace.
	slowed  int
	changed time.Time
}

func (f filling) pace() int { return fullPace - f.slowed }

// strain is the highest share of its target that a serving task's tail takes on the worker. Ok is false if there is none with a target.
func (w *worker) strain() (most float64, ok bool) {
	for _, r := range w.runs {
		if r.task == nil || r.task.group.spec().TailLatencyTarget == 0 {
			continue
		}
		ok = true
		target := r.task.group.spec().TailLatencyTarget
		most = max(most, float64(r.load)/float64(target.Milliseconds()))
	}
	return most, ok
}

// fills counts the filling tasks on the worker.
func (w *worker) fills() int {
	n := 0
	for _, r := range w.runs {
		if r.fills() {
			n++
		}
	}
	return n
}

func (r *run) fills() bool { return r.task != nil && r.task.group.spec().BestEffort }

// balance sets the pace of the filling work by the worker's newest report.
func (w *worker) balance(now time.Time) {
	strain, serves := w.strain()
	switch {
	case !serves:
		w.filling = filling{}
	case now.Sub(w.filling.changed) < paceEvery:
	case strain > 1 && w.fills() > 0:
		pace := int(float64(w.filling.pace()) * slowTo)
		if pace < leastPace {
			pace = 0
		}
		w.filling = filling{slowed: fullPace - pace, changed: now}
	case strain < calmTail && w.filling.slowed > 0:
		w.filling = filling{slowed: max(0, w.filling.slowed-hastenBy), changed: now}
	}
}

// paces returns an order for each filling task whose worker does not have it at the pace that it should have.
func (b *Scheduler) paces(now time.Time) []Order {
	if !b.shared {
		return nil
	}
	var orders []Order
	for _, w := range b.order {
		if w.misses > 0 || w.fills() == 0 {
			continue
		}
		for _, r := range sortedRuns(w) {
			if !r.fills() || r.phase != phaseRunning || r.pace.sending || now.Before(r.pace.retry) || r.pace.holds(w.filling.pace(), r.adopted, now) {
				continue
			}
			r.pace.sending = true
			orders = append(orders, Order{Kind: OrderPace, Endpoint: w.contact(), Epoch: b.Epoch, Run: r.name, SpeedPercent: w.filling.pace(), Reason: w.paceReason()})
		}
	}
	return orders
}

// paceReason gives the figures that decided, for people who look back.
func (w *worker) paceReason() string {
	strain, _ := w.strain()
	return fmt.Sprintf("%d%%, the serving tasks' tail is %.0f%% of its target", w.filling.pace(), 100*strain)
}

// holds reports whether the worker has the run at the pace. Runs begin at full pace; of those that an earlier holder started nothing is known.
func (p pacing) holds(pace int, adopted bool, now time.Time) bool {
	if !p.set {
		return pace == fullPace && !adopted
	}
	return p.told == pace && (pace == fullPace || now.Sub(p.at) < paceAgain)
}

func (b *Scheduler) paceAnswered(r *run, o Order, a OrderResult, now time.Time) {
	r.pace.sending = false
	if a.Outcome != OutcomeOK {
		r.pace.retry = now.Add(paceRetry)
		return
	}
	r.pace.told, r.pace.at, r.pace.set = o.SpeedPercent, now, true
}
