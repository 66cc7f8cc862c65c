package platform

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
)

// maxRequestBytes bounds the body of one call.
const maxRequestBytes = 64 << 20

// NewHandler serves p in the wire format that NewHTTPClient speaks. A call whose
// outcome is unknown gets no answer: its connection is cut.
func NewHandler(p Services) *http.ServeMux {
	mux := http.NewServeMux()
	handleTable(mux, p.Table)
	handleObjects(mux, p.Objects)
	handleHosts(mux, p.Hosts)
	handleWorkers(mux, p.Workers)
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
	order(mux, pathStart, func(ctx context.Context, r taskRequest) error {
		return w.StartTask(ctx, r.Host, orZero(r.Spec))
	})
	order(mux, pathRenew, func(ctx context.Context, r taskRequest) error {
		return w.RenewLeases(ctx, r.Host, orZero(r.Lease))
	})
	order(mux, pathCheckpoint, func(ctx context.Context, r taskRequest) error {
		return w.CheckpointTask(ctx, r.Host, orZero(r.Command))
	})
	order(mux, pathThrottle, func(ctx context.Context, r taskRequest) error {
		return w.ThrottleTask(ctx, r.Host, orZero(r.Command), r.Share)
	})
	order(mux, pathStop, func(ctx context.Context, r taskRequest) error {
		return w.StopTask(ctx, r.Host, orZero(r.Command))
	})
}

func orZero[T any](value *T) T {
	if value == nil {
		var zero T
		return zero
	}
	return *value
}

func order(mux *http.ServeMux, path string, run func(context.Context, taskRequest) error) {
	handle(mux, path, func(ctx context.Context, r taskRequest) (emptyReply, error) {
		return emptyReply{}, run(ctx, r)
	})
}

// handle decodes the body of a call, runs it and encodes its reply or its error.
func handle[Request, Reply any](mux *http.ServeMux, path string, run func(context.Context, Request) (Reply, error)) {
	mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
		var request Request
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(&request); err != nil {
			answer(w, http.StatusBadRequest, fault{Kind: faultInvalid, Reason: err.Error()})
			return
		}
		reply, err := run(r.Context(), request)
		if err == nil {
			answer(w, http.StatusOK, reply)
			return
		}
		var unknown ErrOutcomeUnknown
		if errors.As(err, &unknown) {
			panic(http.ErrAbortHandler)
		}
		status, f := toFault(err)
		answer(w, status, f)
	})
}

func answer(w http.ResponseWriter, status int, body any) {
	content, err := json.Marshal(body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(content)
}
