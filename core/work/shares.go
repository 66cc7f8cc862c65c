package work

import (
	"cmp"
	"slices"
	"time"

	"siskincross/core/organisation"
	"siskincross/core/share"
)

// shares holds what the scheduler needs to divide the pool's room among organisations. The zero value divides nothing.
type shares struct {
	organisations organisation.Directory
	meter         share.Meter
}

// SetOrganisations sets the organisations that share the pool. Without any, the order of steps doesn't depend on
// organisations, and no job is refused.
func (s *Scheduler) SetOrganisations(d organisation.Directory) { s.shares.organisations = d }

// weight returns the weight of an organisation; zero if the organisation is unknown.
func (h *shares) weight(name string) float64 {
	o, _ := h.organisations.Find(name)
	return o.Weight
}

// count counts a new job and records whether it lies beyond its organisation's share. Jobs of an earlier holder are
// within it, since the holder can't know which of their predecessors have ended.
func (h *shares) count(j *job, earlier bool, now time.Time) {
	if j.Organisation == "" || h.organisations.IsEmpty() {
		return
	}
	within := h.meter.Count(j.Organisation, h.weight(j.Organisation), now)
	j.beyondShare = !within && !earlier
}

// OrganisationLoad is what an organisation has in a pool.
type OrganisationLoad struct {
	// WaitingTasks is the number of tasks that could start if there was room.
	WaitingTasks int
	// JobsBeyondShare is the number of jobs that lay beyond the organisation's share when they arrived and are not final.
	JobsBeyondShare int
	// Level is the organisation's dominant share of the pool divided by its weight.
	Level float64
}

// OrganisationLoads returns what each organisation of the configuration has in the pool. Jobs of other organisations are
// left out.
func (s *Scheduler) OrganisationLoads(now time.Time) map[string]OrganisationLoad {
	s.initialise()
	if s.shares.organisations.IsEmpty() {
		return nil
	}
	usage := s.usageByOrganisation()
	loads := make(map[string]OrganisationLoad)
	for _, name := range s.shares.organisations.Names() {
		loads[name] = OrganisationLoad{Level: usage.Level(name)}
	}
	for _, j := range s.jobs {
		l, ok := loads[j.Organisation]
		if !ok {
			continue
		}
		if j.beyondShare {
			l.JobsBeyondShare++
		}
		for _, g := range j.groups {
			l.WaitingTasks += countStartable(g.tasks, now)
		}
		loads[j.Organisation] = l
	}
	return loads
}

// precedence ranks a step by its urgency and by whether its job is within its organisation's share. Steps of jobs
// beyond it come after all steps within it that their callers still wait for.
func (g *taskGroup) precedence() int {
	if !g.job.beyondShare || g.urgency == urgencyLasting {
		return 2 * int(g.urgency)
	}
	return 2*int(max(g.urgency, urgencyLate)) + 1
}

// compareClasses compares what goes before the shares of the organisations.
func compareClasses(a, c *taskGroup) int {
	return cmp.Or(cmp.Compare(a.rank, c.rank), cmp.Compare(a.urgency, c.urgency), cmp.Compare(a.job.Priority, c.job.Priority))
}

// compareBegun orders steps of which some tasks have started before others.
func compareBegun(a, c *taskGroup) int {
	switch {
	case a.begun == c.begun:
		return 0
	case a.begun:
		return -1
	}
	return 1
}

// dividesRoom reports whether the order of steps depends on organisations.
func (s *Scheduler) dividesRoom() bool {
	return !s.shares.organisations.IsEmpty() && slices.ContainsFunc(s.groups, func(g *taskGroup) bool { return g.job.Organisation != "" })
}

// placeByShare starts the tasks of sorted steps. Steps of one class go in the order of share.Queue.
func (s *Scheduler) placeByShare(groups []*taskGroup, available []*worker, now time.Time) []Order {
	groups = slices.DeleteFunc(slices.Clone(groups), func(g *taskGroup) bool { return countStartable(g.tasks, now) == 0 }) // the caller goes on with all of them
	for _, g := range groups {
		g.rank = g.precedence()
		g.begun = g.remainingTasks < len(g.tasks) || slices.ContainsFunc(g.tasks, func(t *task) bool { return len(t.runs) > 0 })
	}
	slices.SortFunc(groups, func(a, c *taskGroup) int {
		return cmp.Or(compareClasses(a, c), compareBegun(a, c), compareStartedFirst(a, c))
	})
	usage := s.usageByOrganisation()
	ahead := s.newBacklog()
	var orders []Order
	for len(groups) > 0 {
		n := 1
		for n < len(groups) && compareClasses(groups[0], groups[n]) == 0 {
			n++
		}
		inTime := ahead.addInTime(s, groups[:n], now) && !groups[0].job.beyondShare
		orders = append(orders, s.placeClass(groups[:n], inTime, usage, available, now)...)
		groups = groups[n:]
	}
	return orders
}

// placeClass starts the tasks of the steps of one class. As long as all of them can be served in time, they go in their
// order. Otherwise they go by the shares of their organisations. An organisation has its turn for one step, or a
// part of one that is wide.
func (s *Scheduler) placeClass(groups []*taskGroup, inTime bool, usage *share.Usage, available []*worker, now time.Time) []Order {
	var orders []Order
	if inTime {
		for _, g := range groups {
			started := s.placeGroup(g, available, now, nil)
			usage.Add(g.job.Organisation, g.spec().reservedResources().Times(len(started)))
			orders = append(orders, started...)
		}
		return orders
	}
	queue := share.Queue{Usage: usage}
	for i, g := range groups {
		queue.Push(g.job.Organisation, share.Item{Index: i, Deadline: g.deadline, Begun: g.begun, Started: g.job.started})
	}
	for i, ok := queue.Next(); ok; i, ok = queue.Next() {
		g := groups[i]
		name := g.job.Organisation
		started := s.placeGroup(g, available, now, func() bool {
			queue.Start(name, g.spec().reservedResources())
			return queue.MayContinue(name)
		})
		orders = append(orders, started...)
		if g.spec().Gang {
			queue.Start(name, g.spec().reservedResources().Times(len(started)))
		}
		if len(started) == 0 || countStartable(g.tasks, now) == 0 {
			queue.Drop(name)
		}
	}
	return orders
}

// usageByOrganisation returns what the organisations have running in the pool, and what the listed workers offer.
func (s *Scheduler) usageByOrganisation() *share.Usage {
	usage := &share.Usage{Weight: s.shares.weight}
	for _, w := range s.sortedWorkers {
		if w.listed {
			usage.Capacity = usage.Capacity.Add(w.Capacity)
		}
	}
	for name, used := range s.Quota.UsedByOrganisation() {
		usage.Add(name, used)
	}
	return usage
}
