package work_test

import (
	"testing"

	"siskincross/core/work"
)

func TestEndedJobs(t *testing.T) {
	t.Run("completed job is not added again by an old reading", func(t *testing.T) {
		f := withBoard(t)
		f.hear("a", work.Report{})
		f.board.Add(chain("j", 1), work.Progress{}, 11, false, f.now)
		orders := f.orders()
		f.is.Equal(len(orders), 1)
		worker := orders[0].Life.Worker
		f.hear(worker, work.Report{Ends: []work.End{{Number: 1, Run: orders[0].Run}}})
		f.board.Committed(f.board.Changes(10), 12)
		f.board.Add(chain("j", 1), work.Progress{}, 11, false, f.now)
		f.is.Equal(len(f.orders()), 0)
	})
	t.Run("cancelled job is not added again by an old reading", func(t *testing.T) {
		f := withBoard(t)
		f.hear("a", work.Report{})
		f.board.Cancel("j")
		f.board.Add(chain("j", 1), work.Progress{}, 11, false, f.now)
		f.is.Equal(len(f.orders()), 0)
	})
}

func TestLeases(t *testing.T) {
	// A worker falls silent with a lasting task and stays listed: its host was moved.
	t.Run("lease of a silent worker ends although it is still renewed", func(t *testing.T) {
		f := withBoard(t)
		f.hear("a", work.Report{})
		f.hear("b", work.Report{})
		f.board.Add(lastingJob("j", 1), work.Progress{}, 11, false, f.now)
		orders := f.orders()
		f.is.Equal(len(orders), 1)
		silent, other := orders[0].Life.Worker, "a"
		if silent == "a" {
			other = "b"
		}
		f.board.Missed(life(silent), f.now)
		for range 60 {
			f.hear(other, work.Report{})
			f.now = f.now.Add(hundred)
			_, ok := f.board.Renew(life(silent), 0, f.now)
			f.is.True(ok)
			f.board.Missed(life(silent), f.now)
		}
		orders = f.orders()
		f.is.Equal(len(orders), 1)
		f.is.Equal(orders[0].Life.Worker, other)
	})
}
