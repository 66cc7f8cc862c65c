package work_test

import (
	"testing"

	"siskincross/core/work"
)

// TestFormerIncarnationFencedOff guards against a call to a former incarnation of a worker that the next one carries out after it has
// answered: a renewal that acknowledges ends or extends leases, a start, a stop.
func TestFormerIncarnationFencedOff(t *testing.T) {
	renew := func(f *fixture, inc work.Incarnation) work.Renewal {
		r, ok := f.scheduler.PrepareRenewal(inc, 0, f.now)
		f.is.True(ok)
		return r
	}
	t.Run("calls to the next incarnation carry a higher token", func(t *testing.T) {
		f := newFixture(t)
		former := f.answerRenewal("a", work.Report{})
		f.scheduler.UpdateWorkers([]work.WorkerInfo{laterIncarnation("a")}, f.now)
		next := renew(f, laterIncarnation("a").Incarnation)
		f.is.True(next.FencingToken() > former.FencingToken())
	})
	t.Run("also if the former one was forgotten meanwhile", func(t *testing.T) {
		f := newFixture(t)
		former := f.answerRenewal("a", work.Report{})
		f.scheduler.UpdateWorkers([]work.WorkerInfo{workerInfo("b")}, f.now)
		f.scheduler.UpdateWorkers([]work.WorkerInfo{laterIncarnation("a")}, f.now)
		next := renew(f, laterIncarnation("a").Incarnation)
		f.is.True(next.FencingToken() > former.FencingToken())
	})
	t.Run("the next holder's calls carry a higher one still", func(t *testing.T) {
		later := work.Renewal{Endpoint: work.Endpoint{Generation: 255}, Epoch: 10}
		f := newFixture(t)
		f.scheduler = &work.Scheduler{Pool: "pool", Epoch: 11}
		f.scheduler.UpdateWorkers([]work.WorkerInfo{workerInfo("a")}, f.now)
		f.is.True(renew(f, incarnation("a")).FencingToken() > later.FencingToken())
	})
	t.Run("an order that the next incarnation refuses doesn't end the duty", func(t *testing.T) {
		f := newFixture(t)
		f.answerRenewal("a", work.Report{})
		f.scheduler.UpdateWorkers([]work.WorkerInfo{workerInfo("a")}, f.now)
		f.scheduler.AddJob(chainJob("j", 1), work.Progress{}, 11, false, f.now)
		orders := f.scheduler.Schedule(f.now, f.now)
		f.is.Equal(len(orders), 1)
		f.scheduler.UpdateWorkers([]work.WorkerInfo{laterIncarnation("a")}, f.now)
		f.is.True(f.scheduler.HandleResult(orders[0], work.OrderResult{Outcome: work.OutcomeFenced}, f.now))
	})
	t.Run("one that the only known incarnation refuses does", func(t *testing.T) {
		f := newFixture(t)
		f.answerRenewal("a", work.Report{})
		f.scheduler.AddJob(chainJob("j", 1), work.Progress{}, 11, false, f.now)
		orders := f.scheduler.Schedule(f.now, f.now)
		f.is.Equal(len(orders), 1)
		f.is.True(!f.scheduler.HandleResult(orders[0], work.OrderResult{Outcome: work.OutcomeFenced}, f.now))
	})
}
