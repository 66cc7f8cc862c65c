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
	// Lapse bounds the time from an entry host's end to the takeover of its duties, all polls included.
	Lapse time.Duration
	// Poll is the period of reading the member rows and the pools' rows that changed, and of deciding.
	Poll time.Duration
	// List is the period of reading the platform's list of hosts.
	List time.Duration
	// Plan is the period of planning maintenance and moves.
	Plan time.Duration
	// Vouch is how old the knowledge of routes may get before new work stops.
	Vouch time.Duration
	// Peers is the period of telling peers about routes and load.
	Peers time.Duration
	// Settle is how long a member must be live before duties are handed over to it.
	Settle time.Duration
	// Acknowledge is how long a member goes by a version of a row before it acknowledges it.
	Acknowledge time.Duration
	// DrainTimeout is how long a drain may take before it is given up.
	DrainTimeout time.Duration
	// Vanish, Return, Reboot and Forget are the patience with hosts; see pool.Patience.
	Vanish, Return, Reboot, Forget time.Duration
	// Doubt is how long a mass failure must be listed until it is believed.
	Doubt time.Duration
	// Maintenance is the period within which every host is maintained.
	Maintenance time.Duration
	// CoolDown is how long a host stays in a pool that it moved to.
	CoolDown time.Duration
	// MoveTime is the expected time of a move: drain and reboot.
	MoveTime time.Duration
	// Wave is how long after a wave of failures planned work stays paused.
	Wave time.Duration
	// Bury is how long a lapsed member's row is kept.
	Bury time.Duration
	// Call bounds one call to the platform.
	Call time.Duration
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
	fill(&p.Lapse, 6*time.Second)
	fill(&p.Poll, 750*time.Millisecond)
	fill(&p.List, time.Second)
	fill(&p.Plan, 2*time.Second)
	fill(&p.Vouch, 3*time.Second)
	fill(&p.Peers, time.Second)
	fill(&p.Settle, 10*time.Second)
	fill(&p.Acknowledge, 500*time.Millisecond)
	fill(&p.DrainTimeout, 30*time.Minute)
	fill(&p.Vanish, 30*time.Second)
	fill(&p.Return, 5*time.Second)
	fill(&p.Reboot, 15*time.Minute)
	fill(&p.Forget, 24*time.Hour)
	fill(&p.Doubt, 30*time.Second)
	fill(&p.Maintenance, maintenancePeriod)
	fill(&p.CoolDown, 30*time.Minute)
	fill(&p.MoveTime, 2*time.Minute)
	fill(&p.Wave, time.Minute)
	fill(&p.Bury, 10*time.Minute)
	fill(&p.Call, 2*time.Second)
	return p
}

// lease is how long a member row may stay unchanged, so that a lapse with the
// polls before and after it fits into Lapse.
func (p Periods) lease() time.Duration {
	return p.Lapse - 2*p.Poll - p.Poll/2
}

// jitterShare is the largest part by which a period is shortened.
const jitterShare = 0.1

func jitter(period time.Duration) time.Duration {
	return period - time.Duration(jitterShare*rand.Float64()*float64(period))
}

func (p Periods) patience() pool.DetectionTimeouts {
	return pool.DetectionTimeouts{Missing: p.Vanish, Recovery: p.Return, Reboot: p.Reboot, Removal: p.Forget}
}
