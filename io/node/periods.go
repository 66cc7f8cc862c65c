package node

import (
	"time"

	"siskincross/io/entry"
	"siskincross/io/fleet"
	"siskincross/io/settings"
)

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

// idleConnections bounds the idle connections to all targets. At about 17 KiB
// each they take less than the memory that the settings leave to requests.
const idleConnections = 1024

func entryLimits(l settings.Limits) entry.Limits {
	return entry.Limits{
		HeaderBytes:     l.HeaderBytes,
		BodyBytes:       l.BodyBytes,
		IdleConnections: idleConnections,
	}
}
