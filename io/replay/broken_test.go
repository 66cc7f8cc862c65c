package replay

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"siskincross/core/config"
	"siskincross/core/host"
	"siskincross/core/route"
	"siskincross/io/entry"
	"siskincross/io/fleet"
	"siskincross/io/platform"
)

// assertBreaks replays a deployment whose code was broken on purpose and checks that the replay names the property.
func assertBreaks(t *testing.T, property string, breakIt func(*thin)) {
	t.Helper()
	t.Parallel()
	is := is.New(t)
	d := newThin()
	breakIt(d)
	report := d.play(t)
	verdict := report.Property(property)
	is.True(!report.Held)
	is.True(!verdict.Held)
	is.True(verdict.Broken > 0)
	is.True(verdict.First != "")
}

func TestWholeCodeBreaksNothing(t *testing.T) {
	t.Parallel()
	for _, v := range newThin().play(t).Properties {
		if v.Broken > 0 {
			t.Errorf("%s is broken by whole code: %s", v.Property, v.First)
		}
	}
}

func TestBrokenOnPurpose(t *testing.T) {
	t.Parallel()
	t.Run("skip the budget check", func(t *testing.T) {
		assertBreaks(t, "availability-budget", func(d *thin) { d.breakManager = skipBudget })
	})
	t.Run("retry a deposit hold", func(t *testing.T) {
		assertBreaks(t, "at-most-once", func(d *thin) { d.breakHandler = retryUnknown })
	})
	t.Run("drop a configuration version", func(t *testing.T) {
		assertBreaks(t, "configuration", func(d *thin) { d.breakServer = dropVersions() })
	})
	t.Run("forget a drain", func(t *testing.T) {
		assertBreaks(t, "graceful-stops", func(d *thin) {
			d.breakPlatform = forgetDrain
			d.breakServer = keepTargets
			d.breakManager = func(m *fleet.Manager) { m.InProgress = nil }
		})
	})
	t.Run("go on with leaving targets", func(t *testing.T) {
		assertBreaks(t, "leaving-no-new-work", func(d *thin) { d.breakServer = keepTargets })
	})
	t.Run("say not-run of what may have run", func(t *testing.T) {
		assertBreaks(t, "not-run-means-not-run", func(d *thin) { d.breakHandler = denyUnknown })
	})
	t.Run("pass a cut answer on as a whole one", func(t *testing.T) {
		assertBreaks(t, "whole-answers", func(d *thin) { d.breakHandler = shorten })
	})
	t.Run("send to the hosts of another pool", func(t *testing.T) {
		assertBreaks(t, "one-pool", func(d *thin) { d.breakServer = mixPools })
	})
}

// skipBudget makes the duty holders see budgets that no pool exceeds.
func skipBudget(m *fleet.Manager) {
	current := m.Config
	m.Config = func() config.Expanded {
		c := current()
		pools := append([]config.Pool(nil), c.Pools...)
		for i := range pools {
			pools[i].MaxUnavailable = pools[i].Hosts
		}
		c.Pools = pools
		return c
	}
}

// retryUnknown repeats every request whose outcome is unknown.
func retryUnknown(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for range 2 {
			recorder := httptest.NewRecorder()
			cut := serveRecorded(next, recorder, r)
			if !cut && recorder.Header().Get(headerOutcome) != "unknown" {
				copyRecorded(w, recorder, recorder.Body.Bytes())
				return
			}
		}
		panic(http.ErrAbortHandler)
	})
}

// denyUnknown tells callers that requests of unknown outcome were not run.
func denyUnknown(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		recorder := httptest.NewRecorder()
		cut := serveRecorded(next, recorder, r)
		if cut || recorder.Header().Get(headerOutcome) == "unknown" {
			w.Header().Set(headerOutcome, "not-run")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		copyRecorded(w, recorder, recorder.Body.Bytes())
	})
}

// shorten drops the last byte of every answer.
func shorten(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		recorder := httptest.NewRecorder()
		if serveRecorded(next, recorder, r) {
			panic(http.ErrAbortHandler)
		}
		recorder.Header().Del("Content-Length")
		body := recorder.Body.Bytes()
		copyRecorded(w, recorder, body[:max(0, len(body)-1)])
	})
}

func copyRecorded(w http.ResponseWriter, recorder *httptest.ResponseRecorder, body []byte) {
	for name, values := range recorder.Header() {
		w.Header()[name] = values
	}
	w.WriteHeader(recorder.Code)
	_, _ = w.Write(body)
}

// mixPools sends the requests of all pools to the hosts of one.
func mixPools(s *entry.Server) {
	current := s.Snapshot
	s.Snapshot = func(string) (route.Snapshot, bool) { return current("o/a") }
}

// serveRecorded reports whether the handler cut its answer off.
func serveRecorded(next http.Handler, w http.ResponseWriter, r *http.Request) (cut bool) {
	defer func() { cut = recover() != nil }()
	next.ServeHTTP(w, r)
	return false
}

// dropVersions makes the third entry host keep the first configuration that it sees.
func dropVersions() func(*entry.Server) {
	var started atomic.Int32
	return func(s *entry.Server) {
		if started.Add(1) != 3 {
			return
		}
		var once sync.Once
		var first config.Expanded
		current := s.Config
		s.Config = func() config.Expanded {
			once.Do(func() { first = current() })
			return first
		}
	}
}

// forgetDrain makes the platform's drains have no effect.
func forgetDrain(p platform.Services) platform.Services {
	p.Hosts.Drain = func(context.Context, host.ID) error { return nil }
	return p
}

// keepTargets makes an entry host go on with every target that it has seen.
func keepTargets(s *entry.Server) {
	var mu sync.Mutex
	seen := make(map[string]route.Snapshot)
	current := s.Snapshot
	s.Snapshot = func(pool string) (route.Snapshot, bool) {
		snapshot, ok := current(pool)
		mu.Lock()
		defer mu.Unlock()
		if first := seen[pool]; len(first.Targets) > len(snapshot.Targets) {
			snapshot.Targets = first.Targets
			return snapshot, ok
		}
		seen[pool] = snapshot
		return snapshot, ok
	}
}
