package jobs

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"siskincross/core/job"
)

// Client is a client of the job API of one entry host. A Client with only Address set is ready to use.
type Client struct {
	// Address is the "ip:port" of an entry host.
	Address string
	// HTTP sends the requests. The default is http.DefaultClient.
	HTTP *http.Client
}

// ErrProblem is returned when an entry host answered with an error status.
type ErrProblem struct {
	Status int
	// Outcome is "not-run" if the request had no effect and "unknown" if it may have had one.
	Outcome string
	Detail  string
}

// Error implements error.
func (e ErrProblem) Error() string {
	return fmt.Sprintf("%s (status %d, outcome %s)", e.Detail, e.Status, e.Outcome)
}

// Submit submits a job. Repeated calls with the same non-empty key return the same job.
func (c Client) Submit(ctx context.Context, organisation string, s Submission, key string) (job.Job, error) {
	var j job.Job
	header := http.Header{}
	if key != "" {
		header.Set(idempotencyKeyHeader, key)
	}
	err := c.call(ctx, http.MethodPost, jobsPath(organisation), header, encodeJSON(s), &j)
	return j, err
}

// Get returns a job.
func (c Client) Get(ctx context.Context, organisation string, id job.ID) (job.Job, error) {
	var j job.Job
	err := c.call(ctx, http.MethodGet, jobsPath(organisation, string(id)), nil, nil, &j)
	return j, err
}

// List returns a page of jobs. after is the After field of the previous page.
func (c Client) List(ctx context.Context, organisation, after string, limit int) (Page, error) {
	var page Page
	query := url.Values{"after": {after}, "limit": {strconv.Itoa(limit)}}
	err := c.call(ctx, http.MethodGet, jobsPath(organisation)+"?"+query.Encode(), nil, nil, &page)
	return page, err
}

// Cancel requests the cancellation of a job and returns the job in its state after the request.
func (c Client) Cancel(ctx context.Context, organisation string, id job.ID) (job.Job, error) {
	var j job.Job
	err := c.call(ctx, http.MethodDelete, jobsPath(organisation, string(id)), nil, nil, &j)
	return j, err
}

// Release queues a parked job again and returns the job in its state after the request.
func (c Client) Release(ctx context.Context, organisation string, id job.ID) (job.Job, error) {
	var j job.Job
	err := c.call(ctx, http.MethodPost, jobsPath(organisation, string(id), "release"), nil, nil, &j)
	return j, err
}

// Result returns the result of a finished job after verifying its digest.
func (c Client) Result(ctx context.Context, organisation string, id job.ID) ([]byte, error) {
	header, content, err := c.send(ctx, http.MethodGet, jobsPath(organisation, string(id), "result"), nil, nil)
	if err != nil {
		return nil, err
	}
	sum := sha256.Sum256(content)
	want := strings.TrimPrefix(header.Get(digestHeader), "sha-256=")
	if hex.EncodeToString(sum[:]) != want {
		return nil, ErrDigestMismatch{Object: string(id)}
	}
	return content, nil
}

func jobsPath(parts ...string) string {
	path := "/jobs"
	for _, part := range parts {
		path += "/" + url.PathEscape(part)
	}
	return path
}

func (c Client) call(ctx context.Context, method, path string, header http.Header, body []byte, result any) error {
	_, content, err := c.send(ctx, method, path, header, body)
	if err != nil {
		return err
	}
	return errors.Wrapf(json.Unmarshal(content, result), "decode response of %s", c.Address)
}

// send sends a request and reads the whole response. It returns the header and the body of the response.
func (c Client) send(ctx context.Context, method, path string, header http.Header, body []byte) (http.Header, []byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.Address+path, bytes.NewReader(body))
	if err != nil {
		return nil, nil, errors.Wrap(err, "request")
	}
	if header != nil {
		request.Header = header
	}
	client := c.HTTP
	if client == nil {
		client = http.DefaultClient
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, nil, errors.Wrapf(err, "call %s", c.Address)
	}
	defer response.Body.Close() //nolint:errcheck // The body was read to its end or the response is dropped.
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, nil, errors.Wrapf(err, "read response of %s", c.Address)
	}
	if response.StatusCode >= http.StatusBadRequest {
		var p Problem
		if json.Unmarshal(content, &p) != nil {
			p.Detail = string(content)
		}
		return nil, nil, ErrProblem{Status: response.StatusCode, Outcome: response.Header.Get(outcomeHeader), Detail: p.Detail}
	}
	return response.Header, content, nil
}
