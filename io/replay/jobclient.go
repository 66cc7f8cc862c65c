package replay

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"siskincross/io/standin"
)

// submission is the body of a request that submits a job.
type submission struct {
	Queue       string `json:"queue"`
	Team        string `json:"team"`
	Program     string `json:"program"`
	Cores       int    `json:"cores"`
	MemoryBytes int64  `json:"memory-bytes"`
	Idempotent  bool   `json:"idempotent"`
	Urgent      bool   `json:"urgent"`
}

// jobResponse holds the fields of a job API response that the replay reads.
type jobResponse struct {
	ID     string `json:"id"`
	State  string `json:"state"`
	Detail string `json:"detail"`
}

// Final states of jobs. A parked job counts as final because it stays parked until an operator releases it.
var (
	jobFinished    = "finished"
	finalJobStates = map[string]bool{jobFinished: true, "failed": true, "cancelled": true, "unknown": true, "parked": true}
)

// errJobRefused is returned when the job API responds with an error status.
type errJobRefused struct {
	status int
	detail string
}

// Error implements error.
func (e errJobRefused) Error() string {
	return fmt.Sprintf("refused with status %d: %s", e.status, e.detail)
}

// newJobClient returns a client of the HTTP job API under /jobs/.
func newJobClient(client *http.Client) JobClient {
	return JobClient{
		Submit: func(ctx context.Context, address string, spec JobSpec) (string, bool, error) {
			return submitJob(ctx, client, address, spec)
		},
		Status: func(ctx context.Context, address, organisation, id string) (JobStatus, error) {
			reply, err := requestJob(ctx, client, http.MethodGet, address, organisation, id)
			return JobStatus{State: reply.State, Final: finalJobStates[reply.State], Finished: reply.State == jobFinished}, err
		},
		Result: func(ctx context.Context, address, organisation, id string) ([]byte, error) {
			content, err := sendJobRequest(ctx, client, http.MethodGet, jobURL(address, organisation, id)+"/result", nil, "")
			return content, err
		},
		Cancel: func(ctx context.Context, address, organisation, id string) error {
			_, err := requestJob(ctx, client, http.MethodDelete, address, organisation, id)
			return err
		},
	}
}

// submitJob submits a job and returns its ID, and whether the job was accepted.
func submitJob(ctx context.Context, client *http.Client, address string, spec JobSpec) (string, bool, error) {
	body, err := json.Marshal(submission{
		Queue: spec.Queue, Team: spec.Team, Program: spec.Program, Cores: spec.Cores, MemoryBytes: spec.MemoryBytes,
		Idempotent: spec.Idempotent, Urgent: spec.Urgent,
	})
	if err != nil {
		return "", false, err
	}
	content, err := sendJobRequest(ctx, client, http.MethodPost, jobURL(address, queueOrganisation(spec.Queue), ""), body, spec.Key)
	if err != nil {
		return "", false, err
	}
	var reply jobResponse
	err = json.Unmarshal(content, &reply)
	return reply.ID, err == nil && reply.ID != "", err
}

// requestJob sends a request about one job and decodes the response.
func requestJob(ctx context.Context, client *http.Client, method, address, organisation, id string) (jobResponse, error) {
	var reply jobResponse
	content, err := sendJobRequest(ctx, client, method, jobURL(address, organisation, id), nil, "")
	if err != nil {
		return reply, err
	}
	return reply, json.Unmarshal(content, &reply)
}

// jobURL returns the URL of a job, or of the organisation's jobs if id is empty.
func jobURL(address, organisation, id string) string {
	url := "http://" + address + "/jobs/" + organisation
	if id != "" {
		url += "/" + id
	}
	return url
}

// sendJobRequest sends a request and returns the whole body of the response. An
// error status is returned as errJobRefused.
func sendJobRequest(ctx context.Context, client *http.Client, method, url string, body []byte, key string) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	if key != "" {
		request.Header[headerKey] = []string{key}
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	if err == nil && response.StatusCode >= http.StatusBadRequest {
		var reply jobResponse
		_ = json.Unmarshal(content, &reply)
		err = errJobRefused{status: response.StatusCode, detail: reply.Detail}
	}
	return content, err
}

// resultMismatch tells how a result differs from the expected result of the job; empty if it doesn't.
func resultMismatch(content []byte, id string, size int) string {
	if bytes.Equal(content, standin.ResponseBody(id, size)) {
		return ""
	}
	line, _, _ := bytes.Cut(content, []byte("\n"))
	return fmt.Sprintf("%d bytes, beginning with %.60q", len(content), line)
}
