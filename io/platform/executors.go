package platform

import (
	"context"
	"time"

	"siskincross/core/capacity"
	"siskincross/core/work"
)

// Executors is what workers of jobs with many tasks offer.
type Executors struct {
	// Renew holds the leases on a worker and returns what it runs and what ended. A wait is
	// ended by the first end. It returns ErrStaleEpoch, ErrLifeOver or another error for no answer.
	Renew func(ctx context.Context, r work.Renewal) (work.Report, error)
	// Send carries out an order. Every outcome is a verdict.
	Send func(ctx context.Context, o work.Order) work.Answer
	// Advise asks the policy service which of the workers may run a step, and returns a ticket for each of those.
	Advise func(ctx context.Context, step string, workers []string) (map[string]string, error)
}

// ErrLifeOver is returned when another life of a worker answers at its address.
type ErrLifeOver struct {
	Worker string
	// Born is set if a later life of the same worker answered.
	Born int64
}

// Error implements error.
func (e ErrLifeOver) Error() string {
	return "another life answers at the address of worker " + e.Worker
}

// Directory is the list of workers, which they keep up themselves.
type Directory struct {
	// List returns all workers and the version from which to follow.
	List func(ctx context.Context) ([]work.Listing, uint64, error)
	// Follow waits for changes later than a version. It returns ErrHistoryGone if some are lost.
	Follow func(ctx context.Context, after uint64, wait time.Duration) (DirectoryChanges, error)
}

// DirectoryChanges are entries that changed, and the workers whose entries are gone or can't be read.
type DirectoryChanges struct {
	Listed  []work.Listing
	Gone    []string
	Version uint64
}

// Machines is the platform's interface to the hosts below the workers.
type Machines struct {
	// List returns all hosts.
	List func(ctx context.Context) ([]capacity.Machine, error)
	// Send carries out an order for a host. Every outcome is a value; the reason tells of any but success.
	Send func(ctx context.Context, o MachineOrder) (outcome capacity.Outcome, reason string)
}

// MachineOrder is a command to a host, with the authority to give it.
type MachineOrder struct {
	capacity.Order
	// Holder and Epoch are those of the duty for hosts.
	Holder string
	Epoch  uint64
}
