package main

import (
	"errors"
	"time"
)

// keepOddEntry keeps an entry of another writer in the directory, which writes it as often as workers check in: fields are missing, and
// one has another type. Nobody listens at its address.
func (w *world) keepOddEntry() error {
	port, err := freePort()
	if err != nil {
		return err
	}
	entry := map[string]any{
		"service": service, "address": loopback(port), "slots": "eight", "state": "ready", "coldLeftMs": 0,
		"capacity": amounts{CPU: workerCPU, MemMb: workerMemMb}, "born": time.Now().UnixMilli(),
	}
	w.record.note("platform", "another writer keeps an entry: zone, version and seqNo are missing, slots is a text, nobody listens at %s", loopback(port))
	w.store.put("servers", "i-0ddba11e", entry)
	go func() {
		for {
			time.Sleep(heartbeat)
			w.store.put("servers", "i-0ddba11e", entry)
		}
	}()
	return nil
}

// oddEntry kills the entry host that holds the duty of the service while an entry of another writer is in the directory.
func oddEntry(w *world, trouble bool) (int, error) {
	if err := w.keepOddEntry(); err != nil {
		return failed, err
	}
	if err := w.deploy(3, 8); err != nil {
		return failed, err
	}
	const jobs, tasks, ms = 20, 4, 2000
	first := phase{Count: tasks, CPU: 2000, MemMb: 1024, EstimateMs: ms}
	second := phase{Count: tasks, CPU: 2000, MemMb: 1024, EstimateMs: ms, After: []int{0}}
	var ids []string
	for range jobs {
		id := newID()
		ids = append(ids, id)
		if !w.submit(queuePrefix, id, taskSpec{Ms: ms, CPU: 2000, MemMb: 1024}, []phase{first, second}, w.edges...) {
			return failed, errors.New("a job wasn't accepted")
		}
	}
	time.Sleep(time.Second)
	holder := w.holder()
	if holder == nil {
		return failed, errors.New("nobody holds the duty")
	}
	alive := w.edges
	if trouble {
		w.kill(holder)
		alive = w.others(holder)
		time.Sleep(restartDelay)
		if err := w.start(holder); err != nil {
			return failed, err
		}
	}
	w.record.note("traffic", "ends here")
	time.Sleep(finishTime)
	from := time.Now()
	time.Sleep(idleTime)
	states := make(map[string]int)
	for _, id := range ids {
		states[w.state(queuePrefix, id, alive[0])]++
	}
	waiting := w.record.waiting(ids, tasks, from)
	w.noteEnds()
	w.record.note("states", "%v of %d jobs", states, len(ids))
	if waiting == 0 && states["completed"] == len(ids) {
		return held, nil
	}
	if waiting == 0 {
		return failed, errors.New("jobs aren't completed, but none waits with nothing running")
	}
	w.record.note("broken", "LOST: %d jobs had nothing running for %s although their last step's turn had come, from %s after the end of the traffic", waiting, idleTime, finishTime)
	return broken, nil
}
