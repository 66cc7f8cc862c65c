package route

import (
	"container/heap"
	"time"

	"siskincross/core/host"
)

// Flow names the requests that share one place in the fair order: those of a team in a queue.
type Flow struct {
	Queue string
	Team  string
}

// Waiter is one request that needs a target.
type Waiter struct {
	Flow Flow
	// Weight is the team's share; less than one means one.
	Weight int
	// Urgent requests are placed before others.
	Urgent bool
	// Deadline is when the caller no longer wants the answer.
	Deadline time.Time
	// MaxQueued bounds the waiting requests of the queue, MaxTeam those of the team in it; zero means no bound.
	MaxQueued, MaxTeam int
	// Repeatable tells that another target may be tried whatever becomes of an attempt.
	Repeatable bool
	// Avoid lists the targets that failed the request before.
	Avoid []host.ID

	// tag orders waiters; index is the place in the heap, or noPosition.
	tag   float64
	index int
}

// urgentTurns is the number of urgent requests after which one other request has its turn.
const urgentTurns = 3

// FairQueue holds waiting requests and gives them out by start-time fair queueing: each
// flow gets turns in proportion to its weight, whatever the others ask for. Urgent requests go
// first, but for one turn in four. The zero value is empty. It is not safe for concurrent use.
type FairQueue struct {
	levels [2]level
	// urgentRun counts the urgent requests given out since the last other one.
	urgentRun int
	flows     map[Flow]*flow
	queued    map[string]int
}

// level is one priority with its own virtual time.
type level struct {
	order order
	// virtual is the tag of the request given out last.
	virtual float64
}

// flow is the state of one Flow.
type flow struct {
	weight float64
	// waiting holds the flow's waiters, oldest first.
	waiting []*Waiter
	// last is the tag of the newest waiter by level.
	last [2]float64
}

const (
	levelUrgent = iota
	levelOther
)

// Len returns the number of waiting requests.
func (q *FairQueue) Len() int {
	return len(q.levels[levelUrgent].order) + len(q.levels[levelOther].order)
}

// Push places w behind the others of its flow. Where the queue is full, the newest waiter of
// the flow with the most waiting per weight is displaced if w's flow has fewer; else w is refused.
func (q *FairQueue) Push(w *Waiter) (displaced *Waiter, refused Reason) {
	f := q.flow(w)
	if w.MaxTeam > 0 && len(f.waiting) >= w.MaxTeam {
		return nil, ReasonTeamFull
	}
	if w.MaxQueued > 0 && q.queued[w.Flow.Queue] >= w.MaxQueued {
		displaced = q.displace(w.Flow.Queue, float64(len(f.waiting)+1)/f.weight)
		if displaced == nil {
			return nil, ReasonQueueFull
		}
	}
	l := w.level()
	f.last[l] = max(f.last[l], q.levels[l].virtual) + 1/f.weight
	q.insert(f, w, f.last[l])
	return displaced, ReasonNone
}

// PushFront places w before all others of its level: it had its turn, and its target refused.
func (q *FairQueue) PushFront(w *Waiter) {
	q.insert(q.flow(w), w, q.levels[w.level()].virtual)
}

// Pop takes the waiter whose turn it is, or returns nil.
func (q *FairQueue) Pop() *Waiter {
	l := q.nextLevel()
	if len(q.levels[l].order) == 0 {
		return nil
	}
	w := q.levels[l].order[0]
	q.levels[l].virtual = max(q.levels[l].virtual, w.tag)
	q.Remove(w)
	return w
}

// Remove takes w out, if it is still waiting.
func (q *FairQueue) Remove(w *Waiter) bool {
	order := &q.levels[w.level()].order
	if w.index < 0 || w.index >= len(*order) || (*order)[w.index] != w {
		return false
	}
	heap.Remove(order, w.index)
	f := q.flows[w.Flow]
	for i, other := range f.waiting {
		if other == w {
			f.waiting = append(f.waiting[:i], f.waiting[i+1:]...)
			break
		}
	}
	q.queued[w.Flow.Queue]--
	return true
}

// Ahead estimates how many requests are given out before a new one of w's flow has its turn.
func (q *FairQueue) Ahead(w *Waiter) int {
	own := q.flow(w)
	weights := own.weight
	for _, f := range q.flows {
		if f != own && len(f.waiting) > 0 {
			weights += f.weight
		}
	}
	turns := float64(len(own.waiting)+1) * weights / own.weight
	return min(int(turns), q.Len()+1)
}

func (q *FairQueue) flow(w *Waiter) *flow {
	if q.flows == nil {
		q.flows = make(map[Flow]*flow)
		q.queued = make(map[string]int)
	}
	f := q.flows[w.Flow]
	if f == nil {
		f = &flow{}
		q.flows[w.Flow] = f
	}
	f.weight = float64(max(1, w.Weight))
	return f
}

func (q *FairQueue) insert(f *flow, w *Waiter, tag float64) {
	w.tag = tag
	f.waiting = append(f.waiting, w)
	q.queued[w.Flow.Queue]++
	heap.Push(&q.levels[w.level()].order, w)
}

// displace removes the newest waiter of the queue's flow with the most waiting per weight, if that is above claim.
func (q *FairQueue) displace(queue string, claim float64) *Waiter {
	var heaviest *flow
	var team string
	for name, f := range q.flows {
		share := float64(len(f.waiting)) / f.weight
		if name.Queue != queue || share < claim || heaviest == nil && share == claim {
			continue
		}
		if share > claim || name.Team < team {
			heaviest, team, claim = f, name.Team, share
		}
	}
	if heaviest == nil {
		return nil
	}
	w := heaviest.waiting[len(heaviest.waiting)-1]
	q.Remove(w)
	return w
}

func (q *FairQueue) nextLevel() int {
	urgent := len(q.levels[levelUrgent].order) > 0
	other := len(q.levels[levelOther].order) > 0
	if urgent && (!other || q.urgentRun < urgentTurns) {
		q.urgentRun++
		return levelUrgent
	}
	q.urgentRun = 0
	return levelOther
}

func (w *Waiter) level() int {
	if w.Urgent {
		return levelUrgent
	}
	return levelOther
}

// order is a heap of waiters by tag.
type order []*Waiter

func (o order) Len() int           { return len(o) }
func (o order) Less(i, j int) bool { return o[i].tag < o[j].tag }
func (o order) Swap(i, j int) {
	o[i], o[j] = o[j], o[i]
	o[i].index, o[j].index = i, j
}

// Push implements heap.Interface.
func (o *order) Push(x any) {
	w := x.(*Waiter)
	w.index = len(*o)
	*o = append(*o, w)
}

// Pop implements heap.Interface.
func (o *order) Pop() any {
	last := len(*o) - 1
	w := (*o)[last]
	w.index = noPosition
	(*o)[last] = nil
	*o = (*o)[:last]
	return w
}
