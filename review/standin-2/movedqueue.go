package main

import (
	"encoding/json"
	"errors"
	"net/http"
	"time"
)

// pending asks an entry host for the number of a queue's jobs of which no task has started; -1 if it gives none.
func (w *world) pending(prefix string, e *edge) int {
	status, text := call(http.MethodGet, e.caller, prefix, "")
	answer := struct {
		Pending int `json:"pending"`
	}{-1}
	if status == http.StatusOK {
		_ = json.Unmarshal([]byte(text), &answer)
	}
	w.record.note("pending", "%s at %s: status %d, %d", prefix, e.name, status, answer.Pending)
	return answer.Pending
}

// movedQueue moves a queue to another service while most of its jobs wait, and asks for its pending jobs.
func movedQueue(w *world, trouble bool) (int, error) {
	w.services = []string{service, otherService}
	w.configure(1)
	if err := w.deploy(3, 3); err != nil {
		return failed, err
	}
	if err := w.addWorkersOf(otherService, "b", 3, 3); err != nil {
		return failed, err
	}
	const jobs, ms = 30, 25000
	var ids []string
	for range jobs {
		id := newID()
		ids = append(ids, id)
		if !w.submit(queuePrefix, id, taskSpec{Ms: ms, CPU: workerCPU / 2, MemMb: 1024}, []phase{{Count: 1, CPU: workerCPU / 2, MemMb: 1024, EstimateMs: ms}}, w.edges...) {
			return failed, errors.New("a job wasn't accepted")
		}
	}
	time.Sleep(2 * time.Second)
	if trouble {
		w.moved = otherService
		w.configure(2)
		w.record.note("operator", "version 2 sends the queue to %s", otherService)
	}
	// visible_ms and 2 s after the last ack, and configApplyMs after the configuration.
	time.Sleep(5500 * time.Millisecond)
	waiting := jobs
	for _, id := range ids {
		if _, begun := w.record.startOf(id, time.Time{}); begun {
			waiting--
		}
	}
	w.record.note("note", "%d jobs that were accepted over 5 s before haven't begun", waiting)
	result := held
	for _, e := range w.edges {
		if n := w.pending(queuePrefix, e); n >= 0 && 2*n < waiting {
			w.record.note("broken", "MIXED: %s gives %d as pending, under half of %d", e.name, n, waiting)
			result = broken
		}
	}
	return result, nil
}
