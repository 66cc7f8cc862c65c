package entry

import (
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/oklog/ulid/v2"

	"siskincross/core/config"
	"siskincross/core/route"
)

// Headers between callers, entry hosts and targets.
const (
	headerTeam       = "Siskincross-Team"
	headerTimeout    = "Siskincross-Timeout"
	headerIdempotent = "Siskincross-Idempotent"
	headerUrgent     = "Siskincross-Urgent"
	headerRequestID  = "Siskincross-Request-Id"
	headerOutcome    = "Siskincross-Outcome"
	headerRefused    = "Siskincross-Refused"
	headerKey        = "Idempotency-Key"
	headerPrefix     = "Siskincross-"
	// refusedNotStarted is the value of headerRefused by which a target asserts that it did not start the request.
	refusedNotStarted = "not-started"
)

const (
	maxRequestIDLength = 128
	maxKeyLength       = 255
	// defaultMaxQueued bounds the queued requests of a queue whose template sets no bound.
	defaultMaxQueued = 200
)

// callerRequest is a caller's request after parsing.
type callerRequest struct {
	id    string
	queue config.Queue
	// team is the zero Team if the caller named none.
	team config.Team
	// path is the path after the queue's name, decoded. rawPath is the same path, escaped as the caller sent it.
	path, rawPath string
	method        string
	key           string
	idempotent    bool
	urgent        bool
	received      time.Time
	deadline      time.Time
	// target is the host of the last attempt.
	target string
	// claim writes the claim of the key. It is nil unless this request holds the claim.
	claim *claimWriter
}

// parseError is the reason why a request is refused while it is parsed.
type parseError struct {
	reason route.Reason
	detail string
}

func badRequest(format string, args ...any) *parseError {
	return &parseError{route.ReasonBadRequest, fmt.Sprintf(format, args...)}
}

// parseRequest parses the path and headers of a request. On an error the returned request has at least an ID.
func (s *Server) parseRequest(r *http.Request) (callerRequest, *parseError) {
	c := callerRequest{id: requestID(r), method: r.Method, received: time.Now()}
	if id := r.Header.Get(headerRequestID); id != "" && id != c.id {
		return c, badRequest("%s must be 1 to %d letters, digits, dots, hyphens or underscores", headerRequestID, maxRequestIDLength)
	}
	if f := s.parseQueue(&c, r.URL); f != nil {
		return c, f
	}
	if f := s.parseTeam(&c, r.Header); f != nil {
		return c, f
	}
	if f := s.parseTimeout(&c, r.Header); f != nil {
		return c, f
	}
	return c, parseOptions(&c, r)
}

// parseQueue sets the queue and the path at the target from a path of the form /queues/ORGANISATION/QUEUE/PATH.
func (s *Server) parseQueue(c *callerRequest, u *url.URL) *parseError {
	escaped := strings.TrimPrefix(u.EscapedPath(), queuesPrefix)
	parts := strings.SplitN(escaped, "/", 3)
	if len(parts) < 2 {
		return &parseError{route.ReasonUnknownQueue, "the path must be /queues/ORGANISATION/QUEUE/PATH"}
	}
	name := parts[0] + "/" + parts[1]
	queue, ok := s.currentIndex().queues[name]
	if !ok {
		return &parseError{route.ReasonUnknownQueue, fmt.Sprintf("queue %q does not exist", name)}
	}
	c.queue = queue
	c.rawPath = "/"
	if len(parts) == 3 {
		c.rawPath += parts[2]
	}
	path, err := url.PathUnescape(c.rawPath)
	if err != nil {
		return badRequest("path has an invalid percent-encoding")
	}
	c.path = path
	return nil
}

// parseTeam sets the team from its header. A name without an organisation belongs to the queue's organisation.
func (s *Server) parseTeam(c *callerRequest, h http.Header) *parseError {
	name := h.Get(headerTeam)
	if name == "" {
		return nil
	}
	if !strings.Contains(name, "/") {
		name = c.queue.Organisation + "/" + name
	}
	team, ok := s.currentIndex().teams[name]
	if !ok || team.Organisation != c.queue.Organisation {
		return &parseError{route.ReasonUnknownTeam, fmt.Sprintf("team %q does not exist in organisation %q", name, c.queue.Organisation)}
	}
	c.team = team
	return nil
}

// parseTimeout sets the deadline from the header, or from the queue's default, within the configured maximum.
func (s *Server) parseTimeout(c *callerRequest, h http.Header) *parseError {
	timeout := c.queue.Deadline
	if text := h.Get(headerTimeout); text != "" {
		d, err := time.ParseDuration(text)
		if err != nil || d <= 0 {
			return badRequest("%s must be a positive Go duration such as 1.5s", headerTimeout)
		}
		timeout = d
	}
	if timeout <= 0 {
		timeout = s.limits.MaxTimeout
	}
	c.deadline = c.received.Add(min(timeout, s.limits.MaxTimeout))
	return nil
}

// parseOptions sets from the method and headers whether the request is idempotent and urgent, and its
// Idempotency-Key.
func parseOptions(c *callerRequest, r *http.Request) *parseError {
	switch r.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		c.idempotent = true
	case http.MethodConnect, http.MethodTrace:
		return badRequest("method %s is not supported", r.Method)
	}
	if f := parseBool(r.Header, headerIdempotent, &c.idempotent); f != nil {
		return f
	}
	c.urgent = c.queue.Urgent
	if f := parseBool(r.Header, headerUrgent, &c.urgent); f != nil {
		return f
	}
	keys := r.Header.Values(headerKey)
	if len(keys) == 0 {
		return nil
	}
	if len(keys) > 1 || !validKey(keys[0]) {
		return badRequest("%s must be one value of 1 to %d visible ASCII characters", headerKey, maxKeyLength)
	}
	c.key = keys[0]
	return nil
}

// parseBool sets value from the named header and leaves it unchanged if the header is absent.
func parseBool(h http.Header, name string, value *bool) *parseError {
	text := h.Get(name)
	if text == "" {
		return nil
	}
	b, err := strconv.ParseBool(text)
	if err != nil {
		return badRequest("%s must be true or false", name)
	}
	*value = b
	return nil
}

// requestID returns the request ID that the caller sent, or a new one if that is missing or invalid.
func requestID(r *http.Request) string {
	if id := r.Header.Get(headerRequestID); validRequestID(id) {
		return id
	}
	return ulid.Make().String()
}

func validRequestID(id string) bool {
	if id == "" || len(id) > maxRequestIDLength {
		return false
	}
	for i := range len(id) {
		c := id[i]
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		digit := c >= '0' && c <= '9'
		if !letter && !digit && c != '-' && c != '_' && c != '.' {
			return false
		}
	}
	return true
}

func validKey(key string) bool {
	if key == "" || len(key) > maxKeyLength {
		return false
	}
	for i := range len(key) {
		if key[i] <= ' ' || key[i] > '~' {
			return false
		}
	}
	return true
}

// waiter returns the scheduler's view of the request.
func (c callerRequest) waiter() *route.Waiter {
	maxQueued := c.queue.MaxQueued
	if maxQueued == 0 {
		maxQueued = defaultMaxQueued
	}
	return &route.Waiter{
		Flow:              route.Flow{Queue: c.queue.Name, Team: c.team.Name},
		Weight:            c.team.Weight,
		Urgent:            c.urgent,
		Deadline:          c.deadline,
		MaxWaitingInQueue: maxQueued,
		MaxWaitingOfTeam:  c.team.MaxQueued,
		Idempotent:        c.repeatable(),
	}
}
