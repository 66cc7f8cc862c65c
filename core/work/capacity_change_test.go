package work_test

import (
	"fmt"
	"testing"
	"time"

	"siskincross/core/work"
)

// coreCounts are the cores that workers offer, by worker.
type coreCounts map[string]int

// listCapacity has the directory list the workers "a" and "b" with these numbers of cores, four where none is given.
func (f *fixture) listCapacity(cores coreCounts) {
	var list []work.WorkerInfo
	for _, id := range []string{"a", "b"} {
		info := workerInfo(id)
		if n, ok := cores[id]; ok {
			info.Capacity.MilliCores = n * 1000
		}
		list = append(list, info)
	}
	f.scheduler.UpdateWorkers(list, f.now)
}

// newAnsweringFixture returns a fixture with these numbers of cores whose workers have answered.
func newAnsweringFixture(t *testing.T, cores coreCounts) *fixture {
	f := newFixture(t)
	f.listCapacity(cores)
	f.answerRenewal("a", work.Report{})
	f.answerRenewal("b", work.Report{})
	return f
}

// submit adds a job.
func (f *fixture) submit(j work.Job) { f.scheduler.AddJob(j, work.Progress{}, 11, false, f.now) }

// assertStartsOn executes a round and asserts that it has n starts, all on this worker.
func (f *fixture) assertStartsOn(worker string, n int) []work.Order {
	f.is.Helper()
	orders := f.executeRound()
	for _, o := range orders {
		if o.Kind == work.OrderStart {
			f.is.Equal(o.Incarnation.Worker, worker)
		}
	}
	f.is.Equal(startCount(orders), n)
	return orders
}

func TestChangedCapacity(t *testing.T) {
	t.Run("no start beyond a capacity that has shrunk, and none of the runs is stopped", func(t *testing.T) {
		f := newAnsweringFixture(t, coreCounts{"b": 0})
		f.submit(chainJob("j", 3))
		f.assertStartsOn("a", 3)
		f.listCapacity(coreCounts{"a": 2, "b": 0})
		f.submit(chainJob("other", 2))
		f.is.Equal(len(f.executeRound()), 0)
	})
	t.Run("capacity that has grown again is used in the next round", func(t *testing.T) {
		f := newAnsweringFixture(t, coreCounts{"a": 1, "b": 0})
		f.submit(chainJob("j", 4))
		f.assertStartsOn("a", 1)
		f.listCapacity(coreCounts{"b": 0})
		f.assertStartsOn("a", 3)
	})
	t.Run("runs that are being stopped count towards a capacity that has shrunk", func(t *testing.T) {
		f := newAnsweringFixture(t, coreCounts{"b": 0})
		f.submit(chainJob("j", 3))
		started := f.assertStartsOn("a", 3)
		f.scheduler.CancelJob("j")
		f.listCapacity(coreCounts{"a": 2, "b": 0})
		f.submit(chainJob("other", 2))
		f.assertStartsOn("a", 0) // it orders the stops
		f.answerRenewal("a", work.Report{
			Active: []work.ActiveRun{{Run: started[0].Run}},
			Ends:   []work.RunEnd{{Number: 1, Run: started[1].Run, Reason: work.EndReasonStopped}, {Number: 2, Run: started[2].Run, Reason: work.EndReasonStopped}},
		})
		f.assertStartsOn("a", 1)
	})
	t.Run("a gang needs room for all its tasks", func(t *testing.T) {
		f := newAnsweringFixture(t, coreCounts{"a": 2, "b": 1})
		gang := chainJob("gang", 4)
		gang.Steps[0].Gang = true
		f.submit(gang)
		f.assertStartsOn("", 0)
		f.listCapacity(coreCounts{"a": 3, "b": 1})
		f.is.Equal(startCount(f.executeRound()), 4)
	})
	t.Run("best-effort tasks are bounded by memory that has shrunk", func(t *testing.T) {
		f := newAnsweringFixture(t, nil)
		short := workerInfo("a")
		short.Capacity.MemoryMB = 150
		f.scheduler.UpdateWorkers([]work.WorkerInfo{short}, f.now)
		j := chainJob("j", 3)
		j.Steps[0].BestEffort = true
		f.submit(j)
		f.assertStartsOn("a", 1)
	})
	t.Run("a job that no worker can take any more waits until one can", func(t *testing.T) {
		f := newAnsweringFixture(t, coreCounts{"a": 1, "b": 1})
		j := chainJob("j", 1)
		j.Steps[0].Demand.MilliCores = 4000
		f.submit(j)
		for range 5 {
			f.now = f.now.Add(time.Second)
			f.answerRenewal("a", work.Report{})
			f.answerRenewal("b", work.Report{})
			f.assertStartsOn("", 0)
		}
		f.is.Equal(len(f.scheduler.BeginCommit(10)), 0) // its state has not changed
		f.listCapacity(coreCounts{"b": 1})
		f.assertStartsOn("a", 1)
	})
	t.Run("adopted runs count although they exceed a capacity that has shrunk", func(t *testing.T) {
		f := newFixture(t)
		f.scheduler.AddUnresolvedIncarnation(incarnation("a"), f.now)
		f.listCapacity(coreCounts{"a": 2, "b": 1})
		f.scheduler.AddJob(chainJob("j", 5), work.Progress{}, 5, true, f.now)
		f.answerRenewal("a", work.Report{Active: []work.ActiveRun{{Run: runID("j", 0, 0, 1)}, {Run: runID("j", 0, 1, 1)}, {Run: runID("j", 0, 2, 1)}}})
		f.answerRenewal("b", work.Report{})
		f.assertStartsOn("b", 1)
	})
}

// TestRepeatAfterShrinking guards against a start beyond a worker's capacity: its first order was lost, and it was sent
// again although the capacity had shrunk meanwhile.
func TestRepeatAfterShrinking(t *testing.T) {
	// loseStart loses a start order to worker "a", whose capacity is then listed anew.
	loseStart := func(t *testing.T, cores int) (*fixture, work.Order) {
		f := newAnsweringFixture(t, coreCounts{"b": 0})
		f.submit(chainJob("running", 1))
		f.assertStartsOn("a", 1)
		f.submit(chainJob("lost", 1))
		lost := f.scheduler.Schedule(f.now, f.now)[0]
		f.scheduler.HandleResult(lost, work.OrderResult{Outcome: work.OutcomeUnknown}, f.now)
		f.listCapacity(coreCounts{"a": cores, "b": 0})
		return f, lost
	}
	t.Run("start is stopped instead of repeated without room for it", func(t *testing.T) {
		f, lost := loseStart(t, 1)
		f.assertNoStart(f.scheduler.Schedule(f.now, f.now))
		orders := f.scheduler.Schedule(f.now, f.now)
		f.is.Equal(len(orders), 1)
		f.is.Equal(orders[0].Kind, work.OrderStop)
		f.is.Equal(orders[0].Run, lost.Run)
	})
	t.Run("run goes on if the worker reports that the lost order was carried out", func(t *testing.T) {
		f, lost := loseStart(t, 1)
		f.assertNoStart(f.scheduler.Schedule(f.now, f.now))
		f.answerRenewal("a", work.Report{Active: []work.ActiveRun{{Run: runID("running", 0, 0, 1)}, {Run: lost.Run}}})
		f.is.Equal(len(f.executeRound()), 0)
	})
	t.Run("start is repeated while there is room for it", func(t *testing.T) {
		f, lost := loseStart(t, 2)
		orders := f.scheduler.Schedule(f.now, f.now)
		f.is.Equal(len(orders), 1)
		f.is.Equal(orders[0], lost)
	})
}

// TestUnknownDemand guards against starts beyond a worker's capacity beside runs of an earlier holder that no task needs:
// they were stopped, and counted as if they took no room until they had ended.
func TestUnknownDemand(t *testing.T) {
	// takeOver returns a pool whose worker "a" reports four runs of an earlier holder, and where two tasks wait.
	takeOver := func(t *testing.T, known func(*fixture)) (*fixture, work.Report) {
		f := newFixture(t)
		f.scheduler.AddUnresolvedIncarnation(incarnation("a"), f.now)
		f.listCapacity(coreCounts{"b": 0})
		known(f)
		var report work.Report
		for i := range 4 {
			report.Active = append(report.Active, work.ActiveRun{Run: runID("earlier", 0, i, 1)})
		}
		f.answerRenewal("a", report)
		f.answerRenewal("b", work.Report{})
		f.submit(chainJob("new", 2))
		return f, report
	}
	for name, known := range map[string]func(*fixture){
		"runs of a job that is over": func(*fixture) {},
		"runs of tasks that are done": func(f *fixture) {
			p := work.Progress{State: work.StateRunning}
			for i := range 4 {
				p = p.WithDoneTask(work.TaskID{Job: "earlier", Index: i})
			}
			f.scheduler.AddJob(chainJob("earlier", 5), p, 5, true, f.now)
		},
		"runs of a job that was cancelled": func(f *fixture) {
			f.scheduler.AddJob(chainJob("earlier", 4), work.Progress{}, 5, true, f.now)
			f.scheduler.CancelJob("earlier")
		},
	} {
		t.Run(name+" take room until their end is reported", func(t *testing.T) {
			f, report := takeOver(t, known)
			f.assertStartsOn("a", 0)
			f.answerRenewal("a", report)
			f.assertStartsOn("a", 0)
			var ended work.Report
			for i, r := range report.Active {
				ended.Ends = append(ended.Ends, work.RunEnd{Number: uint64(i + 1), Run: r.Run, Reason: work.EndReasonStopped})
			}
			f.answerRenewal("a", ended)
			f.is.True(startCount(f.executeRound()) >= 2)
		})
	}
}

// TestDemandOfShrunkPool guards against a pool that requests every host there is once its workers offer nothing, and the
// other way round against one that requests none.
func TestDemandOfShrunkPool(t *testing.T) {
	// demandOf returns the demand of a pool of five workers whose capacity becomes this, with a job of so many tasks.
	demandOf := func(t *testing.T, milliCores, tasks int) (*fixture, work.CapacityDemand) {
		f := newPoolFixture(t, 5)
		var list []work.WorkerInfo
		for i := range 5 {
			info := workerInfo(fmt.Sprintf("w%02d", i))
			info.Capacity.MilliCores = milliCores
			list = append(list, info)
		}
		f.scheduler.UpdateWorkers(list, f.now)
		if tasks > 0 {
			f.submit(chainJob("j", tasks))
		}
		f.scheduler.CapacityDemand(f.now)
		f.now = f.now.Add(time.Second)
		return f, f.scheduler.CapacityDemand(f.now)
	}
	for _, milliCores := range []int{0, 1, 1000} {
		t.Run(fmt.Sprintf("workers of %d milli-cores request about what the tasks need", milliCores), func(t *testing.T) {
			f, demand := demandOf(t, milliCores, 12)
			f.is.True(demand.RequestedCount > 0)
			f.is.True(demand.RequestedCount <= 20) // 12 cores are needed, and some in reserve
			f.is.Equal(demand.SpareCount, 0)
		})
	}
	t.Run("workers that have grown again request nothing", func(t *testing.T) {
		f, demand := demandOf(t, 4000, 12)
		f.is.Equal(demand.RequestedCount, 0)
	})
	t.Run("workers without capacity are spare without work", func(t *testing.T) {
		f, demand := demandOf(t, 0, 0)
		f.is.Equal(demand.RequestedCount, 0)
		f.is.Equal(demand.SpareCount, 2) // a pool keeps three workers
	})
}

// TestRefuseBesideShrunkWorker guards against jobs that are refused although there is room for them: what runs beyond the
// capacity of a worker that has shrunk was taken off the free room of the others.
func TestRefuseBesideShrunkWorker(t *testing.T) {
	f := newAnsweringFixture(t, coreCounts{"b": 0})
	f.scheduler.SetOrganisations(directoryOf([]sender{{name: "a", weight: 1}}))
	f.submit(chainJob("running", 4))
	f.assertStartsOn("a", 4)
	f.listCapacity(coreCounts{"a": 0})
	jobs := make([]work.Job, 10)
	for i := range jobs {
		jobs[i] = chainJob(work.JobID(fmt.Sprintf("j%d", i)), 1)
		jobs[i].Organisation, jobs[i].Objective = "a", work.Objective{Factor: 1, Slack: 100 * time.Millisecond}
		if i < 2 {
			f.submit(jobs[i])
		}
	}
	f.is.Equal(len(f.scheduler.Refuse(jobs, f.now)), 0)
}
