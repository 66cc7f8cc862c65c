package work

import (
	"fmt"
	"time"
)

// Refusal tells why a job is refused and when its organisation's share allows it.
type Refusal struct {
	Reason string
	// RetryAfter is the time until the organisation's share allows the job.
	RetryAfter time.Duration
}

// Refuse returns the refusals of those of these new jobs, by index, that lie beyond their organisations' shares while
// the pool can't serve in time what waits already. The other jobs are expected to be added.
func (s *Scheduler) Refuse(jobs []Job, now time.Time) map[int]Refusal {
	s.initialise()
	if s.shares.organisations.IsEmpty() {
		return nil
	}
	var refusals map[int]Refusal
	ahead := make(map[string]int)
	wait := time.Duration(-1)
	for i := range jobs {
		j := &jobs[i]
		if j.Organisation == "" || s.HasJob(j.ID) {
			continue
		}
		weight := s.shares.weight(j.Organisation)
		room := s.shares.meter.Room(j.Organisation, weight, now)
		if ahead[j.Organisation] < room {
			ahead[j.Organisation]++
			continue
		}
		if wait < 0 {
			wait = s.expectedWait(now)
		}
		if j.Objective == (Objective{}) || j.HasLongRunningSteps() || wait <= j.Objective.tolerableWait(j.CriticalPath()) {
			continue
		}
		if refusals == nil {
			refusals = make(map[int]Refusal)
		}
		refusals[i] = Refusal{
			Reason:     fmt.Sprintf("organisation %s is beyond its %g jobs a second, and what waits takes %s", j.Organisation, weight, wait.Round(time.Millisecond)),
			RetryAfter: s.shares.meter.Promise(j.Organisation, weight, room, now).Sub(now),
		}
	}
	return refusals
}

// tolerableWait returns how long a job with this critical path can wait and still meet the objective. It doesn't
// decrease with the size of the job.
func (o Objective) tolerableWait(criticalPath time.Duration) time.Duration {
	return time.Duration(max(0, o.Factor-1)*float64(criticalPath)) + o.Slack
}
