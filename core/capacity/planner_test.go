package capacity_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskincross/core/capacity"
	"siskincross/core/work"
)

var start = time.Unix(1_700_000_000, 0)

// fixture is a planner with pools "busy", "calm" and the standby pool "off".
type fixture struct {
	is      *is.I
	planner *capacity.Planner
	list    []capacity.Machine
	now     time.Time
}

func withPlanner(t *testing.T, busy, calm, off int) *fixture {
	f := &fixture{is: is.New(t), planner: &capacity.Planner{}, now: start}
	f.planner.SetPools(map[string]work.Pool{"busy": {Name: "busy"}, "calm": {Name: "calm"}, "off": {Name: "off", Standby: true}})
	for pool, n := range map[string]int{"busy": busy, "calm": calm, "off": off} {
		for i := range n {
			m := capacity.Machine{Host: fmt.Sprintf("%s-%02d", pool, i), Pool: pool, Labels: []string{"a"}}
			if pool != "off" {
				m.Worker = "worker-" + m.Host
			}
			f.list = append(f.list, m)
		}
	}
	f.planner.SetMachines(f.list, f.now)
	return f
}

func (f *fixture) plan() capacity.Plan {
	f.now = f.now.Add(100 * time.Millisecond)
	return f.planner.Plan(f.now)
}

// carryOut plays orders that succeed, and the time that they take.
func (f *fixture) carryOut(orders []capacity.Order) {
	for _, o := range orders {
		f.planner.RecordOutcome(o, capacity.OutcomeDone, f.now)
		i := slices.IndexFunc(f.list, func(m capacity.Machine) bool { return m.Host == o.Host })
		if o.Kind == capacity.KindMove {
			f.list[i].Pool = o.Pool
		}
		f.list[i].Worker = fmt.Sprintf("worker-%s-%d", o.Host, f.now.UnixMilli())
	}
	f.now = f.now.Add(3 * time.Second)
	f.planner.SetMachines(f.list, f.now)
}

func (f *fixture) workers(pool string) []string {
	var ids []string
	for _, m := range f.list {
		if m.Pool == pool && m.Worker != "" {
			ids = append(ids, m.Worker)
		}
	}
	return ids
}

func TestMoves(t *testing.T) {
	// One queue's turn begins while others rest.
	t.Run("pool that asks gets hosts that are switched off, once", func(t *testing.T) {
		f := withPlanner(t, 3, 3, 5)
		f.planner.SetPoolReport("busy", capacity.PoolReport{Requested: 3})
		orders := f.plan().Orders
		f.is.Equal(len(orders), 3)
		for _, o := range orders {
			f.is.Equal(o.Pool, "busy")
		}
		f.is.Equal(len(f.plan().Orders), 0) // they are on their way
	})
	t.Run("cleared host goes to the pool that asks, else it is switched off", func(t *testing.T) {
		f := withPlanner(t, 3, 3, 0)
		f.planner.SetPoolReport("calm", capacity.PoolReport{Spare: 2, Drained: f.workers("calm")[:2]})
		f.planner.SetPoolReport("busy", capacity.PoolReport{Requested: 1})
		orders := f.plan().Orders
		f.is.Equal(len(orders), 1)
		f.is.Equal(orders[0].Pool, "busy")
		f.planner.RecordOutcome(orders[0], capacity.OutcomeDone, f.now)
		f.now = f.now.Add(500 * time.Millisecond)
		orders = f.plan().Orders
		f.is.Equal(len(orders), 1)
		f.is.Equal(orders[0].Pool, "off")
	})
	// A need falls for a tenth of a second while a turn of demand rises.
	t.Run("cleared host waits a moment for the next ask before it is switched off", func(t *testing.T) {
		f := withPlanner(t, 3, 3, 0)
		f.planner.SetPoolReport("calm", capacity.PoolReport{Spare: 1, Drained: f.workers("calm")[:1]})
		f.is.Equal(len(f.plan().Orders), 0)
		f.planner.SetPoolReport("busy", capacity.PoolReport{Requested: 1})
		orders := f.plan().Orders
		f.is.Equal(len(orders), 1)
		f.is.Equal(orders[0].Pool, "busy")
	})
	t.Run("host that was switched off can be had again as soon as it is off", func(t *testing.T) {
		f := withPlanner(t, 3, 3, 0)
		f.planner.Timings.MoveTime = 1500 * time.Millisecond
		f.planner.SetPoolReport("calm", capacity.PoolReport{Spare: 1, Drained: f.workers("calm")[:1]})
		f.plan()
		f.now = f.now.Add(500 * time.Millisecond)
		orders := f.plan().Orders
		f.is.Equal(len(orders), 1)
		f.planner.RecordOutcome(orders[0], capacity.OutcomeDone, f.now)
		f.planner.SetPoolReport("calm", capacity.PoolReport{})
		f.planner.SetPoolReport("busy", capacity.PoolReport{Requested: 1})
		f.is.Equal(len(f.plan().Orders), 0)
		f.now = f.now.Add(1500 * time.Millisecond)
		orders = f.plan().Orders
		f.is.Equal(len(orders), 1)
		f.is.Equal(orders[0].Pool, "busy")
	})
	t.Run("new holder switches nothing off before it has heard from the pools", func(t *testing.T) {
		f := withPlanner(t, 3, 3, 0)
		f.planner.NoSwitchOffBefore = f.now.Add(2 * time.Second)
		f.planner.SetPoolReport("calm", capacity.PoolReport{Spare: 1, Drained: f.workers("calm")[:1]})
		f.plan()
		f.now = f.now.Add(time.Second)
		f.is.Equal(len(f.plan().Orders), 0)
		f.now = f.now.Add(time.Second)
		f.is.Equal(len(f.plan().Orders), 1)
	})
	t.Run("host that is not cleared is never moved", func(t *testing.T) {
		f := withPlanner(t, 3, 3, 0)
		f.planner.SetPoolReport("calm", capacity.PoolReport{Spare: 2})
		f.planner.SetPoolReport("busy", capacity.PoolReport{Requested: 2})
		f.is.Equal(len(f.plan().Orders), 0)
	})
	t.Run("order without an answer is repeated and not given otherwise", func(t *testing.T) {
		f := withPlanner(t, 1, 1, 1)
		f.planner.SetPoolReport("busy", capacity.PoolReport{Requested: 1})
		first := f.plan().Orders
		f.planner.RecordOutcome(first[0], capacity.OutcomeUnknown, f.now)
		f.planner.SetPoolReport("busy", capacity.PoolReport{})
		f.planner.SetPoolReport("calm", capacity.PoolReport{Requested: 1})
		f.now = f.now.Add(time.Second)
		f.is.Equal(f.plan().Orders, first)
	})
	t.Run("pool for other hosts is not tried twice", func(t *testing.T) {
		f := withPlanner(t, 1, 1, 1)
		f.planner.SetPoolReport("busy", capacity.PoolReport{Requested: 1})
		first := f.plan().Orders
		f.planner.RecordOutcome(first[0], capacity.OutcomeImpossible, f.now)
		f.now = f.now.Add(time.Second)
		f.is.Equal(len(f.plan().Orders), 0)
	})
}

func TestWaves(t *testing.T) {
	t.Run("no more than allowed are down, and the wave completes when all have begun", func(t *testing.T) {
		f := withPlanner(t, 6, 6, 2)
		var hosts []string
		for _, m := range f.list {
			hosts = append(hosts, m.Host)
		}
		f.planner.AddWave(work.MaintenanceWave{Number: 1, Name: "1", Hosts: hosts, StartWithin: 60 * time.Second, MaxConcurrent: 3}, nil, f.now)
		begun := make(map[string]bool)
		for range 40 {
			plan := f.plan()
			f.is.True(len(plan.Drain) <= 3)
			for pool := range map[string]bool{"busy": true, "calm": true} {
				var cleared []string
				for _, id := range f.workers(pool) {
					if slices.Contains(plan.Drain, id) {
						cleared = append(cleared, id)
					}
				}
				f.planner.SetPoolReport(pool, capacity.PoolReport{Drained: cleared})
			}
			orders := append(plan.Orders, f.plan().Orders...)
			f.is.True(len(orders) <= 3)
			for _, o := range orders {
				f.is.Equal(o.Kind, capacity.KindMaintain)
				f.is.True(!begun[o.Host])
				begun[o.Host] = true
			}
			f.carryOut(orders)
		}
		f.is.Equal(len(begun), len(hosts))
		f.is.Equal(f.plan().CompletedWaves, []string{"1"})
	})
	t.Run("hosts that an earlier holder maintained are left out", func(t *testing.T) {
		f := withPlanner(t, 2, 0, 0)
		f.planner.AddWave(work.MaintenanceWave{Number: 1, Name: "1", Hosts: []string{"busy-00"}, StartWithin: time.Minute, MaxConcurrent: 1},
			[]string{"busy-00"}, f.now)
		plan := f.plan()
		f.is.Equal(len(plan.Drain)+len(plan.Orders), 0)
		f.is.Equal(plan.CompletedWaves, []string{"1"})
	})
	// A turn of demand asks for more hosts than there are, while a wave has time.
	t.Run("wave waits while pools miss hosts, and still ends in time", func(t *testing.T) {
		f := withPlanner(t, 20, 20, 10)
		f.planner.Timings = capacity.Timings{MoveTime: 1500 * time.Millisecond, MaintenanceTime: 2 * time.Second}
		var hosts []string
		for _, m := range f.list {
			hosts = append(hosts, m.Host)
		}
		const within = 28 * time.Second
		f.planner.SetPoolReport("busy", capacity.PoolReport{Requested: 30})
		f.planner.AddWave(work.MaintenanceWave{Number: 1, Name: "1", Hosts: hosts, StartWithin: within, MaxConcurrent: 20}, nil, f.now)
		began := f.now
		first := f.plan()
		f.is.Equal(len(first.Drain), 0)
		for _, o := range first.Orders {
			f.is.Equal(o.Kind, capacity.KindMove) // hosts that are switched off go to those who ask
		}
		f.is.Equal(len(first.Orders), 10)
		f.carryOut(first.Orders)
		for len(f.planner.StartedHosts("1")) < len(hosts) && f.now.Sub(began) < within {
			plan := f.plan()
			f.planner.SetPoolReport("busy", capacity.PoolReport{Requested: 20, Drained: plan.Drain})
			f.planner.SetPoolReport("calm", capacity.PoolReport{Drained: plan.Drain})
			var maintained []capacity.Order
			for _, o := range append(plan.Orders, f.plan().Orders...) {
				if o.Kind == capacity.KindMaintain {
					maintained = append(maintained, o)
				}
			}
			if len(maintained) > 0 {
				f.carryOut(maintained)
			}
		}
		f.is.Equal(len(f.planner.StartedHosts("1")), len(hosts))
	})
	t.Run("wave goes on while there are hosts that nobody asks for", func(t *testing.T) {
		f := withPlanner(t, 4, 4, 10)
		f.planner.SetPoolReport("busy", capacity.PoolReport{Requested: 6})
		f.planner.AddWave(work.MaintenanceWave{Number: 1, Name: "1", Hosts: []string{"off-00", "off-01", "off-02", "off-03", "off-04", "off-05"}, StartWithin: time.Minute, MaxConcurrent: 6}, nil, f.now)
		orders := f.plan().Orders
		kinds := make(map[capacity.OrderKind]int)
		for _, o := range orders {
			kinds[o.Kind]++
		}
		f.is.Equal(kinds[capacity.KindMaintain], 4)
		f.is.Equal(kinds[capacity.KindMove], 6)
	})
	// The answer to an order is lost; the host, which is down for it, refuses the next try.
	t.Run("host that may be down for the wave counts as down", func(t *testing.T) {
		f := withPlanner(t, 0, 0, 3)
		f.planner.AddWave(work.MaintenanceWave{Number: 1, Name: "1", Hosts: []string{"off-00", "off-01", "off-02"}, StartWithin: time.Minute, MaxConcurrent: 1}, nil, f.now)
		orders := f.plan().Orders
		f.is.Equal(len(orders), 1)
		f.planner.RecordOutcome(orders[0], capacity.OutcomeUnknown, f.now)
		f.now = f.now.Add(time.Second)
		f.is.Equal(f.plan().Orders, orders)
		f.planner.RecordOutcome(orders[0], capacity.OutcomeRefused, f.now)
		f.now = f.now.Add(time.Second)
		f.is.Equal(f.plan().Orders, orders)
	})
	t.Run("maintained host counts as down until the platform lists it as up", func(t *testing.T) {
		f := withPlanner(t, 0, 0, 2)
		f.planner.Timings.MaintenanceTime = 2 * time.Second
		f.planner.AddWave(work.MaintenanceWave{Number: 1, Name: "1", Hosts: []string{"off-00", "off-01"}, StartWithin: time.Minute, MaxConcurrent: 1}, nil, f.now)
		orders := f.plan().Orders
		f.is.Equal(len(orders), 1)
		f.planner.RecordOutcome(orders[0], capacity.OutcomeDone, f.now)
		f.now = f.now.Add(2100 * time.Millisecond)
		f.is.Equal(len(f.plan().Orders), 0)
		f.planner.SetMachines(f.list, f.now)
		f.is.Equal(len(f.plan().Orders), 1)
	})
	t.Run("wave is not completed while an order's outcome is unknown", func(t *testing.T) {
		f := withPlanner(t, 0, 0, 1)
		f.planner.AddWave(work.MaintenanceWave{Number: 1, Name: "1", Hosts: []string{"off-00"}, StartWithin: time.Minute, MaxConcurrent: 1}, nil, f.now)
		orders := f.plan().Orders
		f.is.Equal(len(orders), 1)
		f.planner.RecordOutcome(orders[0], capacity.OutcomeUnknown, f.now)
		f.is.Equal(len(f.plan().CompletedWaves), 0)
	})
}

func TestInbound(t *testing.T) {
	// A rack goes dark while its hosts are on their way to a pool.
	t.Run("host that does not come up is not counted on", func(t *testing.T) {
		f := withPlanner(t, 1, 0, 2)
		f.planner.SetPoolReport("busy", capacity.PoolReport{Requested: 1})
		first := f.plan().Orders
		f.is.Equal(len(first), 1)
		f.planner.RecordOutcome(first[0], capacity.OutcomeDone, f.now)
		i := slices.IndexFunc(f.list, func(m capacity.Machine) bool { return m.Host == first[0].Host })
		f.list[i].State = capacity.StateDown
		f.planner.SetMachines(f.list, f.now)
		f.is.Equal(len(f.plan().Orders), 1)
	})
}

func TestUrgentNeeds(t *testing.T) {
	// A pool's turn took all hosts; another pool then loses a worker of its lasting tasks.
	t.Run("urgent need recalls a host from the largest pool", func(t *testing.T) {
		f := withPlanner(t, 12, 2, 0)
		f.planner.SetPoolReport("busy", capacity.PoolReport{Requested: 20})
		f.planner.SetPoolReport("calm", capacity.PoolReport{Requested: 1, Urgent: 1})
		plan := f.plan()
		f.is.Equal(len(plan.Drain), 1)
		f.is.True(slices.Contains(f.workers("busy"), plan.Drain[0]))
		f.is.Equal(f.plan().Drain, plan.Drain)
		f.planner.SetPoolReport("busy", capacity.PoolReport{Requested: 20, Drained: plan.Drain})
		orders := f.plan().Orders
		f.is.Equal(len(orders), 1)
		f.is.Equal(orders[0].Pool, "calm")
		f.is.Equal(len(f.plan().Drain), 0)
	})
	t.Run("urgent need comes before a larger one", func(t *testing.T) {
		f := withPlanner(t, 2, 2, 1)
		f.planner.SetPoolReport("busy", capacity.PoolReport{Requested: 20})
		f.planner.SetPoolReport("calm", capacity.PoolReport{Requested: 1, Urgent: 1})
		orders := f.plan().Orders
		f.is.Equal(len(orders), 1)
		f.is.Equal(orders[0].Pool, "calm")
	})
}

func TestInherit(t *testing.T) {
	// The duty for hosts changes hands in the middle of a turn of demand.
	t.Run("hosts with orders of the earlier holder are left alone, others are not", func(t *testing.T) {
		f := withPlanner(t, 1, 0, 2)
		f.planner.SetPoolReport("busy", capacity.PoolReport{Requested: 2})
		f.planner.RecordPriorOrder(capacity.Order{Kind: capacity.KindMove, Host: "off-00", Pool: "calm"}, f.now, f.now.Add(4*time.Second))
		orders := f.plan().Orders
		f.is.Equal(len(orders), 1)
		f.is.Equal(orders[0].Host, "off-01")
		f.carryOut(orders)
		f.is.Equal(len(f.plan().Orders), 0)
		f.now = f.now.Add(2 * time.Second)
		f.planner.SetMachines(f.list, f.now)
		f.is.Equal(len(f.plan().Orders), 1)
	})
	// All entry hosts are killed and start again: what was ordered before that is over when the next holder begins.
	t.Run("order of a while ago leaves its host alone only as long as it matters", func(t *testing.T) {
		f := withPlanner(t, 1, 0, 1)
		f.planner.Timings.MoveTime = 1500 * time.Millisecond
		f.planner.SetPoolReport("busy", capacity.PoolReport{Requested: 1})
		given := f.now.Add(-3 * time.Second)
		f.planner.RecordPriorOrder(capacity.Order{Kind: capacity.KindMove, Host: "off-00", Pool: "off"}, given, given.Add(3700*time.Millisecond))
		f.is.Equal(len(f.plan().Orders), 0)
		f.now = f.now.Add(700 * time.Millisecond)
		f.is.Equal(len(f.plan().Orders), 1)
	})
	// A host is switched off, and maintained a second later; then the duty changes hands.
	for _, first := range []string{"move", "maintenance"} {
		t.Run("maintenance after a move counts as away, told with the "+first+" first", func(t *testing.T) {
			f := withPlanner(t, 0, 0, 2)
			f.planner.AddWave(work.MaintenanceWave{Number: 1, Name: "1", Hosts: []string{"off-00", "off-01"}, StartWithin: time.Minute, MaxConcurrent: 1}, nil, f.now)
			move := func() {
				at := f.now.Add(-2 * time.Second)
				f.planner.RecordPriorOrder(capacity.Order{Kind: capacity.KindMove, Host: "off-00", Pool: "off"}, at, at.Add(4*time.Second))
			}
			if first == "move" {
				move()
			}
			at := f.now.Add(-time.Second)
			f.planner.RecordPriorOrder(capacity.Order{Kind: capacity.KindMaintain, Host: "off-00", Wave: 1}, at, at.Add(4*time.Second))
			if first != "move" {
				move()
			}
			f.is.Equal(len(f.plan().Orders), 0)
		})
	}
	t.Run("maintenance that an earlier holder ordered counts as away", func(t *testing.T) {
		f := withPlanner(t, 0, 0, 2)
		f.planner.AddWave(work.MaintenanceWave{Number: 1, Name: "1", Hosts: []string{"off-00", "off-01"}, StartWithin: time.Minute, MaxConcurrent: 1}, nil, f.now)
		f.planner.RecordPriorOrder(capacity.Order{Kind: capacity.KindMaintain, Host: "off-00", Wave: 1}, f.now, f.now.Add(4*time.Second))
		f.is.Equal(len(f.plan().Orders), 0)
	})
}

func TestShort(t *testing.T) {
	f := withPlanner(t, 4, 4, 2)
	f.planner.SetPoolReport("busy", capacity.PoolReport{Requested: 2})
	for range 5 {
		f.is.True(!f.plan().Shortage) // hosts that are on their way are not missed
	}
	f.planner.SetPoolReport("busy", capacity.PoolReport{Requested: 3})
	f.is.True(!f.plan().Shortage) // needs swing within tenths of a second
	for range 3 {
		f.plan()
	}
	f.is.True(f.plan().Shortage)
	f.planner.SetPoolReport("busy", capacity.PoolReport{Requested: 1})
	f.is.True(!f.plan().Shortage)
}
