package work_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"siskincross/core/work"
)

// start is when the tests of single boards begin.
var start = time.Unix(1_700_000_000, 0)

// fixture is a board with workers "a" and "b" that have answered.
type fixture struct {
	is    *is.I
	board *work.Scheduler
	now   time.Time
	// running holds the runs that were started, by worker, ended the ends that a worker lists.
	running map[string][]startedRun
	ended   map[string][]work.RunEnd
}

type startedRun struct {
	run work.RunID
	at  time.Time
}

func withBoard(t *testing.T) *fixture {
	f := &fixture{
		is: is.New(t), board: &work.Scheduler{Pool: "pool", Epoch: 10}, now: start,
		running: make(map[string][]startedRun), ended: make(map[string][]work.RunEnd),
	}
	f.board.UpdateWorkers([]work.WorkerInfo{listing("a"), listing("b")}, f.now)
	return f
}

func life(id string) work.Incarnation { return work.Incarnation{Worker: id, StartMillis: 1} }

func listing(id string) work.WorkerInfo {
	return work.WorkerInfo{
		Incarnation: life(id), Address: id, Pool: "pool", Rack: "rack-" + id, Capacity: work.Resources{MilliCores: 4000, MemoryMB: 4000},
	}
}

// chain is a job of steps that follow each other, with tasks of one core.
func chain(id work.JobID, tasks ...int) work.Job {
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

// hear plays a renewal that a worker answers.
func (f *fixture) hear(id string, r work.Report) work.Renewal {
	f.now = f.now.Add(10 * time.Millisecond)
	renewal, ok := f.board.PrepareRenewal(life(id), 0, f.now)
	f.is.True(ok)
	r.WorkerClock = f.now.Sub(start) + time.Second
	f.board.HandleReport(life(id), renewal.Sequence, r, f.now)
	return renewal
}

// orders plays a round and answers every order with success.
func (f *fixture) orders() []work.Order {
	orders := f.board.Schedule(f.now, f.now)
	for _, o := range orders {
		f.is.True(f.board.HandleResult(o, work.OrderResult{WorkerClock: f.now.Sub(start) + time.Second}, f.now))
		if o.Kind == work.OrderStart {
			f.running[o.Incarnation.Worker] = append(f.running[o.Incarnation.Worker], startedRun{o.Run, f.now})
		}
	}
	return orders
}

func run(id work.JobID, step, index, attempt int) work.RunID {
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
	// The ends of a step and of the one after it lie on two workers, and the later one is heard first.
	t.Run("end of a later step is heard first", func(t *testing.T) {
		f := withBoard(t)
		f.board.AddUnresolvedIncarnation(life("a"), f.now)
		f.board.AddUnresolvedIncarnation(life("b"), f.now)
		f.board.AddJob(chain("j", 1, 2), work.Progress{}, 5, true, f.now)
		f.hear("a", work.Report{Ends: []work.RunEnd{{Number: 1, Run: run("j", 1, 0, 1)}}})
		f.hear("b", work.Report{Ends: []work.RunEnd{{Number: 1, Run: run("j", 0, 0, 1)}}})
		orders := f.orders()
		f.is.Equal(len(orders), 1)
		f.is.Equal(orders[0].Run.Task, work.TaskID{Job: "j", Step: 1, Index: 1})
		f.is.Equal(f.hear("a", work.Report{}).AcknowledgedEnd, uint64(0)) // not stored yet
	})
	t.Run("run of a step whose turn is not known to have come goes on", func(t *testing.T) {
		f := withBoard(t)
		f.board.AddUnresolvedIncarnation(life("a"), f.now)
		f.board.AddUnresolvedIncarnation(life("b"), f.now)
		f.board.AddJob(chain("j", 1, 1), work.Progress{}, 5, true, f.now)
		f.hear("a", work.Report{Active: []work.ActiveRun{{Run: run("j", 1, 0, 1)}}})
		f.hear("b", work.Report{Ends: []work.RunEnd{{Number: 1, Run: run("j", 0, 0, 1)}}})
		f.is.Equal(len(f.orders()), 0)
	})
	t.Run("worker that does not answer may run anything until its leases are over", func(t *testing.T) {
		f := withBoard(t)
		f.board.AddUnresolvedIncarnation(life("a"), f.now)
		f.board.AddUnresolvedIncarnation(life("b"), f.now)
		f.board.AddJob(chain("j", 1), work.Progress{}, 5, true, f.now)
		f.board.AddJob(chain("new", 1), work.Progress{}, 11, false, f.now)
		f.hear("a", work.Report{})
		orders := f.orders()
		f.is.Equal(len(orders), 1)
		f.is.Equal(orders[0].Run.Task.Job, work.JobID("new"))
		f.board.UpdateWorkers([]work.WorkerInfo{listing("a")}, f.now)
		f.now = f.now.Add(7 * time.Second)
		f.hear("a", work.Report{Active: []work.ActiveRun{{Run: orders[0].Run}}})
		f.is.Equal(len(f.orders()), 1)
	})
	t.Run("earlier holder's lease outlasts a cut", func(t *testing.T) {
		f := withBoard(t)
		f.board.AddUnresolvedIncarnation(life("a"), f.now)
		f.board.AddJob(chain("j", 1), work.Progress{}, 5, true, f.now)
		f.hear("a", work.Report{Active: []work.ActiveRun{{Run: run("j", 0, 0, 1)}}})
		f.hear("b", work.Report{})
		f.board.HandleMissedRenewal(life("a"), f.now)
		f.assertNoStart(f.orders())
		f.now = f.now.Add(5900 * time.Millisecond)
		f.hear("b", work.Report{})
		f.assertNoStart(f.orders())
		f.now = f.now.Add(400 * time.Millisecond)
		f.hear("b", work.Report{})
		f.assertNoStart(f.orders()) // it may have ended as done
		f.board.UpdateWorkers([]work.WorkerInfo{listing("b")}, f.now)
		f.is.Equal(len(f.orders()), 1)
	})
}

// The process of a holder stands still, and another one may have taken its duty over meanwhile.
func TestStall(t *testing.T) {
	f := withBoard(t)
	f.hear("a", work.Report{})
	f.hear("b", work.Report{})
	f.now = f.now.Add(6 * time.Second)
	f.board.AddJob(chain("j", 1), work.Progress{}, 11, false, f.now)
	f.assertNoStart(f.orders())
	f.hear("b", work.Report{})
	f.is.Equal(f.orders()[0].Incarnation.Worker, "b")
}

func TestRepeat(t *testing.T) {
	begin := func(t *testing.T) (*fixture, work.Order) {
		f := withBoard(t)
		f.hear("a", work.Report{})
		f.hear("b", work.Report{})
		f.board.AddJob(chain("j", 1), work.Progress{}, 11, false, f.now)
		first := f.board.Schedule(f.now, f.now)[0]
		f.board.HandleResult(first, work.OrderResult{Outcome: work.OutcomeUnknown}, f.now)
		orders := f.board.Schedule(f.now, f.now)
		f.is.Equal(len(orders), 1)
		f.is.Equal(orders[0], first)
		return f, first
	}
	t.Run("start without an answer is repeated, and runs", func(t *testing.T) {
		f, o := begin(t)
		f.board.HandleResult(o, work.OrderResult{WorkerClock: time.Second}, f.now)
		f.is.Equal(len(f.board.Schedule(f.now, f.now)), 0)
		f.hear(o.Incarnation.Worker, work.Report{Active: []work.ActiveRun{{Run: o.Run}}})
		f.is.Equal(len(f.board.Schedule(f.now, f.now)), 0)
	})
	t.Run("second loss gives the run up", func(t *testing.T) {
		f, o := begin(t)
		f.board.HandleResult(o, work.OrderResult{Outcome: work.OutcomeUnknown}, f.now)
		f.is.Equal(f.board.Schedule(f.now, f.now)[0].Kind, work.OrderStop)
	})
	// The first order was carried out, and the task ended before the repeat came.
	t.Run("repeat that is too old waits for the report of the end", func(t *testing.T) {
		f, o := begin(t)
		f.board.HandleResult(o, work.OrderResult{Outcome: work.OutcomeOld, WorkerClock: time.Second}, f.now)
		f.assertNoStart(f.orders())
		f.hear(o.Incarnation.Worker, work.Report{Ends: []work.RunEnd{{Number: 1, Run: o.Run}}})
		f.assertNoStart(f.orders())
		f.is.Equal(len(f.board.BeginCommit(1)), 1)
	})
	t.Run("refused repeat is stopped, since the first order may be carried out yet", func(t *testing.T) {
		f, o := begin(t)
		f.board.HandleResult(o, work.OrderResult{Outcome: work.OutcomeNoRoom, WorkerClock: time.Second}, f.now)
		f.is.Equal(f.board.Schedule(f.now, f.now)[0].Kind, work.OrderStop)
	})
	t.Run("life that is over gets no repeat", func(t *testing.T) {
		f := withBoard(t)
		f.hear("a", work.Report{})
		f.board.AddJob(chain("j", 1), work.Progress{}, 11, false, f.now)
		first := f.board.Schedule(f.now, f.now)[0]
		f.board.HandleResult(first, work.OrderResult{Outcome: work.OutcomeUnknown}, f.now)
		f.board.UpdateWorkers([]work.WorkerInfo{listing("b")}, f.now)
		f.assertNoStart(f.board.Schedule(f.now, f.now))
	})
}

func TestQuiet(t *testing.T) {
	// A worker is lost, its duty is taken over, and the member that would hold it by right is back.
	t.Run("duty is not handed on while a lost worker's lease is waited for", func(t *testing.T) {
		f := withBoard(t)
		f.board.AddUnresolvedIncarnation(life("gone"), f.now)
		f.hear("a", work.Report{})
		f.hear("b", work.Report{})
		f.is.True(!f.board.ReadyForHandOver(f.now))
		f.now = f.now.Add(7 * time.Second)
		f.is.True(f.board.ReadyForHandOver(f.now))
	})
	t.Run("nor while a worker with tasks is silent", func(t *testing.T) {
		f := withBoard(t)
		f.hear("a", work.Report{})
		f.hear("b", work.Report{})
		f.board.AddJob(chain("j", 1), work.Progress{}, 11, false, f.now)
		worker := f.orders()[0].Incarnation.Worker
		f.is.True(f.board.ReadyForHandOver(f.now))
		f.board.HandleMissedRenewal(life(worker), f.now)
		f.is.True(!f.board.ReadyForHandOver(f.now))
	})
}
