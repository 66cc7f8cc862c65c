package entry

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"siskincross/io/intake"
)

// errReaderSuperseded is returned by reads for an attempt after a later attempt has started.
var errReaderSuperseded = errors.New("read the request body: superseded by a later attempt")

// body is a caller's request body. It buffers a prefix, so that the body can be sent again as long as no bytes behind
// the prefix were read.
type body struct {
	source io.ReadCloser
	// length is the length of the body in bytes, or -1 if unknown.
	length int64
	// limit bounds the length of prefix in bytes.
	limit int

	mu sync.Mutex
	// prefix holds the first bytes of the body.
	prefix []byte
	// overflowed is set once bytes were read that are not in prefix.
	overflowed bool
	// sourceErr is the error that ended the source, io.EOF at its regular end; nil before.
	sourceErr error
	// claim lists the body among the incomplete ones; nil if it has none.
	claim *intake.Body
	// attempt is the number of the current attempt. Only its reader may read.
	attempt int
}

func newBody(r *http.Request, limit int) *body {
	b := &body{source: r.Body, length: r.ContentLength, limit: limit}
	if r.Body == nil || r.Body == http.NoBody {
		b.sourceErr = io.EOF
		b.length = 0
	}
	return b
}

// reserveReplayBytes reserves memory to buffer the prefix of a body and returns its size, 0 if TotalReplayBytes is
// exhausted. length is -1 if unknown. The caller returns the memory with releaseReplayBytes.
func (s *Server) reserveReplayBytes(length int64) int {
	want := int64(s.limits.RequestReplayBytes)
	if length >= 0 {
		want = min(want, length)
	}
	if s.replayReserved.Add(want) > s.limits.TotalReplayBytes {
		s.replayReserved.Add(-want)
		return 0
	}
	return int(want)
}

// trackBody lets BreakOffOldestBody end the reading of a body until it has been read. The returned function ends that.
func (s *Server) trackBody(w http.ResponseWriter, b *body) func() {
	if b.sourceErr != nil {
		return func() {}
	}
	control := http.NewResponseController(w)
	b.claim = s.incomplete.Begin(func() { _ = control.SetReadDeadline(time.Unix(0, 1)) }) // fails for a closed connection only
	return b.claim.End
}

// BreakOffOldestBody ends the request whose body has been incomplete for longest, and reports whether there is one.
func (s *Server) BreakOffOldestBody() bool { return s.incomplete.BreakOffOldest() }

func (s *Server) releaseReplayBytes(reserved int) {
	s.replayReserved.Add(-int64(reserved))
}

// prefetch reads the prefix before a target is acquired, so that a slow caller with a short body occupies no slot.
func (b *body) prefetch() error {
	if b.sourceErr != nil {
		return nil
	}
	var prefix bytes.Buffer
	_, err := io.CopyN(&prefix, b.source, int64(b.limit))
	b.prefix = prefix.Bytes()
	if errors.Is(err, io.EOF) || err == nil && int64(len(b.prefix)) == b.length {
		b.length = int64(len(b.prefix))
		b.end(io.EOF)
		return nil
	}
	return err
}

// newReader starts the next attempt and returns its reader of the whole body. It returns false if the body can't be
// read again.
func (b *body) newReader() (io.ReadCloser, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.attempt++
	if b.overflowed {
		return nil, false
	}
	if b.length == 0 {
		return http.NoBody, true
	}
	return &bodyReader{body: b, attempt: b.attempt}, true
}

// replayable reports whether another attempt can send the whole body.
func (b *body) replayable() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.overflowed
}

// callerError returns the error of reading the body from the caller, or nil.
func (b *body) callerError() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if errors.Is(b.sourceErr, io.EOF) {
		return nil
	}
	return b.sourceErr
}

// bodyReader reads a body from the start for one attempt.
type bodyReader struct {
	body    *body
	attempt int
	offset  int
}

// Read implements io.Reader.
func (r *bodyReader) Read(p []byte) (int, error) {
	b := r.body
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.attempt != r.attempt {
		return 0, errReaderSuperseded
	}
	if r.offset < len(b.prefix) {
		n := copy(p, b.prefix[r.offset:])
		r.offset += n
		return n, nil
	}
	if b.sourceErr != nil {
		return 0, b.sourceErr
	}
	n, err := b.source.Read(p)
	b.appendPrefix(p[:n])
	r.offset += n
	b.end(err)
	return n, err
}

// end records the error that ended the source, if any. A body that was read whole isn't broken off any more.
func (b *body) end(err error) {
	b.sourceErr = err
	if errors.Is(err, io.EOF) && b.claim != nil {
		_ = b.claim.Complete() // it was read whole, though it may just have been broken off
		b.claim = nil
	}
}

// Close implements io.Closer. It leaves the source open, as the HTTP server closes that.
func (r *bodyReader) Close() error {
	return nil
}

// appendPrefix appends bytes that were read to the prefix if they fit, else it marks the body as overflowed.
func (b *body) appendPrefix(p []byte) {
	b.overflowed = b.overflowed || len(b.prefix)+len(p) > b.limit
	if b.overflowed {
		return
	}
	b.prefix = append(b.prefix, p...)
}
