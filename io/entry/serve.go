package entry

import (
	"context"
	"errors"
	"net/http"
	"time"

	"siskincross/core/chart"
	"siskincross/core/event"
	"siskincross/core/route"
)

// serveQueues serves one request under /queues/.
func (s *Server) serveQueues(w http.ResponseWriter, r *http.Request) {
	s.requests.Add(1)
	defer s.requests.Add(-1)
	c, f := s.parseRequest(r)
	if f != nil {
		s.respondNotRun(w, c, route.Refusal{Reason: f.reason}, f.detail)
		return
	}
	if s.draining.Load() {
		s.respondNotRun(w, c, route.Refusal{Reason: route.ReasonDraining, RetryAfter: drainRetryAfter}, "")
		return
	}
	if r.ContentLength > s.limits.BodyBytes {
		s.respondNotRun(w, c, route.Refusal{Reason: route.ReasonTooLarge}, "request body exceeds the limit")
		return
	}
	defer setConnDeadlines(w, r, c.deadline)()
	r.Body = http.MaxBytesReader(w, r.Body, s.limits.BodyBytes)
	reserved := s.reserveReplayBytes(r.ContentLength)
	defer s.releaseReplayBytes(reserved)
	b := newBody(r, reserved)
	defer s.trackBody(w, b)()
	if err := b.prefetch(); err != nil {
		s.respondNotRun(w, c, route.Refusal{Reason: prefetchReason(err)}, "request body was not received in full")
		return
	}
	if c.key != "" {
		s.serveKeyed(w, r, c, b)
		return
	}
	s.dispatch(w, r, c, b)
}

// setConnDeadlines sets the read and write deadlines of the caller's connection. The returned function clears the
// write deadline.
func setConnDeadlines(w http.ResponseWriter, r *http.Request, deadline time.Time) func() {
	control := http.NewResponseController(w)
	if r.ContentLength != 0 {
		_ = control.SetReadDeadline(deadline)
		_ = control.EnableFullDuplex()
	}
	_ = control.SetWriteDeadline(deadline.Add(writeGrace))
	return func() { _ = control.SetWriteDeadline(time.Time{}) }
}

// writeGrace is how long after its deadline the outcome of a request may still be written to the caller.
const writeGrace = 2 * time.Second

// prefetchReason returns the reason of a refusal for an error of prefetch.
func prefetchReason(err error) route.Reason {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return route.ReasonTooLarge
	}
	return route.ReasonBadRequest
}

// dispatch sends the request to targets until one responds or no further attempt is allowed.
func (s *Server) dispatch(w http.ResponseWriter, r *http.Request, c callerRequest, b *body) {
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	p := s.pool(c.queue.Pool)
	waiter := c.waiter()
	target, refusal := p.acquire(ctx, waiter)
	started := false
	for {
		if refusal.Reason != route.ReasonNone {
			s.respondNoTarget(ctx, w, c, started, refusal)
			return
		}
		c.target = string(target.Host)
		finish := s.attemptFinisher(p, c, target)
		response, attempt := s.attemptTarget(ctx, r, c, b, target)
		if attempt.Fault == route.FaultNone {
			s.forwardResponse(ctx, w, c, response, finish)
			return
		}
		finish(attempt)
		started = started || attempt.MayHaveStarted()
		if !s.takeRetry(p, c, b, attempt) {
			s.respondAttemptFailed(ctx, w, c, attempt, started)
			return
		}
		s.record(event.Event{Number: event.RequestRetried, Pool: c.queue.Pool, Host: c.target, Request: c.id, Detail: attempt.Fault.String()})
		target, refusal = p.acquireAgain(ctx, waiter, target.Host)
	}
}

// attemptFinisher returns the function that ends an attempt which starts now: it releases the target's slot and
// updates the metrics.
func (s *Server) attemptFinisher(p *pool, c callerRequest, target route.Target) func(route.Attempt) {
	started := time.Now()
	return func(a route.Attempt) {
		p.finishAttempt(c.queue.Name, target.Host, a, time.Since(started))
		s.metrics.countAttempt(a)
	}
}

// takeRetry takes a retry after the attempt a from the pool's retry budget. It returns false if the request can't be
// sent again or the budget is exhausted.
func (s *Server) takeRetry(p *pool, c callerRequest, b *body, a route.Attempt) bool {
	return a.Retryable(c.repeatable()) && b.replayable() && p.spendRetry(a.Fault)
}

// respondNoTarget responds to a request for which no target was available. The outcome is unknown if an earlier
// attempt was started.
func (s *Server) respondNoTarget(ctx context.Context, w http.ResponseWriter, c callerRequest, started bool, refusal route.Refusal) {
	if started {
		c.endClaim(ctx, route.ClaimLose)
		s.respondProblem(w, c, route.OutcomeUnknown, refusal.Reason, "an earlier attempt may have run the request")
		return
	}
	c.endClaim(ctx, route.ClaimProveNotRun)
	s.respondNotRun(w, c, refusal, "")
}

// respondAttemptFailed responds to a request whose last attempt, a, failed. started tells whether any attempt was
// started.
func (s *Server) respondAttemptFailed(ctx context.Context, w http.ResponseWriter, c callerRequest, a route.Attempt, started bool) {
	reason := faultReason(a.Fault)
	if a.Outcome(started) == route.OutcomeNotRun {
		c.endClaim(ctx, route.ClaimProveNotRun)
		s.respondNotRun(w, c, route.Refusal{Reason: reason, RetryAfter: time.Second}, "target fault: "+a.Fault.String())
		return
	}
	c.endClaim(ctx, route.ClaimLose)
	s.respondProblem(w, c, route.OutcomeUnknown, reason, "target fault: "+a.Fault.String())
}

// endClaim applies the event e to the claim of the request's Idempotency-Key, if it has one, when there is no answer
// to store.
func (c callerRequest) endClaim(ctx context.Context, e chart.Event) {
	if c.claim != nil {
		c.claim.completeUnanswered(context.WithoutCancel(ctx), e)
	}
}

// faultReason returns the reason that a caller gets for a fault of its last attempt.
func faultReason(f route.Fault) route.Reason {
	switch f {
	case route.FaultTimeout:
		return route.ReasonDeadline
	case route.FaultCaller:
		return route.ReasonCallerGone
	}
	return route.ReasonTargetFailed
}
