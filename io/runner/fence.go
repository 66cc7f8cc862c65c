package runner

import (
	"context"
	"errors"
	"fmt"
	"time"

	"siskincross/core/event"
	"siskincross/core/work"
	"siskincross/io/platform"
)

const (
	// fenceInterval is the time between two calls that fence a silent worker. A new incarnation may carry out orders to a former one
	// for that long, and for the time that a call takes to reach it.
	fenceInterval = 20 * time.Millisecond
	// fenceShare is what each fenced worker of the pool adds to that time, if that is more: it bounds the rate of these calls.
	fenceShare = 5 * time.Millisecond
	// presumedFenceInterval is that time if no order is known that has to be fenced off.
	presumedFenceInterval = 100 * time.Millisecond
	// fencedInterval is that time after an answer. The incarnation after the one that gave it has seen no token.
	fencedInterval = 250 * time.Millisecond
	// maxFenceCalls is the number of calls that fence a worker and wait for an answer at the same time.
	maxFenceCalls = 10
)

// startFenceLoops calls the workers that have to be fenced. The caller holds the lock.
func (h *poolHolder) startFenceLoops(now time.Time) {
	if !h.manager.workers.isLoaded() {
		return
	}
	for _, worker := range h.scheduler.WorkersToFence(now) {
		if !h.fenceLoops[worker] && !h.manager.workers.isInOtherPool(worker, h.pool) {
			h.fenceLoops[worker] = true
			h.group.Go(func() { h.fenceWorker(worker) })
		}
	}
}

// fenceWorker calls a silent worker at short intervals until its renewals are answered or nothing has to be fenced off any more. Calls
// overlap, so that the intervals don't depend on how long an answer is waited for.
func (h *poolHolder) fenceWorker(worker string) {
	began, calls, waiting, lastAnswer := time.Now(), 0, 0, "none"
	ctx, cancel := context.WithCancel(h.ctx)
	answers := make(chan string, maxFenceCalls)
	defer func() {
		cancel()
		for ; waiting > 0; waiting-- {
			<-answers
		}
		h.mu.Lock()
		delete(h.fenceLoops, worker)
		h.mu.Unlock()
		h.manager.record(event.Event{Number: event.WorkerFenced, Pool: h.pool, Host: worker, Detail: fmt.Sprintf(
			"%d calls in %s, last answer: %s", calls, time.Since(began).Round(time.Millisecond), lastAnswer)})
	}()
	for ctx.Err() == nil {
		fence, pause, ok := h.prepareFence(worker)
		if !ok {
			return
		}
		if waiting < maxFenceCalls {
			waiting++
			calls++
			go func() { answers <- h.callFence(ctx, fence.Renewal) }()
		}
		next := time.NewTimer(pause)
		for paused := false; !paused; {
			select {
			case answer := <-answers:
				waiting--
				if answer != "" {
					lastAnswer = answer
					next.Reset(fencedInterval)
					if _, _, ok := h.prepareFence(worker); !ok {
						return
					}
				}
			case <-next.C:
				paused = true
			case <-ctx.Done():
				return
			}
		}
	}
}

// prepareFence returns the next call that fences a worker and the pause after it, and false if none is needed any more.
func (h *poolHolder) prepareFence(worker string) (work.Fence, time.Duration, bool) {
	if h.manager.workers.isInOtherPool(worker, h.pool) {
		return work.Fence{}, 0, false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	fence, ok := h.scheduler.PrepareFence(worker, time.Now())
	interval := fenceInterval
	if fence.Presumed {
		interval = presumedFenceInterval
	}
	return fence, max(interval, fenceShare*time.Duration(len(h.fenceLoops))), ok
}

// callFence makes a call that fences a worker, and tells the scheduler if another incarnation or worker has answered. It returns what has
// answered, and nothing if the call has fenced off nothing.
func (h *poolHolder) callFence(ctx context.Context, renewal work.Renewal) string {
	ctx, cancel := context.WithTimeout(ctx, h.manager.workerLatency.timeout())
	defer cancel()
	err := h.manager.fence(ctx, renewal)
	var stale platform.ErrStaleEpoch
	var mismatch platform.ErrWrongIncarnation
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case h.ctx.Err() != nil:
	case err == nil:
		return "the known incarnation answers"
	case errors.As(err, &stale):
		if !h.scheduler.HasSupersededToken(renewal.Endpoint) {
			h.end(err.Error())
		}
		return err.Error()
	case errors.As(err, &mismatch) && (mismatch.Actual == 0 || mismatch.Actual > renewal.Incarnation.StartMillis):
		if mismatch.Actual == 0 {
			h.scheduler.HandleMisdirectedFence(renewal.Endpoint)
		}
		h.applyMismatch(renewal, mismatch)
		h.wake()
		return fmt.Sprintf("the answer is of the incarnation started at %d", mismatch.Actual)
	}
	return ""
}

// fence is Executors.Fence.
func (m *Manager) fence(ctx context.Context, r work.Renewal) error {
	if m.Executors.Fence != nil {
		return m.Executors.Fence(ctx, r)
	}
	_, err := m.Executors.RenewLeases(ctx, r)
	return err
}
