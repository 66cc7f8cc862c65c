package job

import (
	"fmt"
	"time"
)

const (
	// refusalRetryDelay is how long a refused job waits before its next try. It doubles up to maxRefusalRetryDelay.
	refusalRetryDelay    = 250 * time.Millisecond
	maxRefusalRetryDelay = 30 * time.Second
	// minRefusalsToPark is the number of refusals for one reason from which a job may be parked.
	minRefusalsToPark = 12
	// refusalTimeToPark is how long a job is refused before it is parked though no other job started meanwhile.
	refusalTimeToPark = 5 * time.Minute
)

// refusalStreak is a job's refusals for the same reason, one after the other.
type refusalStreak struct {
	reason string
	count  int
	// since is when the first was, startsBefore the starts of the pool's jobs until then.
	since        time.Time
	startsBefore int
}

// delayedJob is a place in the backlog that is taken up later.
type delayedJob struct {
	item waitItem
	due  time.Time
}

// handleRefusal takes in that the worker proved that it did not start a task. The job
// waits a little and goes to another worker. A job that is refused again and
// again while others start is parked: its specification is at fault.
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

// shouldPark reports whether the job is refused while others start, or was for long.
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

// requeueDelayed puts jobs that have waited after a refusal back into the backlog.
func (s *Scheduler) requeueDelayed(now time.Time) {
	left := s.delayedJobs[:0]
	for _, d := range s.delayedJobs {
		switch {
		case d.item.generation != d.item.entry.generation || d.item.entry.job.State != StateQueued:
		case d.due.After(now):
			left = append(left, d)
		default:
			s.backlog.push(d.item.entry)
		}
	}
	clear(s.delayedJobs[len(left):])
	s.delayedJobs = left
}
