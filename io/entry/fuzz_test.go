package entry

import (
	"bytes"
	"net/http"
	"net/url"
	"strings"
	"testing"

	"siskincross/core/config"
)

// FuzzParse checks that accepted requests are valid and that the target gets the escaped path as the caller sent it.
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

// FuzzExchange checks that the findings of an exchange don't depend on how the bytes are split into reads.
func FuzzExchange(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nshort and more"), uint8(3), int64(5))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"), uint8(1), int64(-1))
	f.Add([]byte("\r\n\r\r\n\r\n\r\n"), uint8(2), int64(0))
	f.Fuzz(func(t *testing.T, content []byte, piece uint8, length int64) {
		var single, split exchange
		single.receive(content)
		for rest := content; len(rest) > 0; {
			n := min(len(rest), int(piece%16)+1)
			split.receive(rest[:n])
			rest = rest[n:]
		}
		if single.headerEnd != split.headerEnd || single.received != split.received || len(content) >= len(single.tail) && single.tail != split.tail {
			t.Fatalf("one read: header ends at %d of %d; several reads: at %d of %d", single.headerEnd, single.received, split.headerEnd, split.received)
		}
		if end := bytes.Index(content, []byte(headerTerminator)); end >= 0 && single.headerEnd != int64(end+len(headerTerminator)) {
			t.Fatalf("header ends at %d, found %d", end+len(headerTerminator), single.headerEnd)
		}
		if single.hasExcessBytes(length, false) != split.hasExcessBytes(length, false) {
			t.Fatal("excess bytes depend on how the bytes are split")
		}
	})
}

// FuzzBody checks that every attempt reads the same bytes, however many of them earlier attempts have read.
func FuzzBody(f *testing.F) {
	f.Add([]byte("the whole body"), uint8(4), uint8(3), uint8(64))
	f.Add([]byte(""), uint8(0), uint8(1), uint8(0))
	f.Fuzz(func(t *testing.T, content []byte, first, piece, limit uint8) {
		b := &body{source: readCloser{bytes.NewReader(content)}, length: -1, limit: int(limit)}
		reader, _ := b.newReader()
		early := make([]byte, first)
		n, _ := reader.Read(early)
		if !bytes.Equal(early[:n], content[:n]) {
			t.Fatal("first attempt read different bytes")
		}
		again, ok := b.newReader()
		if !ok {
			if n <= int(limit) {
				t.Fatal("body within the limit can't be read again")
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
			t.Fatalf("second attempt read %q of %q", got, content)
		}
		if _, err := reader.Read(early); len(early) > 0 && err == nil {
			t.Fatal("read of a superseded attempt succeeded")
		}
	})
}

type readCloser struct{ *bytes.Reader }

// Close implements io.Closer.
func (readCloser) Close() error { return nil }
