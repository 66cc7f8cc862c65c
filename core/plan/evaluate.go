package plan

import (
	"math"
	"time"

	"siskincross/core/config"
	"siskincross/core/host"
	"siskincross/core/pool"
)

// Trace is a recorded course of demand on the pools of one deployment.
type Trace struct {
	Pools []config.Pool
	// Slots is the number of slots of one host.
	Slots    int
	Deadline time.Duration
	// MoveDuration is the time of one drain and reboot.
	MoveTime time.Duration
	// Demand returns the slots that the work offered to a pool in one step keeps busy.
	Demand func(pool, step int) float64
	// Failed returns how many hosts of a pool are failed in one step; nil means none.
	Failed func(pool, step int) int
	Steps  int
}

// Result is what a policy cost over a trace.
type Result struct {
	Policy string
	// Buffer is the host-hours held idle in the pools that are not spare.
	Buffer float64
	// SpareBuffer is the host-hours held idle in the spare pool.
	SpareBuffer float64
	Moves       int
	// Repeated counts moves of a host within the cool-down after its last move.
	Repeated int
	// Breaches counts steps in which planned work put a pool over its budget.
	Breaches int
	// Late is the share of the work that was served after the deadline.
	Late float64
	// LeastSpare is the fewest hosts that the spare pool had.
	LeastSpare int
	// Cost is the deployment's weighed sum of buffer and moves.
	Cost float64
}

// evaluation is the state of one policy over one trace.
type evaluation struct {
	trace  Trace
	policy Policy
	views  []PoolView
	// demands and queues are those of the pools in the order of views.
	demands []Demand
	queues  []queue
	result  Result
	served  float64
	late    float64
}

// queue holds the work that waits at one pool, by the step in which it was offered.
type queue struct {
	offered []float64
	first   int
}

// planSteps is the number of steps between two plans.
const planSteps = 30

// epoch is where the time of evaluations begins.
var epoch = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)

// Evaluate replays a trace under a policy, with the same transitions and
// budgets that a running deployment goes by.
func Evaluate(policy Policy, trace Trace) Result {
	e := evaluation{trace: trace, policy: policy, result: Result{Policy: policy.Name, LeastSpare: math.MaxInt}}
	e.start()
	for step := range trace.Steps {
		now := epoch.Add(time.Duration(step) * DemandStep)
		e.fail(step, now)
		e.serve(step)
		e.finishMoves(now)
		if step%planSteps == 0 {
			e.startMoves(now)
		}
		e.account()
	}
	if e.served > 0 {
		e.result.Late = e.late / e.served
	}
	return e.result
}

func (e *evaluation) start() {
	for i, limits := range e.trace.Pools {
		p := pool.Pool{Name: limits.Name}
		for n := range limits.Hosts {
			id := host.ID(limits.Name + "/" + string(rune('a'+n)))
			p, _ = p.WithAdoptedHost(pool.Host{ID: id, Place: host.Place{Rack: rackName(i, n)}}, epoch)
		}
		e.views = append(e.views, PoolView{Pool: p, Limits: limits})
	}
	e.demands = make([]Demand, len(e.views))
	e.queues = make([]queue, len(e.views))
}

// hostsPerRack is the number of workers of a rack.
const hostsPerRack = 4

func rackName(p, n int) string { return string(rune('A'+p)) + string(rune('0'+n/hostsPerRack)) }

// fail puts as many hosts of every pool in the failed state as the trace says.
func (e *evaluation) fail(step int, now time.Time) {
	if e.trace.Failed == nil {
		return
	}
	for i, v := range e.views {
		want, have := e.trace.Failed(i, step), v.Pool.Disruptions().Failed
		for _, h := range v.Pool.Hosts {
			switch {
			case have < want && h.State == host.Serving:
				e.views[i].Pool, _ = e.views[i].Pool.WithHostEvent(h.ID, host.Fail, "", now)
				have++
			case have > want && h.State == host.Failed:
				e.views[i].Pool, _ = e.views[i].Pool.WithHostEvent(h.ID, host.Return, "", now)
				e.views[i].Pool, _ = e.views[i].Pool.WithHostEvent(h.ID, host.Serve, "", now)
				have--
			}
		}
	}
}

// serve offers a step's work to every pool and counts idle hosts and late work.
func (e *evaluation) serve(step int) {
	deadline := int(e.trace.Deadline / DemandStep)
	for i := range e.views {
		v := &e.views[i]
		work := e.trace.Demand(i, step)
		e.demands[i] = e.demands[i].WithStep(work)
		serving := len(v.Pool.Hosts) - v.Pool.Disruptions().Total()
		busy, late := e.queues[i].serve(step, work, float64(serving*e.trace.Slots), deadline)
		e.served += busy
		e.late += late
		e.idle(v.Limits, float64(serving-hostsFor(busy, e.trace.Slots)))
	}
}

func (e *evaluation) idle(limits config.Pool, hosts float64) {
	hours := hosts * DemandStep.Hours()
	e.result.Cost += hours * limits.BufferWeight
	if limits.Spare {
		e.result.SpareBuffer += hours
		return
	}
	e.result.Buffer += hours
}

// serve takes work in the order of its arrival and returns the slots kept busy, and those by late work.
func (q *queue) serve(step int, work, slots float64, deadline int) (busy, late float64) {
	q.offered = append(q.offered, work)
	for q.first < len(q.offered) && busy < slots {
		taken := min(q.offered[q.first], slots-busy)
		busy += taken
		if step-q.first > deadline {
			late += taken
		}
		q.offered[q.first] -= taken
		if q.offered[q.first] > 0 {
			break
		}
		q.first++
	}
	return busy, late
}

func (e *evaluation) finishMoves(now time.Time) {
	for i := range e.views {
		for _, h := range e.views[i].Pool.Hosts {
			if h.Work.Purpose == pool.PurposeMove && now.Sub(h.StateSince) >= e.trace.MoveTime {
				e.finishMove(i, h, now)
			}
		}
	}
}

func (e *evaluation) finishMove(i int, h pool.Host, now time.Time) {
	to := e.index(h.Work.Destination)
	h.State = host.Ready
	from, joined, _, err := pool.FinishMove(e.views[i].Pool.WithHost(h), e.views[to].Pool, h.ID, now)
	if err == nil {
		e.views[i].Pool, e.views[to].Pool = from, joined
	}
}

func (e *evaluation) startMoves(now time.Time) {
	if e.policy.Size == nil || (!e.demands[0].WindowFull() && e.policy.Payback > 0) {
		return
	}
	for i := range e.views {
		e.views[i].RequiredHosts = e.policy.Size(e.demands[i], e.trace.Slots, e.trace.Deadline)
		e.views[i].SurplusDuration += planSteps * DemandStep
		if !e.policy.HasSurplus(e.views[i]) {
			e.views[i].SurplusDuration = 0
		}
	}
	for _, move := range e.policy.NextMoves(e.views, now) {
		e.startMove(move, now)
	}
}

func (e *evaluation) startMove(move Move, now time.Time) {
	i, j := e.index(move.From), e.index(move.To)
	h, _ := e.views[i].Pool.Host(move.Host)
	from, to, err := pool.StartMove(e.views[i].Pool, e.views[j].Pool, move.Host, "", e.views[i].Limits, e.views[j].Limits, now)
	if err != nil {
		return
	}
	e.views[i].Pool, e.views[j].Pool = from, to
	e.views[i].SurplusDuration = 0
	e.result.Moves++
	e.result.Cost += e.views[i].Limits.MoveWeight
	if !h.LastMoved.IsZero() && now.Sub(h.LastMoved) < e.policy.CoolDown {
		e.result.Repeated++
	}
}

// account checks the budgets and the size of the spare pool.
func (e *evaluation) account() {
	for _, v := range e.views {
		d := v.Pool.Disruptions()
		if d.Planned > 0 && d.Planned+d.Failed > max(v.Limits.MaxUnavailable, d.Failed) {
			e.result.Breaches++
		}
		if v.Limits.Spare {
			e.result.LeastSpare = min(e.result.LeastSpare, len(v.Pool.Hosts))
		}
	}
}

func (e *evaluation) index(name string) int {
	for i, v := range e.views {
		if v.Pool.Name == name {
			return i
		}
	}
	return -1
}
