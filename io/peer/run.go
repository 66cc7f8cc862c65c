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
	// maxSessions bounds the peers of one entry host.
	maxSessions = 128
	// maxHandshakes bounds the connections that have not said hello.
	maxHandshakes = 32
	// acceptPause follows a failure to accept, such as too many open files.
	acceptPause = 100 * time.Millisecond
	// firstRedial and lastRedial bound the pause between attempts to connect.
	firstRedial = 100 * time.Millisecond
	lastRedial  = 2 * time.Second
)

// Start listens, connects to the peers and keeps both up until ctx ends. The
// channel gets the error of a listener that could not be opened, or nil at the end.
func (l *Link) Start(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	listener, err := l.listen(ctx)
	if err != nil {
		done <- err
		close(done)
		return done
	}
	l.mu.Lock()
	l.changed = make(chan struct{}, 1)
	l.mu.Unlock()
	go func() {
		defer close(done)
		done <- l.run(ctx, listener)
	}()
	return done
}

func (l *Link) listen(ctx context.Context) (net.Listener, error) {
	if err := l.checkPlain(l.Listen); err != nil {
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
	group.Go(func() error { return l.dialAll(ctx, group) })
	return group.Wait()
}

// serve accepts connections until ctx ends.
func (l *Link) serve(ctx context.Context, group *errgroup.Group, listener net.Listener) error {
	slots := make(chan struct{}, maxHandshakes)
	for ctx.Err() == nil {
		conn, err := listener.Accept()
		if err != nil {
			pause(ctx, acceptPause)
			continue
		}
		select {
		case slots <- struct{}{}:
		default:
			_ = conn.Close()
			l.refused(conn.RemoteAddr().String(), "too many handshakes")
			continue
		}
		group.Go(func() error {
			l.serveConn(ctx, conn, slots)
			return nil
		})
	}
	return nil
}

func (l *Link) serveConn(ctx context.Context, conn net.Conn, slots <-chan struct{}) {
	s, err := l.accept(ctx, conn)
	<-slots
	if err != nil {
		if ctx.Err() == nil && !isDuplicate(err) {
			l.refused(conn.RemoteAddr().String(), err.Error())
		}
		return
	}
	defer l.unregister(s)
	_ = s.run(ctx)
}

// dialAll keeps one dialling goroutine for each address of a seed or member.
func (l *Link) dialAll(ctx context.Context, group *errgroup.Group) error {
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
				l.keepDialled(dialCtx, address)
				return nil
			})
		}
		select {
		case <-ctx.Done():
			return nil
		case <-l.changed:
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
	for address := range l.own {
		delete(wanted, address)
	}
	return wanted
}

// keepDialled connects to address whenever no session leads there.
func (l *Link) keepDialled(ctx context.Context, address string) {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = firstRedial
	retry.MaxInterval = lastRedial
	for ctx.Err() == nil {
		if l.connectedTo(address) {
			retry.Reset()
			pause(ctx, firstRedial)
			continue
		}
		s, err := l.dial(ctx, address)
		if err != nil {
			l.dialFailed(ctx, address, err)
			pause(ctx, retry.NextBackOff())
			continue
		}
		if !l.register(s) {
			_ = s.mux.Close()
			pause(ctx, retry.NextBackOff())
			continue
		}
		retry.Reset()
		_ = s.run(ctx)
		l.unregister(s)
	}
}

func (l *Link) dialFailed(ctx context.Context, address string, err error) {
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
		l.disown(address)
	case reasonConnected:
	default:
		l.refused(address, refused.Reason)
	}
}

// disown stops dialling an address that leads back to this entry host.
func (l *Link) disown(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.own == nil {
		l.own = make(map[string]bool)
	}
	l.own[address] = true
	l.signal()
}

// signal wakes dialAll. The caller holds the lock.
func (l *Link) signal() {
	select {
	case l.changed <- struct{}{}:
	default:
	}
}

func (l *Link) connectedTo(address string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.sessions {
		if s.address == address {
			return true
		}
	}
	return false
}

func isDuplicate(err error) bool {
	var refused ErrRefused
	return errors.As(err, &refused) && (refused.Reason == reasonConnected || refused.Reason == reasonSelf)
}

// pause waits for d or the end of ctx.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
