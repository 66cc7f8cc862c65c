package plan

import (
	"math"
	"time"
)

// Demand is the load offered to one pool in each step of a sliding window. The zero value is empty. Demands are
// immutable.
type Demand struct {
	// minutes holds the number of slots that the offered load would have occupied in each step, the oldest
	// first. All elements but the last hold minuteSteps steps.
	minutes [][]float32
}

const (
	// DemandStep is the interval between two observations of a Demand.
	DemandStep = time.Second
	// minuteSteps is the number of steps that are discarded together when the window slides.
	minuteSteps = 60
	// demandMinutes is the length of the window. It spans many cycles of the peaks, so that a size that was
	// right for an hour is not reduced because of one quiet cycle.
	demandMinutes = 60
)

// WithStep returns the demand with another step appended.
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

// WindowFull reports whether the demand covers a whole window.
func (d Demand) WindowFull() bool { return len(d.minutes) == demandMinutes }

// steps calls yield for each step, the oldest first.
func (d Demand) steps(yield func(float64) bool) {
	for _, minute := range d.minutes {
		for _, load := range minute {
			if !yield(float64(load)) {
				return
			}
		}
	}
}

// Peak returns the maximum load of a step of the window, in slots.
func (d Demand) Peak() float64 {
	peak := 0.0
	for load := range d.steps {
		peak = max(peak, load)
	}
	return peak
}

// Last returns the load of the latest step, in slots.
func (d Demand) Last() float64 {
	if len(d.minutes) == 0 {
		return 0
	}
	last := d.minutes[len(d.minutes)-1]
	return float64(last[len(last)-1])
}

// MinHosts returns the minimum number of hosts with the given slots that would have served the window without
// any request waiting longer than wait. A peak that is shorter than the permitted wait needs fewer hosts than
// its height.
func (d Demand) MinHosts(slots int, wait time.Duration) int {
	low, high := 0, hostsFor(d.Peak(), slots)
	for low < high {
		middle := (low + high) / 2
		if d.servesWithin(float64(middle*slots), wait) {
			high = middle
		} else {
			low = middle + 1
		}
	}
	return low
}

// servesWithin reports whether a pool with the given slots would have kept all waits of the window within the
// bound.
func (d Demand) servesWithin(slots float64, wait time.Duration) bool {
	allowed := slots * wait.Seconds() / DemandStep.Seconds()
	backlog := 0.0
	for load := range d.steps {
		backlog = max(0, backlog+load-slots)
		if backlog > allowed {
			return false
		}
	}
	return true
}

// hostsFor returns the number of hosts with the given slots that hold the busy slots.
func hostsFor(busy float64, slots int) int {
	if slots <= 0 {
		return 0
	}
	return int(math.Ceil(busy / float64(slots)))
}

// DemandMeter derives the offered load, in slots, from counts of requests. The zero value has no measurements.
// DemandMeters are immutable.
type DemandMeter struct {
	queued   int
	total    int
	arrivals uint64
	started  bool
	// serviceSeconds is the mean time for which a request occupies its slot; zero before the first measurement.
	serviceSeconds float64
}

// meterSmoothing is the weight of a new measurement in the moving average of the service time.
const meterSmoothing = 0.1

// WithObservation returns the meter after an observation, and the offered load in slots since the previous
// observation, which was elapsed earlier. The load consists of the slots in use and those that the growth of
// the queue will need.
func (m DemandMeter) WithObservation(inProgress, queued int, arrivals uint64, elapsed time.Duration) (DemandMeter, float64) {
	next := DemandMeter{queued: queued, total: inProgress + queued, arrivals: arrivals, started: true, serviceSeconds: m.serviceSeconds}
	if !m.started || elapsed <= 0 {
		return next, float64(inProgress)
	}
	finished := float64(arrivals-m.arrivals) - float64(next.total-m.total)
	if finished > 0 {
		measured := float64(inProgress) * elapsed.Seconds() / finished
		next.serviceSeconds += meterSmoothing * (measured - m.serviceSeconds)
		if m.serviceSeconds == 0 {
			next.serviceSeconds = measured
		}
	}
	growth := float64(queued-m.queued) * next.serviceSeconds / elapsed.Seconds()
	return next, max(0, float64(inProgress)+growth)
}
