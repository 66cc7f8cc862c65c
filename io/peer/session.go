package peer

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/yamux"
	"golang.org/x/sync/errgroup"

	"siskincross/io/peer/peerpb"
)

const (
	// queueLength bounds the broadcasts that wait for one peer.
	queueLength = 256
	// maxHandlers bounds the streams of one peer that are handled at the same time.
	maxHandlers = 64
	// heartbeatInterval is how often an idle session sends an envelope.
	heartbeatInterval = time.Second
	// exchangeTimeout bounds a call without a deadline, and each broadcast.
	exchangeTimeout = 4 * time.Second
	// idleTimeout ends a stream on which the peer sends nothing.
	idleTimeout = 10 * time.Second
)

// session is one connection to a peer that has said hello.
type session struct {
	link    *Link
	mux     *yamux.Session
	member  string
	zone    string
	address string
	// dialled tells that this entry host opened the connection.
	dialled bool
	queue   chan *peerpb.Envelope
	// heard is the Unix time in nanoseconds of the newest envelope.
	heard atomic.Int64
}

func newSession(l *Link, mux *yamux.Session, first *peerpb.Envelope, dialled bool) *session {
	s := &session{
		link:    l,
		mux:     mux,
		member:  first.GetMember(),
		zone:    first.GetHello().GetZone(),
		address: first.GetHello().GetAddress(),
		dialled: dialled,
		queue:   make(chan *peerpb.Envelope, queueLength),
	}
	s.hear()
	return s
}

func (s *session) hear() { s.heard.Store(time.Now().UnixNano()) }

func (s *session) peer() Peer {
	return Peer{
		Member:    s.member,
		Address:   s.address,
		Zone:      s.zone,
		LastHeard: time.Unix(0, s.heard.Load()),
		Connected: true,
	}
}

// diallerName returns the member that opened the connection.
func (s *session) diallerName() string {
	if s.dialled {
		return s.link.Member
	}
	return s.member
}

// run serves the connection until it breaks or ctx ends.
func (s *session) run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		<-ctx.Done()
		return s.mux.Close()
	})
	group.Go(func() error { return s.push(ctx) })
	group.Go(func() error { return s.serve(ctx, group) })
	return group.Wait()
}

// push sends the queued broadcasts one after another, and a heartbeat when there are none.
func (s *session) push(ctx context.Context) error {
	stream, err := s.mux.OpenStream()
	if err != nil {
		return errors.Wrap(err, "open the stream of broadcasts")
	}
	defer func() { _ = stream.Close() }()
	f := newFrames(stream, maxMessageBytes)
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	for {
		message := acknowledge("")
		select {
		case <-ctx.Done():
			return ctx.Err()
		case message = <-s.queue:
		case <-heartbeat.C:
		}
		_ = stream.SetDeadline(time.Now().Add(exchangeTimeout))
		if _, err := s.exchange(f, message); err != nil {
			return err
		}
	}
}

// enqueue adds a broadcast. When the queue is full the oldest waiting one is
// dropped: receivers order by version, so the newest is worth most.
func (s *session) enqueue(e *peerpb.Envelope) {
	for {
		select {
		case s.queue <- e:
			return
		default:
		}
		select {
		case <-s.queue:
			s.link.scope().Counter("dropped-broadcasts").Inc(1)
		default:
		}
	}
}

// call sends one envelope on a stream of its own and returns the answer.
func (s *session) call(ctx context.Context, e *peerpb.Envelope) (*peerpb.Envelope, error) {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, exchangeTimeout)
		defer cancel()
	}
	stream, err := s.mux.OpenStream()
	if err != nil {
		return nil, errors.Wrapf(err, "open a stream to %s", s.member)
	}
	defer func() { _ = stream.Close() }()
	setDeadline(ctx, stream)
	stop := context.AfterFunc(ctx, func() { _ = stream.SetDeadline(time.Now()) })
	defer stop()
	reply, err := s.exchange(newFrames(stream, maxMessageBytes), e)
	if err != nil {
		return nil, errors.Wrapf(err, "call %s", s.member)
	}
	if reason := reply.GetAcknowledgement().GetError(); reason != "" {
		return nil, ErrRefused{Member: s.member, Reason: reason}
	}
	return reply, nil
}

func (s *session) exchange(f *frames, e *peerpb.Envelope) (*peerpb.Envelope, error) {
	if err := f.write(s.link.stamp(e)); err != nil {
		return nil, errors.Wrap(err, "send")
	}
	reply, err := f.read()
	if err != nil {
		return nil, errors.Wrap(err, "read the answer")
	}
	s.hear()
	s.link.observe(reply)
	return reply, nil
}

// serve handles the streams that the peer opens.
func (s *session) serve(ctx context.Context, group *errgroup.Group) error {
	slots := make(chan struct{}, maxHandlers)
	for {
		stream, err := s.mux.AcceptStreamWithContext(ctx)
		if err != nil {
			return errors.Wrap(err, "accept a stream")
		}
		select {
		case slots <- struct{}{}:
		case <-ctx.Done():
			return ctx.Err()
		}
		group.Go(func() error {
			defer func() { <-slots }()
			return s.answer(ctx, stream)
		})
	}
}

// answer handles the envelopes of one stream in their order. Only a malformed
// envelope returns an error, which ends the session.
func (s *session) answer(ctx context.Context, stream *yamux.Stream) error {
	defer func() { _ = stream.Close() }()
	f := newFrames(stream, maxMessageBytes)
	for {
		_ = stream.SetReadDeadline(time.Now().Add(idleTimeout))
		message, err := f.read()
		if err != nil {
			return s.classify(err)
		}
		s.hear()
		s.link.observe(message)
		reply := s.link.dispatch(ctx, s.member, message)
		_ = stream.SetWriteDeadline(time.Now().Add(exchangeTimeout))
		if err := f.write(s.link.stamp(reply)); err != nil {
			return nil
		}
	}
}

// classify tells the end of a stream from a malformed envelope.
func (s *session) classify(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || isStreamEnd(err) {
		return nil
	}
	s.link.refused(s.member, "malformed message: "+err.Error())
	return errors.Wrap(err, "malformed message")
}

func isStreamEnd(err error) bool {
	for _, end := range []error{
		yamux.ErrTimeout, yamux.ErrStreamClosed, yamux.ErrSessionShutdown, yamux.ErrConnectionReset,
	} {
		if errors.Is(err, end) {
			return true
		}
	}
	return false
}
