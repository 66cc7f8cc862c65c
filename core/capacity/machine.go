// Package capacity decides which hosts go to which pool, which are switched off and which are maintained next.
// It performs no I/O; the time is an argument.
package capacity

import "siskincross/core/work"

//go:generate go run github.com/dmarkham/enumer@v1.7.2 -type=State,OrderKind,Outcome -transform=kebab -text -json -trimprefix=State,Kind,Outcome -output=capacity_enumer.go

// State is the state of a host as the platform lists it.
type State int

// States of a host.
const (
	// StateUp hosts run a worker or are about to. In a standby pool they are switched off.
	StateUp State = iota
	StateMoving
	StateMaintained
	StateDown
)

// Machine is one host in the list of the platform.
type Machine struct {
	Host     string
	Pool     string
	State    State
	Zone     string
	Rack     string
	Labels   []string
	Capacity work.Resources
	// Worker is the ID of the host's worker; empty if it has none.
	Worker string
}

// OrderKind is the operation that an order requests.
type OrderKind int

// Kinds of orders.
const (
	KindMove OrderKind = iota
	KindMaintain
)

// Order is a command to a host. Carrying it out ends everything that runs on the host.
type Order struct {
	Kind OrderKind
	Host string
	// Pool is the destination of a move.
	Pool string
	// Wave is the number of the maintenance wave that a maintenance belongs to.
	Wave int
}

// Outcome is the result of an order.
type Outcome int

// Outcomes of orders.
const (
	// OutcomeDone orders have been carried out, by this attempt or an earlier one.
	OutcomeDone Outcome = iota
	// OutcomeRefused orders had no effect and may be retried later.
	OutcomeRefused
	// OutcomeImpossible orders can't be carried out: the host does not exist, or the pool does not accept hosts
	// of this kind.
	OutcomeImpossible
	// OutcomeUnknown orders got no answer. Orders are idempotent, so that they can be repeated.
	OutcomeUnknown
)

// PoolReport is the report of a pool's duty holder about its workers.
type PoolReport struct {
	// Requested is the number of additional workers that the pool could use.
	Requested int
	// Urgent is how many of the requested workers are needed for tasks that must keep running.
	Urgent int
	// Spare is the number of workers that the pool can do without for a while.
	Spare int
	// Evacuated holds the workers that run nothing and get no new work until their hosts have left.
	Evacuated []string
}
