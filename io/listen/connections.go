package listen

import (
	"container/list"
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// writeTimeout limits how long one write of an answer may take. An answer is written at once unless the client doesn't read.
	writeTimeout = 5 * time.Second
	// firstRequestGrace is the usual connections.grace, and lookInterval the time between two looks at the connections during a shutdown.
	firstRequestGrace = 250 * time.Millisecond
	lookInterval      = 10 * time.Millisecond
	// slackShare is the part of MaxConnections that is accepted in addition while other connections are about to end.
	slackShare = 8
)

// connections are the open connections of a server. The zero value has no limit.
type connections struct {
	// limit is the largest number of open connections; zero means none.
	limit int
	// makeRoom makes another connection end soon and reports whether there is one; nil means that there is none.
	makeRoom func() bool
	// grace is how long a shutdown waits for the first request on a new connection.
	grace time.Duration
	// crowded is called for each connection that is closed because of the limit; nil means nothing.
	crowded func()

	mu   sync.Mutex
	open int
	// shuttingDown is set from the beginning of a graceful shutdown on. ended is signalled when a connection ends then.
	shuttingDown bool
	ended        chan struct{}
	// waiting holds the connections without a complete request, as *connection, in the order in which they began to wait.
	waiting list.List
}

// connection is one open connection.
type connection struct {
	*net.TCPConn
	all *connections
	// place is the connection's place in the list of those that wait; nil if it has a request. closed is set once it was closed, and
	// handled is the number of bytes that had arrived when it began to wait. The lock of all guards them.
	place   *list.Element
	closed  bool
	handled uint64
	// admittedAt is when the connection was accepted; zero once a request of it was answered.
	admittedAt time.Time
}

// arrived returns how many bytes have arrived on the connection, read or not, and how many of them are unread.
func (c *connection) arrived() (all uint64, unread int) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, 0
	}
	// A connection that is closed already has nothing to tell.
	_ = raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			all = info.Bytes_received
		}
		if n, err := unix.IoctlGetInt(int(fd), unix.TIOCINQ); err == nil {
			unread = n
		}
	})
	return all, unread
}

// Write limits how long the client may leave the answer unread.
func (c *connection) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return c.TCPConn.Write(p)
}

// Close closes the connection, which then counts no longer.
func (c *connection) Close() error {
	c.all.forget(c)
	return c.TCPConn.Close()
}

// crowdListener accepts connections within a limit.
type crowdListener struct {
	net.Listener
	all *connections
}

// Accept returns the next connection. Beyond the limit it closes the one that has been without a complete request for longest, or else
// the new one.
func (l crowdListener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
				l.all.closeLongestWaiting()
			}
			return nil, err
		}
		tcp, ok := accepted.(*net.TCPConn)
		if !ok {
			return accepted, nil
		}
		if c := l.all.admit(tcp); c != nil {
			return c, nil
		}
		_ = tcp.Close() // there is nobody to tell
	}
}

// admit adds a connection, or returns nil if there is no room for it.
func (s *connections) admit(tcp *net.TCPConn) *connection {
	if s.limit > 0 && s.count() >= s.limit {
		if s.crowded != nil {
			s.crowded()
		}
		if !s.closeLongestWaiting() && !s.roomSoon() {
			return nil
		}
	}
	c := &connection{TCPConn: tcp, all: s, admittedAt: time.Now()}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open++
	c.place = s.waiting.PushBack(c)
	return c
}

// roomSoon reports whether another connection is about to end, and the slack has room until then.
func (s *connections) roomSoon() bool {
	return s.count() < s.limit+s.limit/slackShare && s.makeRoom != nil && s.makeRoom()
}

// count returns the number of open connections.
func (s *connections) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.open
}

// closeLongestWaiting closes the connection that has been without a complete request for longest, and reports whether there is one.
func (s *connections) closeLongestWaiting() bool {
	s.mu.Lock()
	first := s.waiting.Front()
	s.mu.Unlock()
	if first == nil {
		return false
	}
	_ = first.Value.(*connection).Close() // it is closed in any case
	return true
}

// forget takes a connection out that is closed.
func (s *connections) forget(c *connection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.closed {
		return
	}
	c.closed = true
	s.open--
	s.stopWaiting(c)
	if s.shuttingDown {
		select {
		case s.ended <- struct{}{}:
		default: // a signal is pending
		}
	}
}

// beginShutdown makes connections end as soon as they wait for another request and nothing of one has arrived.
func (s *connections) beginShutdown() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.shuttingDown {
		s.shuttingDown, s.ended = true, make(chan struct{}, 1)
	}
}

// awaitEnds closes the connections that wait and on which nothing of a request has arrived, until all are closed or ctx is done. New
// connections have some time for their first one.
func (s *connections) awaitEnds(ctx context.Context) {
	for ctx.Err() == nil {
		for _, c := range s.idle() {
			_ = c.Close() // it is closed in any case
		}
		if s.count() == 0 {
			return
		}
		select {
		case <-s.ended:
		case <-time.After(lookInterval):
		case <-ctx.Done():
		}
	}
}

// idle returns the connections that a shutdown is to close.
func (s *connections) idle() []*connection {
	s.mu.Lock()
	defer s.mu.Unlock()
	var idle []*connection
	for e := s.waiting.Front(); e != nil; e = e.Next() {
		if c := e.Value.(*connection); time.Since(c.admittedAt) >= s.grace && c.isIdle() {
			idle = append(idle, c)
		}
	}
	return idle
}

// isIdle reports whether nothing of a request has arrived on a connection that waits. The caller holds the lock of all.
func (c *connection) isIdle() bool {
	all, unread := c.arrived()
	return all == c.handled && unread == 0
}

// endsGracefully reports whether a graceful shutdown has begun.
func (s *connections) endsGracefully() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.shuttingDown
}

// stopWaiting takes a connection out of the list of those that wait. The caller holds the lock.
func (s *connections) stopWaiting(c *connection) {
	if c.place != nil {
		s.waiting.Remove(c.place)
		c.place = nil
	}
}

// note follows the states of connections.
func (s *connections) note(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*connection)
	if !ok {
		return
	}
	if s.follow(c, state) {
		_ = c.Close() // it is closed in any case
	}
}

// follow records the state of a connection, and reports whether it is to be closed because of a shutdown.
func (s *connections) follow(c *connection, state http.ConnState) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateActive:
		s.stopWaiting(c)
	case http.StateIdle:
		c.handled, _ = c.arrived()
		c.admittedAt = time.Time{}
		if !c.closed && c.place == nil {
			c.place = s.waiting.PushBack(c)
		}
		return s.shuttingDown && c.isIdle()
	case http.StateNew, http.StateHijacked, http.StateClosed:
	}
	return false
}
