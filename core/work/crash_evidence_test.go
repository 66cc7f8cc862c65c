package work_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"siskincross/core/work"
)

// laterClock is the reading of a worker's clock just after a restart.
const laterClock = 5 * time.Millisecond

// withRecordedCrashes returns a fixture with a job of one task, and the crashes that its scheduler records.
func withRecordedCrashes(t *testing.T) (*fixture, *[]work.CrashVerdict) {
	f := newFixture(t)
	crashes := new([]work.CrashVerdict)
	f.scheduler.OnCrash = func(v work.CrashVerdict) { *crashes = append(*crashes, v) }
	f.scheduler.AddJob(chainJob("j", 1), work.Progress{}, 11, false, f.now)
	return f, crashes
}

// startOn has the task started on a worker that has just reported, and returns its run. Clock is the reading in the answer.
func (f *fixture) startOn(id string, clock time.Duration) work.RunID {
	f.answerRenewal(id, work.Report{})
	f.now = f.now.Add(10 * time.Millisecond)
	orders := f.scheduler.Schedule(f.now, f.now)
	f.is.Equal(len(orders), 1)
	f.is.Equal(orders[0].Kind, work.OrderStart)
	f.is.Equal(orders[0].Incarnation, incarnation(id))
	f.scheduler.HandleResult(orders[0], work.OrderResult{WorkerClock: clock}, f.now)
	return orders[0].Run
}

// reportOfLater passes a report of the worker's later incarnation to the scheduler.
func (f *fixture) reportOfLater(id string, active ...work.RunID) {
	inc := laterIncarnation(id).Incarnation
	f.now = f.now.Add(10 * time.Millisecond)
	renewal, ok := f.scheduler.PrepareRenewal(inc, 0, f.now)
	f.is.True(ok)
	report := work.Report{WorkerClock: f.now.Sub(start)}
	for _, r := range active {
		report.Active = append(report.Active, work.ActiveRun{Run: r, SpeedPercent: 100})
	}
	f.scheduler.HandleReport(inc, renewal.Sequence, report, f.now)
}

// TestCrashBeforeStart guards against a job that is given up after one crash under its task: a worker had restarted before the
// start reached it, its later incarnation carried it out, and the answer did not tell.
func TestCrashBeforeStart(t *testing.T) {
	clock := func(f *fixture) time.Duration { return f.now.Sub(start) + time.Second }
	t.Run("answer of the later incarnation does not confirm that the run was on the former", func(t *testing.T) {
		is := is.New(t)
		f, crashes := withRecordedCrashes(t)
		f.startOn("a", laterClock)
		f.scheduler.UpdateWorkers([]work.WorkerInfo{laterIncarnation("a"), workerInfo("b")}, f.now)
		is.Equal(len(*crashes), 1)
		is.True(!(*crashes)[0].Confirmed)
	})
	t.Run("answer of the former does", func(t *testing.T) {
		is := is.New(t)
		f, crashes := withRecordedCrashes(t)
		f.startOn("a", clock(f))
		f.scheduler.UpdateWorkers([]work.WorkerInfo{laterIncarnation("a"), workerInfo("b")}, f.now)
		is.Equal(len(*crashes), 1)
		is.True((*crashes)[0].Confirmed)
	})
	t.Run("so does a report of the former", func(t *testing.T) {
		is := is.New(t)
		f, crashes := withRecordedCrashes(t)
		run := f.startOn("a", laterClock)
		f.answerRenewal("a", work.Report{Active: []work.ActiveRun{{Run: run, SpeedPercent: 100}}})
		f.scheduler.UpdateWorkers([]work.WorkerInfo{laterIncarnation("a"), workerInfo("b")}, f.now)
		is.Equal(len(*crashes), 1)
		is.True((*crashes)[0].Confirmed)
	})
	t.Run("answer of the former does not confirm that the run was on the later", func(t *testing.T) {
		is := is.New(t)
		f, crashes := withRecordedCrashes(t)
		f.startOn("a", clock(f))
		leaving := workerInfo("a")
		leaving.Draining = true
		f.scheduler.UpdateWorkers([]work.WorkerInfo{leaving, workerInfo("b")}, f.now)
		f.scheduler.UpdateWorkers([]work.WorkerInfo{laterIncarnation("a"), workerInfo("b")}, f.now)
		f.scheduler.EndIncarnation(laterIncarnation("a").Incarnation)
		is.Equal(len(*crashes), 1)
		is.True(!(*crashes)[0].Confirmed)
	})
	t.Run("crash of the later incarnation counts", func(t *testing.T) {
		is := is.New(t)
		f, crashes := withRecordedCrashes(t)
		run := f.startOn("a", laterClock)
		f.scheduler.UpdateWorkers([]work.WorkerInfo{laterIncarnation("a"), workerInfo("b")}, f.now)
		f.reportOfLater("a", run)
		f.scheduler.EndIncarnation(laterIncarnation("a").Incarnation)
		is.Equal(len(*crashes), 2)
		is.Equal((*crashes)[1].Count, 1)
		is.Equal((*crashes)[1].ConfirmedCount, 1)
	})
	t.Run("job is not given up after one crash under its task", func(t *testing.T) {
		is := is.New(t)
		f, crashes := withRecordedCrashes(t)
		f.startOn("a", laterClock)
		f.scheduler.UpdateWorkers([]work.WorkerInfo{laterIncarnation("a"), workerInfo("b")}, f.now)
		f.executeRound() // stops the run on the later incarnation
		f.reportOfLater("a")
		run := f.startOn("b", clock(f))
		f.answerRenewal("b", work.Report{Active: []work.ActiveRun{{Run: run, SpeedPercent: 100}}})
		f.scheduler.EndIncarnation(incarnation("b"))
		is.Equal(len(*crashes), 2)
		is.True(!(*crashes)[1].GivenUp)
	})
}
