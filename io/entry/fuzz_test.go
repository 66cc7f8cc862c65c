package entry

import (
	"bytes"
	"net/http"
	"net/url"
	"strings"
	"testing"

	"siskincross/core/config"
)

func FuzzParse(f *testing.F) {
	f.Add("/queues/letting/quotes/hold", "north", "1.5s", "true", "k-1", "r-1")
	f.Add("/queues/letting/quotes/%2e%2e/x", "letting/north", "-1s", "", "", "")
	f.Add("/queues//", "", "9999999h", "0", "a b", "\x00")
	s := &Server{Config: func() config.Expanded {
		return config.Expanded{
			Queues: []config.Queue{{Name: testQueue, Organisation: "letting", Pool: testPool}},
			Teams:  []config.Team{{Name: "letting/north", Organisation: "letting"}},
		}
	}}
	s.init()
	f.Fuzz(func(t *testing.T, path, team, timeout, idempotent, key, id string) {
		u, err := url.ParseRequestURI(path)
		if err != nil || !strings.HasPrefix(u.Path, queuesPrefix) {
			return
		}
		r := &http.Request{Method: http.MethodPost, URL: u, Header: http.Header{
			headerTeam: {team}, headerTimeout: {timeout}, headerIdempotent: {idempotent}, headerKey: {key}, headerRequestID: {id},
		}}
		c, fault := s.parseRequest(r)
		if !validRequestID(c.id) {
			t.Fatalf("request ID %q", c.id)
		}
		if fault != nil {
			return
		}
		if c.queue.Name != testQueue || !validKey(c.key) || c.deadline.Sub(c.received) > s.limits.MaxTimeout || !c.deadline.After(c.received) {
			t.Fatalf("accepted %+v", c)
		}
		target := url.URL{Path: c.path, RawPath: c.rawPath}
		if !strings.HasPrefix(target.EscapedPath(), "/") || !strings.HasSuffix(u.EscapedPath(), strings.TrimPrefix(c.rawPath, "/")) {
			t.Fatalf("path %q became %q", u.EscapedPath(), target.EscapedPath())
		}
	})
}

// FuzzExchange checks that what an exchange finds does not depend on how the bytes come in pieces.
func FuzzExchange(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nshort and more"), uint8(3), int64(5))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"), uint8(1), int64(-1))
	f.Add([]byte("\r\n\r\r\n\r\n\r\n"), uint8(2), int64(0))
	f.Fuzz(func(t *testing.T, content []byte, piece uint8, length int64) {
		var whole, pieces exchange
		whole.receive(content)
		for rest := content; len(rest) > 0; {
			n := min(len(rest), int(piece%16)+1)
			pieces.receive(rest[:n])
			rest = rest[n:]
		}
		if whole.headerEnd != pieces.headerEnd || whole.received != pieces.received || len(content) >= len(whole.tail) && whole.tail != pieces.tail {
			t.Fatalf("whole: head %d of %d, in pieces: %d of %d", whole.headerEnd, whole.received, pieces.headerEnd, pieces.received)
		}
		if end := bytes.Index(content, []byte(headerTerminator)); end >= 0 && whole.headerEnd != int64(end+len(headerTerminator)) {
			t.Fatalf("the head ends at %d, found %d", end+len(headerTerminator), whole.headerEnd)
		}
		if whole.hasExcessBytes(length, false) != pieces.hasExcessBytes(length, false) {
			t.Fatal("an overrun depends on the pieces")
		}
	})
}

// FuzzBody checks that every attempt reads the same bytes, whatever part of them earlier attempts have read.
func FuzzBody(f *testing.F) {
	f.Add([]byte("the whole body"), uint8(4), uint8(3), uint8(64))
	f.Add([]byte(""), uint8(0), uint8(1), uint8(0))
	f.Fuzz(func(t *testing.T, content []byte, first, piece, limit uint8) {
		b := &body{source: readCloser{bytes.NewReader(content)}, length: -1, limit: int(limit)}
		reader, _ := b.newReader()
		early := make([]byte, first)
		n, _ := reader.Read(early)
		if !bytes.Equal(early[:n], content[:n]) {
			t.Fatal("the first attempt read other bytes")
		}
		again, ok := b.newReader()
		if !ok {
			if n <= int(limit) {
				t.Fatal("a body within the limit can't be read again")
			}
			return
		}
		var got []byte
		buffer := make([]byte, int(piece)+1)
		for {
			n, err := again.Read(buffer)
			got = append(got, buffer[:n]...)
			if err != nil {
				break
			}
		}
		if !bytes.Equal(got, content) {
			t.Fatalf("the second attempt read %q of %q", got, content)
		}
		if _, err := reader.Read(early); len(early) > 0 && err == nil {
			t.Fatal("an attempt that was followed by another went on reading")
		}
	})
}

type readCloser struct{ *bytes.Reader }

// Close implements io.Closer.
func (readCloser) Close() error { return nil }
