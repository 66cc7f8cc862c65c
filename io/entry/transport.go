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
	// targetBufferBytes is the size of each connection's two buffers. They are small, as most connections are idle.
	targetBufferBytes = 2 * kib
)

// transports holds one transport for each bound of connections to a target. A target's
// bound changes with the number of entry hosts; requests under way keep the transport that they began with.
type transports struct {
	dialTimeout  time.Duration
	maxIdleConns int

	mu         sync.RWMutex
	byMaxConns map[int]*http.Transport
}

// get returns the transport that holds at most bound connections to each target.
func (t *transports) get(bound int) *http.Transport {
	t.mu.RLock()
	transport := t.byMaxConns[bound]
	t.mu.RUnlock()
	if transport != nil {
		return transport
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byMaxConns == nil {
		t.byMaxConns = make(map[int]*http.Transport)
	}
	if t.byMaxConns[bound] == nil {
		for _, other := range t.byMaxConns {
			other.CloseIdleConnections()
		}
		t.byMaxConns[bound] = t.newTransport(bound)
	}
	return t.byMaxConns[bound]
}

func (t *transports) newTransport(bound int) *http.Transport {
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
		MaxConnsPerHost:        bound,
		MaxIdleConnsPerHost:    bound,
		MaxIdleConns:           t.maxIdleConns,
		IdleConnTimeout:        idleConnTimeout,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		ReadBufferSize:         targetBufferBytes,
		WriteBufferSize:        targetBufferBytes,
	}
}

func (t *transports) close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, transport := range t.byMaxConns {
		transport.CloseIdleConnections()
	}
}
