package main

import (
	"errors"
	"time"
)

// oddID has another writer leave an entry under the ID of a worker that runs tasks. The worker writes its own again at its next check-in.
func oddID(w *world, trouble bool) (int, error) {
	if err := w.deploy(3, 8); err != nil {
		return failed, err
	}
	const jobs, tasks, ms = 10, 4, 6000
	var ids []string
	for range jobs {
		id := newID()
		ids = append(ids, id)
		if !w.submit(queuePrefix, id, taskSpec{Ms: ms, CPU: 2000, MemMb: 1024}, []phase{{Count: tasks, CPU: 2000, MemMb: 1024, EstimateMs: ms}}, w.edges...) {
			return failed, errors.New("a job wasn't accepted")
		}
	}
	time.Sleep(time.Second)
	start, found := w.record.startOf(ids[0], time.Time{})
	if !found {
		return failed, errors.New("nothing runs")
	}
	x := w.worker(start.Worker)
	if trouble {
		w.record.note("platform", "another writer leaves an entry under %s, which runs %d tasks: zone, version and seqNo are missing, slots is a text", x.id, x.running())
		w.store.put("servers", x.id, map[string]any{
			"service": service, "address": x.address, "slots": "eight", "state": "ready", "coldLeftMs": 0,
			"capacity": amounts{CPU: workerCPU, MemMb: workerMemMb}, "born": time.Now().UnixMilli(),
		})
	}
	time.Sleep(12 * time.Second)
	twice := w.record.noteTwice()
	states := make(map[string]int)
	for _, id := range ids {
		states[w.state(queuePrefix, id, w.edges[0])]++
	}
	w.record.note("states", "%v of %d jobs", states, len(ids))
	if twice == 0 {
		return held, nil
	}
	w.record.note("broken", "TWICE: %d runs began while another run of the task was going on at a worker that is up", twice)
	return broken, nil
}

// noteTwice records and counts the starts of tasks of which another run was going on at another worker. No worker has crashed.
func (r *record) noteTwice() int {
	running := make(map[string]event)
	twice := 0
	for _, e := range r.all() {
		switch e.Kind {
		case "start":
			if other, ok := running[e.Task]; ok && other.Worker != e.Worker {
				r.add(event{Kind: "twice", Task: e.Task, Attempt: e.Attempt, Worker: e.Worker, Detail: "while another runs at " + other.Worker})
				twice++
			}
			running[e.Task] = e
		case "end":
			if running[e.Task].Worker == e.Worker {
				delete(running, e.Task)
			}
		}
	}
	return twice
}
