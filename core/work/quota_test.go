package work_test

import (
	"errors"
	"slices"
	"testing"
	"time"

	"siskincross/core/organisation"
	"siskincross/core/quota"
	"siskincross/core/work"
)

// limited is a fixture whose organisation "o" may have a number of one-core tasks running.
type limited struct{ *fixture }

func newLimitedFixture(t *testing.T, tasks int) limited {
	f := limited{newFixture(t)}
	f.scheduler.Quota = quota.Ledger{Pool: "pool", Epoch: 10}
	f.setLimit(tasks)
	f.scheduler.Quota.Load(nil)
	f.answerRenewal("a", work.Report{})
	f.answerRenewal("b", work.Report{})
	return f
}

func (f limited) setLimit(tasks int) {
	directory := organisation.NewDirectory([]organisation.Organisation{{Name: "o", Limit: work.Resources{MilliCores: tasks * 1000}}})
	f.scheduler.Quota.SetLimits(directory, work.Resources{}, false, f.now)
}

// submit adds a job of an organisation.
func (f limited) submit(organisation string, j work.Job) {
	j.Organisation = organisation
	f.scheduler.AddJob(j, work.Progress{}, 11, false, f.now)
}

// storedRound is executeRound after which claims are stored, and after which the next round has used them.
func (f limited) storedRound() []work.Order {
	orders := f.executeRound()
	f.now = f.now.Add(100 * time.Millisecond)
	if w, due := f.scheduler.Quota.NextWrite(f.now); due {
		f.scheduler.Quota.Confirm(w, w.Rows[0].Version+1)
	}
	return append(orders, f.executeRound()...)
}

// endJob cancels a job, whose runs then end. The others go on.
func (f limited) endJob(id work.JobID, started []work.Order) {
	f.scheduler.CancelJob(id)
	f.executeRound()
	running := slices.DeleteFunc(slices.Clone(started), func(o work.Order) bool { return o.Run.Task.Job == id })
	for _, worker := range []string{"a", "b"} {
		f.answerRenewal(worker, runningReport(running, worker))
	}
}

func (f limited) used() int { return f.scheduler.Quota.Used("o").MilliCores / 1000 }

func startCount(orders []work.Order) int {
	n := 0
	for _, o := range orders {
		if o.Kind == work.OrderStart {
			n++
		}
	}
	return n
}

func TestQuotaOfStarts(t *testing.T) {
	t.Run("a wide step starts in the widths that fit", func(t *testing.T) {
		f := newLimitedFixture(t, 3)
		f.submit("o", chainJob("j", 5))
		started := f.storedRound()
		f.is.Equal(startCount(started), 3)
		f.is.Equal(startCount(f.storedRound()), 0)
		f.answerRenewal(started[0].Incarnation.Worker, work.Report{Ends: []work.RunEnd{{Number: 1, Run: started[0].Run, Reason: work.EndReasonDone}}})
		f.is.True(f.used() < 3)
		f.is.True(startCount(f.storedRound()) > 0)
	})
	t.Run("a gang starts as a whole or waits", func(t *testing.T) {
		f := newLimitedFixture(t, 5)
		f.submit("o", chainJob("first", 3))
		f.is.Equal(startCount(f.storedRound()), 3)
		gang := chainJob("gang", 4)
		gang.Steps[0].Gang = true
		f.submit("o", gang)
		f.is.Equal(startCount(f.storedRound()), 0)
		f.scheduler.CancelJob("first")
		stops := f.executeRound()
		f.is.Equal(len(stops), 3)
		f.answerRenewal("a", work.Report{})
		f.answerRenewal("b", work.Report{})
		f.is.Equal(startCount(f.storedRound()), 4)
	})
	t.Run("a gang gets room though less urgent tasks could use each bit of it", func(t *testing.T) {
		f := newLimitedFixture(t, 4)
		f.submit("o", chainJob("first", 1))
		f.submit("o", chainJob("second", 2))
		started := f.storedRound()
		f.is.Equal(startCount(started), 3)
		gang := chainJob("gang", 4)
		gang.Steps[0].Gang = true
		f.submit("o", gang)
		f.is.Equal(startCount(f.storedRound()), 0)
		f.now = f.now.Add(time.Second)
		f.submit("o", chainJob("small", 1))
		f.submit("other", chainJob("k", 1))
		f.endJob("first", started)
		others := f.storedRound()
		f.is.Equal(startCount(others), 1) // the task of the other organisation
		f.endJob("second", append(started, others...))
		f.is.Equal(startCount(f.storedRound()), 4)
	})
	t.Run("an organisation at its limit does not hold up others", func(t *testing.T) {
		f := newLimitedFixture(t, 1)
		f.submit("o", chainJob("j", 4))
		f.submit("other", chainJob("k", 4))
		f.submit("", chainJob("l", 2))
		f.is.Equal(startCount(f.storedRound()), 7)
	})
}

func TestQuotaUse(t *testing.T) {
	t.Run("a cancelled run counts until it has certainly ended", func(t *testing.T) {
		f := newLimitedFixture(t, 3)
		f.submit("o", chainJob("j", 3))
		f.is.Equal(startCount(f.storedRound()), 3)
		f.scheduler.CancelJob("j")
		f.is.Equal(f.used(), 3)
		f.executeRound() // the stops are confirmed, the ends are not reported
		f.is.Equal(f.used(), 3)
		f.answerRenewal("a", work.Report{})
		f.answerRenewal("b", work.Report{})
		f.is.Equal(f.used(), 0)
	})
	t.Run("a start without an answer counts", func(t *testing.T) {
		f := newLimitedFixture(t, 3)
		f.submit("o", chainJob("j", 2))
		f.scheduler.Schedule(f.now, f.now)
		w, due := f.scheduler.Quota.NextWrite(f.now)
		f.is.True(due)
		f.scheduler.Quota.Confirm(w, 1)
		for _, o := range f.scheduler.Schedule(f.now, f.now) {
			f.scheduler.HandleResult(o, work.OrderResult{Outcome: work.OutcomeUnknown}, f.now)
		}
		f.is.Equal(f.used(), 2)
	})
	t.Run("runs of an earlier holder count, and what it may still start stays reserved", func(t *testing.T) {
		f := newLimitedFixture(t, 3)
		f.scheduler.Quota.Learn("o", quota.VersionedRow{Row: quota.Row{"pool": {Epoch: 7, Granted: work.Resources{MilliCores: 3000}}}, Version: 1})
		f.scheduler.AddUnresolvedIncarnation(incarnation("c"), f.now)
		f.submit("o", chainJob("j", 3))
		f.answerRenewal("a", work.Report{Active: []work.ActiveRun{{Run: runID("j", 0, 0, 1), SpeedPercent: 100}}})
		f.is.Equal(f.used(), 1)
		f.is.Equal(startCount(f.storedRound()), 0)
		f.scheduler.EndIncarnation(incarnation("c"))
		f.now = f.now.Add(20 * time.Second) // every lease that "c" may have got has expired
		f.answerRenewal("a", work.Report{Active: []work.ActiveRun{{Run: runID("j", 0, 0, 1), SpeedPercent: 100}}})
		f.answerRenewal("b", work.Report{})
		f.is.Equal(startCount(f.storedRound()), 2)
	})
}

// TestQuotaBesideShrunkWorker guards against an organisation beyond its limit: what an earlier holder may still run on a worker
// that does not answer was taken to be within the capacity that the worker offers now.
func TestQuotaBesideShrunkWorker(t *testing.T) {
	f := newLimitedFixture(t, 4)
	f.scheduler.Quota.Learn("o", quota.VersionedRow{Row: quota.Row{"pool": {Epoch: 7, Granted: work.Resources{MilliCores: 4000}}}, Version: 1})
	f.scheduler.AddUnresolvedIncarnation(incarnation("c"), f.now)
	shrunk := workerInfo("c")
	shrunk.Capacity.MilliCores = 1000
	f.scheduler.UpdateWorkers([]work.WorkerInfo{workerInfo("a"), workerInfo("b"), shrunk}, f.now)
	f.submit("o", chainJob("j", 4))
	f.is.Equal(startCount(f.storedRound()), 0)
	var report work.Report
	for i := range 4 {
		report.Active = append(report.Active, work.ActiveRun{Run: runID("earlier", 0, i, 1)})
	}
	f.answerRenewal("c", report)
	f.is.Equal(startCount(f.storedRound()), 0) // the runs belong to a job that is not known
	f.answerRenewal("c", work.Report{})
	f.is.Equal(startCount(f.storedRound()), 4)
}

func TestQuotaOfHosts(t *testing.T) {
	// The organisation's waiting work would take hosts from other pools, and couldn't use them.
	t.Run("no hosts are requested for work that the limit forbids", func(t *testing.T) {
		f := newLimitedFixture(t, 2)
		f.submit("o", chainJob("j", 400))
		f.storedRound()
		f.is.Equal(f.scheduler.CapacityDemand(f.now).RequestedCount, 1) // the least that a pool has
		f.setLimit(400)
		f.is.True(f.scheduler.CapacityDemand(f.now).RequestedCount > 20)
	})
}

// TestSpareHostsBesideLimit guards against hosts that a pool keeps from others for lasting tasks that their organisation's limit forbids.
func TestSpareHostsBesideLimit(t *testing.T) {
	const workers, tasks, limit = 12, 12, 4
	for name, c := range map[string]struct {
		change func(*work.Step)
		kept   int
	}{
		"each on a worker of its own": {func(s *work.Step) { s.SpreadLimit = 1 }, limit},
		"as large as a worker":        {func(s *work.Step) { s.Demand = work.Resources{MilliCores: 1000, MemoryMB: 4000} }, limit},
	} {
		t.Run(name, func(t *testing.T) {
			f := newLimitedFixture(t, limit)
			var infos []work.WorkerInfo
			for i := range workers {
				infos = append(infos, workerInfo(string(rune('a'+i))))
			}
			f.scheduler.UpdateWorkers(infos, f.now)
			for _, info := range infos {
				f.answerRenewal(info.Incarnation.Worker, work.Report{})
			}
			lasting := newLongRunningJob("lasting", tasks)
			c.change(&lasting.Steps[0])
			f.submit("o", lasting)
			started := f.storedRound()
			f.is.Equal(startCount(started), limit)
			f.scheduler.CapacityDemand(f.now) // from then on workers are spare
			f.now = f.now.Add(time.Second)
			for _, info := range infos {
				f.answerRenewal(info.Incarnation.Worker, runningReport(started, info.Incarnation.Worker))
			}
			f.is.Equal(f.scheduler.CapacityDemand(f.now).SpareCount, workers-c.kept)
		})
	}
}

func TestValidateLimit(t *testing.T) {
	limit := work.Resources{MilliCores: 2500}
	gang := chainJob("gang", 3)
	gang.Steps[0].Gang = true
	large := chainJob("large", 1)
	large.Steps[0].Demand.MilliCores = 3000
	for _, c := range []struct {
		job     work.Job
		allowed bool
	}{{chainJob("wide", 100), true}, {gang, false}, {large, false}} {
		t.Run(string(c.job.ID), func(t *testing.T) {
			f := newFixture(t)
			err := c.job.ValidateLimit(limit)
			var invalid work.ErrInvalid
			f.is.Equal(errors.As(err, &invalid), !c.allowed)
			f.is.NoErr(c.job.ValidateLimit(work.Resources{}))
		})
	}
}
