package main

import (
	"fmt"
	"math/rand"
	"net/http"
	"strings"
	"time"
)

func at(start time.Time, d time.Duration) { time.Sleep(time.Until(start.Add(d))) }

func phase(fields map[string]any) []any { return []any{fields} }

// crashCase: workers crash one at a time while a job lasts. Its own runs never fail.
func (r *rig) crashCase(address string) string {
	r.configure(1, map[string]string{"/puxa/": "desk"}, "desk")
	one, two := r.startEdge(address), r.startEdge(address)
	names := 0
	up := func() { names++; r.startWorker(fmt.Sprintf("i-%04d", names), "desk") }
	for range 8 {
		up()
	}
	r.awaitReady(one)
	r.awaitReady(two)
	time.Sleep(4 * time.Second)
	paths := []string{"/puxa/00000000000000a1", "/puxa/00000000000000a2"}
	job := map[string]any{"spec": spec(work{CPU: 2600, Mem: 8800}), "phases": phase(map[string]any{
		"count": 5, "cpu": 2600, "memMb": 8800, "estimateMs": 500, "longRunning": true, "lossy": 1, "image": "cert"})}
	for _, path := range paths {
		if status, _ := r.ask(one, http.MethodPost, path, job, 3*time.Second); status != 200 {
			fatal("the job is not accepted: %d", status)
		}
	}
	random := rand.New(rand.NewSource(1))
	start := time.Now()
	shown := make(map[string]string)
	failed := 0
	for i := 0; failed == 0 && time.Since(start) < 95*time.Second; i++ {
		at(start, time.Duration(i+2)*2*time.Second)
		if r.trouble && time.Since(start) < 90*time.Second {
			live := r.liveWorkers()
			live[random.Intn(len(live))].crash()
			time.AfterFunc(1900*time.Millisecond, up)
		}
		for _, path := range paths {
			s := r.state(two, path)
			if s != shown[path] {
				shown[path] = s
				r.note("%s is shown as %s", path, s)
			}
			if s == "failed" {
				failed++
			}
		}
	}
	time.Sleep(2 * time.Second)
	how := make(map[string]int)
	var stopped []begun
	for _, b := range r.copyRuns() {
		how[b.how]++
		if b.how == "stopped" && b.ended.Sub(b.at) > 500*time.Millisecond {
			stopped = append(stopped, b)
		}
	}
	r.note("ends of runs: %v", how)
	// The step tolerates the loss of one task. None is started again in between.
	away := 0
	for _, b := range stopped {
		for _, c := range stopped {
			if jobOf(b.task) == jobOf(c.task) && b.task != c.task && c.ended.Sub(b.ended).Abs() < 200*time.Millisecond {
				away++
				break
			}
		}
	}
	if failed > 0 && how["failed"] == 0 {
		return fmt.Sprintf("AVAIL: %d tasks at work on sound workers are stopped by orders at the same time as another one of their step, which tolerates the loss of one; LOST: %d job that lasts is shown as failed, though none of its runs ended failed (%d were lost with their worker)", away, failed, how["lost with its worker"])
	}
	return ""
}

// cancelCase: the store's answers to a submission are lost, and it is performed some seconds later. The caller cancels meanwhile.
func (r *rig) cancelCase(address string) string {
	r.configure(1, map[string]string{"/puxa/": "desk"}, "desk")
	one, two := r.startEdge(address), r.startEdge(address)
	for i := range 3 {
		r.startWorker(fmt.Sprintf("i-%04d", i+1), "desk")
	}
	r.awaitReady(one)
	r.awaitReady(two)
	time.Sleep(4 * time.Second)
	const id = "00000000000000c2"
	const path = "/puxa/" + id
	if r.trouble {
		r.loseAccepts("desk", id)
	}
	job := map[string]any{"spec": spec(work{Ms: 12000, CPU: 2000, Mem: 500}), "phases": phase(map[string]any{"count": 4, "cpu": 2000, "memMb": 500, "estimateMs": 12000})}
	r.ask(one, http.MethodPost, path, job, time.Second)
	time.Sleep(300 * time.Millisecond)
	status, _ := r.ask(two, http.MethodDelete, path, nil, 3*time.Second)
	cancelled := time.Now()
	if status != 200 && status != 410 {
		fatal("the cancel is not acknowledged: %d", status)
	}
	time.Sleep(12 * time.Second)
	r.note("the job is shown as %s", r.state(two, path))
	late, on := 0, 0
	for _, b := range r.copyRuns() {
		if jobOf(b.task) != id {
			continue
		}
		if b.at.Sub(cancelled) > 3*time.Second {
			late++
		}
		// The answers are lost for 1.5 s; contactMs (3 s) later nothing is near any more.
		if b.ended.IsZero() || b.ended.Sub(cancelled) > 6*time.Second {
			on++
		}
	}
	if late+on > 0 {
		return fmt.Sprintf("UNASKED: the cancelling of a job was acknowledged with %d; later than cancel_ms (3000) after that %d of its tasks are started, and later than cancel_ms, stopTimeoutMs and contactMs after that %d tasks run on", status, late, on)
	}
	return ""
}

// movedCase: a queue moves to another service, one machine is restarted, and the submission of a running job arrives there again.
func (r *rig) movedCase(address string) string {
	r.configure(1, map[string]string{"/puxa/": "desk"}, "desk", "hall")
	one, two := r.startEdge(address), r.startEdge(address)
	for i := range 3 {
		r.startWorker(fmt.Sprintf("i-%04d", i+1), "desk")
		r.startWorker(fmt.Sprintf("i-%04d", i+11), "hall")
	}
	r.awaitReady(one)
	r.awaitReady(two)
	time.Sleep(4 * time.Second)
	const id = "00000000000000c3"
	const path = "/puxa/" + id
	job := map[string]any{"spec": spec(work{Ms: 25000, CPU: 2000, Mem: 500}), "phases": phase(map[string]any{"count": 4, "cpu": 2000, "memMb": 500, "estimateMs": 25000})}
	if status, _ := r.ask(two, http.MethodPost, path, job, 3*time.Second); status != 200 {
		fatal("the job is not accepted: %d", status)
	}
	time.Sleep(300 * time.Millisecond)
	r.configure(2, map[string]string{"/puxa/": "hall"}, "desk", "hall")
	time.Sleep(300 * time.Millisecond)
	if r.trouble {
		r.restart(two)
	}
	r.awaitReady(two)
	time.Sleep(3 * time.Second)
	r.ask(two, http.MethodPost, path, job, 3*time.Second)
	time.Sleep(6 * time.Second)
	return r.runTwice(id)
}

// occurrencesCase: a job with many occurrences comes. Its progress outgrows a row of the store.
func (r *rig) occurrencesCase(address string) string {
	r.configure(1, map[string]string{"/puxa/": "desk"}, "desk")
	one, two := r.startEdge(address), r.startEdge(address)
	for i := range 4 {
		r.startWorker(fmt.Sprintf("i-%04d", i+1), "desk")
	}
	r.awaitReady(one)
	r.awaitReady(two)
	time.Sleep(4 * time.Second)
	r.mu.Lock()
	r.quiet = true
	r.mu.Unlock()
	const tasks = 8
	small := func(n int) string { return fmt.Sprintf("/puxa/%016x", 0x5000+n) }
	accepted := make(map[string]int)
	if r.trouble {
		const minutes = 5000
		job := map[string]any{
			"spec": spec(work{Ms: 50, CPU: 100, Mem: 16}), "repeatCount": 6000, "periodMs": 60000, "startAtMs": time.Now().Add(-minutes * time.Minute).UnixMilli(),
			"phases": phase(map[string]any{"count": 1, "cpu": 100, "memMb": 16, "estimateMs": 50}),
		}
		if status, _ := r.ask(one, http.MethodPost, "/puxa/00000000000000c4", job, 3*time.Second); status != 200 {
			fatal("the job is not accepted: %d", status)
		}
	}
	start := time.Now()
	for n := 0; time.Since(start) < 75*time.Second; n++ {
		at(start, time.Duration(n)*500*time.Millisecond)
		step := map[string]any{"count": tasks, "cpu": 200, "memMb": 50, "estimateMs": 300}
		next := map[string]any{"count": tasks, "cpu": 200, "memMb": 50, "estimateMs": 300, "after": []int{0}}
		job := map[string]any{"spec": spec(work{Ms: 300, CPU: 200, Mem: 50}), "phases": []any{step, next}}
		if status, _ := r.ask(two, http.MethodPost, small(n), job, 3*time.Second); status == 200 {
			accepted[strings.TrimPrefix(small(n), "/puxa/")] = n
		}
		if n%20 == 19 {
			all, open := r.ends()
			r.store.mu.Lock()
			r.note("%d ends listed over 4 s ago, %d not taken note of; the store has refused %d transactions %s", all, open, r.store.refused, r.store.refusal)
			r.store.mu.Unlock()
		}
	}
	time.Sleep(10 * time.Second)
	// ended and begun count the tasks of the two steps.
	ended, begun := make(map[string][2]int), make(map[string][2]int)
	lastEnd := make(map[string]time.Time)
	for _, b := range r.copyRuns() {
		id, step := jobOf(b.task), strings.Split(b.task, ".")[2]
		if _, ok := accepted[id]; !ok {
			continue
		}
		i := 0
		if step == "1" {
			i = 1
		}
		e, g := ended[id], begun[id]
		g[i]++
		if b.how == "done" {
			e[i]++
			if i == 0 && b.ended.After(lastEnd[id]) {
				lastEnd[id] = b.ended
			}
		}
		ended[id], begun[id] = e, g
	}
	completed, unshown, stalled := 0, 0, 0
	now := time.Now()
	for id := range accepted {
		shown := r.state(two, "/puxa/"+id)
		switch {
		case shown == "completed":
			completed++
		case ended[id][1] >= tasks:
			unshown++
			r.note("%s: all tasks have ended done, it is shown as %s", id, shown)
		case ended[id][0] >= tasks && begun[id][1] == 0 && now.Sub(lastEnd[id]) > 7*time.Second:
			stalled++
			r.note("%s: its first step has been done for %.1f s, no task of its second step has begun, it is shown as %s", id, now.Sub(lastEnd[id]).Seconds(), shown)
		}
	}
	cpu := 0
	for _, w := range r.liveWorkers() {
		w.mu.Lock()
		for _, a := range w.active {
			cpu += a.work.CPU
		}
		w.mu.Unlock()
	}
	all, open := r.ends()
	r.note("of %d small jobs %d are shown as completed, %d are done and not shown so, %d have nothing running while a step's turn has come; %d of %d thousandths of cores are in use; %d ends, %d not taken note of",
		len(accepted), completed, unshown, stalled, cpu, 4*cpuCapacity, all, open)
	if stalled > 0 || open*5 > all {
		return fmt.Sprintf("LOST: %d of %d accepted jobs have had nothing running for over 7 s while a step's turn has come and nearly all capacity is free; %d more are done and never shown as completed. Acks: %d of %d ends listed for over ackMs are not taken note of",
			stalled, len(accepted), unshown, open, all)
	}
	return ""
}

// lateCase: the store's answers to a submission are lost, and it is performed some seconds later. Meanwhile its queue moves to another
// service, and the submission arrives again.
func (r *rig) lateCase(address string) string {
	r.configure(1, map[string]string{"/puxa/": "desk"}, "desk", "hall")
	one, two := r.startEdge(address), r.startEdge(address)
	for i := range 3 {
		r.startWorker(fmt.Sprintf("i-%04d", i+1), "desk")
		r.startWorker(fmt.Sprintf("i-%04d", i+11), "hall")
	}
	r.awaitReady(one)
	r.awaitReady(two)
	time.Sleep(4 * time.Second)
	const id = "00000000000000c5"
	const path = "/puxa/" + id
	if r.trouble {
		r.loseAccepts("desk", id)
	}
	job := map[string]any{"spec": spec(work{Ms: 25000, CPU: 2000, Mem: 500}), "phases": phase(map[string]any{"count": 4, "cpu": 2000, "memMb": 500, "estimateMs": 25000})}
	r.ask(one, http.MethodPost, path, job, time.Second)
	r.configure(2, map[string]string{"/puxa/": "hall"}, "desk", "hall")
	time.Sleep(200 * time.Millisecond)
	if status, _ := r.ask(two, http.MethodPost, path, job, 3*time.Second); status != 200 {
		fatal("the job is not accepted: %d", status)
	}
	time.Sleep(9 * time.Second)
	return r.runTwice(id)
}

// lateOrderCase: a start order gets no answer and is carried out 8.2 s later. Meanwhile its worker has started again under its ID and is then
// cut off, while a task that lasts runs there.
func (r *rig) lateOrderCase(address string) string {
	r.configure(1, map[string]string{"/puxa/": "desk"}, "desk")
	one, two := r.startEdge(address), r.startEdge(address)
	const id, batch, lasting = "i-0002", "00000000000000d1", "00000000000000d2"
	holdsUp := func(c call) (time.Duration, bool) {
		return 8200 * time.Millisecond, r.trouble && jobOf(c.Task) == batch
	}
	first := r.startWorkerAt(id, "desk", "127.0.0.1:0", time.Hour, holdsUp)
	r.awaitReady(one)
	r.awaitReady(two)
	time.Sleep(4 * time.Second)
	start := time.Now()
	phases := phase(map[string]any{"count": 1, "cpu": 2000, "memMb": 500, "estimateMs": 1500})
	if status, _ := r.ask(one, http.MethodPost, "/puxa/"+batch, map[string]any{"spec": spec(work{Ms: 1500, CPU: 2000, Mem: 500}), "phases": phases}, 3*time.Second); status != 200 {
		fatal("the job is not accepted: %d", status)
	}
	at(start, 600*time.Millisecond)
	reused := first.listener.Addr().String()
	first.crashAndReturn()
	at(start, 1100*time.Millisecond)
	second := r.startWorkerAt(id, "desk", reused, 0, nil)
	at(start, 3*time.Second)
	phases = phase(map[string]any{"count": 1, "cpu": 2600, "memMb": 8800, "estimateMs": 500, "longRunning": true, "lossy": 1})
	if status, _ := r.ask(one, http.MethodPost, "/puxa/"+lasting, map[string]any{"spec": spec(work{CPU: 2600, Mem: 8800}), "phases": phases}, 3*time.Second); status != 200 {
		fatal("the job is not accepted: %d", status)
	}
	at(start, 3500*time.Millisecond)
	r.startWorker("i-0003", "desk")
	at(start, 4500*time.Millisecond)
	second.setCut(true)
	at(start, 10*time.Second)
	second.setCut(false)
	at(start, 15*time.Second)
	var runs []begun
	for _, b := range r.copyRuns() {
		if jobOf(b.task) == lasting {
			runs = append(runs, b)
		}
	}
	for i, b := range runs {
		for _, c := range runs[i+1:] {
			if end := b.ended; b.ended.IsZero() || c.at.Before(end) {
				if b.ended.IsZero() {
					end = time.Now()
				}
				return fmt.Sprintf("TWICE: run %d of %s on %s begins %.2f s before run %d on %s ends; both workers are up", c.attempt, c.task, c.worker.id, end.Sub(c.at).Seconds(), b.attempt, b.worker.id)
			}
		}
	}
	return ""
}

// runTwice returns how the rule TWICE is broken for a job whose runs go on, or an empty string.
func (r *rig) runTwice(id string) string {
	running := make(map[string]*worker)
	twice := 0
	for _, b := range r.copyRuns() {
		if jobOf(b.task) != id || !b.ended.IsZero() {
			continue
		}
		if other := running[b.task]; other != nil {
			twice++
			r.note("%s runs on %s of %s and on %s of %s at the same time", b.task, other.id, other.pool, b.worker.id, b.worker.pool)
		}
		running[b.task] = b.worker
	}
	if twice > 0 {
		return fmt.Sprintf("TWICE: %d tasks have two runs at the same time, on workers that are up", twice)
	}
	return ""
}

// loseAccepts has the store lose its answers to the transactions that accept a job in a pool, for 1.5 s from the first one. They are
// performed 5.5 s later if their conditions still hold.
func (r *rig) loseAccepts(pool, id string) {
	var from time.Time
	lost, writes := 0, 0
	r.store.mu.Lock()
	defer r.store.mu.Unlock()
	r.store.loses = func(tx transaction) (time.Duration, bool) {
		r.store.mu.Lock()
		defer r.store.mu.Unlock()
		accepts := false
		for _, w := range tx.Write {
			accepts = accepts || (w.Key == id && w.Part == pool)
		}
		if accepts && from.IsZero() {
			from = time.Now()
		}
		if from.IsZero() || time.Since(from) > 1500*time.Millisecond {
			return 0, false
		}
		writes++
		if !accepts {
			return 0, false
		}
		lost++
		r.note("the store loses its answer to the transaction that accepts %s, and performs it 5.5 s later if its condition holds (%d of %d writes since the first one)", id, lost, writes)
		return 5500 * time.Millisecond, true
	}
}

// ends returns the numbers of ends that were listed over ackMs ago, and of those not taken note of.
func (r *rig) ends() (all, open int) {
	for _, w := range r.liveWorkers() {
		a, o := w.unacknowledged(time.Now().Add(-4100 * time.Millisecond))
		all, open = all+a, open+o
	}
	return all, open
}
