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
	board *work.Board
	now   time.Time
	// running holds the runs that were started, by worker, ended the ends that a worker lists.
	running map[string][]startedRun
	ended   map[string][]work.End
}

type startedRun struct {
	run work.Run
	at  time.Time
}

func withBoard(t *testing.T) *fixture {
	f := &fixture{
		is: is.New(t), board: &work.Board{Pool: "pool", Epoch: 10}, now: start,
		running: make(map[string][]startedRun), ended: make(map[string][]work.End),
	}
	f.board.List([]work.Listing{listing("a"), listing("b")}, f.now)
	return f
}

func life(id string) work.Life { return work.Life{Worker: id, Born: 1} }

func listing(id string) work.Listing {
	return work.Listing{
		Life: life(id), Address: id, Pool: "pool", Rack: "rack-" + id, Capacity: work.Resources{MilliCores: 4000, MemoryMB: 4000},
	}
}

// chain is a job of steps that follow each other, with tasks of one core.
func chain(id work.ID, tasks ...int) work.Job {
	j := work.Job{ID: id, Attempts: 2}
	for i, n := range tasks {
		s := work.Step{Tasks: n, Demand: work.Resources{MilliCores: 1000, MemoryMB: 100}, Estimate: time.Second}
		if i > 0 {
			s.After = []int{i - 1}
		}
		j.Steps = append(j.Steps, s)
	}
	return j
}

// hear plays a renewal that a worker answers.
func (f *fixture) hear(id string, r work.Report) work.Renewal {
	f.now = f.now.Add(10 * time.Millisecond)
	renewal, ok := f.board.Renew(life(id), 0, f.now)
	f.is.True(ok)
	r.Clock = f.now.Sub(start) + time.Second
	f.board.Report(life(id), renewal.Sequence, r, f.now)
	return renewal
}

// orders plays a round and answers every order with success.
func (f *fixture) orders() []work.Order {
	orders := f.board.Orders(f.now, f.now)
	for _, o := range orders {
		f.is.True(f.board.Answered(o, work.Answer{Clock: f.now.Sub(start) + time.Second}, f.now))
		if o.Kind == work.OrderStart {
			f.running[o.Life.Worker] = append(f.running[o.Life.Worker], startedRun{o.Run, f.now})
		}
	}
	return orders
}

func run(id work.ID, step, index, attempt int) work.Run {
	return work.Run{Task: work.Task{Job: id, Step: step, Index: index}, Attempt: attempt}
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
		f.board.Expect(life("a"), f.now)
		f.board.Expect(life("b"), f.now)
		f.board.Add(chain("j", 1, 2), work.Progress{}, 5, true, f.now)
		f.hear("a", work.Report{Ends: []work.End{{Number: 1, Run: run("j", 1, 0, 1)}}})
		f.hear("b", work.Report{Ends: []work.End{{Number: 1, Run: run("j", 0, 0, 1)}}})
		orders := f.orders()
		f.is.Equal(len(orders), 1)
		f.is.Equal(orders[0].Run.Task, work.Task{Job: "j", Step: 1, Index: 1})
		f.is.Equal(f.hear("a", work.Report{}).Acknowledged, uint64(0)) // not stored yet
	})
	t.Run("run of a step whose turn is not known to have come goes on", func(t *testing.T) {
		f := withBoard(t)
		f.board.Expect(life("a"), f.now)
		f.board.Expect(life("b"), f.now)
		f.board.Add(chain("j", 1, 1), work.Progress{}, 5, true, f.now)
		f.hear("a", work.Report{Active: []work.Active{{Run: run("j", 1, 0, 1)}}})
		f.hear("b", work.Report{Ends: []work.End{{Number: 1, Run: run("j", 0, 0, 1)}}})
		f.is.Equal(len(f.orders()), 0)
	})
	t.Run("worker that does not answer may run anything until its leases are over", func(t *testing.T) {
		f := withBoard(t)
		f.board.Expect(life("a"), f.now)
		f.board.Expect(life("b"), f.now)
		f.board.Add(chain("j", 1), work.Progress{}, 5, true, f.now)
		f.board.Add(chain("new", 1), work.Progress{}, 11, false, f.now)
		f.hear("a", work.Report{})
		orders := f.orders()
		f.is.Equal(len(orders), 1)
		f.is.Equal(orders[0].Run.Task.Job, work.ID("new"))
		f.board.List([]work.Listing{listing("a")}, f.now)
		f.now = f.now.Add(7 * time.Second)
		f.hear("a", work.Report{Active: []work.Active{{Run: orders[0].Run}}})
		f.is.Equal(len(f.orders()), 1)
	})
	t.Run("earlier holder's lease outlasts a cut", func(t *testing.T) {
		f := withBoard(t)
		f.board.Expect(life("a"), f.now)
		f.board.Add(chain("j", 1), work.Progress{}, 5, true, f.now)
		f.hear("a", work.Report{Active: []work.Active{{Run: run("j", 0, 0, 1)}}})
		f.hear("b", work.Report{})
		f.board.Missed(life("a"), f.now)
		f.assertNoStart(f.orders())
		f.now = f.now.Add(5900 * time.Millisecond)
		f.hear("b", work.Report{})
		f.assertNoStart(f.orders())
		f.now = f.now.Add(400 * time.Millisecond)
		f.hear("b", work.Report{})
		f.assertNoStart(f.orders()) // it may have ended as done
		f.board.List([]work.Listing{listing("b")}, f.now)
		f.is.Equal(len(f.orders()), 1)
	})
}

// The process of a holder stands still, and another one may have taken its duty over meanwhile.
func TestStall(t *testing.T) {
	f := withBoard(t)
	f.hear("a", work.Report{})
	f.hear("b", work.Report{})
	f.now = f.now.Add(6 * time.Second)
	f.board.Add(chain("j", 1), work.Progress{}, 11, false, f.now)
	f.assertNoStart(f.orders())
	f.hear("b", work.Report{})
	f.is.Equal(f.orders()[0].Life.Worker, "b")
}

func TestRepeat(t *testing.T) {
	begin := func(t *testing.T) (*fixture, work.Order) {
		f := withBoard(t)
		f.hear("a", work.Report{})
		f.hear("b", work.Report{})
		f.board.Add(chain("j", 1), work.Progress{}, 11, false, f.now)
		first := f.board.Orders(f.now, f.now)[0]
		f.board.Answered(first, work.Answer{Verdict: work.VerdictUnknown}, f.now)
		orders := f.board.Orders(f.now, f.now)
		f.is.Equal(len(orders), 1)
		f.is.Equal(orders[0], first)
		return f, first
	}
	t.Run("start without an answer is repeated, and runs", func(t *testing.T) {
		f, o := begin(t)
		f.board.Answered(o, work.Answer{Clock: time.Second}, f.now)
		f.is.Equal(len(f.board.Orders(f.now, f.now)), 0)
		f.hear(o.Life.Worker, work.Report{Active: []work.Active{{Run: o.Run}}})
		f.is.Equal(len(f.board.Orders(f.now, f.now)), 0)
	})
	t.Run("second loss gives the run up", func(t *testing.T) {
		f, o := begin(t)
		f.board.Answered(o, work.Answer{Verdict: work.VerdictUnknown}, f.now)
		f.is.Equal(f.board.Orders(f.now, f.now)[0].Kind, work.OrderStop)
	})
	// The first order was carried out, and the task ended before the repeat came.
	t.Run("repeat that is too old waits for the report of the end", func(t *testing.T) {
		f, o := begin(t)
		f.board.Answered(o, work.Answer{Verdict: work.VerdictOld, Clock: time.Second}, f.now)
		f.assertNoStart(f.orders())
		f.hear(o.Life.Worker, work.Report{Ends: []work.End{{Number: 1, Run: o.Run}}})
		f.assertNoStart(f.orders())
		f.is.Equal(len(f.board.Changes(1)), 1)
	})
	t.Run("refused repeat is stopped, since the first order may be carried out yet", func(t *testing.T) {
		f, o := begin(t)
		f.board.Answered(o, work.Answer{Verdict: work.VerdictNoRoom, Clock: time.Second}, f.now)
		f.is.Equal(f.board.Orders(f.now, f.now)[0].Kind, work.OrderStop)
	})
	t.Run("life that is over gets no repeat", func(t *testing.T) {
		f := withBoard(t)
		f.hear("a", work.Report{})
		f.board.Add(chain("j", 1), work.Progress{}, 11, false, f.now)
		first := f.board.Orders(f.now, f.now)[0]
		f.board.Answered(first, work.Answer{Verdict: work.VerdictUnknown}, f.now)
		f.board.List([]work.Listing{listing("b")}, f.now)
		f.assertNoStart(f.board.Orders(f.now, f.now))
	})
}

func TestQuiet(t *testing.T) {
	// A worker is lost, its duty is taken over, and the member that would hold it by right is back.
	t.Run("duty is not handed on while a lost worker's lease is waited for", func(t *testing.T) {
		f := withBoard(t)
		f.board.Expect(life("gone"), f.now)
		f.hear("a", work.Report{})
		f.hear("b", work.Report{})
		f.is.True(!f.board.Quiet(f.now))
		f.now = f.now.Add(7 * time.Second)
		f.is.True(f.board.Quiet(f.now))
	})
	t.Run("nor while a worker with tasks is silent", func(t *testing.T) {
		f := withBoard(t)
		f.hear("a", work.Report{})
		f.hear("b", work.Report{})
		f.board.Add(chain("j", 1), work.Progress{}, 11, false, f.now)
		worker := f.orders()[0].Life.Worker
		f.is.True(f.board.Quiet(f.now))
		f.board.Missed(life(worker), f.now)
		f.is.True(!f.board.Quiet(f.now))
	})
}
