package work_test

import (
	"testing"
	"time"

	"siskincross/core/work"
)

// TestUnansweredStartStopHeldUp guards against long-running tasks that are stopped while they are at work: a stop of a start
// without an answer is sent although a report has listed the run since.
func TestUnansweredStartStopHeldUp(t *testing.T) {
	f := newFixture(t)
	f.answerRenewal("a", work.Report{})
	f.answerRenewal("b", work.Report{})
	f.scheduler.AddJob(newLongRunningJob("j", 1), work.Progress{}, 11, false, f.now)
	var started, stop work.Order
	for stop.Run.Task.Job == "" {
		orders := f.scheduler.Schedule(f.now, f.now)
		f.is.Equal(len(orders), 1)
		if orders[0].Kind == work.OrderStop {
			stop = orders[0]
			continue
		}
		started = orders[0]
		f.answerOrder(started, work.OutcomeUnknown)
		f.answerRenewal(started.Incarnation.Worker, work.Report{}) // the order is carried out after it
	}
	worker := started.Incarnation.Worker
	f.answerRenewal(worker, runningReport([]work.Order{started}, worker))
	f.is.True(!f.scheduler.ConfirmOrder(stop, f.now))
	f.answerRenewal(worker, runningReport([]work.Order{started}, worker))
	f.is.Equal(len(f.scheduleStops()), 0)
}

// TestUnansweredStartStopWhileOthersAway guards against a long-running task that is stopped at work while more of its step are away than
// may be: the answers of its start were lost, and it is not known whether the worker runs it.
func TestUnansweredStartStopWhileOthersAway(t *testing.T) {
	f := newFixture(t)
	f.answerRenewal("a", work.Report{})
	f.answerRenewal("b", work.Report{})
	f.scheduler.AddJob(newLongRunningJob("j", 3), work.Progress{}, 11, false, f.now)
	unanswered := make(map[work.RunID]int)
	for round := range 10 {
		for _, o := range f.scheduler.Schedule(f.now, f.now) {
			switch {
			case o.Kind == work.OrderStop && unanswered[o.Run] > 0:
				f.is.True(!f.scheduler.ConfirmOrder(o, f.now)) // the first task is away, and only one may be
			case o.Kind == work.OrderStart && o.Run.Task.Index == 0:
				f.answerOrder(o, work.OutcomeUnhealthy)
			case o.Kind == work.OrderStart:
				unanswered[o.Run]++
				f.answerOrder(o, work.OutcomeUnknown)
			}
		}
		f.now = start.Add(time.Duration(round) * 10 * time.Millisecond)
	}
	f.is.Equal(len(unanswered), 2)
}

// TestUnansweredStartStopWaitsForReport guards against the same while all others are at work, and against a task that waits for good for
// the stop of a run that its worker doesn't have.
func TestUnansweredStartStopWaitsForReport(t *testing.T) {
	// unanswered returns a pool of which worker "a" left a start and its repetition without an answer.
	unanswered := func(t *testing.T, j work.Job) (*fixture, work.Order) {
		f := newFixture(t)
		f.scheduler.UpdateWorkers([]work.WorkerInfo{workerInfo("a")}, f.now)
		f.answerRenewal("a", work.Report{})
		f.scheduler.AddJob(j, work.Progress{}, 11, false, f.now)
		var order work.Order
		for range 2 {
			orders := f.scheduler.Schedule(f.now, f.now)
			f.is.Equal(len(orders), 1)
			order = orders[0]
			f.answerOrder(order, work.OutcomeUnknown)
		}
		return f, order
	}
	lasting := newLongRunningJob("j", 1)
	t.Run("no stop while the worker answers no renewal", func(t *testing.T) {
		f, _ := unanswered(t, lasting)
		for range 20 {
			f.is.Equal(len(f.scheduleStops()), 0)
			f.now = f.now.Add(200 * time.Millisecond)
			f.scheduler.HandleMissedRenewal(incarnation("a"), f.now)
		}
	})
	t.Run("nor after the answer to a renewal that was sent before", func(t *testing.T) {
		f := newFixture(t)
		f.answerRenewal("a", work.Report{})
		f.scheduler.UpdateWorkers([]work.WorkerInfo{workerInfo("a")}, f.now)
		f.scheduler.AddJob(lasting, work.Progress{}, 11, false, f.now)
		renewal, ok := f.scheduler.PrepareRenewal(incarnation("a"), time.Second, f.now)
		f.is.True(ok)
		for range 2 {
			f.now = f.now.Add(200 * time.Millisecond)
			f.answerOrder(f.scheduler.Schedule(f.now, f.now)[0], work.OutcomeUnknown)
		}
		f.scheduler.HandleReport(incarnation("a"), renewal.Sequence, work.Report{WorkerClock: f.now.Sub(start) + time.Second}, f.now)
		f.is.Equal(len(f.scheduleStops()), 0)
	})
	t.Run("a stop once a report lacks the run, and again after a report that follows its loss", func(t *testing.T) {
		f, _ := unanswered(t, lasting)
		f.answerRenewal("a", work.Report{})
		stops := f.scheduleStops()
		f.is.Equal(len(stops), 1)
		f.answerOrder(stops[0], work.OutcomeUnknown)
		f.now = f.now.Add(time.Second)
		f.is.Equal(len(f.scheduleStops()), 0)
		f.answerRenewal("a", work.Report{})
		f.is.Equal(len(f.scheduleStops()), 1)
	})
	t.Run("the task starts again once the leases are over", func(t *testing.T) {
		f, first := unanswered(t, lasting)
		f.scheduler.HandleMissedRenewal(incarnation("a"), f.now)
		f.now = f.now.Add(longestLease)
		f.scheduler.SetHeldUntil(f.now)
		f.scheduler.UpdateWorkers([]work.WorkerInfo{workerInfo("b")}, f.now)
		f.answerRenewal("b", work.Report{})
		orders := f.scheduler.Schedule(f.now, f.now)
		f.is.Equal(len(orders), 1)
		f.is.Equal(orders[0].Kind, work.OrderStart)
		f.is.Equal(orders[0].Run.Task, first.Run.Task)
	})
	t.Run("a task that ends by itself is stopped at once", func(t *testing.T) {
		f, _ := unanswered(t, chainJob("j", 1))
		f.is.Equal(len(f.scheduleStops()), 1)
	})
}

// TestStartHeldUp guards against tasks that begin after their job was cancelled, or on a worker that is about to leave, by a
// start order that a paused or slow entry host sends long after its decision.
func TestStartHeldUp(t *testing.T) {
	cases := map[string]func(f *fixture){
		"job was cancelled":         func(f *fixture) { f.scheduler.CancelJob("j") },
		"cancellation is requested": func(f *fixture) { f.is.True(f.scheduler.RequestCancel("j")) },
		"workers are about to leave": func(f *fixture) {
			a, b := workerInfo("a"), workerInfo("b")
			a.Draining, b.Draining = true, true
			f.scheduler.UpdateWorkers([]work.WorkerInfo{a, b}, f.now)
		},
		"worker has ended": func(f *fixture) {
			f.scheduler.EndIncarnation(incarnation("a"))
			f.scheduler.EndIncarnation(incarnation("b"))
		},
		"workers have ended and are no longer listed": func(f *fixture) {
			f.scheduler.UpdateWorkers(nil, f.now)
			f.scheduler.EndIncarnation(incarnation("a"))
			f.scheduler.EndIncarnation(incarnation("b"))
		},
		"workers are no longer listed": func(f *fixture) { f.scheduler.UpdateWorkers(nil, f.now) },
		"cancellations since the decision are not known": func(f *fixture) {
			f.scheduler.SetSnapshotTimes(f.now, f.now)
			f.now = f.now.Add(3 * time.Second)
		},
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.answerRenewal("a", work.Report{})
			f.answerRenewal("b", work.Report{})
			f.scheduler.AddJob(chainJob("j", 1), work.Progress{}, 11, false, f.now)
			starts := f.scheduler.Schedule(f.now, f.now)
			f.is.Equal(len(starts), 1)
			f.is.True(f.scheduler.ConfirmOrder(starts[0], f.now))
			change(f)
			f.is.True(!f.scheduler.ConfirmOrder(starts[0], f.now))
		})
	}
}

// TestTaskOfUnsentStart guards against tasks that are never started, or run twice, after a start order was not sent.
func TestTaskOfUnsentStart(t *testing.T) {
	withStaleSnapshot := func(t *testing.T, repeated bool) (*fixture, work.Order) {
		f := newFixture(t)
		f.answerRenewal("a", work.Report{})
		f.answerRenewal("b", work.Report{})
		f.scheduler.AddJob(chainJob("j", 1), work.Progress{}, 11, false, f.now)
		f.scheduler.SetSnapshotTimes(f.now, f.now)
		starts := f.scheduler.Schedule(f.now, f.now)
		if repeated {
			f.answerOrder(starts[0], work.OutcomeUnknown)
			starts = f.scheduler.Schedule(f.now, f.now)
		}
		f.is.Equal(len(starts), 1)
		f.now = f.now.Add(3 * time.Second)
		f.is.True(!f.scheduler.ConfirmOrder(starts[0], f.now))
		f.answerRenewal("a", work.Report{})
		f.answerRenewal("b", work.Report{})
		f.scheduler.SetSnapshotTimes(f.now, f.now)
		f.now = f.now.Add(100 * time.Millisecond)
		return f, starts[0]
	}
	t.Run("task is started again", func(t *testing.T) {
		f, _ := withStaleSnapshot(t, false)
		starts := f.scheduler.Schedule(f.now, f.now)
		f.is.Equal(len(starts), 1)
		f.is.Equal(starts[0].Kind, work.OrderStart)
	})
	t.Run("task whose first order may have been carried out is stopped first", func(t *testing.T) {
		f, start := withStaleSnapshot(t, true)
		orders := f.scheduler.Schedule(f.now, f.now)
		f.is.Equal(len(orders), 1)
		f.assertStop(orders, start)
	})
}
