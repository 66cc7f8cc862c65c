package work_test

import (
	"testing"
	"time"

	"siskincross/core/work"
)

const shortDelay = 100 * time.Millisecond

// newLongRunningJob returns a job of long-running tasks of which one may be unavailable.
func newLongRunningJob(id work.JobID, tasks int) work.Job {
	j := chainJob(id, tasks)
	j.Steps[0].LongRunning, j.Steps[0].HasMaxUnavailable, j.Steps[0].MaxUnavailable = true, true, 1
	return j
}

// runningReport returns the report of a worker on which its started runs are at full pace.
func runningReport(orders []work.Order, worker string) work.Report {
	var r work.Report
	for _, o := range orders {
		if o.Kind == work.OrderStart && o.Incarnation.Worker == worker {
			r.Active = append(r.Active, work.ActiveRun{Run: o.Run, SpeedPercent: 100})
		}
	}
	return r
}

func stopOrders(orders []work.Order) []work.Order {
	var list []work.Order
	for _, o := range orders {
		if o.Kind == work.OrderStop {
			list = append(list, o)
		}
	}
	return list
}

func TestWithdraw(t *testing.T) {
	t.Run("long-running tasks are evacuated one by one", func(t *testing.T) {
		f := newFixture(t)
		f.answerRenewal("a", work.Report{})
		f.answerRenewal("b", work.Report{})
		f.scheduler.AddJob(newLongRunningJob("j", 4), work.Progress{}, 11, false, f.now)
		started := f.executeRound()
		f.is.Equal(len(started), 4)
		f.answerRenewal("a", runningReport(started, "a"))
		f.answerRenewal("b", runningReport(started, "b"))
		f.scheduler.SetWithdrawn(map[string]bool{"a": true}, f.now)
		f.is.Equal(len(stopOrders(f.executeRound())), 1)
		f.is.Equal(len(stopOrders(f.executeRound())), 0) // the first task is not running elsewhere yet
		f.is.Equal(len(f.scheduler.EvacuatedWorkers()), 0)
	})
	t.Run("no long-running task is evacuated while another is unavailable", func(t *testing.T) {
		f := newFixture(t)
		f.answerRenewal("a", work.Report{})
		f.answerRenewal("b", work.Report{})
		f.scheduler.AddJob(newLongRunningJob("j", 2), work.Progress{}, 11, false, f.now)
		started := f.executeRound()
		f.answerRenewal("a", runningReport(started, "a")) // the other task is not at full pace yet
		f.scheduler.SetWithdrawn(map[string]bool{"a": true}, f.now)
		f.is.Equal(len(stopOrders(f.executeRound())), 0)
	})
	// A rack loses its network under one task of a step. The last report of its worker shows no problem.
	t.Run("no long-running task is evacuated while another's worker is silent", func(t *testing.T) {
		f := newFixture(t)
		f.answerRenewal("a", work.Report{})
		f.answerRenewal("b", work.Report{})
		f.scheduler.AddJob(newLongRunningJob("j", 2), work.Progress{}, 11, false, f.now)
		started := f.executeRound()
		f.answerRenewal("a", runningReport(started, "a"))
		f.answerRenewal("b", runningReport(started, "b"))
		f.scheduler.HandleMissedRenewal(incarnation("b"), f.now)
		f.scheduler.SetWithdrawn(map[string]bool{"a": true}, f.now)
		f.is.Equal(len(stopOrders(f.executeRound())), 0)
		f.answerRenewal("b", runningReport(started, "b"))
		f.is.Equal(len(stopOrders(f.executeRound())), 1)
	})
	// The earlier holder ordered a worker to stop a task just before it was replaced. The worker still lists the
	// task.
	t.Run("no long-running task is evacuated while another may be stopping on an earlier holder's order", func(t *testing.T) {
		f := newFixture(t)
		f.scheduler.AddUnresolvedIncarnation(incarnation("a"), f.now)
		f.scheduler.AddJob(newLongRunningJob("j", 2), work.Progress{}, 5, true, f.now)
		first := work.Report{Active: []work.ActiveRun{{Run: runID("j", 0, 0, 1), SpeedPercent: 100}}}
		second := work.Report{Active: []work.ActiveRun{{Run: runID("j", 0, 1, 1), SpeedPercent: 100}}}
		f.answerRenewal("a", first)
		f.answerRenewal("b", second)
		f.scheduler.SetWithdrawn(map[string]bool{"b": true}, f.now)
		f.is.Equal(len(stopOrders(f.executeRound())), 0)
		f.now = f.now.Add(5 * shortDelay)
		f.is.Equal(len(stopOrders(f.executeRound())), 0) // there was no newer report
		f.answerRenewal("a", first)
		f.answerRenewal("b", second)
		f.is.Equal(len(stopOrders(f.executeRound())), 1)
	})
	t.Run("withdrawn worker gets no tasks and counts as evacuated once it is empty", func(t *testing.T) {
		f := newFixture(t)
		f.answerRenewal("a", work.Report{})
		f.answerRenewal("b", work.Report{})
		f.scheduler.SetWithdrawn(map[string]bool{"a": true}, f.now)
		f.is.Equal(f.scheduler.EvacuatedWorkers(), []string{"a"})
		f.scheduler.AddJob(chainJob("j", 3), work.Progress{}, 11, false, f.now)
		for _, o := range f.executeRound() {
			f.is.Equal(o.Incarnation.Worker, "b")
		}
	})
	// The holder freezes between a worker's report and the commit of its ends. The next holder has only the
	// roster.
	t.Run("worker stays on the roster until the ends that it listed are stored", func(t *testing.T) {
		f := newFixture(t)
		f.answerRenewal("a", work.Report{})
		f.scheduler.AddJob(chainJob("j", 2), work.Progress{}, 11, false, f.now)
		f.is.Equal(len(f.executeRound()), 2)
		f.answerRenewal("a", work.Report{Active: []work.ActiveRun{{Run: runID("j", 0, 1, 1)}}, Ends: []work.RunEnd{{Number: 1, Run: runID("j", 0, 0, 1)}}})
		f.answerRenewal("a", work.Report{Ends: []work.RunEnd{{Number: 1, Run: runID("j", 0, 0, 1)}, {Number: 2, Run: runID("j", 0, 1, 1)}}})
		leaving := map[string]bool{"a": true}
		f.scheduler.SetWithdrawn(leaving, f.now)
		f.is.Equal(len(f.scheduler.EvacuatedWorkers()), 0)
		f.is.True(f.scheduler.RequiredRoster(nil, leaving)[incarnation("a")])
		f.scheduler.UpdateWorkers([]work.WorkerInfo{workerInfo("b")}, f.now) // the worker is kept even if the directory no longer lists it
		f.is.True(f.scheduler.RequiredRoster(nil, leaving)[incarnation("a")])
		f.scheduler.UpdateWorkers([]work.WorkerInfo{workerInfo("a"), workerInfo("b")}, f.now)
		f.scheduler.CompleteCommit(f.scheduler.BeginCommit(10), 12)
		f.is.Equal(f.scheduler.EvacuatedWorkers(), []string{"a"})
		f.is.True(!f.scheduler.RequiredRoster(nil, leaving)[incarnation("a")])
	})
}
