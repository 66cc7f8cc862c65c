package runner_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"siskincross/core/work"
	"siskincross/io/platform"
	"siskincross/io/runner"
)

// otherPool is the pool beside fakePool in withTwoPools.
const otherPool = "desk00"

// moveQueue stores a configuration in which another pool serves the queue, and returns the queue.
func (s *fakeSite) moveQueue(pool string) work.Queue {
	moved := s.queue()
	moved.Pool = pool
	c := s.catalogue().WithQueues([]work.Queue{moved})
	c.Version = 2
	s.versions = map[int]work.Catalogue{2: c}
	s.store.put(platform.RowKey{Table: fakeOperatorsTable, Key: "config"}, 2)
	return moved
}

// withTwoPools runs a test on a site with a second pool, which has a worker.
func withTwoPools(t *testing.T, test func(*fakeSite)) {
	t.Helper()
	runFakeSite(t, fakeSite{extraPools: 1}, 3, 4, func(s *fakeSite) {
		w := s.newWorker("other")
		w.listing.Pool = otherPool
		s.listWorker(w)
		time.Sleep(2 * time.Second)
		test(s)
	})
}

// TestCancelAfterQueueMoved guards against a job that runs on in the pool that served its queue before, after its cancel.
func TestCancelAfterQueueMoved(t *testing.T) {
	t.Run("the job is stored in the former pool", func(t *testing.T) {
		withTwoPools(t, func(s *fakeSite) {
			s.submitLasting("e0", "j")
			time.Sleep(time.Second)
			s.assertRuns("j")
			moved := s.moveQueue(otherPool)
			time.Sleep(2 * time.Second)
			s.is.NoErr(s.entryHosts["e1"].manager.Cancel(context.Background(), runner.Caller{}, moved, "j"))
			s.assertEnded("j")
		})
	})
	t.Run("the caller repeats the submission at an entry host that has started since", func(t *testing.T) {
		withTwoPools(t, func(s *fakeSite) {
			s.submitLasting("e0", "j")
			time.Sleep(time.Second)
			s.assertRuns("j")
			moved := s.moveQueue(otherPool)
			s.kill("e2")
			s.start("e2")
			time.Sleep(2 * time.Second)
			s.is.NoErr(s.entryHosts["e2"].manager.Submit(context.Background(), runner.Caller{}, moved, newLastingJob("j")))
			time.Sleep(time.Second)
			s.is.NoErr(s.entryHosts["e1"].manager.Cancel(context.Background(), runner.Caller{}, moved, "j"))
			s.assertEnded("j")
		})
	})
	t.Run("the caller repeats the submission at an entry host that does not know the move yet", func(t *testing.T) {
		withTwoPools(t, func(s *fakeSite) {
			moved := s.queue()
			moved.Pool = otherPool
			s.store.withholdTable("e2", fakeOperatorsTable)
			s.moveQueue(otherPool)
			time.Sleep(500 * time.Millisecond)
			s.is.NoErr(s.entryHosts["e1"].manager.Submit(context.Background(), runner.Caller{}, moved, newLastingJob("j")))
			s.is.NoErr(s.entryHosts["e2"].manager.Submit(context.Background(), runner.Caller{}, s.queue(), newLastingJob("j")))
			s.store.withholdTable("e2", "")
			time.Sleep(2 * time.Second)
			s.is.NoErr(s.entryHosts["e1"].manager.Cancel(context.Background(), runner.Caller{}, moved, "j"))
			s.assertEnded("j")
		})
	})
}

// TestSubmissionStoredAfterCancel guards against a job that runs although its cancel was acknowledged: the caller's first
// submission is stored in another pool than the repeated one, because the queue moved, and only after the cancel.
func TestSubmissionStoredAfterCancel(t *testing.T) {
	t.Run("the first submission is stored in the former pool", func(t *testing.T) {
		withTwoPools(t, func(s *fakeSite) {
			s.delaySubmissions(fakePool)
			s.submitInVain("e0", s.queue(), "j")
			moved := s.moveQueue(otherPool)
			time.Sleep(500 * time.Millisecond)
			s.is.NoErr(s.entryHosts["e1"].manager.Submit(context.Background(), runner.Caller{}, moved, newLastingJob("j")))
			time.Sleep(500 * time.Millisecond)
			s.assertRuns("j")
			s.is.NoErr(s.entryHosts["e1"].manager.Cancel(context.Background(), runner.Caller{}, moved, "j"))
			time.Sleep(commitDelay)
			s.assertEnded("j")
		})
	})
	t.Run("the repeated submission reaches an entry host that does not know the move yet", func(t *testing.T) {
		withTwoPools(t, func(s *fakeSite) {
			s.delaySubmissions(otherPool)
			s.store.withholdTable("e2", fakeOperatorsTable)
			moved := s.moveQueue(otherPool)
			time.Sleep(500 * time.Millisecond)
			s.submitInVain("e0", moved, "j")
			var refused runner.ErrNotAccepted
			s.is.True(errors.As(s.submitJob("e2", newLastingJob("j")), &refused))
			var none runner.ErrJobNotFound
			s.is.True(errors.As(s.entryHosts["e1"].manager.Cancel(context.Background(), runner.Caller{}, moved, "j"), &none))
			time.Sleep(commitDelay)
			s.assertNeverStarted("j")
		})
	})
}

// delaySubmissions makes the store carry out the submissions to a pool late and without an answer.
func (s *fakeSite) delaySubmissions(pool string) {
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	s.store.delayCommit = func(c platform.RowTransaction) bool { return c.Purpose == "accept" && c.Writes[0].Partition == pool }
}

// submitInVain submits a long-running job whose caller gives up before it is stored.
func (s *fakeSite) submitInVain(host string, q work.Queue, id string) {
	s.t.Helper()
	ctx, giveUp := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer giveUp()
	s.is.True(s.entryHosts[host].manager.Submit(ctx, runner.Caller{}, q, newLastingJob(id)) != nil)
}

// TestCancelOfCompletedJobAfterQueueMoved guards against a completed job that is shown as cancelled once its queue has moved and
// its caller has cancelled it.
func TestCancelOfCompletedJobAfterQueueMoved(t *testing.T) {
	withTwoPools(t, func(s *fakeSite) {
		s.is.NoErr(s.submitJob("e0", job("j", 1)))
		time.Sleep(2 * time.Second)
		moved := s.moveQueue(otherPool)
		time.Sleep(500 * time.Millisecond)
		s.is.NoErr(s.entryHosts["e1"].manager.Cancel(context.Background(), runner.Caller{}, moved, "j"))
		state, err := s.entryHosts["e1"].manager.State(context.Background(), runner.Caller{}, moved, "j")
		s.is.NoErr(err)
		s.is.Equal(state, work.StateCompleted)
	})
}

// TestCancelOfEqualID guards against the cancel of another queue's job that happens to have the same ID.
func TestCancelOfEqualID(t *testing.T) {
	withTwoPools(t, func(s *fakeSite) {
		other := s.queue()
		other.Prefix, other.Pool = "/other/", otherPool
		s.is.NoErr(s.entryHosts["e0"].manager.Submit(context.Background(), runner.Caller{}, other, newLastingJob("j")))
		s.submitLasting("e0", "j")
		s.cancel("e1", "j")
		state, err := s.entryHosts["e1"].manager.State(context.Background(), runner.Caller{}, other, "j")
		s.is.NoErr(err)
		s.is.True(!state.IsFinal())
	})
}

// TestCancelDuringOutageOfAnotherPool guards against cancels that wait for the partition of a pool without the job.
func TestCancelDuringOutageOfAnotherPool(t *testing.T) {
	withTwoPools(t, func(s *fakeSite) {
		s.submitLasting("e0", "j")
		s.store.silencePartition(otherPool)
		time.Sleep(time.Second)
		s.assertRuns("j")
		s.cancel(s.otherHost(s.poolHolder()), "j")
		s.assertEnded("j")
	})
}

// restart kills an entry host and starts it again.
func (s *fakeSite) restart(name string) {
	s.kill(name)
	s.start(name)
	time.Sleep(2 * time.Second)
}

// assertRunsInOnePool checks that a job is stored in exactly one pool.
func (s *fakeSite) assertRunsInOnePool(id string) {
	s.t.Helper()
	stored := 0
	for _, pool := range []string{fakePool, otherPool} {
		stored += len(s.store.readRange(platform.RangeQuery{Table: "queue-" + pool, Partition: pool, From: id, Until: id + "!"}).Rows)
	}
	s.is.Equal(stored, 1) // pools that hold the job
	s.assertRuns(id)
}

// TestSubmissionRepeatedAfterQueueMoved guards against a job that runs in two pools because its caller repeats the submission
// after its queue has moved.
func TestSubmissionRepeatedAfterQueueMoved(t *testing.T) {
	t.Run("at an entry host that has started since", func(t *testing.T) {
		withTwoPools(t, func(s *fakeSite) {
			s.submitLasting("e0", "j")
			moved := s.moveQueue(otherPool)
			time.Sleep(time.Second)
			s.restart("e2")
			s.is.NoErr(s.entryHosts["e2"].manager.Submit(context.Background(), runner.Caller{}, moved, newLastingJob("j")))
			time.Sleep(time.Second)
			s.assertRunsInOnePool("j")
		})
	})
	t.Run("after all entry hosts have started again", func(t *testing.T) {
		withTwoPools(t, func(s *fakeSite) {
			s.submitLasting("e0", "j")
			moved := s.moveQueue(otherPool)
			for _, name := range s.hostNames() {
				s.restart(name)
			}
			s.is.NoErr(s.entryHosts["e2"].manager.Submit(context.Background(), runner.Caller{}, moved, newLastingJob("j")))
			time.Sleep(time.Second)
			s.assertRunsInOnePool("j")
		})
	})
	t.Run("before the store carries out the first one", func(t *testing.T) {
		withTwoPools(t, func(s *fakeSite) {
			s.is.NoErr(s.submit("e0", "earlier", 1))
			s.delaySubmissions(fakePool)
			s.submitInVain("e0", s.queue(), "j")
			moved := s.moveQueue(otherPool)
			time.Sleep(500 * time.Millisecond)
			s.is.NoErr(s.entryHosts["e1"].manager.Submit(context.Background(), runner.Caller{}, moved, newLastingJob("j")))
			time.Sleep(commitDelay)
			s.assertRunsInOnePool("j")
		})
	})
	t.Run("the queue has moved back meanwhile", func(t *testing.T) {
		withTwoPools(t, func(s *fakeSite) {
			s.is.NoErr(s.submit("e0", "earlier", 1))
			moved := s.moveQueue(otherPool)
			time.Sleep(time.Second)
			s.is.NoErr(s.entryHosts["e1"].manager.Submit(context.Background(), runner.Caller{}, moved, newLastingJob("j")))
			s.versions[3] = s.catalogue().WithQueues([]work.Queue{s.queue()})
			back := s.versions[3]
			back.Version = 3
			s.versions[3] = back
			s.store.put(platform.RowKey{Table: fakeOperatorsTable, Key: "config"}, 3)
			time.Sleep(time.Second)
			s.is.NoErr(s.submit("e2", "later", 1))
			s.restart("e0")
			s.is.NoErr(s.submitJob("e0", newLastingJob("j")))
			time.Sleep(time.Second)
			s.assertRunsInOnePool("j")
		})
	})
	t.Run("at an entry host that does not know the move yet", func(t *testing.T) {
		withTwoPools(t, func(s *fakeSite) {
			s.store.withholdTable("e2", fakeOperatorsTable)
			moved := s.moveQueue(otherPool)
			time.Sleep(500 * time.Millisecond)
			s.is.NoErr(s.entryHosts["e1"].manager.Submit(context.Background(), runner.Caller{}, moved, newLastingJob("j")))
			s.is.NoErr(s.submitJob("e2", newLastingJob("j")))
			time.Sleep(time.Second)
			s.assertRunsInOnePool("j")
		})
	})
}

// TestPendingAfterQueueMoved guards against a count of pending jobs without those that wait in the pool that served their queue before.
func TestPendingAfterQueueMoved(t *testing.T) {
	const (
		waiting  = 12
		countAge = 2500 * time.Millisecond // counts are this old at most, with the time to adopt a configuration
	)
	// submitWaiting submits jobs that no worker has room for.
	submitWaiting := func(s *fakeSite) {
		for _, w := range s.workers {
			w.listing.Draining = true
			s.listWorker(w)
		}
		time.Sleep(time.Second)
		for i := range waiting {
			s.is.NoErr(s.submit("e0", fmt.Sprintf("j%02d", i), 1))
		}
		time.Sleep(countAge)
	}
	assertPending := func(s *fakeSite, q work.Queue, want int) {
		s.t.Helper()
		for _, name := range s.hostNames() {
			n, err := s.entryHosts[name].manager.PendingJobs(context.Background(), q)
			s.is.NoErr(err)
			s.is.Equal(n, want)
		}
	}
	// moveAndSubmit moves the queue and submits one more job, which the other pool stores.
	moveAndSubmit := func(s *fakeSite) {
		moved := s.moveQueue(otherPool)
		time.Sleep(time.Second)
		s.is.NoErr(s.entryHosts["e1"].manager.Submit(context.Background(), runner.Caller{}, moved, job("k", 1)))
		time.Sleep(countAge)
		assertPending(s, moved, waiting+1)
	}
	t.Run("counted at each entry host", func(t *testing.T) {
		withTwoPools(t, func(s *fakeSite) {
			submitWaiting(s)
			assertPending(s, s.queue(), waiting)
			moved := s.moveQueue(otherPool)
			time.Sleep(countAge)
			assertPending(s, moved, waiting)
		})
	})
	t.Run("counted once where both pools have jobs", func(t *testing.T) {
		withTwoPools(t, func(s *fakeSite) {
			submitWaiting(s)
			moveAndSubmit(s)
		})
	})
	t.Run("counted after the queue has moved back", func(t *testing.T) {
		withTwoPools(t, func(s *fakeSite) {
			submitWaiting(s)
			moveAndSubmit(s)
			back := s.catalogue().WithQueues([]work.Queue{s.queue()})
			back.Version = 3
			s.versions[3] = back
			s.store.put(platform.RowKey{Table: fakeOperatorsTable, Key: "config"}, 3)
			time.Sleep(countAge)
			assertPending(s, s.queue(), waiting+1)
		})
	})
	t.Run("other pools' outage keeps no count from a queue that has not moved", func(t *testing.T) {
		withTwoPools(t, func(s *fakeSite) {
			submitWaiting(s)
			s.store.silencePartition(otherPool)
			time.Sleep(3 * time.Second)
			assertPending(s, s.queue(), waiting)
		})
	})
	t.Run("pools of a queue are read once for each configuration", func(t *testing.T) {
		withTwoPools(t, func(s *fakeSite) {
			submitWaiting(s)
			reads := 0
			s.store.countReads = func(q platform.RangeQuery) {
				if q.Table == "route" {
					reads++
				}
			}
			for range 10 {
				assertPending(s, s.queue(), waiting)
			}
			s.is.True(reads <= len(s.entryHosts))
		})
	})
}

// TestGateCost guards against submissions that cost calls of the store for each pool that a queue might have had.
func TestGateCost(t *testing.T) {
	withTwoPools(t, func(s *fakeSite) {
		s.is.NoErr(s.submit("e0", "first", 1))
		before := len(s.store.readRange(platform.RangeQuery{Table: "route"}).Rows) + len(s.store.readRange(platform.RangeQuery{Table: "route", Partition: fakePool}).Rows)
		s.is.Equal(before, 2) // the assignment and one gate
		reads := 0
		s.store.countReads = func(q platform.RangeQuery) {
			if q.Table == "route" || q.Table == "job" {
				reads++
			}
		}
		for i := range 20 {
			s.is.NoErr(s.submit("e0", fmt.Sprintf("j%02d", i), 1))
		}
		s.is.Equal(reads, 0)
	})
}
