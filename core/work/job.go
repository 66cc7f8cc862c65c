// Package work decides about jobs of many tasks on the workers of one pool:
// order between steps, placement, leases, ends of runs and what must be stored.
//
// A job has steps, a step has tasks, and a task is run by attempts on workers.
// The package performs no I/O; the time is an argument.
package work

import (
	"fmt"
	"time"
)

// JobID names one job. Callers choose it.
type JobID string

// Job is what a caller submitted, with what its queue demands. It never changes.
type Job struct {
	ID JobID
	// Queue is the key of the job's queue in the catalogue.
	Queue string
	// Spec is opaque to the system and handed to workers as it is.
	Spec  string
	Steps []Step
	// Repeat is the zero value for a job that runs once, at once.
	Repeat Repeat
	// AcceptedAt is when an entry host took the job in, by that entry host's clock. It orders the queue and nothing else.
	AcceptedAt time.Time
	// Priority orders jobs of a pool; zero comes first.
	Priority int
	// MaxFailedAttempts is how often a task may fail before its job fails. It is at least one.
	MaxFailedAttempts int
	// Objective is the time in which the job should complete, if that is known.
	Objective Objective
	// PolicyService is set if only a service outside knows which workers may run a step.
	PolicyService PolicyService
}

// Objective is the time from a job's arrival in which it should complete:
// Factor times its longest chain of work, and Slack more.
type Objective struct {
	Factor float64
	Slack  time.Duration
}

// PolicyService describes the policy service of a queue. The zero value means none.
type PolicyService struct {
	// CallDuration is what the service takes for one call, Each what it takes for each worker named.
	CallDuration      time.Duration
	DurationPerWorker time.Duration
	// TicketValidity is how long a ticket counts.
	TicketValidity time.Duration
}

// Required reports whether the queue's steps need the service's approval.
func (a PolicyService) Required() bool { return a.TicketValidity > 0 || a.CallDuration > 0 }

// Repeat makes the steps run several times. Occurrence k is due at First + k Period.
type Repeat struct {
	Count  int
	First  time.Time
	Period time.Duration
}

// Step is a number of like tasks.
type Step struct {
	TaskCount int
	Demand    Resources
	// Estimate is the caller's guess at the duration of one task.
	Estimate time.Duration
	// DependsOn holds the indexes of earlier steps whose tasks must all be done before.
	DependsOn []int
	// HasCheckpoints tells that tasks save their progress.
	HasCheckpoints bool
	// Gang tasks work only while all of them run, and end together.
	Gang bool
	// PreferSameRack tasks are slower on more than one rack.
	PreferSameRack bool
	// RequiredLabel must be among a worker's labels; empty means any worker.
	RequiredLabel string
	// DataRack is the rack near the data; empty means none.
	DataRack string
	// SpreadLimit is the most tasks of one occurrence of the step on one worker; zero means any number.
	SpreadLimit int
	// Speculative allows several runs of a task at once; the first that finishes counts.
	Speculative bool
	// LongRunning tasks run until the job is cancelled and are restarted however they end.
	LongRunning bool
	// Image names what runs; tasks of one image behave alike.
	Image string
	// TailLatencyTarget is the bound of the response times of a lasting task that serves; zero if it does not serve.
	TailLatencyTarget time.Duration
	// BestEffort tasks take processor capacity that others leave unused; their cores are not counted.
	BestEffort bool
	// MaxUnavailable is how many tasks of a lasting step may be away by our own actions.
	// Tolerant is false if the step states no such number.
	MaxUnavailable    int
	HasMaxUnavailable bool
}

// Resources is what a task needs or a worker offers.
type Resources struct {
	// MilliCores is in thousandths of a core.
	MilliCores   int
	MemoryMB     int
	Accelerators int
}

// Add returns the sum.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.MilliCores + o.MilliCores, r.MemoryMB + o.MemoryMB, r.Accelerators + o.Accelerators}
}

// Sub returns the difference.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.MilliCores - o.MilliCores, r.MemoryMB - o.MemoryMB, r.Accelerators - o.Accelerators}
}

// Max returns the larger of each resource.
func (r Resources) Max(o Resources) Resources {
	return Resources{max(r.MilliCores, o.MilliCores), max(r.MemoryMB, o.MemoryMB), max(r.Accelerators, o.Accelerators)}
}

// Covers reports whether o fits into r.
func (r Resources) Covers(o Resources) bool {
	return o.MilliCores <= r.MilliCores && o.MemoryMB <= r.MemoryMB && o.Accelerators <= r.Accelerators
}

// counted returns what a task of the step takes from its worker's capacity.
func (s Step) counted() Resources {
	if s.BestEffort {
		return Resources{MemoryMB: s.Demand.MemoryMB, Accelerators: s.Demand.Accelerators}
	}
	return s.Demand
}

// Bounds on what one job may ask for.
const (
	// maxSteps and maxTasks keep a job's row within the table service's limit of 64 KiB a row.
	maxSteps = 64
	maxTasks = 10000
	// maxOccurrences bounds what a round of decisions looks at for one job.
	maxOccurrences = 10000
	// maxAmount bounds a resource of one task, in its unit: a billion cores or megabytes are a mistake, and sums of them must not overflow.
	maxAmount = 1 << 40
	// maxTime bounds the times of a job, for the same reasons.
	maxTime = 10 * 365 * 24 * time.Hour
)

// ErrInvalid tells why a job can't be taken in.
type ErrInvalid struct {
	Job    JobID
	Reason string
}

// Error implements error.
func (e ErrInvalid) Error() string {
	return fmt.Sprintf("job %s is invalid: %s", e.Job, e.Reason)
}

// Validate returns ErrInvalid if the job's steps can't be carried out.
func (j Job) Validate() error {
	if len(j.Steps) == 0 || len(j.Steps) > maxSteps {
		return ErrInvalid{j.ID, fmt.Sprintf("%d steps, allowed are 1 to %d", len(j.Steps), maxSteps)}
	}
	tasks := 0
	for i, s := range j.Steps {
		if reason := s.objection(i); reason != "" {
			return ErrInvalid{j.ID, fmt.Sprintf("step %d: %s", i, reason)}
		}
		tasks += s.TaskCount
	}
	if tasks > maxTasks {
		return ErrInvalid{j.ID, fmt.Sprintf("%d tasks, allowed are %d", tasks, maxTasks)}
	}
	if n := j.Repeat.Count; n < 0 || n > maxOccurrences {
		return ErrInvalid{j.ID, fmt.Sprintf("%d occurrences, allowed are %d", n, maxOccurrences)}
	}
	if p := j.Repeat.Period; j.Repeat.Count > 0 && (p < 0 || p > maxTime) {
		return ErrInvalid{j.ID, fmt.Sprintf("period %s, allowed are 0 to %s", p, maxTime)}
	}
	return nil
}

// objection returns why a step with an index can't be carried out; empty means that it can.
func (s Step) objection(index int) string {
	if s.TaskCount < 1 || s.TaskCount > maxTasks {
		return fmt.Sprintf("tasks: %d, allowed are 1 to %d", s.TaskCount, maxTasks)
	}
	for _, before := range s.DependsOn {
		if before < 0 || before >= index {
			return fmt.Sprintf("follows step %d", before)
		}
	}
	for _, figure := range []struct {
		field string
		value int
	}{
		{"milli-cores", s.Demand.MilliCores},
		{"memory in MB", s.Demand.MemoryMB},
		{"accelerators", s.Demand.Accelerators},
		{"spread limit", s.SpreadLimit},
		{"tolerated loss", s.MaxUnavailable},
	} {
		if figure.value < 0 || figure.value > maxAmount {
			return fmt.Sprintf("%s: %d, allowed are 0 to %d", figure.field, figure.value, maxAmount)
		}
	}
	for _, limit := range []struct {
		field string
		value time.Duration
	}{
		{"estimate", s.Estimate},
		{"tail target", s.TailLatencyTarget},
	} {
		if limit.value < 0 || limit.value > maxTime {
			return fmt.Sprintf("%s: %s, allowed are 0 to %s", limit.field, limit.value, maxTime)
		}
	}
	return ""
}

// OccurrenceCount is how often the steps run.
func (j Job) OccurrenceCount() int { return max(1, j.Repeat.Count) }

// DueTime is when occurrence k may start; the zero time means at once.
func (j Job) DueTime(k int) time.Time {
	if j.Repeat.Count == 0 {
		return time.Time{}
	}
	return j.Repeat.First.Add(time.Duration(k) * j.Repeat.Period)
}

// HasLongRunningSteps reports whether any step of the job lasts until it is cancelled.
func (j Job) HasLongRunningSteps() bool {
	for _, s := range j.Steps {
		if s.LongRunning {
			return true
		}
	}
	return false
}

// shares reports whether any step fills workers or has a target that filling tasks may harm.
func (j Job) shares() bool {
	for _, s := range j.Steps {
		if s.BestEffort || s.TailLatencyTarget > 0 {
			return true
		}
	}
	return false
}

// CriticalPath is the longest chain of estimated work of one occurrence.
func (j Job) CriticalPath() time.Duration {
	ends := make([]time.Duration, len(j.Steps))
	var longest time.Duration
	for i, s := range j.Steps {
		var start time.Duration
		for _, before := range s.DependsOn {
			start = max(start, ends[before])
		}
		ends[i] = start + s.Estimate
		longest = max(longest, ends[i])
	}
	return longest
}
