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
	// announceDelay is how long a takeover may read before its workers are told of the epoch by calls of their own. Usually the reading
	// ends first, and the renewals that follow tell them.
	announceDelay = 250 * time.Millisecond
	// announceInterval is the time between two rounds of these calls. Several fit into a lease.
	announceInterval = time.Second
)

// announceEpoch tells the pool's workers of the epoch while the pool is read: a holder that is cut off from the store does not hear of its
// successor, and would go on starting tasks of jobs that have been cancelled. What runs keeps its leases, since nobody else may renew
// them any more.
func (h *poolHolder) announceEpoch(ctx context.Context) {
	clocks := make(map[work.Incarnation]time.Duration)
	for pause := announceDelay; sleep(ctx, pause); {
		if listings, known := h.manager.workers.poolWorkers(h.pool); known {
			h.announceEpochOnce(ctx, listings, clocks)
			pause = announceInterval
		}
	}
}

// announceEpochOnce calls each worker. A worker whose clock is known is granted a lease.
func (h *poolHolder) announceEpochOnce(ctx context.Context, listings []work.WorkerInfo, clocks map[work.Incarnation]time.Duration) {
	var mu sync.Mutex
	var group sync.WaitGroup
	for _, l := range listings {
		renewal := work.Renewal{Endpoint: work.Endpoint{Incarnation: l.Incarnation, Address: l.Address}, Epoch: h.epoch}
		if clock, heard := clocks[l.Incarnation]; heard {
			renewal.LeaseDeadline = clock + announceInterval + h.manager.Timing.EffectiveLease()
		}
		group.Go(func() {
			report, err := h.manager.renewWorker(ctx, renewal, 0)
			var stale platform.ErrStaleEpoch
			switch {
			case errors.As(err, &stale):
				h.end(err.Error())
			case err == nil:
				mu.Lock()
				defer mu.Unlock()
				clocks[l.Incarnation] = report.WorkerClock
			}
		})
	}
	group.Wait()
}
