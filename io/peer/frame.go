package peer

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"siskincross/core/event"
	"siskincross/io/peer/peerpb"
)

const (
	// maxMessageBytes bounds an envelope of a peer that has completed the handshake.
	maxMessageBytes = 4 << 20
	// maxHelloBytes bounds the first envelope of a connection.
	maxHelloBytes = 4 << 10
)

// firstReadBytes is the room for the first part of an envelope. It grows as the envelope arrives, because a peer may announce more than
// it sends.
const firstReadBytes = 16 << 10

// readAheadBytes is the buffer for the lengths of envelopes.
const readAheadBytes = 512

// errTooLarge is returned for an envelope that exceeds its limit.
type errTooLarge struct{ size, limit uint64 }

// Error implements error.
func (e errTooLarge) Error() string {
	return fmt.Sprintf("an envelope of %d bytes exceeds the limit of %d", e.size, e.limit)
}

// envelopeStream reads and writes length-delimited envelopes on a stream.
type envelopeStream struct {
	reader *bufio.Reader
	writer io.Writer
	limit  uint64
	// release is called once the envelope read last was handled. It may be nil.
	release func()
}

func newEnvelopeStream(stream io.ReadWriter, limit uint64) *envelopeStream {
	f := &envelopeStream{reader: bufio.NewReaderSize(stream, readAheadBytes), writer: stream, limit: limit}
	if counted, ok := stream.(*countedStream); ok {
		f.release = counted.release
	}
	return f
}

// write sends an envelope.
func (f *envelopeStream) write(e *peerpb.Envelope) error {
	content := protowire.AppendVarint(nil, uint64(proto.Size(e)))
	content, err := proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(content, e)
	if err != nil {
		return err
	}
	_, err = f.writer.Write(content)
	return err
}

// read receives the next envelope. It returns an error if the envelope exceeds the limit. The envelope read before must have been handled.
func (f *envelopeStream) read() (*peerpb.Envelope, error) {
	if f.release != nil {
		f.release()
	}
	size, err := binary.ReadUvarint(f.reader)
	if err != nil {
		return nil, err
	}
	if size > f.limit {
		return nil, errTooLarge{size, f.limit}
	}
	content, err := readGrowing(f.reader, int(size))
	if err != nil {
		return nil, err
	}
	e := &peerpb.Envelope{}
	return e, proto.Unmarshal(content, e)
}

// readGrowing reads a number of bytes into a buffer that grows as they arrive.
func readGrowing(reader io.Reader, size int) ([]byte, error) {
	content := make([]byte, 0, min(size, firstReadBytes))
	for len(content) < size {
		if len(content) == cap(content) {
			grown := make([]byte, len(content), min(size, 2*cap(content)))
			copy(grown, content)
			content = grown
		}
		n, err := reader.Read(content[len(content):cap(content)])
		content = content[:len(content)+n]
		if err != nil && len(content) < size {
			return nil, err
		}
	}
	return content, nil
}

// withSender returns an envelope with e's body and this entry host's name and clock. It does not modify e, because
// one envelope may be sent to many peers.
func (l *Link) withSender(e *peerpb.Envelope) *peerpb.Envelope {
	stamped := &peerpb.Envelope{Protocol: l.protocolVersion(), Member: l.Member, Body: e.GetBody()}
	if l.Recorder != nil {
		now := l.Recorder.Now()
		stamped.Time = &peerpb.Timestamp{WallMillis: now.WallMillis, Logical: now.Logical}
	}
	return stamped
}

// mergeClock merges the timestamp of a received envelope into the local hybrid logical clock.
func (l *Link) mergeClock(e *peerpb.Envelope) {
	if l.Recorder == nil || e.GetTime() == nil {
		return
	}
	l.Recorder.Observe(event.Timestamp{WallMillis: e.GetTime().GetWallMillis(), Logical: e.GetTime().GetLogical()})
}

// newAcknowledgement returns an acknowledgement with an error text. An empty text means success.
func newAcknowledgement(reason string) *peerpb.Envelope {
	return &peerpb.Envelope{Body: &peerpb.Envelope_Acknowledgement{
		Acknowledgement: &peerpb.Acknowledgement{Error: reason},
	}}
}
