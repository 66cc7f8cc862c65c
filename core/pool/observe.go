package pool

import (
	"time"

	"siskincross/core/chart"
	"siskincross/core/host"
)

// Sight is what the platform's list told of one host, over several readings.
type Sight struct {
	// Listed tells whether the newest trusted list has the host.
	Listed bool
	// Live, Leaving and Failed give the condition of a listed host; all false means that it is restarting.
	Live, Leaving, Failed bool
	// Boot counts the host's starts.
	Boot int
	// Ordered tells that the platform confirmed the reboot of a rebooting host to
	// the observer. Until then a late order of an earlier holder could still
	// restart the host, so that it must not serve.
	Ordered bool
	// Unchanged is how long the list has told the same of the host.
	Unchanged time.Duration
}

// Patience bounds how fast a pool believes the list.
type Patience struct {
	// Vanish is how long a host may be missing from the list before it counts as failed.
	Vanish time.Duration
	// Return is how long a failed host must be listed live before it serves again.
	Return time.Duration
	// Reboot is how long a host may take to come back from a reboot.
	Reboot time.Duration
	// Forget is how long a failed host stays in the pool's row.
	Forget time.Duration
}

// Change is one event that a sight of a host calls for.
type Change struct {
	Event  chart.Event
	Reason string
}

// Judge returns what a sight of h means, and whether it means anything.
func (h Host) Judge(s Sight, patience Patience, now time.Time) (Change, bool) {
	if s.Leaving && h.State != host.Leaving {
		return Change{host.Leave, "the platform is taking the host away"}, true
	}
	switch h.State {
	case host.Failed, host.Leaving:
		return h.judgeAway(s, patience, now)
	case host.Rebooting:
		return h.judgeRebooting(s, patience, now)
	}
	switch {
	case !s.Listed && s.Unchanged >= patience.Vanish:
		return Change{host.Fail, "the host is missing from the platform's list"}, true
	case s.Failed:
		return Change{host.Fail, "the platform's list shows the host failed"}, true
	case s.Listed && !s.Live && !s.Leaving:
		return Change{host.Fail, "the host is restarting unasked"}, true
	}
	return Change{}, false
}

// WithSight returns p after what the list told of a host, and the change, if there is any.
func (p Pool) WithSight(id host.ID, s Sight, patience Patience, now time.Time) (Pool, Change, bool) {
	h, ok := p.Host(id)
	if !ok {
		return p, Change{}, false
	}
	change, ok := h.Judge(s, patience, now)
	if !ok {
		return p, Change{}, false
	}
	next, err := p.WithEvent(id, change.Event, change.Reason, now)
	if err != nil {
		return p, Change{}, false
	}
	if h.State == host.Rebooting && change.Event == host.Return {
		h, _ = next.Host(id)
		h.Boot, h.Maintained = s.Boot, now
		next = next.WithHost(h)
	}
	return next, change, true
}

func (h Host) judgeAway(s Sight, patience Patience, now time.Time) (Change, bool) {
	if s.Live && s.Unchanged >= patience.Return {
		return Change{host.Return, "the host is back"}, true
	}
	if h.State == host.Leaving && !s.Listed && s.Unchanged >= patience.Vanish {
		return Change{host.Forget, "the platform took the host away"}, true
	}
	if !s.Live && now.Sub(h.Since) >= patience.Forget {
		return Change{host.Forget, "the host did not come back"}, true
	}
	return Change{}, false
}

func (h Host) judgeRebooting(s Sight, patience Patience, now time.Time) (Change, bool) {
	if !s.Listed && s.Unchanged >= patience.Reboot {
		return Change{host.Fail, "the host is missing from the platform's list since its reboot"}, true
	}
	if !s.Ordered {
		return Change{}, false
	}
	if s.Live && s.Boot > h.Boot {
		return Change{host.Return, "the host came back from its reboot"}, true
	}
	if now.Sub(h.Since) >= patience.Reboot {
		return Change{host.Fail, "the host did not come back from its reboot"}, true
	}
	return Change{}, false
}
