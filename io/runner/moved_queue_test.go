package runner_test

import (
	"context"
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
	t.Run("the repeated submission is stored in the former pool", func(t *testing.T) {
		withTwoPools(t, func(s *fakeSite) {
			s.delaySubmissions(otherPool)
			s.store.withholdTable("e2", fakeOperatorsTable)
			moved := s.moveQueue(otherPool)
			time.Sleep(500 * time.Millisecond)
			s.submitInVain("e0", moved, "j")
			s.is.NoErr(s.entryHosts["e2"].manager.Submit(context.Background(), runner.Caller{}, s.queue(), newLastingJob("j")))
			time.Sleep(500 * time.Millisecond)
			s.assertRuns("j")
			s.is.NoErr(s.entryHosts["e1"].manager.Cancel(context.Background(), runner.Caller{}, moved, "j"))
			time.Sleep(commitDelay)
			s.assertEnded("j")
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
