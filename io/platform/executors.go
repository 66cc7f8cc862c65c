package platform

import (
	"context"
	"time"

	"siskincross/core/capacity"
	"siskincross/core/work"
)

// Executors is the interface to the workers of jobs with many tasks, and to the policy service.
type Executors struct {
	// RenewLeases renews the leases of all runs on a worker and returns its active and ended runs. With a wait, it
	// returns as soon as a run ends. It returns ErrStaleEpoch, ErrWrongIncarnation or ErrNotSent, or another error if there is no response.
	RenewLeases func(ctx context.Context, r work.Renewal) (work.Report, error)
	// Fence sends a renewal without a lease or an acknowledgement, and returns the errors of RenewLeases. It waits for no other call to the
	// worker. If it is nil, RenewLeases is used.
	Fence func(ctx context.Context, r work.Renewal) error
	// SendOrder sends an order to a worker. The result also covers failed calls, so that there is no error.
	SendOrder func(ctx context.Context, o work.Order) work.OrderResult
	// RequestTickets asks the policy service which of the workers may run a step. It returns the tickets of those by worker ID.
	RequestTickets func(ctx context.Context, step string, workers []string) (map[string]string, error)
}

// ErrWrongIncarnation is returned when a process other than the expected incarnation of a worker responds at its address.
type ErrWrongIncarnation struct {
	Worker string
	// Actual is the start of the incarnation that responded, in Unix milliseconds; zero if another worker responded.
	Actual int64
}

// Error implements error.
func (e ErrWrongIncarnation) Error() string {
	return "another incarnation responds at the address of worker " + e.Worker
}

// WorkerDirectory is the registry of workers. Workers write their entries themselves.
type WorkerDirectory struct {
	// List returns the whole directory, as changes of an empty one. Their version is to be passed to AwaitChanges.
	List func(ctx context.Context) (DirectoryChanges, error)
	// AwaitChanges returns the changes after a version, waiting for them if there are none yet. It returns ErrHistoryTruncated if
	// some of them are no longer available.
	AwaitChanges func(ctx context.Context, after uint64, wait time.Duration) (DirectoryChanges, error)
}

// DirectoryChanges are the changes of the directory up to Version.
type DirectoryChanges struct {
	Updated []work.WorkerInfo
	// Removed holds the IDs of the workers whose entries were deleted.
	Removed []string
	// Rejected holds the entries that name no worker to use. An earlier entry of the same ID no longer counts.
	Rejected []RejectedEntry
	Version  uint64
}

// RejectedEntry is an entry of the directory that is malformed or has values out of range.
type RejectedEntry struct{ ID, Reason string }

// CloudAPI is the platform's interface to the hosts that the workers run on.
type CloudAPI struct {
	// ListHosts returns all hosts.
	ListHosts func(ctx context.Context) ([]capacity.Machine, error)
	// SendOrder sends an order for a host. The outcome also covers failed calls; reason explains any outcome but success.
	SendOrder func(ctx context.Context, o HostOrder) (outcome capacity.Outcome, reason string)
}

// HostOrder is an order for a host with the fencing token of its sender.
type HostOrder struct {
	capacity.Order
	// Holder and Epoch are the holder and the epoch of the duty for hosts.
	Holder string
	Epoch  uint64
}
