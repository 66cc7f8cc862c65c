package work_test

import (
	"testing"
	"time"

	"siskincross/core/organisation"
	"siskincross/core/quota"
	"siskincross/core/work"
)

// newDoubtedFixture returns a pool that a new holder has taken while its only worker was down. The worker is back under its ID, may
// forget ends, and holds no lease any more.
func newDoubtedFixture(t *testing.T) *restartFixture {
	f := &restartFixture{fixture: newFixture(t)}
	f.scheduler = &work.Scheduler{Pool: "pool", Epoch: 20, Term: 1}
	f.scheduler.AddUnresolvedIncarnation(incarnation("a"), f.now)
	f.restart(longestLease)
	return f
}

// reportNext has the next incarnation of "a" answer a renewal.
func (f *restartFixture) reportNext(r work.Report) {
	f.now = f.now.Add(100 * time.Millisecond)
	f.answer(f.renew(laterIncarnation("a").Incarnation), f.now.Sub(start), r)
}

// assertFreed asserts that a probe with at most this lease is started, and that tasks start as usual once its end is listed.
func (f *restartFixture) assertFreed(lease time.Duration, tasks int) {
	f.reportNext(work.Report{})
	probes := f.executeRound()
	f.is.Equal(len(probes), 1)
	f.is.True(probes[0].LeaseDeadline-f.now.Sub(start) <= lease+100*time.Millisecond)
	f.is.True(f.renew(laterIncarnation("a").Incarnation).LeaseDeadline == 0)
	f.reportNext(work.Report{Ends: []work.RunEnd{{Number: 1, Run: probes[0].Run, Reason: work.EndReasonLapsed}}})
	f.is.Equal(startCount(f.executeRound()), tasks)
}

// TestDoubtedPoolStartsAnything guards against a pool that stands still for good because all its workers may forget ends, and no task that
// waits there could be a probe.
func TestDoubtedPoolStartsAnything(t *testing.T) {
	gang := chainJob("gang", 3)
	gang.Steps[0].Gang = true
	short, unestimated := chainJob("short", 3), chainJob("unestimated", 3)
	short.Steps[0].Estimate, unestimated.Steps[0].Estimate = 100*time.Millisecond, 0
	for _, c := range []struct {
		job   work.Job
		lease time.Duration
	}{{gang, 60 * time.Millisecond}, {short, 25 * time.Millisecond}, {unestimated, 15 * time.Millisecond}, {newLongRunningJob("lasting", 3), 60 * time.Millisecond}} {
		t.Run(string(c.job.ID), func(t *testing.T) {
			f := newDoubtedFixture(t)
			f.submit(c.job)
			f.assertFreed(c.lease, 3)
		})
	}
	t.Run("tasks under which workers crashed", func(t *testing.T) {
		f := newDoubtedFixture(t)
		j := chainJob("suspect", 1)
		p := work.Progress{}.WithState(work.StateRunning)
		for attempt := range 2 {
			p = p.WithCrash(work.Crash{Run: runID("suspect", 0, 0, attempt+1), MinAge: 50 * time.Millisecond, MaxAge: time.Second, Coincident: true})
		}
		f.scheduler.AddJob(j, p, 21, false, f.now)
		f.assertFreed(60*time.Millisecond, 1)
	})
	t.Run("tasks of an organisation with a limit", func(t *testing.T) {
		f := newDoubtedFixture(t)
		f.scheduler.Quota = quota.Ledger{Pool: "pool", Epoch: 20}
		f.scheduler.Quota.SetLimits(organisation.NewDirectory([]organisation.Organisation{{Name: "o", Limit: work.Resources{MilliCores: 3000}}}), work.Resources{}, false, f.now)
		f.scheduler.Quota.Load(nil)
		j := chainJob("limited", 3)
		j.Organisation = "o"
		f.submit(j)
		f.reportNext(work.Report{})
		f.assertNoStart(f.executeRound())
		write, due := f.scheduler.Quota.NextWrite(f.now)
		f.is.True(due)
		f.scheduler.Quota.Confirm(write, 1)
		f.assertFreed(60*time.Millisecond, 3)
	})
	t.Run("a gang is never complete while it is a probe", func(t *testing.T) {
		f := newDoubtedFixture(t)
		f.submit(gang)
		attempts := make(map[int]bool)
		for range 4 { // the worker forgets the ends
			f.reportNext(work.Report{})
			probes := f.executeRound()
			f.is.Equal(startCount(probes), 1)
			f.is.True(!attempts[probes[0].Run.Attempt])
			attempts[probes[0].Run.Attempt] = true
			f.reportNext(work.Report{Active: []work.ActiveRun{{Run: probes[0].Run}}})
			f.assertNoStart(f.executeRound())
		}
	})
	t.Run("tasks that outlast a probe go first", func(t *testing.T) {
		f := newDoubtedFixture(t)
		f.submit(unestimated)
		f.submit(chainJob("usual", 1))
		f.reportNext(work.Report{})
		probes := f.executeRound()
		f.is.Equal(len(probes), 1)
		f.is.Equal(probes[0].Run.Task.Job, work.JobID("usual"))
	})
}

// TestProbesDoNotEnd guards against a worker that gets no tasks for good because it had more ends to forget than it was given probes.
func TestProbesDoNotEnd(t *testing.T) {
	f := newDoubtedFixture(t)
	f.submit(chainJob("j", 5))
	probes := 0
	last := f.now
	for range 1000 {
		f.reportNext(work.Report{})
		n := startCount(f.executeRound())
		if probes += n; n > 0 {
			last = f.now
		}
		f.is.True(f.now.Sub(last) < 2*time.Second)
	}
	f.is.True(probes > 300)
	f.is.True(probes < 1000) // they follow each other more slowly
}

// TestProbeBesideStartedStep guards against a holder that ends by a fault of memory: steps without a task to start were dropped from the
// list of steps that probes are chosen from.
func TestProbeBesideStartedStep(t *testing.T) {
	f := newDoubtedFixture(t)
	f.scheduler.SetOrganisations(directoryOf([]sender{{name: "o", weight: 1}}))
	f.scheduler.UpdateWorkers([]work.WorkerInfo{laterIncarnation("a"), workerInfo("b")}, f.now)
	f.answerRenewal("b", work.Report{})
	started := chainJob("started", 4) // fills worker "b"
	started.Organisation = "o"
	f.submit(started)
	f.is.Equal(startCount(f.executeRound()), 4)
	waiting := chainJob("waiting", 1)
	waiting.Organisation = "o"
	waiting.Steps[0].RequiredLabel = "nowhere"
	f.submit(waiting)
	f.reportNext(work.Report{})
	f.assertNoStart(f.executeRound())
}
