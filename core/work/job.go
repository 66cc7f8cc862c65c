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

// ID names one job. Callers choose it.
type ID string

// Job is what a caller submitted, with what its queue demands. It never changes.
type Job struct {
	ID ID
	// Queue is the key of the job's queue in the catalogue.
	Queue string
	// Spec is opaque to the system and handed to workers as it is.
	Spec  string
	Steps []Step
	// Repeat is the zero value for a job that runs once, at once.
	Repeat Repeat
	// Accepted is when an entry host took the job in, by that entry host's clock. It orders the queue and nothing else.
	Accepted time.Time
	// Priority orders jobs of a pool; zero comes first.
	Priority int
	// Attempts is how often a task may fail before its job fails. It is at least one.
	Attempts int
	// Objective is the time in which the job should complete, if that is known.
	Objective Objective
	// Advice is set if only a service outside knows which workers may run a step.
	Advice Advice
}

// Objective is the time from a job's arrival in which it should complete:
// Factor times its longest chain of work, and Slack more.
type Objective struct {
	Factor float64
	Slack  time.Duration
}

// Advice describes the policy service of a queue. The zero value means none.
type Advice struct {
	// Decision is what the service takes for one call, Each what it takes for each worker named.
	Decision time.Duration
	Each     time.Duration
	// Validity is how long a ticket counts.
	Validity time.Duration
}

// Needed reports whether the queue's steps need the service's approval.
func (a Advice) Needed() bool { return a.Validity > 0 || a.Decision > 0 }

// Repeat makes the steps run several times. Occurrence k is due at First + k Period.
type Repeat struct {
	Count  int
	First  time.Time
	Period time.Duration
}

// Step is a number of like tasks.
type Step struct {
	Tasks  int
	Demand Resources
	// Estimate is the caller's guess at the duration of one task.
	Estimate time.Duration
	// After holds the indexes of earlier steps whose tasks must all be done before.
	After []int
	// Checkpoints tells that tasks save their progress.
	Checkpoints bool
	// Gang tasks work only while all of them run, and end together.
	Gang bool
	// SameRack tasks are slower on more than one rack.
	SameRack bool
	// Label must be among a worker's labels; empty means any worker.
	Label string
	// DataRack is the rack near the data; empty means none.
	DataRack string
	// SpreadLimit is the most tasks of one occurrence of the step on one worker; zero means any number.
	SpreadLimit int
	// Copies allows several runs of a task at once; the first that finishes counts.
	Copies bool
	// Lasting tasks run until the job is cancelled and are restarted however they end.
	Lasting bool
	// Image names what runs; tasks of one image behave alike.
	Image string
	// TailTarget is the bound of the response times of a lasting task that serves; zero if it does not serve.
	TailTarget time.Duration
	// Filling tasks take processor capacity that others leave unused; their cores are not counted.
	Filling bool
	// ToleratedLoss is how many tasks of a lasting step may be away by our own actions.
	// Tolerant is false if the step states no such number.
	ToleratedLoss int
	Tolerant      bool
}

// Resources is what a task needs or a worker offers.
type Resources struct {
	// MilliCores is in thousandths of a core.
	MilliCores   int
	MemoryMB     int
	Accelerators int
}

// Plus returns the sum.
func (r Resources) Plus(o Resources) Resources {
	return Resources{r.MilliCores + o.MilliCores, r.MemoryMB + o.MemoryMB, r.Accelerators + o.Accelerators}
}

// Minus returns the difference.
func (r Resources) Minus(o Resources) Resources {
	return Resources{r.MilliCores - o.MilliCores, r.MemoryMB - o.MemoryMB, r.Accelerators - o.Accelerators}
}

// Most returns the larger of each resource.
func (r Resources) Most(o Resources) Resources {
	return Resources{max(r.MilliCores, o.MilliCores), max(r.MemoryMB, o.MemoryMB), max(r.Accelerators, o.Accelerators)}
}

// Holds reports whether o fits into r.
func (r Resources) Holds(o Resources) bool {
	return o.MilliCores <= r.MilliCores && o.MemoryMB <= r.MemoryMB && o.Accelerators <= r.Accelerators
}

// counted returns what a task of the step takes from its worker's capacity.
func (s Step) counted() Resources {
	if s.Filling {
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
	Job    ID
	Reason string
}

// Error implements error.
func (e ErrInvalid) Error() string {
	return fmt.Sprintf("job %s is invalid: %s", e.Job, e.Reason)
}

// Check returns ErrInvalid if the job's steps can't be carried out.
func (j Job) Check() error {
	if len(j.Steps) == 0 || len(j.Steps) > maxSteps {
		return ErrInvalid{j.ID, fmt.Sprintf("%d steps, allowed are 1 to %d", len(j.Steps), maxSteps)}
	}
	tasks := 0
	for i, s := range j.Steps {
		if reason := s.objection(i); reason != "" {
			return ErrInvalid{j.ID, fmt.Sprintf("step %d: %s", i, reason)}
		}
		tasks += s.Tasks
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
	if s.Tasks < 1 || s.Tasks > maxTasks {
		return fmt.Sprintf("tasks: %d, allowed are 1 to %d", s.Tasks, maxTasks)
	}
	for _, before := range s.After {
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
		{"tolerated loss", s.ToleratedLoss},
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
		{"tail target", s.TailTarget},
	} {
		if limit.value < 0 || limit.value > maxTime {
			return fmt.Sprintf("%s: %s, allowed are 0 to %s", limit.field, limit.value, maxTime)
		}
	}
	return ""
}

// Occurrences is how often the steps run.
func (j Job) Occurrences() int { return max(1, j.Repeat.Count) }

// Due is when occurrence k may start; the zero time means at once.
func (j Job) Due(k int) time.Time {
	if j.Repeat.Count == 0 {
		return time.Time{}
	}
	return j.Repeat.First.Add(time.Duration(k) * j.Repeat.Period)
}

// Lasts reports whether any step of the job lasts until it is cancelled.
func (j Job) Lasts() bool {
	for _, s := range j.Steps {
		if s.Lasting {
			return true
		}
	}
	return false
}

// shares reports whether any step fills workers or has a target that filling tasks may harm.
func (j Job) shares() bool {
	for _, s := range j.Steps {
		if s.Filling || s.TailTarget > 0 {
			return true
		}
	}
	return false
}

// Chain is the longest chain of estimated work of one occurrence.
func (j Job) Chain() time.Duration {
	ends := make([]time.Duration, len(j.Steps))
	var longest time.Duration
	for i, s := range j.Steps {
		var start time.Duration
		for _, before := range s.After {
			start = max(start, ends[before])
		}
		ends[i] = start + s.Estimate
		longest = max(longest, ends[i])
	}
	return longest
}
