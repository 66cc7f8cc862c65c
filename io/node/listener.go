package node

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

// listener is one HTTP server. Handler is set before start.
type listener struct {
	handler        http.Handler
	maxHeaderBytes int

	mu     sync.Mutex
	server *http.Server
	bound  string
}

// start binds address and serves until shutDown or abort, which the returned
// channel reports once.
func (l *listener) start(ctx context.Context, address string) (<-chan error, error) {
	var config net.ListenConfig
	socket, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bound = socket.Addr().String()
	l.server = &http.Server{
		Handler:           l.handler,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    l.maxHeaderBytes,
	}
	done := make(chan error, 1)
	go serve(l.server, socket, done)
	return done, nil
}

func serve(server *http.Server, socket net.Listener, done chan<- error) {
	err := server.Serve(socket)
	if errors.Is(err, http.ErrServerClosed) {
		err = nil
	}
	done <- err
}

// address returns the bound "ip:port", or nothing before start.
func (l *listener) address() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.bound
}

// shutDown ends the server once its requests are finished.
func (l *listener) shutDown(ctx context.Context) error {
	if server := l.running(); server != nil {
		return server.Shutdown(ctx)
	}
	return nil
}

// abort ends the server and cuts off its connections.
func (l *listener) abort() {
	if server := l.running(); server != nil {
		_ = server.Close()
	}
}

func (l *listener) running() *http.Server {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.server
}
