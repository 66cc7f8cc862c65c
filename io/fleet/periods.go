package fleet

import (
	"math/rand/v2"
	"time"

	"siskincross/core/pool"
)

// Periods holds the periods, delays and timeouts of a Manager. Zero fields have defaults.
type Periods struct {
	// Heartbeat is the period of writing the member row.
	Heartbeat time.Duration
	// TakeoverTimeout bounds the time from the end of an entry host to the takeover of its
	// duties, including all polls.
	TakeoverTimeout time.Duration
	// Poll is the period of reading the member rows and changed pool rows and of making
	// decisions.
	Poll time.Duration
	// List is the period of reading the platform's host list.
	List time.Duration
	// Plan is the period of planning maintenance and moves.
	Plan time.Duration
	// MaxRouteAge is how old the knowledge of routes may be before no new work is routed by
	// it.
	MaxRouteAge time.Duration
	// PeerReports is the period of reporting routes and load to peers.
	PeerReports time.Duration
	// EstablishedAfter is how long a member must be live before duties are handed over to
	// it.
	EstablishedAfter time.Duration
	// AcknowledgeDelay is how long a member uses a version of the routes before it
	// acknowledges it.
	AcknowledgeDelay time.Duration
	// DrainTimeout is how long a drain may take before it is abandoned.
	DrainTimeout time.Duration
	// MissingTimeout, RecoveryTimeout, RebootTimeout and RemovalTimeout are the timeouts of
	// pool.DetectionTimeouts.
	MissingTimeout, RecoveryTimeout, RebootTimeout, RemovalTimeout time.Duration
	// MassFailureDelay is how long a mass failure must be listed before it is trusted.
	MassFailureDelay time.Duration
	// MaintenancePeriod is the period within which every host is maintained once.
	MaintenancePeriod time.Duration
	// CoolDown is how long a host stays in a pool that it moved to.
	CoolDown time.Duration
	// MoveDuration is the expected duration of a move: drain and reboot.
	MoveDuration time.Duration
	// MassFailurePause is how long planned work stays paused after a mass failure.
	MassFailurePause time.Duration
	// MemberRetention is how long the row of a lapsed member is kept.
	MemberRetention time.Duration
	// CallTimeout bounds one call to the platform.
	CallTimeout time.Duration
}

// maintenancePeriod is eight weeks, as the users require.
const maintenancePeriod = 8 * 7 * 24 * time.Hour

func (p Periods) withDefaults() Periods {
	fill := func(field *time.Duration, value time.Duration) {
		if *field == 0 {
			*field = value
		}
	}
	fill(&p.Heartbeat, 2*time.Second)
	fill(&p.TakeoverTimeout, 6*time.Second)
	fill(&p.Poll, 750*time.Millisecond)
	fill(&p.List, time.Second)
	fill(&p.Plan, 2*time.Second)
	fill(&p.MaxRouteAge, 3*time.Second)
	fill(&p.PeerReports, time.Second)
	fill(&p.EstablishedAfter, 10*time.Second)
	fill(&p.AcknowledgeDelay, 500*time.Millisecond)
	fill(&p.DrainTimeout, 30*time.Minute)
	fill(&p.MissingTimeout, 30*time.Second)
	fill(&p.RecoveryTimeout, 5*time.Second)
	fill(&p.RebootTimeout, 15*time.Minute)
	fill(&p.RemovalTimeout, 24*time.Hour)
	fill(&p.MassFailureDelay, 30*time.Second)
	fill(&p.MaintenancePeriod, maintenancePeriod)
	fill(&p.CoolDown, 30*time.Minute)
	fill(&p.MoveDuration, 2*time.Minute)
	fill(&p.MassFailurePause, time.Minute)
	fill(&p.MemberRetention, 10*time.Minute)
	fill(&p.CallTimeout, 2*time.Second)
	return p
}

// leaseDuration returns how long a member row may stay unchanged before the member lapses.
// It is chosen such that the lease and the polls before and after it fit into
// TakeoverTimeout.
func (p Periods) leaseDuration() time.Duration {
	return p.TakeoverTimeout - 2*p.Poll - p.Poll/2
}

// jitterFraction is the largest fraction by which a period is shortened.
const jitterFraction = 0.1

func jitter(period time.Duration) time.Duration {
	return period - time.Duration(jitterFraction*rand.Float64()*float64(period))
}

func (p Periods) detectionTimeouts() pool.DetectionTimeouts {
	return pool.DetectionTimeouts{Missing: p.MissingTimeout, Recovery: p.RecoveryTimeout, Reboot: p.RebootTimeout, Removal: p.RemovalTimeout}
}
