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

// serveQueues has one request of /queues/ answered.
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
		s.respondNotRun(w, c, route.Refusal{Reason: route.ReasonTooLarge}, "the request body is too long")
		return
	}
	defer setConnDeadlines(w, r, c.deadline)()
	r.Body = http.MaxBytesReader(w, r.Body, s.limits.BodyBytes)
	kept := s.reserveReplayBytes(r.ContentLength)
	defer s.releaseReplayBytes(kept)
	b := newBody(r, kept)
	if err := b.prefetch(); err != nil {
		s.respondNotRun(w, c, route.Refusal{Reason: prefetchReason(err)}, "the request body did not arrive whole")
		return
	}
	if c.key != "" {
		s.serveKeyed(w, r, c, b)
		return
	}
	s.dispatch(w, r, c, b)
}

// setConnDeadlines lets reads and writes on the caller's connection fail after the deadline, and returns how to lift that.
func setConnDeadlines(w http.ResponseWriter, r *http.Request, deadline time.Time) func() {
	control := http.NewResponseController(w)
	if r.ContentLength != 0 {
		_ = control.SetReadDeadline(deadline)
		_ = control.EnableFullDuplex()
	}
	_ = control.SetWriteDeadline(deadline.Add(writeGrace))
	return func() { _ = control.SetWriteDeadline(time.Time{}) }
}

// writeGrace is the time after a request's deadline in which its outcome is written.
const writeGrace = 2 * time.Second

func prefetchReason(err error) route.Reason {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return route.ReasonTooLarge
	}
	return route.ReasonBadRequest
}

// dispatch finds targets for the request until one answers or no other may be tried.
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
		answer, attempt := s.attemptTarget(ctx, r, c, b, target)
		if attempt.Fault == route.FaultNone {
			s.forwardResponse(ctx, w, c, answer, finish)
			return
		}
		finish(attempt)
		started = started || attempt.Started()
		if !s.mayRetry(p, c, b, attempt) {
			s.respondAttemptFailed(ctx, w, c, attempt, started)
			return
		}
		s.record(event.Event{Number: event.RequestRetried, Pool: c.queue.Pool, Host: c.target, Request: c.id, Detail: attempt.Fault.String()})
		target, refusal = p.acquireAgain(ctx, waiter, target.Host)
	}
}

// attemptFinisher returns the function that ends an attempt at a target.
func (s *Server) attemptFinisher(p *pool, c callerRequest, target route.Target) func(route.Attempt) {
	begun := time.Now()
	return func(a route.Attempt) {
		p.finishAttempt(c.queue.Name, target.Host, a, time.Since(begun))
		s.metrics.countAttempt(a)
	}
}

func (s *Server) mayRetry(p *pool, c callerRequest, b *body, a route.Attempt) bool {
	return a.Retriable(c.repeatable()) && b.replayable() && p.spendRetry(a.Fault)
}

// respondNoTarget tells the caller that no target was found.
func (s *Server) respondNoTarget(ctx context.Context, w http.ResponseWriter, c callerRequest, started bool, refusal route.Refusal) {
	if started {
		c.endClaim(ctx, route.ClaimLose)
		s.respondProblem(w, c, route.OutcomeUnknown, refusal.Reason, "an earlier attempt may have run the request")
		return
	}
	c.endClaim(ctx, route.ClaimProveNotRun)
	s.respondNotRun(w, c, refusal, "")
}

// respondAttemptFailed tells the caller the outcome of its last attempt.
func (s *Server) respondAttemptFailed(ctx context.Context, w http.ResponseWriter, c callerRequest, a route.Attempt, started bool) {
	reason := faultReason(a.Fault)
	if a.Outcome(started) == route.OutcomeNotRun {
		c.endClaim(ctx, route.ClaimProveNotRun)
		s.respondNotRun(w, c, route.Refusal{Reason: reason, RetryAfter: time.Second}, "the target: "+a.Fault.String())
		return
	}
	c.endClaim(ctx, route.ClaimLose)
	s.respondProblem(w, c, route.OutcomeUnknown, reason, "the target: "+a.Fault.String())
}

// endClaim notes on the key's claim, if there is one, that the request has no answer.
func (c callerRequest) endClaim(ctx context.Context, e chart.Event) {
	if c.claim != nil {
		c.claim.completeUnanswered(context.WithoutCancel(ctx), e)
	}
}

func faultReason(f route.Fault) route.Reason {
	switch f {
	case route.FaultTimeout:
		return route.ReasonDeadline
	case route.FaultCaller:
		return route.ReasonCallerGone
	}
	return route.ReasonTargetFailed
}
