package runner_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"siskincross/core/work"
	"siskincross/io/platform"
)

// startsAfter returns the number of tasks that a worker started after a time.
func (w *fakeWorker) startsAfter(after time.Time) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, at := range w.firstStarts {
		if at.After(after) {
			n++
		}
	}
	return n
}

// TestEmptyWorkers guards against workers that are added to a busy pool and stay idle.
func TestEmptyWorkers(t *testing.T) {
	withFakeSite(t, 2, 4, func(s *fakeSite) {
		added := []string{"w2", "w3"}
		for _, id := range added {
			_, err := s.store.commit(platform.RowTransaction{Deletes: []platform.RowKey{{Table: "workers", Key: id}}})
			s.is.NoErr(err)
		}
		time.Sleep(10 * time.Second)
		s.is.NoErr(s.submit("e0", "j", 900))
		time.Sleep(2 * time.Second)
		for _, id := range added {
			s.store.put(platform.RowKey{Table: "workers", Key: id}, s.workers[id].listing)
		}
		time.Sleep(time.Second)
		listed := time.Now()
		time.Sleep(time.Second)
		old := min(s.workers["w0"].startsAfter(listed), s.workers["w1"].startsAfter(listed))
		for _, id := range added {
			started := s.workers[id].startsAfter(listed)
			t.Logf("between one and two seconds after the listing %s started %d tasks, the others at least %d", id, started, old)
			s.is.True(started >= old*3/4)
		}
	})
}

// lossyLinks delays or loses calls to some workers, as links that lose packets do: most packets are retransmitted and
// arrive late, and some calls time out on the way to the worker or back.
type lossyLinks struct {
	site   *atomic.Pointer[fakeSite]
	mu     sync.Mutex
	random *rand.Rand
	// faultShare is the share of the messages that are delayed or lost.
	faultShare float64
}

// nextFault returns the delay of the next message, or whether it is lost.
func (l *lossyLinks) nextFault() (delay time.Duration, lost bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.random.Float64() >= l.faultShare {
		return 0, false
	}
	return time.Duration(200+l.random.IntN(400)) * time.Millisecond, l.random.IntN(4) == 0
}

// deliver waits until a message arrives. It returns an error if the call times out before.
func (l *lossyLinks) deliver(ctx context.Context) error {
	delay, lost := l.nextFault()
	if lost {
		<-ctx.Done()
		return ctx.Err()
	}
	if delay == 0 {
		return ctx.Err()
	}
	select {
	case <-time.After(delay):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// executors returns the calls to workers over these links.
func (l *lossyLinks) executors() platform.Executors {
	return platform.Executors{
		RenewLeases: func(ctx context.Context, r work.Renewal) (work.Report, error) {
			s := l.site.Load()
			if s == nil || l.deliver(ctx) != nil {
				return work.Report{}, errNoAnswer
			}
			report, err := s.renewLeases(ctx, r)
			if l.deliver(ctx) != nil {
				return work.Report{}, errNoAnswer
			}
			return report, err
		},
		SendOrder: func(ctx context.Context, o work.Order) work.OrderResult {
			if l.deliver(ctx) != nil {
				return work.OrderResult{Outcome: work.OutcomeUnknown}
			}
			answer := l.site.Load().sendOrder(ctx, o)
			if l.deliver(ctx) != nil {
				return work.OrderResult{Outcome: work.OutcomeUnknown}
			}
			return answer
		},
	}
}

// TestLossyLinks guards against tasks that run twice and workers that are given up because links lose packets.
func TestLossyLinks(t *testing.T) {
	for _, share := range []float64{0.025, 0.05} {
		t.Run(fmt.Sprint(share), func(t *testing.T) {
			var site atomic.Pointer[fakeSite]
			links := &lossyLinks{site: &site, random: rand.New(rand.NewPCG(1, 2)), faultShare: share}
			runFakeSite(t, fakeSite{executors: links.executors()}, 2, 8, func(s *fakeSite) {
				site.Store(s)
				time.Sleep(5 * time.Second)
				for i := range 40 {
					s.is.NoErr(s.submit("e0", fmt.Sprintf("j%02d", i), 8))
					time.Sleep(100 * time.Millisecond)
				}
				for i := range 40 {
					s.awaitCompleted("e1", fmt.Sprintf("j%02d", i), 10*time.Second)
				}
				done := make(map[work.TaskID]int)
				for _, w := range s.workers {
					w.mu.Lock()
					for task, times := range w.completions {
						done[task] += times
					}
					w.mu.Unlock()
				}
				s.is.Equal(len(done), 320)
				for task, times := range done {
					if times != 1 {
						t.Errorf("%v was completed %d times", task, times)
					}
				}
			})
		})
	}
}
