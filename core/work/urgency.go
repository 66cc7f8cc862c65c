package work

import (
	"cmp"
	"time"
)

const (
	// tailMargin is the part by which the rest of a job is expected to take longer than planned when it is
	// judged whether the job can still meet its objective.
	tailMargin = 1.15
	// lateFactor is up to which multiple of its objective a job that is late still counts for its caller.
	lateFactor = 3
)

// standing is how a step's job stands against its objective.
type standing int

const (
	// standingLasting steps have no end to meet; every moment without them counts.
	standingLasting standing = iota
	// standingInTime steps can still end in time.
	standingInTime
	// standingLate steps can't end in time, and still count for their callers.
	standingLate
	// standingMissed steps are so late that nobody waits for them any more.
	standingMissed
)

// tails returns the expected time from the start of each step to the end of the job's longest chain.
func (b *Scheduler) tails(j *Job) []time.Duration {
	tails := make([]time.Duration, len(j.Steps))
	learnt := b.learnt(j.Queue)
	for i := len(j.Steps) - 1; i >= 0; i-- {
		tails[i] += learnt.expect(&j.Steps[i]) + j.PolicyService.adviceTime(inquiryWorkers)
		for _, before := range j.Steps[i].DependsOn {
			tails[before] = max(tails[before], tails[i])
		}
	}
	return tails
}

// aim sets when a step's job should end, and how much of it is left from the step's start.
func (b *Scheduler) aim(g *group) {
	j := g.job
	if j.tails == nil {
		j.tails = b.tails(&j.Job)
		for _, t := range j.tails {
			j.chain = max(j.chain, t)
		}
	}
	from := j.arrived
	if due := j.DueTime(g.occurrence); !due.IsZero() {
		from = due
	}
	g.tail = j.tails[g.step]
	g.allowed = time.Duration(j.Objective.Factor*float64(j.chain)) + j.Objective.Slack
	g.from = from
	g.due = from.Add(g.allowed)
}

// standing judges a step now.
func (g *group) standing(now time.Time) standing {
	if g.spec().LongRunning {
		return standingLasting
	}
	if g.allowed == 0 {
		return standingInTime
	}
	end := now.Add(time.Duration(float64(g.tail) * tailMargin)).Sub(g.from)
	switch {
	case end <= g.allowed:
		return standingInTime
	case end <= lateFactor*g.allowed:
		return standingLate
	}
	return standingMissed
}

// compareGroups orders steps: by standing, then by the queues' priority, then those first that must end first. Among
// steps that are late already, the ones that became late last come first: they have the best chance to end before they are missed.
func compareGroups(a, c *group) int {
	if first := cmp.Or(cmp.Compare(a.stands, c.stands), cmp.Compare(a.job.Priority, c.job.Priority), a.due.Compare(c.due)); first != 0 {
		return first
	}
	return cmp.Or(cmp.Compare(a.job.ID, c.job.ID), cmp.Compare(a.occurrence, c.occurrence), cmp.Compare(a.step, c.step))
}
