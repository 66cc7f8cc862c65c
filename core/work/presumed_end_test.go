package work_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"siskincross/core/work"
)

// newPresumedEndFixture returns a fixture on which a long-running task runs, and the presumed ends that the
// scheduler calls back with.
func newPresumedEndFixture(t *testing.T) (*fixture, *[]work.PresumedEnd) {
	f := newFixture(t)
	ends := &[]work.PresumedEnd{}
	f.scheduler.OnPresumedEnd = func(g work.PresumedEnd) { *ends = append(*ends, g) }
	f.answerRenewal("a", work.Report{})
	f.scheduler.AddJob(newLongRunningJob("j", 1), work.Progress{}, 1, false, f.now)
	f.is.Equal(len(f.executeRound()), 1)
	return f, ends
}

// TestPresumedEnd checks that the scheduler calls OnPresumedEnd, with the cause, for every run that it treats as
// ended without a report.
func TestPresumedEnd(t *testing.T) {
	t.Run("lease over", func(t *testing.T) {
		is := is.New(t)
		f, ends := newPresumedEndFixture(t)
		f.now = f.now.Add(time.Second)
		f.scheduler.HandleMissedRenewal(incarnation("a"), f.now)
		f.now = f.now.Add(8 * time.Second)
		f.scheduler.Schedule(f.now, f.now)
		is.Equal(len(*ends), 1)
		is.Equal((*ends)[0].Cause, work.CauseLeaseOver)
		is.Equal((*ends)[0].ConsecutiveMisses, 1)
		is.True((*ends)[0].WillRestart)
		is.True((*ends)[0].MinWorkerClock > (*ends)[0].LeaseDeadline)
		is.Equal((*ends)[0].SinceLastAnswer, 9*time.Second)
	})
	t.Run("incarnation over", func(t *testing.T) {
		is := is.New(t)
		f, ends := newPresumedEndFixture(t)
		f.now = f.now.Add(300 * time.Millisecond)
		f.scheduler.HandleMissedRenewal(incarnation("a"), f.now)
		f.scheduler.EndIncarnation(incarnation("a"))
		is.Equal(len(*ends), 1)
		is.Equal((*ends)[0].Cause, work.CauseLifeOver)
		is.Equal((*ends)[0].MinAge, time.Duration(0))
		is.Equal((*ends)[0].MaxAge, 300*time.Millisecond)
	})
	t.Run("absent", func(t *testing.T) {
		is := is.New(t)
		f, ends := newPresumedEndFixture(t)
		f.answerRenewal("a", work.Report{})
		is.Equal(len(*ends), 1)
		is.Equal((*ends)[0].Cause, work.CauseAbsent)
	})
	t.Run("reported ends are not presumed ends", func(t *testing.T) {
		is := is.New(t)
		f, ends := newPresumedEndFixture(t)
		f.answerRenewal("a", work.Report{Ends: []work.RunEnd{{Number: 1, Run: runID("j", 0, 0, 1), Reason: work.EndReasonFailed}}})
		is.Equal(len(*ends), 0)
	})
}

// TestUnheardEnd guards against a second run of a task whose first run ended while the holder could not get the
// report, and against a task that waits for ever for that report. An expired lease proves that nothing runs on a worker, but
// not that no run succeeded there.
func TestUnheardEnd(t *testing.T) {
	const silenceLimit = 10 * time.Second
	beginSilence := func(t *testing.T, j work.Job, d time.Duration) (*fixture, work.RunID) {
		f := newFixture(t)
		f.answerRenewal("a", work.Report{})
		f.scheduler.AddJob(j, work.Progress{}, 1, false, f.now)
		started := f.executeRound()[0].Run
		f.answerRenewal("a", work.Report{Active: []work.ActiveRun{{Run: started, SpeedPercent: 100}}})
		f.scheduler.HandleMissedRenewal(incarnation("a"), f.now)
		f.now = f.now.Add(d)
		f.answerRenewal("b", work.Report{})
		return f, started
	}
	begin := func(t *testing.T, j work.Job) (*fixture, work.RunID) {
		return beginSilence(t, j, silenceLimit-10*time.Millisecond)
	}
	t.Run("report of a listed worker is waited for", func(t *testing.T) {
		f, started := begin(t, chainJob("j", 1))
		f.assertNoStart(f.executeRound())
		f.answerRenewal("a", work.Report{Ends: []work.RunEnd{{Number: 1, Run: started, Reason: work.EndReasonDone}}})
		f.assertNoStart(f.executeRound())
	})
	t.Run("report of a listed worker is not waited for without limit", func(t *testing.T) {
		f, started := beginSilence(t, chainJob("j", 1), silenceLimit)
		orders := f.executeRound()
		f.is.Equal(len(orders), 1)
		f.is.Equal(orders[0].Incarnation, incarnation("b"))
		f.answerRenewal("a", work.Report{Ends: []work.RunEnd{{Number: 1, Run: started, Reason: work.EndReasonDone}}})
		orders = f.executeRound()
		f.is.Equal(len(orders), 1)
		f.is.Equal(orders[0].Kind, work.OrderStop)
		f.is.Equal(orders[0].Incarnation, incarnation("b"))
		f.is.Equal(f.scheduler.BeginCommit(1)[0].Progress.State, work.StateCompleted)
	})
	// The answer to the start is lost, and the worker restarts: its next incarnation may carry the order out, and never answers.
	t.Run("later incarnation that never answers is not waited for without limit", func(t *testing.T) {
		const lastEnd = 21200 * time.Millisecond // an order is carried out within 15 s, and its lease takes 6.2 s, rounded up
		f := newFixture(t)
		f.answerRenewal("a", work.Report{})
		f.scheduler.AddJob(chainJob("j", 1), work.Progress{}, 1, false, f.now)
		order := f.scheduler.Schedule(f.now, f.now)[0]
		f.scheduler.HandleResult(order, work.OrderResult{Outcome: work.OutcomeUnknown}, f.now)
		restarted := workerInfo("a")
		restarted.Incarnation.StartMillis++
		f.scheduler.UpdateWorkers([]work.WorkerInfo{restarted, workerInfo("b")}, f.now)
		f.scheduler.HandleMissedRenewal(restarted.Incarnation, f.now)
		// startsOnB counts the starts on "b" of a round in which "a" answers no order.
		startsOnB := func() int {
			starts := 0
			f.answerRenewal("b", work.Report{})
			for _, o := range f.scheduler.Schedule(f.now, f.now) {
				if o.Incarnation == incarnation("b") {
					starts++
					continue
				}
				f.scheduler.HandleResult(o, work.OrderResult{Outcome: work.OutcomeUnknown}, f.now)
			}
			return starts
		}
		f.now = f.now.Add(lastEnd - 200*time.Millisecond)
		f.is.Equal(startsOnB(), 0)
		f.now = f.now.Add(200 * time.Millisecond)
		f.is.Equal(startsOnB(), 1)
	})
	t.Run("task starts again after a reported lapse", func(t *testing.T) {
		f, started := begin(t, chainJob("j", 1))
		f.answerRenewal("a", work.Report{Ends: []work.RunEnd{{Number: 1, Run: started, Reason: work.EndReasonLapsed}}})
		f.is.Equal(len(f.executeRound()), 1)
	})
	t.Run("worker that is no longer listed is not waited for", func(t *testing.T) {
		f, _ := begin(t, chainJob("j", 1))
		f.scheduler.UpdateWorkers([]work.WorkerInfo{workerInfo("b")}, f.now)
		f.is.Equal(f.executeRound()[0].Incarnation.Worker, "b")
	})
	t.Run("long-running task never ends by itself and starts elsewhere", func(t *testing.T) {
		f, _ := begin(t, newLongRunningJob("j", 1))
		f.is.Equal(f.executeRound()[0].Incarnation.Worker, "b")
	})
}

// TestWorkerOfNoEarlierHolder guards against tasks that wait for a lease that nobody can have granted: workers may grant much
// longer leases than holders ask for, and a worker that joined after the takeover has heard of no earlier holder.
func TestWorkerOfNoEarlierHolder(t *testing.T) {
	const maxLease, leaseBound = 10 * time.Second, 5200 * time.Millisecond // leaseBound: a lease by the slowest clock, rounded up
	// restarts reports whether the task is started again this long after its worker fell silent.
	restarts := func(t *testing.T, rostered bool, after time.Duration) bool {
		f := newFixture(t)
		f.scheduler = &work.Scheduler{Pool: "pool", Epoch: 10, Timing: work.Timing{MaxLease: maxLease}}
		f.scheduler.UpdateWorkers([]work.WorkerInfo{workerInfo("a")}, f.now)
		if rostered {
			f.scheduler.AddUnresolvedIncarnation(incarnation("a"), f.now)
		}
		f.answerRenewal("a", work.Report{})
		f.scheduler.AddJob(newLongRunningJob("j", 1), work.Progress{}, 11, false, f.now)
		f.is.Equal(len(f.executeRound()), 1)
		f.scheduler.UpdateWorkers([]work.WorkerInfo{workerInfo("a"), workerInfo("b")}, f.now)
		f.now = f.now.Add(after)
		f.scheduler.HandleMissedRenewal(incarnation("a"), f.now)
		f.answerRenewal("b", work.Report{})
		return len(f.executeRound()) == 1
	}
	t.Run("own lease alone is waited for", func(t *testing.T) {
		is := is.New(t)
		is.True(!restarts(t, false, 5*time.Second))
		is.True(restarts(t, false, leaseBound))
	})
	t.Run("worker on the roster may have the longest lease of an earlier holder", func(t *testing.T) {
		is := is.New(t)
		is.True(!restarts(t, true, maxLease))
		is.True(restarts(t, true, maxLease+500*time.Millisecond))
	})
}
