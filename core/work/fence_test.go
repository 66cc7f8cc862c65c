package work_test

import (
	"testing"
	"time"

	"siskincross/core/work"
)

// newSilentFixture returns a pool whose worker "a" left a start order unanswered and then fell silent, with that order.
func newSilentFixture(t *testing.T) (*fixture, work.Order) {
	f := newFixture(t)
	f.scheduler.UpdateWorkers([]work.WorkerInfo{workerInfo("a")}, f.now)
	f.answerRenewal("a", work.Report{})
	f.scheduler.AddJob(chainJob("j", 1), work.Progress{}, 11, false, f.now)
	orders := f.scheduler.Schedule(f.now, f.now)
	f.is.Equal(len(orders), 1)
	f.answerOrder(orders[0], work.OutcomeUnknown)
	f.assertNotFenced("a") // one call without an answer is no silence
	f.fallSilent()
	return f, orders[0]
}

// fallSilent lets worker "a" answer nothing for long enough to count as silent.
func (f *fixture) fallSilent() {
	for range 2 {
		_, ok := f.scheduler.PrepareRenewal(incarnation("a"), 0, f.now)
		f.is.True(ok)
		f.now = f.now.Add(200 * time.Millisecond)
		f.scheduler.HandleMissedRenewal(incarnation("a"), f.now)
	}
}

func (f *fixture) assertNotFenced(worker string) {
	f.is.Equal(len(f.scheduler.WorkersToFence(f.now)), 0)
	_, ok := f.scheduler.PrepareFence(worker, f.now)
	f.is.True(!ok)
}

// fence returns the next call that fences worker "a".
func (f *fixture) fence() work.Fence {
	f.is.Equal(f.scheduler.WorkersToFence(f.now), []string{"a"})
	call, ok := f.scheduler.PrepareFence("a", f.now)
	f.is.True(ok)
	return call
}

// TestFenceOfSilentWorker guards against a start order without an answer that the next incarnation of its worker carries out because nobody
// calls that one with a higher token, or that goes on being fenced off for no reason.
func TestFenceOfSilentWorker(t *testing.T) {
	t.Run("the call carries a higher token, and neither a lease nor an acknowledgement", func(t *testing.T) {
		f, lost := newSilentFixture(t)
		call := f.fence()
		f.is.True(!call.Presumed)
		f.is.True(call.FencingToken() > lost.FencingToken())
		f.is.Equal(call.Address, lost.Address)
		f.is.Equal(call.LeaseDeadline, time.Duration(0))
		f.is.Equal(call.AcknowledgedEnd, uint64(0))
		f.is.Equal(f.fence().FencingToken(), call.FencingToken())
	})
	t.Run("also once the directory no longer lists the worker", func(t *testing.T) {
		f, lost := newSilentFixture(t)
		f.now = f.now.Add(6 * time.Second)
		f.scheduler.SetHeldUntil(f.now)
		f.scheduler.UpdateWorkers(nil, f.now)
		f.scheduler.Schedule(f.now, f.now) // the leases are over
		f.scheduler.UpdateWorkers(nil, f.now)
		f.is.True(!f.scheduler.HasIncarnation(incarnation("a")))
		call := f.fence()
		f.is.True(call.FencingToken() > lost.FencingToken())
		f.is.Equal(call.Address, lost.Address)
	})
	t.Run("until the order can't be carried out any more", func(t *testing.T) {
		f, _ := newSilentFixture(t)
		f.now = f.now.Add(14 * time.Second)
		f.fence()
		f.now = f.now.Add(2 * time.Second)
		f.assertNotFenced("a")
	})
	t.Run("until the incarnation reports", func(t *testing.T) {
		f, _ := newSilentFixture(t)
		f.fence()
		f.answerRenewal("a", work.Report{})
		f.assertNotFenced("a")
		f.fallSilent()
		f.fence() // an incarnation after this one has seen no token
	})
	t.Run("until another worker answers at the address", func(t *testing.T) {
		f, _ := newSilentFixture(t)
		f.scheduler.HandleMisdirectedFence(f.fence().Endpoint)
		f.scheduler.EndIncarnation(incarnation("a"))
		f.assertNotFenced("a")
		f.scheduler.UpdateWorkers(nil, f.now)
		f.assertNotFenced("a")
	})
	t.Run("the next incarnation is called with a higher token still", func(t *testing.T) {
		f, _ := newSilentFixture(t)
		call := f.fence()
		f.scheduler.ReplaceIncarnation(incarnation("a"), laterIncarnation("a").Incarnation.StartMillis, f.now)
		renewal, ok := f.scheduler.PrepareRenewal(laterIncarnation("a").Incarnation, 0, f.now)
		f.is.True(ok)
		f.is.True(renewal.FencingToken() > call.FencingToken())
	})
	t.Run("all orders answered", func(t *testing.T) {
		f := newFixture(t)
		f.answerRenewal("a", work.Report{})
		f.fallSilent()
		f.assertNotFenced("a")
	})
}

// TestFenceRefusesOwnOrders guards against a holder that gives up its duty because a worker has refused an order that its own fence was
// to fence off.
func TestFenceRefusesOwnOrders(t *testing.T) {
	f, _ := newSilentFixture(t)
	f.answerRenewal("a", work.Report{})
	f.scheduler.AddJob(chainJob("k", 1), work.Progress{}, 12, false, f.now)
	orders := f.scheduler.Schedule(f.now, f.now)
	var sent work.Order
	for _, o := range orders {
		if o.Run.Task.Job == "k" {
			sent = o
		}
	}
	f.is.Equal(sent.Kind, work.OrderStart)
	f.fallSilent()
	f.is.True(f.fence().FencingToken() > sent.FencingToken())
	f.is.True(f.scheduler.HasSupersededToken(sent.Endpoint))
	f.is.True(f.scheduler.HandleResult(sent, work.OrderResult{Outcome: work.OutcomeFenced}, f.now))
	latest, ok := f.scheduler.PrepareRenewal(incarnation("a"), 0, f.now)
	f.is.True(ok)
	f.is.True(!f.scheduler.HasSupersededToken(latest.Endpoint)) // a refusal of this one is of another holder
	f.answerRenewal("a", work.Report{})
	f.now = f.now.Add(20 * time.Millisecond)
	restarted := false
	for _, o := range f.scheduler.Schedule(f.now, f.now) {
		restarted = restarted || (o.Kind == work.OrderStart && o.Run == work.RunID{Task: sent.Run.Task, Attempt: sent.Run.Attempt + 1})
	}
	f.is.True(restarted) // the refused start did nothing
}

// TestFenceOfEarlierHoldersOrders guards against a start order of the former holder that the next incarnation of a worker carries out: the
// next holder doesn't know of it, and called the address no more once the worker was no longer listed.
func TestFenceOfEarlierHoldersOrders(t *testing.T) {
	takeOver := func(t *testing.T) *fixture {
		f := newFixture(t)
		f.scheduler = &work.Scheduler{Pool: "pool", Epoch: 11}
		f.scheduler.AddUnresolvedIncarnation(incarnation("a"), f.now)
		f.scheduler.UpdateWorkers([]work.WorkerInfo{workerInfo("a")}, f.now)
		f.fallSilent()
		return f
	}
	t.Run("of a worker that falls silent and is dropped", func(t *testing.T) {
		f := takeOver(t)
		f.is.True(f.fence().Presumed)
		f.scheduler.UpdateWorkers(nil, f.now)
		f.fence()
		f.now = f.now.Add(16 * time.Second)
		f.assertNotFenced("a")
	})
	t.Run("but not of one that was to leave", func(t *testing.T) {
		f := takeOver(t)
		leaving := workerInfo("a")
		leaving.Draining = true
		f.scheduler.UpdateWorkers([]work.WorkerInfo{leaving}, f.now)
		f.scheduler.UpdateWorkers(nil, f.now)
		f.assertNotFenced("a")
	})
}

// TestTokenOfManyGenerations guards against a fencing token that no longer rises, or that reaches the next holder's, after many incarnations.
func TestTokenOfManyGenerations(t *testing.T) {
	f := newFixture(t)
	token := uint64(0)
	for i := range 1000 {
		info := workerInfo("a")
		info.Incarnation.StartMillis = int64(i + 1)
		f.scheduler.UpdateWorkers([]work.WorkerInfo{info}, f.now)
		renewal, ok := f.scheduler.PrepareRenewal(info.Incarnation, 0, f.now)
		f.is.True(ok)
		f.is.True(renewal.FencingToken() > token)
		token = renewal.FencingToken()
	}
	const transactions = 10 // of the store, between two epochs
	next := work.Renewal{Epoch: 10 + transactions}
	f.is.True(token < next.FencingToken())
}
