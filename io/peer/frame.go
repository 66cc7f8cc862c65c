package peer

import (
	"bufio"
	"io"

	"google.golang.org/protobuf/encoding/protodelim"

	"siskincross/core/event"
	"siskincross/io/peer/peerpb"
)

const (
	// maxMessageBytes bounds an envelope of a peer that has completed the handshake.
	maxMessageBytes = 4 << 20
	// maxHelloBytes bounds the first envelope of a connection.
	maxHelloBytes = 4 << 10
)

// envelopeStream reads and writes length-delimited envelopes on a stream.
type envelopeStream struct {
	reader *bufio.Reader
	writer *bufio.Writer
	limit  int64
}

func newEnvelopeStream(stream io.ReadWriter, limit int64) *envelopeStream {
	return &envelopeStream{
		reader: bufio.NewReader(stream),
		writer: bufio.NewWriter(stream),
		limit:  limit,
	}
}

// write sends an envelope and flushes the stream.
func (f *envelopeStream) write(e *peerpb.Envelope) error {
	if _, err := protodelim.MarshalTo(f.writer, e); err != nil {
		return err
	}
	return f.writer.Flush()
}

// read receives the next envelope. It returns an error if the envelope exceeds the limit.
func (f *envelopeStream) read() (*peerpb.Envelope, error) {
	e := &peerpb.Envelope{}
	err := protodelim.UnmarshalOptions{MaxSize: f.limit}.UnmarshalFrom(f.reader, e)
	if err != nil {
		return nil, err
	}
	return e, nil
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
