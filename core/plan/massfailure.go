package plan

import (
	"time"

	"siskincross/core/host"
	"siskincross/core/pool"
)

const (
	// waveShare is the part of the fleet that must fail together to count as a wave.
	waveShare = 0.02
	// waveHosts is the least number of hosts of a wave: more than one rack.
	waveHosts = 4
)

// Wave reports whether so many hosts of the fleet failed within the window
// before now that planned work should wait.
func Wave(pools []pool.Pool, window time.Duration, now time.Time) bool {
	hosts, failed := 0, 0
	for _, p := range pools {
		for _, h := range p.Hosts {
			hosts++
			if h.State == host.Failed && now.Sub(h.Since) <= window {
				failed++
			}
		}
	}
	return failed >= waveHosts && float64(failed) > waveShare*float64(hosts)
}
