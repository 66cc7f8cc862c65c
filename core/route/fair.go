package route

import (
	"container/heap"
	"slices"
	"time"

	"siskincross/core/host"
)

// Flow identifies a flow of the fair queue: the requests of one team in one queue.
type Flow struct {
	Queue string
	Team  string
}

// Waiter is a request that needs a target.
type Waiter struct {
	Flow Flow
	// Weight is the weight of the team; less than one means one.
	Weight int
	// Urgent requests are served before others.
	Urgent bool
	// Deadline is the time after which the caller does not need the answer.
	Deadline time.Time
	// MaxWaitingInQueue bounds the waiting requests of the queue, MaxWaitingOfTeam those of the team in the queue; zero means no bound.
	MaxWaitingInQueue, MaxWaitingOfTeam int
	// Idempotent is set if the request may be retried even if an attempt may have run it.
	Idempotent bool
	// Avoid lists the targets at which the request failed before.
	Avoid []host.ID

	// tag is the virtual time by which waiters are ordered.
	tag float64
	// heapIndex is the index in the heap, or noIndex.
	heapIndex int
}

// maxUrgentRun is the number of consecutive urgent requests after which another request is served.
const maxUrgentRun = 3

// FairQueue holds waiting requests and orders them by start-time fair queueing: each flow is
// served in proportion to its weight, however many requests the other flows have. Urgent requests
// are served first, except for one request in four. The zero value is empty. It is not safe for
// concurrent use.
type FairQueue struct {
	levels [2]priorityLevel
	// urgentRun counts the urgent requests served since the last other one.
	urgentRun int
	flows     map[Flow]*flowState
	// waitingByQueue holds the number of waiting requests by queue.
	waitingByQueue map[string]int
}

// priorityLevel holds the waiting requests of one priority, with a virtual time of its own.
type priorityLevel struct {
	heap waiterHeap
	// virtualTime is the tag of the request served last.
	virtualTime float64
}

// flowState is the state of one Flow.
type flowState struct {
	weight float64
	// waiting holds the flow's waiters, oldest first.
	waiting []*Waiter
	// lastTags holds the tag of the flow's newest waiter for each level.
	lastTags [2]float64
}

// Indexes of FairQueue.levels.
const (
	levelUrgent = iota
	levelNormal
)

// Len returns the number of waiting requests.
func (q *FairQueue) Len() int {
	return len(q.levels[levelUrgent].heap) + len(q.levels[levelNormal].heap)
}

// Push appends w to its flow. If the queue is full, w displaces the newest waiter of the flow with
// the most waiting requests per weight, provided that w's flow has fewer; otherwise w is refused.
func (q *FairQueue) Push(w *Waiter) (displaced *Waiter, refused Reason) {
	f := q.ensureFlow(w)
	defer q.removeIfEmpty(w.Flow)
	if w.MaxWaitingOfTeam > 0 && len(f.waiting) >= w.MaxWaitingOfTeam {
		return nil, ReasonTeamFull
	}
	if w.MaxWaitingInQueue > 0 && q.waitingByQueue[w.Flow.Queue] >= w.MaxWaitingInQueue {
		displaced = q.displaceNewest(w.Flow.Queue, float64(len(f.waiting)+1)/f.weight)
		if displaced == nil {
			return nil, ReasonQueueFull
		}
	}
	l := w.level()
	f.lastTags[l] = max(f.lastTags[l], q.levels[l].virtualTime) + 1/f.weight
	q.insert(w, f.lastTags[l])
	f.waiting = append(f.waiting, w)
	return displaced, ReasonNone
}

// PushFront places w before all others of its level. It is for a request that was served before and failed at its target.
func (q *FairQueue) PushFront(w *Waiter) {
	f := q.ensureFlow(w)
	q.insert(w, q.levels[w.level()].virtualTime)
	f.waiting = slices.Insert(f.waiting, 0, w)
}

// Pop removes and returns the next waiter to serve, or returns nil.
func (q *FairQueue) Pop() *Waiter {
	l := q.nextLevel()
	if len(q.levels[l].heap) == 0 {
		return nil
	}
	w := q.levels[l].heap[0]
	q.levels[l].virtualTime = max(q.levels[l].virtualTime, w.tag)
	q.Remove(w)
	return w
}

// Remove removes w. It returns false if w is not waiting.
func (q *FairQueue) Remove(w *Waiter) bool {
	waiters := &q.levels[w.level()].heap
	if w.heapIndex < 0 || w.heapIndex >= len(*waiters) || (*waiters)[w.heapIndex] != w {
		return false
	}
	heap.Remove(waiters, w.heapIndex)
	f := q.flows[w.Flow]
	for i, other := range f.waiting {
		if other == w {
			f.waiting = append(f.waiting[:i], f.waiting[i+1:]...)
			break
		}
	}
	q.waitingByQueue[w.Flow.Queue]--
	q.removeIfEmpty(w.Flow)
	return true
}

// removeIfEmpty removes a flow without waiters. Its next request is served as that of a new flow: the tags of a flow
// whose requests were all served are not above the virtual time.
func (q *FairQueue) removeIfEmpty(flow Flow) {
	if f := q.flows[flow]; f != nil && len(f.waiting) == 0 {
		delete(q.flows, flow)
	}
	if q.waitingByQueue[flow.Queue] == 0 {
		delete(q.waitingByQueue, flow.Queue)
	}
}

// EstimateAhead estimates how many requests will be served before a new one of w's flow.
func (q *FairQueue) EstimateAhead(w *Waiter) int {
	own := q.ensureFlow(w)
	defer q.removeIfEmpty(w.Flow)
	weights := own.weight
	for _, f := range q.flows {
		if f != own && len(f.waiting) > 0 {
			weights += f.weight
		}
	}
	turns := float64(len(own.waiting)+1) * weights / own.weight
	return min(int(turns), q.Len()+1)
}

// ensureFlow returns the state of w's flow, which it adds if there is none, and sets its weight.
func (q *FairQueue) ensureFlow(w *Waiter) *flowState {
	if q.flows == nil {
		q.flows = make(map[Flow]*flowState)
		q.waitingByQueue = make(map[string]int)
	}
	f := q.flows[w.Flow]
	if f == nil {
		f = &flowState{}
		q.flows[w.Flow] = f
	}
	f.weight = float64(max(1, w.Weight))
	return f
}

// insert adds w to the heap of its level.
func (q *FairQueue) insert(w *Waiter, tag float64) {
	w.tag = tag
	q.waitingByQueue[w.Flow.Queue]++
	heap.Push(&q.levels[w.level()].heap, w)
}

// displaceNewest removes and returns the newest waiter of the queue's flow with the most waiting requests per weight, if that number is
// above threshold. Of several such flows it takes the one whose team has the lowest name.
func (q *FairQueue) displaceNewest(queue string, threshold float64) *Waiter {
	var heaviest *flowState
	var team string
	for name, f := range q.flows {
		share := float64(len(f.waiting)) / f.weight
		if name.Queue != queue || share < threshold || heaviest == nil && share == threshold {
			continue
		}
		if share > threshold || name.Team < team {
			heaviest, team, threshold = f, name.Team, share
		}
	}
	if heaviest == nil {
		return nil
	}
	w := heaviest.waiting[len(heaviest.waiting)-1]
	q.Remove(w)
	return w
}

// nextLevel returns the level to serve next and counts it for urgentRun.
func (q *FairQueue) nextLevel() int {
	urgent := len(q.levels[levelUrgent].heap) > 0
	other := len(q.levels[levelNormal].heap) > 0
	if urgent && (!other || q.urgentRun < maxUrgentRun) {
		q.urgentRun++
		return levelUrgent
	}
	q.urgentRun = 0
	return levelNormal
}

func (w *Waiter) level() int {
	if w.Urgent {
		return levelUrgent
	}
	return levelNormal
}

// waiterHeap is a min-heap of waiters by tag.
type waiterHeap []*Waiter

func (h waiterHeap) Len() int           { return len(h) }
func (h waiterHeap) Less(i, j int) bool { return h[i].tag < h[j].tag }
func (h waiterHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *waiterHeap) Push(x any) {
	w := x.(*Waiter)
	w.heapIndex = len(*h)
	*h = append(*h, w)
}

// Pop implements heap.Interface.
func (h *waiterHeap) Pop() any {
	last := len(*h) - 1
	w := (*h)[last]
	w.heapIndex = noIndex
	(*h)[last] = nil
	*h = (*h)[:last]
	return w
}
