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

// submission is the body of a submitted job.
type submission struct {
	Queue       string `json:"queue"`
	Team        string `json:"team"`
	Program     string `json:"program"`
	Cores       int    `json:"cores"`
	MemoryBytes int64  `json:"memory-bytes"`
	Idempotent  bool   `json:"idempotent"`
	Urgent      bool   `json:"urgent"`
}

// jobReply is what the replay reads of an answer of the job API.
type jobReply struct {
	ID     string `json:"id"`
	State  string `json:"state"`
	Detail string `json:"detail"`
}

// Ends of jobs. A parked job stays as it is until an operator releases it.
var (
	jobFinished = "finished"
	jobFinals   = map[string]bool{jobFinished: true, "failed": true, "cancelled": true, "unknown": true, "parked": true}
)

// errRefusedJob is returned when the job API refused a submission for good.
type errRefusedJob struct {
	status int
	detail string
}

// Error implements error.
func (e errRefusedJob) Error() string {
	return fmt.Sprintf("refused with status %d: %s", e.status, e.detail)
}

// newJobClient returns the client of the job API under /jobs/.
func newJobClient(client *http.Client) JobClient {
	return JobClient{
		Submit: func(ctx context.Context, address string, spec JobSpec) (string, bool, error) {
			return submitJob(ctx, client, address, spec)
		},
		Status: func(ctx context.Context, address, organisation, id string) (JobStatus, error) {
			reply, err := askJob(ctx, client, http.MethodGet, address, organisation, id)
			return JobStatus{State: reply.State, Final: jobFinals[reply.State], Finished: reply.State == jobFinished}, err
		},
		Result: func(ctx context.Context, address, organisation, id string) ([]byte, error) {
			content, err := sendJob(ctx, client, http.MethodGet, jobURL(address, organisation, id)+"/result", nil, "")
			return content, err
		},
		Cancel: func(ctx context.Context, address, organisation, id string) error {
			_, err := askJob(ctx, client, http.MethodDelete, address, organisation, id)
			return err
		},
	}
}

func submitJob(ctx context.Context, client *http.Client, address string, spec JobSpec) (string, bool, error) {
	body, err := json.Marshal(submission{
		Queue: spec.Queue, Team: spec.Team, Program: spec.Program, Cores: spec.Cores, MemoryBytes: spec.MemoryBytes,
		Idempotent: spec.Idempotent, Urgent: spec.Urgent,
	})
	if err != nil {
		return "", false, err
	}
	content, err := sendJob(ctx, client, http.MethodPost, jobURL(address, organisationOf(spec.Queue), ""), body, spec.Key)
	if err != nil {
		return "", false, err
	}
	var reply jobReply
	err = json.Unmarshal(content, &reply)
	return reply.ID, err == nil && reply.ID != "", err
}

func askJob(ctx context.Context, client *http.Client, method, address, organisation, id string) (jobReply, error) {
	var reply jobReply
	content, err := sendJob(ctx, client, method, jobURL(address, organisation, id), nil, "")
	if err != nil {
		return reply, err
	}
	return reply, json.Unmarshal(content, &reply)
}

func jobURL(address, organisation, id string) string {
	url := "http://" + address + "/jobs/" + organisation
	if id != "" {
		url += "/" + id
	}
	return url
}

// sendJob sends one request and reads the whole answer.
func sendJob(ctx context.Context, client *http.Client, method, url string, body []byte, key string) ([]byte, error) {
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
		var reply jobReply
		_ = json.Unmarshal(content, &reply)
		err = errRefusedJob{status: response.StatusCode, detail: reply.Detail}
	}
	return content, err
}

// wrongResult tells in what a result differs from the job's own, or "".
func wrongResult(content []byte, id string, size int) string {
	if bytes.Equal(content, standin.Answer(id, size)) {
		return ""
	}
	line, _, _ := bytes.Cut(content, []byte("\n"))
	return fmt.Sprintf("%d bytes, beginning with %.60q", len(content), line)
}
