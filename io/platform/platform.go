// Package platform defines the services of the platform that siskincross runs on:
// its transactional tables, object store, list of hosts, workers and pool operations.
//
// Every service is a struct of functions, so that support for another wire format
// is one more constructor. The wire format of NewHTTPClient and NewHandler is known
// to this package only.
package platform

import (
	"context"
	"time"

	"siskincross/core/host"
)

// Services bundles the services of one deployment's platform.
type Services struct {
	Table   Table
	Objects ObjectStore
	Hosts   Hosts
	Workers Workers
}

// Table is the transactional table service.
type Table struct {
	// Commit applies all writes if all preconditions hold, or none.
	// It returns ErrConflict, ErrUnavailable or ErrOutcomeUnknown.
	Commit func(ctx context.Context, tx Transaction) error
	// Read returns the rows of the keys that exist, in the order of keys.
	Read func(ctx context.Context, keys []string) ([]Row, error)
	// Scan returns up to limit rows whose keys begin with prefix and are greater
	// than after, ordered by key.
	Scan func(ctx context.Context, prefix, after string, limit int) ([]Row, error)
}

// Row is one row of the table service.
type Row struct {
	Key string `json:"key"`
	// Version grows by at least one with each write of the row. Deletion does not reset it.
	Version uint64 `json:"version"`
	Value   []byte `json:"value"`
}

// Transaction is a set of preconditions and writes that is applied atomically.
type Transaction struct {
	// ID names the transaction in the service's log. Outcomes are read back from rows, not by ID.
	ID            string         `json:"id"`
	Preconditions []Precondition `json:"preconditions,omitempty"`
	Writes        []Write        `json:"writes"`
	// Purpose names the mechanism that writes. It is a label of metrics.
	Purpose string `json:"-"`
}

// Precondition requires a row to have exactly this version. Version zero requires that the row does not exist.
type Precondition struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// Write sets a row's value, or deletes the row.
type Write struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// ObjectStore is the object store. Objects are immutable.
type ObjectStore struct {
	Put func(ctx context.Context, name string, content []byte) error
	// Get returns ErrNotFound if the object does not exist.
	Get    func(ctx context.Context, name string) ([]byte, error)
	Delete func(ctx context.Context, name string) error
}

// Hosts is the list of hosts and the operations on them.
type Hosts struct {
	// List returns the hosts as of some seconds ago. Entries may come and go between calls, and the list may be empty.
	List func(ctx context.Context) ([]HostInfo, error)
	// Drain tells a host to refuse new requests and tasks. It is idempotent.
	Drain func(ctx context.Context, id host.ID) error
	// Undrain makes a drained host accept work again. It is idempotent.
	Undrain func(ctx context.Context, id host.ID) error
	// Reboot restarts a host for maintenance and aborts its requests and tasks.
	// It is idempotent for one operation ID.
	Reboot func(ctx context.Context, id host.ID, operation string) error
}

// HostInfo is one entry of the list of hosts.
type HostInfo struct {
	Host host.ID `json:"host"`
	// Address is "ip:port" of the host's request listener.
	Address  string        `json:"address"`
	Place    host.Place    `json:"place"`
	Capacity host.Capacity `json:"capacity"`
	// HomePool is the full name of the pool that the host was first assigned to.
	HomePool string `json:"home-pool"`
	// Condition is whether the host is usable.
	Condition Condition `json:"condition"`
	// BootCount counts the host's starts. It grows when a reboot is complete.
	BootCount int `json:"boot"`
}

//go:generate go run github.com/dmarkham/enumer@v1.7.2 -type=Condition,TaskState -transform=kebab -text -json -trimprefix=Condition,Task -output=platform_enumer.go

// Condition is the state of a host according to the platform.
type Condition int

// Conditions of a host.
const (
	ConditionLive Condition = iota
	// ConditionLeaving hosts will be removed soon.
	ConditionLeaving
	// ConditionRebooting hosts are being restarted.
	ConditionRebooting
	// ConditionFailed hosts do not answer the platform.
	ConditionFailed
)

// Workers starts and controls tasks on workers. Every command carries the epoch of the pool's duty
// holder as a fencing token: a worker refuses an epoch below the highest one that it has seen for the
// task's pool with ErrStaleEpoch.
type Workers struct {
	// StartTask starts a task. It is idempotent for one task ID on one worker.
	// It returns ErrRefused if the worker proves that it did not start the task.
	StartTask func(ctx context.Context, id host.ID, spec TaskSpec) error
	// RenewLeases extends the leases of tasks on a worker.
	RenewLeases func(ctx context.Context, id host.ID, lease LeaseRenewal) error
	// ListTasks returns all tasks on a worker, with their resource usage as of a few seconds ago.
	ListTasks func(ctx context.Context, id host.ID) ([]TaskStatus, error)
	// CheckpointTask asks a task to save its progress to the object store.
	CheckpointTask func(ctx context.Context, id host.ID, command TaskCommand) error
	// ThrottleTask sets the share of its declared cores that a task may use, in (0, 1].
	ThrottleTask func(ctx context.Context, id host.ID, command TaskCommand, share float64) error
	// StopTask stops a task. Its state becomes TaskStopped.
	StopTask func(ctx context.Context, id host.ID, command TaskCommand) error
}

// TaskSpec describes the task that a worker runs for one attempt of a job.
type TaskSpec struct {
	// Task is the ID of the attempt, unique across all jobs.
	Task string `json:"task"`
	Job  string `json:"job"`
	Pool string `json:"pool"`
	// Epoch is the epoch of the pool's duty holder.
	Epoch uint64 `json:"epoch"`
	// Program is what the worker runs. This system does not interpret it.
	Program string `json:"program"`
	Cores   int    `json:"cores"`
	// MemoryBytes is the declared memory.
	MemoryBytes int64 `json:"memory-bytes"`
	// Lease is how long the worker runs the task without a renewal of its lease.
	Lease time.Duration `json:"lease"`
	// Checkpoint names the object to resume from; empty to start from the beginning.
	Checkpoint string `json:"checkpoint,omitempty"`
}

// LeaseRenewal extends the leases of tasks on one worker to Duration after its receipt.
type LeaseRenewal struct {
	Pool     string        `json:"pool"`
	Epoch    uint64        `json:"epoch"`
	Tasks    []string      `json:"tasks"`
	Duration time.Duration `json:"duration"`
}

// TaskCommand identifies a task and carries the fencing token of a command to it.
type TaskCommand struct {
	Task string `json:"task"`
	Pool string `json:"pool"`
	// Epoch is the epoch of the pool's duty holder.
	Epoch uint64 `json:"epoch"`
}

// TaskState is the state of a task according to its worker.
type TaskState int

// States of a task.
const (
	TaskRunning TaskState = iota
	TaskFinished
	TaskFailed
	TaskStopped
	// TaskLapsed tasks were stopped because their lease expired.
	TaskLapsed
)

// TaskStatus is a worker's report on one task.
type TaskStatus struct {
	Task  string    `json:"task"`
	Job   string    `json:"job"`
	Pool  string    `json:"pool"`
	State TaskState `json:"state"`
	// UsedCores and UsedMemoryBytes lag by a few seconds.
	UsedCores       float64 `json:"used-cores"`
	UsedMemoryBytes int64   `json:"used-memory-bytes"`
	// Checkpoint names the object with the newest checkpoint; empty if there is none.
	Checkpoint string `json:"checkpoint,omitempty"`
	// Result names the object that holds the whole result of a finished task.
	Result string `json:"result,omitempty"`
	// ResultDigest is the hex SHA-256 of the result.
	ResultDigest string `json:"result-digest,omitempty"`
	// Failure is the reason why a task failed.
	Failure string `json:"failure,omitempty"`
}
