package platform

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
)

// maxRequestBytes bounds the body of one request.
const maxRequestBytes = 64 << 20

// NewHandler returns a handler that serves s in the wire format of NewHTTPClient.
// If the outcome of a call is unknown, it closes the connection without a response.
func NewHandler(s Services) *http.ServeMux {
	mux := http.NewServeMux()
	handleTable(mux, s.Table)
	handleObjects(mux, s.Objects)
	handleHosts(mux, s.Hosts)
	handleWorkers(mux, s.Workers)
	return mux
}

func handleTable(mux *http.ServeMux, t Table) {
	handle(mux, pathCommit, func(ctx context.Context, r commitRequest) (emptyReply, error) {
		tx := r.Transaction
		tx.Purpose = r.Purpose
		return emptyReply{}, t.Commit(ctx, tx)
	})
	handle(mux, pathRead, func(ctx context.Context, r readRequest) (rowsReply, error) {
		rows, err := t.Read(ctx, r.Keys)
		return rowsReply{rows}, err
	})
	handle(mux, pathScan, func(ctx context.Context, r scanRequest) (rowsReply, error) {
		rows, err := t.Scan(ctx, r.Prefix, r.After, r.Limit)
		return rowsReply{rows}, err
	})
}

func handleObjects(mux *http.ServeMux, o ObjectStore) {
	handle(mux, pathObjectPut, func(ctx context.Context, r objectRequest) (emptyReply, error) {
		return emptyReply{}, o.Put(ctx, r.Name, r.Content)
	})
	handle(mux, pathObjectGet, func(ctx context.Context, r objectRequest) (objectReply, error) {
		content, err := o.Get(ctx, r.Name)
		return objectReply{content}, err
	})
	handle(mux, pathObjectDelete, func(ctx context.Context, r objectRequest) (emptyReply, error) {
		return emptyReply{}, o.Delete(ctx, r.Name)
	})
}

func handleHosts(mux *http.ServeMux, h Hosts) {
	handle(mux, pathHosts, func(ctx context.Context, _ emptyReply) (listReply, error) {
		hosts, err := h.List(ctx)
		return listReply{hosts}, err
	})
	handle(mux, pathDrain, func(ctx context.Context, r hostRequest) (emptyReply, error) {
		return emptyReply{}, h.Drain(ctx, r.Host)
	})
	handle(mux, pathUndrain, func(ctx context.Context, r hostRequest) (emptyReply, error) {
		return emptyReply{}, h.Undrain(ctx, r.Host)
	})
	handle(mux, pathReboot, func(ctx context.Context, r hostRequest) (emptyReply, error) {
		return emptyReply{}, h.Reboot(ctx, r.Host, r.Operation)
	})
}

func handleWorkers(mux *http.ServeMux, w Workers) {
	handle(mux, pathTasks, func(ctx context.Context, r taskRequest) (tasksReply, error) {
		tasks, err := w.ListTasks(ctx, r.Host)
		return tasksReply{tasks}, err
	})
	handleTaskOrder(mux, pathStart, func(ctx context.Context, r taskRequest) error {
		return w.StartTask(ctx, r.Host, valueOrZero(r.Spec))
	})
	handleTaskOrder(mux, pathRenew, func(ctx context.Context, r taskRequest) error {
		return w.RenewLeases(ctx, r.Host, valueOrZero(r.Lease))
	})
	handleTaskOrder(mux, pathCheckpoint, func(ctx context.Context, r taskRequest) error {
		return w.CheckpointTask(ctx, r.Host, valueOrZero(r.Command))
	})
	handleTaskOrder(mux, pathThrottle, func(ctx context.Context, r taskRequest) error {
		return w.ThrottleTask(ctx, r.Host, valueOrZero(r.Command), r.Share)
	})
	handleTaskOrder(mux, pathStop, func(ctx context.Context, r taskRequest) error {
		return w.StopTask(ctx, r.Host, valueOrZero(r.Command))
	})
}

func valueOrZero[T any](value *T) T {
	if value == nil {
		var zero T
		return zero
	}
	return *value
}

// handleTaskOrder registers a call of a worker that returns no data.
func handleTaskOrder(mux *http.ServeMux, path string, call func(context.Context, taskRequest) error) {
	handle(mux, path, func(ctx context.Context, r taskRequest) (emptyReply, error) {
		return emptyReply{}, call(ctx, r)
	})
}

// handle registers a handler that decodes a request, passes it to call and encodes the reply or the error.
func handle[Request, Reply any](mux *http.ServeMux, path string, call func(context.Context, Request) (Reply, error)) {
	mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
		var request Request
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(&request); err != nil {
			writeJSON(w, http.StatusBadRequest, wireError{Kind: errorKindInvalid, Reason: err.Error()})
			return
		}
		reply, err := call(r.Context(), request)
		if err == nil {
			writeJSON(w, http.StatusOK, reply)
			return
		}
		var unknown ErrOutcomeUnknown
		if errors.As(err, &unknown) {
			panic(http.ErrAbortHandler)
		}
		status, body := encodeError(err)
		writeJSON(w, status, body)
	})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	content, err := json.Marshal(body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(content)
}
