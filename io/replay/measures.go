package replay

import (
	"time"

	"siskincross/core/host"
	"siskincross/io/standin"
)

// Measures are the efficiency figures of a replay.
type Measures struct {
	// IdleShare is the buffer cost: the share of the slot time in service that ran no work, in [0, 1].
	IdleShare float64 `json:"idle-share"`
	// IdleHostSeconds is the idle time in host-seconds.
	IdleHostSeconds float64 `json:"idle-host-seconds"`
	// RollOutSeconds is the maximum time from a change until the last entry host had it in force.
	RollOutSeconds float64 `json:"roll-out-seconds"`
	RollOuts       int     `json:"roll-outs"`
	// Moves is the number of moves of hosts between pools.
	Moves int `json:"moves"`
	// Goodput is the minimum over all overloads of the share of the pool's slot time that ran answered work. No property
	// depends on it.
	Goodput float64 `json:"goodput"`
	// Overloads is the number of demands that exceeded the capacity of their pool.
	Overloads int `json:"overloads"`
}

// measures computes the measures of the replay.
func (h History) measures() Measures {
	m := Measures{Moves: len(h.ownership.moves())}
	for _, change := range h.Changes {
		if d, ok := rollOut(change, h.Probes); ok && change.Accepted {
			m.RollOuts++
			m.RollOutSeconds = max(m.RollOutSeconds, d.Seconds())
		}
	}
	m.Goodput, m.Overloads = h.lowestGoodput()
	inService := h.inServiceSeconds()
	busy := h.busySeconds()
	if inService > 0 {
		m.IdleHostSeconds = inService - busy
		m.IdleShare = m.IdleHostSeconds / inService
	}
	return m
}

// rampUp is the time after the start of an overload that its goodput excludes.
const rampUp = 500 * time.Millisecond

// lowestGoodput returns the minimum goodput of the demands that exceeded the capacity of their pool, and their number.
func (h History) lowestGoodput() (lowest float64, overloads int) {
	answered := make(map[string]bool)
	for _, call := range h.Calls {
		answered[call.Serial] = call.Outcome == OutcomeAnswered
	}
	for _, d := range h.Trace.eventsOfKind(KindDemand) {
		from := h.Started.Add(scaled(d.At, h.speed) + rampUp)
		to := h.Started.Add(scaled(d.At+d.For, h.speed))
		slots := h.slotSeconds(h.pools[d.Queue], from, to) / to.Sub(from).Seconds()
		if slots == 0 || d.Rate*d.Work.Seconds() <= slots {
			continue
		}
		share := h.goodputSeconds(h.pools[d.Queue], from, to, answered) / (slots * to.Sub(from).Seconds())
		if overloads == 0 || share < lowest {
			lowest = share
		}
		overloads++
	}
	return lowest, overloads
}

// slotSeconds returns the total time that the slots of a pool's hosts were in service between two times.
func (h History) slotSeconds(pool string, from, to time.Time) float64 {
	seconds := 0.0
	slots := make(map[host.ID]float64)
	for _, spec := range h.fleet.Hosts {
		if h.ownership.owner(spec.ID, from) == pool {
			slots[spec.ID] = float64(spec.Capacity.Slots)
			seconds += slots[spec.ID] * to.Sub(from).Seconds()
		}
	}
	for _, o := range h.outages() {
		end := o.end
		if end.IsZero() {
			end = to
		}
		seconds -= slots[o.host] * overlap(o.start, end, from, to).Seconds()
	}
	return seconds
}

// goodputSeconds returns the total time between two times that slots of a pool ran answered requests and tasks.
func (h History) goodputSeconds(pool string, from, to time.Time, answered map[string]bool) float64 {
	seconds := 0.0
	for _, run := range h.Records.Requests {
		if answered[run.CallerSerial] && run.Outcome == standin.RunWhole && h.ownership.owner(run.Host, run.Started) == pool {
			seconds += overlap(run.Started, run.Finished, from, to).Seconds()
		}
	}
	for _, task := range h.Records.Tasks {
		if task.Spec.Pool == pool {
			seconds += overlap(task.Started, task.Ended, from, to).Seconds()
		}
	}
	return seconds
}

// overlap returns the part of the span from, to that lies within begin, end.
func overlap(from, to, begin, end time.Time) time.Duration {
	if from.Before(begin) {
		from = begin
	}
	if to.After(end) {
		to = end
	}
	return max(0, to.Sub(from))
}

// inServiceSeconds returns the total time that hosts were in service, in host-seconds.
func (h History) inServiceSeconds() float64 {
	seconds := float64(len(h.fleet.Hosts)) * h.Ended.Sub(h.Started).Seconds()
	for _, o := range h.outages() {
		to := o.end
		if to.IsZero() {
			to = h.Ended
		}
		seconds -= h.withinTrace(o.start, to).Seconds()
	}
	return seconds
}

// busySeconds returns the total time that slots were in use, in host-seconds.
func (h History) busySeconds() float64 {
	slots := make(map[string]float64)
	for _, spec := range h.fleet.Hosts {
		slots[string(spec.ID)] = float64(max(1, spec.Capacity.Slots))
	}
	seconds := 0.0
	for _, run := range h.Records.Requests {
		if run.Outcome != standin.RunRefused {
			seconds += h.withinTrace(run.Started, run.Finished).Seconds() / slots[string(run.Host)]
		}
	}
	for _, task := range h.Records.Tasks {
		seconds += h.withinTrace(task.Started, task.Ended).Seconds() / slots[string(task.Host)]
	}
	return seconds
}

// withinTrace returns the part of a span that lies within the trace. A zero end means the end of the trace.
func (h History) withinTrace(from, to time.Time) time.Duration {
	if to.IsZero() {
		to = h.Ended
	}
	return overlap(from, to, h.Started, h.Ended)
}
