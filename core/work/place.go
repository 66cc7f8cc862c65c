package work

import (
	"slices"
	"time"
)

// mostUnanswered is how many starts may be on their way to one worker: some of them wait for the answers of others, and more would
// wait until they are given up unsent. Workers answer within milliseconds, so that this allows hundreds a second.
const mostUnanswered = 5

// mostInFlight is how many starts may be on their way to all workers of a pool. At the ten milliseconds that an answer takes it allows
// ten thousand a second; a holder that is slower than that finds a short queue of answers, and none of them has waited for long.
const mostInFlight = 100

// place starts the tasks that may run now, in the order of their jobs. It starts none of jobs that may have been cancelled meanwhile.
func (b *Scheduler) place(now time.Time) []Order {
	if b.outdated(now) {
		return nil
	}
	settled := b.settled(now)
	b.sortGroups(now)
	open := b.openWorkers(now)
	var orders []Order
	b.full = b.full[:0]
	for _, g := range slices.Clone(b.groups) {
		if (g.job.ambiguous && !settled) || !b.preceded(g.job, g.occurrence, g.step) {
			continue
		}
		orders = append(orders, b.placeGroup(g, open, now)...)
	}
	return orders
}

func (b *Scheduler) openWorkers(now time.Time) []*worker {
	var open []*worker
	for _, w := range b.order {
		if w.open(now) {
			open = append(open, w)
		}
	}
	return open
}

// sortGroups orders the open steps by how urgent they are.
func (b *Scheduler) sortGroups(now time.Time) {
	for _, g := range b.groups {
		g.stands = g.standing(now)
	}
	slices.SortFunc(b.groups, compareGroups)
}

func (b *Scheduler) placeGroup(g *group, open []*worker, now time.Time) []Order {
	if g.spec().Gang {
		return b.placeGang(g, open, now)
	}
	var orders []Order
	for i, t := range g.tasks {
		if !t.startable(now) {
			continue
		}
		if b.inFlight >= mostInFlight {
			break
		}
		w := b.choose(g, open, nil, t.failedOn, now)
		if w == nil {
			g.searching = true
			if g.spec().LongRunning && (!g.needsAdvice() || len(g.approvals) > 0) {
				b.homeless[g] += startableOf(g.tasks[i:], now)
			}
			break
		}
		orders = append(orders, b.start(t, w, now))
	}
	return orders
}

func startableOf(tasks []*task, now time.Time) int {
	n := 0
	for _, t := range tasks {
		if t.startable(now) {
			n++
		}
	}
	return n
}

func (t *task) startable(now time.Time) bool {
	return !t.done && len(t.runs) == 0 && !now.Before(t.notBefore)
}

// placeGang starts all tasks of a gang with one attempt, or none.
func (b *Scheduler) placeGang(g *group, open []*worker, now time.Time) []Order {
	if b.inFlight >= mostInFlight {
		return nil
	}
	attempt := 0
	for _, t := range g.tasks {
		if !t.startable(now) {
			return nil
		}
		attempt = max(attempt, t.attempt)
	}
	extra := make(map[*worker]int)
	chosen := make([]*worker, len(g.tasks))
	for i := range g.tasks {
		chosen[i] = b.choose(g, open, extra, g.tasks[i].failedOn, now)
		if chosen[i] == nil {
			g.searching = true
			return nil
		}
		extra[chosen[i]]++
	}
	orders := make([]Order, len(g.tasks))
	checkpoint := g.gangCheckpoint()
	for i, t := range g.tasks {
		t.attempt = attempt
		t.checkpoint = checkpoint
		orders[i] = b.start(t, chosen[i], now)
	}
	return orders
}

// gangCheckpoint is the saved progress of any member: it counts for all.
func (g *group) gangCheckpoint() string {
	for _, t := range g.tasks {
		if t.checkpoint != "" {
			return t.checkpoint
		}
	}
	return ""
}

// choose returns the best worker with room for one more task of the step and the approval that it needs, or nil. Extra counts tasks
// of the step that are about to be placed, failedOn the attempts of the task that failed, by worker.
func (b *Scheduler) choose(g *group, open []*worker, extra map[*worker]int, failedOn map[string]int, now time.Time) *worker {
	spec := g.spec()
	demand := spec.counted()
	if b.isFull(g, demand) {
		return nil
	}
	racks := g.racks(extra)
	var best *worker
	var bestScore float64
	for _, w := range open {
		planned := extra[w]
		need := demand
		for range planned {
			need = need.Add(demand)
		}
		if !w.hasLabel(spec.RequiredLabel) || !w.free().Covers(need) || !g.admits(w, now) || (!spec.LongRunning && w.unanswered >= mostUnanswered) {
			continue
		}
		if spec.SpreadLimit > 0 && g.on(w)+planned >= spec.SpreadLimit {
			continue
		}
		score := w.score(spec, need, racks) - scoreFailed*float64(failedOn[w.Incarnation.Worker])
		if best == nil || score > bestScore {
			best, bestScore = w, score
		}
	}
	if best == nil {
		b.noteFull(g, demand)
	}
	return best
}

// isFull reports whether no worker had room for as much or less in this round: places are only taken until it ends.
func (b *Scheduler) isFull(g *group, demand Resources) bool {
	if g.spec().LongRunning {
		return false // a worker with many starts on its way takes it all the same
	}
	return slices.ContainsFunc(b.full, demand.Covers)
}

// noteFull notes that no worker has room for a demand, if nothing else kept the step from one.
func (b *Scheduler) noteFull(g *group, demand Resources) {
	if spec := g.spec(); spec.RequiredLabel == "" && spec.SpreadLimit == 0 && !spec.Gang && !g.needsAdvice() {
		b.full = append(b.full, demand)
	}
}

// on counts the runs of the group on a worker.
func (g *group) on(w *worker) int {
	n := 0
	for r := range w.each {
		if r.name.Task.Job == g.job.ID && r.name.Task.Occurrence == g.occurrence && r.name.Task.Step == g.step {
			n++
		}
	}
	return n
}

// each calls yield for every run on the worker.
func (w *worker) each(yield func(*run) bool) {
	for _, r := range w.runs {
		if !yield(r) {
			return
		}
	}
}

// racks counts the tasks of a group by rack, if its step wants one rack.
func (g *group) racks(extra map[*worker]int) map[string]int {
	if !g.spec().PreferSameRack {
		return nil
	}
	racks := make(map[string]int)
	for _, t := range g.tasks {
		for _, r := range t.runs {
			racks[r.worker.Rack]++
		}
	}
	for w, n := range extra {
		racks[w.Rack] += n
	}
	return racks
}

// Weights of a worker's score. A rack outweighs any difference in load: on another
// rack a task takes a multiple of its time. An attempt that failed on a worker outweighs the load, so that the next one goes to another
// worker of the rack if there is one; after two, it goes to another rack.
const (
	scoreDataRack = 4.0
	scoreSameRack = 2.0
	scoreFailed   = 3.0
)

// score rates a worker for a task: near the data first. Tasks that last go to the emptiest worker, so that the loss of one takes
// few of them. Tasks that fill go where the fewest do, and where none had to be slowed. Others go to the fullest, so that the rest empty soon and their hosts can be given to other pools.
func (w *worker) score(spec *Step, need Resources, racks map[string]int) float64 {
	score := 0.0
	if spec.DataRack != "" && spec.DataRack == w.Rack {
		score += scoreDataRack
	}
	if racks[w.Rack] > 0 {
		score += scoreSameRack
	}
	left := w.free().Sub(need)
	empty := share(left.MilliCores, w.Capacity.MilliCores) + share(left.MemoryMB, w.Capacity.MemoryMB)/4
	switch {
	case spec.BestEffort:
		return score + empty - float64(w.fills()+w.filling.slowed/leastPace)
	case spec.LongRunning:
		return score + empty
	}
	return score - empty
}

func share(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
