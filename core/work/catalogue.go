package work

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

// Catalogue is one version of the operators' configuration: queues and the pools that serve them. It is immutable.
type Catalogue struct {
	// Version grows with each configuration; zero means that there is none.
	Version uint64
	// Pools holds the pools by name.
	Pools map[string]Pool
	// MaxBodyBytes bounds the body of a caller's request, in bytes.
	MaxBodyBytes int64
	// MaxHeaderBytes bounds the headers of a caller's request, in bytes.
	MaxHeaderBytes int
	// HeaderTimeout bounds the time in which a caller sends the headers.
	HeaderTimeout time.Duration
	// IdleTimeout is how long an open connection may be unused.
	IdleTimeout time.Duration
	// queues holds the queues with the longest prefixes first.
	queues []Queue
}

// Pool is a group of hosts.
type Pool struct {
	Name string
	// EnforcesCapacity workers refuse what does not fit.
	EnforcesCapacity bool
	// Standby pools hold hosts that are switched off and cost nothing.
	Standby bool
}

// Queue takes in jobs of one kind.
type Queue struct {
	// Name is the operators' name of the queue.
	Name string
	// Host and Prefix select the queue for a caller's request.
	Host              string
	Prefix            string
	Pool              string
	Priority          int
	MaxFailedAttempts int
	Objective         Objective
	// RequestTimeout bounds the handling of one request.
	RequestTimeout time.Duration
	PolicyService  PolicyService
}

// Key identifies the queue in all versions.
func (q Queue) Key() string { return q.Host + q.Prefix }

// WithQueues returns the catalogue with these queues.
func (c Catalogue) WithQueues(queues []Queue) Catalogue {
	c.queues = slices.Clone(queues)
	slices.SortFunc(c.queues, func(a, b Queue) int {
		return cmp.Or(cmp.Compare(len(b.Prefix), len(a.Prefix)), cmp.Compare(a.Key(), b.Key()))
	})
	return c
}

// Queues returns the queues.
func (c Catalogue) Queues() []Queue { return slices.Clone(c.queues) }

// PoolNames returns the names of all pools, sorted.
func (c Catalogue) PoolNames() []string { return slices.Sorted(maps.Keys(c.Pools)) }

// FindQueue returns the queue of a request and the rest of its path.
func (c Catalogue) FindQueue(host, path string) (Queue, string, bool) {
	for _, q := range c.queues {
		if q.Host == host && strings.HasPrefix(path, q.Prefix) {
			return q, path[len(q.Prefix):], true
		}
	}
	return Queue{}, "", false
}
