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
	// fenceTimeout bounds the wait for the answer to such a call. The call takes effect without its answer.
	fenceTimeout = 30 * time.Millisecond
)

// startFenceLoops calls the workers that have to be fenced. The caller holds the lock.
func (h *poolHolder) startFenceLoops(now time.Time) {
	for _, worker := range h.scheduler.WorkersToFence(now) {
		if !h.fenceLoops[worker] && !h.manager.workers.isInOtherPool(worker, h.pool) {
			h.fenceLoops[worker] = true
			h.group.Go(func() { h.fenceWorker(worker) })
		}
	}
}

// fenceWorker calls a silent worker at short intervals until one of its incarnations answers or no order has to be fenced off any more.
func (h *poolHolder) fenceWorker(worker string) {
	began, calls, ended := time.Now(), 0, "no order has to be fenced off any more"
	defer func() {
		h.mu.Lock()
		delete(h.fenceLoops, worker)
		h.mu.Unlock()
		h.manager.record(event.Event{Number: event.WorkerFenced, Pool: h.pool, Host: worker, Detail: fmt.Sprintf(
			"%d calls in %s, ended as %s", calls, time.Since(began).Round(time.Millisecond), ended)})
	}()
	for h.ctx.Err() == nil {
		h.mu.Lock()
		renewal, ok := h.scheduler.PrepareFence(worker, time.Now())
		h.mu.Unlock()
		if !ok {
			return
		}
		if h.manager.workers.isInOtherPool(worker, h.pool) {
			ended = "another pool lists the worker"
			return
		}
		calls++
		ctx, cancel := context.WithTimeout(h.ctx, fenceTimeout)
		report, err := h.manager.Executors.RenewLeases(ctx, renewal)
		cancel()
		if ended, ok = h.applyFenceAnswer(renewal, report, err); ok || !sleep(h.ctx, fenceInterval) {
			return
		}
	}
}

// applyFenceAnswer passes the result of a call that fences a worker to the scheduler. It returns false if no incarnation has answered.
func (h *poolHolder) applyFenceAnswer(renewal work.Renewal, report work.Report, err error) (answer string, answered bool) {
	var stale platform.ErrStaleEpoch
	var mismatch platform.ErrWrongIncarnation
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case err == nil:
		h.scheduler.HandleFenceAnswer(renewal.Incarnation, report.WorkerClock, time.Now())
		return "the known incarnation answers", true
	case errors.As(err, &stale):
		if !h.scheduler.HasSupersededToken(renewal.Endpoint) {
			h.end(err.Error())
		}
		return err.Error(), true
	case errors.As(err, &mismatch) && (mismatch.Actual == 0 || mismatch.Actual > renewal.Incarnation.StartMillis):
		if mismatch.Actual == 0 {
			h.scheduler.HandleMisdirectedFence(renewal.Endpoint)
		}
		h.applyMismatch(renewal, mismatch)
		h.wake()
		return fmt.Sprintf("the answer is of the incarnation started at %d", mismatch.Actual), true
	}
	return "the duty ends", false
}
