package pool

import (
	"siskincross/core/host"
	"siskincross/core/route"
)

// Snapshot returns the routing targets of p: its hosts in service. The given version is that of the row.
func (p Pool) Snapshot(version uint64) route.Snapshot {
	targets := make([]route.Target, 0, len(p.Hosts))
	for _, h := range p.Hosts {
		if h.State == host.Serving {
			targets = append(targets, route.Target{Host: h.ID, Address: h.Address, Place: h.Place, Capacity: h.Capacity})
		}
	}
	return route.Snapshot{Pool: p.Name, Epoch: p.Epoch, Version: version, Targets: targets}
}
