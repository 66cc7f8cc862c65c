package peer

import (
	"bufio"
	"io"

	"google.golang.org/protobuf/encoding/protodelim"

	"siskincross/core/event"
	"siskincross/io/peer/peerpb"
)

const (
	// maxMessageBytes bounds one envelope of a peer that has said hello.
	maxMessageBytes = 4 << 20
	// maxHelloBytes bounds the first envelope of a connection.
	maxHelloBytes = 4 << 10
)

// frames reads and writes length-delimited envelopes on one stream.
type frames struct {
	reader *bufio.Reader
	writer *bufio.Writer
	limit  int64
}

func newFrames(stream io.ReadWriter, limit int64) *frames {
	return &frames{
		reader: bufio.NewReader(stream),
		writer: bufio.NewWriter(stream),
		limit:  limit,
	}
}

func (f *frames) write(e *peerpb.Envelope) error {
	if _, err := protodelim.MarshalTo(f.writer, e); err != nil {
		return err
	}
	return f.writer.Flush()
}

func (f *frames) read() (*peerpb.Envelope, error) {
	e := &peerpb.Envelope{}
	err := protodelim.UnmarshalOptions{MaxSize: f.limit}.UnmarshalFrom(f.reader, e)
	if err != nil {
		return nil, err
	}
	return e, nil
}

// stamp returns an envelope with e's body and this entry host's name and clock.
// It leaves e alone, because one envelope is sent to many peers.
func (l *Link) stamp(e *peerpb.Envelope) *peerpb.Envelope {
	stamped := &peerpb.Envelope{Protocol: l.protocolVersion(), Member: l.Member, Body: e.GetBody()}
	if l.Recorder != nil {
		now := l.Recorder.Now()
		stamped.Time = &peerpb.Timestamp{WallMillis: now.WallMillis, Logical: now.Logical}
	}
	return stamped
}

// observe merges the clock of a received envelope.
func (l *Link) observe(e *peerpb.Envelope) {
	if l.Recorder == nil || e.GetTime() == nil {
		return
	}
	l.Recorder.Observe(event.Timestamp{WallMillis: e.GetTime().GetWallMillis(), Logical: e.GetTime().GetLogical()})
}

// acknowledge returns an envelope that answers with an error text; empty means success.
func acknowledge(reason string) *peerpb.Envelope {
	return &peerpb.Envelope{Body: &peerpb.Envelope_Acknowledgement{
		Acknowledgement: &peerpb.Acknowledgement{Error: reason},
	}}
}
