package work_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskincross/core/work"
)

func TestRetry(t *testing.T) {
	// One worker fails some of what it runs, though it reports that it is well; the others have room.
	retried := func() work.Job {
		j := chain("j", 1)
		j.MaxFailedAttempts = 3
		return j
	}
	failOn := func(f *fixture, o work.Order, number uint64) work.Order {
		f.hear(o.Incarnation.Worker, work.Report{Ends: []work.RunEnd{{Number: number, Run: o.Run, Reason: work.EndReasonFailed}}})
		orders := f.orders()
		f.is.Equal(len(orders), 1)
		return orders[0]
	}
	t.Run("task that failed on a worker is tried on another", func(t *testing.T) {
		f := withPool(t, 3)
		f.board.AddJob(retried(), work.Progress{}, 11, false, f.now)
		first := f.orders()[0]
		second := failOn(f, first, 1)
		f.is.True(second.Incarnation != first.Incarnation)
		third := failOn(f, second, 1)
		f.is.True(third.Incarnation != first.Incarnation && third.Incarnation != second.Incarnation)
	})
	t.Run("task that failed near its data is tried there once more, and then on another rack", func(t *testing.T) {
		f := withPool(t, 3)
		j := retried()
		j.Steps[0].DataRack = "rack-w01"
		f.board.AddJob(j, work.Progress{}, 11, false, f.now)
		first := f.orders()[0]
		f.is.Equal(first.Incarnation.Worker, "w01")
		second := failOn(f, first, 1)
		f.is.Equal(second.Incarnation.Worker, "w01") // the only one on the rack
		third := failOn(f, second, 2)
		f.is.True(third.Incarnation.Worker != "w01")
	})
	t.Run("task that failed on the only worker is tried there again", func(t *testing.T) {
		f := withPool(t, 1)
		f.board.AddJob(retried(), work.Progress{}, 11, false, f.now)
		first := f.orders()[0]
		f.is.Equal(failOn(f, first, 1).Incarnation, first.Incarnation)
	})
}

// TestNoRoom guards against steps that are passed over because another step found no place in the same round.
func TestNoRoom(t *testing.T) {
	started := func(t *testing.T, first func(*work.Step)) []work.Order {
		f := withPool(t, 2)
		earlier, later := chain("a", 1), chain("b", 1)
		first(&earlier.Steps[0])
		f.board.AddJob(earlier, work.Progress{}, 11, false, f.now)
		f.board.AddJob(later, work.Progress{}, 12, false, f.now)
		return f.orders()
	}
	for name, first := range map[string]func(*work.Step){
		"step that needs less than one without a place is started":           func(s *work.Step) { s.Demand.MilliCores = 5000 },
		"step that needs less memory than one without a place is started":    func(s *work.Step) { s.Demand.MemoryMB = 1 << 20 },
		"step without a label is started after one whose label nobody has":   func(s *work.Step) { s.RequiredLabel = "none" },
		"step is started after a gang that is too large":                     func(s *work.Step) { s.Gang, s.TaskCount = true, 9 },
		"step that spreads is followed by one that does not":                 func(s *work.Step) { s.SpreadLimit, s.TaskCount = 1, 3 },
		"lasting step without a place does not keep those that end from any": func(s *work.Step) { s.LongRunning, s.Demand.MilliCores = true, 5000 },
	} {
		t.Run(name, func(t *testing.T) {
			begun := make(map[work.JobID]bool)
			for _, o := range started(t, first) {
				begun[o.Run.Task.Job] = true
			}
			is.New(t).True(begun["b"])
		})
	}
	t.Run("steps that need as much as one without a place wait for room", func(t *testing.T) {
		f := withPool(t, 1)
		for i := range 6 {
			f.board.AddJob(chain(work.JobID(fmt.Sprint("j", i)), 2), work.Progress{}, 11, false, f.now)
		}
		f.is.Equal(len(f.orders()), 4) // a worker of four cores
		f.is.Equal(len(f.orders()), 0)
		f.now = f.now.Add(time.Second)
		f.endAll(time.Second)
		f.is.Equal(len(f.orders()), 4)
	})
}

// TestStartsInFlight guards against a holder that orders more than it can hear the answers of: every answer then comes after the call
// was given up, and each start is repeated, stopped and made again.
func TestStartsInFlight(t *testing.T) {
	const workers, tasks = 60, 200
	f := withPool(t, workers)
	f.board.AddJob(chain("j", tasks), work.Progress{}, 11, false, f.now)
	first := f.board.Schedule(f.now, f.now)
	f.is.True(len(first) <= 100)
	f.is.Equal(len(f.board.Schedule(f.now, f.now)), 0) // none is answered yet
	for _, o := range first[:10] {
		f.is.True(f.board.HandleResult(o, work.OrderResult{WorkerClock: time.Second}, f.now))
	}
	f.is.Equal(len(f.board.Schedule(f.now, f.now)), 10)
	for _, o := range first[10:] {
		f.is.True(f.board.HandleResult(o, work.OrderResult{Outcome: work.OutcomeNotSent}, f.now))
	}
	f.now = f.now.Add(hundred)
	f.is.Equal(len(f.orders()), 90) // what was not sent makes room too
}

// TestOutdatedKnowledge guards against starts of jobs whose cancel the holder has not heard of, because its feed is behind, and on
// workers that may be about to leave, because that of the directory is.
func TestOutdatedKnowledge(t *testing.T) {
	f := withPool(t, 1)
	f.board.AddJob(chain("j", 1), work.Progress{}, 11, false, f.now)
	f.board.SetSnapshotTimes(f.now.Add(-3*time.Second), f.now)
	f.assertNoStart(f.orders())
	f.board.SetSnapshotTimes(f.now, f.now.Add(-2*time.Second))
	f.assertNoStart(f.orders())
	f.board.SetSnapshotTimes(f.now.Add(-time.Second), f.now)
	f.is.Equal(len(f.orders()), 1)
}
