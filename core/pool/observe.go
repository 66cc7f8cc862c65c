package pool

import (
	"time"

	"siskincross/core/chart"
	"siskincross/core/host"
)

// Observation is the condition of one host in the platform's list, accumulated over several readings.
type Observation struct {
	// Listed is set if the host is in the latest trusted list.
	Listed bool
	// Live, Leaving and Failed are the condition of a listed host. If none is set, the host is restarting.
	Live, Leaving, Failed bool
	// BootCount is the number of starts of the host.
	BootCount int
	// RebootConfirmed is set once the platform has confirmed the reboot of a rebooting host to the observer.
	// Until then, a delayed order of an earlier holder may still restart the host, so that it must not serve.
	RebootConfirmed bool
	// UnchangedFor is how long the list has reported this condition.
	UnchangedFor time.Duration
}

// DetectionTimeouts determines how long the list must report a change before the pool acts on it.
type DetectionTimeouts struct {
	// Missing is how long a host may be missing from the list before it counts as failed.
	Missing time.Duration
	// Recovery is how long a failed host must be listed as live before it serves again.
	Recovery time.Duration
	// Reboot is how long a host may take to return from a reboot.
	Reboot time.Duration
	// Removal is how long a failed host is kept in the row of the pool.
	Removal time.Duration
}

// Transition is an event that an observation triggers for a host.
type Transition struct {
	Event  chart.Event
	Reason string
}

// Transition returns the transition that an observation triggers, and whether there is one.
func (h Host) Transition(o Observation, timeouts DetectionTimeouts, now time.Time) (Transition, bool) {
	if o.Leaving && h.State != host.Leaving {
		return Transition{host.Leave, "the platform is removing the host"}, true
	}
	switch h.State {
	case host.Failed, host.Leaving:
		return h.transitionWhenAway(o, timeouts, now)
	case host.Rebooting:
		return h.transitionWhenRebooting(o, timeouts, now)
	}
	switch {
	case !o.Listed && o.UnchangedFor >= timeouts.Missing:
		return Transition{host.Fail, "the host is missing from the platform's list"}, true
	case o.Failed:
		return Transition{host.Fail, "the platform's list shows the host as failed"}, true
	case o.Listed && !o.Live && !o.Leaving:
		return Transition{host.Fail, "the host is restarting unexpectedly"}, true
	}
	return Transition{}, false
}

// WithObservation returns p after an observation of a host, and the transition that it triggered, if any.
func (p Pool) WithObservation(id host.ID, o Observation, timeouts DetectionTimeouts, now time.Time) (Pool, Transition, bool) {
	h, ok := p.Host(id)
	if !ok {
		return p, Transition{}, false
	}
	transition, ok := h.Transition(o, timeouts, now)
	if !ok {
		return p, Transition{}, false
	}
	next, err := p.WithHostEvent(id, transition.Event, transition.Reason, now)
	if err != nil {
		return p, Transition{}, false
	}
	if h.State == host.Rebooting && transition.Event == host.Return {
		h, _ = next.Host(id)
		h.BootCount, h.LastMaintained = o.BootCount, now
		next = next.WithHost(h)
	}
	return next, transition, true
}

// transitionWhenAway returns the transition of a host that is failed or leaving.
func (h Host) transitionWhenAway(o Observation, timeouts DetectionTimeouts, now time.Time) (Transition, bool) {
	if o.Live && o.UnchangedFor >= timeouts.Recovery {
		return Transition{host.Return, "the host is live again"}, true
	}
	if h.State == host.Leaving && !o.Listed && o.UnchangedFor >= timeouts.Missing {
		return Transition{host.Forget, "the platform removed the host"}, true
	}
	if !o.Live && now.Sub(h.StateSince) >= timeouts.Removal {
		return Transition{host.Forget, "the host did not return"}, true
	}
	return Transition{}, false
}

// transitionWhenRebooting returns the transition of a host whose reboot was recorded.
func (h Host) transitionWhenRebooting(o Observation, timeouts DetectionTimeouts, now time.Time) (Transition, bool) {
	if !o.Listed && o.UnchangedFor >= timeouts.Reboot {
		return Transition{host.Fail, "the host has been missing from the platform's list since its reboot"}, true
	}
	if !o.RebootConfirmed {
		return Transition{}, false
	}
	if o.Live && o.BootCount > h.BootCount {
		return Transition{host.Return, "the host returned from its reboot"}, true
	}
	if now.Sub(h.StateSince) >= timeouts.Reboot {
		return Transition{host.Fail, "the host did not return from its reboot"}, true
	}
	return Transition{}, false
}
