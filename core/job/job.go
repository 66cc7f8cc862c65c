// Package job schedules jobs. It decides about their life cycle, queues, quotas and placement on workers, and
// about which workers are suspected of failing every task.
package job

import (
	"fmt"
	"strconv"
	"strings"

	"siskincross/core/chart"
	"siskincross/core/host"
)

// ID identifies a job: "<pool without organisation>-<26 letters and digits>".
type ID string

// Spec is the specification of a job as submitted by a caller. It never changes.
type Spec struct {
	Organisation string `json:"organisation"`
	// Queue is the full name "organisation/queue".
	Queue string `json:"queue"`
	// Team is the full name "organisation/team".
	Team    string `json:"team"`
	Program string `json:"program"`
	// Cores is the declared number of cores.
	Cores int `json:"cores"`
	// MemoryBytes is the declared memory size.
	MemoryBytes int64 `json:"memory-bytes"`
	// Idempotent jobs may run again after an attempt that ended without a result.
	Idempotent bool `json:"idempotent,omitempty"`
	Urgent     bool `json:"urgent,omitempty"`
	// Template groups jobs of similar resource usage. The default is the program.
	Template string `json:"template,omitempty"`
}

// UsageGroup returns the name of the group of jobs whose resource usage is learnt together.
func (s Spec) UsageGroup() string {
	if s.Template != "" {
		return s.Organisation + "/" + s.Template
	}
	return s.Organisation + "/" + s.Program
}

// Failure is a failed attempt.
type Failure struct {
	Host   host.ID `json:"host"`
	Reason string  `json:"reason"`
	// WorkerProven is true if the worker had run another job successfully, so that the failure counts against
	// the job.
	WorkerProven bool `json:"proved,omitempty"`
}

// Job is the stored row of a job. It is changed only by the methods below, which follow the state chart.
type Job struct {
	ID   ID   `json:"id"`
	Spec Spec `json:"spec"`
	// State is a state of the chart in job.toml.
	State chart.State `json:"state"`
	// Attempt is the number of committed attempts. Only the newest attempt may change the job.
	Attempt int `json:"attempt"`
	// Host runs the newest attempt while the job is running or cancelling.
	Host host.ID `json:"host,omitempty"`
	// Epoch is the epoch of the duty holder that last changed the job.
	Epoch uint64 `json:"epoch,omitempty"`
	// Checkpoint names the object from which the next attempt resumes.
	Checkpoint string `json:"checkpoint,omitempty"`
	// Result and ResultDigest (hex SHA-256) are set only when the job has finished.
	Result       string `json:"result,omitempty"`
	ResultDigest string `json:"result-digest,omitempty"`
	// Reason explains why the job is parked, failed, unknown or queued again.
	Reason string `json:"reason,omitempty"`
	// Failures holds the failed attempts, oldest first.
	Failures []Failure `json:"failures,omitempty"`
	// AcceptedMillis is the time of acceptance by the clock of the accepting entry host, in Unix milliseconds.
	// It is shown to callers and starts the measured wait of a job. It decides nothing.
	AcceptedMillis int64 `json:"accepted-millis"`
	// EndedMillis is the time at which the job became final, by the clock of the writer, in Unix
	// milliseconds. It is zero before.
	EndedMillis int64 `json:"ended-millis,omitempty"`
	// CommitID is the ID of the transaction that wrote the row. A read-back compares it to resolve an unknown
	// commit outcome.
	CommitID string `json:"commit"`
	// Version is the version at which the row was read, zero if it is not known.
	Version uint64 `json:"-"`
}

// ErrStaleAttempt is returned when an attempt other than a job's newest reports its end.
type ErrStaleAttempt struct {
	Job     ID
	Attempt int
	Newest  int
}

// Error implements error.
func (e ErrStaleAttempt) Error() string {
	return fmt.Sprintf("attempt %d of job %s is stale, the newest is attempt %d", e.Attempt, e.Job, e.Newest)
}

// FormatTaskID returns the ID of the task that runs an attempt of a job.
func FormatTaskID(id ID, attempt int) string {
	return string(id) + "." + strconv.Itoa(attempt)
}

// ParseTaskID splits a task ID into the job ID and the attempt.
func ParseTaskID(task string) (ID, int, bool) {
	dot := strings.LastIndexByte(task, '.')
	if dot < 0 {
		return "", 0, false
	}
	attempt, err := strconv.Atoi(task[dot+1:])
	return ID(task[:dot]), attempt, err == nil
}

// TaskID returns the task ID of the newest attempt.
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

// WithFinish returns the job with the result of an attempt. It returns ErrStaleAttempt if the attempt is not
// the newest.
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

// WithRequeue returns the job after an attempt that ended without a result. If checkpoint is empty, the next
// attempt resumes from the previous checkpoint.
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

// WithFailure returns the job after a failed attempt. An idempotent job is queued again, another job ends as
// failed.
func (j Job) WithFailure(attempt int, reason string, workerProven bool) (Job, error) {
	event := eventRequeue
	if !j.Spec.Idempotent {
		event = eventFail
	}
	next, err := j.endAttempt(event, attempt)
	if err != nil {
		return j, err
	}
	next.Reason = reason
	next.Failures = append(append([]Failure(nil), j.Failures...), Failure{Host: j.Host, Reason: reason, WorkerProven: workerProven})
	return next, nil
}

// WithLapse returns the job after the lease of an attempt lapsed. The attempt may still run, so only an
// idempotent job is queued again.
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

// WithPark returns the job parked for the given reason.
func (j Job) WithPark(reason string) (Job, error) {
	next, err := j.transition(eventPark)
	next.Reason = reason
	return next, err
}

// WithRelease returns a parked job queued again, with its failures cleared.
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

// Merge applies pending, a decision that was based on an older row, to the stored row. Callers change rows
// only by cancelling and releasing. ok is false if the stored row takes precedence and stays as it is.
func Merge(stored, pending Job) (merged Job, ok bool) {
	sameAttempt := stored.Attempt == pending.Attempt
	if stored.State != StateCancelling || !sameAttempt {
		return stored, false
	}
	switch pending.State {
	case StateQueued, StateParked:
		pending.State = StateCancelled
	case StateRunning:
		return stored, false
	}
	pending.Version = stored.Version
	return pending, true
}

func (j Job) endAttempt(event chart.Event, attempt int) (Job, error) {
	if attempt != j.Attempt {
		return j, ErrStaleAttempt{Job: j.ID, Attempt: attempt, Newest: j.Attempt}
	}
	next, err := j.transition(event)
	if err == nil {
		next.Host = ""
	}
	return next, err
}

func (j Job) transition(event chart.Event) (Job, error) {
	next := j
	state, err := jobChart.Next(j.State, event)
	next.State = state
	return next, err
}
