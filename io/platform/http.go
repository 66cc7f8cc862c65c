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
	// idleTimeout closes connections that were not used for so long.
	idleTimeout = 60 * time.Second
	// dialTimeout bounds the time to connect to the platform.
	dialTimeout = 2 * time.Second
)

// NewHTTPClient returns the platform whose services answer JSON over HTTP at
// address, "ip:port". A nil client stands for one with a small pool of connections.
//
// The errors keep their types over the wire. A call that failed before its
// request was handed to a connection, or that the service answered with 503, is
// ErrUnavailable; a write that failed later is ErrOutcomeUnknown.
func NewHTTPClient(address string, client *http.Client) Services {
	if client == nil {
		client = &http.Client{Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
			MaxIdleConnsPerHost: maxIdleConnections,
			IdleConnTimeout:     idleTimeout,
		}}
	}
	c := wireClient{base: "http://" + address, client: client}
	return Services{Table: c.table(), Objects: c.objects(), Hosts: c.hosts(), Workers: c.workers()}
}

type wireClient struct {
	base   string
	client *http.Client
}

// call names one kind of call: its service, its path and whether it changes anything.
type call struct {
	service string
	path    string
	write   bool
}

func (c wireClient) table() Table {
	commit := call{"table", pathCommit, true}
	read := call{"table", pathRead, false}
	scan := call{"table", pathScan, false}
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

func (c wireClient) objects() ObjectStore {
	put := call{"object store", pathObjectPut, true}
	get := call{"object store", pathObjectGet, false}
	remove := call{"object store", pathObjectDelete, true}
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

func (c wireClient) hosts() Hosts {
	list := call{"list of hosts", pathHosts, false}
	return Hosts{
		List: func(ctx context.Context) ([]HostInfo, error) {
			var reply listReply
			err := c.do(ctx, list, struct{}{}, &reply)
			return reply.Hosts, err
		},
		Drain: func(ctx context.Context, id host.ID) error {
			return c.do(ctx, call{"pool operations", pathDrain, true}, hostRequest{Host: id}, nil)
		},
		Undrain: func(ctx context.Context, id host.ID) error {
			return c.do(ctx, call{"pool operations", pathUndrain, true}, hostRequest{Host: id}, nil)
		},
		Reboot: func(ctx context.Context, id host.ID, operation string) error {
			return c.do(ctx, call{"pool operations", pathReboot, true}, hostRequest{Host: id, Operation: operation}, nil)
		},
	}
}

func (c wireClient) workers() Workers {
	order := func(ctx context.Context, path string, request taskRequest) error {
		return c.do(ctx, call{"workers", path, true}, request, nil)
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
			err := c.do(ctx, call{"workers", pathTasks, false}, taskRequest{Host: id}, &reply)
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

// do sends one call and decodes its answer into reply, unless that is nil.
func (c wireClient) do(ctx context.Context, what call, request, reply any) error {
	content, err := json.Marshal(request)
	if err != nil {
		return ErrInvalid{Service: what.service, Reason: err.Error()}
	}
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, defaultTimeout)
		defer cancel()
	}
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	status, body, err := c.post(httptrace.WithClientTrace(ctx, trace), what.path, content)
	if err != nil {
		return lost(what, connected.Load(), err)
	}
	if status != http.StatusOK {
		return settle(what, decodeFault(what.service, status, body))
	}
	if reply == nil {
		return nil
	}
	if err := json.Unmarshal(body, reply); err != nil {
		return lost(what, true, err)
	}
	return nil
}

func (c wireClient) post(ctx context.Context, path string, content []byte) (int, []byte, error) {
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

// lost returns the error of a call without an answer.
func lost(what call, connected bool, err error) error {
	if what.write && connected {
		return ErrOutcomeUnknown{Service: what.service, Reason: err.Error()}
	}
	return ErrUnavailable{Service: what.service, Reason: err.Error()}
}

// settle turns an open outcome of a read into ErrUnavailable, for a read has no effect.
func settle(what call, err error) error {
	var unknown ErrOutcomeUnknown
	if !what.write && errors.As(err, &unknown) {
		return ErrUnavailable{Service: unknown.Service, Reason: unknown.Reason}
	}
	return err
}
