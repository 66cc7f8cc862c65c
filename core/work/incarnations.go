package work

import (
	"cmp"
	"slices"
	"time"
)

// List replaces what the directory says of the pool's workers. It returns the lives that are new and those that are forgotten.
func (b *Board) List(listings []Listing, now time.Time) (admitted []Listing, removed []Life) {
	b.init()
	for _, w := range b.order {
		w.listed = false
	}
	for _, l := range listings {
		if b.reborn(l.Life) {
			continue
		}
		w := b.workers[l.Life]
		if w == nil {
			w = b.admit(l)
			admitted = append(admitted, l)
		}
		w.Listing = l
		w.listed = true
	}
	for _, w := range slices.Clone(b.order) {
		if !w.listed && w.empty() {
			b.remove(w)
			removed = append(removed, w.Life)
		}
	}
	return admitted, removed
}

// Known reports whether the board has a life, listed or not.
func (b *Board) Known(l Life) bool { return b.workers[l] != nil }

// admit begins to know a life. Orders whose answers were lost in an earlier life may be carried out in this one.
func (b *Board) admit(l Listing) *worker {
	w := &worker{Listing: l, runs: make(map[Run]*run)}
	b.workers[l.Life] = w
	for _, old := range b.order {
		if old.Life.Worker != l.Life.Worker {
			continue
		}
		for _, r := range sortedRuns(old) {
			if old.Life.Born < l.Life.Born {
				b.bury(r, w)
			}
		}
	}
	b.order = append(b.order, w)
	slices.SortFunc(b.order, func(a, c *worker) int { return compareLives(a.Life, c.Life) })
	return w
}

// compareLives is the order in which the board keeps its workers.
func compareLives(a, c Life) int {
	return cmp.Or(cmp.Compare(a.Worker, c.Worker), cmp.Compare(a.Born, c.Born))
}

// laterLives returns the known lives of the same worker that began after one.
func (b *Board) laterLives(l Life) []*worker {
	from, _ := slices.BinarySearchFunc(b.order, Life{Worker: l.Worker, Born: l.Born + 1}, func(w *worker, l Life) int { return compareLives(w.Life, l) })
	until := from
	for until < len(b.order) && b.order[until].Life.Worker == l.Worker {
		until++
	}
	return b.order[from:until]
}

// bury ends a run of a life that is over. If its order may still be on its way, the run is doubtful in the next life.
func (b *Board) bury(r *run, next *worker) {
	if r.phase == phaseOrdered || r.phase == phaseDoubtful {
		b.detach(r)
		r.worker = next
		r.phase = phaseDoubtful
		r.confirmed = false
		r.stopping = false
		next.runs[r.name] = r
		next.used = next.used.Plus(r.demand)
		b.unwanted[r] = true
		return
	}
	b.giveUp(r, CauseLifeOver, time.Time{})
}

// detach takes a run off its worker.
func (b *Board) detach(r *run) {
	delete(r.worker.runs, r.name)
	r.worker.used = r.worker.used.Minus(r.demand)
}

// release ends a run: it is certain that it neither runs nor will run.
func (b *Board) release(r *run) {
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

func (b *Board) remove(w *worker) {
	delete(b.workers, w.Life)
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
