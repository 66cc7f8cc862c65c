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

// serve has one request of /queues/ answered.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	s.requests.Add(1)
	defer s.requests.Add(-1)
	c, f := s.parse(r)
	if f != nil {
		s.refuse(w, c, route.Refusal{Reason: f.reason}, f.detail)
		return
	}
	if s.draining.Load() {
		s.refuse(w, c, route.Refusal{Reason: route.ReasonDraining, RetryAfter: drainRetryAfter}, "")
		return
	}
	if r.ContentLength > s.limits.BodyBytes {
		s.refuse(w, c, route.Refusal{Reason: route.ReasonTooLarge}, "the request body is too long")
		return
	}
	defer bound(w, r, c.deadline)()
	r.Body = http.MaxBytesReader(w, r.Body, s.limits.BodyBytes)
	kept := s.reserve(r.ContentLength)
	defer s.release(kept)
	b := newBody(r, kept)
	if err := b.prefetch(); err != nil {
		s.refuse(w, c, route.Refusal{Reason: prefetchReason(err)}, "the request body did not arrive whole")
		return
	}
	if c.key != "" {
		s.serveKeyed(w, r, c, b)
		return
	}
	s.run(w, r, c, b)
}

// bound lets reads and writes on the caller's connection fail after the deadline, and returns how to lift that.
func bound(w http.ResponseWriter, r *http.Request, deadline time.Time) func() {
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

// run finds targets for the request until one answers or no other may be tried.
func (s *Server) run(w http.ResponseWriter, r *http.Request, c call, b *body) {
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	p := s.pool(c.queue.Pool)
	waiter := c.waiter()
	target, refusal := p.acquire(ctx, waiter)
	started := false
	for {
		if refusal.Reason != route.ReasonNone {
			s.giveUp(ctx, w, c, started, refusal)
			return
		}
		c.target = string(target.Host)
		finish := s.begin(p, c, target)
		answer, attempt := s.attempt(ctx, r, c, b, target)
		if attempt.Fault == route.FaultNone {
			s.pass(ctx, w, c, answer, finish)
			return
		}
		finish(attempt)
		started = started || attempt.Started()
		if !s.mayRetry(p, c, b, attempt) {
			s.fail(ctx, w, c, attempt, started)
			return
		}
		s.record(event.Event{Number: event.RequestRetried, Pool: c.queue.Pool, Host: c.target, Request: c.id, Detail: attempt.Fault.String()})
		target, refusal = p.again(ctx, waiter, target.Host)
	}
}

// begin returns the function that ends an attempt at a target.
func (s *Server) begin(p *pool, c call, target route.Target) func(route.Attempt) {
	begun := time.Now()
	return func(a route.Attempt) {
		p.finish(c.queue.Name, target.Host, a, time.Since(begun))
		s.metrics.attempt(a)
	}
}

func (s *Server) mayRetry(p *pool, c call, b *body, a route.Attempt) bool {
	return a.Retriable(c.repeatable()) && b.replayable() && p.spend(a.Fault)
}

// giveUp tells the caller that no target was found.
func (s *Server) giveUp(ctx context.Context, w http.ResponseWriter, c call, started bool, refusal route.Refusal) {
	if started {
		c.end(ctx, route.ClaimLose)
		s.state(w, c, route.OutcomeUnknown, refusal.Reason, "an earlier attempt may have run the request")
		return
	}
	c.end(ctx, route.ClaimProveNotRun)
	s.refuse(w, c, refusal, "")
}

// fail tells the caller the outcome of its last attempt.
func (s *Server) fail(ctx context.Context, w http.ResponseWriter, c call, a route.Attempt, started bool) {
	reason := reasonOf(a.Fault)
	if a.Outcome(started) == route.OutcomeNotRun {
		c.end(ctx, route.ClaimProveNotRun)
		s.refuse(w, c, route.Refusal{Reason: reason, RetryAfter: time.Second}, "the target: "+a.Fault.String())
		return
	}
	c.end(ctx, route.ClaimLose)
	s.state(w, c, route.OutcomeUnknown, reason, "the target: "+a.Fault.String())
}

// end notes on the key's claim, if there is one, that the request has no answer.
func (c call) end(ctx context.Context, e chart.Event) {
	if c.keeper != nil {
		c.keeper.end(context.WithoutCancel(ctx), e)
	}
}

func reasonOf(f route.Fault) route.Reason {
	switch f {
	case route.FaultTimeout:
		return route.ReasonDeadline
	case route.FaultCaller:
		return route.ReasonCallerGone
	}
	return route.ReasonTargetFailed
}
