package entry

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskincross/core/route"
)

// TestBadInput checks that invalid requests are refused without a call to a target.
func TestBadInput(t *testing.T) {
	startUncalledEntryHost := func(t *testing.T) *entryHost {
		return startEntryHost(t, startTarget(t, func(http.ResponseWriter, *http.Request) { t.Error("target was called") }))
	}
	long := strings.Repeat("x", 300)
	requests := map[string]struct {
		method, path string
		status       int
		headers      []string
	}{
		"unknown organisation": {"GET", "/queues/nobody/quotes/x", http.StatusNotFound, nil},
		"no queue":             {"GET", "/queues/letting", http.StatusNotFound, nil},
		"other path":           {"GET", "/admin", http.StatusNotFound, nil},
		"unknown team":         {"GET", testPath, http.StatusBadRequest, []string{headerTeam, "west"}},
		"foreign team":         {"GET", testPath, http.StatusBadRequest, []string{headerTeam, "other/north"}},
		"bad timeout":          {"GET", testPath, http.StatusBadRequest, []string{headerTimeout, "soon"}},
		"negative timeout":     {"GET", testPath, http.StatusBadRequest, []string{headerTimeout, "-1s"}},
		"bad idempotent":       {"GET", testPath, http.StatusBadRequest, []string{headerIdempotent, "maybe"}},
		"bad urgent":           {"GET", testPath, http.StatusBadRequest, []string{headerUrgent, "very"}},
		"key with a space":     {"POST", testPath, http.StatusBadRequest, []string{headerKey, "a b"}},
		"long key":             {"POST", testPath, http.StatusBadRequest, []string{headerKey, long}},
		"two keys":             {"POST", testPath, http.StatusBadRequest, []string{headerKey, "a", headerKey, "b"}},
		"bad request ID":       {"GET", testPath, http.StatusBadRequest, []string{headerRequestID, "a/b"}},
		"trace":                {"TRACE", testPath, http.StatusBadRequest, nil},
	}
	for name, request := range requests {
		t.Run(name, func(t *testing.T) {
			got := startUncalledEntryHost(t).call(t, request.method, request.path, "", request.headers...)
			assertOutcome(t, got, request.status, route.OutcomeNotRun)
		})
	}
	t.Run("body over the limit", func(t *testing.T) {
		s := startUncalledEntryHost(t)
		s.limits.BodyBytes = 10
		assertOutcome(t, s.call(t, "POST", testPath, "more than ten bytes"), http.StatusRequestEntityTooLarge, route.OutcomeNotRun)
		got := send(t, s.url, "POST", testPath, struct{ io.Reader }{strings.NewReader("more than ten bytes")})
		assertOutcome(t, got, http.StatusRequestEntityTooLarge, route.OutcomeNotRun)
	})
	raw := map[string]struct{ request, status string }{
		"two lengths":      {"POST " + testPath + " HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", "400"},
		"negative length":  {"POST " + testPath + " HTTP/1.1\r\nHost: x\r\nContent-Length: -1\r\n\r\n", "400"},
		"other encoding":   {"POST " + testPath + " HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: gzip\r\n\r\n", "501"},
		"two encodings":    {"POST " + testPath + " HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n", "501"},
		"oversize headers": {"GET " + testPath + " HTTP/1.1\r\nHost: x\r\nX: " + strings.Repeat("x", 80*kib) + "\r\n\r\n", "431"},
		"broken chunk":     {"POST " + testPath + " HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", "400"},
		"no host":          {"GET " + testPath + " HTTP/1.1\r\n\r\n", "400"},
	}
	for name, input := range raw {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c, err := net.Dial("tcp", strings.TrimPrefix(startUncalledEntryHost(t).url, "http://"))
			is.NoErr(err)
			defer func() { _ = c.Close() }()
			_, _ = io.WriteString(c, input.request)
			line, err := bufio.NewReader(c).ReadString('\n')
			is.NoErr(err)
			is.Equal(strings.Fields(line)[1], input.status)
		})
	}
}

// TestSlowHeadersAreCutOff checks that a caller that doesn't complete its headers can't hold a connection.
func TestSlowHeadersAreCutOff(t *testing.T) {
	is := is.New(t)
	s := startEntryHost(t)
	s.limits.ReadHeaderTimeout = 50 * time.Millisecond
	c, err := net.Dial("tcp", strings.TrimPrefix(serveCallers(t, s.Server), "http://"))
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	_, _ = io.WriteString(c, "GET "+testPath+" HTTP/1.1\r\nHost: x\r\nX-Slow: ")
	answer, _ := io.ReadAll(c)
	is.True(!strings.HasPrefix(string(answer), "HTTP/1.1 200")) // the request was not run
}
