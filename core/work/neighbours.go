package work

import (
	"fmt"
	"slices"
	"time"

	"siskincross/core/interference"
)

const (
	// maxPresences is the number of times that a worker remembers during which it ran tasks of a kind, to tell what ran beside
	// others. Runs of a kind with at most maxPresenceGap in between count as one such time.
	maxPresences   = 8
	maxPresenceGap = 50 * time.Millisecond
	// maxCompared bounds the tasks of one step under the same conditions whose durations are compared, and minCompared is
	// the number from which they tell a slow one from the others.
	maxCompared, minCompared = 64, 4
	// latencyComparisonInterval is the time between two comparisons of tail latencies. A figure covers half of it.
	latencyComparisonInterval = time.Second
)

// LearnInterference sets whether the scheduler learns which kinds of tasks slow each other down, keeps them apart and moves
// best-effort tasks that stand still. Otherwise it observes nothing, and forgets what it has learnt.
func (s *Scheduler) LearnInterference(learns bool) {
	s.initialise()
	if learns == s.learnsInterference {
		return
	}
	s.learnsInterference = learns
	if !learns {
		s.interference.Clear()
	}
	for _, g := range s.groups {
		g.kind, g.completed = s.kindOf(g.job, g.step), nil
	}
	for _, w := range s.sortedWorkers {
		w.presences, w.runsByKind = nil, nil
		for _, r := range w.runs {
			r.kind = ""
			if r.task != nil {
				r.kind = r.task.group.kind
			}
			w.countKind(r.kind, 1)
		}
	}
}

// conditions are what the durations of a step's tasks depend on beside their neighbours. Only runs under the same conditions
// are compared.
type conditions struct {
	capacity Resources
	// labels holds the labels of the worker except its rack.
	labels string
	// nearData is true on the rack of the step's data.
	nearData bool
}

func conditionsOn(w *worker, spec *Step) conditions {
	c := conditions{capacity: w.Capacity, nearData: spec.DataRack == "" || spec.DataRack == w.Rack}
	for _, label := range w.Labels {
		if label != w.Rack {
			c.labels += label + "\x00"
		}
	}
	return c
}

// alikeRuns are runs of one step under the same conditions.
type alikeRuns struct {
	conditions
	runs []interference.Run
}

// addAlike adds a run to those under the same conditions.
func addAlike(all []alikeRuns, on conditions, r interference.Run) []alikeRuns {
	i := slices.IndexFunc(all, func(a alikeRuns) bool { return a.conditions == on })
	if i < 0 {
		i, all = len(all), append(all, alikeRuns{conditions: on})
	}
	if len(all[i].runs) < maxCompared {
		all[i].runs = append(all[i].runs, r)
	}
	return all
}

// compareAlike compares runs of one kind with those under the same conditions.
func (s *Scheduler) compareAlike(kind interference.Kind, all []alikeRuns, now time.Time) {
	for _, a := range all {
		if len(a.runs) >= minCompared {
			s.interference.Compare(kind, a.runs, now)
		}
	}
}

// presence is a time during which runs of a kind were on a worker, the last of which has ended.
type presence struct {
	kind         interference.Kind
	since, until time.Time
}

// maxImageLength is the number of bytes up to which an image names a kind. Names are kept beyond their jobs.
const maxImageLength = 256

// kindOf returns the kind of a step's tasks: their image, or their queue and step if they name none or a very long one. It
// is empty if no interference is learnt.
func (s *Scheduler) kindOf(j *job, step int) interference.Kind {
	if !s.learnsInterference {
		return ""
	}
	if image := j.Steps[step].Image; image != "" && len(image) <= maxImageLength {
		return interference.Kind(image)
	}
	return interference.Kind(fmt.Sprintf("%s#%d", j.Queue, step))
}

// recordNeighbours remembers an ended run for its neighbours and, if it completed its task from the start, how long it
// took and what ran beside it.
func (s *Scheduler) recordNeighbours(w *worker, r *run, t *task, reason EndReason, now time.Time) {
	if !s.learnsInterference {
		return
	}
	if t != nil && reason == EndReasonDone && r.isComparable(t.group.spec()) {
		g := t.group
		g.completedAt = now
		g.completed = addAlike(g.completed, conditionsOn(w, g.spec()), interference.Run{
			Worker: w.Incarnation.Worker, Amount: now.Sub(r.startedAt).Seconds(), Beside: w.kindsBeside(r, now),
		})
	}
	if r.kind == "" {
		return
	}
	w.recordPresence(r.kind, r.startedAt, now)
}

// recordPresence remembers an ended run. Of other times than this one, the one that ended longest ago makes room.
func (w *worker) recordPresence(kind interference.Kind, started, ended time.Time) {
	w.presences = slices.DeleteFunc(w.presences, func(p presence) bool {
		if p.kind != kind || p.until.Add(maxPresenceGap).Before(started) {
			return false
		}
		started = earlierTime(started, p.since)
		return true
	})
	if len(w.presences) == maxPresences {
		w.presences = slices.Delete(w.presences, 0, 1)
	}
	w.presences = append(w.presences, presence{kind, started, ended})
}

func earlierTime(a, c time.Time) time.Time {
	if c.Before(a) {
		return c
	}
	return a
}

// isComparable reports whether the duration of a run that completed its task depends on its worker and neighbours alone, and
// is known: the end of a run whose worker was silent becomes known late. Best-effort tasks depend on what others leave
// unused, and gangs and tasks that prefer one rack on each other.
func (r *run) isComparable(spec *Step) bool {
	return r.fromStart && !spec.LongRunning && !spec.BestEffort && !spec.Gang && !spec.PreferSameRack && !r.worker.lastMissAt.After(r.startedAt)
}

// kindsBeside returns the kinds that were on the worker for at least half of the time of a run that ends now.
func (w *worker) kindsBeside(r *run, now time.Time) []interference.Kind {
	// activeSince holds the kinds that are on the worker now, or were, with the start of the first active run or now.
	activeSince := make(map[interference.Kind]time.Time)
	for _, p := range w.presences {
		activeSince[p.kind] = now
	}
	for _, other := range w.runs {
		if other == r || other.kind == "" || other.phase != phaseRunning {
			continue
		}
		since, known := activeSince[other.kind]
		if !known || other.startedAt.Before(since) {
			activeSince[other.kind] = other.startedAt
		}
	}
	var kinds []interference.Kind
	for kind, since := range activeSince {
		total := now.Sub(laterTime(since, r.startedAt))
		for _, p := range w.presences {
			if p.kind == kind {
				total += max(0, earlierTime(p.until, since).Sub(laterTime(p.since, r.startedAt)))
			}
		}
		if total > 0 && total >= now.Sub(r.startedAt)/2 {
			kinds = append(kinds, kind)
		}
	}
	slices.Sort(kinds)
	return kinds
}

// compareCompletedRuns compares the durations of a step's tasks. The tasks of one step are alike, while those of two jobs
// are not, and callers' estimates are rough.
func (s *Scheduler) compareCompletedRuns(g *taskGroup) {
	if g.kind != "" {
		s.compareAlike(g.kind, g.completed, g.completedAt)
	}
	g.completed = nil
}

// compareLatencies compares the tail latencies of the tasks of a serving step, unless best-effort tasks beside them are
// slowed down already.
func (s *Scheduler) compareLatencies(now time.Time) {
	if !s.learnsInterference || !s.adjustsPace || now.Sub(s.latenciesComparedAt) < latencyComparisonInterval {
		return
	}
	s.latenciesComparedAt = now
	for _, g := range s.groups {
		if g.spec().TailLatencyTarget <= 0 {
			continue
		}
		var runs []alikeRuns
		for _, t := range g.tasks {
			for _, r := range t.runs {
				if r.load > 0 && r.phase == phaseRunning && r.worker.paceControl.reductionPercent == 0 && now.Sub(r.lastReported) < maxReportAge {
					runs = addAlike(runs, conditionsOn(r.worker, g.spec()), interference.Run{Worker: r.worker.Incarnation.Worker, Amount: float64(r.load), Beside: r.worker.kindsNow(r)})
				}
			}
		}
		s.compareAlike(g.kind, runs, now)
	}
}

// kindsNow returns the kinds of the other runs on the worker.
func (w *worker) kindsNow(r *run) []interference.Kind {
	var kinds []interference.Kind
	for _, other := range w.runs {
		if other != r && other.kind != "" && other.phase == phaseRunning && !slices.Contains(kinds, other.kind) {
			kinds = append(kinds, other.kind)
		}
	}
	slices.Sort(kinds)
	return kinds
}

// countKind adds to the number of runs of a kind on the worker.
func (w *worker) countKind(kind interference.Kind, n int) {
	if kind == "" {
		return
	}
	if w.runsByKind == nil {
		w.runsByKind = make(map[interference.Kind]int)
	}
	if w.runsByKind[kind] += n; w.runsByKind[kind] == 0 {
		delete(w.runsByKind, kind)
	}
}

// kindsToAvoid returns the kinds beside which tasks of the step are not placed where there is other room. There are none while
// a task waits for room: to keep tasks apart takes up workers that would be empty otherwise.
func (s *Scheduler) kindsToAvoid(g *taskGroup) []interference.Kind {
	if s.awaitsRoom {
		return nil
	}
	return s.interference.Apart(g.kind)
}

// hasWaitedForRoom reports whether a task of the last round found no room that a worker would have if it was empty.
func (s *Scheduler) hasWaitedForRoom() bool {
	return slices.ContainsFunc(s.unplaceable, func(demand Resources) bool {
		return slices.ContainsFunc(s.sortedWorkers, func(w *worker) bool { return w.Capacity.Covers(demand) })
	})
}

// runsAnyOf reports whether the worker has a run of one of the kinds.
func (w *worker) runsAnyOf(kinds []interference.Kind) bool {
	return slices.ContainsFunc(kinds, func(kind interference.Kind) bool { return w.runsByKind[kind] > 0 })
}
