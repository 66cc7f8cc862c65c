package fleet

import (
	"math/rand/v2"
	"time"

	"siskincross/core/pool"
)

// Periods holds the times that a Manager goes by. Zero fields have defaults.
type Periods struct {
	// Heartbeat is the period of writing the member row.
	Heartbeat time.Duration
	// TakeoverTimeout bounds the time from an entry host's end to the takeover of its duties, all polls included.
	TakeoverTimeout time.Duration
	// Poll is the period of reading the member rows and the pools' rows that changed, and of deciding.
	Poll time.Duration
	// List is the period of reading the platform's list of hosts.
	List time.Duration
	// Plan is the period of planning maintenance and moves.
	Plan time.Duration
	// MaxRouteAge is how old the knowledge of routes may get before new work stops.
	MaxRouteAge time.Duration
	// PeerReports is the period of telling peers about routes and load.
	PeerReports time.Duration
	// EstablishedAfter is how long a member must be live before duties are handed over to it.
	EstablishedAfter time.Duration
	// AcknowledgeDelay is how long a member goes by a version of a row before it acknowledges it.
	AcknowledgeDelay time.Duration
	// DrainTimeout is how long a drain may take before it is given up.
	DrainTimeout time.Duration
	// Vanish, Return, Reboot and Forget are the patience with hosts; see pool.Patience.
	MissingTimeout, RecoveryTimeout, RebootTimeout, RemovalTimeout time.Duration
	// MassFailureDelay is how long a mass failure must be listed until it is believed.
	MassFailureDelay time.Duration
	// MaintenancePeriod is the period within which every host is maintained.
	MaintenancePeriod time.Duration
	// CoolDown is how long a host stays in a pool that it moved to.
	CoolDown time.Duration
	// MoveDuration is the expected time of a move: drain and reboot.
	MoveDuration time.Duration
	// MassFailurePause is how long after a wave of failures planned work stays paused.
	MassFailurePause time.Duration
	// MemberRetention is how long a lapsed member's row is kept.
	MemberRetention time.Duration
	// CallTimeout bounds one call to the platform.
	CallTimeout time.Duration
}

// maintenancePeriod is the users' period of eight weeks.
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

// lease is how long a member row may stay unchanged, so that a lapse with the
// polls before and after it fits into Lapse.
func (p Periods) lease() time.Duration {
	return p.TakeoverTimeout - 2*p.Poll - p.Poll/2
}

// jitterShare is the largest part by which a period is shortened.
const jitterShare = 0.1

func jitter(period time.Duration) time.Duration {
	return period - time.Duration(jitterShare*rand.Float64()*float64(period))
}

func (p Periods) patience() pool.DetectionTimeouts {
	return pool.DetectionTimeouts{Missing: p.MissingTimeout, Recovery: p.RecoveryTimeout, Reboot: p.RebootTimeout, Removal: p.RemovalTimeout}
}
