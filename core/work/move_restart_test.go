package work_test

import (
	"testing"
	"time"

	"siskincross/core/work"
)

// TestRestartDuringEvacuationStop guards against a long-running task that is never started again: its worker restarts while a
// stop for an evacuation is in flight, and the stop is withdrawn although the start may be carried out by the new process.
func TestRestartDuringEvacuationStop(t *testing.T) {
	for name, withdrawn := range map[string]bool{"worker is no longer withdrawn": false, "worker is still withdrawn": true} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.answerRenewal("a", work.Report{})
			f.answerRenewal("b", work.Report{})
			f.scheduler.AddJob(newLongRunningJob("j", 1), work.Progress{}, 11, false, f.now)
			started := f.executeRound()
			f.is.Equal(len(started), 1)
			first := started[0].Incarnation
			f.scheduler.SetWithdrawn(map[string]bool{first.Worker: true}, f.now)
			stops := f.scheduleStops() // the worker has not listed the run yet
			f.is.Equal(len(stops), 1)
			f.is.True(f.scheduler.HandleResult(stops[0], work.OrderResult{Outcome: work.OutcomeReborn, StartMillis: 2}, f.now))
			restarted := workerInfo(first.Worker)
			restarted.Incarnation.StartMillis = 2
			other := workerInfo(map[string]string{"a": "b", "b": "a"}[first.Worker])
			f.scheduler.UpdateWorkers([]work.WorkerInfo{restarted, other}, f.now)
			f.scheduler.SetWithdrawn(map[string]bool{first.Worker: withdrawn}, f.now)
			outcome := work.OutcomeUnknown // of the first stop order
			for range 100 {
				f.now = f.now.Add(200 * time.Millisecond)
				for _, inc := range []work.Incarnation{restarted.Incarnation, other.Incarnation} {
					renewal, ok := f.scheduler.PrepareRenewal(inc, 0, f.now)
					f.is.True(ok)
					f.scheduler.HandleReport(inc, renewal.Sequence, work.Report{WorkerClock: f.now.Sub(start) + time.Second}, f.now)
				}
				for _, o := range f.scheduler.Schedule(f.now, f.now) {
					if o.Kind == work.OrderStart {
						return // the task is started again
					}
					if f.scheduler.ConfirmOrder(o, f.now) {
						f.is.True(f.scheduler.HandleResult(o, work.OrderResult{Outcome: outcome}, f.now))
						outcome = work.OutcomeOK
					}
				}
			}
			f.is.Fail() // the task has not been started again within 20 s
		})
	}
}
