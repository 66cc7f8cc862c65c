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
	// uniqueLetters is the length of the unique part of a job's ID.
	uniqueLetters = 26
	// changeTries bounds the tries to change a row that others change too.
	changeTries = 5
)

// Submission is the body of a submitted job.
type Submission struct {
	// Queue and Team are names within the organisation, or full names. Jobs
	// without a team share what the teams leave.
	Queue   string `json:"queue"`
	Team    string `json:"team"`
	Program string `json:"program"`
	// Cores and MemoryBytes are what the caller declares.
	Cores       int   `json:"cores"`
	MemoryBytes int64 `json:"memory-bytes"`
	Idempotent  bool  `json:"idempotent"`
	Urgent      bool  `json:"urgent"`
	// Template groups jobs of like usage; empty means the program.
	Template string `json:"template"`
}

// ErrInvalidRequest is returned when a caller's request can't be accepted as it is. Nothing was written.
type ErrInvalidRequest struct {
	Reason string
}

// Error implements error.
func (e ErrInvalidRequest) Error() string {
	return "invalid job: " + e.Reason
}

// ErrKeyReused is returned when an Idempotency-Key came with another job before.
type ErrKeyReused struct {
	Job job.ID
}

// Error implements error.
func (e ErrKeyReused) Error() string {
	return fmt.Sprintf("the Idempotency-Key was used with another specification, of job %s", e.Job)
}

// ErrJobNotFound is returned when an organisation has no such job.
type ErrJobNotFound struct {
	Job job.ID
}

// Error implements error.
func (e ErrJobNotFound) Error() string {
	return fmt.Sprintf("there is no job %q", e.Job)
}

// submit accepts a job once its commit is known. With a key, every submission
// of the same specification returns the same job.
func (m *Manager) submit(ctx context.Context, organisation string, s Submission, key string) (job.Job, error) {
	expanded := m.Config()
	spec, pool, err := s.check(expanded, organisation)
	if err != nil {
		return job.Job{}, err
	}
	if len(key) > maxKeyBytes {
		return job.Job{}, ErrInvalidRequest{Reason: fmt.Sprintf("the Idempotency-Key is longer than %d bytes", maxKeyBytes)}
	}
	c := &change{pool: pool, job: job.Job{
		ID: newID(pool, strings.ToLower(unique())), Spec: spec, State: job.StateQueued, AcceptedMillis: time.Now().UnixMilli(),
	}}
	if key != "" {
		c.job.ID = newID(pool, keyedPart(organisation, key))
		c.absent = keysInPools(expanded, organisation, keyedPart(organisation, key))
	}
	err = m.write(ctx, c)
	var conflict platform.ErrConflict
	if key != "" && errors.As(err, &conflict) {
		return m.sameJob(ctx, conflict.Key, spec)
	}
	if err != nil {
		return job.Job{}, err
	}
	m.record(event.Event{Number: event.JobAccepted, Organisation: organisation, Pool: pool, Job: string(c.job.ID)})
	return c.job, nil
}

// check returns the specification and the pool that serves it.
func (s Submission) check(expanded config.Expanded, organisation string) (job.Spec, string, error) {
	queue, ok := expanded.Queue(fullName(organisation, s.Queue))
	if !ok || queue.Organisation != organisation {
		return job.Spec{}, "", ErrInvalidRequest{Reason: fmt.Sprintf("there is no queue %q", s.Queue)}
	}
	team := ""
	if s.Team != "" {
		team = fullName(organisation, s.Team)
	}
	if known, ok := expanded.Team(team); team != "" && (!ok || known.Organisation != organisation) {
		return job.Spec{}, "", ErrInvalidRequest{Reason: fmt.Sprintf("there is no team %q", s.Team)}
	}
	switch {
	case s.Program == "" || len(s.Program) > maxProgramBytes:
		return job.Spec{}, "", ErrInvalidRequest{Reason: fmt.Sprintf("the program must have 1 to %d bytes", maxProgramBytes)}
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

// keyedPart derives the unique part of a job's ID from its Idempotency-Key.
func keyedPart(organisation, key string) string {
	sum := sha256.Sum256([]byte(organisation + "\x00" + key))
	return strings.ToLower(base32.StdEncoding.EncodeToString(sum[:])[:uniqueLetters])
}

// keysInPools returns the rows that a keyed job has in any pool of its
// organisation, so that a queue that changed its pool meanwhile runs it once.
func keysInPools(expanded config.Expanded, organisation, part string) []string {
	var keys []string
	for _, p := range expanded.Pools {
		if p.Organisation == organisation {
			keys = append(keys, jobKey(p.Name, newID(p.Name, part)))
		}
	}
	return keys
}

// sameJob returns the job that was accepted under the same key before.
func (m *Manager) sameJob(ctx context.Context, key string, spec job.Spec) (job.Job, error) {
	found, err := m.readJobs(ctx, []string{key})
	if err != nil {
		return job.Job{}, err
	}
	if len(found) == 0 {
		return job.Job{}, platform.ErrUnavailable{Service: "table", Reason: "the job of the key was deleted just now"}
	}
	if found[0].Spec != spec {
		return job.Job{}, ErrKeyReused{Job: found[0].ID}
	}
	return found[0], nil
}

// get returns a job's row.
func (m *Manager) get(ctx context.Context, organisation string, id job.ID) (job.Job, error) {
	found, err := m.readJobs(ctx, []string{jobKey(poolOf(organisation, id), id)})
	if err != nil {
		return job.Job{}, err
	}
	if len(found) == 0 {
		return job.Job{}, ErrJobNotFound{Job: id}
	}
	return found[0], nil
}

// cancel asks a job to end. A job that is final stays as it is; one that runs
// becomes cancelling, and its worker's answer decides how it ends.
func (m *Manager) cancel(ctx context.Context, organisation string, id job.ID) (job.Job, error) {
	return m.alter(ctx, organisation, id, event.JobCancelRequested, func(j job.Job) (job.Job, error) {
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

// release tries a parked job again. A job in another state stays as it is.
func (m *Manager) release(ctx context.Context, organisation string, id job.ID) (job.Job, error) {
	return m.alter(ctx, organisation, id, event.JobReleased, func(j job.Job) (job.Job, error) {
		if j.State != job.StateParked {
			return j, nil
		}
		return j.WithRelease()
	})
}

// alter changes a row that the duty holder changes too: the one whose commit is first wins, the other reads again.
func (m *Manager) alter(ctx context.Context, organisation string, id job.ID, number event.Number, f func(job.Job) (job.Job, error)) (job.Job, error) {
	var err error
	for range changeTries {
		var current, next job.Job
		current, err = m.get(ctx, organisation, id)
		if err != nil {
			return current, err
		}
		next, err = f(current)
		if err != nil || next.State == current.State {
			return next, err
		}
		pool := poolOf(organisation, id)
		err = m.write(ctx, &change{pool: pool, job: next})
		var conflict platform.ErrConflict
		if !errors.As(err, &conflict) {
			if err == nil {
				m.record(event.Event{Number: number, Organisation: organisation, Pool: pool, Job: string(id)})
			}
			return next, err
		}
	}
	return job.Job{}, err
}
