package work_test

import (
	"slices"
	"testing"
	"time"

	"siskincross/core/work"
)

// TestCancelBeforeStartIsAnswered guards against a task that runs on after its job was cancelled: the cancel
// arrives while the start order has no answer, and a report lists the run before that answer.
func TestCancelBeforeStartIsAnswered(t *testing.T) {
	for name, end := range map[string]func(*fixture, work.Order){
		"cancel is stored": func(f *fixture, o work.Order) { f.scheduler.CancelJob(o.Run.Task.Job) },
		"cancel is to be stored": func(f *fixture, o work.Order) {
			f.is.True(f.scheduler.RequestCancel(o.Run.Task.Job))
		},
		"stored state is final": func(f *fixture, o work.Order) {
			f.scheduler.ResolveConflict(o.Run.Task.Job, work.Progress{State: work.StateCancelled}, 2)
		},
	} {
		t.Run(name+", start is answered", func(t *testing.T) {
			f, start := withUnansweredStart(t, newLongRunningJob("j", 1))
			end(f, start)
			f.reportActive(start)
			f.answerOrder(start, work.OutcomeOK)
			f.assertStop(f.executeRound(), start)
		})
		t.Run(name+", start is never answered", func(t *testing.T) {
			f, start := withUnansweredStart(t, newLongRunningJob("j", 1))
			end(f, start)
			f.reportActive(start)
			f.answerOrder(start, work.OutcomeUnknown)
			f.assertStop(f.executeRound(), start)
		})
		t.Run(name+", repeated start is not answered yet", func(t *testing.T) {
			f, start := withUnansweredStart(t, newLongRunningJob("j", 1))
			f.answerOrder(start, work.OutcomeUnknown)
			repeated := f.scheduler.Schedule(f.now, f.now)
			f.is.Equal(len(repeated), 1)
			end(f, start)
			f.reportActive(start)
			f.assertStop(f.executeRound(), start)
			f.answerOrder(repeated[0], work.OutcomeOK)
		})
	}
}

// TestFailedJobBeforeStartIsAnswered guards against a task that runs on after its job failed while the start
// order had no answer.
func TestFailedJobBeforeStartIsAnswered(t *testing.T) {
	j := chainJob("j", 2)
	j.MaxFailedAttempts = 1
	f, start := withUnansweredStart(t, j)
	other := f.unanswered[1]
	f.answerOrder(other, work.OutcomeOK)
	f.answerRenewal(other.Incarnation.Worker, work.Report{Ends: []work.RunEnd{{Number: 1, Run: other.Run, Reason: work.EndReasonFailed}}})
	f.reportActive(start)
	f.answerOrder(start, work.OutcomeOK)
	f.assertStop(f.executeRound(), start)
}

// TestGangStopBeforeStartIsAnswered guards against a member of a gang that waits for the others in vain: another
// member was refused, and a report lists this one before its start order is answered.
func TestGangStopBeforeStartIsAnswered(t *testing.T) {
	j := chainJob("j", 2)
	j.Steps[0].Gang = true
	f, start := withUnansweredStart(t, j)
	f.answerOrder(f.unanswered[1], work.OutcomeNoRoom)
	f.reportActive(start)
	f.answerOrder(start, work.OutcomeOK)
	f.assertStop(f.executeRound(), start)
}

// TestReportOfUncertainRun checks that a run whose start got no answer goes on once a report lists it.
func TestReportOfUncertainRun(t *testing.T) {
	f, start := withUnansweredStart(t, newLongRunningJob("j", 1))
	f.answerOrder(start, work.OutcomeUnknown)
	f.now = f.now.Add(time.Second)
	for _, repeated := range f.scheduler.Schedule(f.now, f.now) {
		f.answerOrder(repeated, work.OutcomeUnknown)
	}
	f.reportActive(start)
	f.is.Equal(len(f.executeRound()), 0)
}

// withUnansweredStart returns a fixture on which the first round has started the job's tasks, and the first start
// order. No start order is answered yet.
func withUnansweredStart(t *testing.T, j work.Job) (*fixture, work.Order) {
	f := newFixture(t)
	f.answerRenewal("a", work.Report{})
	f.answerRenewal("b", work.Report{})
	f.scheduler.AddJob(j, work.Progress{}, 1, false, f.now)
	f.unanswered = f.scheduler.Schedule(f.now, f.now)
	f.is.Equal(len(f.unanswered), j.Steps[0].TaskCount)
	return f, f.unanswered[0]
}

// reportActive simulates a report of the order's worker that lists its run.
func (f *fixture) reportActive(o work.Order) {
	f.answerRenewal(o.Incarnation.Worker, work.Report{Active: []work.ActiveRun{{Run: o.Run, SpeedPercent: 100}}})
}

// answerOrder simulates the result of an order.
func (f *fixture) answerOrder(o work.Order, outcome work.Outcome) {
	res := work.OrderResult{Outcome: outcome}
	if outcome != work.OutcomeUnknown {
		res.WorkerClock = f.now.Sub(start) + time.Second
	}
	f.is.True(f.scheduler.HandleResult(o, res, f.now))
}

// assertStop checks that the orders stop the run of a start order.
func (f *fixture) assertStop(orders []work.Order, started work.Order) {
	f.is.True(slices.ContainsFunc(orders, func(o work.Order) bool {
		return o.Kind == work.OrderStop && o.Run == started.Run && o.Incarnation == started.Incarnation
	}))
}
