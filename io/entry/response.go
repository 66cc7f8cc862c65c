package entry

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"siskincross/core/route"
)

// errEndOfBody is returned at the end of an empty request body.
var errEndOfBody = io.EOF

const (
	// maxDiscardBytes bounds how much of an unused response is read so that its connection can be reused.
	maxDiscardBytes = 4 * kib
	// copyBufferBytes is the size of the buffers through which response bodies are copied.
	copyBufferBytes = 32 * kib
)

var copyBuffers = sync.Pool{New: func() any { return new([copyBufferBytes]byte) }}

// errExcessBytes is returned when bytes were received after the end of a response.
var errExcessBytes = errors.New("bytes received after the end of the response")

// targetResponse is a target's response whose header is valid and whose first bytes were received.
type targetResponse struct {
	response *http.Response
	exchange *exchange
	// cancel cancels the attempt's context.
	cancel context.CancelFunc
	buffer *[copyBufferBytes]byte
	// first holds the first bytes of the body, in buffer.
	first []byte
	// complete is set once the whole body was received and its end was verified.
	complete bool
	// length is the length of the body in bytes, or -1 for a chunked body.
	length int64
}

// openResponse validates the header of a response and reads the first bytes of its body. On a fault it closes the
// response.
func openResponse(c callerRequest, response *http.Response, e *exchange) (targetResponse, route.Fault) {
	a := targetResponse{response: response, exchange: e, length: response.ContentLength}
	if response.Request.Method == http.MethodHead {
		a.length = 0
	}
	f := responseFault(c, response)
	if f == route.FaultNone {
		a.buffer = copyBuffers.Get().(*[copyBufferBytes]byte)
		f = a.readFirst(c)
	}
	if f == route.FaultNone {
		return a, f
	}
	if n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxDiscardBytes+1)); f != route.FaultRefused || err != nil || n > maxDiscardBytes {
		e.closeConn()
	}
	_ = response.Body.Close()
	a.release()
	return targetResponse{}, f
}

// readFirst reads the first bytes of the body: of a body of known length a full buffer or all of it, of a chunked
// body the result of one read.
func (a *targetResponse) readFirst(c callerRequest) route.Fault {
	n, complete, err := a.read()
	if err != nil {
		return bodyFault(c, err)
	}
	a.first, a.complete = a.buffer[:n], complete
	return route.FaultNone
}

// read reads from the body into the buffer. complete is true if the body has ended and its end was verified.
// A body of known length fills the buffer unless it ends, so that its last bytes are never forwarded before
// the end was verified.
func (a *targetResponse) read() (n int, complete bool, err error) {
	for err == nil && n < len(a.buffer) {
		var more int
		more, err = a.response.Body.Read(a.buffer[n:])
		n += more
		if a.length < 0 {
			break
		}
	}
	if !errors.Is(err, io.EOF) {
		return n, false, err
	}
	if a.exchange.hasExcessBytes(a.length, len(a.response.Trailer) > 0) {
		return n, false, errExcessBytes
	}
	return n, true, nil
}

// close ends the attempt. The connection is reused only if the response was complete.
func (a *targetResponse) close() {
	if !a.complete {
		a.exchange.closeConn()
	}
	_ = a.response.Body.Close()
	a.cancel()
	a.release()
}

// release returns the buffer to its pool.
func (a *targetResponse) release() {
	if a.buffer != nil {
		copyBuffers.Put(a.buffer)
		a.buffer = nil
	}
}

// forwardResponse sends a target's response to the caller. If the response turns out to be incomplete, it aborts the
// caller's connection.
func (s *Server) forwardResponse(ctx context.Context, w http.ResponseWriter, c callerRequest, a targetResponse, finish func(route.Attempt)) {
	copyHeaders(w.Header(), a.response, c)
	w.WriteHeader(a.response.StatusCode)
	f, err := a.copyTo(context.WithoutCancel(ctx), w, c, finish)
	if err == nil {
		addTrailers(w.Header(), a.response.Trailer)
	}
	status := a.response.StatusCode
	complete := a.complete
	a.close()
	if !complete {
		finish(route.Attempt{Fault: f, Sent: true})
	}
	if err != nil {
		c.endClaim(ctx, route.ClaimLose)
		s.recordOutcome(c, route.OutcomeUnknown, "aborted: "+err.Error())
		panic(http.ErrAbortHandler)
	}
	s.recordOutcome(c, route.OutcomeAnswered, strconv.Itoa(status))
}

// copyTo copies the body to the caller, and to the claim of the request's Idempotency-Key if it has one. With a
// claim, the last bytes are written to the caller only after the response was stored, and the copy continues if the
// caller disconnects. The attempt is finished, which releases its slot, as soon as the last bytes were received.
func (a *targetResponse) copyTo(ctx context.Context, w http.ResponseWriter, c callerRequest, finish func(route.Attempt)) (route.Fault, error) {
	chunk := a.first
	var callerErr error
	for {
		if a.complete {
			finish(route.Attempt{Sent: true, Status: a.response.StatusCode})
		}
		if c.claim != nil {
			c.claim.appendBody(ctx, chunk)
			if a.complete {
				c.claim.completeAnswered(ctx, a.response)
			}
		}
		if _, err := w.Write(chunk); err != nil && len(chunk) > 0 {
			callerErr = err
		}
		if callerErr != nil && c.claim == nil || a.complete {
			break
		}
		if a.length < 0 {
			_ = http.NewResponseController(w).Flush()
		}
		n, complete, err := a.read()
		if err != nil {
			return bodyFault(c, err), err
		}
		chunk, a.complete = a.buffer[:n], complete
	}
	if callerErr != nil {
		return route.FaultCaller, callerErr
	}
	return route.FaultNone, nil
}

// bodyFault returns the fault for an error of reading a response body.
func bodyFault(c callerRequest, err error) route.Fault {
	switch {
	case errors.Is(err, errExcessBytes):
		return route.FaultGarbage
	case !time.Now().Before(c.deadline):
		return route.FaultTimeout
	case errors.Is(err, context.Canceled):
		return route.FaultCaller
	}
	return route.FaultCut
}

// copyHeaders copies the headers of a target's response, except hop-by-hop headers and those with headerPrefix, and
// sets the outcome and the request ID.
func copyHeaders(h http.Header, response *http.Response, c callerRequest) {
	removeHopByHopHeaders(response.Header)
	for name, values := range response.Header {
		if !strings.HasPrefix(name, headerPrefix) {
			h[name] = values
		}
	}
	h.Set(headerOutcome, route.OutcomeAnswered.String())
	h.Set(headerRequestID, c.id)
}

// addTrailers adds a target's trailers to the response to the caller.
func addTrailers(h, trailers http.Header) {
	for name, values := range trailers {
		h[http.TrailerPrefix+name] = values
	}
}
