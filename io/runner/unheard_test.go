package runner_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"siskincross/core/work"
	"siskincross/io/platform"
)

// TestSlowRenewals guards against leases that are left to run out because a holder takes its own slowness for a silence of the
// workers: in a pool where nothing is started, no start teaches it how long an answer takes.
func TestSlowRenewals(t *testing.T) {
	// readTime is how long an answer lies unread.
	const readTime = 300 * time.Millisecond
	var site atomic.Pointer[fakeSite]
	executors := platform.Executors{
		Renew: func(ctx context.Context, r work.Renewal) (work.Report, error) {
			s := site.Load()
			if s == nil {
				return work.Report{}, errDark
			}
			report, err := s.renew(ctx, r)
			select {
			case <-time.After(readTime):
				return report, err
			case <-ctx.Done():
				return work.Report{}, ctx.Err()
			}
		},
		Send: func(ctx context.Context, o work.Order) work.Answer { return site.Load().send(ctx, o) },
	}
	playSite(t, fakeSite{executors: executors}, 1, 1, func(s *fakeSite) {
		site.Store(s)
		time.Sleep(20 * time.Second)
		w := s.workers["w0"]
		w.mu.Lock()
		deadline, clock := w.deadline, w.clock()
		w.mu.Unlock()
		s.is.True(deadline > clock)
	})
}
