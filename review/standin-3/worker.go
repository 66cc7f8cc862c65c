package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// What the stand-in workers hold to, as in the settings of the processes.
const (
	maxHoldMs     = 6000
	checkIn       = 1500 * time.Millisecond
	workerTick    = 2 * time.Millisecond
	listedEnds    = 500
	maxHoldWait   = 2000 * time.Millisecond
	stopTime      = 50 * time.Millisecond
	lastingStart  = 300 * time.Millisecond
	fullPercent   = 100
	workerAnswers = time.Millisecond
	// lateFrom and lateUntil bound the delay of a call that is carried out late.
	lateFrom  = 2 * time.Second
	lateUntil = 12 * time.Second
)

// taskWork is what the spec of a job tells the stand-in workers. Names like these mean nothing to the system.
type taskWork struct {
	// Ms is how long the tasks of each step work; zero if they last.
	Ms []int `json:"ms"`
	// FailUntilMs is the time since the start of the case until which the tasks fail soon after their start.
	FailUntilMs int64 `json:"failUntilMs,omitempty"`
	// CPU is what a task of each step takes, in thousandths of a core.
	CPU []int `json:"cpu"`
	// Gang is the number of members of a gang, for each step; zero if the step is none.
	Gang []int `json:"gang,omitempty"`
}

// run is one run of a task.
type run struct {
	task     string
	attempt  int
	number   int
	how      string
	began    time.Time
	endsAt   time.Time // zero for a task that lasts
	failsAt  time.Time // zero if it does not fail
	stopAt   time.Time
	cpu      int
	gang     int
	gathered time.Time // when all members of the gang were there
	length   time.Duration
}

// worker is a stand-in worker: it keeps leases, fence numbers, a clock and its ends as the pages say.
type worker struct {
	c       *deployment
	id      string
	address string
	labels  []string
	cpu     int

	mu       sync.Mutex
	up       bool
	server   *http.Server
	born     time.Time
	fence    uint64
	deadline int64
	active   map[string]*run
	ends     []*run
	lastEnd  int
	cursor   int
	highest  map[string]int
	signal   chan struct{}
	seq      int
	checked  time.Time
	listed   bool
	// failAll makes every task fail soon after its start.
	failAll bool
	// loses is the share of the calls that are carried out and not answered, in percent.
	loses int
	// late is the share of the calls, of a thousand, that get no answer and are carried out late.
	late int
	// left is true once the worker has left for good.
	left bool
}

// leave ends the worker for good, and its entry is removed.
func (w *worker) leave() {
	w.endLife("leaves")
	w.mu.Lock()
	defer w.mu.Unlock()
	w.left = true
	if w.listed {
		w.c.store.remove("servers", w.id)
		w.listed = false
	}
}

func (w *worker) clock() int64 { return time.Since(w.born).Milliseconds() + 1 }

// begin begins a life. It holds and knows nothing of the one before.
func (w *worker) begin() error {
	listener, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.address = listener.Addr().String()
	w.up, w.born, w.fence, w.deadline, w.lastEnd, w.cursor, w.seq = true, time.Now(), 0, 0, 0, 0, 0
	w.active, w.highest, w.ends, w.signal, w.checked = make(map[string]*run), make(map[string]int), nil, make(chan struct{}), time.Time{}
	w.server = &http.Server{Handler: w}
	go w.server.Serve(listener) //nolint:errcheck // it ends with the life
	w.c.record("worker %s begins a life at %s", w.id, w.address)
	return nil
}

// crash ends the life: what runs is gone, and nothing is sent.
func (w *worker) crash() { w.endLife("crashes") }

func (w *worker) endLife(how string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.up {
		return
	}
	w.up = false
	for _, r := range w.active {
		w.c.ended(w, r, "gone")
		if r.gang > 0 {
			go w.c.breakGang(r)
		}
	}
	w.active = make(map[string]*run)
	w.server.Close() //nolint:errcheck // connections are cut
	close(w.signal)
	w.signal = make(chan struct{})
	w.c.record("worker %s %s", w.id, how)
}

// entry returns the worker's entry in the directory.
func (w *worker) entry() []byte {
	w.seq++
	labels, _ := json.Marshal(w.labels)
	return fmt.Appendf(nil, `{"service":%q,"address":%q,"zone":"mu-a","version":"v1","slots":8,"state":"ready","coldLeftMs":0,"seqNo":%d,`+
		`"capacity":{"cpu":%d,"memMb":131072,"gpu":0},"labels":%s,"clockMs":%d,"born":%d}`,
		service, w.address, w.seq, w.cpu, labels, w.clock(), w.born.UnixMilli())
}

// tick checks in and ends what is over.
func (w *worker) tick(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.up {
		if w.listed && now.Sub(w.checked) > 3*checkIn {
			w.c.store.remove("servers", w.id)
			w.listed = false
		}
		return
	}
	if now.Sub(w.checked) >= checkIn {
		w.checked, w.listed = now, true
		w.c.store.put("servers", w.id, w.entry())
	}
	w.settle(now)
}

// settle ends what is over. The caller holds the lock.
func (w *worker) settle(now time.Time) {
	for _, name := range w.sortedTasks() {
		r := w.active[name]
		switch {
		case w.clock() > w.deadline:
			w.end(r, "lapsed")
		case !r.stopAt.IsZero() && now.After(r.stopAt):
			w.end(r, "stopped")
		case !r.failsAt.IsZero() && now.After(r.failsAt):
			w.end(r, "failed")
		case r.gang > 0 && r.gathered.IsZero():
		case !r.endsAt.IsZero() && now.After(r.endsAt):
			w.end(r, "done")
		}
	}
}

func (w *worker) sortedTasks() []string {
	names := make([]string, 0, len(w.active))
	for name := range w.active {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// end ends a run. The caller holds the lock.
func (w *worker) end(r *run, how string) {
	delete(w.active, r.task)
	w.highest[r.task] = max(w.highest[r.task], r.attempt)
	w.lastEnd++
	r.number, r.how = w.lastEnd, how
	w.c.ended(w, r, how)
	if r.gang > 0 && how != "done" && how != "broken" {
		go w.c.breakGang(r)
	}
	if r.number > w.cursor {
		w.ends = append(w.ends, r)
	}
	close(w.signal)
	w.signal = make(chan struct{})
}

// order is the body of a call.
type order struct {
	Task         string `json:"task"`
	Attempt      int    `json:"attempt"`
	Spec         string `json:"spec"`
	FencingToken uint64 `json:"fencingToken"`
	DeadlineMs   int64  `json:"deadlineMs"`
	AckCursor    int    `json:"ackCursor"`
	WaitMs       int    `json:"waitMs"`
}

func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		out.WriteHeader(http.StatusOK)
		return
	}
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(workerAnswers)
	w.mu.Lock()
	late := w.up && rand.IntN(1000) < w.late
	w.mu.Unlock()
	if late {
		w.c.detail("%s will carry out %s of %s run %d late", w.id, r.URL.Path, o.Task, o.Attempt)
		copied := &http.Request{URL: r.URL, Header: r.Header.Clone()}
		go func() {
			time.Sleep(lateFrom + time.Duration(rand.Int64N(int64(lateUntil-lateFrom))))
			w.mu.Lock()
			defer w.mu.Unlock()
			if w.up {
				o.WaitMs = 0
				w.handle(httptest.NewRecorder(), copied, o)
			}
		}()
		<-r.Context().Done()
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.up {
		panic(http.ErrAbortHandler)
	}
	w.handle(out, r, o)
}

// handle carries a call out. The caller holds the lock.
func (w *worker) handle(out http.ResponseWriter, r *http.Request, o order) {
	if r.Header.Get("X-Expect-Instance") != w.id {
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.settle(time.Now())
	if o.FencingToken < w.fence {
		w.conflict(out, "fence")
		return
	}
	w.fence = o.FencingToken
	switch r.URL.Path {
	case "/run-start":
		w.start(out, o)
	case "/run-stop":
		w.stop(o)
		w.answer(out, map[string]any{})
	case "/hold":
		w.extend(o)
		w.hold(out, r, o)
	case "/pace":
		w.answer(out, map[string]any{})
	default:
		out.WriteHeader(http.StatusNotFound)
	}
}

func (w *worker) answer(out http.ResponseWriter, fields map[string]any) {
	if _, recorded := out.(*httptest.ResponseRecorder); !recorded && rand.IntN(100) < w.loses {
		panic(http.ErrAbortHandler)
	}
	fields["clockMs"], fields["born"] = w.clock(), w.born.UnixMilli()
	reply(out, fields)
}

func (w *worker) conflict(out http.ResponseWriter, reason string) {
	out.WriteHeader(http.StatusConflict)
	w.answer(out, map[string]any{"reason": reason})
}

// extend extends the lease of everything that runs. It never shortens.
func (w *worker) extend(o order) {
	if o.DeadlineMs > 0 {
		w.deadline = max(w.deadline, min(o.DeadlineMs, w.clock()+maxHoldMs))
	}
}

func (w *worker) start(out http.ResponseWriter, o order) {
	known, running := w.active[o.Task]
	if running && known.attempt == o.Attempt {
		w.extend(o)
		w.answer(out, map[string]any{})
		return
	}
	step := stepOf(o.Task)
	var what taskWork
	if json.Unmarshal([]byte(o.Spec), &what) != nil || step < 0 || step >= len(what.Ms) || step >= len(what.CPU) {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	reason := ""
	switch {
	case running || o.Attempt <= w.highest[o.Task]:
		reason = "old"
	case o.DeadlineMs <= w.clock():
		reason = "late"
	case w.used()+what.CPU[step] > w.cpu:
		reason = "room"
	}
	if reason != "" {
		if reason != "late" {
			w.extend(o)
		}
		w.c.refused(w, o, reason)
		w.conflict(out, reason)
		return
	}
	w.extend(o)
	now := time.Now()
	started := &run{task: o.Task, attempt: o.Attempt, began: now, cpu: what.CPU[step], length: time.Duration(what.Ms[step]) * time.Millisecond}
	if what.Ms[step] > 0 {
		started.endsAt = now.Add(started.length)
	}
	if len(what.Gang) > step {
		started.gang = what.Gang[step]
	}
	if w.failAll || time.Since(w.c.began).Milliseconds() < what.FailUntilMs {
		started.failsAt = now.Add(failAfter)
	}
	w.active[o.Task] = started
	w.c.begun(w, started, o)
	if started.gang > 0 {
		go w.c.gather(started)
	}
	w.answer(out, map[string]any{})
}

// used returns the cores that runs take. The caller holds the lock.
func (w *worker) used() int {
	sum := 0
	for _, r := range w.active {
		sum += r.cpu
	}
	return sum
}

func (w *worker) stop(o order) {
	r, ok := w.active[o.Task]
	switch {
	case !ok:
		w.highest[o.Task] = max(w.highest[o.Task], o.Attempt)
	case r.attempt == o.Attempt && r.stopAt.IsZero():
		r.stopAt = time.Now().Add(stopTime)
	}
}

// hold answers when there is an end or the wait is over. The caller holds the lock.
func (w *worker) hold(out http.ResponseWriter, r *http.Request, o order) {
	w.cursor = max(w.cursor, o.AckCursor)
	w.forget()
	born := w.born
	if len(w.ends) == 0 && o.WaitMs > 0 {
		signal := w.signal
		w.mu.Unlock()
		select {
		case <-signal:
		case <-r.Context().Done():
		case <-time.After(min(time.Duration(o.WaitMs)*time.Millisecond, maxHoldWait)):
		}
		w.mu.Lock()
	}
	if !w.up || !w.born.Equal(born) {
		panic(http.ErrAbortHandler)
	}
	active, finished := [][]any{}, [][]any{}
	for _, name := range w.sortedTasks() {
		a := w.active[name]
		percent := fullPercent
		if a.endsAt.IsZero() && time.Since(a.began) < lastingStart {
			percent = 0
		}
		active = append(active, []any{a.task, a.attempt, "", percent, 0})
	}
	for _, e := range w.ends[:min(listedEnds, len(w.ends))] {
		finished = append(finished, []any{e.number, e.task, e.attempt, e.how, ""})
	}
	w.answer(out, map[string]any{"active": active, "finished": finished})
}

// forget forgets the ends up to the cursor. The caller holds the lock.
func (w *worker) forget() {
	n := 0
	for n < len(w.ends) && w.ends[n].number <= w.cursor {
		n++
	}
	if n > 0 {
		w.c.noted(w, w.ends[:n])
	}
	w.ends = w.ends[n:]
}

// stepOf returns the step in the name of a task, or -1.
func stepOf(task string) int {
	const parts, stepPart = 4, 2
	fields := strings.Split(task, ".")
	if len(fields) != parts {
		return -1
	}
	step, err := strconv.Atoi(fields[stepPart])
	if err != nil {
		return -1
	}
	return step
}
