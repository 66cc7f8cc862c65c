package work_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"siskincross/core/work"
)

// TestLingeringRun checks that the scheduler calls OnLingeringRun for a run that no task needs and that its
// worker goes on listing.
func TestLingeringRun(t *testing.T) {
	unknown := runID("unknown", 0, 0, 1)
	t.Run("is not told of at once", func(t *testing.T) {
		f, lingering := newLingeringFixture(t)
		f.answerRenewal("a", work.Report{Active: []work.ActiveRun{{Run: unknown}}})
		is.New(t).Equal(len(*lingering), 0)
	})
	t.Run("is told of with the state of its stop", func(t *testing.T) {
		is := is.New(t)
		f, lingering := newLingeringFixture(t)
		f.answerRenewal("a", work.Report{Active: []work.ActiveRun{{Run: unknown}}})
		f.now = f.now.Add(time.Second)
		f.answerRenewal("a", work.Report{Active: []work.ActiveRun{{Run: unknown}}})
		is.Equal(len(*lingering), 1)
		is.Equal((*lingering)[0].Run, unknown)
		is.True((*lingering)[0].Adopted)
		is.True((*lingering)[0].StopRequested)
		is.True(!(*lingering)[0].StopConfirmed)
	})
	t.Run("is not told of while a task needs it", func(t *testing.T) {
		f, lingering := newLingeringFixture(t)
		f.scheduler.AddJob(newLongRunningJob("j", 1), work.Progress{}, 1, false, f.now)
		f.answerRenewal("a", work.Report{})
		orders := f.executeRound()
		for range 3 {
			f.now = f.now.Add(time.Second)
			f.answerRenewal("a", work.Report{Active: []work.ActiveRun{{Run: orders[0].Run}}})
		}
		is.New(t).Equal(len(*lingering), 0)
	})
}

// newLingeringFixture returns a fixture and the runs that the scheduler calls OnLingeringRun with.
func newLingeringFixture(t *testing.T) (*fixture, *[]work.LingeringRun) {
	f := newFixture(t)
	lingering := &[]work.LingeringRun{}
	f.scheduler.OnLingeringRun = func(r work.LingeringRun) { *lingering = append(*lingering, r) }
	return f, lingering
}
