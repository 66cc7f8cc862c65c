package runner_test

import (
	"fmt"
	"testing"
	"time"

	"siskincross/core/work"
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
	for _, c := range []struct {
		// down is how long the workers are down, listedAfter how much later the directory lists their next incarnations.
		down, listedAfter time.Duration
		// holderKilled is true if the holder is killed once they are back, before they are listed.
		holderKilled bool
		// busy is true if the workers crash while ends are acknowledged.
		busy bool
	}{
		{0, 0, false, false},
		{0, time.Second, false, false},
		{600 * time.Millisecond, 1500 * time.Millisecond, false, false},
		{0, time.Second, true, false},
		{600 * time.Millisecond, 1500 * time.Millisecond, true, false},
		{0, time.Second, false, true},
		{600 * time.Millisecond, 1500 * time.Millisecond, false, true},
		{600 * time.Millisecond, 1500 * time.Millisecond, true, true},
	} {
		t.Run(fmt.Sprintf("down %s, listed %s later, holder killed %t, busy %t", c.down, c.listedAfter, c.holderKilled, c.busy), func(t *testing.T) {
			withFakeSite(t, 3, 2, func(s *fakeSite) {
				for i := range jobs {
					id := fmt.Sprintf("before%d", i)
					s.is.NoErr(s.submit("e0", id, tasks))
					s.awaitCompleted("e0", id, limit)
				}
				time.Sleep(2 * time.Second) // all ends are acknowledged
				host := "e0"
				if c.busy {
					s.is.NoErr(s.submit(host, "during", tasks))
					time.Sleep(taskTime + 30*time.Millisecond)
				}
				for _, w := range s.workers {
					w.setSilent(true)
				}
				time.Sleep(c.down)
				for _, w := range s.workers {
					w.restart()
					w.setSilent(false)
				}
				if c.holderKilled {
					holder := s.poolHolder()
					host = s.otherHost(holder)
					s.kill(holder)
				}
				time.Sleep(c.listedAfter)
				for _, w := range s.workers {
					s.listWorker(w)
				}
				for i := range jobs {
					id := fmt.Sprintf("after%d", i)
					s.is.NoErr(s.submit(host, id, tasks))
					s.awaitCompleted(host, id, limit)
				}
				s.assertNoStartAfterNotedEnd()
			})
		})
	}
}

// assertNoStartAfterNotedEnd asserts that no task was started after a run of it was done whose end was acknowledged then or later.
func (s *fakeSite) assertNoStartAfterNotedEnd() {
	s.t.Helper()
	lastStarts, notedEnds := make(map[work.TaskID]time.Time), make(map[work.TaskID]time.Time)
	for _, w := range s.workers {
		w.addHistory(lastStarts, notedEnds)
	}
	breaches := 0
	for task, ended := range notedEnds {
		if lastStarts[task].After(ended) {
			breaches++
		}
	}
	s.is.Equal(breaches, 0) // tasks that were started again though an end was acknowledged
}

// addHistory adds the last start of each task on the worker, and the first end as done that was acknowledged.
func (w *fakeWorker) addHistory(lastStarts, notedEnds map[work.TaskID]time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for task, at := range w.lastStarts {
		if at.After(lastStarts[task]) {
			lastStarts[task] = at
		}
	}
	for run, at := range w.doneAt {
		if known, ok := notedEnds[run.Task]; w.noted[run] && (!ok || at.Before(known)) {
			notedEnds[run.Task] = at
		}
	}
}
