package peer

import (
	"context"
	"net"

	"github.com/hashicorp/yamux"
)

// multiplexer is a multiplexed connection that counts what its streams hold.
type multiplexer struct {
	*yamux.Session
	intake *intake
}

// newMultiplexer starts a multiplexer on a connection with start, which is yamux.Client or yamux.Server. It closes the connection if
// that fails.
func (l *Link) newMultiplexer(conn net.Conn, start func(net.Conn) (*yamux.Session, error)) (multiplexer, error) {
	in := l.newIntake(conn)
	session, err := start(in)
	if err != nil {
		_ = in.Close()
		return multiplexer{}, err
	}
	return multiplexer{Session: session, intake: in}, nil
}

func startClient(conn net.Conn) (*yamux.Session, error) { return yamux.Client(conn, muxConfig()) }

func startServer(conn net.Conn) (*yamux.Session, error) { return yamux.Server(conn, muxConfig()) }

// openStream opens a stream.
func (m multiplexer) openStream() (*countedStream, error) {
	stream, err := m.OpenStream()
	if err != nil {
		return nil, err
	}
	m.intake.streamOpened(stream.StreamID())
	return &countedStream{Stream: stream, intake: m.intake}, nil
}

// acceptStream waits for a stream of the peer.
func (m multiplexer) acceptStream(ctx context.Context) (*countedStream, error) {
	stream, err := m.AcceptStreamWithContext(ctx)
	if err != nil {
		return nil, err
	}
	m.intake.streamAccepted()
	return &countedStream{Stream: stream, intake: m.intake}, nil
}

// countedStream is a stream whose bytes count until they were handled.
type countedStream struct {
	*yamux.Stream
	intake *intake
	// unhandled is the number of bytes that were read and not released.
	unhandled int64
}

// Read implements io.Reader. It returns an empty buffer of the multiplexer, which may have grown to twice the stream's window.
func (s *countedStream) Read(b []byte) (int, error) {
	n, err := s.Stream.Read(b)
	s.Shrink()
	s.unhandled += int64(n)
	return n, err
}

// release says that everything read so far was handled.
func (s *countedStream) release() {
	if s.unhandled > 0 {
		s.intake.release(s.StreamID(), s.unhandled)
		s.unhandled = 0
	}
}

// Close implements io.Closer.
func (s *countedStream) Close() error {
	err := s.Stream.Close()
	s.intake.streamClosed(s.StreamID())
	return err
}
