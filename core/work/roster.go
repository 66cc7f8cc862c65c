package work

import (
	"cmp"
	"slices"
	"time"
)

// UpdateWorkers replaces what the directory says of the pool's workers. It returns the lives that are new and those that are forgotten.
func (b *Scheduler) UpdateWorkers(listings []WorkerInfo, now time.Time) (admitted []WorkerInfo, removed []Incarnation) {
	b.init()
	for _, w := range b.order {
		w.listed = false
	}
	for _, l := range listings {
		if b.reborn(l.Incarnation) {
			continue
		}
		w := b.workers[l.Incarnation]
		if w == nil {
			w = b.admit(l)
			admitted = append(admitted, l)
		}
		w.WorkerInfo = l
		w.listed = true
	}
	for _, w := range slices.Clone(b.order) {
		if !w.listed && w.empty() {
			b.remove(w)
			removed = append(removed, w.Incarnation)
		}
	}
	return admitted, removed
}

// HasIncarnation reports whether the board has a life, listed or not.
func (b *Scheduler) HasIncarnation(l Incarnation) bool { return b.workers[l] != nil }

// admit begins to know a life. Orders whose answers were lost in an earlier life may be carried out in this one.
func (b *Scheduler) admit(l WorkerInfo) *worker {
	w := &worker{WorkerInfo: l, runs: make(map[RunID]*run)}
	b.workers[l.Incarnation] = w
	for _, old := range b.order {
		if old.Incarnation.Worker != l.Incarnation.Worker {
			continue
		}
		for _, r := range sortedRuns(old) {
			if old.Incarnation.StartMillis < l.Incarnation.StartMillis {
				b.bury(r, w)
			}
		}
	}
	b.order = append(b.order, w)
	slices.SortFunc(b.order, func(a, c *worker) int { return compareLives(a.Incarnation, c.Incarnation) })
	return w
}

// compareLives is the order in which the board keeps its workers.
func compareLives(a, c Incarnation) int {
	return cmp.Or(cmp.Compare(a.Worker, c.Worker), cmp.Compare(a.StartMillis, c.StartMillis))
}

// laterLives returns the known lives of the same worker that began after one.
func (b *Scheduler) laterLives(l Incarnation) []*worker {
	from, _ := slices.BinarySearchFunc(b.order, Incarnation{Worker: l.Worker, StartMillis: l.StartMillis + 1}, func(w *worker, l Incarnation) int { return compareLives(w.Incarnation, l) })
	until := from
	for until < len(b.order) && b.order[until].Incarnation.Worker == l.Worker {
		until++
	}
	return b.order[from:until]
}

// bury ends a run of a life that is over. If its order may still be on its way, the run is doubtful in the next life.
func (b *Scheduler) bury(r *run, next *worker) {
	if r.phase == phaseOrdered || r.phase == phaseDoubtful {
		b.detach(r)
		r.worker = next
		r.phase = phaseDoubtful
		r.confirmed = false
		r.stopping = false
		next.runs[r.name] = r
		next.used = next.used.Add(r.demand)
		b.unwanted[r] = true
		return
	}
	b.giveUp(r, CauseLifeOver, time.Time{})
}

// detach takes a run off its worker.
func (b *Scheduler) detach(r *run) {
	delete(r.worker.runs, r.name)
	r.worker.used = r.worker.used.Sub(r.demand)
}

// release ends a run: it is certain that it neither runs nor will run.
func (b *Scheduler) release(r *run) {
	b.detach(r)
	delete(b.unwanted, r)
	if r.task != nil {
		if r.checkpoint != "" {
			r.task.checkpoint = r.checkpoint
		}
		r.task.drop(r)
		r.task = nil
	}
}

func (b *Scheduler) remove(w *worker) {
	delete(b.workers, w.Incarnation)
	b.order = slices.DeleteFunc(b.order, func(other *worker) bool { return other == w })
}

func sortedRuns(w *worker) []*run {
	runs := make([]*run, 0, len(w.runs))
	for _, r := range w.runs {
		runs = append(runs, r)
	}
	slices.SortFunc(runs, compareRuns)
	return runs
}

func compareRuns(a, c *run) int {
	x, y := a.name, c.name
	return cmp.Or(
		cmp.Compare(x.Task.Job, y.Task.Job), cmp.Compare(x.Task.Occurrence, y.Task.Occurrence),
		cmp.Compare(x.Task.Step, y.Task.Step), cmp.Compare(x.Task.Index, y.Task.Index), cmp.Compare(x.Attempt, y.Attempt))
}
