package pool

import (
	"time"

	"siskincross/core/chart"
	"siskincross/core/host"
)

// Observation is what the platform's list told of one host, over several readings.
type Observation struct {
	// Listed tells whether the newest trusted list has the host.
	Listed bool
	// Live, Leaving and Failed give the condition of a listed host; all false means that it is restarting.
	Live, Leaving, Failed bool
	// BootCount counts the host's starts.
	BootCount int
	// RebootConfirmed tells that the platform confirmed the reboot of a rebooting host to
	// the observer. Until then a late order of an earlier holder could still
	// restart the host, so that it must not serve.
	RebootConfirmed bool
	// UnchangedFor is how long the list has told the same of the host.
	UnchangedFor time.Duration
}

// DetectionTimeouts bounds how fast a pool believes the list.
type DetectionTimeouts struct {
	// Missing is how long a host may be missing from the list before it counts as failed.
	Missing time.Duration
	// Recovery is how long a failed host must be listed live before it serves again.
	Recovery time.Duration
	// Reboot is how long a host may take to come back from a reboot.
	Reboot time.Duration
	// Removal is how long a failed host stays in the pool's row.
	Removal time.Duration
}

// Transition is one event that a sight of a host calls for.
type Transition struct {
	Event  chart.Event
	Reason string
}

// Transition returns what a sight of h means, and whether it means anything.
func (h Host) Transition(s Observation, patience DetectionTimeouts, now time.Time) (Transition, bool) {
	if s.Leaving && h.State != host.Leaving {
		return Transition{host.Leave, "the platform is taking the host away"}, true
	}
	switch h.State {
	case host.Failed, host.Leaving:
		return h.judgeAway(s, patience, now)
	case host.Rebooting:
		return h.judgeRebooting(s, patience, now)
	}
	switch {
	case !s.Listed && s.UnchangedFor >= patience.Missing:
		return Transition{host.Fail, "the host is missing from the platform's list"}, true
	case s.Failed:
		return Transition{host.Fail, "the platform's list shows the host failed"}, true
	case s.Listed && !s.Live && !s.Leaving:
		return Transition{host.Fail, "the host is restarting unasked"}, true
	}
	return Transition{}, false
}

// WithObservation returns p after what the list told of a host, and the change, if there is any.
func (p Pool) WithObservation(id host.ID, s Observation, patience DetectionTimeouts, now time.Time) (Pool, Transition, bool) {
	h, ok := p.Host(id)
	if !ok {
		return p, Transition{}, false
	}
	change, ok := h.Transition(s, patience, now)
	if !ok {
		return p, Transition{}, false
	}
	next, err := p.WithHostEvent(id, change.Event, change.Reason, now)
	if err != nil {
		return p, Transition{}, false
	}
	if h.State == host.Rebooting && change.Event == host.Return {
		h, _ = next.Host(id)
		h.BootCount, h.LastMaintained = s.BootCount, now
		next = next.WithHost(h)
	}
	return next, change, true
}

func (h Host) judgeAway(s Observation, patience DetectionTimeouts, now time.Time) (Transition, bool) {
	if s.Live && s.UnchangedFor >= patience.Recovery {
		return Transition{host.Return, "the host is back"}, true
	}
	if h.State == host.Leaving && !s.Listed && s.UnchangedFor >= patience.Missing {
		return Transition{host.Forget, "the platform took the host away"}, true
	}
	if !s.Live && now.Sub(h.StateSince) >= patience.Removal {
		return Transition{host.Forget, "the host did not come back"}, true
	}
	return Transition{}, false
}

func (h Host) judgeRebooting(s Observation, patience DetectionTimeouts, now time.Time) (Transition, bool) {
	if !s.Listed && s.UnchangedFor >= patience.Reboot {
		return Transition{host.Fail, "the host is missing from the platform's list since its reboot"}, true
	}
	if !s.RebootConfirmed {
		return Transition{}, false
	}
	if s.Live && s.BootCount > h.BootCount {
		return Transition{host.Return, "the host came back from its reboot"}, true
	}
	if now.Sub(h.StateSince) >= patience.Reboot {
		return Transition{host.Fail, "the host did not come back from its reboot"}, true
	}
	return Transition{}, false
}
