package work

import (
	"time"
)

// withdrawPatience is how long a withdrawn worker may go on with tasks that end by themselves.
const withdrawPatience = 4 * time.Second

// Withdraw names the workers that are to be cleared. Others that were named before get work again.
func (b *Board) Withdraw(workers map[string]bool, now time.Time) {
	b.init()
	for _, w := range b.order {
		switch wanted := workers[w.Life.Worker]; {
		case wanted && !w.withdrawn:
			w.withdrawn, w.withdrawnAt = true, now
		case !wanted:
			w.withdrawn = false
		}
	}
}

// Cleared returns the withdrawn workers that hold nothing.
func (b *Board) Cleared() []string {
	var cleared []string
	for _, w := range b.order {
		if w.listed && w.cleared() {
			cleared = append(cleared, w.Life.Worker)
		}
	}
	return cleared
}

// ClearedLives returns the lives of the withdrawn workers that hold nothing.
func (b *Board) ClearedLives() []Life {
	var lives []Life
	for _, w := range b.order {
		if w.cleared() {
			lives = append(lives, w.Life)
		}
	}
	return lives
}

func (w *worker) cleared() bool { return w.withdrawn && w.answered && w.empty() }

// evacuate gives up the runs that keep withdrawn workers from being cleared: lasting ones as their steps tolerate, others late.
func (b *Board) evacuate(now time.Time) {
	clear(b.homeless)
	b.cramped = 0
	open := b.openWorkers(now)
	for _, w := range b.order {
		if !w.withdrawn && !w.Draining {
			continue
		}
		for _, r := range sortedRuns(w) {
			if r.task == nil || r.phase != phaseRunning {
				continue
			}
			g := r.task.group
			late := w.withdrawn && now.Sub(w.withdrawnAt) > withdrawPatience
			if g.spec().Lasting && b.choose(g, open, nil, nil, now) == nil {
				g.searching = true
				b.homeless[g]++ // it would have nowhere to go
				b.cramped++
				continue
			}
			if (g.spec().Lasting && b.tolerates(g, now)) || (!g.spec().Lasting && late && !g.spec().Gang) {
				r.evacuated = true
				b.unwanted[r] = true
			}
		}
	}
}

// atWork reports whether the task works at full pace on a worker that it may stay on, as of a moment ago.
func (b *Board) atWork(t *task, now time.Time) bool {
	for _, r := range t.runs {
		seen := r.worker.misses == 0 && now.Sub(r.seen) < seenTime
		if seen && r.phase == phaseRunning && r.percent >= fullPace && !r.evacuated && !r.stopping && b.stays(r) {
			return true
		}
	}
	return false
}

// stays reports whether no order of an earlier holder can be stopping the run: its worker listed it after any such order was over.
func (b *Board) stays(r *run) bool {
	return !r.adopted || r.seen.Sub(r.started) >= b.policy.StopTime
}

const (
	fullPace = 100
	// seenTime is how old a worker's report may be to be believed: a little more than the longest time between two renewals.
	seenTime = 1400 * time.Millisecond
)

// tolerates reports whether one more task of a lasting step may be taken away. A step that states no number loses one at a time.
func (b *Board) tolerates(g *group, now time.Time) bool {
	away := 0
	for _, t := range g.tasks {
		if !b.atWork(t, now) {
			away++
		}
	}
	tolerated := 1
	if g.spec().Tolerant {
		tolerated = g.spec().ToleratedLoss
	}
	return away < tolerated
}
