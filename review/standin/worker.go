package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// work is what a spec of the scripts says of a task.
type work struct {
	// Ms is how long a task works; zero if it lasts.
	Ms  int `json:"ms"`
	CPU int `json:"cpu"`
	Mem int `json:"mem"`
}

type activeRun struct {
	attempt int
	work    work
	began   time.Time
	endsAt  time.Time
	stopAt  time.Time
}

type endRow struct {
	n       int
	task    string
	attempt int
	how     string
	at      time.Time
}

// Bounds of the settings file.
const (
	maxHold     = 6 * time.Second
	stopTime    = 200 * time.Millisecond
	heartbeat   = 1500 * time.Millisecond
	cpuCapacity = 32000
	memCapacity = 65536
)

// worker is a stand-in for one life of a worker.
type worker struct {
	rig      *rig
	id, pool string
	born     time.Time
	listener net.Listener
	server   *http.Server
	stop     chan struct{}
	// holdsUp reports for a start order after which delay it is carried out, without an answer.
	holdsUp func(c call) (time.Duration, bool)

	mu       sync.Mutex
	dead     bool
	cut      bool
	fence    uint64
	deadline time.Time
	active   map[string]*activeRun
	ends     []endRow
	lastEnd  int
	acked    int
	highest  map[string]int
	ended    chan struct{}
}

func (r *rig) startWorker(id, pool string) *worker {
	return r.startWorkerAt(id, pool, "127.0.0.1:0", 0, nil)
}

// startWorkerAt starts a worker at an address that has been up for some time.
func (r *rig) startWorkerAt(id, pool, address string, age time.Duration, holdsUp func(call) (time.Duration, bool)) *worker {
	l, err := net.Listen("tcp", address)
	if err != nil {
		fatal("listen: %v", err)
	}
	w := &worker{
		rig: r, id: id, pool: pool, born: time.Now().Add(-age), listener: l, holdsUp: holdsUp, stop: make(chan struct{}),
		active: make(map[string]*activeRun), highest: make(map[string]int), ended: make(chan struct{}),
	}
	w.server = &http.Server{Handler: w}
	go func() { _ = w.server.Serve(l) }()
	r.mu.Lock()
	r.workers = append(r.workers, w)
	r.mu.Unlock()
	r.note("worker %s of %s is up", id, pool)
	w.register(1)
	go w.run()
	return w
}

func (w *worker) register(seq int) {
	w.rig.store.put("servers", w.id, []byte(fmt.Sprintf(
		`{"service":%q,"address":%q,"zone":"z-a","version":"v1","slots":8,"state":"ready","coldLeftMs":0,"seqNo":%d,"capacity":{"cpu":%d,"memMb":%d,"gpu":0},"labels":["a","r1-1"],"clockMs":%d,"born":%d}`,
		w.pool, w.listener.Addr().String(), seq, cpuCapacity, memCapacity, w.clock(), w.born.UnixMilli())))
}

func (w *worker) clock() int64 { return time.Since(w.born).Milliseconds() + 1 }

// run ends runs whose work is done, whose stop is due or whose lease has expired, and sends check-ins.
func (w *worker) run() {
	tick := time.NewTicker(5 * time.Millisecond)
	defer tick.Stop()
	beat := time.Now()
	for seq := 2; ; {
		select {
		case <-w.stop:
			return
		case now := <-tick.C:
			w.mu.Lock()
			for task, a := range w.active {
				switch {
				case now.After(w.deadline):
					w.end(task, "lapsed")
				case !a.stopAt.IsZero() && now.After(a.stopAt):
					w.end(task, "stopped")
				case a.work.Ms > 0 && now.After(a.endsAt):
					w.end(task, "done")
				}
			}
			w.mu.Unlock()
			if now.Sub(beat) >= heartbeat {
				beat = now
				w.register(seq)
				seq++
			}
		}
	}
}

// end ends a run. The caller holds the lock.
func (w *worker) end(task, how string) {
	a := w.active[task]
	delete(w.active, task)
	w.highest[task] = max(w.highest[task], a.attempt)
	w.lastEnd++
	w.ends = append(w.ends, endRow{w.lastEnd, task, a.attempt, how, time.Now()})
	close(w.ended)
	w.ended = make(chan struct{})
	w.rig.runEnded(w, task, a.attempt, how)
}

// crash ends the worker's life without a word. Its entry is removed after three check-in intervals of silence.
func (w *worker) crash() {
	w.crashAndReturn()
	time.AfterFunc(3*heartbeat, func() { w.rig.store.put("servers", w.id, nil) })
}

// crashAndReturn is crash for a worker that starts again under its ID before its entry is removed.
func (w *worker) crashAndReturn() {
	w.mu.Lock()
	w.dead = true
	for task, a := range w.active {
		w.rig.runEnded(w, task, a.attempt, "lost with its worker")
	}
	w.active = make(map[string]*activeRun)
	w.mu.Unlock()
	close(w.stop)
	_ = w.server.Close()
	w.rig.note("worker %s crashes", w.id)
}

type call struct {
	Task         string `json:"task"`
	Attempt      int    `json:"attempt"`
	Spec         string `json:"spec"`
	FencingToken uint64 `json:"fencingToken"`
	DeadlineMs   int64  `json:"deadlineMs"`
	AckCursor    int    `json:"ackCursor"`
	WaitMs       int    `json:"waitMs"`
}

func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	var c call
	if json.NewDecoder(r.Body).Decode(&c) != nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	if w.holdsUp != nil && r.URL.Path == "/run-start" {
		if delay, ok := w.holdsUp(c); ok {
			w.rig.note("the start of %s run %d at worker %s gets no answer; it is carried out %.1f s later", c.Task, c.Attempt, w.id, delay.Seconds())
			time.AfterFunc(delay, func() { w.rig.carryOut(w.id, c) })
			<-r.Context().Done()
			return
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.dead {
		panic(http.ErrAbortHandler)
	}
	if w.cut {
		w.lose(r)
		return
	}
	if r.Header.Get("X-Expect-Instance") != w.id {
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if c.FencingToken < w.fence {
		w.conflict(out, "fence")
		return
	}
	w.fence = c.FencingToken
	w.extend(c.DeadlineMs)
	switch r.URL.Path {
	case "/run-start":
		w.start(out, c)
	case "/run-stop":
		if a := w.active[c.Task]; a != nil && a.attempt == c.Attempt && a.stopAt.IsZero() {
			a.stopAt = time.Now().Add(stopTime / 2)
			w.rig.note("worker %s is told to stop %s run %d", w.id, c.Task, c.Attempt)
		} else if a == nil {
			w.highest[c.Task] = max(w.highest[c.Task], c.Attempt)
		}
		w.answer(out, nil)
	case "/pace":
		w.answer(out, nil)
	case "/hold":
		w.hold(out, r, c)
	default:
		out.WriteHeader(http.StatusNotFound)
	}
}

// extend extends the lease of everything that runs on the worker. It never shortens.
func (w *worker) extend(deadlineMs int64) {
	if deadlineMs <= 0 {
		return
	}
	until := min(time.Until(w.born.Add(time.Duration(deadlineMs)*time.Millisecond)), maxHold)
	if d := time.Now().Add(until); d.After(w.deadline) {
		w.deadline = d
	}
}

// lose waits until the caller has given up: the worker is cut off. The caller holds the lock.
func (w *worker) lose(r *http.Request) {
	w.mu.Unlock()
	<-r.Context().Done()
	w.mu.Lock()
}

// setCut cuts the worker off from all machines of the system, or ends that. It runs on and checks in.
func (w *worker) setCut(cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut = cut
	w.rig.note("worker %s is cut off from the machines of the system: %t", w.id, cut)
}

// carryOut has the worker that has the ID now carry out a start order that was held up. Its deadline counts also if the start is rejected as old.
func (r *rig) carryOut(id string, c call) {
	for _, w := range r.liveWorkers() {
		if w.id != id {
			continue
		}
		w.mu.Lock()
		answer := "is carried out"
		switch {
		case c.FencingToken < w.fence:
			answer = "is rejected: fence"
		case c.Attempt <= w.highest[c.Task] || w.active[c.Task] != nil:
			w.extend(c.DeadlineMs)
			answer = fmt.Sprintf("is rejected: old; the lease lasts %.1f s from now", time.Until(w.deadline).Seconds())
		default:
			answer = "is late for this script"
		}
		w.mu.Unlock()
		r.note("the start of %s run %d that was held up %s", c.Task, c.Attempt, answer)
	}
}

func (w *worker) conflict(out http.ResponseWriter, reason string) {
	out.WriteHeader(http.StatusConflict)
	w.answer(out, map[string]any{"reason": reason})
}

func (w *worker) answer(out http.ResponseWriter, m map[string]any) {
	if m == nil {
		m = make(map[string]any)
	}
	m["clockMs"], m["born"] = w.clock(), w.born.UnixMilli()
	reply(out, m)
}

func (w *worker) start(out http.ResponseWriter, c call) {
	if a := w.active[c.Task]; a != nil && a.attempt == c.Attempt {
		w.answer(out, nil)
		return
	}
	var job work
	if json.Unmarshal([]byte(c.Spec), &job) != nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	cpu, mem := job.CPU, job.Mem
	for _, a := range w.active {
		cpu, mem = cpu+a.work.CPU, mem+a.work.Mem
	}
	now := time.Now()
	switch {
	case c.Attempt <= w.highest[c.Task] || w.active[c.Task] != nil:
		w.conflict(out, "old")
		return
	case now.After(w.deadline):
		w.conflict(out, "late")
		return
	case cpu > cpuCapacity || mem > memCapacity:
		w.conflict(out, "room")
		return
	}
	w.active[c.Task] = &activeRun{attempt: c.Attempt, work: job, began: now, endsAt: now.Add(time.Duration(job.Ms) * time.Millisecond)}
	w.rig.runBegan(w, c.Task, c.Attempt)
	w.answer(out, nil)
}

// hold responds when a run has ended or the wait is over. The caller holds the lock.
func (w *worker) hold(out http.ResponseWriter, r *http.Request, c call) {
	for len(w.ends) > 0 && w.ends[0].n <= c.AckCursor {
		w.ends = w.ends[1:]
	}
	w.acked = max(w.acked, c.AckCursor)
	if len(w.ends) == 0 && c.WaitMs > 0 {
		ended := w.ended
		w.mu.Unlock()
		select {
		case <-ended:
		case <-w.stop:
		case <-r.Context().Done():
		case <-time.After(time.Duration(min(c.WaitMs, 2000)) * time.Millisecond):
		}
		w.mu.Lock()
		if w.dead {
			panic(http.ErrAbortHandler)
		}
		if w.cut {
			w.lose(r)
			return
		}
	}
	active := [][]any{}
	for task, a := range w.active {
		percent := 100
		if a.work.Ms > 0 {
			percent = int(min(99, 100*time.Since(a.began).Milliseconds()/int64(a.work.Ms)))
		} else if time.Since(a.began) < 300*time.Millisecond {
			percent = 50 // it is starting up
		}
		active = append(active, []any{task, a.attempt, "", percent, a.work.CPU})
	}
	ends := [][]any{}
	for _, e := range w.ends[:min(500, len(w.ends))] {
		ends = append(ends, []any{e.n, e.task, e.attempt, e.how, ""})
	}
	w.answer(out, map[string]any{"active": active, "finished": ends})
}

// unacknowledged returns the numbers of ends that ended before t, and of those that are not acknowledged.
func (w *worker) unacknowledged(t time.Time) (all, open int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, e := range w.ends {
		if e.at.Before(t) {
			open++
		}
	}
	return w.acked + open, open
}

// jobOf returns the ID of a task's job.
func jobOf(task string) string {
	id, _, _ := strings.Cut(task, ".")
	return id
}
