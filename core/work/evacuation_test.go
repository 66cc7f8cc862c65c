package work_test

import (
	"testing"
	"time"

	"siskincross/core/work"
)

const hundred = 100 * time.Millisecond

// lastingJob is a job of lasting tasks of which one may be away.
func lastingJob(id work.ID, tasks int) work.Job {
	j := chain(id, tasks)
	j.Steps[0].Lasting, j.Steps[0].Tolerant, j.Steps[0].ToleratedLoss = true, true, 1
	return j
}

// running is the report of a worker on which runs work at full pace.
func running(orders []work.Order, worker string) work.Report {
	var r work.Report
	for _, o := range orders {
		if o.Kind == work.OrderStart && o.Life.Worker == worker {
			r.Active = append(r.Active, work.Active{Run: o.Run, Percent: 100})
		}
	}
	return r
}

func stops(orders []work.Order) []work.Order {
	var list []work.Order
	for _, o := range orders {
		if o.Kind == work.OrderStop {
			list = append(list, o)
		}
	}
	return list
}

func TestWithdraw(t *testing.T) {
	t.Run("lasting tasks leave one by one", func(t *testing.T) {
		f := withBoard(t)
		f.hear("a", work.Report{})
		f.hear("b", work.Report{})
		f.board.Add(lastingJob("j", 4), work.Progress{}, 11, false, f.now)
		started := f.orders()
		f.is.Equal(len(started), 4)
		f.hear("a", running(started, "a"))
		f.hear("b", running(started, "b"))
		f.board.Withdraw(map[string]bool{"a": true}, f.now)
		f.is.Equal(len(stops(f.orders())), 1)
		f.is.Equal(len(stops(f.orders())), 0) // the first is not at work elsewhere yet
		f.is.Equal(len(f.board.Cleared()), 0)
	})
	t.Run("no lasting task leaves while another is away for another cause", func(t *testing.T) {
		f := withBoard(t)
		f.hear("a", work.Report{})
		f.hear("b", work.Report{})
		f.board.Add(lastingJob("j", 2), work.Progress{}, 11, false, f.now)
		started := f.orders()
		f.hear("a", running(started, "a")) // the other is not at full pace yet
		f.board.Withdraw(map[string]bool{"a": true}, f.now)
		f.is.Equal(len(stops(f.orders())), 0)
	})
	// A rack goes dark under one task of a step; its worker's last report says that all is well.
	t.Run("no lasting task leaves while another's worker is silent", func(t *testing.T) {
		f := withBoard(t)
		f.hear("a", work.Report{})
		f.hear("b", work.Report{})
		f.board.Add(lastingJob("j", 2), work.Progress{}, 11, false, f.now)
		started := f.orders()
		f.hear("a", running(started, "a"))
		f.hear("b", running(started, "b"))
		f.board.Missed(life("b"), f.now)
		f.board.Withdraw(map[string]bool{"a": true}, f.now)
		f.is.Equal(len(stops(f.orders())), 0)
		f.hear("b", running(started, "b"))
		f.is.Equal(len(stops(f.orders())), 1)
	})
	// The earlier holder told a worker to stop a task a moment before it was replaced: the worker still lists the task.
	t.Run("no lasting task leaves while another may be stopping on an earlier holder's order", func(t *testing.T) {
		f := withBoard(t)
		f.board.Expect(life("a"), f.now)
		f.board.Add(lastingJob("j", 2), work.Progress{}, 5, true, f.now)
		first := work.Report{Active: []work.Active{{Run: run("j", 0, 0, 1), Percent: 100}}}
		second := work.Report{Active: []work.Active{{Run: run("j", 0, 1, 1), Percent: 100}}}
		f.hear("a", first)
		f.hear("b", second)
		f.board.Withdraw(map[string]bool{"b": true}, f.now)
		f.is.Equal(len(stops(f.orders())), 0)
		f.now = f.now.Add(5 * hundred)
		f.is.Equal(len(stops(f.orders())), 0) // nothing newer was heard
		f.hear("a", first)
		f.hear("b", second)
		f.is.Equal(len(stops(f.orders())), 1)
	})
	t.Run("withdrawn worker gets no work and is cleared once it runs nothing", func(t *testing.T) {
		f := withBoard(t)
		f.hear("a", work.Report{})
		f.hear("b", work.Report{})
		f.board.Withdraw(map[string]bool{"a": true}, f.now)
		f.is.Equal(f.board.Cleared(), []string{"a"})
		f.board.Add(chain("j", 3), work.Progress{}, 11, false, f.now)
		for _, o := range f.orders() {
			f.is.Equal(o.Life.Worker, "b")
		}
	})
	// The holder freezes between the answer of a worker and the commit of what it told; the next holder has only the roster.
	t.Run("worker stays on the roster until the ends that it listed are stored", func(t *testing.T) {
		f := withBoard(t)
		f.hear("a", work.Report{})
		f.board.Add(chain("j", 2), work.Progress{}, 11, false, f.now)
		f.is.Equal(len(f.orders()), 2)
		f.hear("a", work.Report{Active: []work.Active{{Run: run("j", 0, 1, 1)}}, Ends: []work.End{{Number: 1, Run: run("j", 0, 0, 1)}}})
		f.hear("a", work.Report{Ends: []work.End{{Number: 1, Run: run("j", 0, 0, 1)}, {Number: 2, Run: run("j", 0, 1, 1)}}})
		leaving := map[string]bool{"a": true}
		f.board.Withdraw(leaving, f.now)
		f.is.Equal(len(f.board.Cleared()), 0)
		f.is.True(f.board.Roster(nil, leaving)[life("a")])
		f.board.List([]work.Listing{listing("b")}, f.now) // it is not forgotten if the directory loses it meanwhile
		f.is.True(f.board.Roster(nil, leaving)[life("a")])
		f.board.List([]work.Listing{listing("a"), listing("b")}, f.now)
		f.board.Committed(f.board.Changes(10), 12)
		f.is.Equal(f.board.Cleared(), []string{"a"})
		f.is.True(!f.board.Roster(nil, leaving)[life("a")])
	})
}
