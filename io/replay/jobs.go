package replay

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

// JobCall is a caller's record of one job.
type JobCall struct {
	// ID is the job's ID; empty if the caller received none.
	ID         string `json:"id"`
	Queue      string `json:"queue"`
	Idempotent bool   `json:"idempotent"`
	// AlwaysFails tells that the job's program fails on every attempt.
	AlwaysFails bool      `json:"doomed,omitempty"`
	Started     time.Time `json:"begun"`
	Accepted    bool      `json:"accepted"`
	Error       string    `json:"error,omitempty"`
	// State is the last state that the caller received, at the time ObservedAt.
	State      string    `json:"state"`
	ObservedAt time.Time `json:"seen"`
	// Final tells that the state will not change any more.
	Final     bool `json:"final"`
	Cancelled bool `json:"cancelled,omitempty"`
	// Mismatch tells how the result differs from the expected one; empty if it doesn't, or if there is no result.
	Mismatch string `json:"wrong,omitempty"`
}

// JobSpec describes a job that a caller submits.
type JobSpec struct {
	Queue, Team, Program string
	Cores                int
	MemoryBytes          int64
	Idempotent, Urgent   bool
	// Key is the idempotency key; submissions with the same key create one job.
	Key         string
	ResultBytes int
}

// JobStatus is the state of a job as a caller receives it.
type JobStatus struct {
	State string
	// Final tells that the state will not change any more, Finished that the job has a result.
	Final, Finished bool
}

// JobClient is the client that the replay's callers use for the job API of an entry host.
type JobClient struct {
	// Submit submits a job and returns its ID. Not accepted with a nil error means that the job was refused.
	Submit func(ctx context.Context, address string, spec JobSpec) (id string, accepted bool, err error)
	Status func(ctx context.Context, address, organisation, id string) (JobStatus, error)
	Result func(ctx context.Context, address, organisation, id string) ([]byte, error)
	Cancel func(ctx context.Context, address, organisation, id string) error
}

const (
	jobPollInterval = 300 * time.Millisecond
	// jobTimeout limits one call of the job API.
	jobTimeout = 5 * time.Second
	// maxSubmitAttempts limits the submissions of one job under one key.
	maxSubmitAttempts = 5
)

// submitters submits the jobs of a trace and polls their states.
type submitters struct {
	cluster *cluster
	client  JobClient
	prefix  string

	mu         sync.Mutex
	jobs       []*JobCall
	serial     int
	inProgress sync.WaitGroup
}

// submit submits the jobs of an event. Each job is polled until its state is final or ctx ends.
func (s *submitters) submit(ctx context.Context, e Event) error {
	for range max(1, e.Count) {
		s.mu.Lock()
		s.serial++
		key := fmt.Sprintf("%s-job-%d", s.prefix, s.serial)
		job := &JobCall{Queue: e.Queue, Idempotent: e.Idempotent, AlwaysFails: e.Fail != "", Started: time.Now()}
		s.jobs = append(s.jobs, job)
		s.mu.Unlock()
		s.inProgress.Go(func() { s.submitAndPoll(ctx, job, e.jobSpec(key)) })
	}
	return nil
}

// jobSpec returns the job of an event. Its program uses the declared cores and memory times UsesMore.
func (e Event) jobSpec(key string) JobSpec {
	factor := max(1, e.UsesMore)
	program := fmt.Sprintf("work=%s cores=%g memory-bytes=%d result-bytes=%d",
		e.Work, factor*float64(max(1, e.Cores)), int64(factor*float64(e.MemoryBytes)), answerBytes(e))
	if e.Fail != "" {
		program += " fail=" + e.Fail
	}
	return JobSpec{
		Queue: e.Queue, Team: e.Team, Program: program, Cores: max(1, e.Cores), MemoryBytes: e.MemoryBytes,
		Idempotent: e.Idempotent, Urgent: e.Urgent, Key: key, ResultBytes: answerBytes(e),
	}
}

// submitAndPoll submits one job, then polls its state until it is final.
func (s *submitters) submitAndPoll(ctx context.Context, job *JobCall, spec JobSpec) {
	id, accepted, err := s.submitWithRetry(ctx, spec)
	s.update(job, func(j *JobCall) {
		j.ID, j.Accepted, j.ObservedAt = id, accepted, time.Now()
		if err != nil {
			j.Error = err.Error()
		}
	})
	for accepted && sleep(ctx, jobPollInterval) {
		if s.pollStatus(ctx, job, spec) {
			return
		}
	}
}

// submitWithRetry submits a job, under the same key in each attempt, until an entry host responds.
func (s *submitters) submitWithRetry(ctx context.Context, spec JobSpec) (id string, accepted bool, err error) {
	for range maxSubmitAttempts {
		var p *process
		if p, err = s.cluster.nextHealthy(); err == nil {
			id, accepted, err = s.submitOnce(ctx, p.callerAddress, spec)
		}
		if err == nil || !sleep(ctx, jobPollInterval) {
			break
		}
	}
	return id, accepted, err
}

// submitOnce submits a job to the entry host at address.
func (s *submitters) submitOnce(ctx context.Context, address string, spec JobSpec) (string, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, jobTimeout)
	defer cancel()
	return s.client.Submit(ctx, address, spec)
}

// pollStatus requests the state of a job and, once the job has finished, its result.
// It reports whether it received a final state.
func (s *submitters) pollStatus(ctx context.Context, job *JobCall, spec JobSpec) bool {
	ctx, cancel := context.WithTimeout(ctx, jobTimeout)
	defer cancel()
	p, err := s.cluster.nextHealthy()
	if err != nil {
		return false
	}
	organisation, _, _ := strings.Cut(spec.Queue, "/")
	status, err := s.client.Status(ctx, p.callerAddress, organisation, job.ID)
	if err != nil {
		return false
	}
	mismatch := ""
	if status.Finished {
		content, err := s.client.Result(ctx, p.callerAddress, organisation, job.ID)
		if err != nil {
			return false
		}
		mismatch = resultMismatch(content, job.ID, spec.ResultBytes)
	}
	s.update(job, func(j *JobCall) {
		j.State, j.ObservedAt, j.Final, j.Mismatch = status.State, time.Now(), status.Final, mismatch
	})
	return status.Final
}

// update changes the record of a job under the lock.
func (s *submitters) update(job *JobCall, change func(*JobCall)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(job)
}

// cancel cancels a random share of a queue's unfinished jobs concurrently.
func (s *submitters) cancel(ctx context.Context, e Event, random *rand.Rand) error {
	organisation, _, _ := strings.Cut(e.Queue, "/")
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, job := range s.jobs {
		if job.Queue != e.Queue || !job.Accepted || job.Final || random.Float64() >= e.Share {
			continue
		}
		job.Cancelled = true
		id := job.ID
		s.inProgress.Go(func() { s.cancelOne(ctx, organisation, id) })
	}
	return nil
}

// cancelOne requests the cancellation of one job from a healthy entry host.
func (s *submitters) cancelOne(ctx context.Context, organisation, id string) {
	ctx, cancel := context.WithTimeout(ctx, jobTimeout)
	defer cancel()
	if p, err := s.cluster.nextHealthy(); err == nil {
		_ = s.client.Cancel(ctx, p.callerAddress, organisation, id)
	}
}

// wait waits until each job is final or the context of its event has ended, and returns the records.
func (s *submitters) wait() []JobCall {
	s.inProgress.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	jobs := make([]JobCall, 0, len(s.jobs))
	for _, job := range s.jobs {
		jobs = append(jobs, *job)
	}
	return jobs
}

// sleep waits for d. It returns false if ctx ends before.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
