package operator

import (
	"encoding/json"
	"errors"
	"net/http"
	"strings"

	"github.com/kataras/iris/v12"

	"siskincross/core/config"
	"siskincross/io/platform"
	"siskincross/io/rollout"
)

const (
	contentJSON    = "application/json"
	contentProblem = "application/problem+json"
	// maxChangeBytes bounds the body of a change: a template with its parameters.
	maxChangeBytes = 1 << 20
	// retryAfterSeconds is told with answers that say that the store is unavailable.
	retryAfterSeconds = "2"
)

// Problem is the application/problem+json body of a refused request.
type Problem struct {
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail"`
	// Head is the organisation's newest version, with a conflict.
	Head config.Version `json:"head,omitempty"`
	// Differences tell what changed since the version that a change was made from.
	Differences []string `json:"differences,omitempty"`
	// Problems are the faults of a template or of parameters that can't be expanded.
	Problems []config.Problem `json:"problems,omitempty"`
	// Change is the ID of a change whose outcome is unknown.
	Change string `json:"change,omitempty"`
}

func answer(c iris.Context, body any, err error) {
	if err != nil {
		fail(c, err)
		return
	}
	encoded, err := json.Marshal(body)
	if err != nil {
		fail(c, err)
		return
	}
	c.ResponseWriter().Header().Set("Content-Type", contentJSON)
	// A failed write breaks the connection, which the operator sees.
	_, _ = c.ResponseWriter().Write(encoded)
}

func fail(c iris.Context, err error) {
	p := problemOf(err)
	if p.Status == http.StatusServiceUnavailable {
		c.ResponseWriter().Header().Set("Retry-After", retryAfterSeconds)
	}
	send(c.ResponseWriter(), p)
}

func writeProblem(w http.ResponseWriter, status int, detail string) {
	send(w, Problem{Status: status, Detail: detail})
}

func send(w http.ResponseWriter, p Problem) {
	p.Title = http.StatusText(p.Status)
	encoded, err := json.Marshal(p)
	if err != nil {
		encoded = nil
	}
	w.Header().Set("Content-Type", contentProblem)
	w.WriteHeader(p.Status)
	_, _ = w.Write(encoded)
}

// errMalformed is returned for a request that can't be read.
type errMalformed struct {
	reason string
}

// Error implements error.
func (e errMalformed) Error() string { return e.reason }

func problemOf(err error) Problem {
	var conflict rollout.ErrConflict
	var missing rollout.ErrVersionNotFound
	var notReady rollout.ErrNotReady
	var notAccepted rollout.ErrNotAccepted
	var unavailable platform.ErrUnavailable
	var unknown rollout.ErrOutcomeUnknown
	var invalid config.ErrInvalid
	var malformed errMalformed
	p := Problem{Status: http.StatusInternalServerError, Detail: err.Error()}
	switch {
	case errors.As(err, &conflict):
		p.Status = http.StatusConflict
		p.Detail, _, _ = strings.Cut(conflict.Error(), "\n")
		p.Head = conflict.Actual
		p.Differences = texts(conflict.Differences)
	case errors.As(err, &invalid):
		p.Status = http.StatusUnprocessableEntity
		p.Problems = invalid.Problems
	case errors.As(err, &malformed):
		p.Status = http.StatusBadRequest
	case errors.As(err, &missing):
		p.Status = http.StatusNotFound
	case errors.As(err, &unknown):
		p.Status = http.StatusGatewayTimeout
		p.Change = unknown.Change
	case errors.As(err, &notAccepted), errors.As(err, &notReady), errors.As(err, &unavailable):
		p.Status = http.StatusServiceUnavailable
	}
	return p
}

func texts(differences []config.Difference) []string {
	lines := make([]string, len(differences))
	for i, d := range differences {
		lines[i] = d.String()
	}
	return lines
}

// decode reads a JSON body and refuses unknown fields.
func decode(c iris.Context, into any) error {
	decoder := json.NewDecoder(http.MaxBytesReader(c.ResponseWriter(), c.Request().Body, maxChangeBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return errMalformed{reason: "the body is no such request: " + err.Error()}
	}
	return nil
}
