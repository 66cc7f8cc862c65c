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

// recordNotices records the notices of the scheduler as events.
func (h *poolHolder) recordNotices() {
	for _, n := range h.scheduler.TakeNotices() {
		h.recordEvent(noticeEvents[n.Kind], n.Job, n.Host, n.Detail)
	}
}

// recordEvent records an event of the pool. The cause of a job's event is the previous event of the job, if
// this holder recorded it.
func (h *poolHolder) recordEvent(number event.Number, id job.ID, hostID host.ID, detail string) {
	organisation, _, _ := strings.Cut(h.pool, "/")
	recorded := h.manager.recordEvent(event.Event{
		Number: number, Cause: h.lastEvents[id], Organisation: organisation, Pool: h.pool,
		Job: string(id), Host: string(hostID), Detail: detail,
	})
	if id != "" {
		h.lastEvents[id] = recorded
		h.forgetEvents(id)
	}
}

// forgetEvents forgets the last event of a job that has ended.
func (h *poolHolder) forgetEvents(id job.ID) {
	if _, known := h.scheduler.Job(id); !known {
		delete(h.lastEvents, id)
	}
}

var endEvents = map[string]event.Number{
	string(job.StateFinished):  event.JobFinished,
	string(job.StateCancelled): event.JobCancelled,
}

// recordEnds records the ends of committed jobs and schedules the deletion of their rows.
func (h *poolHolder) recordEnds(rows []job.Job) {
	for _, row := range rows {
		if job.IsFinal(row.State) {
			h.retention.add(row.ID, time.Now())
		}
		if number, ok := endEvents[string(row.State)]; ok {
			h.recordEvent(number, row.ID, row.Host, row.Reason)
		}
	}
}
