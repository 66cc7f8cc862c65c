package work

import (
	"fmt"
	"time"
)

// quotaState is what the scheduler keeps beside the ledger of quotas.
type quotaState struct {
	// unaccountedRuns holds the adopted runs of which neither the organisation nor the demand is known.
	unaccountedRuns map[*run]bool
	// rooms holds what the workers that may get tasks or probes have free, without what tasks that wait for their organisation's grant
	// have counted on in this round.
	rooms []workerRoom
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

// workerRoom is what a worker has free.
type workerRoom struct {
	*worker
	free Resources
}

// fits reports whether a task of the step could run there, given a decision of the policy service if that is still to be asked.
func (r *workerRoom) fits(g *taskGroup) bool {
	spec := g.spec()
	decision, decided := g.approvals[r.Incarnation]
	return r.free.Covers(spec.reservedResources()) && r.hasLabel(spec.RequiredLabel) && (!decided || !decision.isDenied())
}

// wantQuota records that tasks of a step lack room in their organisation's grant: as many units of this demand, each a task or a whole
// gang, as workers have room for. Room that the pool can't use would be missing in another pool. What the organisation's limit can't
// give stays free for others.
func (s *Scheduler) wantQuota(g *taskGroup, demand Resources, count int) {
	tasks := 1
	if g.spec().Gang {
		tasks = len(g.tasks)
	}
	taken := s.takeRooms(g, tasks, count)
	units := len(taken) / tasks
	if units == 0 {
		return
	}
	for _, i := range taken[tasks*s.Quota.Want(g.job.Organisation, demand, units):] {
		s.quotas.rooms[i].free = s.quotas.rooms[i].free.Add(g.spec().reservedResources())
	}
}

// takeRooms takes the room of up to count units of that many tasks of a step each, and returns where it was, task by task. A part of a
// unit takes none.
func (s *Scheduler) takeRooms(g *taskGroup, tasks, count int) []int {
	spec := g.spec()
	var taken []int
	for i, onWorker := 0, 0; i < len(s.quotas.rooms) && len(taken) < tasks*count; {
		room := &s.quotas.rooms[i]
		spread := spec.SpreadLimit > 0 && g.runsOn(room.worker)+onWorker >= spec.SpreadLimit
		if spread || !room.fits(g) {
			i, onWorker = i+1, 0
			continue
		}
		room.free = room.free.Sub(spec.reservedResources())
		taken = append(taken, i)
		onWorker++
	}
	whole := len(taken) - len(taken)%tasks
	for _, i := range taken[whole:] {
		s.quotas.rooms[i].free = s.quotas.rooms[i].free.Add(spec.reservedResources())
	}
	return taken[:whole]
}

// gangQuotaPatience is the time for which a gang waits for room before less urgent steps of its organisation get none. They
// would take each bit of room that is given back. A gang that can't fit beside tasks that don't end holds up none.
const gangQuotaPatience = time.Second

// awaitQuotaForGang records that a gang lacks room for all its tasks.
func (s *Scheduler) awaitQuotaForGang(g *taskGroup, now time.Time) {
	if g.lacksQuotaSince.IsZero() {
		g.lacksQuotaSince = now
	}
	demand := g.spec().Demand.Times(len(g.tasks))
	if now.Sub(g.lacksQuotaSince) >= gangQuotaPatience && s.Quota.FitsBeside(g.job.Organisation, demand, s.lastingUsage(g.job.Organisation)) {
		s.quotas.holds[g.job.Organisation] = true
	}
	s.wantQuota(g, demand, 1)
}

// lastingUsage returns what the long-running tasks of an organisation count towards its limit in the pool. They don't end to make room.
func (s *Scheduler) lastingUsage(organisation string) Resources {
	var sum Resources
	for _, w := range s.sortedWorkers {
		for _, r := range w.runs {
			if r.usage.organisation == organisation && r.task != nil && r.task.group.spec().LongRunning {
				sum = sum.Add(r.usage.demand)
			}
		}
	}
	return sum
}

// beginQuotaRound prepares the ledger for the starts of a round.
func (s *Scheduler) beginQuotaRound(available []*worker, now time.Time) {
	if s.Quota.IsEmpty() {
		return
	}
	s.Quota.BeginRound(now)
	clear(s.quotas.holds)
	s.quotas.rooms = s.quotas.rooms[:0]
	for _, w := range available {
		s.quotas.rooms = append(s.quotas.rooms, workerRoom{w, w.freeResources().Max(Resources{})})
	}
	for _, w := range s.sortedWorkers {
		if s.probesFor(w, now) > 0 {
			s.quotas.rooms = append(s.quotas.rooms, workerRoom{w, w.freeResources().Max(Resources{})})
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
