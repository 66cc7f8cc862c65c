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
	// renewPollWait is how long a worker may hold back its answer until a task ends. Leases are renewed at least this
	// often.
	renewPollWait = 1000 * time.Millisecond
	// minRenewInterval is the minimum time between two renewals, so that the ends of several tasks arrive in one
	// answer.
	minRenewInterval = 25 * time.Millisecond
	// missedRenewalDelay is the delay after the second and each further consecutive renewal without an answer.
	missedRenewalDelay = 150 * time.Millisecond
	// idleRenewalDelay is the delay after an unanswered renewal of a worker that runs nothing and has not answered
	// for a while. Most of these workers no longer exist.
	idleRenewalDelay = time.Second
)

// renewWorkerLeases renews the leases on a worker and passes its reports to the scheduler, until the scheduler no
// longer knows the incarnation.
func (h *poolHolder) renewWorkerLeases(incarnation work.Incarnation) {
	defer func() {
		h.mu.Lock()
		delete(h.renewalLoops, incarnation)
		h.mu.Unlock()
	}()
	silent := false
	for h.ctx.Err() == nil {
		h.updateValidity(time.Now())
		h.mu.Lock()
		renewal, ok := h.scheduler.PrepareRenewal(incarnation, renewPollWait, time.Now())
		misses := h.scheduler.ConsecutiveMisses(incarnation)
		h.mu.Unlock()
		if !ok {
			return
		}
		report, err := h.manager.renewWorker(h.ctx, renewal, misses)
		if h.ctx.Err() != nil || !h.applyReport(incarnation, renewal, report, err) {
			return
		}
		if silent != (err != nil) {
			silent = err != nil
			h.recordSilence(incarnation, err)
		}
		delay := h.manager.workerLatency.renewInterval()
		if err != nil {
			delay = h.renewalRetryDelay(incarnation)
		}
		if !sleep(h.ctx, delay) {
			return
		}
	}
}

// renewWorker sends one renewal to a worker. The timeout follows the usual latency of workers and doubles with each
// consecutive miss: latency is measured on starts only, so the estimate is not updated while no task is started.
func (m *Manager) renewWorker(ctx context.Context, renewal work.Renewal, misses int) (work.Report, error) {
	timeout := min(m.workerLatency.timeout()<<min(misses, 10), maxWorkerTimeout)
	callCtx, cancel := context.WithTimeout(ctx, renewal.MaxWait+timeout)
	defer cancel()
	return m.Executors.RenewLeases(callCtx, renewal)
}

// sendOrder sends an order to a worker, with a timeout that follows the usual latency of workers.
func (m *Manager) sendOrder(ctx context.Context, order work.Order) work.OrderResult {
	callCtx, cancel := context.WithTimeout(ctx, m.workerLatency.timeout())
	defer cancel()
	start := time.Now()
	result := m.Executors.SendOrder(callCtx, order)
	if order.Kind == work.OrderStart && ctx.Err() == nil && result.Outcome != work.OutcomeNotSent {
		// Latency is measured on starts only, since they go to workers that answered a moment ago. Other calls also
		// go to workers that no longer exist.
		m.workerLatency.recordLatency(time.Since(start), result.Outcome != work.OutcomeUnknown)
	}
	return result
}

// renewalRetryDelay returns the delay after a renewal without an answer.
func (h *poolHolder) renewalRetryDelay(incarnation work.Incarnation) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case h.scheduler.IsUnresponsiveAndIdle(incarnation):
		return idleRenewalDelay
	case h.scheduler.ConsecutiveMisses(incarnation) <= 1:
		return minRenewInterval
	}
	return missedRenewalDelay
}

// recordSilence records that a worker stopped answering, or answers again if err is nil.
func (h *poolHolder) recordSilence(incarnation work.Incarnation, err error) {
	number, detail := event.WorkerHeard, ""
	if err != nil {
		number, detail = event.WorkerSilent, err.Error()
	}
	h.manager.record(event.Event{Number: number, Pool: h.pool, Host: incarnation.Worker, Detail: detail})
}

// applyReport passes the result of a renewal to the scheduler. It returns false if this holder must not renew the
// worker again.
func (h *poolHolder) applyReport(incarnation work.Incarnation, renewal work.Renewal, report work.Report, err error) bool {
	var stale platform.ErrStaleEpoch
	var mismatch platform.ErrWrongIncarnation
	var notSent platform.ErrNotSent
	defer h.wake()
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case err == nil:
		for _, e := range h.scheduler.HandleReport(incarnation, renewal.Sequence, report, time.Now()) {
			h.manager.record(event.Event{
				Number: event.WorkRunEnded, Pool: h.pool, Host: incarnation.Worker, Job: string(e.Run.Task.Job),
				Detail: fmt.Sprintf("%s: %s, end number %d of the worker", e.Run, e.Reason, e.Number),
			})
		}
	case errors.As(err, &stale) && !h.scheduler.HasSupersededToken(renewal.Endpoint):
		h.end(err.Error())
		return false
	case errors.As(err, &mismatch):
		h.applyMismatch(renewal, mismatch)
	case errors.As(err, &notSent):
		h.scheduler.HandleUnsentRenewal(incarnation, time.Now())
	default:
		h.scheduler.HandleMissedRenewal(incarnation, time.Now())
	}
	return true
}

// applyMismatch handles the answer of another process at the address of an incarnation. It records only the first one in a row, since the
// entry of the incarnation may stay listed. An earlier incarnation does not prove that this one has ended. The caller holds the lock.
func (h *poolHolder) applyMismatch(renewal work.Renewal, mismatch platform.ErrWrongIncarnation) {
	incarnation := renewal.Incarnation
	if mismatch.Actual != 0 && mismatch.Actual <= incarnation.StartMillis {
		h.scheduler.HandleMissedRenewal(incarnation, time.Now())
		return
	}
	if h.scheduler.ConsecutiveMisses(incarnation) == 0 {
		h.manager.record(event.Event{Number: event.WorkerLost, Pool: h.pool, Host: incarnation.Worker, Detail: fmt.Sprintf(
			"%v, the renewal acknowledged ends up to %d", mismatch, renewal.AcknowledgedEnd)})
	}
	if mismatch.Actual != 0 {
		h.scheduler.ReplaceIncarnation(incarnation, mismatch.Actual, time.Now())
	} else {
		h.scheduler.EndIncarnation(incarnation)
	}
}

// executeOrder sends one order, if it is still wanted, and passes its result to the scheduler.
func (h *poolHolder) executeOrder(order work.Order) {
	h.updateValidity(time.Now())
	h.mu.Lock()
	wanted := h.scheduler.ConfirmOrder(order, time.Now())
	h.mu.Unlock()
	if !wanted {
		number := event.WorkRunStopped
		if order.Kind == work.OrderStart {
			number = event.WorkStartRefused
		}
		h.manager.record(event.Event{
			Number: number, Pool: h.pool, Host: order.Incarnation.Worker, Job: string(order.Run.Task.Job),
			Detail: fmt.Sprintf("%s: withdrawn before it was sent, %s", order.Run, order.Reason),
		})
		return
	}
	result := h.manager.sendOrder(h.ctx, order)
	h.recordOrder(order, result)
	h.mu.Lock()
	epochCurrent := h.scheduler.HandleResult(order, result, time.Now())
	h.mu.Unlock()
	if !epochCurrent {
		h.end("worker " + order.Incarnation.Worker + " has seen a higher epoch")
		return
	}
	h.wake()
}

// recordPresumedEnd records why a run is presumed to have ended. Refused runs are omitted, because executeOrder
// records them.
func (h *poolHolder) recordPresumedEnd(end work.PresumedEnd) {
	if end.Cause == work.CauseRefused {
		return
	}
	h.manager.record(event.Event{
		Number: event.WorkGivenUp, Pool: h.pool, Host: end.Incarnation.Worker, Job: string(end.Run.Task.Job),
		Detail: fmt.Sprintf("%s: %s, restart %t, aged %s to %s when the worker fell silent, last answer %s ago, worker clock at least %s, last lease until %s, %d renewals unanswered, last end listed %d",
			end.Run, end.Cause, end.WillRestart, end.MinAge.Round(time.Millisecond), end.MaxAge.Round(time.Millisecond), end.SinceLastAnswer.Round(time.Millisecond), end.MinWorkerClock.Round(time.Millisecond), end.LeaseDeadline.Round(time.Millisecond), end.ConsecutiveMisses, end.LastEnd),
	})
}

// recordMissingEnds records that a worker has forgotten ends that it never listed to this holder.
func (h *poolHolder) recordMissingEnds(m work.MissingEnds) {
	h.manager.record(event.Event{
		Number: event.WorkerEndsMissing, Pool: h.pool, Host: m.Incarnation.Worker,
		Detail: fmt.Sprintf("started at %d, ends %d to %d", m.Incarnation.StartMillis, m.First, m.Last),
	})
}

// recordForgettableEnds records that an incarnation may forget ends before it lists them, or no longer does.
func (h *poolHolder) recordForgettableEnds(f work.ForgettableEnds) {
	detail := fmt.Sprintf("started at %d, lists every end from now on", f.Incarnation.StartMillis)
	if f.Last > 0 {
		detail = fmt.Sprintf("started at %d, ends up to %d may have been acknowledged by calls to earlier incarnations", f.Incarnation.StartMillis, f.Last)
	}
	h.manager.record(event.Event{Number: event.WorkerEndsUncertain, Pool: h.pool, Host: f.Incarnation.Worker, Detail: detail})
}

// recordLingeringRun records that a worker still runs what no task needs.
func (h *poolHolder) recordLingeringRun(r work.LingeringRun) {
	h.manager.record(event.Event{
		Number: event.WorkRunLingers, Pool: h.pool, Host: r.Incarnation.Worker, Job: string(r.Run.Task.Job),
		Detail: fmt.Sprintf("%s: not needed for %s, stop requested %t, confirmed %t, started by an earlier holder %t",
			r.Run, r.UnneededFor.Round(time.Millisecond), r.StopRequested, r.StopConfirmed, r.Adopted),
	})
}

// recordCrash records that a worker ended under a task that may be the cause.
func (h *poolHolder) recordCrash(v work.CrashVerdict) {
	h.manager.record(event.Event{
		Number: event.WorkerCrashed, Pool: h.pool, Host: v.Incarnation.Worker, Job: string(v.Run.Task.Job),
		Detail: fmt.Sprintf("%s: crash %d of the task, %d conclusive, job given up %t, crashes forgotten %t at a chance of %.2g, aged %s to %s, the only possible cause %t, start confirmed %t, %d other workers silent at the same time",
			v.Run, v.Count, v.Conclusive, v.GivenUp, v.Forgotten, v.Chance, v.MinAge.Round(time.Millisecond), v.MaxAge.Round(time.Millisecond), v.Alone, v.Confirmed, v.Simultaneous),
	})
}

// recordOrder records the result of an order.
func (h *poolHolder) recordOrder(order work.Order, result work.OrderResult) {
	number := event.WorkStarted
	switch {
	case order.Kind == work.OrderStop:
		number = event.WorkRunStopped
	case order.Kind == work.OrderPace:
		number = event.WorkPaced
	case result.Outcome == work.OutcomeUnknown:
		number = event.WorkStartUnsure
	case result.Outcome != work.OutcomeOK:
		number = event.WorkStartRefused
	}
	h.manager.record(event.Event{
		Number: number, Pool: h.pool, Host: order.Incarnation.Worker, Job: string(order.Run.Task.Job),
		Detail: strings.TrimSuffix(fmt.Sprintf("%s: %s, %s", order.Run, result.Outcome, order.Reason), ", "),
	})
}
