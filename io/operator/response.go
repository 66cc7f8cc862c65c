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
	// maxChangeBodyBytes limits the request body of a change, which holds a template and its parameters.
	maxChangeBodyBytes = 1 << 20
	// retryAfterSeconds is the Retry-After header of responses with status 503.
	retryAfterSeconds = "2"
)

// Problem is the application/problem+json body of the response to a refused request.
type Problem struct {
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail"`
	// Head is the organisation's newest version; set for a conflict only.
	Head config.Version `json:"head,omitempty"`
	// Differences describe what changed since the version that the refused change is based on.
	Differences []string `json:"differences,omitempty"`
	// Problems are the errors in a template or in parameters that can't be expanded.
	Problems []config.Problem `json:"problems,omitempty"`
	// Change is the ID of a change whose outcome is unknown.
	Change string `json:"change,omitempty"`
}

// writeResponse writes body as JSON, or err as a problem if it isn't nil.
func writeResponse(c iris.Context, body any, err error) {
	if err != nil {
		writeError(c, err)
		return
	}
	encoded, err := json.Marshal(body)
	if err != nil {
		writeError(c, err)
		return
	}
	c.ResponseWriter().Header().Set("Content-Type", contentJSON)
	// A write fails only when the connection is broken, which the client notices.
	_, _ = c.ResponseWriter().Write(encoded)
}

// writeError writes err as a problem, with a Retry-After header if the server is unavailable.
func writeError(c iris.Context, err error) {
	p := problemFromError(err)
	if p.Status == http.StatusServiceUnavailable {
		c.ResponseWriter().Header().Set("Retry-After", retryAfterSeconds)
	}
	writeProblemBody(c.ResponseWriter(), p)
}

func writeProblem(w http.ResponseWriter, status int, detail string) {
	writeProblemBody(w, Problem{Status: status, Detail: detail})
}

func writeProblemBody(w http.ResponseWriter, p Problem) {
	p.Title = http.StatusText(p.Status)
	encoded, err := json.Marshal(p)
	if err != nil {
		encoded = nil
	}
	w.Header().Set("Content-Type", contentProblem)
	w.WriteHeader(p.Status)
	_, _ = w.Write(encoded)
}

// errBadRequest is returned for a request that can't be parsed.
type errBadRequest struct {
	reason string
}

// Error implements error.
func (e errBadRequest) Error() string { return e.reason }

// problemFromError maps an error to a status code and the details that the client needs.
// An unexpected error becomes status 500.
func problemFromError(err error) Problem {
	var conflict rollout.ErrConflict
	var missing rollout.ErrVersionNotFound
	var notReady rollout.ErrNotReady
	var notAccepted rollout.ErrNotAccepted
	var unavailable platform.ErrUnavailable
	var unknown rollout.ErrOutcomeUnknown
	var invalid config.ErrInvalid
	var malformed errBadRequest
	p := Problem{Status: http.StatusInternalServerError, Detail: err.Error()}
	switch {
	case errors.As(err, &conflict):
		p.Status = http.StatusConflict
		p.Detail, _, _ = strings.Cut(conflict.Error(), "\n")
		p.Head = conflict.Actual
		p.Differences = differenceTexts(conflict.Differences)
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

func differenceTexts(differences []config.Difference) []string {
	lines := make([]string, len(differences))
	for i, d := range differences {
		lines[i] = d.String()
	}
	return lines
}

// decodeBody decodes a JSON request body into the value that into points to. It refuses unknown fields.
func decodeBody(c iris.Context, into any) error {
	decoder := json.NewDecoder(http.MaxBytesReader(c.ResponseWriter(), c.Request().Body, maxChangeBodyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return errBadRequest{reason: "invalid request body: " + err.Error()}
	}
	return nil
}
