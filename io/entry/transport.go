package entry

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	maxAnswerHeaderBytes = 64 * kib
	idleConnection       = 30 * time.Second
	keepAlive            = 15 * time.Second
	// targetBufferBytes is the size of each connection's two buffers. They are small, as most connections are idle.
	targetBufferBytes = 2 * kib
)

// transports holds one transport for each bound of connections to a target. A target's
// bound changes with the number of entry hosts; requests under way keep the transport that they began with.
type transports struct {
	dial time.Duration
	idle int

	mu      sync.RWMutex
	byBound map[int]*http.Transport
}

// get returns the transport that holds at most bound connections to each target.
func (t *transports) get(bound int) *http.Transport {
	t.mu.RLock()
	transport := t.byBound[bound]
	t.mu.RUnlock()
	if transport != nil {
		return transport
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byBound == nil {
		t.byBound = make(map[int]*http.Transport)
	}
	if t.byBound[bound] == nil {
		for _, other := range t.byBound {
			other.CloseIdleConnections()
		}
		t.byBound[bound] = t.newTransport(bound)
	}
	return t.byBound[bound]
}

func (t *transports) newTransport(bound int) *http.Transport {
	dialer := &net.Dialer{Timeout: t.dial, KeepAlive: keepAlive}
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
		MaxIdleConns:           t.idle,
		IdleConnTimeout:        idleConnection,
		MaxResponseHeaderBytes: maxAnswerHeaderBytes,
		ReadBufferSize:         targetBufferBytes,
		WriteBufferSize:        targetBufferBytes,
	}
}

func (t *transports) close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, transport := range t.byBound {
		transport.CloseIdleConnections()
	}
}
