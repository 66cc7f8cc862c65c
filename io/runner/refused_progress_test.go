package runner_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"siskincross/core/work"
	"siskincross/io/platform"
	"siskincross/io/runner"
)

// refuseWrites makes the store refuse for good each transaction with a write that matches.
func (s *fakeStore) refuseWrites(matches func(platform.RowWrite) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusesWrite = matches
}

// assertState checks the state of a job.
func (s *fakeSite) assertState(id string, want work.State) {
	s.t.Helper()
	state, err := s.entryHosts["e0"].manager.State(s.t.Context(), runner.Caller{}, s.queue(), work.JobID(id))
	s.is.NoErr(err)
	s.is.Equal(state, want)
}

// TestRefusedProgress guards against a change that the store refuses for good and that holds up all other jobs of the pool.
func TestRefusedProgress(t *testing.T) {
	t.Run("the progress of one job", func(t *testing.T) {
		withFakeSite(t, 3, 4, func(s *fakeSite) {
			s.store.refuseWrites(func(w platform.RowWrite) bool { return w.Table == "progress" && w.Key == "refused" })
			j := job("refused", 2)
			j.Steps = append(j.Steps, j.Steps[0])
			j.Steps[1].DependsOn, j.Steps[1].LongRunning = []int{0}, true
			s.is.NoErr(s.submitJob("e0", j))
			for i := range 8 {
				s.is.NoErr(s.submit("e1", fmt.Sprint("j", i), 4))
				time.Sleep(100 * time.Millisecond)
			}
			for i := range 8 {
				s.awaitCompleted("e0", fmt.Sprint("j", i), 5*time.Second)
			}
			time.Sleep(5 * time.Second)
			s.assertState("refused", work.StateFailed)
		})
	})
	t.Run("the number of waiting jobs", func(t *testing.T) {
		withFakeSite(t, 3, 4, func(s *fakeSite) {
			s.store.refuseWrites(func(w platform.RowWrite) bool { return w.Table == "count" })
			for i := range 8 {
				s.is.NoErr(s.submit("e1", fmt.Sprint("j", i), 4))
				time.Sleep(100 * time.Millisecond)
			}
			for i := range 8 {
				s.awaitCompleted("e0", fmt.Sprint("j", i), 5*time.Second)
			}
		})
	})
}

// TestProgressOfManyOccurrences guards against a repeated job whose progress outgrows a row.
func TestProgressOfManyOccurrences(t *testing.T) {
	withFakeSite(t, 3, 4, func(s *fakeSite) {
		largest := 0
		s.store.refuseWrites(func(w platform.RowWrite) bool {
			if w.Table == "progress" {
				largest = max(largest, len(w.Value))
			}
			return len(w.Value) > 48<<10
		})
		j := job("many", 1)
		for i := range 4 {
			step := j.Steps[0]
			step.DependsOn = []int{i}
			j.Steps = append(j.Steps, step)
		}
		j.Spec = strings.Repeat("x", 100)
		j.Repeat = work.Repeat{Count: 1440, First: time.Now().Add(-1440 * time.Minute), Period: time.Minute}
		s.is.NoErr(s.submitJob("e0", j))
		for i := range 8 {
			s.is.NoErr(s.submit("e1", fmt.Sprint("j", i), 4))
			time.Sleep(100 * time.Millisecond)
		}
		for _, id := range []string{"many", "j0", "j7"} {
			s.awaitCompleted("e0", id, 10*time.Minute)
		}
		s.is.True(largest > 0)
		s.is.True(largest <= 48<<10)
	})
}
