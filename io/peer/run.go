package peer

import (
	"context"
	"net"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
)

const (
	// maxSessions bounds the number of connected peers. Members in SetPeers are connected beyond it.
	maxSessions = 128
	// maxHandshakes bounds the number of incoming connections that have not completed the handshake.
	maxHandshakes = 32
	// receiveBufferBytes is what the system keeps for a connection that isn't read, because the peer reads no replies.
	receiveBufferBytes = 128 << 10
	// acceptRetryDelay is the delay after a failed accept, for example because of too many open files.
	acceptRetryDelay = 100 * time.Millisecond
	// minRedialDelay and maxRedialDelay bound the delay between attempts to connect.
	minRedialDelay = 100 * time.Millisecond
	maxRedialDelay = 2 * time.Second
)

// Start listens, connects to the peers and maintains these connections until ctx ends. The channel receives the error
// if the listener could not be opened, and nil after ctx has ended.
func (l *Link) Start(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	listener, err := l.listen(ctx)
	if err != nil {
		done <- err
		close(done)
		return done
	}
	l.mu.Lock()
	l.addressesChanged = make(chan struct{}, 1)
	l.mu.Unlock()
	go func() {
		defer close(done)
		done <- l.run(ctx, listener)
	}()
	return done
}

func (l *Link) listen(ctx context.Context) (net.Listener, error) {
	if err := l.checkPlaintext(l.Listen); err != nil {
		return nil, err
	}
	for _, seed := range l.Seeds {
		if err := checkAddress(seed); err != nil {
			return nil, err
		}
	}
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", l.Listen)
	if err != nil {
		return nil, errors.Wrap(err, "listen for peers")
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.address = listener.Addr().String()
	return listener, nil
}

func (l *Link) run(ctx context.Context, listener net.Listener) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		<-ctx.Done()
		return listener.Close()
	})
	group.Go(func() error { return l.serve(ctx, group, listener) })
	group.Go(func() error { return l.dialPeers(ctx, group) })
	return group.Wait()
}

// serve accepts connections until ctx ends.
func (l *Link) serve(ctx context.Context, group *errgroup.Group, listener net.Listener) error {
	slots := make(chan struct{}, maxHandshakes)
	for ctx.Err() == nil {
		conn, err := listener.Accept()
		if err != nil {
			sleep(ctx, acceptRetryDelay)
			continue
		}
		select {
		case slots <- struct{}{}:
		default:
			_ = conn.Close()
			l.recordRefusal(conn.RemoteAddr().String(), "too many handshakes")
			continue
		}
		group.Go(func() error {
			l.serveConn(ctx, conn, slots)
			return nil
		})
	}
	return nil
}

// serveConn handles an incoming connection. It frees its slot once the handshake has ended.
func (l *Link) serveConn(ctx context.Context, conn net.Conn, slots <-chan struct{}) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(receiveBufferBytes) // only fails for a connection that has ended
	}
	s, err := l.accept(ctx, conn)
	<-slots
	if err != nil {
		if ctx.Err() == nil && !isRedundantConnection(err) {
			l.recordRefusal(conn.RemoteAddr().String(), err.Error())
		}
		return
	}
	defer l.unregister(s)
	_ = s.run(ctx)
}

// dialPeers runs one goroutine for each address of a seed or member that maintains the connection to it.
func (l *Link) dialPeers(ctx context.Context, group *errgroup.Group) error {
	dialling := make(map[string]context.CancelFunc)
	for {
		wanted := l.addresses()
		for address, cancel := range dialling {
			if !wanted[address] {
				cancel()
				delete(dialling, address)
			}
		}
		for address := range wanted {
			if _, ok := dialling[address]; ok {
				continue
			}
			dialCtx, cancel := context.WithCancel(ctx)
			dialling[address] = cancel
			group.Go(func() error {
				defer cancel()
				l.maintainConnection(dialCtx, address)
				return nil
			})
		}
		select {
		case <-ctx.Done():
			return nil
		case <-l.addressesChanged:
		}
	}
}

// addresses returns the addresses to dial.
func (l *Link) addresses() map[string]bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	wanted := make(map[string]bool)
	for _, seed := range l.Seeds {
		wanted[seed] = true
	}
	for _, address := range l.members {
		wanted[address] = true
	}
	delete(wanted, l.address)
	for address := range l.ownAddresses {
		delete(wanted, address)
	}
	return wanted
}

// maintainConnection dials an address whenever there is no session with it.
func (l *Link) maintainConnection(ctx context.Context, address string) {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = minRedialDelay
	retry.MaxInterval = maxRedialDelay
	for ctx.Err() == nil {
		if l.hasSessionTo(address) {
			retry.Reset()
			sleep(ctx, minRedialDelay)
			continue
		}
		s, err := l.dial(ctx, address)
		if err != nil {
			l.handleDialError(ctx, address, err)
			sleep(ctx, retry.NextBackOff())
			continue
		}
		if !l.register(s) {
			_ = s.mux.Close()
			sleep(ctx, retry.NextBackOff())
			continue
		}
		retry.Reset()
		_ = s.run(ctx)
		l.unregister(s)
	}
}

// handleDialError records a failed attempt to connect, and stops dialling the address if it is that of this entry
// host.
func (l *Link) handleDialError(ctx context.Context, address string, err error) {
	if ctx.Err() != nil {
		return
	}
	l.scope().Counter("failed-dials").Inc(1)
	var refused ErrRefused
	if !errors.As(err, &refused) {
		return
	}
	switch refused.Reason {
	case reasonSelf:
		l.excludeOwnAddress(address)
	case reasonConnected:
	default:
		l.recordRefusal(address, refused.Reason)
	}
}

// excludeOwnAddress stops dialling an address that belongs to this entry host.
func (l *Link) excludeOwnAddress(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ownAddresses == nil {
		l.ownAddresses = make(map[string]bool)
	}
	l.ownAddresses[address] = true
	l.wakeDialler()
}

// wakeDialler wakes dialPeers. The caller holds the lock.
func (l *Link) wakeDialler() {
	select {
	case l.addressesChanged <- struct{}{}:
	default:
	}
}

// hasSessionTo reports whether there is a session with the peer at an address.
func (l *Link) hasSessionTo(address string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.sessions {
		if s.address == address {
			return true
		}
	}
	return false
}

// isRedundantConnection reports whether a peer was refused because it is already connected or is this entry host.
func isRedundantConnection(err error) bool {
	var refused ErrRefused
	return errors.As(err, &refused) && (refused.Reason == reasonConnected || refused.Reason == reasonSelf)
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
