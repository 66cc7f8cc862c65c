package work_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"siskincross/core/work"
)

// takeOverFromRestarted returns a holder's fixture in which worker "a" has restarted since it got orders of an earlier holder.
// The later incarnation is listed and has not answered yet.
func takeOverFromRestarted(t *testing.T, j work.Job, maxLease time.Duration) (*fixture, work.Incarnation) {
	f := newFixture(t)
	f.scheduler = &work.Scheduler{Pool: "pool", Epoch: 10, Timing: work.Timing{MaxLease: maxLease}}
	restarted := workerInfo("a")
	restarted.Incarnation.StartMillis++
	f.scheduler.AddUnresolvedIncarnation(incarnation("a"), f.now)
	f.scheduler.UpdateWorkers([]work.WorkerInfo{restarted, workerInfo("b")}, f.now)
	f.scheduler.AddJob(j, work.Progress{}, 5, true, f.now)
	return f, restarted.Incarnation
}

// TestEndOnSilentSuccessor guards against a second run of a task whose start an earlier holder ordered from an incarnation
// that had ended: the later one carried it out, and lists its end once it answers.
func TestEndOnSilentSuccessor(t *testing.T) {
	// lastEnd is the latest end of a run whose start an earlier holder ordered: the order is carried out within 15 s, and the
	// longest lease by the slowest clock takes 6.2 s, rounded up.
	const maxLease, lastEnd = 6 * time.Second, 21200 * time.Millisecond
	silentFor := func(t *testing.T, d time.Duration) (*fixture, work.Incarnation) {
		f, successor := takeOverFromRestarted(t, chainJob("j", 1), maxLease)
		f.now = f.now.Add(d)
		f.scheduler.HandleMissedRenewal(successor, f.now)
		f.answerRenewal("b", work.Report{})
		return f, successor
	}
	for _, d := range []time.Duration{10 * time.Second, 21 * time.Second} {
		t.Run("end is waited for "+d.String(), func(t *testing.T) {
			f, successor := silentFor(t, d)
			f.assertNoStart(f.executeRound())
			renewal, ok := f.scheduler.PrepareRenewal(successor, 0, f.now)
			f.is.True(ok)
			end := work.RunEnd{Number: 1, Run: runID("j", 0, 0, 1), Reason: work.EndReasonDone}
			f.scheduler.HandleReport(successor, renewal.Sequence, work.Report{WorkerClock: time.Second, Ends: []work.RunEnd{end}}, f.now)
			f.assertNoStart(f.executeRound())
			f.is.Equal(f.scheduler.BeginCommit(1)[0].Progress.State, work.StateCompleted)
		})
	}
	t.Run("task starts once the run must have ended", func(t *testing.T) {
		f, _ := silentFor(t, lastEnd)
		f.is.Equal(len(f.executeRound()), 1)
	})
}

// TestLeaseOnSilentSuccessor guards against a long-running task that runs twice: its start was ordered from an incarnation
// that had ended, and the later one grants it the longest lease, since the deadline is by the clock of the former.
func TestLeaseOnSilentSuccessor(t *testing.T) {
	const maxLease, leaseBound = 10 * time.Second, 5300 * time.Millisecond // leaseBound: a lease by the slowest clock, rounded up
	startsAfter := func(t *testing.T, d time.Duration) int {
		f, successor := takeOverFromRestarted(t, newLongRunningJob("lasting", 1), maxLease)
		f.now = f.now.Add(d)
		f.scheduler.HandleMissedRenewal(successor, f.now)
		f.answerRenewal("b", work.Report{})
		return len(f.executeRound())
	}
	t.Run("task is not started while the longest lease may last", func(t *testing.T) {
		is.New(t).Equal(startsAfter(t, leaseBound), 0)
		is.New(t).Equal(startsAfter(t, maxLease), 0)
	})
	t.Run("task is started afterwards", func(t *testing.T) {
		is.New(t).Equal(startsAfter(t, maxLease+500*time.Millisecond), 1)
	})
}
