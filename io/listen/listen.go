// Package listen runs HTTP servers that can be shut down gracefully or closed immediately.
package listen

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"
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

	mu           sync.Mutex
	server       *http.Server
	boundAddress string
}

// Start listens on address and serves until ShutDown or Abort. The returned channel then
// receives nil, or the error that ended the server earlier.
func (s *Server) Start(ctx context.Context, address string) (<-chan error, error) {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.boundAddress = listener.Addr().String()
	s.server = &http.Server{
		Handler:           s.Handler,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    s.MaxHeaderBytes,
	}
	done := make(chan error, 1)
	go serve(s.server, listener, done)
	return done, nil
}

// serve serves connections until the server ends and sends the error, or nil after a shutdown, to done.
func serve(server *http.Server, listener net.Listener, done chan<- error) {
	err := server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
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

// ShutDown stops accepting connections and waits until the requests in progress are completed or ctx is done.
func (s *Server) ShutDown(ctx context.Context) error {
	if server := s.current(); server != nil {
		return server.Shutdown(ctx)
	}
	return nil
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
