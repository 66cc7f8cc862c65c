package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Bounds of workers, as in the settings file.
const (
	maxHold     = 6 * time.Second
	stopTime    = 100 * time.Millisecond
	heartbeat   = 1500 * time.Millisecond
	maxEnds     = 500
	workerCPU   = 64000
	workerMemMb = 131072
)

// amounts is what a worker offers or a task takes.
type amounts struct {
	CPU   int `json:"cpu"`
	MemMb int `json:"memMb"`
	GPU   int `json:"gpu"`
}

// taskSpec is how long the tasks of a job run, and what each takes. Requesters choose the text of a specification; these put it there.
type taskSpec struct {
	Ms    int `json:"ms"`
	CPU   int `json:"cpu"`
	MemMb int `json:"memMb"`
}

// activeRun is a run on a worker.
type activeRun struct {
	task    string
	attempt int
	spec    taskSpec
	started time.Time
	endsAt  time.Time
	how     string
}

// end is the end of a run.
type end struct {
	number  uint64
	task    string
	attempt int
	how     string
}

// worker is one life of a worker.
type worker struct {
	id, service, host, rack, kind, address string
	born                                   time.Time
	store                                  *store
	record                                 *record
	listener                               net.Listener
	server                                 *http.Server
	stop                                   context.CancelFunc

	mu       sync.Mutex
	active   map[string]*activeRun
	highest  map[string]int
	ends     []end
	count    uint64
	acked    uint64
	fence    uint64
	deadline time.Duration
	// written is when the last check-in was written.
	written time.Time
	changed chan struct{}
	// dark is set once the worker has crashed.
	dark bool
	// fault, if it is set, may answer a call in place of the worker and then returns true.
	fault func(w http.ResponseWriter, r *http.Request, serve func(http.ResponseWriter)) bool
}

// startWorkerAt starts a life of a worker at an address; port 0 stands for any.
func startWorkerAt(s *store, rec *record, address, id, service, host, rack, kind string) (*worker, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	w := &worker{
		id: id, service: service, host: host, rack: rack, kind: kind, address: l.Addr().String(), born: time.Now(), store: s, record: rec, listener: l, stop: stop,
		active: make(map[string]*activeRun), highest: make(map[string]int), changed: make(chan struct{}),
	}
	w.server = &http.Server{Handler: w, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = w.server.Serve(l) }()
	go w.run(ctx)
	return w, nil
}

func (w *worker) clock() time.Duration { return time.Since(w.born) }

// run writes check-ins and lets runs end until ctx is done.
func (w *worker) run(ctx context.Context) {
	tick := time.NewTicker(5 * time.Millisecond)
	defer tick.Stop()
	var sequence int
	for {
		if sequence == 0 || time.Since(w.written) >= heartbeat {
			sequence++
			w.mu.Lock()
			w.written = time.Now()
			w.mu.Unlock()
			w.store.put("servers", w.id, map[string]any{
				"service": w.service, "address": w.address, "zone": "z1", "version": "v1", "slots": 8, "state": "ready", "coldLeftMs": 0,
				"capacity": amounts{CPU: workerCPU, MemMb: workerMemMb}, "labels": []string{w.kind, w.rack}, "clockMs": w.clock().Milliseconds(), "seqNo": sequence, "born": w.born.UnixMilli(),
			})
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		w.mu.Lock()
		now := time.Now()
		lapsed := w.clock() > w.deadline
		for _, r := range w.active {
			switch {
			case lapsed:
				w.end(r, "lapsed")
			case r.how != "" && now.After(r.endsAt):
				w.end(r, r.how)
			}
		}
		w.mu.Unlock()
	}
}

// end ends a run. The caller holds the lock.
func (w *worker) end(r *activeRun, how string) {
	w.count++
	delete(w.active, r.task)
	w.highest[r.task] = max(w.highest[r.task], r.attempt)
	w.ends = append(w.ends, end{w.count, r.task, r.attempt, how})
	w.record.add(event{Kind: "end", Task: r.task, Attempt: r.attempt, Worker: w.id, Detail: how})
	close(w.changed)
	w.changed = make(chan struct{})
}

// unacked returns the number of ends that nobody has taken note of.
func (w *worker) unacked() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.ends)
}

// isDark reports whether the worker has crashed and doesn't answer.
func (w *worker) isDark() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dark
}

// running returns the number of runs.
func (w *worker) running() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.active)
}

func (w *worker) room() amounts {
	free := amounts{CPU: workerCPU, MemMb: workerMemMb}
	for _, r := range w.active {
		free.CPU -= r.spec.CPU
		free.MemMb -= r.spec.MemMb
	}
	return free
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	fault := w.fault
	w.mu.Unlock()
	if fault != nil && fault(out, r, func(o http.ResponseWriter) { w.serve(o, r) }) {
		return
	}
	w.serve(out, r)
}

func (w *worker) serve(out http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != w.id {
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var order struct {
		Task         string `json:"task"`
		Attempt      int    `json:"attempt"`
		Spec         string `json:"spec"`
		DeadlineMs   int64  `json:"deadlineMs"`
		FencingToken uint64 `json:"fencingToken"`
		AckCursor    uint64 `json:"ackCursor"`
		WaitMs       int64  `json:"waitMs"`
	}
	if r.URL.Path == "/health" {
		out.WriteHeader(http.StatusOK)
		return
	}
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if order.FencingToken < w.fence {
		w.refuse(out, "fence")
		return
	}
	w.fence = order.FencingToken
	switch r.URL.Path {
	case "/run-start":
		w.serveStart(out, order.Task, order.Attempt, order.Spec, order.DeadlineMs)
	case "/run-stop":
		w.highest[order.Task] = max(w.highest[order.Task], order.Attempt)
		if a := w.active[order.Task]; a != nil && a.attempt <= order.Attempt && a.how != "stopped" {
			a.how, a.endsAt = "stopped", time.Now().Add(stopTime)
			w.record.add(event{Kind: "stop", Task: a.task, Attempt: a.attempt, Worker: w.id})
		}
		respond(out, http.StatusOK, w.head())
	case "/pace":
		respond(out, http.StatusOK, w.head())
	case "/hold":
		w.extend(order.DeadlineMs)
		if order.AckCursor > w.acked {
			w.acked = order.AckCursor
			w.ends = slices.DeleteFunc(w.ends, func(e end) bool { return e.number <= w.acked })
		}
		if len(w.ends) == 0 && order.WaitMs > 0 {
			changed := w.changed
			w.mu.Unlock()
			select {
			case <-changed:
			case <-time.After(time.Duration(min(order.WaitMs, 2000)) * time.Millisecond):
			case <-r.Context().Done():
			}
			if w.isDark() {
				<-r.Context().Done()
			}
			w.mu.Lock()
		}
		w.list(out)
	default:
		out.WriteHeader(http.StatusNotFound)
	}
}

func (w *worker) head() map[string]any {
	return map[string]any{"clockMs": w.clock().Milliseconds(), "born": w.born.UnixMilli()}
}

func (w *worker) refuse(out http.ResponseWriter, reason string) {
	body := w.head()
	body["reason"] = reason
	respond(out, http.StatusConflict, body)
}

// extend extends the lease of everything that runs. The caller holds the lock.
func (w *worker) extend(deadlineMs int64) {
	until := min(time.Duration(deadlineMs)*time.Millisecond, w.clock()+maxHold)
	w.deadline = max(w.deadline, until)
}

func (w *worker) serveStart(out http.ResponseWriter, task string, attempt int, spec string, deadlineMs int64) {
	if a := w.active[task]; a != nil && a.attempt == attempt {
		w.extend(deadlineMs)
		respond(out, http.StatusOK, w.head())
		return
	}
	var s taskSpec
	switch deadline := time.Duration(deadlineMs) * time.Millisecond; {
	case deadline <= w.clock():
		w.refuse(out, "late")
		return
	case w.highest[task] >= attempt:
		w.extend(deadlineMs)
		w.refuse(out, "old")
		return
	case json.Unmarshal([]byte(spec), &s) != nil:
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	if free := w.room(); free.CPU < s.CPU || free.MemMb < s.MemMb || w.active[task] != nil {
		w.extend(deadlineMs)
		w.refuse(out, "room")
		return
	}
	w.extend(deadlineMs)
	run := &activeRun{task: task, attempt: attempt, spec: s, started: time.Now(), how: "done", endsAt: time.Now().Add(time.Duration(s.Ms) * time.Millisecond)}
	w.active[task] = run
	w.record.add(event{Kind: "start", Task: task, Attempt: attempt, Worker: w.id})
	respond(out, http.StatusOK, w.head())
}

// list answers with what runs and what has ended. The caller holds the lock.
func (w *worker) list(out http.ResponseWriter) {
	active, ended := [][]any{}, [][]any{}
	for _, r := range w.active {
		active = append(active, []any{r.task, r.attempt, "", 100, r.spec.CPU})
	}
	for _, e := range w.ends[:min(len(w.ends), maxEnds)] {
		ended = append(ended, []any{e.number, e.task, e.attempt, e.how, ""})
	}
	body := w.head()
	body["active"], body["finished"] = active, ended
	respond(out, http.StatusOK, body)
}

// stepOf returns the job and the step of a task's name.
func stepOf(task string) (job string, step int) {
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return task, 0
	}
	step, _ = strconv.Atoi(parts[2])
	return parts[0], step
}

func workerName(i int) string { return fmt.Sprintf("i-%08x", 0x51c0de+i*7919) }
