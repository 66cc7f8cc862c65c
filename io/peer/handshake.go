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
	// protocol is the version of the messages that this program sends.
	protocol = 1
	// oldestProtocol is the oldest version that this program understands.
	oldestProtocol = 1
	// handshakeTimeout bounds TLS and the exchange of hellos.
	handshakeTimeout = 3 * time.Second
	// refusalLinger is how long a refused connection stays open for the peer to read why.
	refusalLinger = 200 * time.Millisecond
	// writeTimeout closes a connection whose peer takes nothing in.
	writeTimeout = 4 * time.Second
	// acceptBacklog bounds the streams that a peer may open ahead of their handling.
	acceptBacklog = 64
)

func (l *Link) protocolVersion() uint32 {
	if l.protocol != 0 {
		return l.protocol
	}
	return protocol
}

func muxConfig() *yamux.Config {
	config := yamux.DefaultConfig()
	config.AcceptBacklog = acceptBacklog
	// The heartbeat of a session finds dead peers.
	config.EnableKeepAlive = false
	config.ConnectionWriteTimeout = writeTimeout
	config.StreamOpenTimeout = writeTimeout
	config.StreamCloseTimeout = writeTimeout
	config.LogOutput = io.Discard
	return config
}

// dial connects to address and exchanges hellos. The session is not registered yet.
func (l *Link) dial(ctx context.Context, address string) (*session, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	conn, err := l.connect(ctx, address)
	if err != nil {
		return nil, err
	}
	mux, err := yamux.Client(conn, muxConfig())
	if err != nil {
		_ = conn.Close()
		return nil, errors.Wrap(err, "start the multiplexer")
	}
	s, err := l.greet(ctx, mux)
	if err != nil {
		_ = mux.Close()
		return nil, err
	}
	return s, nil
}

// greet says hello on a fresh connection and reads the peer's answer.
func (l *Link) greet(ctx context.Context, mux *yamux.Session) (*session, error) {
	stream, err := mux.OpenStream()
	if err != nil {
		return nil, errors.Wrap(err, "open a stream")
	}
	defer func() { _ = stream.Close() }()
	setDeadline(ctx, stream)
	f := newFrames(stream, maxHelloBytes)
	if err := f.write(l.hello()); err != nil {
		return nil, errors.Wrap(err, "say hello")
	}
	reply, err := f.read()
	if err != nil {
		return nil, errors.Wrap(err, "read the peer's hello")
	}
	if reason := reply.GetAcknowledgement().GetError(); reason != "" {
		return nil, ErrRefused{Member: reply.GetMember(), Reason: reason}
	}
	if reason := l.objection(reply); reason != "" {
		return nil, ErrRefused{Member: reply.GetMember(), Reason: reason}
	}
	l.observe(reply)
	return newSession(l, mux, reply, true), nil
}

// accept answers the hello of a fresh connection and registers its session.
func (l *Link) accept(ctx context.Context, conn net.Conn) (*session, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	secured, err := l.secureServer(ctx, conn)
	if err != nil {
		_ = conn.Close()
		return nil, errors.Wrap(err, "TLS")
	}
	mux, err := yamux.Server(secured, muxConfig())
	if err != nil {
		_ = conn.Close()
		return nil, errors.Wrap(err, "start the multiplexer")
	}
	s, err := l.welcome(ctx, mux)
	if err != nil {
		_ = mux.Close()
		return nil, err
	}
	return s, nil
}

func (l *Link) welcome(ctx context.Context, mux *yamux.Session) (*session, error) {
	stream, err := mux.AcceptStreamWithContext(ctx)
	if err != nil {
		return nil, errors.Wrap(err, "accept a stream")
	}
	defer func() { _ = stream.Close() }()
	setDeadline(ctx, stream)
	f := newFrames(stream, maxHelloBytes)
	first, err := f.read()
	if err != nil {
		return nil, errors.Wrap(err, "read the peer's hello")
	}
	if reason := l.objection(first); reason != "" {
		return nil, l.turnAway(ctx, mux, f, first, reason)
	}
	s := newSession(l, mux, first, false)
	if !l.register(s) {
		return nil, l.turnAway(ctx, mux, f, first, reasonConnected)
	}
	l.observe(first)
	if err := f.write(l.hello()); err != nil {
		l.unregister(s)
		return nil, errors.Wrap(err, "answer hello")
	}
	return s, nil
}

// turnAway tells the peer why and gives it the time to read that: closing at
// once could reset the connection before the answer is read.
func (l *Link) turnAway(ctx context.Context, mux *yamux.Session, f *frames, first *peerpb.Envelope, reason string) error {
	if err := f.write(l.stamp(acknowledge(reason))); err != nil {
		return errors.Wrap(err, reason)
	}
	ctx, cancel := context.WithTimeout(ctx, refusalLinger)
	defer cancel()
	select {
	case <-mux.CloseChan():
	case <-ctx.Done():
	}
	return ErrRefused{Member: first.GetMember(), Reason: reason}
}

func (l *Link) hello() *peerpb.Envelope {
	return l.stamp(&peerpb.Envelope{Body: &peerpb.Envelope_Hello{Hello: &peerpb.Hello{
		Deployment: l.Deployment,
		Zone:       l.Zone,
		Address:    l.Address(),
	}}})
}

// Reasons that a dialling peer is told and acts on.
const (
	reasonSelf      = "this is yourself"
	reasonConnected = "there is a link already"
)

// objection returns why the first envelope of a peer does not open a link; empty means that it does.
func (l *Link) objection(first *peerpb.Envelope) string {
	hello := first.GetHello()
	switch {
	case hello == nil:
		return fmt.Sprintf("the first message is %s, not hello", KindOf(first))
	case first.GetProtocol() < oldestProtocol:
		return fmt.Sprintf("protocol %d is older than %d", first.GetProtocol(), oldestProtocol)
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

// setDeadline bounds all further reads and writes of conn by ctx.
func setDeadline(ctx context.Context, conn net.Conn) {
	if deadline, ok := ctx.Deadline(); ok {
		_ = conn.SetDeadline(deadline)
	}
}
