package work

import "time"

// MaintenanceWave asks for the maintenance of hosts.
type MaintenanceWave struct {
	Number int
	// Name is the wave's name in the operators' rows.
	Name  string
	Hosts []string
	// StartWithin is the time from the wave's arrival in which all its hosts should have begun.
	StartWithin time.Duration
	// MaxConcurrent is how many hosts may be down for the wave at the same time.
	MaxConcurrent int
}
