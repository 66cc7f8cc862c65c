package plan

import (
	"math"
	"time"

	"siskincross/core/config"
	"siskincross/core/host"
	"siskincross/core/pool"
)

// Trace is the demand on the pools of one deployment over time.
type Trace struct {
	Pools []config.Pool
	// Slots is the number of slots of one host.
	Slots    int
	Deadline time.Duration
	// MoveTime is the duration of one drain and reboot.
	MoveTime time.Duration
	// Demand returns the load offered to a pool in one step, in slots.
	Demand func(pool, step int) float64
	// Failed returns the number of failed hosts of a pool in one step. If it is nil, no hosts fail.
	Failed func(pool, step int) int
	Steps  int
}

// Result is the outcome of a policy over a trace.
type Result struct {
	Policy string
	// IdleHostHours is the idle time in the pools other than the spare pool, in host-hours.
	IdleHostHours float64
	// SpareIdleHostHours is the idle time in the spare pool, in host-hours.
	SpareIdleHostHours float64
	Moves              int
	// RepeatedMoves is the number of moves of a host within the cool-down of its previous move.
	RepeatedMoves int
	// BudgetViolations is the number of steps in which planned work exceeded the budget of a pool.
	BudgetViolations int
	// LateShare is the fraction of the load that was served after its deadline.
	LateShare float64
	// MinSpareHosts is the minimum size of the spare pool.
	MinSpareHosts int
	// Cost is the weighted sum of idle time and moves.
	Cost float64
}

// simulation is the state of one policy over one trace.
type simulation struct {
	trace  Trace
	policy Policy
	views  []PoolView
	// demands and queues belong to the pools in the order of views.
	demands []Demand
	queues  []queue
	result  Result
	served  float64
	late    float64
}

// queue holds the load that waits at one pool, by the step in which it was offered.
type queue struct {
	offered []float64
	// first is the earliest step with load that has not been served.
	first int
}

// planSteps is the number of steps between two rounds of planning.
const planSteps = 30

// simulationStart is the time of the first step.
var simulationStart = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)

// Evaluate simulates a policy over a trace, with the state transitions and budgets of a real deployment.
func Evaluate(policy Policy, trace Trace) Result {
	s := simulation{trace: trace, policy: policy, result: Result{Policy: policy.Name, MinSpareHosts: math.MaxInt}}
	s.start()
	for step := range trace.Steps {
		now := simulationStart.Add(time.Duration(step) * DemandStep)
		s.applyFailures(step, now)
		s.serve(step)
		s.finishMoves(now)
		if step%planSteps == 0 {
			s.startMoves(now)
		}
		s.checkLimits()
	}
	if s.served > 0 {
		s.result.LateShare = s.late / s.served
	}
	return s.result
}

// start adopts the hosts of all pools.
func (s *simulation) start() {
	for i, limits := range s.trace.Pools {
		p := pool.Pool{Name: limits.Name}
		for n := range limits.Hosts {
			id := host.ID(limits.Name + "/" + string(rune('a'+n)))
			p, _ = p.WithAdoptedHost(pool.Host{ID: id, Place: host.Place{Rack: rackName(i, n)}}, simulationStart)
		}
		s.views = append(s.views, PoolView{Pool: p, Limits: limits})
	}
	s.demands = make([]Demand, len(s.views))
	s.queues = make([]queue, len(s.views))
}

// hostsPerRack is the number of hosts in a rack.
const hostsPerRack = 4

// rackName returns the name of the rack of host n of pool p.
func rackName(p, n int) string { return string(rune('A'+p)) + string(rune('0'+n/hostsPerRack)) }

// applyFailures makes hosts fail or return until every pool has as many failed hosts as the trace gives.
func (s *simulation) applyFailures(step int, now time.Time) {
	if s.trace.Failed == nil {
		return
	}
	for i, v := range s.views {
		want, have := s.trace.Failed(i, step), v.Pool.Disruptions().Failed
		for _, h := range v.Pool.Hosts {
			switch {
			case have < want && h.State == host.Serving:
				s.views[i].Pool, _ = s.views[i].Pool.WithHostEvent(h.ID, host.Fail, "", now)
				have++
			case have > want && h.State == host.Failed:
				s.views[i].Pool, _ = s.views[i].Pool.WithHostEvent(h.ID, host.Return, "", now)
				s.views[i].Pool, _ = s.views[i].Pool.WithHostEvent(h.ID, host.Serve, "", now)
				have--
			}
		}
	}
}

// serve offers the load of one step to every pool and records idle hosts and late load.
func (s *simulation) serve(step int) {
	deadline := int(s.trace.Deadline / DemandStep)
	for i := range s.views {
		v := &s.views[i]
		load := s.trace.Demand(i, step)
		s.demands[i] = s.demands[i].WithStep(load)
		serving := len(v.Pool.Hosts) - v.Pool.Disruptions().Total()
		busy, late := s.queues[i].serve(step, load, float64(serving*s.trace.Slots), deadline)
		s.served += busy
		s.late += late
		s.addIdle(v.Limits, float64(serving-hostsFor(busy, s.trace.Slots)))
	}
}

// addIdle records the cost of hosts that were idle for one step.
func (s *simulation) addIdle(limits config.Pool, hosts float64) {
	hours := hosts * DemandStep.Hours()
	s.result.Cost += hours * limits.BufferWeight
	if limits.Spare {
		s.result.SpareIdleHostHours += hours
		return
	}
	s.result.IdleHostHours += hours
}

// serve serves the waiting load in order of arrival. It returns the number of slots in use, and how many of
// them served late load.
func (q *queue) serve(step int, load, slots float64, deadline int) (busy, late float64) {
	q.offered = append(q.offered, load)
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

// finishMoves finishes the moves that have taken MoveTime.
func (s *simulation) finishMoves(now time.Time) {
	for i := range s.views {
		for _, h := range s.views[i].Pool.Hosts {
			if h.Work.Purpose == pool.PurposeMove && now.Sub(h.StateSince) >= s.trace.MoveTime {
				s.finishMove(i, h, now)
			}
		}
	}
}

func (s *simulation) finishMove(i int, h pool.Host, now time.Time) {
	to := s.poolIndex(h.Work.Destination)
	h.State = host.Ready
	from, joined, _, err := pool.FinishMove(s.views[i].Pool.WithHost(h), s.views[to].Pool, h.ID, now)
	if err == nil {
		s.views[i].Pool, s.views[to].Pool = from, joined
	}
}

// startMoves sizes the pools and starts the moves of the policy. Policies with a payback wait for a full window.
func (s *simulation) startMoves(now time.Time) {
	if s.policy.Size == nil || (!s.demands[0].WindowFull() && s.policy.Payback > 0) {
		return
	}
	for i := range s.views {
		s.views[i].RequiredHosts = s.policy.Size(s.demands[i], s.trace.Slots, s.trace.Deadline)
		s.views[i].SurplusDuration += planSteps * DemandStep
		if !s.policy.HasSurplus(s.views[i]) {
			s.views[i].SurplusDuration = 0
		}
	}
	for _, move := range s.policy.NextMoves(s.views, now) {
		s.startMove(move, now)
	}
}

func (s *simulation) startMove(move Move, now time.Time) {
	i, j := s.poolIndex(move.From), s.poolIndex(move.To)
	h, _ := s.views[i].Pool.Host(move.Host)
	from, to, err := pool.StartMove(s.views[i].Pool, s.views[j].Pool, move.Host, "", s.views[i].Limits, s.views[j].Limits, now)
	if err != nil {
		return
	}
	s.views[i].Pool, s.views[j].Pool = from, to
	s.views[i].SurplusDuration = 0
	s.result.Moves++
	s.result.Cost += s.views[i].Limits.MoveWeight
	if !h.LastMoved.IsZero() && now.Sub(h.LastMoved) < s.policy.CoolDown {
		s.result.RepeatedMoves++
	}
}

// checkLimits records budget violations and the size of the spare pool.
func (s *simulation) checkLimits() {
	for _, v := range s.views {
		d := v.Pool.Disruptions()
		if d.Planned > 0 && d.Planned+d.Failed > max(v.Limits.MaxUnavailable, d.Failed) {
			s.result.BudgetViolations++
		}
		if v.Limits.Spare {
			s.result.MinSpareHosts = min(s.result.MinSpareHosts, len(v.Pool.Hosts))
		}
	}
}

// poolIndex returns the index of the named pool in views, or -1.
func (s *simulation) poolIndex(name string) int {
	for i, v := range s.views {
		if v.Pool.Name == name {
			return i
		}
	}
	return -1
}
