package replay

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

// JobCall is a caller's own record of one job.
type JobCall struct {
	// ID is the job's ID; empty if none was told.
	ID         string `json:"id"`
	Queue      string `json:"queue"`
	Idempotent bool   `json:"idempotent"`
	// Doomed jobs have a program that always fails.
	Doomed   bool      `json:"doomed,omitempty"`
	Begun    time.Time `json:"begun"`
	Accepted bool      `json:"accepted"`
	Error    string    `json:"error,omitempty"`
	// State is the last that the caller was told, at Seen.
	State string    `json:"state"`
	Seen  time.Time `json:"seen"`
	// Final tells that the job will not change any more.
	Final     bool `json:"final"`
	Cancelled bool `json:"cancelled,omitempty"`
	// Wrong tells in what the result is not whole; empty if it is, or if there is none.
	Wrong string `json:"wrong,omitempty"`
}

// JobSpec is what a caller submits.
type JobSpec struct {
	Queue, Team, Program string
	Cores                int
	MemoryBytes          int64
	Idempotent, Urgent   bool
	// Key makes repeated submissions one job.
	Key         string
	ResultBytes int
}

// JobStatus is what a caller is told of a job.
type JobStatus struct {
	State string
	// Final states are not left; Finished is the one with a result.
	Final, Finished bool
}

// JobClient is how the replay's callers reach the job API of an entry host.
type JobClient struct {
	// Submit returns the job's ID. accepted false with a nil error means that the job was refused.
	Submit func(ctx context.Context, address string, spec JobSpec) (id string, accepted bool, err error)
	Status func(ctx context.Context, address, organisation, id string) (JobStatus, error)
	Result func(ctx context.Context, address, organisation, id string) ([]byte, error)
	Cancel func(ctx context.Context, address, organisation, id string) error
}

const (
	jobInterval = 300 * time.Millisecond
	// jobTimeout bounds one call of the job API.
	jobTimeout = 5 * time.Second
	// submitTries bounds the submissions of one job under one key.
	submitTries = 5
)

// submitters submit the jobs of a trace and follow them.
type submitters struct {
	cluster *cluster
	client  JobClient
	prefix  string

	mu     sync.Mutex
	jobs   []*JobCall
	serial int
	group  sync.WaitGroup
}

// submit submits the jobs of an event. Each is followed until it is final or ctx ends.
func (s *submitters) submit(ctx context.Context, e Event) error {
	for range max(1, e.Count) {
		s.mu.Lock()
		s.serial++
		key := fmt.Sprintf("%s-job-%d", s.prefix, s.serial)
		job := &JobCall{Queue: e.Queue, Idempotent: e.Idempotent, Doomed: e.Fail != "", Begun: time.Now()}
		s.jobs = append(s.jobs, job)
		s.mu.Unlock()
		s.group.Go(func() { s.follow(ctx, job, e.jobSpec(key)) })
	}
	return nil
}

// jobSpec returns the job of an event. The program uses more than the job declares by UsesMore.
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

// follow submits one job, then asks for its state until it is final.
func (s *submitters) follow(ctx context.Context, job *JobCall, spec JobSpec) {
	id, accepted, err := s.submitOne(ctx, spec)
	s.update(job, func(j *JobCall) {
		j.ID, j.Accepted, j.Seen = id, accepted, time.Now()
		if err != nil {
			j.Error = err.Error()
		}
	})
	for accepted && sleep(ctx, jobInterval) {
		if s.ask(ctx, job, spec) {
			return
		}
	}
}

// submitOne submits under one key until an answer comes.
func (s *submitters) submitOne(ctx context.Context, spec JobSpec) (id string, accepted bool, err error) {
	for range submitTries {
		var p *process
		if p, err = s.cluster.pick(); err == nil {
			id, accepted, err = s.submitAt(ctx, p.callers, spec)
		}
		if err == nil || !sleep(ctx, jobInterval) {
			break
		}
	}
	return id, accepted, err
}

func (s *submitters) submitAt(ctx context.Context, address string, spec JobSpec) (string, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, jobTimeout)
	defer cancel()
	return s.client.Submit(ctx, address, spec)
}

// ask reads the state of a job and, once it has finished, its result. It returns true when nothing is left to ask.
func (s *submitters) ask(ctx context.Context, job *JobCall, spec JobSpec) bool {
	ctx, cancel := context.WithTimeout(ctx, jobTimeout)
	defer cancel()
	p, err := s.cluster.pick()
	if err != nil {
		return false
	}
	organisation, _, _ := strings.Cut(spec.Queue, "/")
	status, err := s.client.Status(ctx, p.callers, organisation, job.ID)
	if err != nil {
		return false
	}
	fault := ""
	if status.Finished {
		content, err := s.client.Result(ctx, p.callers, organisation, job.ID)
		if err != nil {
			return false
		}
		fault = wrongResult(content, job.ID, spec.ResultBytes)
	}
	s.update(job, func(j *JobCall) { j.State, j.Seen, j.Final, j.Wrong = status.State, time.Now(), status.Final, fault })
	return status.Final
}

func (s *submitters) update(job *JobCall, change func(*JobCall)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(job)
}

// cancel cancels a share of a queue's jobs that are not final, all at once.
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
		s.group.Go(func() { s.cancelOne(ctx, organisation, id) })
	}
	return nil
}

func (s *submitters) cancelOne(ctx context.Context, organisation, id string) {
	ctx, cancel := context.WithTimeout(ctx, jobTimeout)
	defer cancel()
	if p, err := s.cluster.pick(); err == nil {
		_ = s.client.Cancel(ctx, p.callers, organisation, id)
	}
}

// wait waits until all jobs are final or ctx ended, and returns the records.
func (s *submitters) wait() []JobCall {
	s.group.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	jobs := make([]JobCall, 0, len(s.jobs))
	for _, job := range s.jobs {
		jobs = append(jobs, *job)
	}
	return jobs
}

// sleep waits for d and returns false when ctx ended before.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
