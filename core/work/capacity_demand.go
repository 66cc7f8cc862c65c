package work

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

const (
	// burnTime is the time in which a backlog that can be in time should be worked off, lateBurn and missedBurn are
	// those for work that is late and that nobody waits for any more: hosts are better lent to others meanwhile.
	burnTime   = 1000 * time.Millisecond
	lateBurn   = 3 * time.Second
	missedBurn = 8 * time.Second
	// growAt and shrinkAt are the shares of the pool's capacity that expected work may take before more
	// workers are asked for, and below which some are spare.
	growAt   = 0.78
	shrinkAt = 0.70
	// shortGrowAt and shortShrinkAt are these shares while hosts are short: a pool that keeps room for chance then keeps it from work of
	// other pools that waits for certain.
	shortGrowAt   = 0.88
	shortShrinkAt = 0.80
	// spareAfter is how long workers must have been spare before they are offered.
	spareAfter = 150 * time.Millisecond
	// silentMisses is how many calls in a row must go unanswered before a worker counts as lost to its pool.
	silentMisses = 2
	// keepWorkers is the least number of workers of a pool: a lost rack or a step wider than one worker leaves it able to work.
	keepWorkers = 3
)

// Load is what a pool does with its workers.
type Load struct {
	// Ask is how many more workers it could use, Spare how many it can do without.
	Ask int
	// Urgent is how many of those it needs for tasks that must not be away.
	Urgent int
	Spare  int
	// Offer holds the spare workers that are best given up.
	Offer []string
	// Why gives the figures behind the numbers, for people who look back.
	Why string
}

// coreSeconds is the work that is expected of a number of tasks of a step.
func (b *Board) coreSeconds(j *job, s *Step, tasks int) float64 {
	if s.Filling || s.Lasting {
		return 0
	}
	return float64(tasks) * float64(s.Demand.MilliCores) / 1000 * b.learnt(j.Queue).expect(s).Seconds()
}

func (b *Board) learnt(queue string) *durations {
	d := b.durations[queue]
	if d == nil {
		d = &durations{}
		b.durations[queue] = d
	}
	return d
}

// arrive counts a new job and its work.
func (b *Board) arrive(j *job, now time.Time) {
	total := 0.0
	for i := range j.Steps {
		total += b.coreSeconds(j, &j.Steps[i], j.Steps[i].Tasks)
	}
	if total == 0 {
		return
	}
	a := b.arriving[j.Queue]
	if a == nil {
		a = &arrivals{}
		b.arriving[j.Queue] = a
	}
	a.add(total, now)
}

// foreseen is the work, in core-seconds a second, that is expected to arrive once a host that is asked for now is there.
func (b *Board) foreseen(now time.Time) float64 {
	sum := 0.0
	for _, a := range b.arriving {
		sum += a.foreseen(b.policy.MoveTime+orderTime, now)
	}
	return sum
}

// expected returns the cores that the pool needs: those of lasting tasks, and the more of those for the work that
// arrives and those that are in use and work the backlog off in time.
func (b *Board) expected(now time.Time) float64 {
	lasting, running, waiting := 0.0, 0.0, 0.0
	for _, g := range b.groups {
		s := g.spec()
		cores := float64(s.counted().MilliCores) / 1000
		if s.Lasting {
			lasting += float64(g.left) * cores
			continue
		}
		busy := 0
		for _, t := range g.tasks {
			if !t.done && len(t.runs) > 0 {
				busy++
			}
		}
		running += float64(busy) * cores
		// More cores than all waiting tasks take at once would not end them sooner.
		waiting += min(b.coreSeconds(g.job, s, g.left-busy)/g.burn(now).Seconds(), float64(g.left-busy)*cores)
	}
	return lasting + math.Max(b.foreseen(now), running+waiting)
}

// burn is the time in which the waiting work of a step should be worked off: before it would end too late, if it can be in time.
func (g *group) burn(now time.Time) time.Duration {
	switch g.standing(now) {
	case standingLate:
		return lateBurn
	case standingMissed:
		return missedBurn
	}
	if g.allowed == 0 {
		return burnTime
	}
	slack := g.allowed - time.Duration(float64(g.tail)*tailMargin) - now.Sub(g.from)
	return min(max(slack, burnTime), lateBurn)
}

// muster is what the pool has: its workers that are not about to leave, those of them that answered the holder, how many of them get no
// work at the moment, their cores and the most that one of them offers.
type muster struct {
	present, shut int
	heard         []*worker
	cores         float64
	largest       Resources
}

func (b *Board) muster(now time.Time) muster {
	var m muster
	for _, w := range b.order {
		if !w.listed || w.Draining || w.withdrawn || w.misses >= silentMisses {
			continue
		}
		m.present++
		m.largest = m.largest.Most(w.Capacity)
		m.cores += float64(w.Capacity.MilliCores) / 1000
		if !w.open(now) {
			m.shut++
		}
		if w.answered {
			m.heard = append(m.heard, w)
		}
	}
	return m
}

// Short notes whether pools ask for more hosts than there are.
func (b *Board) Short(short bool) { b.short = short }

// shares returns the shares of its capacity at which the pool asks for workers and offers some.
func (b *Board) shares() (grow, shrink float64) {
	if b.short {
		return shortGrowAt, shortShrinkAt
	}
	return growAt, shrinkAt
}

// Load tells what the pool does with its workers. Those that have not been heard from yet count as its own, so that a new holder does
// not ask for hosts in their place, but none is offered meanwhile.
func (b *Board) Load(now time.Time) Load {
	b.init()
	has := b.muster(now)
	present, cores := has.present, has.cores
	if present == 0 {
		if len(b.groups) > 0 {
			return Load{Ask: keepWorkers, Urgent: keepWorkers, Why: "no workers"}
		}
		return Load{}
	}
	each := cores / float64(present)
	need := b.expected(now)
	load := Load{Why: fmt.Sprintf("%d workers with %.0f cores, %.0f needed, %d steps without a place, %d tasks that can't leave", present, cores, need, len(b.homeless), b.cramped)}
	grow, shrink := b.shares()
	if need > cores*grow {
		load.Ask = int(math.Ceil((need/grow - cores) / each))
	}
	load.Urgent = max(0, keepWorkers-present)
	if len(b.homeless) > 0 {
		// Workers that are passed over for a moment will have room again sooner than hosts would come.
		load.Urgent = max(load.Urgent, 1, b.missing(has.largest)-has.shut)
	}
	load.Ask = max(load.Ask, load.Urgent)
	keep := max(keepWorkers, b.spreadOver(), b.heldBy(has.largest), int(math.Ceil(need/shrink/each)))
	if present <= keep || len(has.heard) < present || load.Urgent > 0 {
		b.spareSince = time.Time{}
		return load
	}
	if b.spareSince.IsZero() {
		b.spareSince = now
	}
	if now.Sub(b.spareSince) < spareAfter {
		return load
	}
	load.Spare = present - keep
	load.Offer = b.cheapest(has.heard, load.Spare, now)
	return load
}

// spreadOver is how many workers the lasting steps need because of their spread limits.
func (b *Board) spreadOver() int {
	most := 0
	for _, g := range b.groups {
		if s := g.spec(); s.Lasting && s.SpreadLimit > 0 {
			most = max(most, (g.left+s.SpreadLimit-1)/s.SpreadLimit)
		}
	}
	return most
}

// cheapest returns the n workers whose loss disturbs least: those without lasting tasks that will be empty first.
func (b *Board) cheapest(workers []*worker, n int, now time.Time) []string {
	type candidate struct {
		*worker
		lasting int
		busy    time.Duration
	}
	sorted := make([]candidate, 0, len(workers))
	for _, w := range workers {
		sorted = append(sorted, candidate{w, w.lasting(), b.busyFor(w, now)})
	}
	slices.SortStableFunc(sorted, func(a, c candidate) int {
		return cmp.Or(
			cmp.Compare(a.lasting, c.lasting),
			cmp.Compare(a.busy, c.busy),
			cmp.Compare(a.used.MilliCores, c.used.MilliCores),
			cmp.Compare(a.Life.Worker, c.Life.Worker),
		)
	})
	ids := make([]string, 0, n)
	for _, c := range sorted[:n] {
		ids = append(ids, c.Life.Worker)
	}
	return ids
}

// busyFor is how long the tasks on the worker that end by themselves are expected to go on.
func (b *Board) busyFor(w *worker, now time.Time) time.Duration {
	longest := time.Duration(0)
	for _, r := range w.runs {
		if r.task == nil || r.task.group.spec().Lasting {
			continue
		}
		g := r.task.group
		longest = max(longest, b.learnt(g.job.Queue).expect(g.spec())-now.Sub(r.started))
	}
	return longest
}

// lasting counts the lasting tasks on the worker.
func (w *worker) lasting() int {
	n := 0
	for _, r := range w.runs {
		if r.task != nil && r.task.group.spec().Lasting {
			n++
		}
	}
	return n
}
