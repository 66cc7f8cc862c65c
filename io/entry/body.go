package entry

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync"
)

// errReaderSuperseded is returned by reads of an attempt that was followed by another.
var errReaderSuperseded = errors.New("the attempt was followed by another")

// body is a caller's request body. It keeps the first bytes, so that it can be sent again as long as no more were read.
type body struct {
	source io.ReadCloser
	// length is the body's length in bytes, or -1 when unknown.
	length int64
	limit  int

	mu sync.Mutex
	// prefix holds the first bytes, at most limit.
	prefix []byte
	// overflowed tells that bytes were read that are not kept.
	overflowed bool
	// sourceErr is the error that the source ended with; nil before.
	sourceErr error
	// attempt numbers the reader that may read.
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

// reserveReplayBytes returns how many bytes of a request's body may be kept. The caller gives them back with release.
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

func (s *Server) releaseReplayBytes(kept int) {
	s.replayReserved.Add(-int64(kept))
}

// prefetch reads the first bytes, so that a slow caller with a short body holds no target.
func (b *body) prefetch() error {
	if b.sourceErr != nil {
		return nil
	}
	var kept bytes.Buffer
	_, err := io.CopyN(&kept, b.source, int64(b.limit))
	b.prefix = kept.Bytes()
	if errors.Is(err, io.EOF) || err == nil && int64(len(b.prefix)) == b.length {
		b.sourceErr = io.EOF
		b.length = int64(len(b.prefix))
		return nil
	}
	return err
}

// newReader returns a reader of the whole body for another attempt; false if the body can't be read again.
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

// replayable reports whether another attempt could send the whole body.
func (b *body) replayable() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.overflowed
}

// callerError returns the caller's fault in sending the body; nil for none.
func (b *body) callerError() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if errors.Is(b.sourceErr, io.EOF) {
		return nil
	}
	return b.sourceErr
}

// bodyReader reads a body from its beginning for one attempt.
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
	b.sourceErr = err
	return n, err
}

// Close implements io.Closer. The source belongs to the HTTP server.
func (r *bodyReader) Close() error {
	return nil
}

func (b *body) appendPrefix(p []byte) {
	b.overflowed = b.overflowed || len(b.prefix)+len(p) > b.limit
	if b.overflowed {
		return
	}
	b.prefix = append(b.prefix, p...)
}
