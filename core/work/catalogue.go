package work

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"siskincross/core/organisation"
)

// Catalogue is one version of the operators' configuration: the queues and the pools that serve them. It is
// immutable.
type Catalogue struct {
	// Version increases with each configuration; zero means that there is none.
	Version uint64
	// Pools holds the pools by name.
	Pools map[string]Pool
	// Organisations holds the organisations that share the pools; empty if callers need no keys.
	Organisations organisation.Directory
	RequestLimits
	// queues holds the queues, those with the longest prefixes first, and those of one host and prefix as configured.
	queues []Queue
}

// RequestLimits are the bounds of callers' requests.
type RequestLimits struct {
	// MaxBodyBytes limits the body of a caller's request.
	MaxBodyBytes int64
	// MaxHeaderBytes limits the headers of a caller's request.
	MaxHeaderBytes int
	// HeaderTimeout is the time within which a caller must send the headers.
	HeaderTimeout time.Duration
	// IdleTimeout is the time after which an unused connection is closed.
	IdleTimeout time.Duration
}

// Pool is a group of hosts.
type Pool struct {
	Name string
	// EnforcesCapacity is true if the workers refuse tasks that do not fit.
	EnforcesCapacity bool
	// Standby is true for a pool of hosts that are switched off and cost nothing.
	Standby bool
}

// Queue accepts jobs of one kind.
type Queue struct {
	// Name is the name that the operators gave the queue.
	Name string
	// Host and Prefix match the host and the path of a caller's request.
	Host   string
	Prefix string
	Pool   string
	// Public is true if callers need no key.
	Public            bool
	Priority          int
	MaxFailedAttempts int
	Objective         Objective
	// RequestTimeout limits the time for handling a request.
	RequestTimeout time.Duration
	PolicyService  PolicyService
}

// Key returns the identifier of the queue, which is the same in all versions of the configuration.
func (q Queue) Key() string { return q.Host + q.Prefix }

// WithQueues returns a copy of the catalogue with these queues.
func (c Catalogue) WithQueues(queues []Queue) Catalogue {
	c.queues = slices.Clone(queues)
	slices.SortStableFunc(c.queues, func(a, b Queue) int {
		return cmp.Or(cmp.Compare(len(b.Prefix), len(a.Prefix)), cmp.Compare(a.Key(), b.Key()))
	})
	return c
}

// Queues returns a copy of the list of queues.
func (c Catalogue) Queues() []Queue { return slices.Clone(c.queues) }

// PoolNames returns the sorted names of all pools.
func (c Catalogue) PoolNames() []string { return slices.Sorted(maps.Keys(c.Pools)) }

// QueueByKey returns the queue that requests of this host and prefix select.
func (c Catalogue) QueueByKey(key string) (Queue, bool) {
	for _, q := range c.queues {
		if q.Key() == key {
			return q, true
		}
	}
	return Queue{}, false
}

// FindQueue returns the queue of a request and the part of its path after the prefix.
func (c Catalogue) FindQueue(host, path string) (Queue, string, bool) {
	for _, q := range c.queues {
		if q.Host == host && strings.HasPrefix(path, q.Prefix) {
			return q, path[len(q.Prefix):], true
		}
	}
	return Queue{}, "", false
}
