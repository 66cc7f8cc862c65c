package entry

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskincross/core/config"
	"siskincross/core/host"
	"siskincross/core/route"
	"siskincross/io/standin"
	"siskincross/io/timeline"
)

const (
	testPool  = "letting/desk"
	testQueue = "letting/quotes"
	testPath  = "/queues/letting/quotes/hold"
)

// entryHost is an entry host under test with its targets.
type entryHost struct {
	*Server
	url   string
	table *standin.Table
	// snapshot and vouched are the results of the server's Snapshot function.
	snapshot atomic.Pointer[route.Snapshot]
	vouched  atomic.Bool
	expanded config.Expanded
}

// startEntryHost starts an entry host whose pool has targets at the addresses. Its background loops don't run.
func startEntryHost(t testing.TB, addresses ...string) *entryHost {
	t.Helper()
	s := &entryHost{table: &standin.Table{}, expanded: config.Expanded{
		Version: 1,
		Pools:   []config.Pool{{Name: testPool, Organisation: "letting", Hosts: len(addresses), MaxUnavailable: 2}},
		Queues:  []config.Queue{{Name: testQueue, Organisation: "letting", Pool: testPool, MaxQueued: 100, Deadline: 5 * time.Second}},
		Teams:   []config.Team{{Name: "letting/north", Organisation: "letting", Weight: 1}},
	}}
	s.setTargets(1, addresses...)
	s.vouched.Store(true)
	s.Server = &Server{
		Config:   func() config.Expanded { return s.expanded },
		Snapshot: func(string) (route.Snapshot, bool) { return *s.snapshot.Load(), s.vouched.Load() },
		Table:    s.table.Service(),
		Recorder: &timeline.Recorder{Process: "m1"},
		Member:   "m1",
	}
	s.url = serveCallers(t, s.Server)
	return s
}

// serveCallers serves callers of s until the test ends and returns its URL.
func serveCallers(t testing.TB, s *Server) string {
	t.Helper()
	server := httptest.NewUnstartedServer(nil)
	server.Config = s.HTTPServer()
	server.Start()
	t.Cleanup(server.Close)
	return server.URL
}

// startLoops runs the background loops until the test ends.
func (s *entryHost) startLoops(t testing.TB) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := s.Start(ctx)
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
}

// setTargets replaces the snapshot by one with targets at the addresses, each with 8 slots.
func (s *entryHost) setTargets(version uint64, addresses ...string) {
	snapshot := route.Snapshot{Pool: testPool, Epoch: 1, Version: version}
	for _, address := range addresses {
		snapshot.Targets = append(snapshot.Targets, route.Target{
			Host:     host.ID("host-" + address),
			Address:  address,
			Capacity: host.Capacity{Slots: 8, Connections: 64},
		})
	}
	s.snapshot.Store(&snapshot)
}

// startTarget starts a target that echoes the request ID, as the protocol requires, and then calls handle.
func startTarget(t testing.TB, handle http.HandlerFunc) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(headerRequestID, r.Header.Get(headerRequestID))
		handle(w, r)
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// startRawTarget starts a target that responds to the first request of each connection with the bytes that answer
// returns for its request ID, and then closes the connection. It counts the requests in runs.
func startRawTarget(t testing.TB, runs *atomic.Int32, answer func(id string) string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go respondRaw(c, runs, answer)
		}
	}()
	return listener.Addr().String()
}

// respondRaw serves one connection of a raw target.
func respondRaw(c net.Conn, runs *atomic.Int32, answer func(id string) string) {
	defer func() { _ = c.Close() }()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	runs.Add(1)
	_, _ = io.WriteString(c, answer(r.Header.Get(headerRequestID)))
}

// refuseNotStarted returns a handler that refuses requests and asserts that it did not start them.
func refuseNotStarted(count *atomic.Int32) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		count.Add(1)
		w.Header().Set(headerRefused, refusedNotStarted)
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// closedAddress returns an address that refuses connections.
func closedAddress(t testing.TB) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = listener.Close()
	return listener.Addr().String()
}

// reply is the response or the error that a caller received.
type reply struct {
	status  int
	outcome string
	body    string
	header  http.Header
	err     error
}

// call sends one request and reads the whole response. headers are pairs of a name and a value.
func (s *entryHost) call(t testing.TB, method, path, body string, headers ...string) reply {
	t.Helper()
	return send(t, s.url, method, path, strings.NewReader(body), headers...)
}

// send sends one request and reads the whole response. headers are pairs of a name and a value.
func send(t testing.TB, url, method, path string, body io.Reader, headers ...string) reply {
	t.Helper()
	r, err := http.NewRequest(method, url+path, body)
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Add(headers[i], headers[i+1])
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	return reply{response.StatusCode, response.Header.Get(headerOutcome), string(content), response.Header, err}
}

// assertOutcome checks the status and outcome of a reply, and the headers that are required with the outcome.
func assertOutcome(t *testing.T, got reply, status int, outcome route.Outcome) {
	t.Helper()
	is := is.New(t)
	is.Helper()
	is.NoErr(got.err)                              // the caller received a response
	is.Equal(got.outcome, outcome.String())        // outcome header
	is.Equal(got.status, status)                   // HTTP status
	is.True(got.header.Get(headerRequestID) != "") // request ID
	if outcome == route.OutcomeNotRun {
		is.True(got.header.Get("Retry-After") != "") // Retry-After with not-run
	}
	if outcome != route.OutcomeAnswered {
		is.Equal(got.header.Get("Content-Type"), problemType)
	}
}

// tableDown makes the table service unavailable.
var tableDown = standin.TableFaults{Down: true}
