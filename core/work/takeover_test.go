package work_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"siskincross/core/work"
)

// start is the time at which the tests of single schedulers begin.
var start = time.Unix(1_700_000_000, 0)

// fixture is a scheduler with the workers "a" and "b".
type fixture struct {
	is        *is.I
	scheduler *work.Scheduler
	now       time.Time
	// runningByWorker holds the started runs, and endsByWorker the ends that a worker lists.
	runningByWorker map[string][]startedRun
	endsByWorker    map[string][]work.RunEnd
	// unanswered holds the start orders of the first round that have no answer yet.
	unanswered []work.Order
}

type startedRun struct {
	id        work.RunID
	startedAt time.Time
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{
		is: is.New(t), scheduler: &work.Scheduler{Pool: "pool", Epoch: 10}, now: start,
		runningByWorker: make(map[string][]startedRun), endsByWorker: make(map[string][]work.RunEnd),
	}
	f.scheduler.UpdateWorkers([]work.WorkerInfo{workerInfo("a"), workerInfo("b")}, f.now)
	return f
}

func incarnation(id string) work.Incarnation { return work.Incarnation{Worker: id, StartMillis: 1} }

func workerInfo(id string) work.WorkerInfo {
	return work.WorkerInfo{
		Incarnation: incarnation(id), Address: id, Pool: "pool", Rack: "rack-" + id, Capacity: work.Resources{MilliCores: 4000, MemoryMB: 4000},
	}
}

// chainJob returns a job of consecutive steps with this number of one-core tasks each.
func chainJob(id work.JobID, tasks ...int) work.Job {
	j := work.Job{ID: id, MaxFailedAttempts: 2}
	for i, n := range tasks {
		s := work.Step{TaskCount: n, Demand: work.Resources{MilliCores: 1000, MemoryMB: 100}, Estimate: time.Second}
		if i > 0 {
			s.DependsOn = []int{i - 1}
		}
		j.Steps = append(j.Steps, s)
	}
	return j
}

// answerRenewal simulates a renewal that the worker answers with this report.
func (f *fixture) answerRenewal(id string, r work.Report) work.Renewal {
	f.now = f.now.Add(10 * time.Millisecond)
	renewal, ok := f.scheduler.PrepareRenewal(incarnation(id), 0, f.now)
	f.is.True(ok)
	r.WorkerClock = f.now.Sub(start) + time.Second
	f.scheduler.HandleReport(incarnation(id), renewal.Sequence, r, f.now)
	return renewal
}

// executeRound simulates a round in which every order is carried out.
func (f *fixture) executeRound() []work.Order {
	orders := f.scheduler.Schedule(f.now, f.now)
	for _, o := range orders {
		f.is.True(f.scheduler.HandleResult(o, work.OrderResult{WorkerClock: f.now.Sub(start) + time.Second}, f.now))
		if o.Kind == work.OrderStart {
			f.runningByWorker[o.Incarnation.Worker] = append(f.runningByWorker[o.Incarnation.Worker], startedRun{o.Run, f.now})
		}
	}
	return orders
}

func runID(id work.JobID, step, index, attempt int) work.RunID {
	return work.RunID{Task: work.TaskID{Job: id, Step: step, Index: index}, Attempt: attempt}
}

func (f *fixture) assertNoStart(orders []work.Order) {
	for _, o := range orders {
		if o.Kind == work.OrderStart {
			f.is.Equal(o.Run.String(), "no start")
		}
	}
}

func TestTakeover(t *testing.T) {
	// The ends of two consecutive steps are on two workers, and that of the later step is reported first.
	t.Run("end of a later step is reported first", func(t *testing.T) {
		f := newFixture(t)
		f.scheduler.AddUnresolvedIncarnation(incarnation("a"), f.now)
		f.scheduler.AddUnresolvedIncarnation(incarnation("b"), f.now)
		f.scheduler.AddJob(chainJob("j", 1, 2), work.Progress{}, 5, true, f.now)
		f.answerRenewal("a", work.Report{Ends: []work.RunEnd{{Number: 1, Run: runID("j", 1, 0, 1)}}})
		f.answerRenewal("b", work.Report{Ends: []work.RunEnd{{Number: 1, Run: runID("j", 0, 0, 1)}}})
		orders := f.executeRound()
		f.is.Equal(len(orders), 1)
		f.is.Equal(orders[0].Run.Task, work.TaskID{Job: "j", Step: 1, Index: 1})
		f.is.Equal(f.answerRenewal("a", work.Report{}).AcknowledgedEnd, uint64(0)) // the end is not stored yet
	})
	t.Run("run of a step whose dependencies are not known to be done continues", func(t *testing.T) {
		f := newFixture(t)
		f.scheduler.AddUnresolvedIncarnation(incarnation("a"), f.now)
		f.scheduler.AddUnresolvedIncarnation(incarnation("b"), f.now)
		f.scheduler.AddJob(chainJob("j", 1, 1), work.Progress{}, 5, true, f.now)
		f.answerRenewal("a", work.Report{Active: []work.ActiveRun{{Run: runID("j", 1, 0, 1)}}})
		f.answerRenewal("b", work.Report{Ends: []work.RunEnd{{Number: 1, Run: runID("j", 0, 0, 1)}}})
		f.is.Equal(len(f.executeRound()), 0)
	})
	t.Run("worker that does not answer may run anything until its leases expire", func(t *testing.T) {
		f := newFixture(t)
		f.scheduler.AddUnresolvedIncarnation(incarnation("a"), f.now)
		f.scheduler.AddUnresolvedIncarnation(incarnation("b"), f.now)
		f.scheduler.AddJob(chainJob("j", 1), work.Progress{}, 5, true, f.now)
		f.scheduler.AddJob(chainJob("new", 1), work.Progress{}, 11, false, f.now)
		f.answerRenewal("a", work.Report{})
		orders := f.executeRound()
		f.is.Equal(len(orders), 1)
		f.is.Equal(orders[0].Run.Task.Job, work.JobID("new"))
		f.scheduler.UpdateWorkers([]work.WorkerInfo{workerInfo("a")}, f.now)
		f.now = f.now.Add(7 * time.Second)
		f.answerRenewal("a", work.Report{Active: []work.ActiveRun{{Run: orders[0].Run}}})
		f.is.Equal(len(f.executeRound()), 1)
	})
	t.Run("lease of an earlier holder is waited for while its worker is unreachable", func(t *testing.T) {
		f := newFixture(t)
		f.scheduler.AddUnresolvedIncarnation(incarnation("a"), f.now)
		f.scheduler.AddJob(chainJob("j", 1), work.Progress{}, 5, true, f.now)
		f.answerRenewal("a", work.Report{Active: []work.ActiveRun{{Run: runID("j", 0, 0, 1)}}})
		f.answerRenewal("b", work.Report{})
		f.scheduler.HandleMissedRenewal(incarnation("a"), f.now)
		f.assertNoStart(f.executeRound())
		f.now = f.now.Add(5900 * time.Millisecond)
		f.answerRenewal("b", work.Report{})
		f.assertNoStart(f.executeRound())
		f.now = f.now.Add(400 * time.Millisecond)
		f.answerRenewal("b", work.Report{})
		f.assertNoStart(f.executeRound()) // the run may have succeeded before the lease expired
		f.scheduler.UpdateWorkers([]work.WorkerInfo{workerInfo("b")}, f.now)
		f.is.Equal(len(f.executeRound()), 1)
	})
}

// TestStall guards against starts by a holder that was paused for so long that another process may have taken
// over the duty.
func TestStall(t *testing.T) {
	f := newFixture(t)
	f.answerRenewal("a", work.Report{})
	f.answerRenewal("b", work.Report{})
	f.now = f.now.Add(6 * time.Second)
	f.scheduler.AddJob(chainJob("j", 1), work.Progress{}, 11, false, f.now)
	f.assertNoStart(f.executeRound())
	f.answerRenewal("b", work.Report{})
	f.is.Equal(f.executeRound()[0].Incarnation.Worker, "b")
}

func TestRepeat(t *testing.T) {
	startUnanswered := func(t *testing.T) (*fixture, work.Order) {
		f := newFixture(t)
		f.answerRenewal("a", work.Report{})
		f.answerRenewal("b", work.Report{})
		f.scheduler.AddJob(chainJob("j", 1), work.Progress{}, 11, false, f.now)
		first := f.scheduler.Schedule(f.now, f.now)[0]
		f.scheduler.HandleResult(first, work.OrderResult{Outcome: work.OutcomeUnknown}, f.now)
		orders := f.scheduler.Schedule(f.now, f.now)
		f.is.Equal(len(orders), 1)
		f.is.Equal(orders[0], first)
		return f, first
	}
	t.Run("unanswered start is repeated, and runs", func(t *testing.T) {
		f, o := startUnanswered(t)
		f.scheduler.HandleResult(o, work.OrderResult{WorkerClock: time.Second}, f.now)
		f.is.Equal(len(f.scheduler.Schedule(f.now, f.now)), 0)
		f.answerRenewal(o.Incarnation.Worker, work.Report{Active: []work.ActiveRun{{Run: o.Run}}})
		f.is.Equal(len(f.scheduler.Schedule(f.now, f.now)), 0)
	})
	t.Run("run is stopped after a second unanswered start", func(t *testing.T) {
		f, o := startUnanswered(t)
		f.scheduler.HandleResult(o, work.OrderResult{Outcome: work.OutcomeUnknown}, f.now)
		f.is.Equal(f.scheduler.Schedule(f.now, f.now)[0].Kind, work.OrderStop)
	})
	// The first order was executed, and the run ended before the repeat arrived.
	t.Run("repeat that is refused as old waits for the report of the end", func(t *testing.T) {
		f, o := startUnanswered(t)
		f.scheduler.HandleResult(o, work.OrderResult{Outcome: work.OutcomeOld, WorkerClock: time.Second}, f.now)
		f.assertNoStart(f.executeRound())
		f.answerRenewal(o.Incarnation.Worker, work.Report{Ends: []work.RunEnd{{Number: 1, Run: o.Run}}})
		f.assertNoStart(f.executeRound())
		f.is.Equal(len(f.scheduler.BeginCommit(1)), 1)
	})
	t.Run("refused repeat is stopped, since the first order may still be carried out", func(t *testing.T) {
		f, o := startUnanswered(t)
		f.scheduler.HandleResult(o, work.OrderResult{Outcome: work.OutcomeNoRoom, WorkerClock: time.Second}, f.now)
		f.is.Equal(f.scheduler.Schedule(f.now, f.now)[0].Kind, work.OrderStop)
	})
	// The worker announced that it leaves after the first order, and the repeat came after the time for new tasks.
	t.Run("draining worker gets no repeat", func(t *testing.T) {
		f := newFixture(t)
		f.answerRenewal("a", work.Report{})
		f.scheduler.AddJob(chainJob("j", 1), work.Progress{}, 11, false, f.now)
		first := f.scheduler.Schedule(f.now, f.now)[0]
		f.scheduler.HandleResult(first, work.OrderResult{Outcome: work.OutcomeUnknown}, f.now)
		leaving := workerInfo("a")
		leaving.Draining = true
		f.scheduler.UpdateWorkers([]work.WorkerInfo{leaving, workerInfo("b")}, f.now)
		f.assertNoStart(f.scheduler.Schedule(f.now, f.now))
	})
	t.Run("start is not repeated once a report lists the run", func(t *testing.T) {
		f := newFixture(t)
		f.answerRenewal("a", work.Report{})
		f.scheduler.AddJob(chainJob("j", 1), work.Progress{}, 11, false, f.now)
		first := f.scheduler.Schedule(f.now, f.now)[0]
		f.scheduler.HandleResult(first, work.OrderResult{Outcome: work.OutcomeUnknown}, f.now)
		f.answerRenewal("a", work.Report{Active: []work.ActiveRun{{Run: first.Run, SpeedPercent: 100}}})
		f.is.Equal(len(f.scheduler.Schedule(f.now, f.now)), 0)
	})
	t.Run("unlisted incarnation gets no repeat", func(t *testing.T) {
		f := newFixture(t)
		f.answerRenewal("a", work.Report{})
		f.scheduler.AddJob(chainJob("j", 1), work.Progress{}, 11, false, f.now)
		first := f.scheduler.Schedule(f.now, f.now)[0]
		f.scheduler.HandleResult(first, work.OrderResult{Outcome: work.OutcomeUnknown}, f.now)
		f.scheduler.UpdateWorkers([]work.WorkerInfo{workerInfo("b")}, f.now)
		f.assertNoStart(f.scheduler.Schedule(f.now, f.now))
	})
}

func TestReadyForHandOver(t *testing.T) {
	// A worker is lost and its duty taken over. Meanwhile the member that should hold the duty returns.
	t.Run("not while the lease of a lost worker is waited for", func(t *testing.T) {
		f := newFixture(t)
		f.scheduler.AddUnresolvedIncarnation(incarnation("gone"), f.now)
		f.answerRenewal("a", work.Report{})
		f.answerRenewal("b", work.Report{})
		f.is.True(!f.scheduler.ReadyForHandOver(f.now))
		f.now = f.now.Add(7 * time.Second)
		f.is.True(f.scheduler.ReadyForHandOver(f.now))
	})
	t.Run("not while a worker with tasks is silent", func(t *testing.T) {
		f := newFixture(t)
		f.answerRenewal("a", work.Report{})
		f.answerRenewal("b", work.Report{})
		f.scheduler.AddJob(chainJob("j", 1), work.Progress{}, 11, false, f.now)
		worker := f.executeRound()[0].Incarnation.Worker
		f.is.True(f.scheduler.ReadyForHandOver(f.now))
		f.scheduler.HandleMissedRenewal(incarnation(worker), f.now)
		f.is.True(!f.scheduler.ReadyForHandOver(f.now))
	})
}

// TestSilentListedWorker guards against jobs that never go on because a worker of an earlier holder is listed and never
// answers this holder.
func TestSilentListedWorker(t *testing.T) {
	const (
		leaseBound   = 5300 * time.Millisecond // a lease by the slowest clock, rounded up
		silenceLimit = 10 * time.Second
	)
	takeOver := func(t *testing.T) *fixture {
		f := newFixture(t)
		f.scheduler.AddUnresolvedIncarnation(incarnation("a"), f.now)
		f.scheduler.AddUnresolvedIncarnation(incarnation("b"), f.now)
		f.scheduler.AddJob(newLongRunningJob("lasting", 1), work.Progress{}, 5, true, f.now)
		return f
	}
	// pass lets time pass while worker "b" alone answers.
	pass := func(f *fixture, d time.Duration, report work.Report) work.Renewal {
		f.now = f.now.Add(d)
		f.scheduler.HandleMissedRenewal(incarnation("a"), f.now)
		return f.answerRenewal("b", report)
	}
	t.Run("long-running tasks start once its leases have expired", func(t *testing.T) {
		f := takeOver(t)
		pass(f, 5*time.Second, work.Report{})
		f.assertNoStart(f.executeRound())
		pass(f, leaseBound-5*time.Second, work.Report{})
		orders := f.executeRound()
		f.is.Equal(len(orders), 1)
		f.is.Equal(orders[0].Incarnation, incarnation("b"))
	})
	t.Run("tasks that end by themselves wait for its answer for a while", func(t *testing.T) {
		f := takeOver(t)
		f.scheduler.AddJob(chainJob("ordinary", 1), work.Progress{}, 5, true, f.now)
		pass(f, leaseBound, work.Report{})
		orders := f.executeRound()
		f.is.Equal(len(orders), 1)
		running := work.Report{Active: []work.ActiveRun{{Run: orders[0].Run}}}
		pass(f, silenceLimit-leaseBound-100*time.Millisecond, running)
		f.assertNoStart(f.executeRound())
		pass(f, 100*time.Millisecond, running)
		orders = f.executeRound()
		f.is.Equal(len(orders), 1)
		f.is.Equal(orders[0].Run.Task.Job, work.JobID("ordinary"))
	})
	t.Run("ends stay unacknowledged until then, since it has not seen the epoch", func(t *testing.T) {
		f := takeOver(t)
		report := work.Report{Ends: []work.RunEnd{{Number: 1, Run: runID("over", 0, 0, 1)}}}
		pass(f, leaseBound, report)
		f.executeRound()
		f.is.Equal(pass(f, time.Second, report).AcknowledgedEnd, uint64(0))
		pass(f, silenceLimit-leaseBound-time.Second, report)
		f.executeRound()
		pass(f, 10*time.Millisecond, report) // acknowledgements wait for the report that follows a start
		f.is.Equal(pass(f, 10*time.Millisecond, report).AcknowledgedEnd, uint64(1))
	})
	// A holder that was paused may renew the lease once more before another worker rejects its epoch.
	t.Run("earlier holder that may not have ended is waited for", func(t *testing.T) {
		f := takeOver(t)
		f.scheduler.LastForcedTakeover = f.now
		f.scheduler.AddJob(chainJob("ordinary", 1), work.Progress{}, 5, true, f.now)
		report := work.Report{Ends: []work.RunEnd{{Number: 1, Run: runID("over", 0, 0, 1)}}}
		pass(f, leaseBound, report)
		f.assertNoStart(f.executeRound())
		pass(f, silenceLimit-leaseBound, report)
		f.assertNoStart(f.executeRound())
		f.is.Equal(pass(f, 10*time.Millisecond, report).AcknowledgedEnd, uint64(0))
		pass(f, 2*leaseBound-silenceLimit, report)
		f.is.Equal(len(f.executeRound()), 2)
	})
	t.Run("end that it reports later counts, and the other run is stopped", func(t *testing.T) {
		f := takeOver(t)
		f.scheduler.AddJob(chainJob("ordinary", 1), work.Progress{}, 5, true, f.now)
		pass(f, silenceLimit, work.Report{})
		f.is.Equal(len(f.executeRound()), 2)
		f.answerRenewal("a", work.Report{Ends: []work.RunEnd{{Number: 1, Run: runID("ordinary", 0, 0, 1), Reason: work.EndReasonDone}}})
		orders := f.executeRound()
		f.is.Equal(len(orders), 1)
		f.is.Equal(orders[0].Kind, work.OrderStop)
		f.is.Equal(orders[0].Run.Task.Job, work.JobID("ordinary"))
		f.is.Equal(f.scheduler.BeginCommit(10)[0].Progress.State, work.StateCompleted)
	})
	// The worker answers with as many ends as one report holds, and its last ones are not known yet.
	t.Run("jobs go on while it lists its ends", func(t *testing.T) {
		f := takeOver(t)
		f.scheduler.AddJob(chainJob("ordinary", 1, 1), work.Progress{}, 5, true, f.now)
		pass(f, silenceLimit, work.Report{})
		f.is.Equal(len(f.executeRound()), 2)
		ends := make([]work.RunEnd, work.MaxEndsPerReport)
		for i := range ends {
			ends[i] = work.RunEnd{Number: uint64(i + 1), Run: runID("over", 0, i, 1)}
		}
		f.answerRenewal("a", work.Report{Ends: ends})
		f.is.Equal(f.answerRenewal("a", work.Report{Ends: ends}).AcknowledgedEnd, uint64(work.MaxEndsPerReport))
	})
	t.Run("next holder is not offered the duty while it is silent", func(t *testing.T) {
		f := takeOver(t)
		pass(f, leaseBound, work.Report{})
		f.is.True(!f.scheduler.ReadyForHandOver(f.now))
		f.answerRenewal("a", work.Report{})
		f.is.True(f.scheduler.ReadyForHandOver(f.now))
	})
	t.Run("run that it reports later is stopped", func(t *testing.T) {
		f := takeOver(t)
		pass(f, leaseBound, work.Report{})
		started := f.executeRound()[0].Run
		f.answerRenewal("a", work.Report{Active: []work.ActiveRun{{Run: runID("lasting", 0, 0, started.Attempt-1)}}})
		orders := f.executeRound()
		f.is.Equal(len(orders), 1)
		f.is.Equal(orders[0].Kind, work.OrderStop)
		f.is.Equal(orders[0].Incarnation, incarnation("a"))
	})
}

// TestHoldersInTurn guards against tasks that wait for as long as holders are replaced one after the other, each of which
// waits anew for workers that are gone, on a platform that allows much longer leases than holders grant.
func TestHoldersInTurn(t *testing.T) {
	is := is.New(t)
	now := start
	s := &work.Scheduler{Pool: "pool", Epoch: 10, Timing: work.Timing{MaxLease: 10 * time.Second}}
	s.AddUnresolvedIncarnation(incarnation("gone"), now)
	is.Equal(len(s.UnresolvedIncarnations(now.Add(5*time.Second))), 1)
	is.Equal(len(s.UnresolvedIncarnations(now.Add(5300*time.Millisecond))), 0)
}
