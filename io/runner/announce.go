package runner

import (
	"context"
	"errors"
	"sync"
	"time"

	"siskincross/core/work"
	"siskincross/io/platform"
)

const (
	// announceAfter is how long a takeover may read before its workers are told of the epoch by calls of their own. Usually the reading
	// ends first, and the renewals that follow tell them.
	announceAfter = 250 * time.Millisecond
	// announceEvery is the time between two rounds of these calls. Several fit into a lease.
	announceEvery = time.Second
)

// announce tells the pool's workers of the epoch while the pool is read: a holder that is cut off from the store does not hear of its
// successor, and would go on starting tasks of jobs that have been cancelled. What runs keeps its leases, since nobody else may renew
// them any more.
func (h *holder) announce(ctx context.Context) {
	clocks := make(map[work.Life]time.Duration)
	for pause := announceAfter; sleep(ctx, pause); {
		if listings, known := h.m.workers.pool(h.pool); known {
			h.announceOnce(ctx, listings, clocks)
			pause = announceEvery
		}
	}
}

// announceOnce calls each worker. A worker whose clock is known is granted a lease.
func (h *holder) announceOnce(ctx context.Context, listings []work.Listing, clocks map[work.Life]time.Duration) {
	var mu sync.Mutex
	var group sync.WaitGroup
	for _, l := range listings {
		renewal := work.Renewal{Contact: work.Contact{Life: l.Life, Address: l.Address}, Epoch: h.epoch}
		if clock, heard := clocks[l.Life]; heard {
			renewal.Deadline = clock + announceEvery + h.m.Policy.LeaseTime()
		}
		group.Go(func() {
			report, err := h.m.renew(ctx, renewal, 0)
			var stale platform.ErrStaleEpoch
			switch {
			case errors.As(err, &stale):
				h.lose(err.Error())
			case err == nil:
				mu.Lock()
				defer mu.Unlock()
				clocks[l.Life] = report.Clock
			}
		})
	}
	group.Wait()
}
