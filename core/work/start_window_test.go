package work_test

import (
	"testing"
	"time"

	"siskincross/core/work"
)

const (
	// promptAnswer and lateAnswer are times from the decision about a start to its answer.
	promptAnswer = 5 * time.Millisecond
	lateAnswer   = 300 * time.Millisecond
	// settlingRounds is the number of rounds after which the limit of unanswered starts has settled.
	settlingRounds = 60
)

// refuseStarts simulates rounds in which each start is refused for want of room after this time. It returns the number of starts
// in the last round.
func (f *fixture) refuseStarts(rounds int, after time.Duration) int {
	n := 0
	for range rounds {
		orders := f.scheduler.Schedule(f.now, f.now)
		n = len(orders)
		f.now = f.now.Add(after)
		for _, o := range orders {
			f.answerOrder(o, work.OutcomeNoRoom)
		}
		f.now = f.now.Add(200 * time.Millisecond) // the workers accept tasks again
		f.renewAll(nil)
	}
	return n
}

// renewAll simulates a renewal of each worker, which lists the runs of these orders.
func (f *fixture) renewAll(started []work.Order) {
	for _, inc := range f.scheduler.IncarnationsToRenew() {
		renewal, ok := f.scheduler.PrepareRenewal(inc, 0, f.now)
		f.is.True(ok)
		report := runningReport(started, inc.Worker)
		report.WorkerClock = f.now.Sub(start) + time.Second
		f.scheduler.HandleReport(inc, renewal.Sequence, report, f.now)
	}
}

// TestSlowStarts guards against leases that run out because a holder that is short of processor time is busy with starts.
func TestSlowStarts(t *testing.T) {
	const workers, tasks = 60, 400
	f := newPoolFixture(t, workers)
	f.scheduler.AddJob(chainJob("j", tasks), work.Progress{}, 11, false, f.now)
	f.is.Equal(f.refuseStarts(1, promptAnswer), 100)
	f.is.Equal(f.refuseStarts(settlingRounds, lateAnswer), 20)
	f.is.Equal(f.scheduler.StartLimit(), 20)
	f.is.Equal(f.refuseStarts(settlingRounds, promptAnswer), 100)
}

// TestRepeatedStartsAreNotSlow guards against a holder that starts less because answers were lost: the time of a repeated start is
// not that of the holder.
func TestRepeatedStartsAreNotSlow(t *testing.T) {
	const workers, tasks = 60, 100
	f := newPoolFixture(t, workers)
	f.scheduler.AddJob(chainJob("j", tasks), work.Progress{}, 11, false, f.now)
	starts := f.scheduler.Schedule(f.now, f.now)
	f.is.Equal(len(starts), tasks)
	f.now = f.now.Add(lateAnswer)
	for _, o := range starts {
		f.answerOrder(o, work.OutcomeUnknown)
	}
	repeated := f.scheduler.Schedule(f.now, f.now)
	f.is.Equal(len(repeated), tasks)
	for _, o := range repeated {
		f.answerOrder(o, work.OutcomeOK)
	}
	f.renewAll(starts)
	f.scheduler.AddJob(chainJob("k", tasks), work.Progress{}, 11, false, f.now)
	f.is.Equal(len(f.scheduler.Schedule(f.now, f.now)), tasks)
}
