package capacity_test

import (
	"slices"
	"testing"
	"time"

	"siskincross/core/capacity"
	"siskincross/core/work"
)

// TestRepeatedOrderOfHostInUse guards against tasks that end by a move or a maintenance although more of their step are away
// than the job tolerates: an unanswered order is repeated after the pool has taken the worker back.
func TestRepeatedOrderOfHostInUse(t *testing.T) {
	orders := map[string]func(f *fixture) (pool, worker string, first []capacity.Order){
		"move": func(f *fixture) (string, string, []capacity.Order) {
			worker := f.workers("calm")[0]
			f.planner.SetPoolReport("calm", capacity.PoolReport{Spare: 1, Evacuated: []string{worker}})
			f.planner.SetPoolReport("busy", capacity.PoolReport{Requested: 1})
			return "calm", worker, f.plan().Orders
		},
		"maintenance": func(f *fixture) (string, string, []capacity.Order) {
			worker := f.workers("calm")[0]
			f.planner.AddWave(work.MaintenanceWave{Number: 1, Name: "1", Hosts: []string{"calm-00"}, StartWithin: time.Minute, MaxConcurrent: 1}, nil, f.now)
			f.planner.SetPoolReport("calm", capacity.PoolReport{Spare: 1})
			f.plan()
			f.planner.SetPoolReport("calm", capacity.PoolReport{Spare: 1, Evacuated: []string{worker}})
			return "calm", worker, f.plan().Orders
		},
	}
	outcomes := map[string]func(f *fixture, o capacity.Order){
		"no outcome yet":  func(*fixture, capacity.Order) {},
		"unknown outcome": func(f *fixture, o capacity.Order) { f.planner.RecordOutcome(o, capacity.OutcomeUnknown, f.now) },
	}
	for kind, issue := range orders {
		for name, record := range outcomes {
			t.Run(kind+" with "+name, func(t *testing.T) {
				f := withPlanner(t, 3, 3, 0)
				pool, worker, first := issue(f)
				f.is.Equal(len(first), 1)
				record(f, first[0])
				f.planner.SetPoolReport(pool, capacity.PoolReport{}) // the worker is in use again
				f.planner.SetPoolReport("busy", capacity.PoolReport{})
				withdrawn := false
				for range 40 {
					plan := f.plan()
					f.is.True(!slices.Contains(plan.Orders, first[0]))
					withdrawn = withdrawn || slices.Contains(plan.Withdraw, worker)
				}
				f.is.True(withdrawn) // the order may have been carried out or not, and stays due
				f.planner.SetPoolReport(pool, capacity.PoolReport{Evacuated: []string{worker}})
				f.is.Equal(f.plan().Orders, first)
			})
		}
	}
}
