// Package listen runs HTTP servers that can be shut down gracefully or closed immediately.
package listen

import (
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
	// readHeaderTimeout limits how long a client may take to send the headers of a request.
	readHeaderTimeout = 5 * time.Second
	// idleTimeout limits how long a keep-alive connection may be idle.
	idleTimeout = 2 * time.Minute
)

// Server is an HTTP server with one listener. Set its exported fields before calling Start.
type Server struct {
	Handler        http.Handler
	MaxHeaderBytes int
	// MaxConnections bounds the open connections; zero means no bound. Beyond it the connection is closed that has been without a
	// complete request for longest. If all have one, the new connection is closed.
	MaxConnections int
	// MakeRoom makes a connection with a request end soon and reports whether there is one; nil means that there is none. It is called
	// when all connections have a request, before a new one is closed.
	MakeRoom func() bool
	// Crowded is called for each connection for which another one is closed or that is closed itself because of MaxConnections; nil
	// means nothing. It must not block.
	Crowded func()
	// BodyTimeout limits how long a client may take to send a request unless its handler sets a read deadline; zero means no limit.
	BodyTimeout time.Duration
	// ReceiveBufferBytes bounds what the system keeps of the unread bytes of a connection; zero leaves it to the system.
	ReceiveBufferBytes int

	connections  connections
	mu           sync.Mutex
	server       *http.Server
	listener     *closableListener
	boundAddress string
}

// closableListener is a listener that may be closed several times.
type closableListener struct {
	net.Listener
	once sync.Once
	err  error
}

// Close closes the listener and returns the result of the first time.
func (l *closableListener) Close() error {
	l.once.Do(func() { l.err = l.Listener.Close() })
	return l.err
}

// Start listens on address and serves until ShutDown or Abort. The returned channel then
// receives nil, or the error that ended the server earlier.
func (s *Server) Start(ctx context.Context, address string) (<-chan error, error) {
	config := net.ListenConfig{Control: s.boundReceiveBuffer}
	listener, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.boundAddress = listener.Addr().String()
	s.connections.limit, s.connections.makeRoom, s.connections.crowded, s.connections.grace = s.MaxConnections, s.MakeRoom, s.Crowded, firstRequestGrace
	s.server = &http.Server{
		Handler:           s.Handler,
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       s.BodyTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    s.MaxHeaderBytes,
		ConnState:         s.connections.note,
	}
	s.listener = &closableListener{Listener: listener}
	done := make(chan error, 1)
	go s.serve(s.server, crowdListener{s.listener, &s.connections}, done)
	return done, nil
}

// boundReceiveBuffer bounds the receive buffers of the connections of a listener, which take them over from it.
func (s *Server) boundReceiveBuffer(_, _ string, raw syscall.RawConn) error {
	if s.ReceiveBufferBytes == 0 {
		return nil
	}
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, s.ReceiveBufferBytes)
	})
	return errors.Join(err, optionErr)
}

// serve serves connections until the server ends and sends the error, or nil after a shutdown, to done.
func (s *Server) serve(server *http.Server, listener net.Listener, done chan<- error) {
	err := server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) || (errors.Is(err, net.ErrClosed) && s.connections.endsGracefully()) {
		err = nil
	}
	done <- err
}

// Address returns the "ip:port" that the server listens on, or an empty string before Start.
func (s *Server) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.boundAddress
}

// ShutDown stops accepting connections and waits until the requests in progress, and those that have arrived, are completed or ctx is
// done. A request of which net/http reads the header after the beginning of its own shutdown gets no answer, so that one begins last.
func (s *Server) ShutDown(ctx context.Context) error {
	s.mu.Lock()
	server, listener := s.server, s.listener
	s.mu.Unlock()
	if server == nil {
		return nil
	}
	s.connections.beginShutdown()
	err := listener.Close()
	s.connections.awaitEnds(ctx)
	return errors.Join(err, server.Shutdown(ctx))
}

// Abort closes the listener and all connections immediately.
func (s *Server) Abort() {
	if server := s.current(); server != nil {
		_ = server.Close()
	}
}

// current returns the HTTP server, or nil before Start.
func (s *Server) current() *http.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.server
}
