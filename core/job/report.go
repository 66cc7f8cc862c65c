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
	// Event is AttemptEventRunning, AttemptEventFinish, AttemptEventFail, AttemptEventStopped or
	// AttemptEventLapse.
	Event           chart.Event
	UsedCores       float64
	UsedMemoryBytes int64
	Checkpoint      string
	Result          string
	ResultDigest    string
	Failure         string
}

// Notice describes something that happened to a job or a worker. It is recorded on the timeline.
type Notice struct {
	Kind   NoticeKind
	Job    ID
	Host   host.ID
	Detail string
}

//go:generate go run github.com/dmarkham/enumer@v1.7.2 -type=NoticeKind -transform=kebab -text -json -trimprefix=Notice -output=report_enumer.go

// NoticeKind is the kind of a notice.
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

// TakeNotices returns the notices since the last call.
func (s *Scheduler) TakeNotices() []Notice {
	list := s.notices
	s.notices = nil
	return list
}

func (s *Scheduler) addNotice(kind NoticeKind, id ID, h host.ID, detail string) {
	s.notices = append(s.notices, Notice{Kind: kind, Job: id, Host: h, Detail: detail})
}

// HandleReports processes the reports on all tasks of a worker. asked is when the worker was asked for them.
// It returns the running tasks that the worker must stop because they are not the newest attempt of a job.
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

// currentTask returns the task that a report is about, or nil if that is not the newest attempt of its job on
// this worker.
func (s *Scheduler) currentTask(w *worker, r TaskReport) *task {
	jobID, attempt, ok := ParseTaskID(r.TaskID)
	e := s.jobs[jobID]
	if !ok || e == nil {
		return nil
	}
	if e.task != nil && e.task.worker == w && e.job.Attempt == attempt {
		return e.task
	}
	if r.Event == AttemptEventFinish && attempt > e.lastStaleFinish {
		e.lastStaleFinish = attempt
		s.addNotice(NoticeLate, jobID, w.id, ErrStaleAttempt{Job: jobID, Attempt: attempt, Newest: e.job.Attempt}.Error())
	}
	return nil
}

// lapseMissing lapses tasks that the worker no longer lists: those that it had acknowledged, those recovered
// from rows, and those whose lease is over.
func (s *Scheduler) lapseMissing(w *worker, seen map[ID]bool, asked time.Time) {
	for _, t := range slices.Clone(w.tasks) {
		confirmed := t.recovered && t.dispatched || !t.acknowledgedAt.IsZero() && t.acknowledgedAt.Before(asked)
		overdue := t.dispatched && asked.Sub(t.createdAt) > s.policy.Lease+s.policy.LeaseMargin
		if (confirmed || overdue) && !seen[t.entry.job.ID] && t.createdAt.Before(asked) {
			s.handleLapse(t, "worker "+string(w.id)+" no longer lists the task")
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

// recordProgress records the resource usage and the checkpoint of a task.
func (s *Scheduler) recordProgress(t *task, r TaskReport, now time.Time) {
	t.recordMemory(r.UsedMemoryBytes, now)
	t.peakCores = max(t.peakCores, r.UsedCores)
	t.peakMemory = max(t.peakMemory, r.UsedMemoryBytes)
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
	ranLongEnough := now.Sub(t.acknowledgedAt) >= s.faults.proofRunTime() && len(t.worker.health.taskFailures) == 0
	if r.Event == AttemptEventRunning && ranLongEnough && t.createdAt.After(t.worker.health.lastSuccessStart) {
		s.recordSuccess(t)
	}
	s.learnUsage(t, r.Event, now)
}

// minSampleAge is how long a task runs before its usage is observed while it still runs, if the usage of its
// group is not learnt yet.
const minSampleAge = 15 * time.Second

// learnUsage observes the peak usage of a task when it finishes, or when it was stopped after exceeding its
// estimate. While the usage of the group is not learnt, it also observes the usage of a running task once.
func (s *Scheduler) learnUsage(t *task, event chart.Event, now time.Time) {
	if t.peakMemory == 0 {
		return
	}
	firstSample := event == AttemptEventRunning && !t.demand.Learnt && !t.usageSampled && now.Sub(t.acknowledgedAt) >= minSampleAge
	exceeded := event == AttemptEventStopped && t.peakMemory > t.estimate
	if !firstSample && !exceeded && event != AttemptEventFinish {
		return
	}
	t.usageSampled = true
	s.usage.Observe(t.entry.job.Spec.UsageGroup(), t.peakCores, t.peakMemory)
}

func (s *Scheduler) recordSuccess(t *task) {
	wasSuspected := t.worker.health.suspected
	newlySuspected := s.faults.recordSuccess(t)
	if wasSuspected && !t.worker.health.suspected {
		s.addNotice(NoticeCleared, t.entry.job.ID, t.worker.id, "a probe task succeeded")
	}
	for _, w := range newlySuspected {
		s.handleSuspected(w)
	}
}

func (s *Scheduler) handleSuspected(w *worker) {
	s.addNotice(NoticeSuspected, "", w.id, fmt.Sprintf("%d tasks failed on this worker", len(w.health.taskFailures)))
	s.releaseParkedJobs(w)
}
