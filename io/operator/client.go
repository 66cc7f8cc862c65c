package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"
	"github.com/oklog/ulid/v2"

	"siskincross/core/config"
	"siskincross/core/event"
	"siskincross/io/fleet"
	"siskincross/io/jobs"
	"siskincross/io/peer"
	"siskincross/io/timeline"
)

// maxApplyAttempts is how many times Apply sends a change whose outcome is unknown.
const maxApplyAttempts = 4

// Client calls the operators' API of one entry host. Only Address is required.
type Client struct {
	// Address is the "ip:port" of an entry host's operators' listener.
	Address string
	Token   string
	// HTTP is the client that sends the requests; nil means http.DefaultClient.
	HTTP *http.Client
}

// ErrUnreachable is returned when the entry host could not be reached or its response was incomplete.
type ErrUnreachable struct {
	Address string
	Reason  string
}

// Error implements error.
func (e ErrUnreachable) Error() string {
	return fmt.Sprintf("no response from the entry host at %s: %s", e.Address, e.Reason)
}

// ErrProblem is returned when an entry host refused a request.
type ErrProblem struct {
	Problem Problem
}

// Error implements error.
func (e ErrProblem) Error() string {
	if len(e.Problem.Differences) == 0 {
		return e.Problem.Detail
	}
	return e.Problem.Detail + ":\n  " + strings.Join(e.Problem.Differences, "\n  ")
}

// Fleet returns the entry host's view of the pools and hosts.
func (c Client) Fleet(ctx context.Context) (fleet.Status, error) {
	var status fleet.Status
	return status, c.get(ctx, pathFleet, nil, &status)
}

// Jobs returns the job counts of the pools whose duty the entry host holds.
func (c Client) Jobs(ctx context.Context) (jobs.Status, error) {
	var status jobs.Status
	return status, c.get(ctx, pathJobs, nil, &status)
}

// Peers returns the entry host's connections to other entry hosts.
func (c Client) Peers(ctx context.Context) ([]peer.Peer, error) {
	var peers []peer.Peer
	return peers, c.get(ctx, pathPeers, nil, &peers)
}

// Timeline returns the matching events of all entry hosts in order.
func (c Client) Timeline(ctx context.Context, f timeline.Filter) ([]event.Event, error) {
	query := url.Values{}
	for name, value := range map[string]string{"host": f.Host, "pool": f.Pool, "job": f.Job, "request": f.Request} {
		if value != "" {
			query.Set(name, value)
		}
	}
	var events []event.Event
	return events, c.get(ctx, pathTimeline, query, &events)
}

// Current returns the configuration in force at the entry host.
func (c Client) Current(ctx context.Context) (config.Expanded, error) {
	var current config.Expanded
	return current, c.get(ctx, pathCurrent, nil, &current)
}

// Plan returns the effects of a change without committing it.
func (c Client) Plan(ctx context.Context, change Change) (Plan, error) {
	var plan Plan
	return plan, c.post(ctx, pathPlan, change, &plan)
}

// Apply commits a change. It returns ErrProblem with status 409 when a newer version than
// change.From exists. If the outcome is unknown, Apply retries with the same change ID,
// so that the change is committed at most once.
func (c Client) Apply(ctx context.Context, change Change) (AcceptedChange, error) {
	if change.ID == "" {
		change.ID = ulid.Make().String()
	}
	return backoff.Retry(ctx, func() (AcceptedChange, error) {
		var accepted AcceptedChange
		err := c.post(ctx, pathApply, change, &accepted)
		if err != nil && !isOutcomeUnknown(err) {
			return accepted, backoff.Permanent(err)
		}
		return accepted, err
	}, backoff.WithMaxTries(maxApplyAttempts))
}

// isOutcomeUnknown reports whether err leaves open if the change was committed.
func isOutcomeUnknown(err error) bool {
	var unreachable ErrUnreachable
	var problem ErrProblem
	if errors.As(err, &problem) {
		return problem.Problem.Status == http.StatusGatewayTimeout
	}
	return errors.As(err, &unreachable)
}

// Rollback commits the template and parameters of an earlier version as a new version.
func (c Client) Rollback(ctx context.Context, r Rollback) (AcceptedChange, error) {
	var accepted AcceptedChange
	return accepted, c.post(ctx, pathRollback, r, &accepted)
}

// History returns the accepted changes, newest first. An empty organisation means all.
func (c Client) History(ctx context.Context, organisation string) ([]HistoryEntry, error) {
	query := url.Values{}
	if organisation != "" {
		query.Set("organisation", organisation)
	}
	var history []HistoryEntry
	return history, c.get(ctx, pathHistory, query, &history)
}

// Show returns the template and parameters of one version.
func (c Client) Show(ctx context.Context, v config.Version) (Source, error) {
	var source Source
	return source, c.get(ctx, versionPath(pathVersion, v), nil, &source)
}

// Progress returns the roll-out progress of one version.
func (c Client) Progress(ctx context.Context, v config.Version) (Progress, error) {
	var progress Progress
	return progress, c.get(ctx, versionPath(pathProgress, v), nil, &progress)
}

// versionPath replaces the version parameter in an API path.
func versionPath(path string, v config.Version) string {
	return strings.Replace(path, "{version}", strconv.FormatUint(uint64(v), 10), 1)
}

func (c Client) get(ctx context.Context, path string, query url.Values, into any) error {
	address := url.URL{Scheme: "http", Host: c.Address, Path: path, RawQuery: query.Encode()}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address.String(), nil)
	if err != nil {
		return errors.Wrap(err, "make the request")
	}
	return c.do(request, into)
}

func (c Client) post(ctx context.Context, path string, body, into any) error {
	encoded, err := json.Marshal(body)
	if err != nil {
		return errors.Wrap(err, "encode the request")
	}
	address := url.URL{Scheme: "http", Host: c.Address, Path: path}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, address.String(), bytes.NewReader(encoded))
	if err != nil {
		return errors.Wrap(err, "make the request")
	}
	request.Header.Set("Content-Type", contentJSON)
	return c.do(request, into)
}

func (c Client) do(request *http.Request, into any) error {
	if c.Token != "" {
		request.Header.Set("Authorization", bearerPrefix+c.Token)
	}
	client := c.HTTP
	if client == nil {
		client = http.DefaultClient
	}
	response, err := client.Do(request)
	if err != nil {
		return ErrUnreachable{Address: c.Address, Reason: err.Error()}
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return ErrUnreachable{Address: c.Address, Reason: err.Error()}
	}
	if response.StatusCode != http.StatusOK {
		return problemFromResponse(response.StatusCode, content)
	}
	return errors.Wrap(json.Unmarshal(content, into), "decode the response")
}

// problemFromResponse returns the ErrProblem for a response that isn't successful. A body that is no problem
// document, such as that of a proxy, yields a problem with the status only.
func problemFromResponse(status int, content []byte) error {
	p := Problem{Status: status}
	if json.Unmarshal(content, &p) != nil || p.Detail == "" {
		p.Detail = fmt.Sprintf("the entry host responded with status %d", status)
	}
	return ErrProblem{Problem: p}
}
