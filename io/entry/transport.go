package entry

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	maxResponseHeaderBytes = 64 * kib
	idleConnTimeout        = 30 * time.Second
	keepAliveInterval      = 15 * time.Second
	// targetBufferBytes is the size of each of a connection's two buffers. It is small, as most connections are idle.
	targetBufferBytes = 2 * kib
)

// transports holds one transport for each limit of connections to a target. The limit of a target changes with the
// number of entry hosts; requests in progress keep the transport with which they started.
type transports struct {
	dialTimeout  time.Duration
	maxIdleConns int

	mu         sync.RWMutex
	byMaxConns map[int]*http.Transport
}

// get returns the transport that opens at most maxConns connections to each target.
func (t *transports) get(maxConns int) *http.Transport {
	t.mu.RLock()
	transport := t.byMaxConns[maxConns]
	t.mu.RUnlock()
	if transport != nil {
		return transport
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byMaxConns == nil {
		t.byMaxConns = make(map[int]*http.Transport)
	}
	if t.byMaxConns[maxConns] == nil {
		for _, other := range t.byMaxConns {
			other.CloseIdleConnections()
		}
		t.byMaxConns[maxConns] = t.newTransport(maxConns)
	}
	return t.byMaxConns[maxConns]
}

// newTransport returns a transport whose connections are tracked by exchanges.
func (t *transports) newTransport(maxConns int) *http.Transport {
	dialer := &net.Dialer{Timeout: t.dialTimeout, KeepAlive: keepAliveInterval}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &conn{Conn: c}, nil
		},
		DisableCompression:     true,
		MaxConnsPerHost:        maxConns,
		MaxIdleConnsPerHost:    maxConns,
		MaxIdleConns:           t.maxIdleConns,
		IdleConnTimeout:        idleConnTimeout,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		ReadBufferSize:         targetBufferBytes,
		WriteBufferSize:        targetBufferBytes,
	}
}

// close closes the idle connections of all transports.
func (t *transports) close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, transport := range t.byMaxConns {
		transport.CloseIdleConnections()
	}
}
