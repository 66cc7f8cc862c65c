package node

import (
	"time"

	"siskincross/io/entry"
	"siskincross/io/fleet"
	"siskincross/io/settings"
)

// fleetPeriods returns the periods of the fleet manager from the settings.
func fleetPeriods(p settings.Periods) fleet.Periods {
	return fleet.Periods{
		Heartbeat:         time.Duration(p.Heartbeat),
		Poll:              time.Duration(p.Poll),
		TakeoverTimeout:   time.Duration(p.Lapse),
		Plan:              time.Duration(p.Plan),
		MaxRouteAge:       time.Duration(p.Vouch),
		RebootTimeout:     time.Duration(p.Reboot),
		CoolDown:          time.Duration(p.CoolDown),
		MaintenancePeriod: time.Duration(p.Maintenance),
	}
}

// idleConnections bounds the idle connections to all targets. At about 17 KiB each, they use less than the memory
// that the settings leave for requests.
const idleConnections = 1024

// entryLimits returns the limits of the callers' server from the settings.
func entryLimits(l settings.Limits) entry.Limits {
	return entry.Limits{
		HeaderBytes:     l.HeaderBytes,
		BodyBytes:       l.BodyBytes,
		IdleConnections: idleConnections,
	}
}
