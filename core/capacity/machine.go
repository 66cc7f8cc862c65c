// Package capacity decides which hosts go to which pool, which are switched
// off, and which are maintained next. It performs no I/O; the time is an argument.
package capacity

import "siskincross/core/work"

//go:generate go run github.com/dmarkham/enumer@v1.7.2 -type=State,Kind,Outcome -transform=kebab -text -json -trimprefix=State,Kind,Outcome -output=capacity_enumer.go

// State is what a host does.
type State int

// States of a host.
const (
	// StateUp hosts run a worker or are about to; in a standby pool they are switched off.
	StateUp State = iota
	StateMoving
	StateMaintained
	StateDown
)

// Machine is one host as the platform lists it.
type Machine struct {
	Host     string
	Pool     string
	State    State
	Zone     string
	Rack     string
	Labels   []string
	Capacity work.Resources
	// Worker is the ID of the host's worker; empty while it has none.
	Worker string
}

// OrderKind is what is ordered of a host.
type OrderKind int

// Kinds of orders.
const (
	KindMove OrderKind = iota
	KindMaintain
)

// Order is a command to a host. It ends everything on the host.
type Order struct {
	Kind OrderKind
	Host string
	// Pool is where a move leads.
	Pool string
	// Wave is the number of the wave that a maintenance belongs to.
	Wave int
}

// Outcome is how an order ended.
type Outcome int

// Outcomes of orders.
const (
	// OutcomeDone orders were carried out, now or before.
	OutcomeDone Outcome = iota
	// OutcomeRefused orders had no effect, and may be tried again later.
	OutcomeRefused
	// OutcomeImpossible orders can't be carried out: there is no such host, or the pool is for other hosts.
	OutcomeImpossible
	// OutcomeUnknown orders got no answer. Repeating them is harmless.
	OutcomeUnknown
)

// PoolReport is what a pool's duty holder says of its workers.
type PoolReport struct {
	// Requested is how many more workers the pool could use.
	Requested int
	// Urgent is how many of those it needs for tasks that must not be away.
	Urgent int
	// Spare is how many of its workers the pool could do without for a while.
	Spare int
	// Drained holds the workers that run nothing and get no new work, until they are gone.
	Drained []string
}
