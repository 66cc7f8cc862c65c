package runner_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"siskincross/core/event"
	"siskincross/core/work"
)

// leaveEnds has workers list ends of tasks as an earlier holder has left them: nobody has heard of any. Each worker has the same
// number of ends, and each job the same number of tasks. The workers get no further tasks.
func (s *fakeSite) leaveEnds(endsPerWorker, tasksPerJob int) []string {
	for _, w := range s.workers {
		w.listing.Draining = true
		s.listWorker(w)
	}
	time.Sleep(time.Second) // the holder learns of it
	for _, w := range s.workers {
		w.setSilent(true)
	}
	var ids []string
	for i := range len(s.workers) * endsPerWorker / tasksPerJob {
		ids = append(ids, fmt.Sprintf("j%04d", i))
		s.is.NoErr(s.submit("e0", ids[i], tasksPerJob))
	}
	next := 0
	for _, w := range s.workers {
		w.mu.Lock()
		for range endsPerWorker {
			run := work.RunID{Task: work.TaskID{Job: work.JobID(ids[next/tasksPerJob]), Index: next % tasksPerJob}, Attempt: 1}
			w.lastEndNumber++
			w.ends = append(w.ends, work.RunEnd{Number: w.lastEndNumber, Run: run, Reason: work.EndReasonDone})
			w.highestAttempts[run.Task] = run.Attempt
			next++
		}
		w.mu.Unlock()
	}
	return ids
}

// replaceHolder kills the pool's holder and has all workers answer again, but for one that may be named.
func (s *fakeSite) replaceHolder(silent string) {
	s.kill(s.poolHolder())
	for id, w := range s.workers {
		w.setSilent(id == silent)
	}
}

// settledAfter returns how long after taking a duty its holder has waited for the workers of earlier holders.
func (s *fakeSite) settledAfter() time.Duration {
	var longest time.Duration
	for _, h := range s.entryHosts {
		h.mu.Lock()
		for _, e := range h.events {
			if _, after, found := strings.Cut(e.Detail, "earlier holders "); found && e.Number == event.WorkDutySettled {
				waited, err := time.ParseDuration(strings.Fields(after)[0])
				s.is.NoErr(err)
				longest = max(longest, waited)
			}
		}
		h.mu.Unlock()
	}
	return longest
}

// assertTakenNoteOf checks that all jobs are completed and all ends are acknowledged in the given time, and that nothing was started.
func (s *fakeSite) assertTakenNoteOf(ids []string, limit time.Duration) {
	s.t.Helper()
	end := time.Now().Add(limit)
	for _, id := range ids {
		s.awaitCompleted(s.hostNames()[0], id, max(time.Until(end), time.Second))
	}
	time.Sleep(2 * time.Second) // the last acknowledgements
	for id, w := range s.workers {
		w.mu.Lock()
		if len(w.ends) > 0 {
			s.t.Errorf("%s lists %d ends", id, len(w.ends))
		}
		s.is.Equal(len(w.firstStarts), 0)
		w.mu.Unlock()
	}
}

// TestManyEndsAtTakeover guards against jobs that never go on because a worker lists more ends at a takeover than one report holds.
func TestManyEndsAtTakeover(t *testing.T) {
	const workers, tasksPerJob = 4, 100
	for _, ends := range []int{500, 1200, 10_000} {
		t.Run(fmt.Sprintf("%d ends on each worker", ends), func(t *testing.T) {
			runFakeSite(t, fakeSite{peers: newFakePeers()}, 4, workers, func(s *fakeSite) {
				ids := s.leaveEnds(ends, tasksPerJob)
				s.replaceHolder("")
				s.assertTakenNoteOf(ids, 30*time.Second)
				t.Logf("settled %s after the takeover", s.settledAfter())
			})
		})
	}
	t.Run("calls to the store", func(t *testing.T) {
		for _, ends := range []int{500, 1000, 2000, 4000} {
			usage := &usageCounter{}
			runFakeSite(t, fakeSite{peers: newFakePeers(), usage: usage}, 4, 20, func(s *fakeSite) {
				ids := s.leaveEnds(ends, tasksPerJob)
				s.replaceHolder("")
				usage.reset()
				s.assertTakenNoteOf(ids, 60*time.Second)
				t.Logf("20 workers with %d ends each: settled in %s; calls to the store by purpose until 2 s after the last job: %v", ends, s.settledAfter(), usage.usageByPurpose())
			})
		}
	})
	t.Run("acknowledged beside a silent worker", func(t *testing.T) {
		runFakeSite(t, fakeSite{peers: newFakePeers()}, 4, workers+1, func(s *fakeSite) {
			const silent = "w4"
			ids := s.leaveEnds(1200, tasksPerJob)
			s.replaceHolder(silent)
			time.Sleep(8 * time.Second) // less than the silent worker is waited for
			for id, w := range s.workers {
				w.mu.Lock()
				s.is.True(id == silent || len(w.ends) == 0)
				w.mu.Unlock()
			}
			s.workers[silent].setSilent(false)
			s.assertTakenNoteOf(ids, 30*time.Second)
		})
	})
}
