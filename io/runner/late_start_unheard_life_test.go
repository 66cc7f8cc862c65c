package runner_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"siskincross/core/work"
	"siskincross/io/platform"
)

// lostStarts leaves the first start order to each worker without an answer, and keeps it to be carried out later.
type lostStarts struct {
	mu     sync.Mutex
	orders map[string]work.Order
}

// withLostStarts runs a test on a site with three entry hosts, whose job of some tasks has ended: all ends are acknowledged, and of each
// worker one start order has no answer.
func withLostStarts(t *testing.T, workers, tasks int, test func(*fakeSite, *lostStarts)) {
	t.Helper()
	lost := &lostStarts{orders: make(map[string]work.Order)}
	site := fakeSite{}
	site.executors = platform.Executors{RenewLeases: site.renewLeases, SendOrder: lost.sendOrder(&site)}
	withSite(t, &site, 3, workers, func(s *fakeSite) {
		s.is.NoErr(s.submit("e0", "j", tasks))
		s.awaitCompleted("e0", "j", 10*time.Second)
		time.Sleep(500 * time.Millisecond)
		s.is.Equal(len(lost.orders), workers)
		test(s, lost)
	})
}

// sendOrder is the SendOrder of a site's executors.
func (l *lostStarts) sendOrder(s *fakeSite) func(context.Context, work.Order) work.OrderResult {
	return func(ctx context.Context, o work.Order) work.OrderResult {
		l.mu.Lock()
		_, known := l.orders[o.Incarnation.Worker]
		lost := o.Kind == work.OrderStart && !known
		if lost {
			l.orders[o.Incarnation.Worker] = o
		}
		l.mu.Unlock()
		if lost {
			<-ctx.Done()
			return work.OrderResult{Outcome: work.OutcomeUnknown}
		}
		return s.sendOrder(ctx, o)
	}
}

// carriesOut reports whether the worker carries its kept order out now.
func (l *lostStarts) carriesOut(s *fakeSite, worker string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	result := s.sendOrder(context.Background(), l.orders[worker])
	return result.Outcome == work.OutcomeOK
}

// TestLateStartOnUnheardLife guards against a task that runs again after its end was acknowledged: its first start order got no answer, the
// repeated one was carried out, the worker crashed, and its next life carries the first one out before it is listed or called.
func TestLateStartOnUnheardLife(t *testing.T) {
	// fencedAfter is the time after the birth of a life at which it refuses orders to former ones: a call that has just been given up,
	// the pause before the next one, and its way.
	const fencedAfter = 60 * time.Millisecond
	// presumedAfter is that time where the order was sent by a former holder.
	const presumedAfter = 140 * time.Millisecond
	for name, c := range map[string]struct {
		// unlistedAfter is the time after the crash at which the directory drops the worker, and downFor that of the next birth.
		unlistedAfter, downFor time.Duration
		// holderKilledAfter is the time after the crash at which the pool's holder is killed; zero if it is not.
		holderKilledAfter time.Duration
	}{
		"listed all the while":            {unlistedAfter: 10 * time.Second, downFor: 3 * time.Second},
		"no longer listed":                {unlistedAfter: 4500 * time.Millisecond, downFor: 6500 * time.Millisecond},
		"dropped at once":                 {unlistedAfter: 0, downFor: 4 * time.Second},
		"back soon":                       {unlistedAfter: 10 * time.Second, downFor: 1800 * time.Millisecond},
		"listed, known to the former one": {unlistedAfter: 10 * time.Second, downFor: 6500 * time.Millisecond, holderKilledAfter: time.Second},
		"dropped under the next holder":   {unlistedAfter: 5500 * time.Millisecond, downFor: 6500 * time.Millisecond, holderKilledAfter: time.Second},
		"dropped during the takeover":     {unlistedAfter: 4500 * time.Millisecond, downFor: 9 * time.Second, holderKilledAfter: 4 * time.Second},
		"dropped before the takeover":     {unlistedAfter: 4500 * time.Millisecond, downFor: 11 * time.Second, holderKilledAfter: 7 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			withLostStarts(t, 1, 1, func(s *fakeSite, lost *lostStarts) {
				w := s.workers["w0"]
				w.setSilent(true)
				crashedAt := time.Now()
				drop := func() {
					if c.unlistedAfter < c.downFor {
						time.Sleep(time.Until(crashedAt.Add(c.unlistedAfter)))
						s.silenceWorker("w0")
					}
				}
				if c.holderKilledAfter > c.unlistedAfter {
					drop()
				}
				if c.holderKilledAfter > 0 {
					time.Sleep(time.Until(crashedAt.Add(c.holderKilledAfter)))
					s.kill(s.poolHolder())
				}
				if c.holderKilledAfter <= c.unlistedAfter {
					drop()
				}
				time.Sleep(time.Until(crashedAt.Add(c.downFor)))
				w.restart()
				w.setSilent(false)
				if c.holderKilledAfter > 0 {
					time.Sleep(presumedAfter - fencedAfter)
				}
				time.Sleep(fencedAfter)
				s.is.True(!lost.carriesOut(s, "w0")) // the life refuses the order though it is not listed yet
			})
		})
	}
}

// TestFenceCallsAreBounded guards against a worker that is called without a pause, because it answers and the directory doesn't list it.
func TestFenceCallsAreBounded(t *testing.T) {
	const (
		watched  = 10 * time.Second
		maxCalls = 60 // of a worker that answers, four a second and some at the beginning
	)
	withLostStarts(t, 1, 1, func(s *fakeSite, _ *lostStarts) {
		w := s.workers["w0"]
		s.silenceWorker("w0")
		w.setSilent(false)
		time.Sleep(time.Second)
		before := w.renewals.Load()
		time.Sleep(watched)
		calls := w.renewals.Load() - before
		s.is.True(calls > 0)
		s.is.True(calls <= maxCalls)
		time.Sleep(watched) // no order can be carried out any more
		before = w.renewals.Load()
		time.Sleep(watched)
		s.is.Equal(w.renewals.Load(), before)
	})
}

// TestFenceCallsOfManyWorkers guards against a pool's holder that spends its processor time on calls to the workers of a silent rack.
func TestFenceCallsOfManyWorkers(t *testing.T) {
	const (
		workers = 20
		watched = 5 * time.Second
		// maxCalls is 200 calls that fence in a second, and as many renewals as 20 silent workers get at the most, seven a second each.
		maxCalls = (200 + 7*workers) * int64(watched/time.Second)
		// minCalls is half of the calls that fence.
		minCalls = 100 * int64(watched/time.Second)
	)
	withLostStarts(t, workers, 10*workers, func(s *fakeSite, _ *lostStarts) {
		calls := func() int64 {
			sum := int64(0)
			for _, w := range s.workers {
				sum += w.renewals.Load()
			}
			return sum
		}
		for _, w := range s.workers {
			w.setSilent(true)
		}
		time.Sleep(2 * time.Second) // all count as silent
		before := calls()
		time.Sleep(watched)
		made := calls() - before
		s.is.True(made >= minCalls)
		s.is.True(made <= maxCalls)
	})
}
