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

// Client calls the job API of one entry host. A zero Client with Address set works.
type Client struct {
	// Address is "ip:port" of an entry host.
	Address string
	// HTTP sends the requests; nil means http.DefaultClient.
	HTTP *http.Client
}

// ErrProblem is returned when an entry host refused a request.
type ErrProblem struct {
	Status int
	// Outcome is "not-run" if the request had no effect, "unknown" if it may have had.
	Outcome string
	Detail  string
}

// Error implements error.
func (e ErrProblem) Error() string {
	return fmt.Sprintf("%s (status %d, outcome %s)", e.Detail, e.Status, e.Outcome)
}

// Submit submits a job. With a key, repeating the call returns the same job.
func (c Client) Submit(ctx context.Context, organisation string, s Submission, key string) (job.Job, error) {
	var j job.Job
	header := http.Header{}
	if key != "" {
		header.Set(keyHeader, key)
	}
	err := c.call(ctx, http.MethodPost, jobsPath(organisation), header, encode(s), &j)
	return j, err
}

// Get returns a job.
func (c Client) Get(ctx context.Context, organisation string, id job.ID) (job.Job, error) {
	var j job.Job
	err := c.call(ctx, http.MethodGet, jobsPath(organisation, string(id)), nil, nil, &j)
	return j, err
}

// List returns a page of jobs; after is Page.After of the page before it.
func (c Client) List(ctx context.Context, organisation, after string, limit int) (Page, error) {
	var page Page
	query := url.Values{"after": {after}, "limit": {strconv.Itoa(limit)}}
	err := c.call(ctx, http.MethodGet, jobsPath(organisation)+"?"+query.Encode(), nil, nil, &page)
	return page, err
}

// Cancel asks a job to end and returns it as it then stands.
func (c Client) Cancel(ctx context.Context, organisation string, id job.ID) (job.Job, error) {
	var j job.Job
	err := c.call(ctx, http.MethodDelete, jobsPath(organisation, string(id)), nil, nil, &j)
	return j, err
}

// Release tries a parked job again and returns it as it then stands.
func (c Client) Release(ctx context.Context, organisation string, id job.ID) (job.Job, error) {
	var j job.Job
	err := c.call(ctx, http.MethodPost, jobsPath(organisation, string(id), "release"), nil, nil, &j)
	return j, err
}

// Result returns a finished job's whole result. It checks the digest once more.
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
	return errors.Wrapf(json.Unmarshal(content, result), "answer of %s", c.Address)
}

// send sends one request and reads the whole answer. It returns the answer's header and body.
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
	defer response.Body.Close() //nolint:errcheck // The body was read to its end or the answer is dropped.
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, nil, errors.Wrapf(err, "answer of %s", c.Address)
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
