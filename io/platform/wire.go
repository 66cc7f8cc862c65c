package platform

import (
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"siskincross/core/host"
)

// wireError is the encoding of this package's errors. It has the fields of all of them.
type wireError struct {
	Kind     string `json:"kind"`
	Service  string `json:"service,omitempty"`
	Reason   string `json:"reason,omitempty"`
	Key      string `json:"key,omitempty"`
	Expected uint64 `json:"expected,omitempty"`
	Actual   uint64 `json:"actual,omitempty"`
	Host     string `json:"host,omitempty"`
}

// Values of wireError.Kind.
const (
	errorKindConflict    = "conflict"
	errorKindUnavailable = "unavailable"
	errorKindUnknown     = "outcome-unknown"
	errorKindNotFound    = "not-found"
	errorKindRefused     = "refused"
	errorKindStaleEpoch  = "stale-epoch"
	errorKindInvalid     = "invalid"
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

// Bodies of responses.
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

// commitRequest is a Transaction with its purpose, by which the service counts transactions.
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

// encodeError returns the HTTP status and the body of a response that carries err.
func encodeError(err error) (int, wireError) {
	var conflict ErrConflict
	var unavailable ErrUnavailable
	var outcomeUnknown ErrOutcomeUnknown
	var notFound ErrNotFound
	var refused ErrRefused
	var stale ErrStaleEpoch
	switch {
	case errors.As(err, &conflict):
		return http.StatusConflict, wireError{Kind: errorKindConflict, Key: conflict.Key, Expected: conflict.Expected, Actual: conflict.Actual}
	case errors.As(err, &unavailable):
		return http.StatusServiceUnavailable, wireError{Kind: errorKindUnavailable, Service: unavailable.Service, Reason: unavailable.Reason}
	case errors.As(err, &outcomeUnknown):
		return http.StatusInternalServerError, wireError{Kind: errorKindUnknown, Service: outcomeUnknown.Service, Reason: outcomeUnknown.Reason}
	case errors.As(err, &notFound):
		return http.StatusNotFound, wireError{Kind: errorKindNotFound, Key: notFound.Name, Service: notFound.Kind}
	case errors.As(err, &refused):
		return http.StatusUnprocessableEntity, wireError{Kind: errorKindRefused, Host: refused.Host, Reason: refused.Reason}
	case errors.As(err, &stale):
		return http.StatusConflict, wireError{Kind: errorKindStaleEpoch, Host: stale.Host, Expected: stale.Epoch, Actual: stale.Highest}
	}
	return http.StatusInternalServerError, wireError{Kind: errorKindUnknown, Reason: err.Error()}
}

// decodeError returns the error that a response carries. A response in another
// format is ErrUnavailable for status 503 and ErrOutcomeUnknown for any other.
func decodeError(service string, status int, body []byte) error {
	var decoded wireError
	if json.Unmarshal(body, &decoded) != nil {
		decoded = wireError{}
	}
	switch decoded.Kind {
	case errorKindConflict:
		return ErrConflict{Key: decoded.Key, Expected: decoded.Expected, Actual: decoded.Actual}
	case errorKindUnavailable:
		return ErrUnavailable{Service: decoded.Service, Reason: decoded.Reason}
	case errorKindNotFound:
		return ErrNotFound{Kind: decoded.Service, Name: decoded.Key}
	case errorKindRefused:
		return ErrRefused{Host: decoded.Host, Reason: decoded.Reason}
	case errorKindStaleEpoch:
		return ErrStaleEpoch{Host: decoded.Host, Epoch: decoded.Expected, Highest: decoded.Actual}
	case errorKindInvalid:
		return ErrInvalid{Service: service, Reason: decoded.Reason}
	}
	if status == http.StatusServiceUnavailable {
		return ErrUnavailable{Service: service, Reason: http.StatusText(status)}
	}
	return ErrOutcomeUnknown{Service: service, Reason: http.StatusText(status) + " " + decoded.Reason}
}
