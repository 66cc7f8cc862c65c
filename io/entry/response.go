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

// errEndOfBody ends the empty body of a request.
var errEndOfBody = io.EOF

const (
	// maxDiscardBytes bounds what is read of an answer that is not used.
	maxDiscardBytes = 4 * kib
	// copyBufferBytes is the size of the buffers through which answers are passed on.
	copyBufferBytes = 32 * kib
)

var copyBuffers = sync.Pool{New: func() any { return new([copyBufferBytes]byte) }}

// errExcessBytes is returned when bytes came behind the end of an answer.
var errExcessBytes = errors.New("bytes came behind the end of the answer")

// targetResponse is a target's answer whose head was checked and whose first bytes arrived.
type targetResponse struct {
	response *http.Response
	exchange *exchange
	// cancel ends the attempt.
	cancel context.CancelFunc
	buffer *[copyBufferBytes]byte
	// first holds the first bytes of the body, in buffer; whole tells that they are all of it.
	first []byte
	whole bool
	// length is the body's length, or -1 for a chunked body.
	length int64
}

// openResponse checks the head and the first bytes of a response. On a fault it closes the response.
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

// readFirst reads the first bytes of the body: all of a short body of known length, else what comes with one read.
func (a *targetResponse) readFirst(c callerRequest) route.Fault {
	n, whole, err := a.read()
	if err != nil {
		return bodyFault(c, err)
	}
	a.first, a.whole = a.buffer[:n], whole
	return route.FaultNone
}

// read fills the buffer from the body. whole tells that the answer has ended and was proved whole.
// With a known length it fills the whole buffer unless the body ends, so that the last
// bytes are never passed on before the end was checked.
func (a *targetResponse) read() (n int, whole bool, err error) {
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

// close ends the attempt. The connection is used again only if the answer was whole.
func (a *targetResponse) close() {
	if !a.whole {
		a.exchange.closeConn()
	}
	_ = a.response.Body.Close()
	a.cancel()
	a.release()
}

func (a *targetResponse) release() {
	if a.buffer != nil {
		copyBuffers.Put(a.buffer)
		a.buffer = nil
	}
}

// forwardResponse sends a target's answer to the caller. If it turns out not to be whole, the caller's connection is aborted.
func (s *Server) forwardResponse(ctx context.Context, w http.ResponseWriter, c callerRequest, a targetResponse, finish func(route.Attempt)) {
	copyHeaders(w.Header(), a.response, c)
	w.WriteHeader(a.response.StatusCode)
	f, err := a.copyTo(context.WithoutCancel(ctx), w, c, finish)
	if err == nil {
		addTrailers(w.Header(), a.response.Trailer)
	}
	status := a.response.StatusCode
	whole := a.whole
	a.close()
	if !whole {
		finish(route.Attempt{Fault: f, Sent: true})
	}
	if err != nil {
		c.endClaim(ctx, route.ClaimLose)
		s.recordOutcome(c, route.OutcomeUnknown, "aborted: "+err.Error())
		panic(http.ErrAbortHandler)
	}
	s.recordOutcome(c, route.OutcomeAnswered, strconv.Itoa(status))
}

// copyTo writes the body to the caller, and to the key's claim if there is one: then the last
// bytes are written only after the answer was kept, and the caller's leaving does not end the copy.
// The attempt is finished, and its slot free for others, as soon as the last bytes arrived.
func (a *targetResponse) copyTo(ctx context.Context, w http.ResponseWriter, c callerRequest, finish func(route.Attempt)) (route.Fault, error) {
	chunk := a.first
	var gone error
	for {
		if a.whole {
			finish(route.Attempt{Sent: true, Status: a.response.StatusCode})
		}
		if c.claim != nil {
			c.claim.appendBody(ctx, chunk)
			if a.whole {
				c.claim.completeAnswered(ctx, a.response)
			}
		}
		if _, err := w.Write(chunk); err != nil && len(chunk) > 0 {
			gone = err
		}
		if gone != nil && c.claim == nil || a.whole {
			break
		}
		if a.length < 0 {
			_ = http.NewResponseController(w).Flush()
		}
		n, whole, err := a.read()
		if err != nil {
			return bodyFault(c, err), err
		}
		chunk, a.whole = a.buffer[:n], whole
	}
	if gone != nil {
		return route.FaultCaller, gone
	}
	return route.FaultNone, nil
}

// bodyFault tells why a body is not whole.
func bodyFault(c callerRequest, err error) route.Fault {
	switch {
	case errors.Is(err, errExcessBytes):
		return route.FaultGarbage
	case errors.Is(err, context.Canceled):
		return route.FaultCaller
	case !time.Now().Before(c.deadline):
		return route.FaultTimeout
	}
	return route.FaultCut
}

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

func addTrailers(h, trailers http.Header) {
	for name, values := range trailers {
		h[http.TrailerPrefix+name] = values
	}
}
