package runner

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"siskincross/core/event"
	"siskincross/core/work"
	"siskincross/io/platform"
)

const (
	// renewPollWait is how long a worker may hold its answer back until a task ends. Leases are
	// renewed at least as often.
	renewPollWait = 1000 * time.Millisecond
	// minRenewInterval is the least time between two renewals, so that ends come in groups.
	minRenewInterval = 25 * time.Millisecond
	// missedRenewalDelay is the pause after a renewal without an answer, if it was not the first.
	missedRenewalDelay = 150 * time.Millisecond
	// idleRenewalDelay is that pause for a worker that runs nothing and has been silent for a while: most of these are gone.
	idleRenewalDelay = time.Second
)

// renewWorkerLeases renews the leases on a worker and takes in its ends, until the board forgets its life.
func (h *poolHolder) renewWorkerLeases(life work.Incarnation) {
	defer func() {
		h.mu.Lock()
		delete(h.renewalLoops, life)
		h.mu.Unlock()
	}()
	silent := false
	for h.ctx.Err() == nil {
		h.mu.Lock()
		renewal, ok := h.scheduler.PrepareRenewal(life, renewPollWait, time.Now())
		misses := h.scheduler.Misses(life)
		h.mu.Unlock()
		if !ok {
			return
		}
		report, err := h.manager.renewWorker(h.ctx, renewal, misses)
		if h.ctx.Err() != nil || !h.applyReport(life, renewal, report, err) {
			return
		}
		if silent != (err != nil) {
			silent = err != nil
			h.recordSilence(life, err)
		}
		gap := h.manager.workerLatency.renewInterval()
		if err != nil {
			gap = h.renewalRetryDelay(life)
		}
		if !sleep(h.ctx, gap) {
			return
		}
	}
}

// renewWorker makes a call that renews a worker, within the time that workers usually take, and twice that after each call without an answer: no
// start tells how long answers take while nothing is started.
func (m *Manager) renewWorker(ctx context.Context, r work.Renewal, misses int) (work.Report, error) {
	limit := min(m.workerLatency.timeout()<<min(misses, 10), maxWorkerTimeout)
	callCtx, cancel := context.WithTimeout(ctx, r.MaxWait+limit)
	defer cancel()
	return m.Executors.RenewLeases(callCtx, r)
}

// sendOrder carries out an order within the time that workers usually take.
func (m *Manager) sendOrder(ctx context.Context, o work.Order) work.OrderResult {
	callCtx, cancel := context.WithTimeout(ctx, m.workerLatency.timeout())
	defer cancel()
	began := time.Now()
	answer := m.Executors.SendOrder(callCtx, o)
	if o.Kind == work.OrderStart && ctx.Err() == nil && answer.Outcome != work.OutcomeNotSent {
		// Only starts: they go to workers that answered a moment ago. Other calls also go to workers that are gone.
		m.workerLatency.recordLatency(time.Since(began), answer.Outcome != work.OutcomeUnknown)
	}
	return answer
}

// renewalRetryDelay is the pause after a renewal without an answer.
func (h *poolHolder) renewalRetryDelay(life work.Incarnation) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case h.scheduler.Idle(life):
		return idleRenewalDelay
	case h.scheduler.Misses(life) <= 1:
		return minRenewInterval
	}
	return missedRenewalDelay
}

func (h *poolHolder) recordSilence(life work.Incarnation, err error) {
	number, detail := event.WorkerHeard, ""
	if err != nil {
		number, detail = event.WorkerSilent, err.Error()
	}
	h.manager.record(event.Event{Number: number, Pool: h.pool, Host: life.Worker, Detail: detail})
}

// applyReport gives the board a worker's answer. It reports false if there is nothing more to renew.
func (h *poolHolder) applyReport(life work.Incarnation, renewal work.Renewal, report work.Report, err error) bool {
	var stale platform.ErrStaleEpoch
	var over platform.ErrWrongIncarnation
	defer h.wake()
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case err == nil:
		for _, e := range h.scheduler.HandleReport(life, renewal.Sequence, report, time.Now()) {
			h.manager.record(event.Event{
				Number: event.WorkRunEnded, Pool: h.pool, Host: life.Worker, Job: string(e.Run.Task.Job),
				Detail: fmt.Sprintf("%s: %s, end %d of the worker", e.Run, e.Reason, e.Number),
			})
		}
	case errors.As(err, &stale):
		h.end(err.Error())
		return false
	case errors.As(err, &over):
		h.manager.record(event.Event{Number: event.WorkerLost, Pool: h.pool, Host: life.Worker, Detail: err.Error()})
		if over.Actual != 0 {
			h.scheduler.ReplaceIncarnation(life, over.Actual)
		} else {
			h.scheduler.EndIncarnation(life)
		}
	default:
		h.scheduler.HandleMissedRenewal(life, time.Now())
	}
	return true
}

// executeOrder carries out one order and tells the board its outcome.
func (h *poolHolder) executeOrder(o work.Order) {
	answer := h.manager.sendOrder(h.ctx, o)
	h.recordOrder(o, answer)
	h.mu.Lock()
	ours := h.scheduler.HandleResult(o, answer, time.Now())
	h.mu.Unlock()
	if !ours {
		h.end("worker " + o.Incarnation.Worker + " has seen a higher epoch")
		return
	}
	h.wake()
}

// recordPresumedEnd records why a run counts as over. A refusal has a line of its own.
func (h *poolHolder) recordPresumedEnd(g work.GivenUp) {
	if g.Cause == work.CauseRefused {
		return
	}
	h.manager.record(event.Event{
		Number: event.WorkGivenUp, Pool: h.pool, Host: g.Incarnation.Worker, Job: string(g.Run.Task.Job),
		Detail: fmt.Sprintf("%s: %s, wanted %t, heard %s ago, clock at least %s, last lease to %s, %d calls unanswered",
			g.Run, g.Cause, g.WillRestart, g.SinceLastAnswer.Round(time.Millisecond), g.MinWorkerClock.Round(time.Millisecond), g.LeaseDeadline.Round(time.Millisecond), g.ConsecutiveMisses),
	})
}

func (h *poolHolder) recordOrder(o work.Order, a work.OrderResult) {
	number := event.WorkStarted
	switch {
	case o.Kind == work.OrderStop:
		number = event.WorkRunStopped
	case o.Kind == work.OrderPace:
		number = event.WorkPaced
	case a.Outcome == work.OutcomeUnknown:
		number = event.WorkStartUnsure
	case a.Outcome != work.OutcomeOK:
		number = event.WorkStartRefused
	}
	h.manager.record(event.Event{
		Number: number, Pool: h.pool, Host: o.Incarnation.Worker, Job: string(o.Run.Task.Job),
		Detail: strings.TrimSuffix(fmt.Sprintf("%s: %s, %s", o.Run, a.Outcome, o.Reason), ", "),
	})
}
