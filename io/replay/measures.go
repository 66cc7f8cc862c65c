package replay

import (
	"time"

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
}

func (e Evidence) measure() Measures {
	m := Measures{Moves: len(e.ownership.moves())}
	for _, change := range e.Changes {
		if d, ok := rollOut(change, e.Probes); ok && change.Accepted {
			m.RollOuts++
			m.RollOutSeconds = max(m.RollOutSeconds, d.Seconds())
		}
	}
	serving := e.servingSeconds()
	busy := e.busySeconds()
	if serving > 0 {
		m.IdleHostSeconds = serving - busy
		m.IdleShare = m.IdleHostSeconds / serving
	}
	return m
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
	if to.IsZero() || to.After(e.Ended) {
		to = e.Ended
	}
	if from.Before(e.Begun) {
		from = e.Begun
	}
	return max(0, to.Sub(from))
}
