package plan_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskincross/core/config"
	"siskincross/core/plan"
)

// deployment is a deployment of a user with its weights.
type deployment struct {
	name     string
	hosts    []int
	buffer   float64
	move     float64
	moveTime time.Duration
}

var deployments = []deployment{
	{name: "Mauritius", hosts: []int{8, 9, 11, 12, 8}, buffer: 1, move: 0.1, moveTime: time.Minute},
	{name: "Finland", hosts: []int{9, 9, 11, 12, 8}, buffer: 0.1, move: 1, moveTime: time.Minute},
}

const (
	slots = 8
	// peakSteps is the duration of a peak of one queue. The peaks of the five queues follow one another.
	peakSteps = 8
	hour      = 3600
	coolDown  = 30 * time.Minute
)

// trace returns a trace of the deployment. The weight of an idle host in the spare pool is the spareWeight
// fraction of that in other pools.
func (d deployment) trace(spareWeight float64, deadline time.Duration, demand func(p, step int) float64) plan.Trace {
	t := plan.Trace{Slots: slots, Deadline: deadline, MoveTime: d.moveTime, Demand: demand}
	for i, n := range d.hosts {
		spare := i == len(d.hosts)-1
		limits := config.Pool{
			Name: fmt.Sprintf("pool-%d", i), Hosts: n, MinHosts: 4, MaxHosts: 2 * n, MaxUnavailable: 2,
			BufferWeight: d.buffer, MoveWeight: d.move, Spare: spare,
		}
		if spare {
			limits.MaxHosts = 0
			limits.BufferWeight *= spareWeight
		}
		t.Pools = append(t.Pools, limits)
	}
	return t
}

// rotatingPeaks returns the demand of the users: each queue in turn has a peak of five times its mean for some
// seconds, which exceeds the capacity of its pool, and a twentieth of its mean otherwise. The heights and the
// durations of the peaks vary.
func (d deployment) rotatingPeaks(seed uint64) func(p, step int) float64 {
	const overload = 1.1
	return func(p, step int) float64 {
		turn := step / peakSteps
		random := rand.New(rand.NewPCG(seed, uint64(turn)))
		height, cut := 0.8+0.4*random.Float64(), random.IntN(peakSteps/2)
		mean := overload * float64(d.hosts[p]*slots) / 5
		if turn%len(d.hosts) == p && step%peakSteps >= cut {
			return height * 5 * mean
		}
		return mean / 20
	}
}

// lowerBound returns the minimum cost of a policy that answers all requests in time, also with one host out of
// service, when a move takes longer than a peak. Each pool then always holds the hosts that absorb its own
// peaks within the whole deadline. The total idle time of the fleet is the same for all policies. Only its
// distribution over the pools differs, and each host that idles in another pool costs a move.
func lowerBound(trace plan.Trace, static plan.Result) float64 {
	hours := (time.Duration(trace.Steps) * plan.DemandStep).Hours()
	spareWeight := trace.Pools[len(trace.Pools)-1].BufferWeight
	cost := static.Cost
	for p, limits := range trace.Pools[:len(trace.Pools)-1] {
		released := limits.Hosts - max(minHosts(trace, p)+1, limits.MinHosts)
		saving := (limits.BufferWeight-spareWeight)*hours - limits.MoveWeight
		cost -= max(0, float64(released)) * max(0, saving)
	}
	return cost
}

// minHosts returns the number of hosts that serve all load of a pool within the deadline.
func minHosts(trace plan.Trace, p int) int {
	var d plan.Demand
	least := 0
	for step := range trace.Steps {
		d = d.WithStep(trace.Demand(p, step))
		if step%hour == hour-1 {
			least = max(least, d.MinHosts(slots, trace.Deadline))
		}
	}
	return least
}

// TestPolicies compares the policies on the demand of both deployments and logs the results. The target is a
// cost 30% below the best baseline that is late no more than the static policy, measured with the weights of
// the deployment, unless the lower bound shows that no policy that answers in time can reach it.
func TestPolicies(t *testing.T) {
	const target = 0.7
	cases := []struct {
		deadline    time.Duration
		spareWeight float64
		hours       int
	}{
		{2 * time.Second, 1, 2},
		{10 * time.Second, 1, 2},
		{10 * time.Second, 0.2, 12},
	}
	for _, d := range deployments {
		for _, c := range cases {
			t.Run(fmt.Sprintf("%s, deadline %v, spare weight %g, %d hours", d.name, c.deadline, c.spareWeight, c.hours), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				trace := d.trace(c.spareWeight, c.deadline, d.rotatingPeaks(1))
				trace.Steps = c.hours * hour
				static := plan.Evaluate(plan.Static(), trace)
				best := bestBaseline(t, trace, static)
				ours := plan.Evaluate(plan.Absorbing(coolDown), trace)
				logResult(t, ours)
				least := lowerBound(trace, static)
				t.Logf("ours is %.2f of the best baseline, the bound %.2f", ours.Cost/best, least/best)
				is.Equal(ours.BudgetViolations, 0)
				is.Equal(ours.RepeatedMoves, 0)
				is.True(ours.LateShare <= static.LateShare)
				is.True(ours.Cost <= target*best || least > target*best) // 30% below, or unreachable by the lower bound
			})
		}
	}
}

// bestBaseline returns the minimum cost of the baselines that are late no more than the static policy.
func bestBaseline(t *testing.T, trace plan.Trace, static plan.Result) float64 {
	best := static.Cost
	logResult(t, static)
	for _, p := range []plan.Policy{plan.Reactive(), plan.PeakSized()} {
		r := plan.Evaluate(p, trace)
		logResult(t, r)
		if r.LateShare <= static.LateShare {
			best = min(best, r.Cost)
		}
	}
	return best
}

func logResult(t *testing.T, r plan.Result) {
	t.Logf("%-10s buffer %6.1f spare %6.1f host-hours, moves %5d, late %5.2f%%, breaches %d, cost %7.1f",
		r.Policy, r.IdleHostHours, r.SpareIdleHostHours, r.Moves, 100*r.LateShare, r.BudgetViolations, r.Cost)
}

// TestPoliciesUnderFaults checks that the policy neither thrashes nor empties the spare pool when demand or
// failures are adverse.
func TestPoliciesUnderFaults(t *testing.T) {
	const hours = 4
	d := deployments[0]
	together := func(p, step int) float64 {
		if step/peakSteps%30 == 0 {
			return 2 * float64(d.hosts[p]*slots)
		}
		return 1
	}
	// shifting demand contradicts every forecast: each hour another pool requests more than its capacity.
	shifting := func(p, step int) float64 {
		if step/hour%len(d.hosts) == p {
			return 1.5 * float64(d.hosts[p]*slots)
		}
		return 1
	}
	zone := func(p, step int) int {
		if step > 2*hour && step < 2*hour+600 {
			return d.hosts[p] / 4
		}
		return 0
	}
	tests := []struct {
		name   string
		demand func(p, step int) float64
		failed func(p, step int) int
	}{
		{"peaks together", together, nil},
		{"wrong forecasts", shifting, nil},
		{"zone lost in a peak", d.rotatingPeaks(2), zone},
		{"zone lost with wrong forecasts", shifting, zone},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			trace := d.trace(0.2, 10*time.Second, tt.demand)
			trace.Failed, trace.Steps = tt.failed, hours*hour
			r := plan.Evaluate(plan.Absorbing(coolDown), trace)
			logResult(t, r)
			is.Equal(r.BudgetViolations, 0)
			is.Equal(r.RepeatedMoves, 0)
			is.True(r.MinSpareHosts >= 4) // the spare pool keeps its minimum size
		})
	}
}
