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

// errAttemptAbandoned is returned by writes for an attempt that was abandoned.
var errAttemptAbandoned = errors.New("write the request: attempt was abandoned")

// exchange tracks the bytes of one attempt on its connection. It shows whether any part of the request may have been
// sent, and detects bytes after the end of the response.
type exchange struct {
	mu sync.Mutex
	// conn is the connection of the attempt; nil before it has one.
	conn *conn
	// sent is set once a write starts. It is cleared again if the first write fails without sending a byte.
	sent bool
	// abandoned makes further writes fail.
	abandoned bool
	// received counts the bytes received. headerEnd is the length of the status line and header section with the empty
	// line at its end, or 0 until that is received.
	received, headerEnd int64
	// tail holds the last bytes received, aligned at its end.
	tail [len(chunkedEnd)]byte
	// informational is set if an informational (1xx) response was received first. headerEnd then belongs to that one.
	informational bool
}

const (
	headerTerminator = "\r\n\r\n"
	chunkedEnd       = "0\r\n\r\n"
)

// trace returns the hooks that attach the exchange to the connection that the transport chooses.
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
			e.informational = true
			return nil
		},
	}
}

// attach makes the exchange track c.
func (e *exchange) attach(c *conn) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.conn = c
	e.received, e.headerEnd = 0, 0
	c.exchange.Store(e)
}

// abandon makes further writes fail and reports whether anything may have been sent before.
func (e *exchange) abandon() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.abandoned = true
	return e.sent
}

// closeConn closes the connection, so that the transport doesn't reuse it.
func (e *exchange) closeConn() {
	e.mu.Lock()
	c := e.conn
	e.mu.Unlock()
	if c != nil {
		_ = c.Close()
	}
}

// hasExcessBytes reports whether bytes were received after the end of the response. length is the length of the body,
// or -1 for a chunked body. A response after an informational one, or a chunked one with trailers, can't be checked.
func (e *exchange) hasExcessBytes(length int64, trailers bool) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.headerEnd == 0 || e.informational {
		return false
	}
	if length < 0 {
		return !trailers && string(e.tail[:]) != chunkedEnd
	}
	return e.received > e.headerEnd+length
}

// write writes to c and keeps track of whether anything may have been sent.
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

// receive records bytes that were received from the target.
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

// findHeaderEnd looks for the end of the header section in b and across the boundary to the bytes received before.
func (e *exchange) findHeaderEnd(b []byte) {
	const overlap = len(headerTerminator) - 1
	overlapped := int(min(e.received, int64(overlap)))
	boundary := append([]byte(nil), e.tail[len(e.tail)-overlapped:]...)
	boundary = append(boundary, b[:min(len(b), overlap)]...)
	if i := bytes.Index(boundary, []byte(headerTerminator)); i >= 0 {
		e.headerEnd = e.received - int64(overlapped) + int64(i+len(headerTerminator))
		return
	}
	if i := bytes.Index(b, []byte(headerTerminator)); i >= 0 {
		e.headerEnd = e.received + int64(i+len(headerTerminator))
	}
}

// conn is a connection to a target whose bytes are tracked by the exchange that currently uses it.
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
