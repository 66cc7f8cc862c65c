package capacity_test

import (
	"testing"
	"time"

	"siskincross/core/capacity"
	"siskincross/core/work"
)

// TestOverlappingAttempts guards against more hosts down for a wave than it allows: an order is repeated before its first
// attempt is answered, and the host, which is down because of the first, refuses the second.
func TestOverlappingAttempts(t *testing.T) {
	for name, outcomes := range map[string][]capacity.Outcome{
		"refusal comes first":      {capacity.OutcomeRefused, capacity.OutcomeDone},
		"confirmation comes first": {capacity.OutcomeDone, capacity.OutcomeRefused},
		"no confirmation yet":      {capacity.OutcomeRefused},
	} {
		t.Run(name, func(t *testing.T) {
			f := withPlanner(t, 0, 0, 3)
			f.planner.AddWave(work.MaintenanceWave{Number: 1, Name: "1", Hosts: []string{"off-00", "off-01", "off-02"}, StartWithin: time.Minute, MaxConcurrent: 1}, nil, f.now)
			orders := f.plan().Orders
			f.is.Equal(len(orders), 1)
			f.now = f.now.Add(1600 * time.Millisecond)
			f.is.Equal(f.plan().Orders, orders) // the call still waits for its answer
			for _, outcome := range outcomes {
				f.planner.RecordOutcome(orders[0], outcome, f.now)
			}
			for range 5 {
				for _, o := range f.plan().Orders {
					f.is.Equal(o, orders[0])
				}
			}
		})
	}
}
