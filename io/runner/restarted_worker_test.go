package runner_test

import (
	"fmt"
	"testing"
	"time"
)

// TestEndsOfRestartedWorkers guards against a task that runs again after its end was acknowledged: workers start again under their IDs,
// carry out the renewals to their former incarnations, and forget their first ends up to the number that those acknowledge.
func TestEndsOfRestartedWorkers(t *testing.T) {
	const (
		jobs = 5
		// tasks is what the workers run at once.
		tasks = 20
		limit = 40 * time.Second
	)
	// down is how long the workers are down, listedAfter how much later the directory lists their next incarnations.
	for _, c := range []struct{ down, listedAfter time.Duration }{{0, 0}, {0, time.Second}, {600 * time.Millisecond, 1500 * time.Millisecond}} {
		t.Run(fmt.Sprintf("down %s, listed %s later", c.down, c.listedAfter), func(t *testing.T) {
			withFakeSite(t, 3, 2, func(s *fakeSite) {
				for i := range jobs {
					id := fmt.Sprintf("before%d", i)
					s.is.NoErr(s.submit("e0", id, tasks))
					s.awaitCompleted("e0", id, limit)
				}
				time.Sleep(2 * time.Second) // all ends are acknowledged
				for _, w := range s.workers {
					w.setSilent(true)
				}
				time.Sleep(c.down)
				for _, w := range s.workers {
					w.restart()
					w.setSilent(false)
				}
				time.Sleep(c.listedAfter)
				for _, w := range s.workers {
					s.listWorker(w)
				}
				for i := range jobs {
					id := fmt.Sprintf("after%d", i)
					s.is.NoErr(s.submit("e0", id, tasks))
					s.awaitCompleted("e0", id, limit)
				}
				s.assertCompletedOnce()
			})
		})
	}
}

// assertCompletedOnce asserts that no task was completed twice.
func (s *fakeSite) assertCompletedOnce() {
	s.t.Helper()
	completions := make(map[string]int)
	for _, w := range s.workers {
		for task, n := range w.completions {
			completions[task.String()] += n
		}
	}
	repeated := 0
	for _, n := range completions {
		if n > 1 {
			repeated++
		}
	}
	s.is.Equal(repeated, 0) // tasks that were completed more than once
}
