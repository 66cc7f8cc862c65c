package work

import (
	"fmt"
	"time"
)

// quotaState is what the scheduler keeps beside the ledger of quotas.
type quotaState struct {
	// unaccountedRuns holds the adopted runs of which neither the organisation nor the demand is known.
	unaccountedRuns map[*run]bool
	// free is the capacity of the workers that may get tasks or probes which no task that lacks room has counted on in this round.
	free Resources
	// holds holds the organisations of which a gang has waited long for room. Steps after the gang get none in this round.
	holds map[string]bool
	// arrivals holds, by organisation, the arrivals that its limit lets count.
	arrivals map[string]*arrivalAllowance
}

// quotaUsage is what a run counts towards the limit of its organisation: the whole demand of its task, also if it is a
// best-effort task.
type quotaUsage struct {
	organisation string
	demand       Resources
}

func (g *taskGroup) quotaUsage() quotaUsage { return quotaUsage{g.job.Organisation, g.spec().Demand} }

// hasUnchargedRuns reports whether there may be runs that no organisation is charged for.
func (s *Scheduler) hasUnchargedRuns(now time.Time) bool {
	return !s.allResolved(now) || len(s.quotas.unaccountedRuns) > 0
}

// withinQuota reports whether the organisation of a step may have that many more of its tasks running.
func (s *Scheduler) withinQuota(g *taskGroup, count int) bool {
	u := g.quotaUsage()
	return !s.quotas.holds[u.organisation] && s.Quota.Fits(u.organisation, u.demand.Times(count))
}

// wantQuota records that tasks of a step lack room in their organisation's grant: as many units of this demand as the
// workers have room for. Room that the pool can't use would be missing in another pool.
func (s *Scheduler) wantQuota(g *taskGroup, demand Resources, count int) {
	reserved := g.spec().reservedResources()
	if g.spec().Gang {
		reserved = reserved.Times(len(g.tasks))
	}
	free := s.quotas.free
	for n := range count {
		if !free.Covers(reserved) {
			count = n
			break
		}
		free = free.Sub(reserved)
	}
	s.quotas.free = free
	if count > 0 {
		s.Quota.Want(g.job.Organisation, demand, count)
	}
}

// gangQuotaPatience is the time for which a gang waits for room before less urgent steps of its organisation get none. They
// would take each bit of room that is given back.
const gangQuotaPatience = time.Second

// awaitQuotaForGang records that a gang lacks room for all its tasks.
func (s *Scheduler) awaitQuotaForGang(g *taskGroup, now time.Time) {
	if g.lacksQuotaSince.IsZero() {
		g.lacksQuotaSince = now
	}
	if now.Sub(g.lacksQuotaSince) >= gangQuotaPatience {
		s.quotas.holds[g.job.Organisation] = true
	}
	s.wantQuota(g, g.spec().Demand.Times(len(g.tasks)), 1)
}

// beginQuotaRound prepares the ledger for the starts of a round.
func (s *Scheduler) beginQuotaRound(available []*worker, now time.Time) {
	if s.Quota.IsEmpty() {
		return
	}
	s.Quota.BeginRound(now)
	clear(s.quotas.holds)
	s.quotas.free = Resources{}
	for _, w := range available {
		s.quotas.free = s.quotas.free.Add(w.freeResources().Max(Resources{}))
	}
	for _, w := range s.sortedWorkers {
		if s.probesFor(w, now) > 0 {
			s.quotas.free = s.quotas.free.Add(w.freeResources().Max(Resources{}))
		}
	}
}

// adoptQuota charges the organisation of an adopted run. A run of a job that is not known stays unaccounted for until
// it has ended.
func (s *Scheduler) adoptQuota(r *run) {
	j := s.jobs[r.id.Task.Job]
	if j == nil || r.id.Task.Step >= len(j.Steps) {
		s.quotas.unaccountedRuns[r] = true
		return
	}
	r.usage = quotaUsage{j.Organisation, j.Steps[r.id.Task.Step].Demand}
	s.Quota.Adopt(r.usage.organisation, r.usage.demand)
}

// releaseQuota gives back what a run that has ended counted towards the limit of its organisation.
func (s *Scheduler) releaseQuota(r *run) {
	s.Quota.Release(r.usage.organisation, r.usage.demand)
	r.usage = quotaUsage{}
	delete(s.quotas.unaccountedRuns, r)
}

// ValidateLimit returns ErrInvalid if a single task or a whole gang of the job exceeds the limit of its organisation, so
// that it could never run. A resource whose limit is zero is not limited.
func (j Job) ValidateLimit(limit Resources) error {
	for i, step := range j.Steps {
		demand, what := step.Demand, "a task"
		if step.Gang {
			demand, what = step.Demand.Times(step.TaskCount), "the gang"
		}
		if !demand.WithinLimit(limit) {
			return ErrInvalid{j.ID, fmt.Sprintf("step %d: %s needs %s, more than the organisation may have running, %s", i, what, demand, limit)}
		}
	}
	return nil
}

// arrivalAllowance is the work in core-seconds that may count as arriving for an organisation. It grows by what its limit
// lets it do, up to the work of a second.
type arrivalAllowance struct {
	coreSeconds float64
	at          time.Time
}

// limitArrival returns the part of arriving work, in core-seconds, for which hosts are of use: an organisation at its limit
// can't use more of them.
func (s *Scheduler) limitArrival(organisation string, coreSeconds float64, now time.Time) float64 {
	headroom, bound := s.Quota.Headroom(organisation)
	if !bound || headroom.MilliCores == 0 {
		return coreSeconds
	}
	cores := float64(headroom.MilliCores) / 1000
	a := s.quotas.arrivals[organisation]
	if a == nil {
		a = &arrivalAllowance{coreSeconds: cores}
		s.quotas.arrivals[organisation] = a
	} else {
		a.coreSeconds = min(cores, a.coreSeconds+cores*now.Sub(a.at).Seconds())
	}
	a.at = now
	counted := min(coreSeconds, a.coreSeconds)
	a.coreSeconds -= counted
	return counted
}
