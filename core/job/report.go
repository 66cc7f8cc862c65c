package job

import (
	"fmt"
	"slices"
	"time"

	"siskincross/core/chart"
	"siskincross/core/host"
)

// Report is a worker's report on one task.
type Report struct {
	Task string
	// Event is an event of the attempt's chart: AttemptSeen, AttemptFinish, AttemptFail, AttemptEnd or AttemptLapse.
	Event        chart.Event
	UsedCores    float64
	UsedMemory   int64
	Checkpoint   string
	Result       string
	ResultDigest string
	Failure      string
}

// Notice is something that happened to a job or a worker, for the time line.
type Notice struct {
	Kind   NoticeKind
	Job    ID
	Host   host.ID
	Detail string
}

//go:generate go run github.com/dmarkham/enumer@v1.7.2 -type=NoticeKind -transform=kebab -text -json -trimprefix=Notice -output=report_enumer.go

// NoticeKind tells what a notice is about.
type NoticeKind int

// Kinds of notices.
const (
	NoticeLate NoticeKind = iota
	NoticeFailed
	NoticeParked
	NoticeUnknown
	NoticeLapsed
	NoticeSuspected
	NoticeCleared
	NoticeLeaving
	NoticeReleased
	NoticeRequeued
)

// Notices returns what happened since the last call.
func (s *Scheduler) Notices() []Notice {
	list := s.notices
	s.notices = nil
	return list
}

func (s *Scheduler) notice(kind NoticeKind, id ID, h host.ID, detail string) {
	s.notices = append(s.notices, Notice{Kind: kind, Job: id, Host: h, Detail: detail})
}

// Report takes in all tasks of one worker, as of asked. It returns the tasks
// that the worker must stop because they are no job's newest attempt.
func (s *Scheduler) Report(h host.ID, reports []Report, asked, now time.Time) []string {
	s.init()
	w := s.worker(h, now)
	w.answered(now)
	w.strays = false
	var stop []string
	seen := make(map[ID]bool, len(reports))
	for _, r := range reports {
		t := s.match(w, r)
		if t != nil {
			seen[t.job.job.ID] = true
			s.apply(t, r, now)
			continue
		}
		if r.Event == AttemptSeen {
			stop = append(stop, r.Task)
		}
	}
	s.missing(w, seen, asked)
	s.pressure(w, now)
	return stop
}

// match returns the newest attempt that a report is about, or nil.
func (s *Scheduler) match(w *worker, r Report) *task {
	id, attempt, ok := ParseTaskID(r.Task)
	e := s.jobs[id]
	if !ok || e == nil {
		return nil
	}
	if e.task != nil && e.task.worker == w && e.job.Attempt == attempt {
		return e.task
	}
	if r.Event == AttemptFinish && attempt > e.late {
		e.late = attempt
		s.notice(NoticeLate, id, w.id, ErrLateAttempt{Job: id, Attempt: attempt, Newest: e.job.Attempt}.Error())
	}
	return nil
}

// missing ends the tasks that the worker acknowledged, or was found with, and no longer knows.
func (s *Scheduler) missing(w *worker, seen map[ID]bool, asked time.Time) {
	for _, t := range slices.Clone(w.tasks) {
		known := t.resumed && t.dispatched || !t.started.IsZero() && t.started.Before(asked)
		overdue := t.dispatched && asked.Sub(t.since) > s.policy.Lease+s.policy.LeaseMargin
		if (known || overdue) && !seen[t.job.job.ID] && t.since.Before(asked) {
			s.lapse(t, "worker "+string(w.id)+" no longer knows the task")
		}
	}
}

func (s *Scheduler) apply(t *task, r Report, now time.Time) {
	if !t.follow(r.Event) {
		return
	}
	t.dispatched = true
	if t.started.IsZero() {
		t.started = now
	}
	s.progress(t, r, now)
	j := t.job.job
	switch r.Event {
	case AttemptFinish:
		next, err := j.WithFinish(j.Attempt, r.Result, r.ResultDigest)
		s.proof(t)
		s.settle(t, next, err)
	case AttemptFail:
		s.fail(t, r.Failure, now)
	case AttemptEnd:
		s.ended(t)
	case AttemptLapse:
		s.lapse(t, "the lease lapsed on worker "+string(t.worker.id))
	}
}

// progress takes in a task's usage and checkpoint.
func (s *Scheduler) progress(t *task, r Report, now time.Time) {
	t.measure(r.UsedMemory, now)
	t.peakCores = max(t.peakCores, r.UsedCores)
	t.peakMemory = max(t.peakMemory, r.UsedMemory)
	if s.policy.Method == MethodLearned && !t.throttled {
		d := t.demand
		d.Cores = max(d.Cores, t.peakCores)
		d.MemoryBytes = max(d.MemoryBytes, t.peakMemory)
		t.worker.setDemand(t, d)
	}
	if r.Checkpoint != "" && r.Checkpoint != t.checkpoint && r.Checkpoint != t.job.job.Checkpoint {
		t.newProgress = true
		t.checkpoint = r.Checkpoint
		s.proof(t)
	}
	aged := now.Sub(t.started) >= s.suspicion.proofAge() && len(t.worker.record.evidence) == 0
	if r.Event == AttemptSeen && aged && t.since.After(t.worker.record.proved) {
		s.proof(t)
	}
	s.learn(t, r.Event, now)
}

// sampleAge is how long a task runs before its usage is learnt while it still
// runs, if its group is not known.
const sampleAge = 15 * time.Second

// learn teaches the usage of a task: its peaks when it finished, or when it
// passed its estimate, and what it uses so far while nothing is known.
func (s *Scheduler) learn(t *task, on chart.Event, now time.Time) {
	if t.peakMemory == 0 {
		return
	}
	early := on == AttemptSeen && !t.demand.Learnt && !t.sampled && now.Sub(t.started) >= sampleAge
	beyond := on == AttemptEnd && t.peakMemory > t.estimate
	if !early && !beyond && on != AttemptFinish {
		return
	}
	t.sampled = true
	s.usage.Observe(t.job.job.Spec.Group(), t.peakCores, t.peakMemory)
}

func (s *Scheduler) proof(t *task) {
	was := t.worker.record.suspected
	suspects := s.suspicion.proof(t)
	if was && !t.worker.record.suspected {
		s.notice(NoticeCleared, t.job.job.ID, t.worker.id, "a probe ran well")
	}
	for _, w := range suspects {
		s.suspect(w)
	}
}

func (s *Scheduler) suspect(w *worker) {
	s.notice(NoticeSuspected, "", w.id, fmt.Sprintf("%d jobs failed that run elsewhere", len(w.record.evidence)))
	s.reconsider(w)
}
