package replay

import (
	"fmt"
	"strings"

	"siskincross/core/host"
	"siskincross/io/standin"
)

// Capacity of hosts in traces that state none.
const (
	defaultCores       = 64
	defaultMemoryBytes = 128 * gibibyte
)

// Fleet returns the fleet of the platform stand-in that the trace describes.
func (t Trace) Fleet(seed uint64) standin.Fleet {
	fleet := standin.Fleet{Seed: seed}
	for _, e := range t.eventsOfKind(KindPlatform) {
		fleet.ListLag, fleet.UsageLag, fleet.RebootDuration = e.ListLag, e.UsageLag, e.Reboot
	}
	for _, e := range t.eventsOfKind(KindHosts) {
		fleet.Hosts = append(fleet.Hosts, e.hostSpecs()...)
	}
	return fleet
}

// poolName returns the name of the event's pool within its organisation.
func (e Event) poolName() string {
	return e.Pool[strings.LastIndexByte(e.Pool, '/')+1:]
}

// hostSpecs returns the hosts of one event of kind hosts. Racks are assigned to the zones in turn, as a whole.
func (e Event) hostSpecs() []standin.HostSpec {
	name := e.poolName()
	specs := make([]standin.HostSpec, 0, e.Count)
	for i := range e.Count {
		rack := i / max(1, e.RackSize)
		specs = append(specs, standin.HostSpec{
			ID:       host.ID(fmt.Sprintf("%s-%02d", name, i+1)),
			Place:    host.Place{Zone: e.Zones[rack%len(e.Zones)], Rack: fmt.Sprintf("%s-rack-%d", name, rack+1)},
			Capacity: e.capacity(),
			HomePool: e.Pool,
		})
	}
	return specs
}

// capacity returns the capacity of a host of the event.
func (e Event) capacity() host.Capacity {
	c := host.Capacity{Slots: e.Slots, Connections: e.Connections, Cores: e.Cores, MemoryBytes: e.MemoryBytes}
	if c.Cores == 0 {
		c.Cores = defaultCores
	}
	if c.MemoryBytes == 0 {
		c.MemoryBytes = defaultMemoryBytes
	}
	return c
}

// budgets returns the availability budget that the trace states for each pool.
func (t Trace) budgets() map[string]int {
	budgets := make(map[string]int)
	for _, e := range t.eventsOfKind(KindHosts) {
		budgets[e.Pool] = e.Budget
	}
	return budgets
}

// matchingHosts returns the hosts that match the host, rack, zone and pool of an event. Empty fields match all hosts.
func (e Event) matchingHosts(fleet standin.Fleet) []host.ID {
	var ids []host.ID
	for _, spec := range fleet.Hosts {
		matches := e.Host == "" || e.Host == string(spec.ID)
		matches = matches && (e.Rack == "" || e.Rack == spec.Place.Rack)
		matches = matches && (e.Zone == "" || e.Zone == spec.Place.Zone)
		matches = matches && (e.Pool == "" || e.Pool == spec.HomePool)
		if matches {
			ids = append(ids, spec.ID)
		}
	}
	return ids
}
