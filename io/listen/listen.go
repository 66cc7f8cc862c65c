// Package listen runs HTTP servers that end gracefully or at once.
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
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
)

// Server is one HTTP server. Its public fields are set before Start.
type Server struct {
	Handler        http.Handler
	MaxHeaderBytes int

	mu           sync.Mutex
	server       *http.Server
	boundAddress string
}

// Start binds address and serves until ShutDown or Abort, which the returned
// channel reports once.
func (s *Server) Start(ctx context.Context, address string) (<-chan error, error) {
	var config net.ListenConfig
	socket, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.boundAddress = socket.Addr().String()
	s.server = &http.Server{
		Handler:           s.Handler,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    s.MaxHeaderBytes,
	}
	done := make(chan error, 1)
	go serve(s.server, socket, done)
	return done, nil
}

func serve(server *http.Server, socket net.Listener, done chan<- error) {
	err := server.Serve(socket)
	if errors.Is(err, http.ErrServerClosed) {
		err = nil
	}
	done <- err
}

// Address returns the bound "ip:port", or nothing before Start.
func (s *Server) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.boundAddress
}

// ShutDown ends the server once its requests are finished.
func (s *Server) ShutDown(ctx context.Context) error {
	if server := s.current(); server != nil {
		return server.Shutdown(ctx)
	}
	return nil
}

// Abort ends the server and cuts off its connections.
func (s *Server) Abort() {
	if server := s.current(); server != nil {
		_ = server.Close()
	}
}

func (s *Server) current() *http.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.server
}
