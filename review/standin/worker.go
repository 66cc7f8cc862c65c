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

	mu       sync.Mutex
	dead     bool
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
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fatal("listen: %v", err)
	}
	w := &worker{
		rig: r, id: id, pool: pool, born: time.Now(), listener: l, stop: make(chan struct{}),
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
	time.AfterFunc(3*heartbeat, func() { w.rig.store.put("servers", w.id, nil) })
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
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.dead {
		panic(http.ErrAbortHandler)
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
	if c.DeadlineMs > 0 {
		until := min(w.born.Add(time.Duration(c.DeadlineMs)*time.Millisecond).Sub(time.Now()), maxHold)
		if d := time.Now().Add(until); d.After(w.deadline) {
			w.deadline = d
		}
	}
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
