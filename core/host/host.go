// Package host describes workers of the fleet: their identity, place and life cycle.
package host

// ID names one host. It is unique in a deployment and never reused for another machine.
type ID string

// Place is where a host stands. Racks and availability zones are failure domains.
type Place struct {
	Region string `json:"region,omitempty"`
	Zone   string `json:"zone"`
	Rack   string `json:"rack"`
}

// Capacity is what a host offers to requests and tasks.
type Capacity struct {
	// Slots bounds the requests and tasks that run at the same time, as the host counts them.
	Slots int `json:"slots"`
	// Connections bounds the open connections of all entry hosts together.
	Connections int `json:"connections"`
	// Cores is the number of processor cores.
	Cores int `json:"cores"`
	// MemoryLimitBytes is the size of the main memory.
	MemoryBytes int64 `json:"memory-bytes"`
	// Accelerators is the number of accelerator devices.
	Accelerators int `json:"accelerators,omitempty"`
}
