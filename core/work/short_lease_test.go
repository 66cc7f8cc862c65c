package work_test

import (
	"testing"
	"time"

	"siskincross/core/work"
)

// TestEvacuationWithShortLeases guards against evacuations that never begin where workers grant short leases: a worker that holds
// back its answers for as long as it may counts as about to lose its lease.
func TestEvacuationWithShortLeases(t *testing.T) {
	f := newFixture(t)
	f.scheduler = &work.Scheduler{Pool: "pool", Epoch: 10, Timing: work.Timing{MaxLease: 3 * time.Second}}
	f.scheduler.UpdateWorkers([]work.WorkerInfo{workerInfo("a"), workerInfo("b")}, f.now)
	f.answerRenewal("a", work.Report{})
	f.answerRenewal("b", work.Report{})
	f.scheduler.AddJob(newLongRunningJob("j", 4), work.Progress{}, 11, false, f.now)
	started := f.executeRound()
	reports := map[string]work.Report{"a": runningReport(started, "a"), "b": runningReport(started, "b")}
	for id, r := range reports {
		f.answerRenewal(id, r)
	}
	for range 10 {
		f.holdBackReports(reports["a"], reports["b"], func(d time.Duration) time.Duration { return d })
	}
	f.scheduler.SetWithdrawn(map[string]bool{"a": true}, f.now)
	f.is.Equal(len(f.scheduleStops()), 1)
}

// TestEvacuationWithoutWorkerClock guards against tasks that count as at work whatever their worker's lease, because one report
// lacked the reading of its clock.
func TestEvacuationWithoutWorkerClock(t *testing.T) {
	withEvacuation(t, func(f *fixture, a, b work.Report) {
		renewal, ok := f.scheduler.PrepareRenewal(incarnation("b"), 0, f.now)
		f.is.True(ok)
		f.scheduler.HandleReport(incarnation("b"), renewal.Sequence, b, f.now)
		for range 3 {
			f.now = f.now.Add(1500 * time.Millisecond)
			f.answerRenewal("a", a)
			f.renewUnanswered("b")
		}
		f.answerRenewal("b", b) // grants no lease
		f.is.Equal(len(f.scheduleStops()), 0)
		f.answerRenewal("b", b)
		f.is.Equal(len(f.scheduleStops()), 1)
	})
}
