package work_test

import (
	"testing"

	"siskincross/core/work"
)

// TestMissingEnds guards against a log that doesn't tell an end that a worker forgot before it listed it from one that was listed.
func TestMissingEnds(t *testing.T) {
	end := func(number uint64) work.Report {
		return work.Report{Ends: []work.RunEnd{{Number: number, Run: runID("other", 0, 0, int(number)), Reason: work.EndReasonDone}}}
	}
	observe := func(f *fixture) *[]work.MissingEnds {
		var seen []work.MissingEnds
		f.scheduler.OnMissingEnds = func(m work.MissingEnds) { seen = append(seen, m) }
		return &seen
	}
	t.Run("first end of a new worker has a higher number", func(t *testing.T) {
		f := newFixture(t)
		seen := observe(f)
		f.answerRenewal("a", end(4))
		f.is.Equal(*seen, []work.MissingEnds{{Incarnation: incarnation("a"), First: 1, Last: 3}})
	})
	t.Run("gap between two ends", func(t *testing.T) {
		f := newFixture(t)
		seen := observe(f)
		f.answerRenewal("a", end(1))
		f.answerRenewal("a", end(3))
		f.is.Equal(*seen, []work.MissingEnds{{Incarnation: incarnation("a"), First: 2, Last: 2}})
	})
	t.Run("ends that an earlier holder acknowledged", func(t *testing.T) {
		f := newFixture(t)
		seen := observe(f)
		f.scheduler.AddUnresolvedIncarnation(laterIncarnation("a").Incarnation, f.now)
		f.scheduler.UpdateWorkers([]work.WorkerInfo{laterIncarnation("a")}, f.now)
		f.scheduler.HandleReport(laterIncarnation("a").Incarnation, 0, end(4), f.now)
		f.is.Equal(len(*seen), 0)
	})
}
