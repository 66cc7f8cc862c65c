package work

import (
	"cmp"
	"slices"
	"time"
)

// workerKind is what a task requires of a worker beyond room.
type workerKind struct {
	label        string
	accelerators bool
}

// matches reports whether a worker is of this kind.
func (k workerKind) matches(w *worker) bool {
	return w.hasLabel(k.label) && (!k.accelerators || w.Capacity.Accelerators > 0)
}

// kindNeed is what the tasks that require a kind of worker need: all together, and the most that one of them needs.
type kindNeed struct{ total, largest Resources }

// maxNeed is more than all workers of a kind offer together.
var maxNeed = Resources{MilliCores: maxAmount, MemoryMB: maxAmount, Accelerators: maxAmount}

// kindNeeds returns what the steps need that not every worker can run and that are not finished, active or not. A later step
// and the next occurrence of a job need their workers as soon as their turn comes.
func (s *Scheduler) kindNeeds() map[workerKind]kindNeed {
	needs := make(map[workerKind]kindNeed)
	for _, j := range s.jobs {
		if j.isFinal() {
			continue
		}
		for i := range j.Steps {
			step := &j.Steps[i]
			demand := step.reservedResources()
			kind := workerKind{step.RequiredLabel, demand.Accelerators > 0}
			if kind == (workerKind{}) || (j.Repeat.Count == 0 && j.finished[stepKey{step: i}]) {
				continue
			}
			total := needs[kind].total.Add(demand.Times(step.TaskCount)).Min(maxNeed) // sums must not overflow
			needs[kind] = kindNeed{total, needs[kind].largest.Max(demand)}
		}
	}
	return needs
}

// isMet reports whether workers without one of them meet the need for a kind.
func (n kindNeed) isMet(k workerKind, workers []*worker, without *worker) bool {
	var offered Resources
	hasRoom := false
	for _, w := range workers {
		if w != without && k.matches(w) {
			offered = offered.Add(w.Capacity)
			hasRoom = hasRoom || w.Capacity.Covers(n.largest)
		}
	}
	return hasRoom && offered.Covers(n.total)
}

// leastDisruptiveWorkers returns up to n workers whose removal disrupts the pool least: those with the fewest long-running
// tasks, and among them those that will be empty first. Workers that tasks need for their labels or accelerators are not among them.
func (s *Scheduler) leastDisruptiveWorkers(workers []*worker, n int, now time.Time) []string {
	type candidate struct {
		*worker
		continuous int
		busy       time.Duration
	}
	sorted := make([]candidate, 0, len(workers))
	for _, w := range workers {
		sorted = append(sorted, candidate{w, w.countLongRunning(), s.remainingBusyTime(w, now)})
	}
	slices.SortStableFunc(sorted, func(a, c candidate) int {
		return cmp.Or(
			cmp.Compare(a.continuous, c.continuous),
			cmp.Compare(a.busy, c.busy),
			cmp.Compare(a.reserved.MilliCores, c.reserved.MilliCores),
			cmp.Compare(a.Incarnation.Worker, c.Incarnation.Worker),
		)
	})
	needs, kept := s.kindNeeds(), slices.Clone(workers)
	ids := make([]string, 0, n)
	for _, c := range sorted {
		if len(ids) == n {
			break
		}
		if !isNeeded(c.worker, kept, needs) {
			kept = slices.DeleteFunc(kept, func(w *worker) bool { return w == c.worker })
			ids = append(ids, c.Incarnation.Worker)
		}
	}
	return ids
}

// isNeeded reports whether the other workers don't meet a need that this one helps to meet.
func isNeeded(w *worker, workers []*worker, needs map[workerKind]kindNeed) bool {
	for kind, need := range needs {
		if kind.matches(w) && !need.isMet(kind, workers, w) {
			return true
		}
	}
	return false
}
