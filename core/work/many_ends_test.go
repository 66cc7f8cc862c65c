package work_test

import (
	"fmt"
	"testing"
	"time"

	"siskincross/core/work"
)

// endsReader reads the ends of worker "a" page by page.
type endsReader struct {
	*fixture
	ends         []work.RunEnd
	acknowledged uint64
	// stored is the stored progress of the job that the ends belong to.
	stored work.Progress
}

// readPage simulates a report of the worker and a commit of what it says.
func (r *endsReader) readPage() {
	r.now = r.now.Add(10 * time.Millisecond)
	renewal, ok := r.scheduler.PrepareRenewal(incarnation("a"), 0, r.now)
	r.is.True(ok)
	r.acknowledged = max(r.acknowledged, renewal.AcknowledgedEnd)
	listed := r.ends[r.acknowledged:min(int(r.acknowledged)+work.MaxEndsPerReport, len(r.ends))]
	r.scheduler.HandleReport(incarnation("a"), renewal.Sequence, work.Report{WorkerClock: r.now.Sub(start) + time.Second, Ends: listed}, r.now)
	changes := r.scheduler.BeginCommit(10)
	for _, c := range changes {
		r.stored = c.Progress
	}
	r.scheduler.CompleteCommit(changes, 100)
}

// TestManyEndsAtTakeover guards against a takeover that never ends because a worker has more ends than one report holds: it
// lists the next ones only when the first are acknowledged, which waited until all of them were known.
func TestManyEndsAtTakeover(t *testing.T) {
	const manyEnds = 1200
	takeOver := func(t *testing.T, count int) *endsReader {
		r := &endsReader{fixture: newFixture(t), ends: make([]work.RunEnd, count)}
		r.scheduler.AddUnresolvedIncarnation(incarnation("a"), r.now)
		r.scheduler.AddUnresolvedIncarnation(incarnation("b"), r.now)
		r.scheduler.AddJob(chainJob("j", count, 1), work.Progress{}, 5, true, r.now)
		for i := range r.ends {
			r.ends[i] = work.RunEnd{Number: uint64(i + 1), Run: runID("j", 0, i, 1), Reason: work.EndReasonDone}
		}
		return r
	}
	assertLastStepStarts := func(r *endsReader) {
		r.is.Equal(len(r.scheduler.UnresolvedIncarnations(r.now)), 0)
		r.answerRenewal("b", work.Report{})
		orders := r.executeRound()
		r.is.Equal(len(orders), 1)
		r.is.Equal(orders[0].Run.Task, work.TaskID{Job: "j", Step: 1})
	}
	for _, count := range []int{500, manyEnds, 10_000} {
		t.Run(fmt.Sprintf("%d ends are read page by page", count), func(t *testing.T) {
			r := takeOver(t, count)
			r.answerRenewal("b", work.Report{})
			for range count/work.MaxEndsPerReport + 1 {
				r.assertNoStart(r.executeRound())
				r.readPage()
			}
			assertLastStepStarts(r)
			r.readPage() // the worker may have been told to start the last step, and acknowledgements wait for its report
			r.readPage()
			r.is.Equal(r.acknowledged, uint64(count))
		})
	}
	t.Run("silent worker holds up no acknowledgement if replaced holders are suspended", func(t *testing.T) {
		r := takeOver(t, manyEnds)
		r.scheduler.SetValidity(r.now.Add(time.Minute))
		for range 5 {
			r.readPage()
			r.assertNoStart(r.executeRound())
		}
		r.is.Equal(r.acknowledged, uint64(manyEnds))
	})
	t.Run("silent worker holds up acknowledgements if an earlier holder may go on", func(t *testing.T) {
		r := takeOver(t, manyEnds)
		for range 5 {
			r.readPage()
		}
		r.is.Equal(r.acknowledged, uint64(0))
	})
	t.Run("nothing is acknowledged before it is stored", func(t *testing.T) {
		r := takeOver(t, work.MaxEndsPerReport)
		r.answerRenewal("b", work.Report{})
		for range 3 {
			r.is.Equal(r.answerRenewal("a", work.Report{Ends: r.ends}).AcknowledgedEnd, uint64(0))
		}
	})
	t.Run("worker restarts between two pages", func(t *testing.T) {
		r := takeOver(t, manyEnds)
		r.answerRenewal("b", work.Report{})
		r.readPage()
		r.readPage()
		r.is.Equal(r.acknowledged, uint64(work.MaxEndsPerReport))
		r.scheduler.ReplaceIncarnation(incarnation("a"), 2, r.now)
		restarted := work.Incarnation{Worker: "a", StartMillis: 2}
		renewal, ok := r.scheduler.PrepareRenewal(restarted, 0, r.now)
		r.is.True(ok)
		r.scheduler.HandleReport(restarted, renewal.Sequence, work.Report{WorkerClock: time.Second}, r.now)
		r.is.Equal(len(r.scheduler.UnresolvedIncarnations(r.now)), 0)
		r.answerRenewal("b", work.Report{})
		orders := r.executeRound()
		r.is.True(len(orders) > 0)
		for _, o := range orders { // the pages that were read count, the others are lost with the worker
			r.is.Equal(o.Run.Task.Step, 0)
			r.is.True(o.Run.Task.Index >= 2*work.MaxEndsPerReport)
		}
	})
	t.Run("holder changes between two pages", func(t *testing.T) {
		r := takeOver(t, manyEnds)
		r.answerRenewal("b", work.Report{})
		r.readPage()
		r.readPage()
		r.scheduler = &work.Scheduler{Pool: "pool", Epoch: 20, Term: 1}
		r.scheduler.UpdateWorkers([]work.WorkerInfo{workerInfo("a"), workerInfo("b")}, r.now)
		r.scheduler.AddUnresolvedIncarnation(incarnation("a"), r.now)
		r.scheduler.AddJob(chainJob("j", manyEnds, 1), r.stored, 5, true, r.now)
		for range 2 {
			r.answerRenewal("b", work.Report{})
			r.assertNoStart(r.executeRound())
			r.readPage()
		}
		assertLastStepStarts(r)
		r.readPage()
		r.readPage()
		r.is.Equal(r.acknowledged, uint64(manyEnds))
	})
}
