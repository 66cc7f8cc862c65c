package runner_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"siskincross/core/work"
	"siskincross/io/platform"
	"siskincross/io/runner"
)

// cancelBound is how long tasks of a cancelled job may go on after the cancel was acknowledged.
const cancelBound = 3400 * time.Millisecond

// newLastingJob returns a job whose tasks are started again until it is cancelled.
func newLastingJob(id string) work.Job {
	j := job(id, 2)
	j.Steps[0].LongRunning = true
	return j
}

// submitLasting submits a newLastingJob.
func (s *fakeSite) submitLasting(host, id string) {
	s.t.Helper()
	s.is.NoErr(s.submitJob(host, newLastingJob(id)))
}

// cancel cancels a job at an entry host and repeats the call until it is acknowledged.
func (s *fakeSite) cancel(host, id string) {
	s.t.Helper()
	s.cancelAt(s.entryHosts[host], id)
}

// cancelAt is cancel for an entry host that others may be killed beside.
func (s *fakeSite) cancelAt(h *fakeHost, id string) {
	s.t.Helper()
	for range 20 {
		ctx, done := context.WithTimeout(context.Background(), 3*time.Second)
		err := h.manager.Cancel(ctx, runner.Caller{}, s.queue(), work.JobID(id))
		done()
		if err == nil {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	s.t.Fatalf("job %s is not cancelled", id)
}

// jobActivity returns how many tasks of a job run, and how often its tasks have ended.
func (s *fakeSite) jobActivity(id string) (running, ended int) {
	for _, w := range s.workers {
		w.mu.Lock()
		w.settleRuns()
		for run := range w.runs {
			if run.Task.Job == work.JobID(id) {
				running++
			}
		}
		for task, n := range w.completions {
			if task.Job == work.JobID(id) {
				ended += n
			}
		}
		w.mu.Unlock()
	}
	return running, ended
}

// assertRuns checks that tasks of long-running jobs run.
func (s *fakeSite) assertRuns(ids ...string) {
	s.t.Helper()
	for _, id := range ids {
		if running, ended := s.jobActivity(id); running+ended == 0 {
			s.t.Errorf("no task of job %s was started", id)
		}
	}
}

// assertEnded checks that no task of jobs whose cancels have just been acknowledged runs after cancelBound.
func (s *fakeSite) assertEnded(ids ...string) {
	s.t.Helper()
	time.Sleep(cancelBound)
	before := make(map[string]int)
	for _, id := range ids {
		_, before[id] = s.jobActivity(id)
	}
	time.Sleep(cancelBound)
	for _, id := range ids {
		if running, ended := s.jobActivity(id); running > 0 || ended > before[id] {
			s.t.Errorf("job %s was cancelled: %d tasks run, and %d have ended since", id, running, ended-before[id])
		}
	}
}

// submitMany submits long-running jobs whose IDs lie between those of storeJobs's jobs, and returns the IDs.
func (s *fakeSite) submitMany(host string, count int) []string {
	var group sync.WaitGroup
	ids := make([]string, count)
	for i := range ids {
		ids[i] = fmt.Sprintf("q%06dlasting", i*1000/count)
		group.Go(func() { s.submitLasting(host, ids[i]) })
	}
	group.Wait()
	return ids
}

// TestCancelDuringTakeover guards against a new holder that runs jobs which were cancelled while it read the pool's rows.
func TestCancelDuringTakeover(t *testing.T) {
	for _, c := range []struct {
		name      string
		link      int
		losePages int
	}{{"rows arrive in several pages", smallLink, 0}, {"pages are lost and read again", largeLink, 2}} {
		t.Run(c.name, func(t *testing.T) {
			withFakeSite(t, 3, 20, func(s *fakeSite) {
				ids := s.submitMany("e0", 40)
				time.Sleep(2 * time.Second)
				s.assertRuns(ids...)
				s.storeJobs(1000, 0)
				s.store.limitBandwidth(c.link)
				if c.losePages > 0 {
					s.store.dropPages(c.losePages)
				}
				holder := s.poolHolder()
				s.kill(holder)
				var group sync.WaitGroup
				remaining := s.hostNames()
				for i, id := range ids {
					group.Go(func() { s.cancel(remaining[i%len(remaining)], id) })
					time.Sleep(120 * time.Millisecond)
				}
				group.Wait()
				s.assertEnded(ids...)
			})
		})
	}
	// The caller's repeated request arrives after the job's cancel, when no holder knows the job.
	t.Run("job is submitted again after its cancel", func(t *testing.T) {
		withFakeSite(t, 3, 4, func(s *fakeSite) {
			s.submitLasting("e0", "again")
			time.Sleep(time.Second)
			s.assertRuns("again")
			holder := s.poolHolder()
			s.kill(holder)
			entry := s.otherHost(holder)
			s.cancel(entry, "again")
			for range 40 {
				s.submitLasting(entry, "again")
				time.Sleep(100 * time.Millisecond)
			}
			s.assertEnded("again")
		})
	})
}

// TestCancelAtAnotherEntryHost guards against a holder that never learns of a cancel that another entry host has stored.
func TestCancelAtAnotherEntryHost(t *testing.T) {
	t.Run("the holder's feed is silent meanwhile", func(t *testing.T) {
		withFakeSite(t, 3, 4, func(s *fakeSite) {
			s.submitLasting("e0", "j")
			time.Sleep(time.Second)
			s.assertRuns("j")
			holder := s.poolHolder()
			s.store.withholdTable(holder, "queue-"+fakePool)
			time.Sleep(500 * time.Millisecond)
			s.cancel(s.otherHost(holder), "j")
			time.Sleep(2 * time.Second)
			s.store.withholdTable(holder, "")
			s.assertEnded("j")
		})
	})
	t.Run("the store no longer has the cancel in its history", func(t *testing.T) {
		withFakeSite(t, 3, 4, func(s *fakeSite) {
			s.submitLasting("e0", "j")
			time.Sleep(time.Second)
			s.assertRuns("j")
			holder := s.poolHolder()
			s.store.withholdTable(holder, "queue-"+fakePool)
			time.Sleep(500 * time.Millisecond)
			s.cancel(s.otherHost(holder), "j")
			s.is.NoErr(s.submit(s.otherHost(holder), "later", 1))
			s.store.dropHistory()
			s.store.withholdTable(holder, "")
			s.assertEnded("j")
		})
	})
	t.Run("two entry hosts cancel the job at the same time", func(t *testing.T) {
		withFakeSite(t, 3, 4, func(s *fakeSite) {
			s.submitLasting("e0", "j")
			time.Sleep(time.Second)
			s.assertRuns("j")
			var group sync.WaitGroup
			for _, host := range []string{"e0", "e1", "e2"} {
				group.Go(func() { s.cancel(host, "j") })
			}
			group.Wait()
			s.assertEnded("j")
		})
	})
	t.Run("occurrences of a repeated job become due later", func(t *testing.T) {
		withFakeSite(t, 3, 4, func(s *fakeSite) {
			j := job("j", 2)
			j.Repeat = work.Repeat{Count: 40, First: time.Now().Add(500 * time.Millisecond), Period: 500 * time.Millisecond}
			s.is.NoErr(s.submitJob("e0", j))
			time.Sleep(2 * time.Second)
			s.assertRuns("j")
			s.cancel(s.otherHost(s.poolHolder()), "j")
			s.assertEnded("j")
		})
	})
	for _, purpose := range []string{"cancel", "progress", "accept"} {
		t.Run("transactions are carried out late: "+purpose, func(t *testing.T) {
			withFakeSite(t, 3, 4, func(s *fakeSite) {
				late := 0
				s.store.mu.Lock()
				s.store.delayCommit = func(c platform.RowTransaction) bool {
					if c.Purpose != purpose || late == 2 {
						return false
					}
					late++
					return true
				}
				s.store.mu.Unlock()
				for s.submitJob("e0", newLastingJob("j")) != nil {
					time.Sleep(50 * time.Millisecond)
				}
				time.Sleep(time.Second)
				s.assertRuns("j")
				s.cancel(s.otherHost(s.poolHolder()), "j")
				s.assertEnded("j")
				s.assertEnded("j")
			})
		})
	}
}

// TestCancelByHolder guards against a cancel that ends with the tenure of the holder that carries it out.
func TestCancelByHolder(t *testing.T) {
	t.Run("the cancel is forwarded to a holder that is killed at the same time", func(t *testing.T) {
		for pause := time.Duration(0); pause < 20*time.Millisecond; pause += 2 * time.Millisecond {
			withLinkedSite(t, 3, 4, func(s *fakeSite) {
				s.submitLasting("e0", "j")
				time.Sleep(time.Second)
				s.assertRuns("j")
				holder := s.poolHolder()
				entry := s.entryHosts[s.otherHost(holder)]
				cancelled := make(chan struct{})
				go func() {
					defer close(cancelled)
					s.cancelAt(entry, "j")
				}()
				time.Sleep(pause)
				s.kill(holder)
				<-cancelled
				s.assertEnded("j")
			})
		}
	})
	t.Run("another member takes the duty before the cancel is stored", func(t *testing.T) {
		withFakeSite(t, 3, 4, func(s *fakeSite) {
			s.submitLasting("e0", "j")
			time.Sleep(time.Second)
			s.assertRuns("j")
			holder := s.poolHolder()
			s.store.setSilent(holder, true)
			go func() {
				time.Sleep(detectionTime + time.Second)
				s.store.setSilent(holder, false)
			}()
			s.cancel(holder, "j")
			s.is.True(s.poolHolder() != holder)
			s.assertEnded("j")
		})
	})
}

// assertNeverStarted checks that no task of a job runs now or did so before, nor within cancelBound.
func (s *fakeSite) assertNeverStarted(id string) {
	s.t.Helper()
	time.Sleep(cancelBound)
	if running, ended := s.jobActivity(id); running+ended > 0 {
		s.t.Errorf("job %s was cancelled before it was stored: %d tasks run, %d have ended", id, running, ended)
	}
}

// TestCancelBeforeSubmissionIsStored guards against a job that runs although its cancel was answered: the submission, whose outcome
// its caller doesn't know, is stored later.
func TestCancelBeforeSubmissionIsStored(t *testing.T) {
	for _, linked := range []bool{false, true} {
		site := func() fakeSite {
			if linked {
				return fakeSite{peers: newFakePeers()}
			}
			return fakeSite{}
		}
		run := func(name string, test func(s *fakeSite, entry string)) {
			t.Run(fmt.Sprintf("%s, linked %t", name, linked), func(t *testing.T) {
				runFakeSite(t, site(), 3, 4, func(s *fakeSite) { test(s, s.otherHost(s.poolHolder())) })
			})
		}
		cancelled := func(s *fakeSite, entry string) {
			s.t.Helper()
			var none runner.ErrJobNotFound
			err := s.entryHosts[entry].manager.Cancel(context.Background(), runner.Caller{}, s.queue(), "j")
			s.is.True(errors.As(err, &none))
			_, err = s.entryHosts[entry].manager.State(context.Background(), runner.Caller{}, s.queue(), "j")
			s.is.True(errors.As(err, &none)) // it is still no job
		}
		run("the store carries out the submission late", func(s *fakeSite, entry string) {
			s.delaySubmissions(fakePool)
			s.submitInVain(entry, s.queue(), "j")
			cancelled(s, entry)
			time.Sleep(commitDelay)
			s.assertNeverStarted("j")
		})
		run("the entry host tries again", func(s *fakeSite, entry string) {
			s.store.mu.Lock()
			s.store.refuseCommit = func(_ string, c platform.RowTransaction) bool { return c.Purpose == "accept" }
			s.store.mu.Unlock()
			submitted := make(chan error, 1)
			go func() { submitted <- s.submitJob(entry, newLastingJob("j")) }()
			time.Sleep(500 * time.Millisecond)
			cancelled(s, s.poolHolder())
			s.store.mu.Lock()
			s.store.refuseCommit = nil
			s.store.mu.Unlock()
			s.is.True(<-submitted != nil)
			s.assertNeverStarted("j")
		})
		run("the submission is repeated after the cancel", func(s *fakeSite, entry string) {
			cancelled(s, entry)
			var refused runner.ErrNotAccepted
			s.is.True(errors.As(s.submitJob(s.poolHolder(), newLastingJob("j")), &refused))
			s.is.True(refused.RetryAfter >= time.Minute) // no retry helps
			s.assertNeverStarted("j")
		})
	}
}
