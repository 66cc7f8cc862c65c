// Package host describes the hosts of the fleet: their identity, place, capacity and life cycle.
package host

// ID identifies a host. It is unique in a deployment and never reused for another machine.
type ID string

// Place is the location of a host. Racks and availability zones are failure domains.
type Place struct {
	Region string `json:"region,omitempty"`
	Zone   string `json:"zone"`
	Rack   string `json:"rack"`
}

// Capacity is the capacity of a host for requests and tasks.
type Capacity struct {
	// Slots is the maximum number of requests and tasks that run concurrently, as counted by the host.
	Slots int `json:"slots"`
	// Connections is the maximum number of open connections from all entry hosts together.
	Connections int `json:"connections"`
	// Cores is the number of processor cores.
	Cores int `json:"cores"`
	// MemoryBytes is the size of the main memory.
	MemoryBytes int64 `json:"memory-bytes"`
	// Accelerators is the number of accelerator devices.
	Accelerators int `json:"accelerators,omitempty"`
}
