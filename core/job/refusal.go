package job

import (
	"fmt"
	"time"
)

const (
	// refusalRetryDelay is the initial delay before a refused job is tried again. It doubles with each
	// refusal up to maxRefusalRetryDelay.
	refusalRetryDelay    = 250 * time.Millisecond
	maxRefusalRetryDelay = 30 * time.Second
	// minRefusalsToPark is the number of consecutive refusals for one reason from which a job may be parked.
	minRefusalsToPark = 12
	// refusalTimeToPark is how long a job is refused before it is parked even if no other job started in the
	// meantime.
	refusalTimeToPark = 5 * time.Minute
)

// refusalStreak counts consecutive refusals of a job for the same reason.
type refusalStreak struct {
	reason string
	count  int
	// since is the time of the first refusal, startsBefore the number of accepted starts in the pool until
	// then.
	since        time.Time
	startsBefore int
}

// delayedJob is a refused job that returns to the backlog when its delay is over.
type delayedJob struct {
	item waitItem
	due  time.Time
}

// handleRefusal processes a worker's proof that it did not start a task. The job is tried again on another
// worker after a delay. A job that is refused repeatedly while other jobs start is parked, because its
// specification is the likely cause.
func (s *Scheduler) handleRefusal(t *task, reason string, now time.Time) {
	if !t.transition(AttemptEventRefuse) {
		return
	}
	t.worker.startBackoff(now)
	e, j := t.entry, t.entry.job
	next, err := j.WithRequeue(j.Attempt, "", fmt.Sprintf("worker %s refused the task: %s", t.worker.id, reason))
	if err != nil {
		return
	}
	w := t.worker
	s.detachTask(t)
	if next.State != StateQueued {
		s.updateJob(e, next)
		return
	}
	e.refusals.add(reason, s.acceptedStarts, now)
	if e.refusals.shouldPark(s.acceptedStarts, now) {
		s.parkRefused(e, next, w)
		return
	}
	e.job = next
	e.generation++
	s.delayedJobs = append(s.delayedJobs, delayedJob{item: waitItem{e, e.generation}, due: now.Add(e.refusals.retryDelay())})
	s.markDirty(e)
}

func (s *Scheduler) parkRefused(e *entry, next Job, w *worker) {
	parked, err := next.WithPark(fmt.Sprintf("refused %d times, last by worker %s: %s", e.refusals.count, w.id, e.refusals.reason))
	if err != nil {
		return
	}
	e.refusals = refusalStreak{}
	s.addNotice(NoticeParked, parked.ID, w.id, parked.Reason)
	s.updateJob(e, parked)
}

func (r *refusalStreak) add(reason string, started int, now time.Time) {
	if r.count == 0 || r.reason != reason {
		*r = refusalStreak{reason: reason, since: now, startsBefore: started}
	}
	r.count++
}

// shouldPark reports whether the job was refused often enough while other jobs started, or for long enough.
func (r *refusalStreak) shouldPark(started int, now time.Time) bool {
	return r.count >= minRefusalsToPark && (started-r.startsBefore >= minRefusalsToPark || now.Sub(r.since) >= refusalTimeToPark)
}

func (r *refusalStreak) retryDelay() time.Duration {
	wait := refusalRetryDelay
	for range r.count - 1 {
		wait = min(2*wait, maxRefusalRetryDelay)
	}
	return wait
}

// requeueDelayed returns delayed jobs to the backlog when their delay is over.
func (s *Scheduler) requeueDelayed(now time.Time) {
	remaining := s.delayedJobs[:0]
	for _, d := range s.delayedJobs {
		switch {
		case d.item.generation != d.item.entry.generation || d.item.entry.job.State != StateQueued:
		case d.due.After(now):
			remaining = append(remaining, d)
		default:
			s.backlog.push(d.item.entry)
		}
	}
	clear(s.delayedJobs[len(remaining):])
	s.delayedJobs = remaining
}
