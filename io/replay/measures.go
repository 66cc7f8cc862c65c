package replay

import (
	"time"

	"siskincross/core/host"
	"siskincross/io/standin"
)

// Measures are what the users measure.
type Measures struct {
	// IdleShare is the buffer cost: the share of the slots in service that held no work, in [0, 1].
	IdleShare float64 `json:"idle-share"`
	// IdleHostSeconds is the same in seconds of whole hosts.
	IdleHostSeconds float64 `json:"idle-host-seconds"`
	// RollOutSeconds is the longest time from a change to the last entry host that had it in force.
	RollOutSeconds float64 `json:"roll-out-seconds"`
	RollOuts       int     `json:"roll-outs"`
	// Moves counts the hosts that changed from one pool to another.
	Moves int `json:"moves"`
	// Goodput is the lowest share of its pool's slots that an overload filled with work that was answered. It informs only.
	Goodput float64 `json:"goodput"`
	// Overloads counts the demands that asked for more than their pool's hosts can do.
	Overloads int `json:"overloads"`
}

func (e Evidence) measure() Measures {
	m := Measures{Moves: len(e.ownership.moves())}
	for _, change := range e.Changes {
		if d, ok := rollOut(change, e.Probes); ok && change.Accepted {
			m.RollOuts++
			m.RollOutSeconds = max(m.RollOutSeconds, d.Seconds())
		}
	}
	m.Goodput, m.Overloads = e.goodput()
	serving := e.servingSeconds()
	busy := e.busySeconds()
	if serving > 0 {
		m.IdleHostSeconds = serving - busy
		m.IdleShare = m.IdleHostSeconds / serving
	}
	return m
}

// rampUp is the time from the start of an overload until its goodput counts.
const rampUp = 500 * time.Millisecond

// goodput returns the lowest goodput of the demands that asked for more than their pool can do, and their number.
func (e Evidence) goodput() (lowest float64, overloads int) {
	answered := make(map[string]bool)
	for _, call := range e.Calls {
		answered[call.Serial] = call.Outcome == OutcomeAnswered
	}
	for _, d := range e.Trace.of(KindDemand) {
		from := e.Begun.Add(scaled(d.At, e.speed) + rampUp)
		to := e.Begun.Add(scaled(d.At+d.For, e.speed))
		slots := e.slotSeconds(e.pools[d.Queue], from, to) / to.Sub(from).Seconds()
		if slots == 0 || d.Rate*d.Work.Seconds() <= slots {
			continue
		}
		share := e.usefulSeconds(e.pools[d.Queue], from, to, answered) / (slots * to.Sub(from).Seconds())
		if overloads == 0 || share < lowest {
			lowest = share
		}
		overloads++
	}
	return lowest, overloads
}

// slotSeconds sums the time that the slots of a pool's hosts were in service between two moments.
func (e Evidence) slotSeconds(pool string, from, to time.Time) float64 {
	seconds := 0.0
	slots := make(map[host.ID]float64)
	for _, spec := range e.fleet.Hosts {
		if e.ownership.ownerAt(spec.ID, from) == pool {
			slots[spec.ID] = float64(spec.Capacity.Slots)
			seconds += slots[spec.ID] * to.Sub(from).Seconds()
		}
	}
	for _, o := range e.outages() {
		end := o.to
		if end.IsZero() {
			end = to
		}
		seconds -= slots[o.host] * overlap(o.from, end, from, to).Seconds()
	}
	return seconds
}

// usefulSeconds sums the slots' time between two moments in requests that were answered, and in tasks.
func (e Evidence) usefulSeconds(pool string, from, to time.Time, answered map[string]bool) float64 {
	seconds := 0.0
	for _, run := range e.Records.Runs {
		if answered[run.Caller] && run.Outcome == standin.RunWhole && e.ownership.ownerAt(run.Host, run.Started) == pool {
			seconds += overlap(run.Started, run.Finished, from, to).Seconds()
		}
	}
	for _, task := range e.Records.Tasks {
		if task.Spec.Pool == pool {
			seconds += overlap(task.Started, task.Ended, from, to).Seconds()
		}
	}
	return seconds
}

// overlap returns how much of the first span lies in the second.
func overlap(from, to, begin, end time.Time) time.Duration {
	if from.Before(begin) {
		from = begin
	}
	if to.After(end) {
		to = end
	}
	return max(0, to.Sub(from))
}

// servingSeconds sums the time that hosts were in service.
func (e Evidence) servingSeconds() float64 {
	seconds := float64(len(e.fleet.Hosts)) * e.Ended.Sub(e.Begun).Seconds()
	for _, o := range e.outages() {
		to := o.to
		if to.IsZero() {
			to = e.Ended
		}
		seconds -= e.within(o.from, to).Seconds()
	}
	return seconds
}

// busySeconds sums the time that slots were in use, in whole hosts.
func (e Evidence) busySeconds() float64 {
	slots := make(map[string]float64)
	for _, spec := range e.fleet.Hosts {
		slots[string(spec.ID)] = float64(max(1, spec.Capacity.Slots))
	}
	seconds := 0.0
	for _, run := range e.Records.Runs {
		if run.Outcome != standin.RunRefused {
			seconds += e.within(run.Started, run.Finished).Seconds() / slots[string(run.Host)]
		}
	}
	for _, task := range e.Records.Tasks {
		seconds += e.within(task.Started, task.Ended).Seconds() / slots[string(task.Host)]
	}
	return seconds
}

// within returns how much of a span lies in the trace. A zero end stands for the trace's end.
func (e Evidence) within(from, to time.Time) time.Duration {
	if to.IsZero() {
		to = e.Ended
	}
	return overlap(from, to, e.Begun, e.Ended)
}
