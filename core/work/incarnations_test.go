package work_test

import (
	"testing"
	"time"

	"siskincross/core/work"
)

// laterIncarnation returns the worker's listing after a restart.
func laterIncarnation(id string) work.WorkerInfo {
	info := workerInfo(id)
	info.Incarnation.StartMillis++
	return info
}

// TestRestartWithUnansweredStarts guards against a worker that gets no tasks any more after a restart: starts that its earlier
// incarnation had not answered were repeated, and the repeats counted as unanswered by the later one for ever.
func TestRestartWithUnansweredStarts(t *testing.T) {
	const tasks = 5 // as many as a worker may leave unanswered
	restart := func(t *testing.T) (*fixture, []work.Order) {
		f := newFixture(t)
		f.answerRenewal("a", work.Report{})
		j := chainJob("j", tasks)
		j.Steps[0].Demand.MilliCores = 500
		f.scheduler.AddJob(j, work.Progress{}, 11, false, f.now)
		starts := f.scheduler.Schedule(f.now, f.now)
		f.is.Equal(len(starts), tasks)
		for _, o := range starts {
			f.scheduler.HandleResult(o, work.OrderResult{Outcome: work.OutcomeUnknown}, f.now)
		}
		f.scheduler.UpdateWorkers([]work.WorkerInfo{laterIncarnation("a")}, f.now)
		return f, f.executeRound()
	}
	t.Run("runs are stopped and not started again", func(t *testing.T) {
		f, orders := restart(t)
		f.is.Equal(len(orders), tasks)
		f.assertNoStart(orders)
	})
	t.Run("tasks start on the later incarnation", func(t *testing.T) {
		f, _ := restart(t)
		inc := laterIncarnation("a").Incarnation
		f.now = f.now.Add(10 * time.Millisecond)
		renewal, ok := f.scheduler.PrepareRenewal(inc, 0, f.now)
		f.is.True(ok)
		f.scheduler.HandleReport(inc, renewal.Sequence, work.Report{WorkerClock: time.Second}, f.now)
		f.is.Equal(len(f.executeRound()), tasks)
	})
}
