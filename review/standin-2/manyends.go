package main

import (
	"errors"
	"slices"
	"time"
)

var errNotReady = errors.New("the deployment isn't ready")

// deploy starts a small deployment and waits until a first job has run.
func (w *world) deploy(edges, workers int) error {
	if err := w.addWorkers(workers); err != nil {
		return err
	}
	for range edges {
		if _, err := w.addEdge(); err != nil {
			return err
		}
	}
	for _, e := range w.edges {
		if !e.ready(15 * time.Second) {
			return errNotReady
		}
	}
	id := newID()
	if !w.submit(queuePrefix, id, taskSpec{Ms: 200, CPU: 500, MemMb: 256}, []phase{{Count: 4, CPU: 500, MemMb: 256, EstimateMs: 200}}, w.edges...) {
		return errNotReady
	}
	if !await(20*time.Second, func() bool { return w.state(queuePrefix, id, w.edges[0]) == "completed" }) {
		return errNotReady
	}
	return nil
}

const (
	manyJobs     = 60
	tasksPerJob  = 20
	smallCPU     = 100
	smallMemMb   = 128
	taskTime     = 5 * time.Second
	killBefore   = 600 * time.Millisecond
	restartDelay = 3500 * time.Millisecond
	// finishTime is finish_s of the settings. idleTime is the time for which a job must have nothing running by the rule.
	finishTime = 14 * time.Second
	idleTime   = 3 * time.Second
)

// manyEnds kills the entry host that holds the duty of the service while its two workers run small tasks. The tasks end before the next
// one has taken the duty, so that each worker lists more than 500 ends to it.
func manyEnds(w *world, trouble bool) (int, error) {
	if err := w.deploy(3, 2); err != nil {
		return failed, err
	}
	ms := int(taskTime.Milliseconds())
	first := phase{Count: tasksPerJob, CPU: smallCPU, MemMb: smallMemMb, EstimateMs: ms}
	second := phase{Count: 1, CPU: smallCPU, MemMb: smallMemMb, EstimateMs: ms, After: []int{0}}
	spec := taskSpec{Ms: ms, CPU: smallCPU, MemMb: smallMemMb}
	var ids []string
	accepted := make(chan bool)
	for range manyJobs {
		id := newID()
		ids = append(ids, id)
		go func() { accepted <- w.submit(queuePrefix, id, spec, []phase{first, second}, w.edges...) }()
	}
	for range manyJobs {
		if !<-accepted {
			return failed, errors.New("a job wasn't accepted")
		}
	}
	began := w.record.firstStart(ids)
	if began.IsZero() && !await(5*time.Second, func() bool { began = w.record.firstStart(ids); return !began.IsZero() }) {
		return failed, errors.New("nothing was started")
	}
	time.Sleep(time.Until(began.Add(taskTime - killBefore)))
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
	time.Sleep(2 * time.Second)
	w.noteEnds()
	later, laterSpec := phase{Count: 4, CPU: smallCPU, MemMb: smallMemMb, EstimateMs: 200}, taskSpec{Ms: 200, CPU: smallCPU, MemMb: smallMemMb}
	for range 10 {
		id := newID()
		ids = append(ids, id)
		if !w.submit(queuePrefix, id, laterSpec, []phase{later}, alive...) {
			return failed, errors.New("a job wasn't accepted after the disruption")
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
	waiting := w.record.waiting(ids[:manyJobs], tasksPerJob, from)
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

// noteEnds records what the workers run and list.
func (w *world) noteEnds() {
	for _, x := range w.workers {
		w.record.note("worker", "%s runs %d tasks and lists %d ends that nobody has taken note of", x.id, x.running(), x.unacked())
	}
}

// firstStart returns when the first task of the jobs was started; zero if none was.
func (r *record) firstStart(ids []string) time.Time {
	for _, e := range r.all() {
		if job, _ := stepOf(e.Task); e.Kind == "start" && slices.Contains(ids, job) {
			return e.At
		}
	}
	return time.Time{}
}

// waiting counts the jobs of two steps whose first one, of some tasks, had ended as done before a moment, that have begun no task of the
// second one, and of which nothing has run since.
func (r *record) waiting(ids []string, tasks int, from time.Time) int {
	done, begun := make(map[string]int), make(map[string]bool)
	running, ranSince := make(map[string]int), make(map[string]bool)
	for _, e := range r.all() {
		job, step := stepOf(e.Task)
		switch {
		case e.Kind == "start":
			running[job]++
			begun[job] = begun[job] || step == 1
			ranSince[job] = ranSince[job] || e.At.After(from)
		case e.Kind == "end":
			running[job]--
			ranSince[job] = ranSince[job] || e.At.After(from)
			if step == 0 && e.Detail == "done" && e.At.Before(from) {
				done[job]++
			}
		}
	}
	n := 0
	for _, id := range ids {
		if done[id] == tasks && !begun[id] && running[id] == 0 && !ranSince[id] {
			n++
		}
	}
	return n
}
