package job

import "time"

//go:generate go run github.com/dmarkham/enumer@v1.7.2 -type=Method,Action -transform=kebab -text -json -trimprefix=Method,Action -output=policy_enumer.go

// Method is a placement method.
type Method int

// Placement methods.
const (
	// MethodLearned packs tasks by learnt usage and spreads them over racks and availability zones.
	MethodLearned Method = iota
	// MethodFirstFit chooses the first worker that has room for the declared size.
	MethodFirstFit
	// MethodBestFit chooses the worker that has the least room left after placing the declared size.
	MethodBestFit
)

// Policy holds the parameters of scheduling. A zero field has the default of DefaultPolicy.
type Policy struct {
	Method Method
	// RequestSlots is the number of slots of each worker that are never given to tasks.
	RequestSlots int
	// UrgentShare is the fraction of a pool's task slots that only urgent jobs may take, at least one slot.
	UrgentShare float64
	// MemoryShare is the fraction of a worker's memory that is available to tasks, in (0, 1].
	MemoryShare float64
	// CoreShare is the fraction of a worker's cores that is available to tasks. Values above 1 overcommit.
	CoreShare float64
	// Lease is how long a worker runs a task without a renewal.
	Lease time.Duration
	// LeaseMargin is added to Lease before the scheduler counts a lease as lapsed.
	LeaseMargin time.Duration
	// MaxFailedWorkers is the number of different workers on which a job may fail.
	MaxFailedWorkers int
	// MaxUnprovenTasks bounds the failed and running tasks of a worker since the start of its latest
	// successful task.
	MaxUnprovenTasks int
	// ProofRunTime is how long a task runs before it proves its worker. It is extended if a faulty worker
	// took longer to fail a task.
	ProofRunTime time.Duration
	// FirstProbeDelay is the delay before the first probe of a suspected worker. It doubles with each probe.
	FirstProbeDelay time.Duration
	// MaxProbes is the number of probes after which a suspected worker receives no more tasks.
	MaxProbes int
	// CheckpointTimeout is how long an evicted task may take to save a checkpoint before it is stopped.
	CheckpointTimeout time.Duration
	// UrgentCheckpointTimeout replaces CheckpointTimeout if the task is evicted for an urgent job.
	UrgentCheckpointTimeout time.Duration
	// UsageReportLag is the delay of reported resource usage.
	UsageReportLag time.Duration
	// ThrottleThreshold, CheckpointThreshold and StopThreshold are fractions of a worker's memory in use from
	// which its tasks are throttled, checkpointed and stopped, or stopped at once.
	ThrottleThreshold, CheckpointThreshold, StopThreshold float64
	// ThrottleShare is the fraction of its cores that a throttled task keeps.
	ThrottleShare float64
}

// DefaultPolicy returns the values that replace the zero fields of a Policy.
func DefaultPolicy() Policy {
	return Policy{
		RequestSlots:            2,
		UrgentShare:             0.04,
		MemoryShare:             0.85,
		CoreShare:               1.1,
		Lease:                   30 * time.Second,
		LeaseMargin:             5 * time.Second,
		MaxFailedWorkers:        3,
		MaxUnprovenTasks:        3,
		ProofRunTime:            10 * time.Second,
		FirstProbeDelay:         2 * time.Minute,
		MaxProbes:               2,
		CheckpointTimeout:       10 * time.Second,
		UrgentCheckpointTimeout: 1500 * time.Millisecond,
		UsageReportLag:          6 * time.Second,
		ThrottleThreshold:       0.88,
		CheckpointThreshold:     0.92,
		StopThreshold:           0.96,
		ThrottleShare:           0.25,
	}
}

// withDefaults returns the policy with zero fields set to their defaults.
func (p Policy) withDefaults() Policy {
	d := DefaultPolicy()
	p.RequestSlots = orDefault(p.RequestSlots, d.RequestSlots)
	p.UrgentShare = orDefault(p.UrgentShare, d.UrgentShare)
	p.MemoryShare = orDefault(p.MemoryShare, d.MemoryShare)
	p.CoreShare = orDefault(p.CoreShare, d.CoreShare)
	p.Lease = orDefault(p.Lease, d.Lease)
	p.LeaseMargin = orDefault(p.LeaseMargin, d.LeaseMargin)
	p.MaxFailedWorkers = orDefault(p.MaxFailedWorkers, d.MaxFailedWorkers)
	p.MaxUnprovenTasks = orDefault(p.MaxUnprovenTasks, d.MaxUnprovenTasks)
	p.ProofRunTime = orDefault(p.ProofRunTime, d.ProofRunTime)
	p.FirstProbeDelay = orDefault(p.FirstProbeDelay, d.FirstProbeDelay)
	p.MaxProbes = orDefault(p.MaxProbes, d.MaxProbes)
	p.CheckpointTimeout = orDefault(p.CheckpointTimeout, d.CheckpointTimeout)
	p.UrgentCheckpointTimeout = orDefault(p.UrgentCheckpointTimeout, d.UrgentCheckpointTimeout)
	p.UsageReportLag = orDefault(p.UsageReportLag, d.UsageReportLag)
	p.ThrottleThreshold = orDefault(p.ThrottleThreshold, d.ThrottleThreshold)
	p.CheckpointThreshold = orDefault(p.CheckpointThreshold, d.CheckpointThreshold)
	p.StopThreshold = orDefault(p.StopThreshold, d.StopThreshold)
	p.ThrottleShare = orDefault(p.ThrottleShare, d.ThrottleShare)
	return p
}

func orDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}

// Action is the action that a worker takes on a task.
type Action int

// Actions, the least disruptive first.
const (
	ActionThrottle Action = iota
	ActionCheckpoint
	ActionStop
)
