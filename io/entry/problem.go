package entry

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"siskincross/core/event"
	"siskincross/core/route"
)

const (
	problemType = "application/problem+json"
	// problemURN is the prefix of a problem's type, which is followed by the reason.
	problemURN = "urn:siskincross:"
	// drainRetryAfter is the Retry-After while draining, after which the load balancer selects another entry host.
	drainRetryAfter = time.Second
)

// problem is the body of a response that is not a target's, in the format of RFC 9457.
type problem struct {
	Type    string        `json:"type"`
	Title   string        `json:"title"`
	Status  int           `json:"status"`
	Detail  string        `json:"detail,omitempty"`
	Outcome route.Outcome `json:"outcome"`
	Request string        `json:"request-id"`
}

// respondNotRun responds that the request was not run.
func (s *Server) respondNotRun(w http.ResponseWriter, c callerRequest, refusal route.Refusal, detail string) {
	seconds := int((refusal.RetryAfter + time.Second - 1) / time.Second)
	w.Header().Set("Retry-After", strconv.Itoa(max(1, seconds)))
	if refusal.Reason == route.ReasonDraining {
		w.Header().Set("Connection", "close")
	}
	s.respondProblem(w, c, route.OutcomeNotRun, refusal.Reason, detail)
}

// respondProblem responds with an outcome other than answered.
func (s *Server) respondProblem(w http.ResponseWriter, c callerRequest, outcome route.Outcome, reason route.Reason, detail string) {
	status := problemStatus(outcome, reason)
	body, err := json.Marshal(problem{
		Type:    problemURN + reason.String(),
		Title:   problemTitle(outcome),
		Status:  status,
		Detail:  detail,
		Outcome: outcome,
		Request: c.id,
	})
	if err != nil {
		body = nil
	}
	h := w.Header()
	h.Set("Content-Type", problemType)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set(headerOutcome, outcome.String())
	h.Set(headerRequestID, c.id)
	w.WriteHeader(status)
	_, _ = w.Write(body)
	s.recordOutcome(c, outcome, reason.String())
}

// recordOutcome records the event and the metrics of a request that has ended.
func (s *Server) recordOutcome(c callerRequest, outcome route.Outcome, detail string) {
	took := time.Duration(0)
	if !c.received.IsZero() {
		took = time.Since(c.received)
	}
	s.metrics.countOutcome(outcome, took)
	s.record(event.Event{
		Number:       outcomeEvents[outcome],
		Organisation: c.queue.Organisation,
		Pool:         c.queue.Pool,
		Host:         c.target,
		Request:      c.id,
		Detail:       detail,
	})
}

// outcomeEvents maps the outcome of a request to its event.
var outcomeEvents = map[route.Outcome]event.Number{
	route.OutcomeAnswered: event.RequestAnswered,
	route.OutcomeNotRun:   event.RequestNotRun,
	route.OutcomeUnknown:  event.RequestUnknown,
}

func problemTitle(outcome route.Outcome) string {
	if outcome == route.OutcomeNotRun {
		return "The request was not run."
	}
	return "The request may have been run; its outcome is unknown."
}

// problemStatus returns the HTTP status for an outcome other than answered.
func problemStatus(outcome route.Outcome, reason route.Reason) int {
	switch reason {
	case route.ReasonBadRequest, route.ReasonUnknownTeam:
		return http.StatusBadRequest
	case route.ReasonTooLarge:
		return http.StatusRequestEntityTooLarge
	case route.ReasonUnknownQueue:
		return http.StatusNotFound
	case route.ReasonKeyReused:
		return http.StatusUnprocessableEntity
	case route.ReasonTeamFull, route.ReasonDisplaced:
		return http.StatusTooManyRequests
	}
	if outcome == route.OutcomeNotRun {
		return http.StatusServiceUnavailable
	}
	if reason == route.ReasonDeadline {
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}
