package work

import (
	"cmp"
	"time"
)

const (
	// remainingDurationMargin is the factor applied to the expected remaining duration of a job to decide
	// whether the job can still meet its objective.
	remainingDurationMargin = 1.15
	// lateFactor is the multiple of its objective up to which a late job is still useful to its caller.
	lateFactor = 3
)

// urgency ranks a step by whether its job can meet its objective.
type urgency int

const (
	// urgencyLasting steps are long-running: they have no deadline, and any time without them is a loss.
	urgencyLasting urgency = iota
	// urgencyInTime steps can still meet the objective.
	urgencyInTime
	// urgencyLate steps can't meet the objective but are still useful to their callers.
	urgencyLate
	// urgencyMissed steps are so late that nobody waits for them any more.
	urgencyMissed
)

// remainingDurations returns, for each step, the expected time from its start to the end of the longest chain of
// steps that depend on it.
func (s *Scheduler) remainingDurations(j *Job) []time.Duration {
	durations := make([]time.Duration, len(j.Steps))
	stats := s.queueDurations(j.Queue)
	for i := len(j.Steps) - 1; i >= 0; i-- {
		durations[i] += stats.estimate(&j.Steps[i]) + j.PolicyService.responseTime(maxWorkersPerRequest)
		for _, dependency := range j.Steps[i].DependsOn {
			durations[dependency] = max(durations[dependency], durations[i])
		}
	}
	return durations
}

// setObjective sets the deadline of a step's occurrence and the expected time from the step's start to the end
// of the job.
func (s *Scheduler) setObjective(g *taskGroup) {
	j := g.job
	if j.remainingDurations == nil {
		j.remainingDurations = s.remainingDurations(&j.Job)
		for _, t := range j.remainingDurations {
			j.criticalPath = max(j.criticalPath, t)
		}
	}
	from := j.arrivedAt
	if due := j.DueTime(g.occurrence); !due.IsZero() {
		from = due
	}
	g.remainingDuration = j.remainingDurations[g.step]
	g.allowedDuration = time.Duration(j.Objective.Factor*float64(j.criticalPath)) + j.Objective.Slack
	g.objectiveStart = from
	g.deadline = from.Add(g.allowedDuration)
}

// urgencyNow returns the urgency of the step at this time.
func (g *taskGroup) urgencyNow(now time.Time) urgency {
	if g.spec().LongRunning {
		return urgencyLasting
	}
	if g.allowedDuration == 0 {
		return urgencyInTime
	}
	end := now.Add(time.Duration(float64(g.remainingDuration) * remainingDurationMargin)).Sub(g.objectiveStart)
	switch {
	case end <= g.allowedDuration:
		return urgencyInTime
	case end <= lateFactor*g.allowedDuration:
		return urgencyLate
	}
	return urgencyMissed
}

// compareGroups orders steps by urgency, then by priority, then by deadline, late steps too.
func compareGroups(a, c *taskGroup) int {
	if order := cmp.Or(cmp.Compare(a.urgency, c.urgency), cmp.Compare(a.job.Priority, c.job.Priority), a.deadline.Compare(c.deadline)); order != 0 {
		return order
	}
	return cmp.Or(cmp.Compare(a.job.ID, c.job.ID), cmp.Compare(a.occurrence, c.occurrence), cmp.Compare(a.step, c.step))
}

// compareStartedFirst orders steps like compareGroups, but steps of jobs that have started before others of the same
// urgency and priority. Where organisations compete for room, each job that starts late delays those that have started,
// and both end late.
func compareStartedFirst(a, c *taskGroup) int {
	return cmp.Or(cmp.Compare(a.urgency, c.urgency), cmp.Compare(a.job.Priority, c.job.Priority), compareProgress(a, c), compareGroups(a, c))
}

// compareProgress orders steps of jobs that have started before others. Long-running steps are not ordered by it.
func compareProgress(a, c *taskGroup) int {
	if a.job.started == c.job.started || a.urgency == urgencyLasting {
		return 0
	}
	if a.job.started {
		return -1
	}
	return 1
}
