package load_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskincross/io/load"
)

func startServer(t *testing.T, handle http.HandlerFunc) string {
	t.Helper()
	server := httptest.NewServer(handle)
	t.Cleanup(server.Close)
	return server.URL
}

func plan(url string) load.Plan {
	return load.Plan{URLs: []string{url}, Phases: []load.Phase{{Rate: 500, Length: 200 * time.Millisecond}}, Seed: 1}
}

func TestClasses(t *testing.T) {
	var n atomic.Int32
	url := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
		switch n.Add(1) % 4 {
		case 0:
			w.Header().Set("Siskincross-Outcome", "not-run")
			w.WriteHeader(http.StatusServiceUnavailable)
		case 1:
			w.Header().Set("Siskincross-Outcome", "unknown")
		case 2:
			w.Header().Set("Content-Length", "10")
			_, _ = w.Write([]byte("cut"))
		}
	})
	is := is.New(t)
	report, err := load.Run(t.Context(), plan(url))
	is.NoErr(err)
	is.Equal(report.Total(), int64(n.Load())) // every request is counted
	for _, c := range []load.Class{load.ClassAnswered, load.ClassNotRun, load.ClassUnknown, load.ClassBroken} {
		is.True(report.Count(c) >= report.Total()/4-1)
	}
	var text strings.Builder
	is.NoErr(report.Print(&text))
	is.True(strings.Contains(text.String(), "not-run"))
}

// TestCoordinatedOmission checks that the latencies include the time that due requests wait for a blocked server.
func TestCoordinatedOmission(t *testing.T) {
	const pause = 300 * time.Millisecond
	var once sync.Once
	var mu sync.Mutex
	url := startServer(t, func(http.ResponseWriter, *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		once.Do(func() { time.Sleep(pause) })
	})
	p := plan(url)
	p.Phases = []load.Phase{{Rate: 500, Length: pause}}
	report, err := load.Run(t.Context(), p)
	is := is.New(t)
	is.NoErr(err)
	// The first request blocks the server. The requests that are due during the pause wait, half of them for at least
	// half of it, so the median includes the wait.
	is.True(report.Latency(load.ClassAnswered, 0.5) >= pause/4)
}

func TestOverrun(t *testing.T) {
	const maxOutstanding = 5
	var busy, highest atomic.Int32
	url := startServer(t, func(http.ResponseWriter, *http.Request) {
		highest.Store(max(highest.Load(), busy.Add(1)))
		defer busy.Add(-1)
		time.Sleep(100 * time.Millisecond)
	})
	p := plan(url)
	p.MaxOutstanding = maxOutstanding
	is := is.New(t)
	report, err := load.Run(t.Context(), p)
	is.NoErr(err)
	is.True(highest.Load() <= maxOutstanding)
	is.True(report.Count(load.ClassOverrun) > 0) // the requests beyond the limit are not sent
	is.Equal(report.Count(load.ClassAnswered)+report.Count(load.ClassOverrun), report.Total())
}

// TestRunReturnsErrors checks the errors for an invalid plan and for a cancelled context.
func TestRunReturnsErrors(t *testing.T) {
	is := is.New(t)
	_, err := load.Run(t.Context(), load.Plan{})
	is.True(errors.As(err, &load.ErrInvalidPlan{}))
	ctx, cancel := context.WithCancel(t.Context())
	url := startServer(t, func(http.ResponseWriter, *http.Request) { cancel() })
	p := plan(url)
	p.Phases[0].Length = time.Hour
	_, err = load.Run(ctx, p)
	is.Equal(err, context.Canceled)
}
