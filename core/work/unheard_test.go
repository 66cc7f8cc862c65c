package work_test

import (
	"fmt"
	"testing"
	"time"

	"siskincross/core/work"
)

// TestEndsBeyondFirstReport guards against a second run of a task whose end a worker has listed to an earlier holder, and lists to the
// next one only in its second report: a report has at most MaxEndsPerReport ends.
func TestEndsBeyondFirstReport(t *testing.T) {
	f := withBoard(t)
	f.board.AddUnresolvedIncarnation(life("a"), f.now)
	f.board.AddJob(chain("j", 1), work.Progress{}, 5, true, f.now)
	f.hear("b", work.Report{})
	first := make([]work.RunEnd, work.MaxEndsPerReport)
	for i := range first {
		first[i] = work.RunEnd{Number: uint64(i + 1), Run: run(work.JobID(fmt.Sprint("other", i)), 0, 0, 1), Reason: work.EndReasonDone}
	}
	f.hear("a", work.Report{Ends: first})
	f.assertNoStart(f.orders())
	f.hear("a", work.Report{Ends: []work.RunEnd{{Number: work.MaxEndsPerReport + 1, Run: run("j", 0, 0, 1), Reason: work.EndReasonDone}}})
	f.assertNoStart(f.orders())
}

// TestRepeatOnOutdatedKnowledge guards against a late start of a cancelled job by the repeat of a start that got no answer, while the
// holder does not hear of cancels.
func TestRepeatOnOutdatedKnowledge(t *testing.T) {
	f := withBoard(t)
	f.hear("a", work.Report{})
	f.board.AddJob(chain("j", 1), work.Progress{}, 1, false, f.now)
	f.board.SetSnapshotTimes(f.now.Add(-2*time.Second), f.now)
	orders := f.board.Schedule(f.now, f.now)
	f.is.Equal(len(orders), 1)
	f.now = f.now.Add(time.Second)
	f.board.HandleResult(orders[0], work.OrderResult{Outcome: work.OutcomeUnknown}, f.now)
	f.assertNoStart(f.orders())
}

// TestGangEndOfOneMember guards against a gang that waits for ever for the end of a member whose worker is gone: members end as done
// together, and one such end stands for all.
func TestGangEndOfOneMember(t *testing.T) {
	f := withBoard(t)
	f.hear("a", work.Report{})
	f.hear("b", work.Report{})
	j := chain("j", 2)
	j.Steps[0].Gang, j.Steps[0].SpreadLimit = true, 1
	f.board.AddJob(j, work.Progress{}, 1, false, f.now)
	orders := f.orders()
	f.is.Equal(len(orders), 2)
	f.hear("a", work.Report{Ends: []work.RunEnd{{Number: 1, Run: run("j", 0, 0, orders[0].Run.Attempt), Reason: work.EndReasonDone}}})
	f.board.EndIncarnation(life("b"))
	f.board.UpdateWorkers([]work.WorkerInfo{listing("a")}, f.now)
	state, known := f.board.JobState("j")
	f.is.True(!known || state == work.StateCompleted)
	changes := f.board.BeginCommit(10)
	f.is.Equal(changes[0].Progress.State, work.StateCompleted)
}

// TestAnswerReadLate guards against believing an answer to be as new as the moment in which a process that was short of its processor
// read it.
func TestAnswerReadLate(t *testing.T) {
	// late plays a renewal whose answer the worker gave at once and the holder reads after a time.
	late := func(f *fixture, id string, delay time.Duration, r work.Report) {
		renewal, _ := f.board.PrepareRenewal(life(id), 0, f.now)
		r.WorkerClock = f.now.Sub(start) + time.Second
		f.now = f.now.Add(delay)
		f.board.HandleReport(life(id), renewal.Sequence, r, f.now)
	}
	t.Run("nothing is started on it", func(t *testing.T) {
		f := withBoard(t)
		f.hear("a", work.Report{})
		f.board.AddJob(chain("j", 1), work.Progress{}, 1, false, f.now)
		late(f, "a", 5*time.Second, work.Report{})
		f.assertNoStart(f.orders())
	})
	t.Run("it does not shorten leases", func(t *testing.T) {
		f := withBoard(t)
		f.hear("a", work.Report{})
		late(f, "a", 2*time.Second, work.Report{})
		renewal, _ := f.board.PrepareRenewal(life("a"), 0, f.now)
		f.is.True(renewal.LeaseDeadline-(f.now.Sub(start)+time.Second) >= 4900*time.Millisecond)
	})
	t.Run("no task is evacuated on it", func(t *testing.T) {
		f := withBoard(t)
		f.board.UpdateWorkers([]work.WorkerInfo{listing("a"), listing("b"), listing("c")}, f.now)
		f.hear("a", work.Report{})
		f.hear("b", work.Report{})
		f.hear("c", work.Report{})
		f.board.AddJob(lastingJob("j", 2), work.Progress{}, 1, false, f.now)
		by := make(map[string]work.RunID)
		for _, o := range f.orders() {
			by[o.Incarnation.Worker] = o.Run
		}
		f.is.Equal(len(by), 2)
		var workers []string
		for id, r := range by {
			workers = append(workers, id)
			f.hear(id, work.Report{Active: []work.ActiveRun{{Run: r, SpeedPercent: 100}}})
		}
		f.board.SetWithdrawn(map[string]bool{workers[0]: true}, f.now)
		late(f, workers[1], 4*time.Second, work.Report{Active: []work.ActiveRun{{Run: by[workers[1]], SpeedPercent: 100}}})
		f.hear(workers[0], work.Report{Active: []work.ActiveRun{{Run: by[workers[0]], SpeedPercent: 100}}})
		for id := range map[string]bool{"a": true, "b": true, "c": true} {
			if by[id] == (work.RunID{}) {
				f.hear(id, work.Report{})
			}
		}
		for _, o := range f.orders() {
			f.is.True(o.Kind != work.OrderStop)
		}
	})
}

// TestGangMemberNotSent guards against members that wait for one whose start the holder could not send: they would end alone.
func TestGangMemberNotSent(t *testing.T) {
	for _, verdict := range []work.Outcome{work.OutcomeNotSent, work.OutcomeNoRoom} {
		t.Run(verdict.String(), func(t *testing.T) {
			f := withBoard(t)
			f.hear("a", work.Report{})
			f.hear("b", work.Report{})
			j := chain("j", 2)
			j.Steps[0].Gang, j.Steps[0].SpreadLimit = true, 1
			f.board.AddJob(j, work.Progress{}, 1, false, f.now)
			orders := f.board.Schedule(f.now, f.now)
			f.is.Equal(len(orders), 2)
			mate := orders[0].Run
			f.board.HandleResult(orders[0], work.OrderResult{Outcome: work.OutcomeOK, WorkerClock: f.now.Sub(start) + time.Second}, f.now)
			f.board.HandleResult(orders[1], work.OrderResult{Outcome: verdict}, f.now)
			cared := false
			for range 20 {
				f.hear(orders[0].Incarnation.Worker, work.Report{Active: []work.ActiveRun{{Run: mate}}})
				f.hear(orders[1].Incarnation.Worker, work.Report{})
				f.now = f.now.Add(50 * time.Millisecond)
				for _, o := range f.orders() {
					cared = cared || (o.Kind == work.OrderStop && o.Run == mate) ||
						(o.Kind == work.OrderStart && o.Run.Task == orders[1].Run.Task && o.Run.Attempt == mate.Attempt)
				}
			}
			f.is.True(cared)
		})
	}
}
