package work_test

import (
	"testing"

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
	}
	worker := started.Incarnation.Worker
	f.answerRenewal(worker, runningReport([]work.Order{started}, worker))
	f.is.True(!f.scheduler.ConfirmOrder(stop, f.now))
	f.answerRenewal(worker, runningReport([]work.Order{started}, worker))
	f.is.Equal(len(f.scheduleStops()), 0)
}
