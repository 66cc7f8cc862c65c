package plan_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskincross/core/config"
	"siskincross/core/host"
	"siskincross/core/plan"
	"siskincross/core/pool"
)

const (
	week   = 7 * 24 * time.Hour
	period = 8 * week
)

var (
	start       = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	maintenance = plan.MaintenanceSchedule{Period: period, PerHost: 10 * time.Minute}
)

// newFleet returns pools of hosts in racks of four.
func newFleet(pools, hosts int) []pool.Pool {
	all := make([]pool.Pool, pools)
	for i := range all {
		all[i].Name = fmt.Sprintf("org/pool-%02d", i)
		for n := range hosts {
			place := host.Place{Zone: fmt.Sprintf("zone-%d", n/4%3), Rack: fmt.Sprintf("rack-%02d-%02d", i, n/4)}
			h := pool.Host{ID: host.ID(fmt.Sprintf("h-%02d-%03d", i, n)), Place: place, Capacity: host.Capacity{Slots: slots}}
			all[i], _ = all[i].WithAdoptedHost(h, start)
		}
	}
	return all
}

// TestMaintenanceOfTheFleet simulates 16 weeks of 2,700 hosts in steps of three hours, with 410 unplanned
// restarts per day that each count against the budget for one step.
func TestMaintenanceOfTheFleet(t *testing.T) {
	is := is.New(t)
	const restartsPerDay = 410
	limits := config.Pool{MaxUnavailable: 3}
	fleet := newFleet(49, 55)
	reboots, behind, restarts := 0, 0, 0
	var oldest time.Duration
	for step := range 16 * 7 * 8 {
		now := start.Add(time.Duration(step) * 3 * time.Hour)
		for i := range fleet {
			fleet[i] = finishAll(fleet[i], now)
		}
		for ; restarts < step*restartsPerDay/8; restarts++ {
			p := &fleet[restarts%len(fleet)]
			*p, _ = p.WithHostEvent(p.Hosts[restarts/len(fleet)%len(p.Hosts)].ID, host.Fail, "", now)
		}
		for i, p := range fleet {
			if maintenance.BehindSchedule(p, limits, now) {
				behind++
			}
			if id, ok, _ := maintenance.NextHost(p, limits, now); ok {
				next, err := p.WithPlannedWork(id, pool.PlannedWork{Purpose: pool.PurposeMaintenance}, limits.MaxUnavailable, now)
				is.NoErr(err)
				fleet[i] = next
				reboots++
			}
			for _, h := range fleet[i].Hosts {
				oldest = max(oldest, now.Sub(h.LastMaintained))
			}
		}
	}
	t.Logf("%d reboots in 16 weeks, the longest time without one %.1f days, behind %d times", reboots, oldest.Hours()/24, behind)
	is.True(oldest <= period) // every host is rebooted once in 8 weeks
	is.Equal(behind, 0)
}

// finishAll returns all hosts of a pool to service.
func finishAll(p pool.Pool, now time.Time) pool.Pool {
	for _, h := range p.Hosts {
		if h.State == host.Serving {
			continue
		}
		if h.Work.Purpose == pool.PurposeMaintenance {
			h.LastMaintained = now
		}
		h.State, h.Work = host.Serving, pool.PlannedWork{}
		p = p.WithHost(h)
	}
	return p
}

func TestMaintenanceOrder(t *testing.T) {
	late := start.Add(period * 9 / 10)
	limits := config.Pool{MaxUnavailable: 3}
	t.Run("stays in the rack that has a host out of service", func(t *testing.T) {
		is := is.New(t)
		p, err := newFleet(1, 12)[0].WithHostEvent("h-00-005", host.Fail, "", late)
		is.NoErr(err)
		id, ok, err := maintenance.NextHost(p, limits, late)
		is.NoErr(err)
		is.True(ok)
		h, _ := p.Host(id)
		is.Equal(h.Place.Rack, "rack-00-01")
	})
	t.Run("nothing is due early", func(t *testing.T) {
		is := is.New(t)
		_, ok, err := maintenance.NextHost(newFleet(1, 12)[0], limits, start.Add(period/2))
		is.NoErr(err)
		is.True(!ok)
	})
	t.Run("leaves room for one failure", func(t *testing.T) {
		is := is.New(t)
		p := newFleet(1, 12)[0]
		now := start.Add(period * 81 / 100)
		for n := range 2 {
			p, _ = p.WithHostEvent(host.ID(fmt.Sprintf("h-00-%03d", n)), host.Fail, "", now)
		}
		_, _, err := maintenance.NextHost(p, limits, now)
		var budget pool.ErrBudgetExceeded
		is.True(errors.As(err, &budget))
		is.Equal(budget.MaxUnavailable, 2)
	})
	t.Run("uses the whole budget when it is behind", func(t *testing.T) {
		is := is.New(t)
		p := newFleet(1, 12)[0]
		is.True(maintenance.BehindSchedule(p, limits, late))
		for n := range 2 {
			p, _ = p.WithHostEvent(host.ID(fmt.Sprintf("h-00-%03d", n)), host.Fail, "", late)
		}
		_, ok, err := maintenance.NextHost(p, limits, late)
		is.NoErr(err)
		is.True(ok)
	})
	t.Run("a host whose drain was given up is left alone for a while", func(t *testing.T) {
		is := is.New(t)
		p := newFleet(1, 1)[0]
		h := p.Hosts[0]
		h.LastDrainAbandoned = late
		is.True(maintenance.EarliestStart(h).After(late.Add(24 * time.Hour)))
	})
}

func TestHeadroom(t *testing.T) {
	p := newFleet(1, 12)[0]
	tests := []struct {
		budget, limit int
		headroom      string
	}{{1, 1, "none"}, {2, 1, "host"}, {4, 3, "host"}, {5, 1, "rack"}, {7, 3, "rack"}}
	for _, tt := range tests {
		t.Run(fmt.Sprint(tt.budget), func(t *testing.T) {
			is := is.New(t)
			limits := config.Pool{MaxUnavailable: tt.budget}
			is.Equal(plan.PlannedLimit(p, limits), tt.limit)
			is.Equal(plan.Headroom(p, limits), tt.headroom)
		})
	}
}

func TestWave(t *testing.T) {
	is := is.New(t)
	fleet := newFleet(2, 12)
	now := start.Add(time.Hour)
	for n := range 4 {
		is.True(!plan.MassFailure(fleet, time.Minute, now))
		fleet[0], _ = fleet[0].WithHostEvent(host.ID(fmt.Sprintf("h-00-%03d", n)), host.Fail, "", now)
	}
	is.True(plan.MassFailure(fleet, time.Minute, now))
	is.True(!plan.MassFailure(fleet, time.Minute, now.Add(time.Hour)))
}

// BenchmarkRound measures one planning round of one of seven entry hosts: the maintenance of its share of the
// pools, new sizes for four pools, and the moves between all pools.
func BenchmarkRound(b *testing.B) {
	const entryHosts, sizings = 7, 4
	for _, size := range []struct{ pools, hosts int }{{5, 10}, {6, 50}, {17, 53}, {49, 55}} {
		b.Run(fmt.Sprintf("%d hosts", size.pools*size.hosts), func(b *testing.B) {
			fleet := newFleet(size.pools, size.hosts)
			limits := config.Pool{Hosts: size.hosts, MinHosts: 4, MaxUnavailable: 3, BufferWeight: 1, MoveWeight: 0.1}
			policy := plan.Absorbing(coolDown)
			var demand plan.Demand
			for step := range hour {
				demand = demand.WithStep(4 * float64(size.hosts) * float64(step/peakSteps%2))
			}
			views := make([]plan.PoolView, len(fleet))
			for i, p := range fleet {
				views[i] = plan.PoolView{Pool: p, Limits: limits, RequiredHosts: size.hosts / 2}
			}
			b.ResetTimer()
			for range b.N {
				plan.MassFailure(fleet, time.Minute, start)
				for _, p := range fleet[:(len(fleet)+entryHosts-1)/entryHosts] {
					maintenance.BehindSchedule(p, limits, start)
					_, _, _ = maintenance.NextHost(p, limits, start)
				}
				for range sizings {
					policy.Size(demand, slots, 10*time.Second)
				}
				policy.NextMoves(views, start)
			}
		})
	}
}
