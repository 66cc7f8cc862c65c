// Package job decides about jobs: their life cycle, queues, quotas, placement
// on workers, and which workers are suspected of failing every task.
package job

import (
	"fmt"
	"strconv"
	"strings"

	"siskincross/core/chart"
	"siskincross/core/host"
)

// ID names one job: "<pool without organisation>-<26 letters and digits>".
type ID string

// Spec is what a caller submits. It never changes.
type Spec struct {
	Organisation string `json:"organisation"`
	// Queue is the full name "organisation/queue".
	Queue string `json:"queue"`
	// Team is the full name "organisation/team".
	Team    string `json:"team"`
	Program string `json:"program"`
	// Cores is the declared number of cores.
	Cores int `json:"cores"`
	// MemoryBytes is the declared memory.
	MemoryBytes int64 `json:"memory-bytes"`
	// Idempotent jobs may run again after an attempt that ended without a result.
	Idempotent bool `json:"idempotent,omitempty"`
	Urgent     bool `json:"urgent,omitempty"`
	// Template groups jobs of like usage; empty means the program.
	Template string `json:"template,omitempty"`
}

// UsageGroup names the jobs whose usage is learnt together.
func (s Spec) UsageGroup() string {
	if s.Template != "" {
		return s.Organisation + "/" + s.Template
	}
	return s.Organisation + "/" + s.Program
}

// Failure is one failed attempt.
type Failure struct {
	Host   host.ID `json:"host"`
	Reason string  `json:"reason"`
	// WorkerProven is true if the worker had run another job well.
	WorkerProven bool `json:"proved,omitempty"`
}

// Job is a job's row. It is changed only by the methods below, which follow the chart.
type Job struct {
	ID   ID   `json:"id"`
	Spec Spec `json:"spec"`
	// State is a state of the chart in job.toml.
	State chart.State `json:"state"`
	// Attempt counts the committed attempts. Only the newest may change the job.
	Attempt int `json:"attempt"`
	// Host runs the newest attempt while the job is running or cancelling.
	Host host.ID `json:"host,omitempty"`
	// Epoch is the epoch of the pool's duty holder that committed the row.
	Epoch uint64 `json:"epoch,omitempty"`
	// Checkpoint names the object that the next attempt resumes from.
	Checkpoint string `json:"checkpoint,omitempty"`
	// Result and ResultDigest (hex SHA-256) are set only when the job has finished.
	Result       string `json:"result,omitempty"`
	ResultDigest string `json:"result-digest,omitempty"`
	// Reason tells why the job is parked, failed, unknown or queued again.
	Reason string `json:"reason,omitempty"`
	// Failures holds the failed attempts, oldest first.
	Failures []Failure `json:"failures,omitempty"`
	// AcceptedMillis is the accepting entry host's clock in Unix milliseconds. It orders a team's queue, and nothing else.
	AcceptedMillis int64 `json:"accepted-millis"`
	// EndedMillis is the duty holder's clock when the job became final; zero before.
	EndedMillis int64 `json:"ended-millis,omitempty"`
	// CommitID is the ID of the transaction that wrote the row, for reading back unknown outcomes.
	CommitID string `json:"commit"`
	// Version is the row's version when it was read; zero when it is not known.
	Version uint64 `json:"-"`
}

// ErrStaleAttempt is returned when an attempt that is not a job's newest reports an end.
type ErrStaleAttempt struct {
	Job     ID
	Attempt int
	Newest  int
}

// Error implements error.
func (e ErrStaleAttempt) Error() string {
	return fmt.Sprintf("attempt %d of job %s is late, the newest is %d", e.Attempt, e.Job, e.Newest)
}

// FormatTaskID names an attempt of a job on a worker.
func FormatTaskID(id ID, attempt int) string {
	return string(id) + "." + strconv.Itoa(attempt)
}

// ParseTaskID splits a task's ID into the job and the attempt.
func ParseTaskID(task string) (ID, int, bool) {
	i := strings.LastIndexByte(task, '.')
	if i < 0 {
		return "", 0, false
	}
	attempt, err := strconv.Atoi(task[i+1:])
	return ID(task[:i]), attempt, err == nil
}

// TaskID returns the ID of the newest attempt.
func (j Job) TaskID() string {
	return FormatTaskID(j.ID, j.Attempt)
}

// WithStart returns the job with a new attempt on a worker.
func (j Job) WithStart(h host.ID, epoch uint64) (Job, error) {
	next, err := j.transition(eventStart)
	if err != nil {
		return j, err
	}
	next.Attempt++
	next.Host = h
	next.Epoch = epoch
	next.Reason = ""
	return next, nil
}

// WithFinish returns the job with the result of an attempt, or ErrStaleAttempt.
func (j Job) WithFinish(attempt int, result, digest string) (Job, error) {
	next, err := j.endAttempt(eventFinish, attempt)
	if err != nil {
		return j, err
	}
	next.Result = result
	next.ResultDigest = digest
	next.Reason = ""
	return next, nil
}

// WithRequeue returns the job after an attempt that left nothing but its checkpoint.
// Without a new checkpoint the next attempt resumes from the last one.
func (j Job) WithRequeue(attempt int, checkpoint, reason string) (Job, error) {
	next, err := j.endAttempt(eventRequeue, attempt)
	if err != nil {
		return j, err
	}
	if checkpoint != "" {
		next.Checkpoint = checkpoint
	}
	next.Reason = reason
	return next, nil
}

// WithFailure returns the job after a failed attempt on a worker that was proved or not.
// A job that is not idempotent ends.
func (j Job) WithFailure(attempt int, reason string, proved bool) (Job, error) {
	on := eventRequeue
	if !j.Spec.Idempotent {
		on = eventFail
	}
	next, err := j.endAttempt(on, attempt)
	if err != nil {
		return j, err
	}
	next.Reason = reason
	next.Failures = append(append([]Failure(nil), j.Failures...), Failure{Host: j.Host, Reason: reason, WorkerProven: proved})
	return next, nil
}

// WithLapse returns the job after the lease of an attempt lapsed. Whether that
// attempt ended is not known, so only an idempotent job may run again.
func (j Job) WithLapse(attempt int, checkpoint, reason string) (Job, error) {
	if j.Spec.Idempotent {
		return j.WithRequeue(attempt, checkpoint, reason)
	}
	next, err := j.endAttempt(eventLose, attempt)
	if err != nil {
		return j, err
	}
	next.Reason = reason
	return next, nil
}

// WithPark returns the job parked with its reason.
func (j Job) WithPark(reason string) (Job, error) {
	next, err := j.transition(eventPark)
	next.Reason = reason
	return next, err
}

// WithRelease returns a parked job queued again, with its failures forgotten.
func (j Job) WithRelease() (Job, error) {
	next, err := j.transition(eventRelease)
	next.Failures = nil
	next.Reason = ""
	return next, err
}

// WithCancel returns the job cancelled, or cancelling while an attempt may run.
func (j Job) WithCancel() (Job, error) {
	return j.transition(eventCancel)
}

// Merge applies wanted, which was decided on an older row, to the actual row.
// Callers change rows only by cancelling and releasing; ok is false if the actual row stands as it is.
func Merge(actual, wanted Job) (merged Job, ok bool) {
	sameAttempt := actual.Attempt == wanted.Attempt
	if actual.State != StateCancelling || !sameAttempt {
		return actual, false
	}
	switch wanted.State {
	case StateQueued, StateParked:
		wanted.State = StateCancelled
	case StateRunning:
		return actual, false
	}
	wanted.Version = actual.Version
	return wanted, true
}

func (j Job) endAttempt(on chart.Event, attempt int) (Job, error) {
	if attempt != j.Attempt {
		return j, ErrStaleAttempt{Job: j.ID, Attempt: attempt, Newest: j.Attempt}
	}
	next, err := j.transition(on)
	if err == nil {
		next.Host = ""
	}
	return next, err
}

func (j Job) transition(on chart.Event) (Job, error) {
	next := j
	state, err := jobChart.Next(j.State, on)
	next.State = state
	return next, err
}
