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

// startsAfter counts the tasks that a worker began after a time.
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

// TestEmptyWorkers guards against workers that are added to a busy pool and stand idle.
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
			begun := s.workers[id].startsAfter(listed)
			t.Logf("in the second second %s began %d tasks, the others %d or more", id, begun, old)
			s.is.True(begun >= old*3/4)
		}
	})
}

// lossyLinks has calls to some workers take long or get lost, as links that lose packets do: most are sent again and come late, some are
// given up on the way there or back.
type lossyLinks struct {
	site   *atomic.Pointer[fakeSite]
	mu     sync.Mutex
	random *rand.Rand
	// faultShare is the part of the calls that are harmed.
	faultShare float64
}

// nextFault is what becomes of one message.
func (l *lossyLinks) nextFault() (late time.Duration, lost bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.random.Float64() >= l.faultShare {
		return 0, false
	}
	return time.Duration(200+l.random.IntN(400)) * time.Millisecond, l.random.IntN(4) == 0
}

// deliver plays one way. It returns an error if the message does not arrive before the call is given up.
func (l *lossyLinks) deliver(ctx context.Context) error {
	late, lost := l.nextFault()
	if lost {
		<-ctx.Done()
		return ctx.Err()
	}
	if late == 0 {
		return ctx.Err()
	}
	select {
	case <-time.After(late):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (l *lossyLinks) executors() platform.Executors {
	return platform.Executors{
		RenewLeases: func(ctx context.Context, r work.Renewal) (work.Report, error) {
			s := l.site.Load()
			if s == nil || l.deliver(ctx) != nil {
				return work.Report{}, errNoAnswer
			}
			report, err := s.renew(ctx, r)
			if l.deliver(ctx) != nil {
				return work.Report{}, errNoAnswer
			}
			return report, err
		},
		SendOrder: func(ctx context.Context, o work.Order) work.OrderResult {
			if l.deliver(ctx) != nil {
				return work.OrderResult{Outcome: work.OutcomeUnknown}
			}
			answer := l.site.Load().send(ctx, o)
			if l.deliver(ctx) != nil {
				return work.OrderResult{Outcome: work.OutcomeUnknown}
			}
			return answer
		},
	}
}

// TestLossyLinks guards against tasks that run twice, or workers that are given up, because links lose packets.
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
					for task, times := range w.done {
						done[task] += times
					}
					w.mu.Unlock()
				}
				s.is.Equal(len(done), 320)
				for task, times := range done {
					if times != 1 {
						t.Errorf("%v was done %d times", task, times)
					}
				}
			})
		})
	}
}
