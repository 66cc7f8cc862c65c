package plan

import (
	"math"
	"time"
)

// Demand is the work that was offered to one pool, step by step over a window.
// The zero value has seen nothing. Demands are immutable.
type Demand struct {
	// minutes holds the slots that the offered work would have kept busy in
	// each step, oldest first. All but the last hold minuteSteps steps.
	minutes [][]float32
}

const (
	// DemandStep is the time between two observations of a Demand.
	DemandStep = time.Second
	// minuteSteps is the number of steps that a Demand drops together.
	minuteSteps = 60
	// demandMinutes is the length of the window: many times the time in which
	// peaks take their turns, so that a size that was right for an hour is not
	// given up for one quiet turn.
	demandMinutes = 60
)

// WithStep returns the demand after one more step.
func (d Demand) WithStep(slots float64) Demand {
	minutes := make([][]float32, 0, demandMinutes+1)
	last := make([]float32, 0, minuteSteps)
	if n := len(d.minutes); n > 0 && len(d.minutes[n-1]) < minuteSteps {
		last = append(last, d.minutes[n-1]...)
		minutes = append(minutes, d.minutes[:n-1]...)
	} else {
		minutes = append(minutes, d.minutes[max(0, n-demandMinutes+1):]...)
	}
	return Demand{minutes: append(minutes, append(last, float32(slots)))}
}

// WindowFull reports whether the demand has seen a whole window.
func (d Demand) WindowFull() bool { return len(d.minutes) == demandMinutes }

// steps calls yield for each step, oldest first.
func (d Demand) steps(yield func(float64) bool) {
	for _, minute := range d.minutes {
		for _, work := range minute {
			if !yield(float64(work)) {
				return
			}
		}
	}
}

// Peak returns the most slots offered in one step of the window.
func (d Demand) Peak() float64 {
	peak := 0.0
	for work := range d.steps {
		peak = max(peak, work)
	}
	return peak
}

// Last returns the slots offered in the newest step.
func (d Demand) Last() float64 {
	if len(d.minutes) == 0 {
		return 0
	}
	last := d.minutes[len(d.minutes)-1]
	return float64(last[len(last)-1])
}

// MinHosts returns the fewest hosts of so many slots that would have served
// the window with no work waiting longer than wait. A peak that is shorter than
// the time it may wait needs fewer hosts than its height.
func (d Demand) MinHosts(slots int, wait time.Duration) int {
	low, high := 0, hostsFor(d.Peak(), slots)
	for low < high {
		middle := (low + high) / 2
		if d.absorbed(float64(middle*slots), wait) {
			high = middle
		} else {
			low = middle + 1
		}
	}
	return low
}

// absorbed reports whether a pool of that many slots would have kept every wait within the bound.
func (d Demand) absorbed(slots float64, wait time.Duration) bool {
	allowed := slots * wait.Seconds() / DemandStep.Seconds()
	backlog := 0.0
	for work := range d.steps {
		backlog = max(0, backlog+work-slots)
		if backlog > allowed {
			return false
		}
	}
	return true
}

func hostsFor(busy float64, slots int) int {
	if slots <= 0 {
		return 0
	}
	return int(math.Ceil(busy / float64(slots)))
}

// DemandMeter turns counts of requests into the slots that the offered work keeps
// busy. The zero value has measured nothing. Meters are immutable.
type DemandMeter struct {
	queued   int
	total    int
	arrivals uint64
	started  bool
	// seconds is the mean time for which a request keeps its slot.
	seconds float64
}

// meterGain is the weight of a new measurement of the mean service time.
const meterGain = 0.1

// WithObservation returns the meter after an observation, elapsed after the one before,
// and the slots that the work offered since then keeps busy: those in use and
// those that the growth of the queue will need.
func (m DemandMeter) WithObservation(inProgress, queued int, arrivals uint64, elapsed time.Duration) (DemandMeter, float64) {
	next := DemandMeter{queued: queued, total: inProgress + queued, arrivals: arrivals, started: true, seconds: m.seconds}
	if !m.started || elapsed <= 0 {
		return next, float64(inProgress)
	}
	finished := float64(arrivals-m.arrivals) - float64(next.total-m.total)
	if finished > 0 {
		measured := float64(inProgress) * elapsed.Seconds() / finished
		next.seconds += meterGain * (measured - m.seconds)
		if m.seconds == 0 {
			next.seconds = measured
		}
	}
	growth := float64(queued-m.queued) * next.seconds / elapsed.Seconds()
	return next, max(0, float64(inProgress)+growth)
}
