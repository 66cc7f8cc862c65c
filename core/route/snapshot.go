// Package route chooses targets for requests, limits the waiting requests and retries, and determines the outcome of every request.
package route

import "siskincross/core/host"

// Snapshot is the immutable set of targets that a pool's duty holder published.
//
// Snapshots of one pool are ordered by Epoch, then by Version. An entry host
// replaces its snapshot only with a newer one.
type Snapshot struct {
	// Pool names the pool as "organisation/pool".
	Pool string `json:"pool"`
	// Epoch is the epoch of the duty holder, which each new holder increases.
	Epoch uint64 `json:"epoch"`
	// Version is the version of the pool's row that the snapshot was made from.
	Version uint64 `json:"version"`
	// Targets holds only hosts that may receive new work, sorted by host ID.
	Targets []Target `json:"targets"`
}

// Target is a host that may receive new work.
type Target struct {
	Host host.ID `json:"host"`
	// Address is "ip:port" of the host's request listener.
	Address  string        `json:"address"`
	Place    host.Place    `json:"place"`
	Capacity host.Capacity `json:"capacity"`
}

// NewerThan reports whether s is newer than other.
func (s Snapshot) NewerThan(other Snapshot) bool {
	if s.Epoch != other.Epoch {
		return s.Epoch > other.Epoch
	}
	return s.Version > other.Version
}
