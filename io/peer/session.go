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
	// maxQueuedBroadcasts bounds the number of broadcasts queued for one peer.
	maxQueuedBroadcasts = 256
	// maxHandlers bounds the number of streams of one peer that are handled concurrently.
	maxHandlers = 64
	// heartbeatInterval is the time between two heartbeats of a session.
	heartbeatInterval = time.Second
	// roundTripTimeout bounds a call without a deadline, and each broadcast.
	roundTripTimeout = 4 * time.Second
	// idleTimeout is the time after which a stream is closed if the peer sends nothing on it.
	idleTimeout = 10 * time.Second
)

// session is a connection to a peer that has completed the handshake.
type session struct {
	link    *Link
	mux     multiplexer
	member  string
	zone    string
	address string
	// dialled is true if this entry host opened the connection.
	dialled    bool
	broadcasts chan *peerpb.Envelope
	// lastReceived is when the most recent envelope arrived, in Unix nanoseconds.
	lastReceived atomic.Int64
}

func newSession(l *Link, mux multiplexer, first *peerpb.Envelope, dialled bool) *session {
	s := &session{
		link:       l,
		mux:        mux,
		member:     first.GetMember(),
		zone:       first.GetHello().GetZone(),
		address:    first.GetHello().GetAddress(),
		dialled:    dialled,
		broadcasts: make(chan *peerpb.Envelope, maxQueuedBroadcasts),
	}
	s.recordReceipt()
	return s
}

// recordReceipt records that an envelope has arrived.
func (s *session) recordReceipt() { s.lastReceived.Store(time.Now().UnixNano()) }

func (s *session) peer() Peer {
	return Peer{
		Member:    s.member,
		Address:   s.address,
		Zone:      s.zone,
		LastHeard: time.Unix(0, s.lastReceived.Load()),
		Connected: true,
	}
}

// diallerName returns the name of the member that opened the connection.
func (s *session) diallerName() string {
	if s.dialled {
		return s.link.Member
	}
	return s.member
}

// run serves the connection until it fails or ctx ends.
func (s *session) run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		<-ctx.Done()
		return s.mux.Close()
	})
	group.Go(func() error { return s.sendBroadcasts(ctx) })
	group.Go(func() error { return s.serve(ctx, group) })
	return group.Wait()
}

// sendBroadcasts sends the queued broadcasts one after another, and a heartbeat every heartbeatInterval.
func (s *session) sendBroadcasts(ctx context.Context) error {
	stream, err := s.mux.openStream()
	if err != nil {
		return errors.Wrap(err, "open the broadcast stream")
	}
	defer func() { _ = stream.Close() }()
	f := newEnvelopeStream(stream, maxMessageBytes)
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	for {
		message := newAcknowledgement("")
		select {
		case <-ctx.Done():
			return ctx.Err()
		case message = <-s.broadcasts:
		case <-heartbeat.C:
		}
		_ = stream.SetDeadline(time.Now().Add(roundTripTimeout))
		if _, err := s.roundTrip(f, message); err != nil {
			return err
		}
	}
}

// enqueue queues a broadcast. If the queue is full, the oldest broadcast is dropped: receivers order messages by
// version, so the newest is the most valuable.
func (s *session) enqueue(e *peerpb.Envelope) {
	for {
		select {
		case s.broadcasts <- e:
			return
		default:
		}
		select {
		case <-s.broadcasts:
			s.link.scope().Counter("dropped-broadcasts").Inc(1)
		default:
		}
	}
}

// call sends an envelope on a new stream and returns the reply.
func (s *session) call(ctx context.Context, e *peerpb.Envelope) (*peerpb.Envelope, error) {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, roundTripTimeout)
		defer cancel()
	}
	stream, err := s.mux.openStream()
	if err != nil {
		return nil, errors.Wrapf(err, "open a stream to %s", s.member)
	}
	defer func() { _ = stream.Close() }()
	setDeadline(ctx, stream)
	stop := context.AfterFunc(ctx, func() { _ = stream.SetDeadline(time.Now()) })
	defer stop()
	reply, err := s.roundTrip(newEnvelopeStream(stream, maxMessageBytes), e)
	if err != nil {
		return nil, errors.Wrapf(err, "call %s", s.member)
	}
	if reason := reply.GetAcknowledgement().GetError(); reason != "" {
		return nil, ErrRefused{Member: s.member, Reason: reason}
	}
	return reply, nil
}

// roundTrip sends an envelope and reads the reply.
func (s *session) roundTrip(f *envelopeStream, e *peerpb.Envelope) (*peerpb.Envelope, error) {
	if err := f.write(s.link.withSender(e)); err != nil {
		return nil, errors.Wrap(err, "send")
	}
	reply, err := f.read()
	if err != nil {
		return nil, errors.Wrap(err, "read the reply")
	}
	s.recordReceipt()
	s.link.mergeClock(reply)
	return reply, nil
}

// serve handles the streams that the peer opens.
func (s *session) serve(ctx context.Context, group *errgroup.Group) error {
	slots := make(chan struct{}, maxHandlers)
	for {
		stream, err := s.mux.acceptStream(ctx)
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
			return s.handleStream(ctx, stream)
		})
	}
}

// handleStream handles the envelopes of a stream in order. It returns an error, which ends the session, only for a
// malformed envelope.
func (s *session) handleStream(ctx context.Context, stream *countedStream) error {
	defer func() { _ = stream.Close() }()
	f := newEnvelopeStream(stream, maxMessageBytes)
	for {
		_ = stream.SetReadDeadline(time.Now().Add(idleTimeout))
		message, err := f.read()
		if err != nil {
			return s.streamError(err)
		}
		s.recordReceipt()
		s.link.mergeClock(message)
		reply := s.link.dispatch(ctx, s.member, message)
		_ = stream.SetWriteDeadline(time.Now().Add(roundTripTimeout))
		if err := f.write(s.link.withSender(reply)); err != nil {
			return nil
		}
	}
}

// streamError returns nil if the stream has ended, and an error for a malformed envelope.
func (s *session) streamError(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || isStreamEnd(err) {
		return nil
	}
	s.link.recordRefusal(s.member, "malformed message: "+err.Error())
	return errors.Wrap(err, "malformed message")
}

// isStreamEnd reports whether an error means that the stream or the connection has ended.
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
