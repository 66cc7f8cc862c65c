package job

import "time"

//go:generate go run github.com/dmarkham/enumer@v1.7.2 -type=Method,Action -transform=kebab -text -json -trimprefix=Method,Action -output=policy_enumer.go

// Method is a way of choosing workers for jobs.
type Method int

// Methods of placement.
const (
	// MethodLearned packs by learnt usage, spread over racks and availability zones.
	MethodLearned Method = iota
	// MethodFirstFit takes the first worker with room for the declared size.
	MethodFirstFit
	// MethodBestFit takes the worker with the least room left for the declared size.
	MethodBestFit
)

// Policy holds the numbers that decide about jobs. A zero field has the default of DefaultPolicy.
type Policy struct {
	Method Method
	// RequestSlots of every worker are never given to tasks.
	RequestSlots int
	// UrgentShare of a pool's task slots is kept free of other work, at least one slot.
	UrgentShare float64
	// MemoryShare of a worker's memory is given to tasks, in (0, 1].
	MemoryShare float64
	// CoreShare of a worker's cores is given to tasks; above 1 is overcommit.
	CoreShare float64
	// Lease is how long a worker runs a task without a renewal.
	Lease time.Duration
	// LeaseMargin is added before a lease counts as lapsed here.
	LeaseMargin time.Duration
	// MaxFailedWorkers is the number of different workers that a job may fail on.
	MaxFailedWorkers int
	// MaxUnprovenTasks bounds the tasks that an unproved worker may hold and fail.
	MaxUnprovenTasks int
	// ProofRunTime is how long a task runs before it proves its worker, if no bad worker was slower to fail.
	ProofRunTime time.Duration
	// FirstProbeDelay is the wait before the first probe of a suspected worker; each further wait doubles.
	FirstProbeDelay time.Duration
	// MaxProbes is the number of probes before a worker is left alone.
	MaxProbes int
	// CheckpointTimeout is how long a task to be stopped may take to save its progress.
	CheckpointTimeout time.Duration
	// UrgentCheckpointTimeout replaces CheckpointTimeout when urgent work waits.
	UrgentCheckpointTimeout time.Duration
	// UsageReportLag is how late reports of usage are.
	UsageReportLag time.Duration
	// ThrottleThreshold, CheckpointThreshold and StopThreshold are shares of a worker's memory in use.
	ThrottleThreshold, CheckpointThreshold, StopThreshold float64
	// ThrottleShare is the share of its cores that a throttled task keeps.
	ThrottleShare float64
}

// DefaultPolicy returns the policy of a zero Policy.
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

// withDefaults fills the zero fields.
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

// Action is a command to a worker about one task.
type Action int

// Actions, from the mildest.
const (
	ActionThrottle Action = iota
	ActionCheckpoint
	ActionStop
)
