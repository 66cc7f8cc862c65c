package work_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"siskincross/core/work"
)

// occurrenceProgress returns the progress of a job after a set of its occurrences has ended.
func occurrenceProgress(ended ...int) work.Progress {
	p := work.Progress{}.WithState(work.StateRunning)
	for _, k := range ended {
		p = p.WithDoneTask(work.TaskID{Job: "j", Occurrence: k}).WithFinishedOccurrence(k)
	}
	return p
}

func TestFinishedOccurrences(t *testing.T) {
	t.Run("are done and survive the stored form, in any order", func(t *testing.T) {
		is := is.New(t)
		value, err := occurrenceProgress(7, 0, 2, 1, 5, 6, 9).Encode()
		is.NoErr(err)
		p, err := work.DecodeProgress("j", value)
		is.NoErr(err)
		for k, want := range []bool{true, true, true, false, false, true, true, true, false, true, false} {
			is.Equal(p.IsDone(work.TaskID{Job: "j", Occurrence: k, Step: 3, Index: 99}), want)
			is.Equal(p.HasFinishedOccurrence(k), want)
		}
	})
	t.Run("take no more room the more of them there are", func(t *testing.T) {
		is := is.New(t)
		var all []int
		for k := range 10_000 {
			all = append(all, k)
		}
		value, err := occurrenceProgress(all...).Encode()
		is.NoErr(err)
		is.True(len(value) < 100)
	})
	t.Run("keep no failures", func(t *testing.T) {
		is := is.New(t)
		run := work.RunID{Task: work.TaskID{Job: "j", Occurrence: 1}, Attempt: 1}
		is.Equal(occurrenceProgress().WithFailedAttempt(run).WithFinishedOccurrence(1).FailureCount(run.Task), 0)
	})
}

func TestDoneTaskKeepsNoFailures(t *testing.T) {
	is := is.New(t)
	run := work.RunID{Task: work.TaskID{Job: "j"}, Attempt: 1}
	is.Equal(work.Progress{}.WithFailedAttempt(run).WithDoneTask(run.Task).FailureCount(run.Task), 0)
}

// TestCrashesThatExceedARow guards against a job that can't be stored because of the crashes under its tasks.
func TestCrashesThatExceedARow(t *testing.T) {
	is := is.New(t)
	p := work.Progress{}
	for i := range 1000 {
		task := work.TaskID{Job: "j", Index: i}
		p = p.WithCrash(work.Crash{Run: work.RunID{Task: task, Attempt: 1000}, MinAge: time.Second, MaxAge: time.Second, Confirmed: true})
	}
	value, err := p.WithDoneTask(work.TaskID{Job: "j", Index: 3}).Encode()
	is.NoErr(err)
	is.True(len(value) <= work.MaxProgressBytes)
	decoded, err := work.DecodeProgress("j", value)
	is.NoErr(err)
	is.True(decoded.IsDone(work.TaskID{Job: "j", Index: 3}))
}
