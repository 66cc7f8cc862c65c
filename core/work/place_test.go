package work_test

import (
	"testing"

	"siskincross/core/work"
)

func TestRetry(t *testing.T) {
	// One worker fails some of what it runs, though it reports that it is well; the others have room.
	retried := func() work.Job {
		j := chain("j", 1)
		j.Attempts = 3
		return j
	}
	failOn := func(f *fixture, o work.Order, number uint64) work.Order {
		f.hear(o.Life.Worker, work.Report{Ends: []work.End{{Number: number, Run: o.Run, How: work.HowFailed}}})
		orders := f.orders()
		f.is.Equal(len(orders), 1)
		return orders[0]
	}
	t.Run("task that failed on a worker is tried on another", func(t *testing.T) {
		f := withPool(t, 3)
		f.board.Add(retried(), work.Progress{}, 11, false, f.now)
		first := f.orders()[0]
		second := failOn(f, first, 1)
		f.is.True(second.Life != first.Life)
		third := failOn(f, second, 1)
		f.is.True(third.Life != first.Life && third.Life != second.Life)
	})
	t.Run("task that failed near its data is tried there once more, and then on another rack", func(t *testing.T) {
		f := withPool(t, 3)
		j := retried()
		j.Steps[0].DataRack = "rack-w01"
		f.board.Add(j, work.Progress{}, 11, false, f.now)
		first := f.orders()[0]
		f.is.Equal(first.Life.Worker, "w01")
		second := failOn(f, first, 1)
		f.is.Equal(second.Life.Worker, "w01") // the only one on the rack
		third := failOn(f, second, 2)
		f.is.True(third.Life.Worker != "w01")
	})
	t.Run("task that failed on the only worker is tried there again", func(t *testing.T) {
		f := withPool(t, 1)
		f.board.Add(retried(), work.Progress{}, 11, false, f.now)
		first := f.orders()[0]
		f.is.Equal(failOn(f, first, 1).Life, first.Life)
	})
}
