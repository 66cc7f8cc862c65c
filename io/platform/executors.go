package platform

import (
	"context"
	"time"

	"siskincross/core/capacity"
	"siskincross/core/work"
)

// Executors is what workers of jobs with many tasks offer.
type Executors struct {
	// RenewLeases holds the leases on a worker and returns what it runs and what ended. A wait is
	// ended by the first end. It returns ErrStaleEpoch, ErrWrongIncarnation or another error for no answer.
	RenewLeases func(ctx context.Context, r work.Renewal) (work.Report, error)
	// SendOrder carries out an order. Every outcome is a verdict.
	SendOrder func(ctx context.Context, o work.Order) work.OrderResult
	// RequestTickets asks the policy service which of the workers may run a step, and returns a ticket for each of those.
	RequestTickets func(ctx context.Context, step string, workers []string) (map[string]string, error)
}

// ErrWrongIncarnation is returned when another life of a worker answers at its address.
type ErrWrongIncarnation struct {
	Worker string
	// Actual is set if a later life of the same worker answered.
	Actual int64
}

// Error implements error.
func (e ErrWrongIncarnation) Error() string {
	return "another life answers at the address of worker " + e.Worker
}

// WorkerDirectory is the list of workers, which they keep up themselves.
type WorkerDirectory struct {
	// List returns all workers and the version from which to follow.
	List func(ctx context.Context) ([]work.WorkerInfo, uint64, error)
	// AwaitChanges waits for changes later than a version. It returns ErrHistoryTruncated if some are lost.
	AwaitChanges func(ctx context.Context, after uint64, wait time.Duration) (DirectoryChanges, error)
}

// DirectoryChanges are entries that changed, and the workers whose entries are gone or can't be read.
type DirectoryChanges struct {
	Updated []work.WorkerInfo
	Removed []string
	Version uint64
}

// CloudAPI is the platform's interface to the hosts below the workers.
type CloudAPI struct {
	// ListHosts returns all hosts.
	ListHosts func(ctx context.Context) ([]capacity.Machine, error)
	// SendOrder carries out an order for a host. Every outcome is a value; the reason tells of any but success.
	SendOrder func(ctx context.Context, o HostOrder) (outcome capacity.Outcome, reason string)
}

// HostOrder is a command to a host, with the authority to give it.
type HostOrder struct {
	capacity.Order
	// Holder and Epoch are those of the duty for hosts.
	Holder string
	Epoch  uint64
}
