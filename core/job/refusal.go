package job

import (
	"fmt"
	"time"
)

const (
	// refusalWait is how long a refused job waits before its next try. It doubles up to refusalWaitMax.
	refusalWait    = 250 * time.Millisecond
	refusalWaitMax = 30 * time.Second
	// maxRefusals is the number of refusals for one reason from which a job may be parked.
	maxRefusals = 12
	// refusedFor is how long a job is refused before it is parked though no other job started meanwhile.
	refusedFor = 5 * time.Minute
)

// refusals is a job's refusals for the same reason, one after the other.
type refusals struct {
	reason string
	count  int
	// since is when the first was, startedThen the starts of the pool's jobs until then.
	since       time.Time
	startedThen int
}

// delay is a place in the backlog that is taken up later.
type delay struct {
	place place
	due   time.Time
}

// refused takes in that the worker proved that it did not start a task. The job
// waits a little and goes to another worker. A job that is refused again and
// again while others start is parked: its specification is at fault.
func (s *Scheduler) refused(t *task, reason string, now time.Time) {
	if !t.follow(AttemptRefuse) {
		return
	}
	t.worker.putOff(now)
	e, j := t.job, t.job.job
	next, err := j.WithRequeue(j.Attempt, "", fmt.Sprintf("worker %s refused the task: %s", t.worker.id, reason))
	if err != nil {
		return
	}
	w := t.worker
	s.detach(t)
	if next.State != StateQueued {
		s.keep(e, next)
		return
	}
	e.refusals.add(reason, s.started, now)
	if e.refusals.hopeless(s.started, now) {
		s.parkRefused(e, next, w)
		return
	}
	e.job = next
	e.ticket++
	s.delayed = append(s.delayed, delay{place: place{e, e.ticket}, due: now.Add(e.refusals.wait())})
	s.write(e)
}

func (s *Scheduler) parkRefused(e *entry, next Job, w *worker) {
	parked, err := next.WithPark(fmt.Sprintf("refused %d times, last by worker %s: %s", e.refusals.count, w.id, e.refusals.reason))
	if err != nil {
		return
	}
	e.refusals = refusals{}
	s.notice(NoticeParked, parked.ID, w.id, parked.Reason)
	s.keep(e, parked)
}

func (r *refusals) add(reason string, started int, now time.Time) {
	if r.count == 0 || r.reason != reason {
		*r = refusals{reason: reason, since: now, startedThen: started}
	}
	r.count++
}

// hopeless reports whether the job is refused while others start, or was for long.
func (r *refusals) hopeless(started int, now time.Time) bool {
	return r.count >= maxRefusals && (started-r.startedThen >= maxRefusals || now.Sub(r.since) >= refusedFor)
}

func (r *refusals) wait() time.Duration {
	wait := refusalWait
	for range r.count - 1 {
		wait = min(2*wait, refusalWaitMax)
	}
	return wait
}

// takeUp puts jobs that have waited after a refusal back into the backlog.
func (s *Scheduler) takeUp(now time.Time) {
	left := s.delayed[:0]
	for _, d := range s.delayed {
		switch {
		case d.place.ticket != d.place.entry.ticket || d.place.entry.job.State != StateQueued:
		case d.due.After(now):
			left = append(left, d)
		default:
			s.backlog.push(d.place.entry)
		}
	}
	clear(s.delayed[len(left):])
	s.delayed = left
}
