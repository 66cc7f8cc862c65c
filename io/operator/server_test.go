package operator

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"siskincross/core/config"
	"siskincross/core/event"
	"siskincross/core/host"
	"siskincross/core/pool"
	"siskincross/io/fleet"
	"siskincross/io/jobs"
	"siskincross/io/peer"
	"siskincross/io/rollout"
	"siskincross/io/standin"
	"siskincross/io/timeline"
)

const org = "boutiques-ephemeres"

// testServer is a Server and a Client for it. Its rollout manager uses an in-memory store.
type testServer struct {
	table   standin.Table
	objects standin.Objects
	server  *Server
	client  Client
}

func startServer(t *testing.T, token string) *testServer {
	t.Helper()
	s := &testServer{}
	manager := &rollout.Manager{Table: s.table.Service(), Objects: s.objects.Service(), Member: "a"}
	ctx, cancel := context.WithCancel(context.Background())
	done := manager.Start(ctx)
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	<-manager.Ready()
	s.server = &Server{
		Rollout:  manager,
		Token:    token,
		Fleet:    func() fleet.Status { return fleet.Status{Member: "a", Members: []string{"a"}, Pools: testPools()} },
		Jobs:     func() jobs.Status { return jobs.Status{} },
		Peers:    func() []peer.Peer { return []peer.Peer{{Member: "b", Zone: "grand-baie"}} },
		Timeline: func(context.Context, timeline.Filter) []event.Event { return testEvents() },
	}
	web := httptest.NewServer(s.server.Handler())
	t.Cleanup(web.Close)
	s.client = Client{Address: strings.TrimPrefix(web.URL, "http://"), Token: token}
	return s
}

// testPools returns a pool with three unavailable hosts and a budget of two.
func testPools() []fleet.PoolStatus {
	return []fleet.PoolStatus{{
		Name:        org + "/port-louis",
		Limits:      config.Pool{MaxUnavailable: 2},
		Disruptions: pool.Disruptions{Failed: 2, Planned: 1},
		Hosts: []fleet.HostStatus{
			{Host: pool.Host{ID: "port-louis-01", State: host.Serving}},
			{Host: pool.Host{ID: "port-louis-<02>", State: host.Failed}, WaitsFor: "the platform"},
		},
	}}
}

func testEvents() []event.Event {
	return []event.Event{{Number: event.DutyTaken, ID: "a-1", Process: "a", Pool: org + "/port-louis"}}
}

// fixtureChange returns a change with the template and parameters of the mauritius fixture. The replacements,
// in pairs of old and new text, apply to the parameters.
func fixtureChange(t *testing.T, from config.Version, replacements ...string) Change {
	t.Helper()
	read := func(name string) string {
		content, err := os.ReadFile("../../_fixtures/mauritius/" + name)
		if err != nil {
			t.Fatal(err)
		}
		return string(content)
	}
	return Change{
		Organisation: org,
		Template:     read("template.toml"),
		Parameters:   strings.NewReplacer(replacements...).Replace(read("parameters.toml")),
		From:         from,
	}
}

// assertProblem fails the test unless err is a problem with the given status, and returns the problem.
func assertProblem(t *testing.T, err error, status int) Problem {
	t.Helper()
	var problem ErrProblem
	if !errors.As(err, &problem) || problem.Problem.Status != status {
		t.Fatalf("got %v, want a problem of status %d", err, status)
	}
	return problem.Problem
}

func TestConfiguration(t *testing.T) {
	t.Run("plan, apply, history, show and rollback", func(t *testing.T) {
		is := is.New(t)
		c := startServer(t, "").client
		first, err := c.Apply(t.Context(), fixtureChange(t, 0))
		is.NoErr(err)
		next := fixtureChange(t, first.Version, "port-louis-hosts = 9", "port-louis-hosts = 10")
		plan, err := c.Plan(t.Context(), next)
		is.NoErr(err)
		is.Equal(plan.Differences, []string{"~ pools." + org + "/port-louis.hosts: 9 -> 10"})
		second, err := c.Apply(t.Context(), next)
		is.NoErr(err)
		progress, err := c.Progress(t.Context(), second.Version)
		is.NoErr(err)
		is.True(progress.InForce)
		back, err := c.Rollback(t.Context(), Rollback{Organisation: org, To: first.Version, From: second.Version})
		is.NoErr(err)
		history, err := c.History(t.Context(), org)
		is.NoErr(err)
		is.Equal(len(history), 3)
		is.Equal(history[0].Restores, first.Version)
		source, err := c.Show(t.Context(), back.Version)
		is.NoErr(err)
		is.Equal(source.Parameters, fixtureChange(t, 0).Parameters)
	})
	t.Run("the loser of a race sees what changed", func(t *testing.T) {
		is := is.New(t)
		c := startServer(t, "").client
		first, err := c.Apply(t.Context(), fixtureChange(t, 0))
		is.NoErr(err)
		_, err = c.Apply(t.Context(), fixtureChange(t, first.Version, "move-weight = 1.0", "move-weight = 3.0"))
		is.NoErr(err)
		_, err = c.Apply(t.Context(), fixtureChange(t, first.Version, "port-louis-hosts = 9", "port-louis-hosts = 10"))
		p := assertProblem(t, err, http.StatusConflict)
		is.Equal(p.Head, first.Version+1)
		is.Equal(p.Detail, org+" is at version 2, the change was made from 1") // the detail doesn't repeat the differences
		is.Equal(len(p.Differences), 5)                                        // one for the weight of each pool
	})
	t.Run("each error in a text is reported with its position", func(t *testing.T) {
		is := is.New(t)
		_, err := startServer(t, "").client.Apply(t.Context(), fixtureChange(t, 0, "port-louis-hosts = 9", "port-louis-hosts = 9000"))
		p := assertProblem(t, err, http.StatusUnprocessableEntity)
		is.Equal(p.Problems[0].File, "parameters")
		is.Equal(p.Problems[0].Line, 6)
		is.Equal(p.Problems[0].Key, "values.port-louis-hosts")
		is.True(p.Problems[0].Remedy != "")
	})
	t.Run("an invalid version and a missing version have different statuses", func(t *testing.T) {
		c := startServer(t, "").client
		_, err := c.Show(t.Context(), 7)
		assertProblem(t, err, http.StatusNotFound)
		_, err = c.Show(t.Context(), 0)
		assertProblem(t, err, http.StatusBadRequest)
	})
	t.Run("a store that is down is unavailable, not empty", func(t *testing.T) {
		s := startServer(t, "")
		s.table.SetFaults(standin.TableFaults{Down: true})
		_, err := s.client.History(t.Context(), "")
		assertProblem(t, err, http.StatusServiceUnavailable)
		response, err := http.Get("http://" + s.client.Address + pathHistory)
		is.New(t).NoErr(err)
		is.New(t).Equal(response.Header.Get("Retry-After"), retryAfterSeconds)
	})
}

func TestLostAnswer(t *testing.T) {
	t.Run("a change whose response was cut off is committed once", func(t *testing.T) {
		is := is.New(t)
		s := startServer(t, "")
		cut := 2
		s.client.HTTP = &http.Client{Transport: roundTripFunc(func(r *http.Request) (*http.Response, error) {
			response, err := http.DefaultTransport.RoundTrip(r)
			if err == nil && cut > 0 {
				cut--
				_ = response.Body.Close()
				return nil, io.ErrUnexpectedEOF
			}
			return response, err
		})}
		accepted, err := s.client.Apply(t.Context(), fixtureChange(t, 0))
		is.NoErr(err)
		is.Equal(accepted.Version, config.Version(1))
		history, err := s.client.History(t.Context(), "")
		is.NoErr(err)
		is.Equal(len(history), 1)
	})
}

type roundTripFunc func(r *http.Request) (*http.Response, error)

// RoundTrip implements http.RoundTripper.
func (t roundTripFunc) RoundTrip(r *http.Request) (*http.Response, error) { return t(r) }

func TestCredentials(t *testing.T) {
	t.Run("every path requires the token", func(t *testing.T) {
		is := is.New(t)
		s := startServer(t, "long-token")
		for _, route := range documentedRoutes(t) {
			method, path, _ := strings.Cut(route, " ")
			for _, wrong := range []string{"", "Bearer long-toke", "Bearer long-token ", "Basic bG9uZy10b2tlbg=="} {
				request := httptest.NewRequest(method, strings.Replace(path, "{version}", "1", 1), nil)
				request.Header.Set("Authorization", wrong)
				recorder := httptest.NewRecorder()
				s.server.Handler().ServeHTTP(recorder, request)
				is.Equal(recorder.Code, http.StatusUnauthorized)
			}
		}
		_, err := s.client.Fleet(t.Context())
		is.NoErr(err)
	})
	t.Run("a browser sends the token as a password", func(t *testing.T) {
		is := is.New(t)
		s := startServer(t, "long-token")
		request := httptest.NewRequest(http.MethodGet, "/", nil)
		request.SetBasicAuth("anyone", "long-token")
		recorder := httptest.NewRecorder()
		s.server.Handler().ServeHTTP(recorder, request)
		is.Equal(recorder.Code, http.StatusOK)
	})
	t.Run("without a token only the loopback network is served", func(t *testing.T) {
		is := is.New(t)
		recorder := httptest.NewRecorder()
		startServer(t, "").server.Handler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/v1/fleet", nil))
		is.Equal(recorder.Code, http.StatusForbidden)
	})
}

func TestCallersPaths(t *testing.T) {
	for _, path := range []string{"/queues/" + org + "/keys/x", "/jobs/" + org + "/keys", "/health"} {
		t.Run(path+" is not served to operators", func(t *testing.T) {
			response, err := http.Get("http://" + startServer(t, "").client.Address + path)
			is.New(t).NoErr(err)
			is.New(t).Equal(response.StatusCode, http.StatusNotFound)
		})
	}
}

func TestMalformed(t *testing.T) {
	for name, body := range map[string]string{
		"no JSON":          "organisation = 1",
		"an unknown field": `{"organisation": "a", "force": true}`,
		"a body too large": `{"template": "` + strings.Repeat("a", maxChangeBodyBytes) + `"}`,
	} {
		t.Run(name+" is refused", func(t *testing.T) {
			is := is.New(t)
			s := startServer(t, "")
			response, err := http.Post("http://"+s.client.Address+pathApply, contentJSON, strings.NewReader(body))
			is.NoErr(err)
			is.Equal(response.StatusCode, http.StatusBadRequest)
			is.Equal(response.Header.Get("Content-Type"), contentProblem)
			is.Equal(s.table.Counts().Commits, 0)
		})
	}
}

func TestStatusPage(t *testing.T) {
	t.Run("shows an exceeded budget, hosts out of service and events, with names escaped", func(t *testing.T) {
		is := is.New(t)
		s := startServer(t, "")
		response, err := http.Get("http://" + s.client.Address + "/")
		is.NoErr(err)
		content, err := io.ReadAll(response.Body)
		is.NoErr(err)
		page := string(content)
		for _, part := range []string{`<tr class="over">`, "3 of 2", "port-louis-&lt;02&gt;", "the platform", "duty-taken", "grand-baie"} {
			is.True(strings.Contains(page, part))
		}
		is.True(!strings.Contains(page, "port-louis-01")) // a serving host is only counted
		is.True(!strings.Contains(page, "src="))          // the page is self-contained
	})
}
