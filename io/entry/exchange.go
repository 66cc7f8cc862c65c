package entry

import (
	"bytes"
	"errors"
	"net"
	"net/http/httptrace"
	"net/textproto"
	"sync"
	"sync/atomic"
)

// errAttemptAbandoned is returned by writes of an attempt that was given up.
var errAttemptAbandoned = errors.New("the attempt was given up")

// exchange watches the bytes of one attempt on its connection. It proves that
// nothing was sent, and finds bytes behind the end of an answer.
type exchange struct {
	mu sync.Mutex
	// conn is the connection in use; nil before there is one.
	conn *conn
	// sent tells whether a write was begun that did not fail as a whole.
	sent bool
	// abandoned forbids further writes.
	abandoned bool
	// received counts the bytes received; headerEnd is the length of the answer's head, or 0 before its end.
	received, headerEnd int64
	// tail holds the last bytes received.
	tail [len(chunkedEnd)]byte
	// interim tells that an interim answer (1xx) came first, so that headerEnd is not the final answer's.
	interim bool
}

const (
	headerTerminator = "\r\n\r\n"
	chunkedEnd       = "0\r\n\r\n"
)

// trace returns the hooks that attach the exchange to the connection that the transport picks.
func (e *exchange) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if c, ok := info.Conn.(*conn); ok {
				e.attach(c)
			}
		},
		Got1xxResponse: func(int, textproto.MIMEHeader) error {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.interim = true
			return nil
		},
	}
}

func (e *exchange) attach(c *conn) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.conn = c
	e.received, e.headerEnd = 0, 0
	c.exchange.Store(e)
}

// abandon forbids further writes and reports whether anything was sent before.
func (e *exchange) abandon() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.abandoned = true
	return e.sent
}

// closeConn closes the connection, so that it is not used again.
func (e *exchange) closeConn() {
	e.mu.Lock()
	c := e.conn
	e.mu.Unlock()
	if c != nil {
		_ = c.Close()
	}
}

// hasExcessBytes reports whether bytes came behind an answer's end. length is the body's length, or -1 for a chunked body.
func (e *exchange) hasExcessBytes(length int64, trailers bool) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.headerEnd == 0 || e.interim {
		return false
	}
	if length < 0 {
		return !trailers && string(e.tail[:]) != chunkedEnd
	}
	return e.received > e.headerEnd+length
}

// write notes the beginning of a write, and its failure as a whole.
func (e *exchange) write(c net.Conn, b []byte) (int, error) {
	e.mu.Lock()
	if e.abandoned {
		e.mu.Unlock()
		return 0, errAttemptAbandoned
	}
	first := !e.sent
	e.sent = true
	e.mu.Unlock()
	n, err := c.Write(b)
	if err != nil && n == 0 && first {
		e.mu.Lock()
		e.sent = false
		e.mu.Unlock()
	}
	return n, err
}

// receive notes bytes that came from the target.
func (e *exchange) receive(b []byte) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.headerEnd == 0 {
		e.findHeaderEnd(b)
	}
	e.received += int64(len(b))
	if len(b) >= len(e.tail) {
		copy(e.tail[:], b[len(b)-len(e.tail):])
		return
	}
	copy(e.tail[:], e.tail[len(b):])
	copy(e.tail[len(e.tail)-len(b):], b)
}

// findHeaderEnd looks for the end of the head in b and across its border with what came before.
func (e *exchange) findHeaderEnd(b []byte) {
	const overlap = len(headerTerminator) - 1
	kept := int(min(e.received, int64(overlap)))
	border := append([]byte(nil), e.tail[len(e.tail)-kept:]...)
	border = append(border, b[:min(len(b), overlap)]...)
	if i := bytes.Index(border, []byte(headerTerminator)); i >= 0 {
		e.headerEnd = e.received - int64(kept) + int64(i+len(headerTerminator))
		return
	}
	if i := bytes.Index(b, []byte(headerTerminator)); i >= 0 {
		e.headerEnd = e.received + int64(i+len(headerTerminator))
	}
}

// conn is a connection to a target whose bytes are watched by the exchange that uses it.
type conn struct {
	net.Conn
	exchange atomic.Pointer[exchange]
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	if e := c.exchange.Load(); e != nil {
		return e.write(c.Conn, b)
	}
	return c.Conn.Write(b)
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if e := c.exchange.Load(); e != nil && n > 0 {
		e.receive(b[:n])
	}
	return n, err
}
