package share

import (
	"cmp"
	"time"

	"siskincross/core/resource"
)

// Usage is what the organisations use of a pool. The zero value divides nothing; its fields are set before use.
type Usage struct {
	// Capacity is the room of the pool.
	Capacity resource.Amount
	// Weight returns the weight of an organisation. Those without a positive weight count as one.
	Weight func(organisation string) float64

	used map[string]resource.Amount
}

// Add adds to what an organisation uses. The empty name stands for work of no organisation, which is not accounted for.
func (u *Usage) Add(organisation string, amount resource.Amount) {
	if organisation == "" || amount == (resource.Amount{}) {
		return
	}
	if u.used == nil {
		u.used = make(map[string]resource.Amount)
	}
	u.used[organisation] = u.used[organisation].Add(amount)
}

// Level returns the organisation's dominant share of the pool, that is the largest part of any resource, divided by its
// weight.
func (u *Usage) Level(organisation string) float64 {
	return u.dominant(u.used[organisation]) / u.weight(organisation)
}

// dominant returns the largest part of any resource of the pool that an amount takes.
func (u *Usage) dominant(amount resource.Amount) float64 {
	return max(
		fraction(amount.MilliCores, u.Capacity.MilliCores),
		fraction(amount.MemoryMB, u.Capacity.MemoryMB),
		fraction(amount.Accelerators, u.Capacity.Accelerators))
}

func (u *Usage) weight(organisation string) float64 {
	if u.Weight != nil {
		if w := u.Weight(organisation); !isUnlimited(w) {
			return w
		}
	}
	return 1
}

// fraction returns part divided by whole, or zero if there is no whole.
func fraction(part, whole int) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// Queue orders the steps that wait for a pool's room within one urgency and priority. The steps of organisations that
// have less than their shares go by deadline. Those of the others come after them, the lowest level first. Among either,
// steps of jobs that have started go first. The steps of one organisation go as they were pushed. Steps of which some tasks have started go before all
// others, so that at most one step of each organisation is started in part. Work of no organisation goes by its
// deadline. The usage may change between calls.
type Queue struct {
	Usage *Usage

	lanes  []lane
	byName map[string]int
	// total is the weight of all organisations that use the pool or wait for it; zero before the first call of Next.
	total float64
}

// lane holds the waiting items of one organisation.
type lane struct {
	organisation string
	items        []Item
	weight       float64
	// level is the level of the organisation, and over is true if it has its share.
	level float64
	over  bool
}

// Item is a waiting step.
type Item struct {
	// Index identifies the step to the caller.
	Index    int
	Deadline time.Time
	// Begun is true if some tasks of the step have started.
	Begun bool
	// Started is true if some tasks of the job have started.
	Started bool
}

// Push appends an item. Items of one organisation must be pushed in the order in which they go.
func (q *Queue) Push(organisation string, item Item) {
	i, ok := q.byName[organisation]
	if !ok {
		if q.byName == nil {
			q.byName = make(map[string]int)
		}
		i = len(q.lanes)
		q.byName[organisation] = i
		q.lanes = append(q.lanes, lane{organisation: organisation})
	}
	q.lanes[i].items = append(q.lanes[i].items, item)
}

// Next returns the item that goes next, and false if the queue is empty. The item stays in the queue until it is
// dropped. No items may be pushed after the first call.
func (q *Queue) Next() (int, bool) {
	if q.total == 0 {
		q.begin()
	}
	if l := q.next(); l != nil {
		return l.items[0].Index, true
	}
	return 0, false
}

// begin determines the standing of all organisations.
func (q *Queue) begin() {
	for name := range q.Usage.used {
		if _, waits := q.byName[name]; !waits {
			q.total += q.Usage.weight(name)
		}
	}
	for i := range q.lanes {
		l := &q.lanes[i]
		l.weight = q.Usage.weight(l.organisation)
		if l.organisation != "" {
			q.total += l.weight
		}
	}
	for i := range q.lanes {
		q.update(&q.lanes[i])
	}
}

// update sets the standing of a lane from the usage of its organisation.
func (q *Queue) update(l *lane) {
	l.level = q.Usage.dominant(q.Usage.used[l.organisation]) / l.weight
	l.over = l.level >= 1/q.total
}

// Start records that an organisation uses an amount more.
func (q *Queue) Start(organisation string, amount resource.Amount) {
	q.Usage.Add(organisation, amount)
	if i, ok := q.byName[organisation]; ok {
		q.update(&q.lanes[i])
	}
}

// Drop removes the first item of an organisation, of which nothing is left to start or for which there is no room.
func (q *Queue) Drop(organisation string) {
	if i, ok := q.byName[organisation]; ok && len(q.lanes[i].items) > 0 {
		q.lanes[i].items = q.lanes[i].items[1:]
	}
}

// maxTurn is the fraction of the pool up to which an organisation may start the tasks of one step together, although
// that is above its share.
const maxTurn = 0.25

// MayContinue reports whether an organisation whose first item has just been given room may be given more for it at
// once: until the organisation has its share of the pool or maxTurn of it, or while it is the only one that waits. A step
// whose tasks start together ends sooner than one that takes turns with others, and the others wait for one round of its
// tasks at most.
func (q *Queue) MayContinue(organisation string) bool {
	if organisation == "" {
		return true
	}
	others := false
	for i := range q.lanes {
		others = others || (q.lanes[i].organisation != organisation && len(q.lanes[i].items) > 0)
	}
	l := &q.lanes[q.byName[organisation]]
	return !others || l.level*l.weight < max(l.weight/q.total, maxTurn)
}

// next returns the lane that goes next, or nil.
func (q *Queue) next() *lane {
	var best, public *lane
	for i := range q.lanes {
		l := &q.lanes[i]
		switch {
		case len(l.items) == 0:
		case l.organisation == "":
			public = l
		case best == nil || compareLanes(l, best) < 0:
			best = l
		}
	}
	if best == nil || (public != nil && !public.items[0].Deadline.After(best.items[0].Deadline)) {
		return public
	}
	return best
}

// compareLanes orders lanes with items of different organisations.
func compareLanes(a, c *lane) int {
	x, y := &a.items[0], &c.items[0]
	switch {
	case x.Begun != y.Begun:
		return falseFirst(!x.Begun)
	case a.over != c.over:
		return falseFirst(a.over)
	case x.Started != y.Started:
		return falseFirst(!x.Started)
	case a.over && a.level != c.level:
		return cmp.Compare(a.level, c.level)
	}
	return cmp.Or(x.Deadline.Compare(y.Deadline), cmp.Compare(a.level, c.level), cmp.Compare(a.organisation, c.organisation))
}

// falseFirst compares a boolean with its opposite.
func falseFirst(b bool) int {
	if b {
		return 1
	}
	return -1
}
