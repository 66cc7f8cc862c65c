package plan_test

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskincross/core/plan"
)

// demandOf returns a demand whose steps have the loads returned by load.
func demandOf(steps int, load func(step int) float64) plan.Demand {
	var d plan.Demand
	for step := range steps {
		d = d.WithStep(load(step))
	}
	return d
}

func TestAbsorbing(t *testing.T) {
	peak := func(step int) float64 {
		if step%40 < 8 {
			return 80
		}
		return 4
	}
	d := demandOf(hour, peak)
	tests := []struct {
		name string
		wait time.Duration
		want int
	}{
		{"nothing may wait", 0, 10},
		{"half of the peak's time", 4 * time.Second, 7}, // 56 slots: a backlog of 24 per step for 8 steps waits 3.4 s
		{"the peak's time", 8 * time.Second, 5},         // 40 slots: a backlog of 40 per step for 8 steps waits 8 s
		{"until the next peak", 30 * time.Second, 3},    // 16 slots are below the mean load of 19.2
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(d.MinHosts(slots, tt.wait), tt.want)
		})
	}
	t.Run("forgets what is older than the window", func(t *testing.T) {
		is := is.New(t)
		d := demandOf(hour+120, func(step int) float64 {
			if step < 60 {
				return 800
			}
			return 8
		})
		is.Equal(d.MinHosts(slots, 0), 1)
		is.True(d.WindowFull())
	})
	t.Run("demands are immutable", func(t *testing.T) {
		is := is.New(t)
		base := demandOf(90, func(int) float64 { return 8 })
		high, low := base.WithStep(80), base.WithStep(1)
		is.Equal(high.Last(), 80.0)
		is.Equal(low.Last(), 1.0)
		is.Equal(base.Peak(), 8.0)
	})
}

// TestMeter measures a pool of 16 slots that serves requests of half a second each.
func TestMeter(t *testing.T) {
	const poolSlots, capacityPerSecond = 16, 32
	run := func(offered func(step int) int, steps int) float64 {
		var m plan.DemandMeter
		var arrivals uint64
		waiting, last := 0, 0.0
		for step := range steps {
			arrivals += uint64(offered(step))
			waiting += offered(step)
			served := min(waiting, capacityPerSecond)
			waiting -= served
			m, last = m.WithObservation(served*poolSlots/capacityPerSecond, waiting, arrivals, time.Second)
		}
		return last
	}
	t.Run("load within the pool", func(t *testing.T) {
		is := is.New(t)
		got := run(func(int) int { return 16 }, 60)
		is.True(math.Abs(got-8) < 0.5) // 16 requests per second occupy 8 slots
	})
	t.Run("load beyond the pool counts the queue's growth", func(t *testing.T) {
		is := is.New(t)
		got := run(func(step int) int {
			if step < 60 {
				return 16
			}
			return 64
		}, 70)
		is.True(math.Abs(got-32) < 3) // 64 requests per second would occupy 32 slots
	})
}
