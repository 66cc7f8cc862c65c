package pool

import (
	"fmt"
	"time"

	"siskincross/core/chart"
	"siskincross/core/host"
)

// Disruptions holds the numbers of hosts of a pool that are out of service, by cause.
type Disruptions struct {
	// Failed is the number of hosts that failed, or are returning without planned work.
	Failed  int `json:"failed"`
	Leaving int `json:"leaving"`
	// Planned is the number of hosts that are out of service for maintenance or a move.
	Planned int `json:"planned"`
}

// Total returns the number of hosts that count against the budget.
func (d Disruptions) Total() int { return d.Failed + d.Leaving + d.Planned }

// Disruptions returns the numbers of hosts of p that are out of service. A host that never returned from
// planned work remains counted.
func (p Pool) Disruptions() Disruptions {
	var d Disruptions
	for _, h := range p.Hosts {
		switch {
		case h.State == host.Serving:
		case h.State == host.Leaving:
			d.Leaving++
		case h.Work.Purpose == PurposeNone:
			d.Failed++
		default:
			d.Planned++
		}
	}
	return d
}

// ErrBudgetExceeded is returned when planned work would exceed the availability budget.
type ErrBudgetExceeded struct {
	Pool           string
	Disruptions    Disruptions
	MaxUnavailable int
}

// Error implements error.
func (e ErrBudgetExceeded) Error() string {
	return fmt.Sprintf("pool %s has used %d of %d hosts of its availability budget (%d failed, %d leaving, %d planned)",
		e.Pool, e.Disruptions.Total(), e.MaxUnavailable, e.Disruptions.Failed, e.Disruptions.Leaving, e.Disruptions.Planned)
}

// ErrHostNotFound is returned if a host is not in the row of a pool.
type ErrHostNotFound struct {
	Pool string
	Host host.ID
}

// Error implements error.
func (e ErrHostNotFound) Error() string {
	return fmt.Sprintf("pool %s has no host %s", e.Pool, e.Host)
}

// CheckBudget returns ErrBudgetExceeded unless p may take one more planned disruption.
func (p Pool) CheckBudget(maxUnavailable int) error {
	d := p.Disruptions()
	if d.Total()+1 > maxUnavailable {
		return ErrBudgetExceeded{Pool: p.Name, Disruptions: d, MaxUnavailable: maxUnavailable}
	}
	return nil
}

// WithPlannedWork returns p with a host that starts to drain for planned work, if the budget allows one more
// disruption.
func (p Pool) WithPlannedWork(id host.ID, work PlannedWork, maxUnavailable int, now time.Time) (Pool, error) {
	if err := p.CheckBudget(maxUnavailable); err != nil {
		return p, err
	}
	next, err := p.WithHostEvent(id, host.Drain, "drained for "+work.Purpose.String(), now)
	if err != nil {
		return p, err
	}
	h, _ := next.Host(id)
	h.Work = work
	return next.WithHost(h), nil
}

// WithHostEvent returns p after an event of a host, or the error of the host's state chart. The planned work of
// a host is cleared when it is complete or superseded by a failure.
func (p Pool) WithHostEvent(id host.ID, event chart.Event, reason string, now time.Time) (Pool, error) {
	h, ok := p.Host(id)
	if !ok {
		return p, ErrHostNotFound{Pool: p.Name, Host: id}
	}
	next, err := host.Chart.Next(h.State, event)
	if err != nil {
		return p, err
	}
	if next == host.Gone {
		return p.WithoutHost(id), nil
	}
	h.State, h.Reason, h.StateSince = next, reason, now
	if event == host.Cancel {
		h.LastDrainAbandoned = now
	}
	if event == host.Fail || event == host.Leave || event == host.Cancel || event == host.Serve {
		h.Work = PlannedWork{}
	}
	return p.WithHost(h), nil
}
