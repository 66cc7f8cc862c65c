package work_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"siskincross/core/work"
)

// withGivenUp returns a board on which a task runs, and what it is told of runs that are given up.
func withGivenUp(t *testing.T) (*fixture, *[]work.GivenUp) {
	f := withBoard(t)
	given := &[]work.GivenUp{}
	f.board.GaveUp = func(g work.GivenUp) { *given = append(*given, g) }
	f.hear("a", work.Report{})
	f.board.Add(chain("j", 1), work.Progress{}, 1, false, f.now)
	f.is.Equal(len(f.orders()), 1)
	return f, given
}

// TestGaveUp guards that every run that counts as over without a report of its end is told of, with its reason.
func TestGaveUp(t *testing.T) {
	t.Run("lease over", func(t *testing.T) {
		is := is.New(t)
		f, given := withGivenUp(t)
		f.now = f.now.Add(time.Second)
		f.board.Missed(life("a"), f.now)
		f.now = f.now.Add(8 * time.Second)
		f.board.Orders(f.now, f.now)
		is.Equal(len(*given), 1)
		is.Equal((*given)[0].Cause, work.CauseLeaseOver)
		is.Equal((*given)[0].Misses, 1)
		is.True((*given)[0].Wanted)
		is.True((*given)[0].Clock > (*given)[0].Granted)
		is.Equal((*given)[0].Heard, 9*time.Second)
	})
	t.Run("life over", func(t *testing.T) {
		is := is.New(t)
		f, given := withGivenUp(t)
		f.board.Gone(life("a"))
		is.Equal(len(*given), 1)
		is.Equal((*given)[0].Cause, work.CauseLifeOver)
	})
	t.Run("absent", func(t *testing.T) {
		is := is.New(t)
		f, given := withGivenUp(t)
		f.hear("a", work.Report{})
		is.Equal(len(*given), 1)
		is.Equal((*given)[0].Cause, work.CauseAbsent)
	})
	t.Run("reported ends are not given up", func(t *testing.T) {
		is := is.New(t)
		f, given := withGivenUp(t)
		f.hear("a", work.Report{Ends: []work.End{{Number: 1, Run: run("j", 0, 0, 1), How: work.HowDone}}})
		is.Equal(len(*given), 0)
	})
}
