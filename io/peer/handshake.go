package peer

import (
	"context"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/yamux"

	"siskincross/io/peer/peerpb"
)

const (
	// currentProtocol is the protocol version that this program sends.
	currentProtocol = 1
	// minProtocol is the oldest protocol version that this program accepts.
	minProtocol = 1
	// handshakeTimeout bounds the TLS handshake and the exchange of Hello messages.
	handshakeTimeout = 3 * time.Second
	// refusalReadTime is how long a refused connection stays open so that the peer can read the reason.
	refusalReadTime = 200 * time.Millisecond
	// writeTimeout is how long a write may block before the connection is closed.
	writeTimeout = 4 * time.Second
	// acceptBacklog bounds the streams that a peer may open before they are accepted.
	acceptBacklog = 64
)

// protocolVersion returns the protocol version to send.
func (l *Link) protocolVersion() uint32 {
	if l.protocol != 0 {
		return l.protocol
	}
	return currentProtocol
}

// muxConfig returns the configuration of the multiplexed connections.
func muxConfig() *yamux.Config {
	config := yamux.DefaultConfig()
	config.AcceptBacklog = acceptBacklog
	// Sessions send heartbeats of their own, which detect dead peers.
	config.EnableKeepAlive = false
	config.ConnectionWriteTimeout = writeTimeout
	config.StreamOpenTimeout = writeTimeout
	config.StreamCloseTimeout = writeTimeout
	config.LogOutput = io.Discard
	return config
}

// dial connects to an address and exchanges Hello messages. The session is not registered yet.
func (l *Link) dial(ctx context.Context, address string) (*session, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	conn, err := l.connect(ctx, address)
	if err != nil {
		return nil, err
	}
	mux, err := l.newMultiplexer(conn, startClient)
	if err != nil {
		return nil, errors.Wrap(err, "start the multiplexer")
	}
	mux.intake.endHandshake() // the peer may send messages as soon as it has replied
	s, err := l.sendHello(ctx, mux)
	if err != nil {
		_ = mux.Close()
		return nil, err
	}
	return s, nil
}

// sendHello sends a Hello message on a new connection and reads the peer's reply.
func (l *Link) sendHello(ctx context.Context, mux multiplexer) (*session, error) {
	stream, err := mux.openStream()
	if err != nil {
		return nil, errors.Wrap(err, "open a stream")
	}
	defer func() { _ = stream.Close() }()
	setDeadline(ctx, stream)
	f := newEnvelopeStream(stream, maxHelloBytes)
	if err := f.write(l.newHello()); err != nil {
		return nil, errors.Wrap(err, "send the hello message")
	}
	reply, err := f.read()
	if err != nil {
		return nil, errors.Wrap(err, "read the peer's hello")
	}
	if reason := reply.GetAcknowledgement().GetError(); reason != "" {
		return nil, ErrRefused{Member: reply.GetMember(), Reason: reason}
	}
	if reason := l.refusalReason(reply); reason != "" {
		return nil, ErrRefused{Member: reply.GetMember(), Reason: reason}
	}
	l.mergeClock(reply)
	return newSession(l, mux, reply, true), nil
}

// accept completes the handshake of an incoming connection and registers its session.
func (l *Link) accept(ctx context.Context, conn net.Conn) (*session, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	secured, err := l.secureServer(ctx, conn)
	if err != nil {
		_ = conn.Close()
		return nil, errors.Wrap(err, "TLS")
	}
	mux, err := l.newMultiplexer(secured, startServer)
	if err != nil {
		return nil, errors.Wrap(err, "start the multiplexer")
	}
	s, err := l.receiveHello(ctx, mux)
	if err != nil {
		_ = mux.Close()
		return nil, err
	}
	return s, nil
}

// receiveHello reads the Hello message of an incoming connection. It registers a session and replies, or refuses the
// peer.
func (l *Link) receiveHello(ctx context.Context, mux multiplexer) (*session, error) {
	stream, err := mux.acceptStream(ctx)
	if err != nil {
		return nil, errors.Wrap(err, "accept a stream")
	}
	defer func() { _ = stream.Close() }()
	setDeadline(ctx, stream)
	f := newEnvelopeStream(stream, maxHelloBytes)
	first, err := f.read()
	if err != nil {
		return nil, errors.Wrap(err, "read the peer's hello")
	}
	if reason := l.refusalReason(first); reason != "" {
		return nil, l.refuse(ctx, mux, f, first, reason)
	}
	s := newSession(l, mux, first, false)
	if !l.register(s) {
		return nil, l.refuse(ctx, mux, f, first, reasonConnected)
	}
	l.mergeClock(first)
	mux.intake.endHandshake()
	if err := f.write(l.newHello()); err != nil {
		l.unregister(s)
		return nil, errors.Wrap(err, "reply to the hello message")
	}
	return s, nil
}

// refuse sends the reason to the peer and gives it time to read the message. Closing the connection at once could
// reset it before the peer has read the reason.
func (l *Link) refuse(ctx context.Context, mux multiplexer, f *envelopeStream, first *peerpb.Envelope, reason string) error {
	if err := f.write(l.withSender(newAcknowledgement(reason))); err != nil {
		return errors.Wrap(err, reason)
	}
	ctx, cancel := context.WithTimeout(ctx, refusalReadTime)
	defer cancel()
	select {
	case <-mux.CloseChan():
	case <-ctx.Done():
	}
	return ErrRefused{Member: first.GetMember(), Reason: reason}
}

// newHello returns this entry host's Hello message.
func (l *Link) newHello() *peerpb.Envelope {
	return l.withSender(&peerpb.Envelope{Body: &peerpb.Envelope_Hello{Hello: &peerpb.Hello{
		Deployment: l.Deployment,
		Zone:       l.Zone,
		Address:    l.Address(),
	}}})
}

// Reasons that the dialling peer reacts to.
const (
	reasonSelf      = "this is yourself"
	reasonConnected = "there is a link already"
)

// refusalReason returns the reason to refuse a peer by its first envelope, or an empty string if the peer is
// accepted.
func (l *Link) refusalReason(first *peerpb.Envelope) string {
	hello := first.GetHello()
	switch {
	case hello == nil:
		return fmt.Sprintf("the first message is %s, not hello", KindOf(first))
	case first.GetProtocol() < minProtocol:
		return fmt.Sprintf("protocol %d is older than %d", first.GetProtocol(), minProtocol)
	case hello.GetDeployment() != l.Deployment:
		return fmt.Sprintf("deployment %q is not %q", hello.GetDeployment(), l.Deployment)
	case first.GetMember() == "":
		return "the hello names no member"
	case first.GetMember() == l.Member:
		return reasonSelf
	case checkAddress(hello.GetAddress()) != nil:
		return fmt.Sprintf("address %q is not of the form ip:port", hello.GetAddress())
	}
	return ""
}

// setDeadline applies the deadline of ctx to all further reads and writes of conn.
func setDeadline(ctx context.Context, conn net.Conn) {
	if deadline, ok := ctx.Deadline(); ok {
		_ = conn.SetDeadline(deadline)
	}
}
