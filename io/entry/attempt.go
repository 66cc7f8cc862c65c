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

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// attemptTarget sends the request to one target and waits for the header and the first bytes of its
// response. If the attempt has FaultNone, the caller must close the response.
func (s *Server) attemptTarget(ctx context.Context, r *http.Request, c callerRequest, b *body, target route.Target) (targetResponse, route.Attempt) {
	if !c.repeatable() {
		// A target may have started a request that must not be repeated, so it continues if the caller disconnects.
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
		f := roundTripFault(ctx, c, b, sent)
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

// repeatable reports whether the request may be run more than once. A request with an Idempotency-Key may not.
func (c callerRequest) repeatable() bool {
	return c.idempotent && c.key == ""
}

// connectionLimit returns this entry host's share of the connections that a target accepts.
func (s *Server) connectionLimit(t route.Target) int {
	return max(1, t.Capacity.Connections/s.memberCount())
}

// newTargetRequest returns the request to a target. It returns false if the body can't be read again.
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

// transportSafeKey is headerKey in a non-canonical spelling. The transport of net/http retries requests that have
// the canonical header without being asked to, and does not recognise this spelling.
const transportSafeKey = "idempotency-key"

// transportRetriesMethod reports whether the transport of net/http retries requests with the method on its own if they
// have no body.
func transportRetriesMethod(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	}
	return false
}

// emptyBody is an empty body that the transport can't rewind, which keeps it from retrying the request. No body is
// sent for it.
type emptyBody struct{}

// Read implements io.Reader.
func (emptyBody) Read([]byte) (int, error) { return 0, errEndOfBody }

// Close implements io.Closer.
func (emptyBody) Close() error { return nil }

// forwardedHeaders returns the caller's headers that a target receives.
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

// removeHopByHopHeaders removes the hop-by-hop headers and those that the Connection header lists.
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

// roundTripFault returns the fault of an attempt that got no response. sent tells whether any bytes may have been sent.
// The caller's connection has the deadline of the request too, and may report it before ctx does.
func roundTripFault(ctx context.Context, c callerRequest, b *body, sent bool) route.Fault {
	switch {
	case !time.Now().Before(c.deadline):
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

// responseFault returns the fault that the status and headers of a response show, or FaultNone.
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

// isSelfDelimited reports whether a response that was cut short can be distinguished from a complete one.
func isSelfDelimited(response *http.Response) bool {
	if response.ContentLength >= 0 || response.Request.Method == http.MethodHead {
		return true
	}
	te := response.TransferEncoding
	return len(te) > 0 && te[len(te)-1] == "chunked"
}
