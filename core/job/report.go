package job

import (
	"fmt"
	"slices"
	"time"

	"siskincross/core/chart"
	"siskincross/core/host"
)

// TaskReport is a worker's report on one task.
type TaskReport struct {
	TaskID string
	// Event is an event of the attempt's chart: AttemptEventRunning, AttemptEventFinish, AttemptEventFail, AttemptEventStopped or AttemptEventLapse.
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

// TakeNotices returns what happened since the last call.
func (s *Scheduler) TakeNotices() []Notice {
	list := s.notices
	s.notices = nil
	return list
}

func (s *Scheduler) addNotice(kind NoticeKind, id ID, h host.ID, detail string) {
	s.notices = append(s.notices, Notice{Kind: kind, Job: id, Host: h, Detail: detail})
}

// HandleReports takes in all tasks of one worker, as of asked. It returns the tasks
// that the worker must stop because they are no job's newest attempt.
func (s *Scheduler) HandleReports(h host.ID, reports []TaskReport, asked, now time.Time) []string {
	s.init()
	w := s.ensureWorker(h, now)
	w.recordAnswer(now)
	w.mayRunAbandoned = false
	var stop []string
	seen := make(map[ID]bool, len(reports))
	for _, r := range reports {
		t := s.currentTask(w, r)
		if t != nil {
			seen[t.entry.job.ID] = true
			s.applyReport(t, r, now)
			continue
		}
		if r.Event == AttemptEventRunning {
			stop = append(stop, r.TaskID)
		}
	}
	s.lapseMissing(w, seen, asked)
	s.relieveMemoryPressure(w, now)
	return stop
}

// currentTask returns the newest attempt that a report is about, or nil.
func (s *Scheduler) currentTask(w *worker, r TaskReport) *task {
	id, attempt, ok := ParseTaskID(r.TaskID)
	e := s.jobs[id]
	if !ok || e == nil {
		return nil
	}
	if e.task != nil && e.task.worker == w && e.job.Attempt == attempt {
		return e.task
	}
	if r.Event == AttemptEventFinish && attempt > e.lastStaleFinish {
		e.lastStaleFinish = attempt
		s.addNotice(NoticeLate, id, w.id, ErrStaleAttempt{Job: id, Attempt: attempt, Newest: e.job.Attempt}.Error())
	}
	return nil
}

// lapseMissing ends the tasks that the worker acknowledged, or was found with, and no longer knows.
func (s *Scheduler) lapseMissing(w *worker, seen map[ID]bool, asked time.Time) {
	for _, t := range slices.Clone(w.tasks) {
		known := t.recovered && t.dispatched || !t.acknowledgedAt.IsZero() && t.acknowledgedAt.Before(asked)
		overdue := t.dispatched && asked.Sub(t.createdAt) > s.policy.Lease+s.policy.LeaseMargin
		if (known || overdue) && !seen[t.entry.job.ID] && t.createdAt.Before(asked) {
			s.handleLapse(t, "worker "+string(w.id)+" no longer knows the task")
		}
	}
}

func (s *Scheduler) applyReport(t *task, r TaskReport, now time.Time) {
	if !t.transition(r.Event) {
		return
	}
	t.dispatched = true
	if t.acknowledgedAt.IsZero() {
		t.acknowledgedAt = now
	}
	s.recordProgress(t, r, now)
	j := t.entry.job
	switch r.Event {
	case AttemptEventFinish:
		next, err := j.WithFinish(j.Attempt, r.Result, r.ResultDigest)
		s.recordSuccess(t)
		s.finishAttempt(t, next, err)
	case AttemptEventFail:
		s.handleFailure(t, r.Failure, now)
	case AttemptEventStopped:
		s.handleStopped(t)
	case AttemptEventLapse:
		s.handleLapse(t, "the lease lapsed on worker "+string(t.worker.id))
	}
}

// recordProgress takes in a task's usage and checkpoint.
func (s *Scheduler) recordProgress(t *task, r TaskReport, now time.Time) {
	t.recordMemory(r.UsedMemory, now)
	t.peakCores = max(t.peakCores, r.UsedCores)
	t.peakMemory = max(t.peakMemory, r.UsedMemory)
	if s.policy.Method == MethodLearned && !t.throttled {
		d := t.demand
		d.Cores = max(d.Cores, t.peakCores)
		d.MemoryBytes = max(d.MemoryBytes, t.peakMemory)
		t.worker.setDemand(t, d)
	}
	if r.Checkpoint != "" && r.Checkpoint != t.checkpoint && r.Checkpoint != t.entry.job.Checkpoint {
		t.checkpointReported = true
		t.checkpoint = r.Checkpoint
		s.recordSuccess(t)
	}
	aged := now.Sub(t.acknowledgedAt) >= s.faults.proofRunTime() && len(t.worker.health.taskFailures) == 0
	if r.Event == AttemptEventRunning && aged && t.createdAt.After(t.worker.health.lastSuccessStart) {
		s.recordSuccess(t)
	}
	s.learnUsage(t, r.Event, now)
}

// minSampleAge is how long a task runs before its usage is learnt while it still
// runs, if its group is not known.
const minSampleAge = 15 * time.Second

// learnUsage teaches the usage of a task: its peaks when it finished, or when it
// passed its estimate, and what it uses so far while nothing is known.
func (s *Scheduler) learnUsage(t *task, on chart.Event, now time.Time) {
	if t.peakMemory == 0 {
		return
	}
	early := on == AttemptEventRunning && !t.demand.Learnt && !t.usageSampled && now.Sub(t.acknowledgedAt) >= minSampleAge
	beyond := on == AttemptEventStopped && t.peakMemory > t.estimate
	if !early && !beyond && on != AttemptEventFinish {
		return
	}
	t.usageSampled = true
	s.usage.Observe(t.entry.job.Spec.UsageGroup(), t.peakCores, t.peakMemory)
}

func (s *Scheduler) recordSuccess(t *task) {
	was := t.worker.health.suspected
	suspects := s.faults.recordSuccess(t)
	if was && !t.worker.health.suspected {
		s.addNotice(NoticeCleared, t.entry.job.ID, t.worker.id, "a probe ran well")
	}
	for _, w := range suspects {
		s.handleSuspected(w)
	}
}

func (s *Scheduler) handleSuspected(w *worker) {
	s.addNotice(NoticeSuspected, "", w.id, fmt.Sprintf("%d jobs failed that run elsewhere", len(w.health.taskFailures)))
	s.releaseParkedJobs(w)
}
