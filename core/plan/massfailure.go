package plan

import (
	"time"

	"siskincross/core/host"
	"siskincross/core/pool"
)

const (
	// massFailureShare is the fraction of the fleet that must fail within the window to count as a mass
	// failure.
	massFailureShare = 0.02
	// massFailureMinHosts is the minimum number of failed hosts of a mass failure: more than one rack.
	massFailureMinHosts = 4
)

// MassFailure reports whether so many hosts of the fleet failed within the window before now that planned work
// should be paused.
func MassFailure(pools []pool.Pool, window time.Duration, now time.Time) bool {
	hosts, failed := 0, 0
	for _, p := range pools {
		for _, h := range p.Hosts {
			hosts++
			if h.State == host.Failed && now.Sub(h.StateSince) <= window {
				failed++
			}
		}
	}
	return failed >= massFailureMinHosts && float64(failed) > massFailureShare*float64(hosts)
}
