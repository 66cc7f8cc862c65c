package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"siskincross/core/host"
)

const (
	// maxIdleConnections bounds the idle connections that one process keeps to the platform.
	maxIdleConnections = 32
	// idleTimeout is how long an unused connection stays open.
	idleTimeout = 60 * time.Second
	// dialTimeout bounds the opening of a connection to the platform.
	dialTimeout = 2 * time.Second
)

// NewHTTPClient returns the services of the platform that serves JSON over HTTP at
// address, "ip:port". A nil client means one with a small connection pool.
//
// Errors of the services keep their types over the wire. A call that failed before
// a connection was available, or that got status 503, returns ErrUnavailable. A
// write that failed later returns ErrOutcomeUnknown.
func NewHTTPClient(address string, client *http.Client) Services {
	if client == nil {
		client = &http.Client{Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
			MaxIdleConnsPerHost: maxIdleConnections,
			IdleConnTimeout:     idleTimeout,
		}}
	}
	c := httpClient{base: "http://" + address, client: client}
	return Services{Table: c.table(), Objects: c.objects(), Hosts: c.hosts(), Workers: c.workers()}
}

// httpClient sends the calls of all services to one address.
type httpClient struct {
	base   string
	client *http.Client
}

// callSpec describes a kind of call: its service, its path and whether it has an effect.
type callSpec struct {
	service string
	path    string
	write   bool
}

func (c httpClient) table() Table {
	commit := callSpec{"table", pathCommit, true}
	read := callSpec{"table", pathRead, false}
	scan := callSpec{"table", pathScan, false}
	return Table{
		Commit: func(ctx context.Context, tx Transaction) error {
			return c.do(ctx, commit, commitRequest{Transaction: tx, Purpose: tx.Purpose}, nil)
		},
		Read: func(ctx context.Context, keys []string) ([]Row, error) {
			var reply rowsReply
			err := c.do(ctx, read, readRequest{Keys: keys}, &reply)
			return reply.Rows, err
		},
		Scan: func(ctx context.Context, prefix, after string, limit int) ([]Row, error) {
			var reply rowsReply
			err := c.do(ctx, scan, scanRequest{Prefix: prefix, After: after, Limit: limit}, &reply)
			return reply.Rows, err
		},
	}
}

func (c httpClient) objects() ObjectStore {
	put := callSpec{"object store", pathObjectPut, true}
	get := callSpec{"object store", pathObjectGet, false}
	remove := callSpec{"object store", pathObjectDelete, true}
	return ObjectStore{
		Put: func(ctx context.Context, name string, content []byte) error {
			return c.do(ctx, put, objectRequest{Name: name, Content: content}, nil)
		},
		Get: func(ctx context.Context, name string) ([]byte, error) {
			var reply objectReply
			err := c.do(ctx, get, objectRequest{Name: name}, &reply)
			return reply.Content, err
		},
		Delete: func(ctx context.Context, name string) error {
			return c.do(ctx, remove, objectRequest{Name: name}, nil)
		},
	}
}

func (c httpClient) hosts() Hosts {
	list := callSpec{"list of hosts", pathHosts, false}
	return Hosts{
		List: func(ctx context.Context) ([]HostInfo, error) {
			var reply listReply
			err := c.do(ctx, list, struct{}{}, &reply)
			return reply.Hosts, err
		},
		Drain: func(ctx context.Context, id host.ID) error {
			return c.do(ctx, callSpec{"pool operations", pathDrain, true}, hostRequest{Host: id}, nil)
		},
		Undrain: func(ctx context.Context, id host.ID) error {
			return c.do(ctx, callSpec{"pool operations", pathUndrain, true}, hostRequest{Host: id}, nil)
		},
		Reboot: func(ctx context.Context, id host.ID, operation string) error {
			return c.do(ctx, callSpec{"pool operations", pathReboot, true}, hostRequest{Host: id, Operation: operation}, nil)
		},
	}
}

func (c httpClient) workers() Workers {
	order := func(ctx context.Context, path string, request taskRequest) error {
		return c.do(ctx, callSpec{"workers", path, true}, request, nil)
	}
	return Workers{
		StartTask: func(ctx context.Context, id host.ID, spec TaskSpec) error {
			return order(ctx, pathStart, taskRequest{Host: id, Spec: &spec})
		},
		RenewLeases: func(ctx context.Context, id host.ID, lease LeaseRenewal) error {
			return order(ctx, pathRenew, taskRequest{Host: id, Lease: &lease})
		},
		ListTasks: func(ctx context.Context, id host.ID) ([]TaskStatus, error) {
			var reply tasksReply
			err := c.do(ctx, callSpec{"workers", pathTasks, false}, taskRequest{Host: id}, &reply)
			return reply.Tasks, err
		},
		CheckpointTask: func(ctx context.Context, id host.ID, command TaskCommand) error {
			return order(ctx, pathCheckpoint, taskRequest{Host: id, Command: &command})
		},
		ThrottleTask: func(ctx context.Context, id host.ID, command TaskCommand, share float64) error {
			return order(ctx, pathThrottle, taskRequest{Host: id, Command: &command, Share: share})
		},
		StopTask: func(ctx context.Context, id host.ID, command TaskCommand) error {
			return order(ctx, pathStop, taskRequest{Host: id, Command: &command})
		},
	}
}

// do sends one call and decodes its response into reply, unless that is nil.
func (c httpClient) do(ctx context.Context, spec callSpec, request, reply any) error {
	content, err := json.Marshal(request)
	if err != nil {
		return ErrInvalid{Service: spec.service, Reason: err.Error()}
	}
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, defaultTimeout)
		defer cancel()
	}
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	status, body, err := c.post(httptrace.WithClientTrace(ctx, trace), spec.path, content)
	if err != nil {
		return callError(spec, connected.Load(), err)
	}
	if status != http.StatusOK {
		return resolveReadError(spec, decodeError(spec.service, status, body))
	}
	if reply == nil {
		return nil
	}
	if err := json.Unmarshal(body, reply); err != nil {
		return callError(spec, true, err)
	}
	return nil
}

func (c httpClient) post(ctx context.Context, path string, content []byte) (int, []byte, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+path, bytes.NewReader(content))
	if err != nil {
		return 0, nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.client.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, body, err
}

// callError returns the error of a call without a response. connected is whether the request may have been sent.
func callError(spec callSpec, connected bool, err error) error {
	if spec.write && connected {
		return ErrOutcomeUnknown{Service: spec.service, Reason: err.Error()}
	}
	return ErrUnavailable{Service: spec.service, Reason: err.Error()}
}

// resolveReadError replaces the ErrOutcomeUnknown of a read with ErrUnavailable, because a read has no effect.
func resolveReadError(spec callSpec, err error) error {
	var unknown ErrOutcomeUnknown
	if !spec.write && errors.As(err, &unknown) {
		return ErrUnavailable{Service: unknown.Service, Reason: unknown.Reason}
	}
	return err
}
