// Package work schedules jobs of many tasks on the workers of one pool: the order of steps, placement, leases,
// handling of ended runs, and the progress to be stored.
//
// A job consists of steps and a step of tasks; a task is executed by runs on workers, one run for each attempt.
// The package performs no I/O, and the time is passed as an argument.
package work

import (
	"fmt"
	"time"

	"siskincross/core/resource"
)

// JobID identifies a job. The caller chooses it.
type JobID string

// Job is a job as its caller submitted it, with the settings of its queue. It is immutable.
type Job struct {
	ID JobID
	// Queue is the key of the job's queue in the catalogue.
	Queue string
	// Organisation names the organisation whose key the submission carried; empty if it needed none.
	Organisation string
	// Spec is opaque and passed to workers unchanged.
	Spec  string
	Steps []Step
	// Repeat is zero for a job that runs once, as soon as possible.
	Repeat Repeat
	// AcceptedAt is the time at which an entry host accepted the job, by that host's clock. It is used only to
	// order the jobs of a queue.
	AcceptedAt time.Time
	// Priority orders the jobs of a pool; lower values come first.
	Priority int
	// MaxFailedAttempts is the number of failed attempts of one task at which the job fails. It is at least one.
	MaxFailedAttempts int
	// Objective is the time within which the job should complete; zero if none is stated.
	Objective Objective
	// PolicyService is set if an external policy service decides which workers may run a step.
	PolicyService PolicyService
}

// Objective is the time from a job's arrival within which it should complete: Factor times the duration of its
// critical path, plus Slack.
type Objective struct {
	Factor float64
	Slack  time.Duration
}

// PolicyService describes the policy service of a queue. The zero value means that there is none.
type PolicyService struct {
	// CallDuration is the time that the service takes for a call, and DurationPerWorker the additional time for
	// each worker that the call names.
	CallDuration      time.Duration
	DurationPerWorker time.Duration
	// TicketValidity is the time for which a ticket is valid.
	TicketValidity time.Duration
}

// Required reports whether the steps of the queue need the approval of the service.
func (p PolicyService) Required() bool { return p.TicketValidity > 0 || p.CallDuration > 0 }

// Repeat makes the steps run several times. Occurrence k is due at First + k*Period.
type Repeat struct {
	Count  int
	First  time.Time
	Period time.Duration
}

// Step is a set of identical tasks.
type Step struct {
	TaskCount int
	Demand    Resources
	// Estimate is the caller's estimate of the duration of one task.
	Estimate time.Duration
	// DependsOn holds the indexes of the earlier steps whose tasks must all be done before this step starts.
	DependsOn []int
	// HasCheckpoints is true if the tasks save their progress.
	HasCheckpoints bool
	// Gang tasks make progress only while all of them run, and they end together.
	Gang bool
	// PreferSameRack is true if the tasks are slower when they are on more than one rack.
	PreferSameRack bool
	// RequiredLabel is a label that a worker must have; empty allows any worker.
	RequiredLabel string
	// DataRack is the rack close to the tasks' data; empty if there is none.
	DataRack string
	// SpreadLimit is the maximum number of tasks of one occurrence of the step on one worker; zero means no
	// limit.
	SpreadLimit int
	// Speculative allows several runs of a task at the same time; the first one that finishes counts.
	Speculative bool
	// LongRunning tasks run until the job is cancelled. They are restarted whenever they end.
	LongRunning bool
	// Image names the program that runs; tasks of the same image behave alike.
	Image string
	// TailLatencyTarget is the limit of the tail latency of a long-running task that serves requests; zero if it
	// serves none.
	TailLatencyTarget time.Duration
	// BestEffort tasks use processor capacity that other tasks leave unused. Their cores are not reserved.
	BestEffort bool
	// MaxUnavailable is the number of tasks of a long-running step that the system may take down at the same
	// time. It applies only if HasMaxUnavailable is set.
	MaxUnavailable    int
	HasMaxUnavailable bool
}

// Resources is an amount of resources that a task needs or a worker offers.
type Resources = resource.Amount

// reservedResources returns what a task of the step reserves of its worker's capacity.
func (s Step) reservedResources() Resources {
	if s.BestEffort {
		return Resources{MemoryMB: s.Demand.MemoryMB, Accelerators: s.Demand.Accelerators}
	}
	return s.Demand
}

// Limits on the size of one job.
const (
	// maxSteps and maxTasks keep a job's row within the table service's limit of 64 KiB per row.
	maxSteps = 64
	maxTasks = 10000
	// maxOccurrences limits the work that one job causes in a scheduling round.
	maxOccurrences = 10000
	// maxAmount limits one resource of a task, in its unit. A billion cores or megabytes are a mistake, and sums
	// of the amounts must not overflow.
	maxAmount = 1 << 40
	// maxDuration limits the durations of a job, for the same reasons.
	maxDuration = 10 * 365 * 24 * time.Hour
)

// ErrInvalid is returned for a job that can't be accepted.
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
		return ErrInvalid{j.ID, fmt.Sprintf("%d steps, must be 1 to %d", len(j.Steps), maxSteps)}
	}
	tasks := 0
	for i, s := range j.Steps {
		if reason := s.problem(i); reason != "" {
			return ErrInvalid{j.ID, fmt.Sprintf("step %d: %s", i, reason)}
		}
		tasks += s.TaskCount
	}
	if tasks > maxTasks {
		return ErrInvalid{j.ID, fmt.Sprintf("%d tasks, must be at most %d", tasks, maxTasks)}
	}
	if n := j.Repeat.Count; n < 0 || n > maxOccurrences {
		return ErrInvalid{j.ID, fmt.Sprintf("%d occurrences, must be at most %d", n, maxOccurrences)}
	}
	if p := j.Repeat.Period; j.Repeat.Count > 0 && (p < 0 || p > maxDuration) {
		return ErrInvalid{j.ID, fmt.Sprintf("period %s, must be 0 to %s", p, maxDuration)}
	}
	return nil
}

// problem returns why the step with this index can't be carried out, or an empty string if it can.
func (s Step) problem(index int) string {
	if s.TaskCount < 1 || s.TaskCount > maxTasks {
		return fmt.Sprintf("tasks: %d, must be 1 to %d", s.TaskCount, maxTasks)
	}
	for _, dependency := range s.DependsOn {
		if dependency < 0 || dependency >= index {
			return fmt.Sprintf("depends on step %d, which is not an earlier step", dependency)
		}
	}
	for _, amount := range []struct {
		field string
		value int
	}{
		{"milli-cores", s.Demand.MilliCores},
		{"memory in MB", s.Demand.MemoryMB},
		{"accelerators", s.Demand.Accelerators},
		{"spread limit", s.SpreadLimit},
		{"tolerated loss", s.MaxUnavailable},
	} {
		if amount.value < 0 || amount.value > maxAmount {
			return fmt.Sprintf("%s: %d, must be 0 to %d", amount.field, amount.value, maxAmount)
		}
	}
	for _, limit := range []struct {
		field string
		value time.Duration
	}{
		{"estimate", s.Estimate},
		{"tail target", s.TailLatencyTarget},
	} {
		if limit.value < 0 || limit.value > maxDuration {
			return fmt.Sprintf("%s: %s, must be 0 to %s", limit.field, limit.value, maxDuration)
		}
	}
	return ""
}

// OccurrenceCount returns how many times the steps run.
func (j Job) OccurrenceCount() int { return max(1, j.Repeat.Count) }

// DueTime returns the time before which occurrence k must not start; the zero time means that it can start at
// once.
func (j Job) DueTime(k int) time.Time {
	if j.Repeat.Count == 0 {
		return time.Time{}
	}
	return j.Repeat.First.Add(time.Duration(k) * j.Repeat.Period)
}

// HasLongRunningSteps reports whether any step of the job runs until the job is cancelled.
func (j Job) HasLongRunningSteps() bool {
	for _, s := range j.Steps {
		if s.LongRunning {
			return true
		}
	}
	return false
}

// affectsPace reports whether any step is best-effort or has a latency target that best-effort tasks may
// violate.
func (j Job) affectsPace() bool {
	for _, s := range j.Steps {
		if s.BestEffort || s.TailLatencyTarget > 0 {
			return true
		}
	}
	return false
}

// CriticalPath returns the duration of the longest chain of dependent steps of one occurrence, by their
// estimates.
func (j Job) CriticalPath() time.Duration {
	ends := make([]time.Duration, len(j.Steps))
	var longest time.Duration
	for i, s := range j.Steps {
		var start time.Duration
		for _, dependency := range s.DependsOn {
			start = max(start, ends[dependency])
		}
		ends[i] = start + s.Estimate
		longest = max(longest, ends[i])
	}
	return longest
}
