package jobs

import (
	"strings"
	"time"

	"siskincross/core/event"
	"siskincross/core/host"
	"siskincross/core/job"
)

var noticeEvents = map[job.NoticeKind]event.Number{
	job.NoticeLate:      event.JobLateAttempt,
	job.NoticeFailed:    event.JobFailed,
	job.NoticeParked:    event.JobParked,
	job.NoticeUnknown:   event.JobUnknown,
	job.NoticeLapsed:    event.JobLapsed,
	job.NoticeSuspected: event.WorkerSuspected,
	job.NoticeCleared:   event.WorkerCleared,
	job.NoticeLeaving:   event.JobLeaving,
	job.NoticeReleased:  event.JobReleased,
	job.NoticeRequeued:  event.JobRequeued,
}

// tell records what the scheduler noticed.
func (h *holder) tell() {
	for _, n := range h.scheduler.TakeNotices() {
		h.event(noticeEvents[n.Kind], n.Job, n.Host, n.Detail)
	}
}

// event records an event of the pool. The cause of a job's event is the one before it, if it was recorded here.
func (h *holder) event(number event.Number, id job.ID, on host.ID, detail string) {
	organisation, _, _ := strings.Cut(h.pool, "/")
	recorded := h.m.record(event.Event{
		Number: number, Cause: h.causes[id], Organisation: organisation, Pool: h.pool,
		Job: string(id), Host: string(on), Detail: detail,
	})
	if id == "" {
		return
	}
	if _, known := h.scheduler.Job(id); known {
		h.causes[id] = recorded
		return
	}
	delete(h.causes, id)
}

var endEvents = map[string]event.Number{
	string(job.StateFinished):  event.JobFinished,
	string(job.StateCancelled): event.JobCancelled,
}

// recordEnds records the committed ends and keeps final rows for their retention.
func (h *holder) recordEnds(rows []job.Job) {
	for _, row := range rows {
		if job.IsFinal(row.State) {
			h.retention.add(row.ID, time.Now())
		}
		if number, ok := endEvents[string(row.State)]; ok {
			h.event(number, row.ID, row.Host, row.Reason)
		}
	}
}
