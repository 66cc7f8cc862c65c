package work

import "time"

// MaintenanceWave is a request for the maintenance of a set of hosts.
type MaintenanceWave struct {
	Number int
	// Name is the name of the wave in the operators' rows.
	Name  string
	Hosts []string
	// StartWithin is the time from the arrival of the wave within which the maintenance of all its hosts should
	// begin.
	StartWithin time.Duration
	// MaxConcurrent is the number of hosts that may be unavailable for the wave at the same time.
	MaxConcurrent int
}
