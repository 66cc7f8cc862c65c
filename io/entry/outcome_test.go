package entry

import (
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"siskincross/core/route"
)

func TestAnswered(t *testing.T) {
	t.Run("response, path, query and body", func(t *testing.T) {
		is := is.New(t)
		address := startTarget(t, func(w http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			fmt.Fprintf(w, "%s %s %s", r.Method, r.RequestURI, body)
		})
		s := startEntryHost(t, address)
		got := s.call(t, "POST", testPath+"%2Fx//y?a=1;b", "keys", headerRequestID, "r-1")
		assertOutcome(t, got, http.StatusOK, route.OutcomeAnswered)
		is.Equal(got.body, "POST /hold%2Fx//y?a=1;b keys")
		is.Equal(got.header.Get(headerRequestID), "r-1")
	})
	t.Run("long answer and long body", func(t *testing.T) {
		is := is.New(t)
		address := startTarget(t, func(w http.ResponseWriter, r *http.Request) {
			_ = http.NewResponseController(w).EnableFullDuplex()
			_, _ = io.Copy(w, r.Body)
		})
		s := startEntryHost(t, address)
		long := strings.Repeat("rum ", 1<<18)
		got := s.call(t, "POST", testPath, long)
		assertOutcome(t, got, http.StatusOK, route.OutcomeAnswered)
		is.True(got.body == long)
	})
}

// invalidResponses are responses that a caller must never receive as complete.
var invalidResponses = map[string]func(id string) string{
	"nothing":       func(string) string { return "" },
	"cut head":      func(string) string { return "HTTP/1.1 200 OK\r\nContent-" },
	"cut body":      func(id string) string { return responseHeader(id, "Content-Length: 10") + "short" },
	"cut chunk":     func(id string) string { return responseHeader(id, "Transfer-Encoding: chunked") + "a\r\nshort" },
	"no last chunk": func(id string) string { return responseHeader(id, "Transfer-Encoding: chunked") + "5\r\nshort\r\n" },
	"over-long":     func(id string) string { return responseHeader(id, "Content-Length: 5") + "short and more" },
	"over-long chunks": func(id string) string {
		return responseHeader(id, "Transfer-Encoding: chunked") + "5\r\nshort\r\n0\r\n\r\nmore"
	},
	"crossed":      func(string) string { return responseHeader("another", "Content-Length: 2") + "ok" },
	"no ID":        func(string) string { return "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok" },
	"no framing":   func(id string) string { return responseHeader(id, "Connection: close") + "ok" },
	"two lengths":  func(id string) string { return responseHeader(id, "Content-Length: 2\r\nContent-Length: 3") + "ok!" },
	"not HTTP":     func(string) string { return "SSH-2.0-OpenSSH\r\n" },
	"endless head": func(id string) string { return "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 1<<17) },
	"switching protocol": func(id string) string {
		return strings.Replace(responseHeader(id, "Upgrade: x\r\nConnection: upgrade"), "200 OK", "101 S", 1)
	},
}

// responseHeader returns a status line and a header section with the request ID and the given header lines.
func responseHeader(id, header string) string {
	return "HTTP/1.1 200 OK\r\n" + headerRequestID + ": " + id + "\r\n" + header + "\r\n\r\n"
}

// TestBrokenAnswers checks that no invalid response of a target reaches a caller as complete, and that a request that
// is not idempotent is not sent again after one.
func TestBrokenAnswers(t *testing.T) {
	for name, response := range invalidResponses {
		t.Run(name+", not idempotent", func(t *testing.T) {
			is := is.New(t)
			var runs atomic.Int32
			address := startRawTarget(t, &runs, response)
			s := startEntryHost(t, address)
			got := s.call(t, "POST", testPath, "keys")
			assertUnknownOrAborted(t, got)
			is.Equal(runs.Load(), int32(1)) // dispatched once
		})
		t.Run(name+", idempotent", func(t *testing.T) {
			var runs atomic.Int32
			s := startEntryHost(t, startRawTarget(t, &runs, response), startTarget(t, func(w http.ResponseWriter, _ *http.Request) {
				_, _ = io.WriteString(w, "whole")
			}))
			for range 20 {
				got := s.call(t, "GET", testPath, "")
				if got.outcome == "answered" && got.err == nil {
					is.New(t).Equal(got.body, "whole")
				} else {
					assertUnknownOrAborted(t, got)
				}
			}
		})
	}
}

// assertUnknownOrAborted checks that the caller got the unknown outcome or an aborted connection.
func assertUnknownOrAborted(t *testing.T, got reply) {
	t.Helper()
	if got.err == nil {
		assertOutcome(t, got, http.StatusBadGateway, route.OutcomeUnknown)
	}
}

func TestNotRun(t *testing.T) {
	t.Run("nothing listens", func(t *testing.T) {
		s := startEntryHost(t, closedAddress(t))
		assertOutcome(t, s.call(t, "POST", testPath, "keys"), http.StatusServiceUnavailable, route.OutcomeNotRun)
	})
	t.Run("target refuses", func(t *testing.T) {
		var refusals atomic.Int32
		s := startEntryHost(t, startTarget(t, refuseNotStarted(&refusals)))
		assertOutcome(t, s.call(t, "POST", testPath, "keys"), http.StatusServiceUnavailable, route.OutcomeNotRun)
	})
	t.Run("no targets", func(t *testing.T) {
		s := startEntryHost(t)
		assertOutcome(t, s.call(t, "GET", testPath, ""), http.StatusServiceUnavailable, route.OutcomeNotRun)
	})
	t.Run("nobody vouches for the hosts", func(t *testing.T) {
		s := startEntryHost(t, startTarget(t, func(http.ResponseWriter, *http.Request) { t.Error("target was called") }))
		s.vouched.Store(false)
		assertOutcome(t, s.call(t, "GET", testPath, ""), http.StatusServiceUnavailable, route.OutcomeNotRun)
	})
	t.Run("unknown queue", func(t *testing.T) {
		s := startEntryHost(t)
		assertOutcome(t, s.call(t, "GET", "/queues/letting/other/x", ""), http.StatusNotFound, route.OutcomeNotRun)
	})
}

// TestDrain checks that a draining entry host refuses new requests and completes those in progress.
func TestDrain(t *testing.T) {
	is := is.New(t)
	arrived, release := make(chan bool), make(chan bool)
	s := startEntryHost(t, startTarget(t, func(w http.ResponseWriter, _ *http.Request) {
		arrived <- true
		<-release
		_, _ = io.WriteString(w, "whole")
	}))
	first := make(chan reply)
	go func() { first <- s.call(t, "POST", testPath, "keys") }()
	<-arrived
	is.Equal(len(s.InProgress(testPool)), 1) // one host has a request in progress
	drained := make(chan error)
	go func() { drained <- s.Drain(t.Context()) }()
	for !s.draining.Load() {
		runtime.Gosched()
	}
	assertOutcome(t, s.call(t, "POST", testPath, "keys"), http.StatusServiceUnavailable, route.OutcomeNotRun)
	release <- true
	got := <-first
	assertOutcome(t, got, http.StatusOK, route.OutcomeAnswered)
	is.Equal(got.body, "whole") // the request in progress was not cut off
	is.NoErr(<-drained)
	is.Equal(len(s.InProgress(testPool)), 0)
}
