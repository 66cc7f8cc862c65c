package main

import (
	"errors"
	"net/http"
	"time"
)

const (
	// crashTime is for_s of the crashes, and silenceLimit the three check-in intervals after which an entry is removed.
	crashTime    = 4500 * time.Millisecond
	silenceLimit = 3 * heartbeat
)

// crash ends a life of a worker, silently, and starts the next one under the same ID at the same address after crashTime.
func (w *world) crash(x *worker) {
	w.record.add(event{Kind: "crash", Worker: x.id})
	w.record.note("worker", "%s crashes, %d tasks are lost with it", x.id, x.running())
	x.stop()
	x.mu.Lock()
	lastWrite := x.written
	x.dark = true
	x.fault = func(_ http.ResponseWriter, r *http.Request, _ func(http.ResponseWriter)) bool {
		<-r.Context().Done()
		return true
	}
	x.active = make(map[string]*activeRun)
	x.mu.Unlock()
	back := time.Now().Add(crashTime)
	go func() {
		if gone := lastWrite.Add(silenceLimit); gone.Before(back) {
			time.Sleep(time.Until(gone))
			w.store.remove("servers", x.id)
			w.record.note("platform", "the entry of %s is removed", x.id)
		}
		time.Sleep(time.Until(back))
		_ = x.server.Close()
		next, err := startWorkerAt(w.store, w.record, x.address, x.id, x.service, x.host, x.rack, x.kind)
		if err != nil {
			w.record.note("failed", "%s doesn't start again: %v", x.id, err)
			return
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		for i := range w.workers {
			if w.workers[i] == x {
				w.workers[i] = next
			}
		}
		w.record.note("worker", "%s is up again, born %d", x.id, next.born.UnixMilli())
	}()
}

// startOf returns the last start of the job's task, and whether there was one after a moment.
func (r *record) startOf(job string, after time.Time) (event, bool) {
	all := r.all()
	for i := len(all) - 1; i >= 0; i-- {
		if id, _ := stepOf(all[i].Task); all[i].Kind == "start" && id == job && all[i].At.After(after) {
			return all[i], true
		}
	}
	return event{}, false
}

func (w *world) worker(id string) *worker {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, x := range w.workers {
		if x.id == id {
			return x
		}
	}
	return nil
}

// twoCrashes has two workers of eight crash, one after the other, soon after each has begun the only task of a sound job.
func twoCrashes(w *world, trouble bool) (int, error) {
	if err := w.deploy(3, 8); err != nil {
		return failed, err
	}
	time.Sleep(2 * time.Second)
	id := newID()
	begun := time.Now()
	const ms = 6000
	phases := []phase{{Count: 1, CPU: 2000, MemMb: 1024, EstimateMs: ms}}
	if !w.submit(queuePrefix, id, taskSpec{Ms: ms, CPU: 2000, MemMb: 1024}, phases, w.edges...) {
		return failed, errors.New("the job wasn't accepted")
	}
	for _, age := range []time.Duration{200 * time.Millisecond, 700 * time.Millisecond} {
		if !trouble {
			break
		}
		var start event
		found := false
		if !await(20*time.Second, func() bool { start, found = w.record.startOf(id, begun); return found }) {
			break
		}
		begun = start.At
		time.Sleep(time.Until(start.At.Add(age)))
		w.crash(w.worker(start.Worker))
	}
	state := ""
	await(40*time.Second, func() bool {
		state = w.state(queuePrefix, id, w.edges[0])
		time.Sleep(200 * time.Millisecond)
		return state == "completed" || state == "failed"
	})
	failures := 0
	for _, e := range w.record.all() {
		if job, _ := stepOf(e.Task); e.Kind == "end" && job == id && e.Detail == "failed" {
			failures++
		}
	}
	w.record.note("state", "the job is shown as %s; %d runs of its task have ended as failed", state, failures)
	switch {
	case state == "completed":
		return held, nil
	case state == "failed" && failures == 0:
		w.record.note("broken", "LOST: the job is shown as failed, and no run of its task has ended so")
		return broken, nil
	}
	return failed, errors.New("the job hasn't ended")
}
