package peer

import (
	"crypto/tls"
	"encoding/binary"
	"fmt"
	"net"
	"sync"
	"time"
)

const (
	// defaultMaxHeldBytes bounds what all peers together make this process hold.
	defaultMaxHeldBytes = 32 << 20
	// streamBytes is about what a stream holds on which the peer has sent nothing yet.
	streamBytes = 8 << 10
	// maxHandshakeBytes bounds what a connection may send before its handshake has ended.
	maxHandshakeBytes = 2 * maxHelloBytes
	// maxUnacceptedStreams bounds the streams of a peer that wait to be accepted. The peer's multiplexer lets acceptBacklog wait, and
	// some were accepted while their acknowledgement is on its way.
	maxUnacceptedStreams = 2 * acceptBacklog
	// closedStreamTime is longer than the multiplexer keeps what a peer sends on a stream that was closed on this side only.
	closedStreamTime = 2 * writeTimeout
)

// Parts of a frame of the multiplexer: a header of version (1 byte), kind (1), flags (2), stream (4) and length (4), and for
// frames with data as many bytes as length says.
const (
	frameHeaderBytes = 12

	frameData byte = 0
	framePing byte = 2

	flagOpen uint16 = 1
	// flagsEnd holds the flags after which the peer sends nothing more on a stream.
	flagsEnd uint16 = 4 | 8
)

// holdings counts what the peers of a link have sent and this process still holds. The multiplexer bounds it for each stream only.
// The zero value is empty.
type holdings struct {
	mu    sync.Mutex
	bytes int64
	// connections holds the open connections.
	connections map[*intake]struct{}
}

// intake is a connection that counts the frames which arrive on it before the multiplexer reads them.
type intake struct {
	net.Conn
	link *Link

	// header holds the first headerLength bytes of a frame's header. payloadLeft is the number of bytes of the last frame's data that
	// were not read yet. Only Read uses them.
	header       [frameHeaderBytes]byte
	headerLength int
	payloadLeft  int64

	// The mutex of the link's holdings guards the fields below.

	// bytes is the sum over streams.
	bytes   int64
	streams map[uint32]*heldStream
	// unaccepted is the number of streams that the peer opened and that were not accepted yet.
	unaccepted int
	// closing holds, in order, the streams that were closed before the peer had ended them.
	closing []closingStream
	// handshakeLeft is what the peer may send before the end of the handshake.
	handshakeLeft int64
	handshaken    bool
}

// heldStream is what a connection holds for one stream.
type heldStream struct {
	bytes int64
	// closed is true if this side has closed the stream, ended if the peer has.
	closed, ended bool
}

type closingStream struct {
	id     uint32
	stream *heldStream
	since  time.Time
}

// errIntake is returned to the multiplexer, which then ends the connection.
type errIntake struct{ reason string }

// Error implements error.
func (e errIntake) Error() string { return e.reason }

// newIntake starts to count what arrives on a connection.
func (l *Link) newIntake(conn net.Conn) *intake {
	c := &intake{Conn: conn, link: l, streams: make(map[uint32]*heldStream), handshakeLeft: maxHandshakeBytes}
	h := &l.holdings
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.connections == nil {
		h.connections = make(map[*intake]struct{})
	}
	h.connections[c] = struct{}{}
	return c
}

// maxHeldBytes returns the bound on what all peers together make this process hold.
func (l *Link) maxHeldBytes() int64 {
	if l.MaxHeldBytes > 0 {
		return l.MaxHeldBytes
	}
	return defaultMaxHeldBytes
}

// Read implements net.Conn.
func (c *intake) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if scanErr := c.scan(b[:n]); scanErr != nil {
		return 0, scanErr
	}
	return n, err
}

// Close implements net.Conn.
func (c *intake) Close() error {
	h := &c.link.holdings
	h.mu.Lock()
	h.remove(c)
	h.mu.Unlock()
	return c.Conn.Close()
}

// scan counts the frames that begin in b.
func (c *intake) scan(b []byte) error {
	for len(b) > 0 {
		if c.payloadLeft > 0 {
			n := min(c.payloadLeft, int64(len(b)))
			c.payloadLeft -= n
			b = b[n:]
			continue
		}
		n := copy(c.header[c.headerLength:], b)
		c.headerLength += n
		b = b[n:]
		if c.headerLength < frameHeaderBytes {
			return nil
		}
		c.headerLength = 0
		if err := c.receive(); err != nil {
			return err
		}
	}
	return nil
}

// receive counts the frame of a complete header. Its data counts before it arrives, because the multiplexer reserves room for it.
func (c *intake) receive() error {
	kind, flags := c.header[1], binary.BigEndian.Uint16(c.header[2:4])
	id := binary.BigEndian.Uint32(c.header[4:8])
	if kind == framePing { // each would be answered by a goroutine of its own, also if the peer reads no answers
		return errIntake{"pings are not answered"}
	}
	if kind == frameData {
		c.payloadLeft = int64(binary.BigEndian.Uint32(c.header[8:12]))
	}
	h := &c.link.holdings
	h.mu.Lock()
	err := c.count(id, flags, c.payloadLeft)
	var largest *intake
	if err == nil && h.bytes > c.link.maxHeldBytes() {
		largest = h.removeLargest()
	}
	h.mu.Unlock()
	if largest == nil {
		return err
	}
	c.link.recordRefusal(largest.RemoteAddr().String(), fmt.Sprintf("all peers hold more than %d bytes, this one the most", c.link.maxHeldBytes()))
	largest.abort()
	return nil
}

// abort closes the connection without the last message of TLS, which a peer that doesn't read holds up.
func (c *intake) abort() {
	conn := c.Conn
	if secured, ok := conn.(*tls.Conn); ok {
		conn = secured.NetConn()
	}
	_ = conn.Close()
}

// count adds a frame to its stream. The caller holds the lock.
func (c *intake) count(id uint32, flags uint16, length int64) error {
	if _, ok := c.link.holdings.connections[c]; !ok {
		return net.ErrClosed
	}
	if !c.handshaken {
		if c.handshakeLeft -= frameHeaderBytes + length; c.handshakeLeft < 0 {
			return errIntake{fmt.Sprintf("more than %d bytes before the end of the handshake", maxHandshakeBytes)}
		}
	}
	if flags&flagOpen != 0 {
		if err := c.open(id); err != nil {
			return err
		}
	}
	s, ok := c.streams[id]
	if !ok { // the multiplexer discards the frame
		return nil
	}
	c.add(s, length)
	s.ended = s.ended || flags&flagsEnd != 0
	if s.ended && s.closed {
		c.drop(id, s)
	}
	return nil
}

// open counts a new stream of the peer. The caller holds the lock.
func (c *intake) open(id uint32) error {
	if _, ok := c.streams[id]; ok {
		return errIntake{fmt.Sprintf("stream %d is open", id)}
	}
	if c.unaccepted++; c.unaccepted > maxUnacceptedStreams {
		return errIntake{fmt.Sprintf("more than %d streams wait", maxUnacceptedStreams)}
	}
	s := &heldStream{}
	c.streams[id] = s
	c.add(s, streamBytes)
	return nil
}

// add counts bytes of a stream. The caller holds the lock.
func (c *intake) add(s *heldStream, bytes int64) {
	s.bytes += bytes
	c.bytes += bytes
	c.link.holdings.bytes += bytes
}

// drop forgets a stream. The caller holds the lock.
func (c *intake) drop(id uint32, s *heldStream) {
	if c.streams[id] == s {
		delete(c.streams, id)
		c.add(s, -s.bytes)
	}
}

// removeLargest stops counting the connection that holds the most, and returns it. The caller holds the lock.
func (h *holdings) removeLargest() *intake {
	var largest *intake
	for c := range h.connections {
		if largest == nil || c.bytes > largest.bytes {
			largest = c
		}
	}
	h.remove(largest)
	return largest
}

// remove stops counting a connection. The caller holds the lock.
func (h *holdings) remove(c *intake) {
	if _, ok := h.connections[c]; !ok {
		return
	}
	delete(h.connections, c)
	h.bytes -= c.bytes
	c.bytes, c.streams, c.closing = 0, nil, nil
}

// update changes the counts of the connection under the lock, unless it was closed.
func (c *intake) update(change func()) {
	h := &c.link.holdings
	h.mu.Lock()
	defer h.mu.Unlock()
	if _, ok := h.connections[c]; ok {
		change()
	}
}

// endHandshake lifts the bound on what the peer may send before the end of the handshake.
func (c *intake) endHandshake() { c.update(func() { c.handshaken = true }) }

// streamOpened counts a stream that this side has opened.
func (c *intake) streamOpened(id uint32) {
	c.update(func() {
		if s, ok := c.streams[id]; ok {
			c.drop(id, s)
		}
		c.streams[id] = &heldStream{}
	})
}

// streamAccepted records that a stream of the peer was accepted.
func (c *intake) streamAccepted() { c.update(func() { c.unaccepted-- }) }

// release subtracts bytes of a stream that were handled.
func (c *intake) release(id uint32, bytes int64) {
	c.update(func() {
		if s, ok := c.streams[id]; ok {
			c.add(s, -bytes)
		}
	})
}

// streamClosed records that this side has closed a stream. What the peer goes on to send on it counts for closedStreamTime.
func (c *intake) streamClosed(id uint32) {
	now := time.Now()
	c.update(func() {
		for len(c.closing) > 0 && now.Sub(c.closing[0].since) > closedStreamTime {
			c.drop(c.closing[0].id, c.closing[0].stream)
			c.closing = c.closing[1:]
		}
		s, ok := c.streams[id]
		switch {
		case !ok:
		case s.ended:
			c.drop(id, s)
		default:
			s.closed = true
			c.closing = append(c.closing, closingStream{id: id, stream: s, since: now})
		}
	})
}
