package jobs

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"

	"github.com/kataras/iris/v12"

	"siskincross/core/job"
	"siskincross/io/platform"
)

const (
	outcomeHeader        = "Siskincross-Outcome"
	idempotencyKeyHeader = "Idempotency-Key"
	digestHeader         = "Siskincross-Digest"
	// maxSubmissionBytes bounds the size of a submission's body.
	maxSubmissionBytes = 16 << 10
	defaultPageSize    = 100
	maxPageSize        = 1000
	retryAfterSeconds  = "1"
)

// Problem is the application/problem+json body of an error response.
type Problem struct {
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail"`
}

// Page is one page of an organisation's jobs.
type Page struct {
	Jobs []job.Job `json:"jobs"`
	// After is the "after" parameter of the next page. It is empty on the last page.
	After string `json:"after,omitempty"`
}

// Handler returns the HTTP handler of the callers' job API, under /jobs/<organisation>.
func (m *Manager) Handler() http.Handler {
	m.init()
	app := iris.New()
	app.Logger().SetLevel("disable")
	jobs := app.Party("/jobs/{organisation}")
	jobs.Post("/", m.serveSubmit)
	jobs.Get("/", m.serveList)
	jobs.Get("/{job}", m.serveGet)
	jobs.Delete("/{job}", m.serveCancel)
	jobs.Get("/{job}/result", m.serveResult)
	jobs.Post("/{job}/release", m.serveRelease)
	if err := app.Build(); err != nil {
		return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			http.Error(w, err.Error(), http.StatusInternalServerError)
		})
	}
	return app
}

func (m *Manager) serveSubmit(c iris.Context) {
	var s Submission
	decoder := json.NewDecoder(http.MaxBytesReader(c.ResponseWriter(), c.Request().Body, maxSubmissionBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&s); err != nil {
		writeProblem(c, ErrInvalidRequest{Reason: err.Error()})
		return
	}
	j, err := m.submit(c.Request().Context(), c.Params().Get("organisation"), s, c.GetHeader(idempotencyKeyHeader))
	writeReply(c, http.StatusAccepted, j, err)
}

func (m *Manager) serveGet(c iris.Context) {
	j, err := m.get(c.Request().Context(), c.Params().Get("organisation"), jobIDParam(c))
	writeReply(c, http.StatusOK, j, err)
}

func (m *Manager) serveCancel(c iris.Context) {
	j, err := m.cancel(c.Request().Context(), c.Params().Get("organisation"), jobIDParam(c))
	status := http.StatusOK
	if j.State == job.StateCancelling {
		status = http.StatusAccepted
	}
	writeReply(c, status, j, err)
}

func (m *Manager) serveRelease(c iris.Context) {
	j, err := m.release(c.Request().Context(), c.Params().Get("organisation"), jobIDParam(c))
	writeReply(c, http.StatusOK, j, err)
}

func (m *Manager) serveList(c iris.Context) {
	limit, err := strconv.Atoi(c.URLParamDefault("limit", strconv.Itoa(defaultPageSize)))
	if err != nil || limit < 1 || limit > maxPageSize {
		writeProblem(c, ErrInvalidRequest{Reason: fmt.Sprintf("limit must be between 1 and %d", maxPageSize)})
		return
	}
	page, err := m.list(c.Request().Context(), c.Params().Get("organisation"), c.URLParam("after"), limit)
	writeReply(c, http.StatusOK, page, err)
}

func (m *Manager) serveResult(c iris.Context) {
	content, j, err := m.result(c.Request().Context(), c.Params().Get("organisation"), jobIDParam(c))
	if err != nil {
		writeProblem(c, err)
		return
	}
	header := c.ResponseWriter().Header()
	header.Set("Content-Type", "application/octet-stream")
	header.Set("Content-Length", strconv.Itoa(len(content)))
	header.Set(digestHeader, "sha-256="+j.ResultDigest)
	c.StatusCode(http.StatusOK)
	// A failed write breaks the connection. The caller notices that the body is shorter than its
	// Content-Length.
	_, _ = c.Write(content)
}

// ErrNoResult is returned when a job has no result.
type ErrNoResult struct {
	Job   job.ID
	State string
}

// Error implements error.
func (e ErrNoResult) Error() string {
	return fmt.Sprintf("job %s is %s and has no result", e.Job, e.State)
}

// ErrDigestMismatch is returned when a result does not match the digest that its worker reported.
type ErrDigestMismatch struct {
	Object string
}

// Error implements error.
func (e ErrDigestMismatch) Error() string {
	return fmt.Sprintf("object %q does not match the digest of the result", e.Object)
}

// result returns the result of a finished job after verifying its digest.
func (m *Manager) result(ctx context.Context, organisation string, id job.ID) ([]byte, job.Job, error) {
	j, err := m.get(ctx, organisation, id)
	if err != nil {
		return nil, j, err
	}
	if j.State != job.StateFinished {
		return nil, j, ErrNoResult{Job: id, State: string(j.State)}
	}
	content, err := m.Platform.Objects.Get(ctx, j.Result)
	if err != nil {
		return nil, j, err
	}
	sum := sha256.Sum256(content)
	if hex.EncodeToString(sum[:]) != j.ResultDigest {
		return nil, j, ErrDigestMismatch{Object: j.Result}
	}
	return content, j, nil
}

func jobIDParam(c iris.Context) job.ID {
	return job.ID(c.Params().Get("job"))
}

func writeReply(c iris.Context, status int, body any, err error) {
	if err != nil {
		writeProblem(c, err)
		return
	}
	c.ResponseWriter().Header().Set("Content-Type", "application/json")
	c.StatusCode(status)
	// A failed write breaks the connection, which the caller notices.
	_, _ = c.Write(encodeJSON(body))
}

// writeProblem writes an error response. Its outcome header tells whether a write may have taken effect.
func writeProblem(c iris.Context, err error) {
	status, outcome := problemStatus(err)
	header := c.ResponseWriter().Header()
	header.Set("Content-Type", "application/problem+json")
	header.Set(outcomeHeader, outcome)
	if status == http.StatusServiceUnavailable {
		header.Set("Retry-After", retryAfterSeconds)
	}
	c.StatusCode(status)
	_, _ = c.Write(encodeJSON(Problem{Title: http.StatusText(status), Status: status, Detail: err.Error()}))
}

func problemStatus(err error) (status int, outcome string) {
	var invalid ErrInvalidRequest
	var reused ErrKeyReused
	var unknownJob ErrJobNotFound
	var noResult ErrNoResult
	var damaged ErrDigestMismatch
	var missing platform.ErrNotFound
	var conflict platform.ErrConflict
	var unknown platform.ErrOutcomeUnknown
	switch {
	case errors.As(err, &invalid):
		return http.StatusBadRequest, "not-run"
	case errors.As(err, &reused):
		return http.StatusUnprocessableEntity, "not-run"
	case errors.As(err, &unknownJob):
		return http.StatusNotFound, "not-run"
	case errors.As(err, &noResult), errors.As(err, &conflict):
		return http.StatusConflict, "not-run"
	case errors.As(err, &damaged), errors.As(err, &missing):
		return http.StatusBadGateway, "not-run"
	case errors.As(err, &unknown):
		return http.StatusGatewayTimeout, "unknown"
	}
	return http.StatusServiceUnavailable, "not-run"
}
