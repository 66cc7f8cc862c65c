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

// hopHeaders are the headers of one connection, which are not passed on.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// attempt sends the request to one target and waits for the head and first bytes of its
// answer. With FaultNone the caller of attempt must close the answer.
func (s *Server) attempt(ctx context.Context, r *http.Request, c call, b *body, target route.Target) (answer, route.Attempt) {
	if !c.repeatable() {
		// The work goes on when the caller leaves: a target may have begun it.
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	e := &exchange{}
	out, ok := outgoing(httptrace.WithClientTrace(ctx, e.trace()), r, c, b, target)
	if !ok {
		cancel()
		return answer{}, route.Attempt{Fault: route.FaultCaller}
	}
	response, err := s.transports.get(s.connections(target)).RoundTrip(out)
	if err != nil {
		sent := e.seal()
		f := roundTripFault(ctx, b, sent)
		cancel()
		return answer{}, route.Attempt{Fault: f, Sent: sent}
	}
	a, f := open(c, response, e)
	a.cancel = cancel
	if f != route.FaultNone {
		cancel()
	}
	return a, route.Attempt{Fault: f, Sent: true}
}

// repeatable reports whether the request may be run more than once.
func (c call) repeatable() bool {
	return c.idempotent && c.key == ""
}

func (s *Server) connections(t route.Target) int {
	return max(1, t.Capacity.Connections/s.members())
}

// outgoing builds the request to a target; false if the body can't be read again.
func outgoing(ctx context.Context, r *http.Request, c call, b *body, target route.Target) (*http.Request, bool) {
	reader, ok := b.next()
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
	if !c.repeatable() && reader == http.NoBody && replayedMethod(r.Method) {
		out.Body = emptyBody{}
		out.ContentLength = -1
	}
	return out.WithContext(ctx), true
}

// transportSafeKey is headerKey spelt so that net/http's transport, which repeats
// requests that have headerKey by itself, does not find it.
const transportSafeKey = "idempotency-key"

// replayedMethod reports whether net/http's transport repeats requests of the method by itself if they have no body.
func replayedMethod(method string) bool {
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
	dropHopHeaders(out)
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

func dropHopHeaders(h http.Header) {
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
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
	case b.failure() != nil:
		return route.FaultCaller
	case !sent:
		return route.FaultUnreachable
	}
	return route.FaultCut
}

// headFault checks the head of an answer.
func headFault(c call, response *http.Response) route.Fault {
	if response.Header.Get(headerRequestID) != c.id {
		return route.FaultGarbage
	}
	if response.StatusCode == http.StatusServiceUnavailable && response.Header.Get(headerRefused) == refusedNotStarted {
		return route.FaultRefused
	}
	if response.StatusCode == http.StatusSwitchingProtocols || !framed(response) {
		return route.FaultGarbage
	}
	return route.FaultNone
}

// framed reports whether the end of an answer can be told from a cut.
func framed(response *http.Response) bool {
	if response.ContentLength >= 0 || response.Request.Method == http.MethodHead {
		return true
	}
	te := response.TransferEncoding
	return len(te) > 0 && te[len(te)-1] == "chunked"
}
