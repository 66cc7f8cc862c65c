package platform

import (
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"siskincross/core/host"
)

// fault is the wire form of the errors of this package. It holds the fields of all of them.
type fault struct {
	Kind     string `json:"kind"`
	Service  string `json:"service,omitempty"`
	Reason   string `json:"reason,omitempty"`
	Key      string `json:"key,omitempty"`
	Expected uint64 `json:"expected,omitempty"`
	Actual   uint64 `json:"actual,omitempty"`
	Host     string `json:"host,omitempty"`
}

// Kinds of faults on the wire.
const (
	faultConflict    = "conflict"
	faultUnavailable = "unavailable"
	faultUnknown     = "outcome-unknown"
	faultNotFound    = "not-found"
	faultRefused     = "refused"
	faultStaleEpoch  = "stale-epoch"
	faultInvalid     = "invalid"
)

// Bodies of requests.
type (
	readRequest struct {
		Keys []string `json:"keys"`
	}
	scanRequest struct {
		Prefix string `json:"prefix"`
		After  string `json:"after,omitempty"`
		Limit  int    `json:"limit"`
	}
	hostRequest struct {
		Host      host.ID `json:"host"`
		Operation string  `json:"operation,omitempty"`
	}
	taskRequest struct {
		Host    host.ID       `json:"host"`
		Spec    *TaskSpec     `json:"spec,omitempty"`
		Lease   *LeaseRenewal `json:"lease,omitempty"`
		Command *TaskCommand  `json:"command,omitempty"`
		Share   float64       `json:"share,omitempty"`
	}
	objectRequest struct {
		Name    string `json:"name"`
		Content []byte `json:"content,omitempty"`
	}
)

// Bodies of answers.
type (
	rowsReply struct {
		Rows []Row `json:"rows"`
	}
	listReply struct {
		Hosts []HostInfo `json:"hosts"`
	}
	tasksReply struct {
		Tasks []TaskStatus `json:"tasks"`
	}
	objectReply struct {
		Content []byte `json:"content"`
	}
	emptyReply struct{}
)

// commitRequest is a Transaction with its purpose, which the service counts.
type commitRequest struct {
	Transaction
	Purpose string `json:"purpose,omitempty"`
}

// Paths of the services.
const (
	pathCommit       = "/table/commit"
	pathRead         = "/table/read"
	pathScan         = "/table/scan"
	pathObjectPut    = "/objects/put"
	pathObjectGet    = "/objects/get"
	pathObjectDelete = "/objects/delete"
	pathHosts        = "/hosts/list"
	pathDrain        = "/hosts/drain"
	pathUndrain      = "/hosts/undrain"
	pathReboot       = "/hosts/reboot"
	pathStart        = "/workers/start"
	pathRenew        = "/workers/renew"
	pathTasks        = "/workers/tasks"
	pathCheckpoint   = "/workers/checkpoint"
	pathThrottle     = "/workers/throttle"
	pathStop         = "/workers/stop"
)

// defaultTimeout bounds a call whose context has no deadline.
const defaultTimeout = 10 * time.Second

// toFault returns the status and the wire form of err.
func toFault(err error) (int, fault) {
	var conflict ErrConflict
	var unavailable ErrUnavailable
	var unknown ErrOutcomeUnknown
	var missing ErrNotFound
	var refused ErrRefused
	var stale ErrStaleEpoch
	switch {
	case errors.As(err, &conflict):
		return http.StatusConflict, fault{Kind: faultConflict, Key: conflict.Key, Expected: conflict.Expected, Actual: conflict.Actual}
	case errors.As(err, &unavailable):
		return http.StatusServiceUnavailable, fault{Kind: faultUnavailable, Service: unavailable.Service, Reason: unavailable.Reason}
	case errors.As(err, &unknown):
		return http.StatusInternalServerError, fault{Kind: faultUnknown, Service: unknown.Service, Reason: unknown.Reason}
	case errors.As(err, &missing):
		return http.StatusNotFound, fault{Kind: faultNotFound, Key: missing.Name, Service: missing.Kind}
	case errors.As(err, &refused):
		return http.StatusUnprocessableEntity, fault{Kind: faultRefused, Host: refused.Host, Reason: refused.Reason}
	case errors.As(err, &stale):
		return http.StatusConflict, fault{Kind: faultStaleEpoch, Host: stale.Host, Expected: stale.Epoch, Actual: stale.Highest}
	}
	return http.StatusInternalServerError, fault{Kind: faultUnknown, Reason: err.Error()}
}

// decodeFault returns the error that an answer carries. An answer that is no
// fault of this wire format leaves the outcome open.
func decodeFault(service string, status int, body []byte) error {
	var f fault
	if json.Unmarshal(body, &f) != nil {
		f = fault{}
	}
	switch f.Kind {
	case faultConflict:
		return ErrConflict{Key: f.Key, Expected: f.Expected, Actual: f.Actual}
	case faultUnavailable:
		return ErrUnavailable{Service: f.Service, Reason: f.Reason}
	case faultNotFound:
		return ErrNotFound{Kind: f.Service, Name: f.Key}
	case faultRefused:
		return ErrRefused{Host: f.Host, Reason: f.Reason}
	case faultStaleEpoch:
		return ErrStaleEpoch{Host: f.Host, Epoch: f.Expected, Highest: f.Actual}
	case faultInvalid:
		return ErrInvalid{Service: service, Reason: f.Reason}
	}
	if status == http.StatusServiceUnavailable {
		return ErrUnavailable{Service: service, Reason: http.StatusText(status)}
	}
	return ErrOutcomeUnknown{Service: service, Reason: http.StatusText(status) + " " + f.Reason}
}
