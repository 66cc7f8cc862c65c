package entry

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"time"

	"siskincross/core/route"
)

// hopByHopHeaders are the headers of one connection, which are not passed on.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// attemptTarget sends the request to one target and waits for the head and first bytes of its
// answer. With FaultNone the caller of attempt must close the answer.
func (s *Server) attemptTarget(ctx context.Context, r *http.Request, c callerRequest, b *body, target route.Target) (targetResponse, route.Attempt) {
	if !c.repeatable() {
		// The work goes on when the caller leaves: a target may have begun it.
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	e := &exchange{}
	out, ok := newTargetRequest(httptrace.WithClientTrace(ctx, e.trace()), r, c, b, target)
	if !ok {
		cancel()
		return targetResponse{}, route.Attempt{Fault: route.FaultCaller}
	}
	response, err := s.transports.get(s.connectionLimit(target)).RoundTrip(out)
	if err != nil {
		sent := e.abandon()
		f := roundTripFault(ctx, b, sent)
		cancel()
		return targetResponse{}, route.Attempt{Fault: f, Sent: sent}
	}
	a, f := openResponse(c, response, e)
	a.cancel = cancel
	if f != route.FaultNone {
		cancel()
	}
	return a, route.Attempt{Fault: f, Sent: true}
}

// repeatable reports whether the request may be run more than once.
func (c callerRequest) repeatable() bool {
	return c.idempotent && c.key == ""
}

func (s *Server) connectionLimit(t route.Target) int {
	return max(1, t.Capacity.Connections/s.memberCount())
}

// newTargetRequest builds the request to a target; false if the body can't be read again.
func newTargetRequest(ctx context.Context, r *http.Request, c callerRequest, b *body, target route.Target) (*http.Request, bool) {
	reader, ok := b.newReader()
	if !ok {
		return nil, false
	}
	u := &url.URL{
		Scheme:     "http",
		Host:       target.Address,
		Path:       c.path,
		RawPath:    c.rawPath,
		RawQuery:   r.URL.RawQuery,
		ForceQuery: r.URL.ForceQuery,
	}
	out := &http.Request{
		Method:        r.Method,
		URL:           u,
		Host:          r.Host,
		Header:        forwardedHeaders(r.Header),
		Body:          reader,
		ContentLength: b.length,
	}
	out.Header.Set(headerRequestID, c.id)
	out.Header.Set(headerTimeout, time.Until(c.deadline).String())
	if c.key != "" {
		out.Header[transportSafeKey] = []string{c.key}
	}
	if !c.repeatable() && reader == http.NoBody && transportRetriesMethod(r.Method) {
		out.Body = emptyBody{}
		out.ContentLength = -1
	}
	return out.WithContext(ctx), true
}

// transportSafeKey is headerKey spelt so that net/http's transport, which repeats
// requests that have headerKey by itself, does not find it.
const transportSafeKey = "idempotency-key"

// transportRetriesMethod reports whether net/http's transport repeats requests of the method by itself if they have no body.
func transportRetriesMethod(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	}
	return false
}

// emptyBody is a body that the transport can't repeat; it sends none for it.
type emptyBody struct{}

// Read implements io.Reader.
func (emptyBody) Read([]byte) (int, error) { return 0, errEndOfBody }

// Close implements io.Closer.
func (emptyBody) Close() error { return nil }

func forwardedHeaders(in http.Header) http.Header {
	out := in.Clone()
	removeHopByHopHeaders(out)
	for name := range out {
		if strings.HasPrefix(name, headerPrefix) && name != headerTeam {
			delete(out, name)
		}
	}
	delete(out, headerKey)
	if _, ok := out["User-Agent"]; !ok {
		out["User-Agent"] = nil
	}
	return out
}

func removeHopByHopHeaders(h http.Header) {
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		delete(h, name)
	}
}

// roundTripFault tells why no answer came.
func roundTripFault(ctx context.Context, b *body, sent bool) route.Fault {
	switch {
	case ctx.Err() == context.DeadlineExceeded:
		return route.FaultTimeout
	case ctx.Err() != nil:
		return route.FaultCaller
	case b.callerError() != nil:
		return route.FaultCaller
	case !sent:
		return route.FaultUnreachable
	}
	return route.FaultCut
}

// responseFault checks the head of an answer.
func responseFault(c callerRequest, response *http.Response) route.Fault {
	if response.Header.Get(headerRequestID) != c.id {
		return route.FaultGarbage
	}
	if response.StatusCode == http.StatusServiceUnavailable && response.Header.Get(headerRefused) == refusedNotStarted {
		return route.FaultRefused
	}
	if response.StatusCode == http.StatusSwitchingProtocols || !isSelfDelimited(response) {
		return route.FaultGarbage
	}
	return route.FaultNone
}

// isSelfDelimited reports whether the end of an answer can be told from a cut.
func isSelfDelimited(response *http.Response) bool {
	if response.ContentLength >= 0 || response.Request.Method == http.MethodHead {
		return true
	}
	te := response.TransferEncoding
	return len(te) > 0 && te[len(te)-1] == "chunked"
}
