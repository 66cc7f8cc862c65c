package jobs

import (
	"context"
	"crypto/sha256"
	"encoding/base32"
	"errors"
	"fmt"
	"strings"
	"time"

	"siskincross/core/config"
	"siskincross/core/event"
	"siskincross/core/job"
	"siskincross/io/platform"
)

const (
	maxProgramBytes = 4096
	maxNameBytes    = 128
	maxKeyBytes     = 256
	// idSuffixLength is the length of the unique part of a job ID.
	idSuffixLength = 26
	// maxChangeAttempts bounds the attempts to change a row with concurrent writers.
	maxChangeAttempts = 5
)

// Submission is the request body of a job submission.
type Submission struct {
	// Queue and Team are names within the organisation, or full names. Jobs without a team share the slots
	// that are not guaranteed to teams.
	Queue   string `json:"queue"`
	Team    string `json:"team"`
	Program string `json:"program"`
	// Cores and MemoryBytes are the declared size of the job.
	Cores       int   `json:"cores"`
	MemoryBytes int64 `json:"memory-bytes"`
	Idempotent  bool  `json:"idempotent"`
	Urgent      bool  `json:"urgent"`
	// Template groups jobs of similar resource usage. The default is the program.
	Template string `json:"template"`
}

// ErrInvalidRequest is returned when a request is invalid. Nothing was written.
type ErrInvalidRequest struct {
	Reason string
}

// Error implements error.
func (e ErrInvalidRequest) Error() string {
	return "invalid request: " + e.Reason
}

// ErrKeyReused is returned when an Idempotency-Key was used for a job with another specification.
type ErrKeyReused struct {
	Job job.ID
}

// Error implements error.
func (e ErrKeyReused) Error() string {
	return fmt.Sprintf("the Idempotency-Key was already used for job %s with another specification", e.Job)
}

// ErrJobNotFound is returned when an organisation has no such job.
type ErrJobNotFound struct {
	Job job.ID
}

// Error implements error.
func (e ErrJobNotFound) Error() string {
	return fmt.Sprintf("job %q does not exist", e.Job)
}

// submit accepts a job and returns once the write is committed. All submissions with the same non-empty key
// and the same specification return the same job.
func (m *Manager) submit(ctx context.Context, organisation string, s Submission, key string) (job.Job, error) {
	expanded := m.Config()
	spec, pool, err := s.resolve(expanded, organisation)
	if err != nil {
		return job.Job{}, err
	}
	if len(key) > maxKeyBytes {
		return job.Job{}, ErrInvalidRequest{Reason: fmt.Sprintf("the Idempotency-Key is longer than %d bytes", maxKeyBytes)}
	}
	c := &callerWrite{pool: pool, job: job.Job{
		ID: newJobID(pool, strings.ToLower(newUniqueID())), Spec: spec, State: job.StateQueued, AcceptedMillis: time.Now().UnixMilli(),
	}}
	if key != "" {
		c.job.ID = newJobID(pool, keyedIDSuffix(organisation, key))
		c.absentKeys = keyedRowKeys(expanded, organisation, keyedIDSuffix(organisation, key))
	}
	err = m.commitWrite(ctx, c)
	var conflict platform.ErrConflict
	if key != "" && errors.As(err, &conflict) {
		return m.existingJob(ctx, conflict.Key, spec)
	}
	if err != nil {
		return job.Job{}, err
	}
	m.recordEvent(event.Event{Number: event.JobAccepted, Organisation: organisation, Pool: pool, Job: string(c.job.ID)})
	return c.job, nil
}

// resolve validates a submission. It returns the job's specification and the pool of its queue.
func (s Submission) resolve(expanded config.Expanded, organisation string) (job.Spec, string, error) {
	queue, ok := expanded.Queue(fullName(organisation, s.Queue))
	if !ok || queue.Organisation != organisation {
		return job.Spec{}, "", ErrInvalidRequest{Reason: fmt.Sprintf("queue %q does not exist", s.Queue)}
	}
	team := ""
	if s.Team != "" {
		team = fullName(organisation, s.Team)
	}
	if known, ok := expanded.Team(team); team != "" && (!ok || known.Organisation != organisation) {
		return job.Spec{}, "", ErrInvalidRequest{Reason: fmt.Sprintf("team %q does not exist", s.Team)}
	}
	switch {
	case s.Program == "" || len(s.Program) > maxProgramBytes:
		return job.Spec{}, "", ErrInvalidRequest{Reason: fmt.Sprintf("the program must have between 1 and %d bytes", maxProgramBytes)}
	case s.Cores < 1 || s.MemoryBytes < 1:
		return job.Spec{}, "", ErrInvalidRequest{Reason: "cores and memory-bytes must be at least 1"}
	case len(s.Template) > maxNameBytes:
		return job.Spec{}, "", ErrInvalidRequest{Reason: fmt.Sprintf("the template's name is longer than %d bytes", maxNameBytes)}
	}
	return job.Spec{
		Organisation: organisation, Queue: queue.Name, Team: team, Program: s.Program,
		Cores: s.Cores, MemoryBytes: s.MemoryBytes, Idempotent: s.Idempotent,
		Urgent: s.Urgent || queue.Urgent, Template: s.Template,
	}, queue.Pool, nil
}

func fullName(organisation, name string) string {
	if strings.HasPrefix(name, organisation+"/") {
		return name
	}
	return organisation + "/" + name
}

// keyedIDSuffix derives the unique part of a job ID from the Idempotency-Key.
func keyedIDSuffix(organisation, key string) string {
	sum := sha256.Sum256([]byte(organisation + "\x00" + key))
	return strings.ToLower(base32.StdEncoding.EncodeToString(sum[:])[:idSuffixLength])
}

// keyedRowKeys returns the row keys of a keyed job in all pools of its organisation. A job is accepted only
// if none of them exists, so that it runs once even if its queue moved to another pool between two
// submissions.
func keyedRowKeys(expanded config.Expanded, organisation, part string) []string {
	var keys []string
	for _, p := range expanded.Pools {
		if p.Organisation == organisation {
			keys = append(keys, jobKey(p.Name, newJobID(p.Name, part)))
		}
	}
	return keys
}

// existingJob returns the job that was accepted earlier with the same key.
func (m *Manager) existingJob(ctx context.Context, key string, spec job.Spec) (job.Job, error) {
	found, err := m.readJobs(ctx, []string{key})
	if err != nil {
		return job.Job{}, err
	}
	if len(found) == 0 {
		return job.Job{}, platform.ErrUnavailable{Service: "table", Reason: "the job with this Idempotency-Key has just been deleted"}
	}
	if found[0].Spec != spec {
		return job.Job{}, ErrKeyReused{Job: found[0].ID}
	}
	return found[0], nil
}

// get returns a job from its row.
func (m *Manager) get(ctx context.Context, organisation string, id job.ID) (job.Job, error) {
	found, err := m.readJobs(ctx, []string{jobKey(poolName(organisation, id), id)})
	if err != nil {
		return job.Job{}, err
	}
	if len(found) == 0 {
		return job.Job{}, ErrJobNotFound{Job: id}
	}
	return found[0], nil
}

// cancel requests the cancellation of a job. A final job stays unchanged. A job with an attempt becomes
// cancelling, and the end of the attempt decides its final state.
func (m *Manager) cancel(ctx context.Context, organisation string, id job.ID) (job.Job, error) {
	return m.changeJob(ctx, organisation, id, event.JobCancelRequested, func(j job.Job) (job.Job, error) {
		if job.IsFinal(j.State) || j.State == job.StateCancelling {
			return j, nil
		}
		next, err := j.WithCancel()
		if next.State == job.StateCancelled {
			next.EndedMillis = time.Now().UnixMilli()
		}
		return next, err
	})
}

// release queues a parked job again. A job in another state stays unchanged.
func (m *Manager) release(ctx context.Context, organisation string, id job.ID) (job.Job, error) {
	return m.changeJob(ctx, organisation, id, event.JobReleased, func(j job.Job) (job.Job, error) {
		if j.State != job.StateParked {
			return j, nil
		}
		return j.WithRelease()
	})
}

// changeJob changes a row that the duty holder may change concurrently. The first commit wins, and changeJob
// retries with the row read again.
func (m *Manager) changeJob(ctx context.Context, organisation string, id job.ID, number event.Number, change func(job.Job) (job.Job, error)) (job.Job, error) {
	var err error
	for range maxChangeAttempts {
		var current, next job.Job
		current, err = m.get(ctx, organisation, id)
		if err != nil {
			return current, err
		}
		next, err = change(current)
		if err != nil || next.State == current.State {
			return next, err
		}
		pool := poolName(organisation, id)
		err = m.commitWrite(ctx, &callerWrite{pool: pool, job: next})
		var conflict platform.ErrConflict
		if !errors.As(err, &conflict) {
			if err == nil {
				m.recordEvent(event.Event{Number: number, Organisation: organisation, Pool: pool, Job: string(id)})
			}
			return next, err
		}
	}
	return job.Job{}, err
}
