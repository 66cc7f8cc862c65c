// Package config expands templates with parameters into configurations, and compares configurations.
package config

import "time"

// Version is the version number of a configuration. Zero means that there is none.
type Version uint64

// Expanded is an immutable configuration of a whole deployment: the templates of all organisations with their
// parameters substituted.
//
// The names of pools and queues are unique within a deployment and have the form "organisation/name".
type Expanded struct {
	Version Version `json:"version"`
	Pools   []Pool  `json:"pools"`
	Queues  []Queue `json:"queues"`
	Teams   []Team  `json:"teams"`
}

// Pool is a set of hosts that serves the queues of one organisation.
type Pool struct {
	// Name is "organisation/pool".
	Name         string `json:"name"`
	Organisation string `json:"organisation"`
	// Hosts is the number of hosts of the pool outside of peaks.
	Hosts int `json:"hosts"`
	// MinHosts is the minimum size of the pool, below which no hosts move to other pools. It is at most Hosts.
	MinHosts int `json:"min-hosts"`
	// MaxHosts is the maximum size of the pool, above which no hosts move to it; zero means that there is no
	// maximum.
	MaxHosts int `json:"max-hosts,omitempty"`
	// MaxUnavailable is the availability budget: the maximum number of hosts of the pool that may be failed,
	// leaving or in planned work at the same time.
	MaxUnavailable int `json:"max-unavailable"`
	// Spare is set for the pool that supplies hosts to the others.
	Spare bool `json:"spare,omitempty"`
	// BufferWeight is the cost of holding one idle host for one hour.
	BufferWeight float64 `json:"buffer-weight"`
	// MoveWeight is the cost of moving one host to another pool.
	MoveWeight float64 `json:"move-weight"`
}

// Queue is a queue for the requests and jobs of callers.
type Queue struct {
	// Name is "organisation/queue".
	Name         string `json:"name"`
	Organisation string `json:"organisation"`
	// Pool is the full name of the pool that serves the queue.
	Pool string `json:"pool"`
	// MaxQueued is the maximum number of requests that wait at one entry host.
	MaxQueued int `json:"max-queued"`
	// Deadline is the deadline of requests that specify none.
	Deadline time.Duration `json:"deadline"`
	// Urgent queues are scheduled before other queues of the same pool.
	Urgent bool `json:"urgent,omitempty"`
}

// Team is a group of callers with a quota.
type Team struct {
	// Name is "organisation/team".
	Name         string `json:"name"`
	Organisation string `json:"organisation"`
	// Weight determines the fair share of the team among the teams of its organisation. It is at least 1.
	Weight int `json:"weight"`
	// Slots is the guaranteed number of task slots. Idle slots may be used by other teams.
	Slots int `json:"slots"`
	// MaxQueued is the maximum number of requests of the team that wait at one entry host; zero means that only
	// the limit of the queue applies.
	MaxQueued int `json:"max-queued,omitempty"`
}

// Pool returns the pool with the given full name.
func (e Expanded) Pool(name string) (Pool, bool) {
	for _, p := range e.Pools {
		if p.Name == name {
			return p, true
		}
	}
	return Pool{}, false
}

// Queue returns the queue with the given full name.
func (e Expanded) Queue(name string) (Queue, bool) {
	for _, q := range e.Queues {
		if q.Name == name {
			return q, true
		}
	}
	return Queue{}, false
}

// Team returns the team with the given full name.
func (e Expanded) Team(name string) (Team, bool) {
	for _, t := range e.Teams {
		if t.Name == name {
			return t, true
		}
	}
	return Team{}, false
}
