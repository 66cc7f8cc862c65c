package work_test

import (
	"testing"
	"time"

	"siskincross/core/work"
)

// tailLatencyTarget is the latency target of the serving task.
const tailLatencyTarget = 100 * time.Millisecond

// newPaceFixture returns a fixture with one worker that runs a serving task with a latency target and a
// best-effort task.
func newPaceFixture(t *testing.T) (f *fixture, serving, bestEffort work.RunID) {
	f = newPoolFixture(t, 1)
	serve, fill := chainJob("serve", 1), chainJob("fill", 1)
	serve.Steps[0].LongRunning, serve.Steps[0].TailLatencyTarget = true, tailLatencyTarget
	fill.Steps[0].BestEffort, fill.Steps[0].LongRunning = true, true
	f.scheduler.AddJob(serve, work.Progress{}, 11, false, f.now)
	f.scheduler.AddJob(fill, work.Progress{}, 11, false, f.now)
	f.is.Equal(len(f.executeRound()), 2)
	return f, runID("serve", 0, 0, 1), runID("fill", 0, 0, 1)
}

// reportTailLatency reports this tail latency of the serving task after a delay and returns the paces that are
// then ordered.
func (f *fixture) reportTailLatency(after time.Duration, millis int) []int {
	f.now = f.now.Add(after)
	var active []work.ActiveRun
	for _, r := range f.runningByWorker["w00"] {
		active = append(active, work.ActiveRun{Run: r.id, SpeedPercent: 100, Load: millis})
	}
	f.answerRenewal("w00", work.Report{Active: active})
	var paces []int
	for _, o := range f.executeRound() {
		if o.Kind == work.OrderPace {
			paces = append(paces, o.SpeedPercent)
		}
	}
	return paces
}

func TestPace(t *testing.T) {
	t.Run("best-effort tasks are halted within three reports while a serving task misses its target", func(t *testing.T) {
		f, _, _ := newPaceFixture(t)
		f.is.Equal(len(f.reportTailLatency(time.Second, 60)), 0)
		f.is.Equal(f.reportTailLatency(time.Second, 140), []int{35})
		f.is.Equal(len(f.reportTailLatency(100*time.Millisecond, 140)), 0) // the reported figure is older than the change of pace
		f.is.Equal(f.reportTailLatency(time.Second, 120), []int{12})
		f.is.Equal(f.reportTailLatency(time.Second, 101), []int{0})
	})
	t.Run("pace is raised in small steps once the tail latency is well below the target", func(t *testing.T) {
		f, _, _ := newPaceFixture(t)
		f.is.Equal(f.reportTailLatency(time.Second, 140), []int{35})
		f.is.Equal(len(f.reportTailLatency(time.Second, 90)), 0)
		f.is.Equal(f.reportTailLatency(time.Second, 50), []int{45})
		for _, want := range []int{55, 65, 75, 85, 95, 100} {
			f.is.Equal(f.reportTailLatency(time.Second, 50), []int{want})
		}
		f.is.Equal(len(f.reportTailLatency(time.Second, 50)), 0)
	})
	t.Run("unanswered order is repeated, and a reduced pace is sent again after a while", func(t *testing.T) {
		f, _, bestEffort := newPaceFixture(t)
		f.now = f.now.Add(time.Second)
		f.answerRenewal("w00", work.Report{Active: []work.ActiveRun{
			{Run: runID("serve", 0, 0, 1), SpeedPercent: 100, Load: 140}, {Run: bestEffort, SpeedPercent: 100},
		}})
		o := f.scheduler.Schedule(f.now, f.now)[0]
		f.is.Equal(o.Kind, work.OrderPace)
		f.is.Equal(len(f.scheduler.Schedule(f.now, f.now)), 0)
		f.scheduler.HandleResult(o, work.OrderResult{Outcome: work.OutcomeUnknown}, f.now)
		f.is.Equal(len(f.scheduler.Schedule(f.now, f.now)), 0)
		f.is.Equal(f.reportTailLatency(400*time.Millisecond, 90), []int{35})
		f.is.Equal(len(f.reportTailLatency(time.Second, 90)), 0)
		f.is.Equal(f.reportTailLatency(time.Second, 90), []int{35})
	})
	t.Run("new best-effort task is slowed like the others on the worker", func(t *testing.T) {
		f, _, _ := newPaceFixture(t)
		f.is.Equal(f.reportTailLatency(time.Second, 140), []int{35})
		more := chainJob("more", 1)
		more.Steps[0].BestEffort = true
		f.scheduler.AddJob(more, work.Progress{}, 12, false, f.now)
		f.executeRound()
		f.is.Equal(f.reportTailLatency(100*time.Millisecond, 90), []int{35})
	})
	t.Run("next holder sends the pace to adopted runs", func(t *testing.T) {
		f, serving, bestEffort := newPaceFixture(t)
		next := &work.Scheduler{Pool: "pool", Epoch: 11, Term: 1}
		next.UpdateWorkers([]work.WorkerInfo{workerInfo("w00")}, f.now)
		for _, id := range []work.JobID{"serve", "fill"} {
			j := chainJob(id, 1)
			j.Steps[0].LongRunning, j.Steps[0].BestEffort = true, id == "fill"
			next.AddJob(j, work.Progress{}, 5, true, f.now)
		}
		renewal, ok := next.PrepareRenewal(incarnation("w00"), 0, f.now)
		f.is.True(ok)
		next.HandleReport(incarnation("w00"), renewal.Sequence, work.Report{WorkerClock: time.Second, Active: []work.ActiveRun{
			{Run: serving, SpeedPercent: 100}, {Run: bestEffort, SpeedPercent: 100},
		}}, f.now)
		orders := next.Schedule(f.now, f.now)
		f.is.Equal(len(orders), 1)
		f.is.Equal(orders[0].Kind, work.OrderPace)
		f.is.Equal(orders[0].SpeedPercent, 100)
	})
	t.Run("best-effort tasks are spread", func(t *testing.T) {
		f := newPoolFixture(t, 4)
		fill := chainJob("fill", 4)
		fill.Steps[0].BestEffort = true
		f.scheduler.AddJob(fill, work.Progress{}, 11, false, f.now)
		f.executeRound()
		f.is.Equal(len(f.runningByWorker), 4)
	})
}

// TestUnansweredPaceOrder guards against a best-effort task that stays slow after the last serving task has left its
// worker: the worker carried out the order to slow down, and the answer was lost.
func TestUnansweredPaceOrder(t *testing.T) {
	f, serving, bestEffort := newPaceFixture(t)
	f.now = f.now.Add(time.Second)
	f.answerRenewal("w00", work.Report{Active: []work.ActiveRun{{Run: serving, SpeedPercent: 100, Load: 140}, {Run: bestEffort, SpeedPercent: 100}}})
	orders := f.scheduler.Schedule(f.now, f.now)
	f.is.Equal(len(orders), 1)
	f.is.Equal(orders[0].SpeedPercent, 35)
	f.scheduler.HandleResult(orders[0], work.OrderResult{Outcome: work.OutcomeUnknown}, f.now)
	f.scheduler.CancelJob("serve")
	f.assertPaceRaised(bestEffort, 35)
}

// TestDelayedPaceOrder guards against a best-effort task that stays slow after an unanswered order to slow down was
// carried out late, after a later order to run at full pace that was confirmed.
func TestDelayedPaceOrder(t *testing.T) {
	f, serving, bestEffort := newPaceFixture(t)
	f.is.Equal(f.reportTailLatency(time.Second, 140), []int{35})
	f.now = f.now.Add(time.Second)
	f.answerRenewal("w00", work.Report{Active: []work.ActiveRun{{Run: serving, SpeedPercent: 100, Load: 140}, {Run: bestEffort, SpeedPercent: 35}}})
	orders := f.scheduler.Schedule(f.now, f.now)
	f.is.Equal(len(orders), 1)
	f.is.Equal(orders[0].SpeedPercent, 12)
	f.scheduler.HandleResult(orders[0], work.OrderResult{Outcome: work.OutcomeUnknown}, f.now)
	f.scheduler.CancelJob("serve")
	f.now = f.now.Add(400 * time.Millisecond)
	f.answerRenewal("w00", work.Report{Active: []work.ActiveRun{{Run: serving, SpeedPercent: 100, Load: 50}, {Run: bestEffort, SpeedPercent: 35}}})
	raised := false
	for _, o := range f.executeRound() {
		raised = raised || (o.Kind == work.OrderPace && o.SpeedPercent == 100)
	}
	f.is.True(raised)
	f.assertPaceRaised(bestEffort, 12)
}

// assertPaceRaised reports the run at this pace for ten seconds and checks that it is ordered to run at full pace.
func (f *fixture) assertPaceRaised(run work.RunID, percent int) {
	for range 10 {
		f.now = f.now.Add(time.Second)
		f.answerRenewal("w00", work.Report{Active: []work.ActiveRun{{Run: run, SpeedPercent: percent}}})
		for _, o := range f.executeRound() {
			if o.Kind == work.OrderPace && o.Run == run && o.SpeedPercent == 100 {
				return
			}
		}
	}
	f.is.Fail() // the pace was not raised
}
