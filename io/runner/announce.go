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
	// announceDelay is how long a takeover may read from the store before it calls the workers to announce its epoch.
	// The read usually ends first, and the renewals that follow announce the epoch.
	announceDelay = 250 * time.Millisecond
	// announceInterval is the time between two rounds of these calls. Several rounds fit into a lease.
	announceInterval = time.Second
)

// announceEpoch announces the holder's epoch to the pool's workers while the pool is being read. A previous holder
// that is cut off from the store does not learn of its successor and would go on starting tasks of cancelled jobs;
// workers that know the newer epoch reject its orders. Running tasks keep their leases, because no other holder can
// renew them any more.
func (h *poolHolder) announceEpoch(ctx context.Context) {
	clocks := make(map[work.Incarnation]time.Duration)
	for delay := announceDelay; sleep(ctx, delay); {
		if workers, known := h.manager.workers.poolWorkers(h.pool); known {
			h.announceEpochOnce(ctx, workers, clocks)
			delay = announceInterval
		}
	}
}

// announceEpochOnce calls every worker in parallel. It extends the leases of workers whose clock is known from an
// earlier call, while it is certain that this process holds the duty.
func (h *poolHolder) announceEpochOnce(ctx context.Context, workers []work.WorkerInfo, clocks map[work.Incarnation]time.Duration) {
	valid := h.isValid(time.Now())
	renewals := make([]work.Renewal, 0, len(workers))
	for _, w := range workers {
		renewal := work.Renewal{Endpoint: work.Endpoint{Incarnation: w.Incarnation, Address: w.Address}, Epoch: h.epoch}
		if clock, known := clocks[w.Incarnation]; known && valid {
			renewal.LeaseDeadline = clock + announceInterval + h.manager.Timing.EffectiveLease()
		}
		renewals = append(renewals, renewal)
	}
	var mu sync.Mutex
	var group sync.WaitGroup
	for i, renewal := range renewals {
		w := workers[i]
		group.Go(func() {
			report, err := h.manager.renewWorker(ctx, renewal, 0)
			var stale platform.ErrStaleEpoch
			switch {
			case errors.As(err, &stale):
				h.end(err.Error())
			case err == nil:
				mu.Lock()
				defer mu.Unlock()
				clocks[w.Incarnation] = report.WorkerClock
			}
		})
	}
	group.Wait()
}
