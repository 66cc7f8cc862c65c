package job

import (
	"fmt"
	"testing"
	"time"

	"siskincross/core/host"
)

// newLargePool returns a pool with a backlog whose resource usage is learnt and whose workers are proven.
func newLargePool(tb testing.TB, workers, backlog, teams int) *simulation {
	tb.Helper()
	b := newSimulation(&testing.T{}, workers)
	b.behaviour = func(host.ID, Job) behaviour { return behaviour{duration: time.Hour, cores: 1, memory: gigabyte} }
	b.s.SetTeams(quotaTeams(teams, workers*6/teams), 1)
	for i := range 12 {
		for range minLearntTasks {
			b.s.usage.Observe(fmt.Sprintf("kunta/template-%d", i), 1, gigabyte)
		}
	}
	for _, w := range b.s.sortedWorkers {
		w.health.lastSuccessStart = b.now.Add(time.Hour)
	}
	for i := range backlog {
		b.submit(1, testSpec(fmt.Sprintf("team-%03d", i%teams), fmt.Sprintf("template-%d", i%12)))
	}
	return b
}

var workerCounts = []int{55, 270, 900, 2700}

// BenchmarkPlacement fills an empty pool from a backlog of 100,000 jobs.
func BenchmarkPlacement(b *testing.B) {
	for _, workers := range workerCounts {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			placed := 0
			for b.Loop() {
				b.StopTimer()
				pool := newLargePool(b, workers, 100_000, 110)
				b.StartTimer()
				placed += pool.s.PlaceJobs(pool.now, 1_000_000)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(placed), "ns/placement")
			b.ReportMetric(float64(placed)/float64(b.N), "placements")
		})
	}
}

// BenchmarkRound measures one scheduling round of a full pool with a backlog.
func BenchmarkRound(b *testing.B) {
	for _, workers := range workerCounts {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			pool := newLargePool(b, workers, 100_000*workers/2700, 110)
			pool.s.PlaceJobs(pool.now, 1_000_000)
			pool.commitRows()
			teams := quotaTeams(110, workers*6/110)
			for b.Loop() {
				pool.now = pool.now.Add(time.Millisecond)
				pool.s.SetWorkers(pool.targets, pool.now)
				pool.s.SetDraining(nil, pool.now)
				pool.s.SetTeams(teams, 1)
				pool.s.ExpireLeases(pool.now)
				pool.s.PlaceJobs(pool.now, 256)
				pool.s.TakeCommands(pool.now)
				pool.commitRows()
			}
		})
	}
}
