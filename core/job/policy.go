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
	// MaxTries is the number of different workers that a job may fail on.
	MaxTries int
	// Exposure bounds the tasks that an unproved worker may hold and fail.
	Exposure int
	// ProofAge is how long a task runs before it proves its worker, if no bad worker was slower to fail.
	ProofAge time.Duration
	// ProbeAfter is the wait before the first probe of a suspected worker; each further wait doubles.
	ProbeAfter time.Duration
	// MaxProbes is the number of probes before a worker is left alone.
	MaxProbes int
	// CheckpointWait is how long a task to be stopped may take to save its progress.
	CheckpointWait time.Duration
	// UrgentCheckpointWait replaces CheckpointWait when urgent work waits.
	UrgentCheckpointWait time.Duration
	// UsageLag is how late reports of usage are.
	UsageLag time.Duration
	// ThrottleAt, CheckpointAt and StopAt are shares of a worker's memory in use.
	ThrottleAt, CheckpointAt, StopAt float64
	// ThrottleShare is the share of its cores that a throttled task keeps.
	ThrottleShare float64
}

// DefaultPolicy returns the policy of a zero Policy.
func DefaultPolicy() Policy {
	return Policy{
		RequestSlots:         2,
		UrgentShare:          0.04,
		MemoryShare:          0.85,
		CoreShare:            1.1,
		Lease:                30 * time.Second,
		LeaseMargin:          5 * time.Second,
		MaxTries:             3,
		Exposure:             3,
		ProofAge:             10 * time.Second,
		ProbeAfter:           2 * time.Minute,
		MaxProbes:            2,
		CheckpointWait:       10 * time.Second,
		UrgentCheckpointWait: 1500 * time.Millisecond,
		UsageLag:             6 * time.Second,
		ThrottleAt:           0.88,
		CheckpointAt:         0.92,
		StopAt:               0.96,
		ThrottleShare:        0.25,
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
	p.MaxTries = orDefault(p.MaxTries, d.MaxTries)
	p.Exposure = orDefault(p.Exposure, d.Exposure)
	p.ProofAge = orDefault(p.ProofAge, d.ProofAge)
	p.ProbeAfter = orDefault(p.ProbeAfter, d.ProbeAfter)
	p.MaxProbes = orDefault(p.MaxProbes, d.MaxProbes)
	p.CheckpointWait = orDefault(p.CheckpointWait, d.CheckpointWait)
	p.UrgentCheckpointWait = orDefault(p.UrgentCheckpointWait, d.UrgentCheckpointWait)
	p.UsageLag = orDefault(p.UsageLag, d.UsageLag)
	p.ThrottleAt = orDefault(p.ThrottleAt, d.ThrottleAt)
	p.CheckpointAt = orDefault(p.CheckpointAt, d.CheckpointAt)
	p.StopAt = orDefault(p.StopAt, d.StopAt)
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
