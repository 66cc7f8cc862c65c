package jobs

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskincross/core/chart"
	"siskincross/core/host"
	"siskincross/core/job"
	"siskincross/core/route"
	"siskincross/io/platform"
	"siskincross/io/standin"
)

// withAPI runs a test against the HTTP API of one entry host. Workers finish tasks immediately, except for
// the program "sleep".
func withAPI(t *testing.T, test func(f *fixture, c Client)) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	f := &fixture{t: t, is: is.New(t), ctx: ctx, table: &standin.Table{}, workers: &fakeWorkers{}}
	f.targets = []route.Target{testTarget(0)}
	f.teams = testTeams()
	f.workers.behave = func(_ host.ID, spec platform.TaskSpec) behaviour {
		b := behaviour{cores: 1, memory: gigabyte}
		if spec.Program == "sleep" {
			b.duration = time.Hour
		}
		return b
	}
	f.assignDuty("a")
	m, stop := f.startManager("a")
	defer stop()
	server := httptest.NewServer(m.Handler())
	defer server.Close()
	test(f, Client{Address: strings.TrimPrefix(server.URL, "http://")})
}

// awaitStateOverHTTP polls a job over HTTP until it has the given state.
func (f *fixture) awaitStateOverHTTP(c Client, id job.ID, state chart.State) job.Job {
	f.t.Helper()
	for {
		j, err := c.Get(f.ctx, "kunta", id)
		f.is.NoErr(err)
		if j.State == state {
			return j
		}
		if job.IsFinal(j.State) {
			f.t.Fatalf("job %s ended %q, want %q", id, j.State, state)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// assertProblem asserts the status and the outcome of an error response.
func assertProblem(t *testing.T, err error, status int, outcome string) {
	t.Helper()
	var p ErrProblem
	if !errors.As(err, &p) {
		t.Fatalf("got %v, want a problem", err)
	}
	if p.Status != status || p.Outcome != outcome {
		t.Errorf("got status %d, outcome %q (%s), want %d, %q", p.Status, p.Outcome, p.Detail, status, outcome)
	}
}

func TestAPI(t *testing.T) {
	withAPI(t, func(f *fixture, c Client) {
		t.Run("a job from submission to its result", func(t *testing.T) {
			j, err := c.Submit(f.ctx, "kunta", submission(), "certificate-1")
			f.is.NoErr(err)
			f.awaitStateOverHTTP(c, j.ID, job.StateFinished)
			content, err := c.Result(f.ctx, "kunta", j.ID)
			f.is.NoErr(err)
			f.is.Equal(string(content), "result of "+string(j.ID))
			again, err := c.Submit(f.ctx, "kunta", submission(), "certificate-1")
			f.is.NoErr(err)
			f.is.Equal(again.ID, j.ID)
			f.is.Equal(again.State, job.StateFinished)
		})
		t.Run("a running job is cancelled and has no result", func(t *testing.T) {
			s := submission()
			s.Program = "sleep"
			j, err := c.Submit(f.ctx, "kunta", s, "")
			f.is.NoErr(err)
			f.awaitStateOverHTTP(c, j.ID, job.StateRunning)
			cancelled, err := c.Cancel(f.ctx, "kunta", j.ID)
			f.is.NoErr(err)
			f.is.Equal(cancelled.State, job.StateCancelling)
			f.awaitStateOverHTTP(c, j.ID, job.StateCancelled)
			_, err = c.Result(f.ctx, "kunta", j.ID)
			assertProblem(t, err, http.StatusConflict, "not-run")
		})
		t.Run("the list has every job once over its pages", func(t *testing.T) {
			seen := make(map[job.ID]int)
			after := ""
			for {
				page, err := c.List(f.ctx, "kunta", after, 1)
				f.is.NoErr(err)
				for _, j := range page.Jobs {
					seen[j.ID]++
				}
				if page.After == "" {
					break
				}
				after = page.After
			}
			f.is.Equal(len(seen), 2)
			for _, n := range seen {
				f.is.Equal(n, 1)
			}
		})
	})
}

func TestAPIRefuses(t *testing.T) {
	withAPI(t, func(f *fixture, c Client) {
		for name, change := range map[string]func(s *Submission){
			"an unknown queue":  func(s *Submission) { s.Queue = "none" },
			"another's queue":   func(s *Submission) { s.Queue = "other/render" },
			"an unknown team":   func(s *Submission) { s.Team = "none" },
			"no program":        func(s *Submission) { s.Program = "" },
			"a huge program":    func(s *Submission) { s.Program = strings.Repeat("x", maxProgramBytes+1) },
			"no cores":          func(s *Submission) { s.Cores = 0 },
			"negative memory":   func(s *Submission) { s.MemoryBytes = -1 },
			"a long template":   func(s *Submission) { s.Template = strings.Repeat("x", maxNameBytes+1) },
			"more than a body ": func(s *Submission) { s.Program = strings.Repeat("x", maxSubmissionBytes) },
		} {
			t.Run(name, func(t *testing.T) {
				s := submission()
				change(&s)
				_, err := c.Submit(f.ctx, "kunta", s, "")
				assertProblem(t, err, http.StatusBadRequest, "not-run")
			})
		}
		t.Run("a key with another specification", func(t *testing.T) {
			_, err := c.Submit(f.ctx, "kunta", submission(), "key")
			f.is.NoErr(err)
			s := submission()
			s.Cores++
			_, err = c.Submit(f.ctx, "kunta", s, "key")
			assertProblem(t, err, http.StatusUnprocessableEntity, "not-run")
		})
		t.Run("an unknown job", func(t *testing.T) {
			_, err := c.Get(f.ctx, "kunta", "lessons-none")
			assertProblem(t, err, http.StatusNotFound, "not-run")
		})
		t.Run("another organisation's job", func(t *testing.T) {
			j, err := c.Submit(f.ctx, "kunta", submission(), "")
			f.is.NoErr(err)
			_, err = c.Cancel(f.ctx, "boutiques", j.ID)
			assertProblem(t, err, http.StatusNotFound, "not-run")
		})
		t.Run("while the table service is down", func(t *testing.T) {
			f.setStoreDown(true)
			defer f.setStoreDown(false)
			_, err := c.Submit(f.ctx, "kunta", submission(), "")
			assertProblem(t, err, http.StatusServiceUnavailable, "not-run")
		})
		t.Run("while commits are lost", func(t *testing.T) {
			f.loseCommits(0, 1000)
			defer f.loseCommits(0, 0)
			_, err := c.Submit(f.ctx, "kunta", submission(), "")
			assertProblem(t, err, http.StatusGatewayTimeout, "unknown")
		})
	})
}
