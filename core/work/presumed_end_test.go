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
	f.board.Add(lastingJob("j", 1), work.Progress{}, 1, false, f.now)
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
		f.hear("a", work.Report{Ends: []work.End{{Number: 1, Run: run("j", 0, 0, 1), How: work.HowFailed}}})
		is.Equal(len(*given), 0)
	})
}

// TestUnheardEnd guards against a second run of a task whose first run ended while its holder could not hear of it: a lease that is
// over proves that nothing runs on a worker, not that nothing has ended there.
func TestUnheardEnd(t *testing.T) {
	begin := func(t *testing.T, j work.Job) (*fixture, work.Run) {
		f := withBoard(t)
		f.hear("a", work.Report{})
		f.board.Add(j, work.Progress{}, 1, false, f.now)
		started := f.orders()[0].Run
		f.hear("a", work.Report{Active: []work.Active{{Run: started, Percent: 100}}})
		f.board.Missed(life("a"), f.now)
		f.now = f.now.Add(20 * time.Second)
		f.hear("b", work.Report{})
		return f, started
	}
	t.Run("worker that is listed is heard first", func(t *testing.T) {
		f, started := begin(t, chain("j", 1))
		f.assertNoStart(f.orders())
		f.hear("a", work.Report{Ends: []work.End{{Number: 1, Run: started, How: work.HowDone}}})
		f.assertNoStart(f.orders())
	})
	t.Run("lapse that it tells of lets the task start again", func(t *testing.T) {
		f, started := begin(t, chain("j", 1))
		f.hear("a", work.Report{Ends: []work.End{{Number: 1, Run: started, How: work.HowLapsed}}})
		f.is.Equal(len(f.orders()), 1)
	})
	t.Run("worker that is no longer listed is not waited for", func(t *testing.T) {
		f, _ := begin(t, chain("j", 1))
		f.board.List([]work.Listing{listing("b")}, f.now)
		f.is.Equal(f.orders()[0].Life.Worker, "b")
	})
	t.Run("lasting task never ends by itself and starts elsewhere", func(t *testing.T) {
		f, _ := begin(t, lastingJob("j", 1))
		f.is.Equal(f.orders()[0].Life.Worker, "b")
	})
}
