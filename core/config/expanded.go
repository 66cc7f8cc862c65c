// Package config turns templates and parameters into the expanded configuration.
package config

import "time"

// Version orders the configurations of a deployment. Zero means none.
type Version uint64

// Expanded is one immutable configuration of a whole deployment: every
// organisation's template with its parameters filled in.
//
// Names of pools and queues are unique in a deployment: "organisation/name".
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
	// Hosts is the number of hosts that the pool has between peaks.
	Hosts int `json:"hosts"`
	// MinHosts bounds moves out of the pool; MinHosts <= Hosts.
	MinHosts int `json:"min-hosts"`
	// MaxHosts bounds moves into the pool; zero means no bound.
	MaxHosts int `json:"max-hosts,omitempty"`
	// MaxUnavailable is the availability budget: how many of the pool's hosts
	// may be failed, leaving or in planned work at the same time.
	MaxUnavailable int `json:"max-unavailable"`
	// Spare marks the pool that lends hosts to the others.
	Spare bool `json:"spare,omitempty"`
	// BufferWeight is the cost of one idle host held for one hour.
	BufferWeight float64 `json:"buffer-weight"`
	// MoveWeight is the cost of moving one host to another pool.
	MoveWeight float64 `json:"move-weight"`
}

// Queue receives the requests and jobs of callers.
type Queue struct {
	// Name is "organisation/queue".
	Name         string `json:"name"`
	Organisation string `json:"organisation"`
	// Pool is the full name of the pool that serves the queue.
	Pool string `json:"pool"`
	// MaxQueued bounds the requests that wait at one entry host.
	MaxQueued int `json:"max-queued"`
	// Deadline applies to requests that state none.
	Deadline time.Duration `json:"deadline"`
	// Urgent work is placed before other work of the same pool.
	Urgent bool `json:"urgent,omitempty"`
}

// Team is a group of callers with a quota.
type Team struct {
	// Name is "organisation/team".
	Name         string `json:"name"`
	Organisation string `json:"organisation"`
	// Weight sets the team's fair share among the teams of its organisation; at least 1.
	Weight int `json:"weight"`
	// Slots is the team's guaranteed number of task slots. Idle slots are lent to others.
	Slots int `json:"slots"`
	// MaxQueued bounds the team's waiting requests at one entry host; zero means the queue's bound.
	MaxQueued int `json:"max-queued,omitempty"`
}

// Pool returns the pool of that full name.
func (e Expanded) Pool(name string) (Pool, bool) {
	for _, p := range e.Pools {
		if p.Name == name {
			return p, true
		}
	}
	return Pool{}, false
}

// Queue returns the queue of that full name.
func (e Expanded) Queue(name string) (Queue, bool) {
	for _, q := range e.Queues {
		if q.Name == name {
			return q, true
		}
	}
	return Queue{}, false
}

// Team returns the team of that full name.
func (e Expanded) Team(name string) (Team, bool) {
	for _, t := range e.Teams {
		if t.Name == name {
			return t, true
		}
	}
	return Team{}, false
}
