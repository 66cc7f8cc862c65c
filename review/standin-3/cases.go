package main

import (
	"fmt"
	"strings"
	"time"
)

// finish writes the verdict to the record and ends the deployment.
func (d *deployment) finish(broken string) string {
	if broken == "" {
		d.record("verdict: the rule held")
	} else {
		d.record("verdict: the rule is broken: %s", broken)
	}
	d.stop()
	return broken
}

// awaitStates waits until all jobs are final, and returns their states.
func (d *deployment) awaitStates(ids []string, limit time.Duration) map[string]string {
	states := make(map[string]string)
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		final := 0
		for _, id := range ids {
			if s := states[id]; s == "completed" || s == "failed" || s == "cancelled" {
				final++
				continue
			}
			state := d.state(id)
			if state != "" && state != states[id] {
				d.record("client: GET %s: %s", id, state)
				states[id] = state
			}
		}
		if final == len(ids) {
			break
		}
	}
	return states
}

// rebornRack: all workers of a rack crash and start again, and the process that holds their pool's duty is killed meanwhile.
func rebornRack(record string, trouble bool) (string, error) {
	d, err := newDeployment(record, layout{processes: 3, machines: [][]string{{"a", "r1-1"}, {"a", "r1-1"}, {"a", "r1-1"}}, machineCPU: 64000})
	if err != nil {
		return "", err
	}
	if err := d.start(); err != nil {
		d.stop()
		return "", err
	}
	ids := []string{"5c0e7a21d94b36a1", "5c0e7a21d94b36a2", "5c0e7a21d94b36a3", "5c0e7a21d94b36a4"}
	short := `{"spec":"{\"ms\":[100],\"cpu\":[1000]}","phases":[{"count":4,"cpu":1000,"memMb":256,"estimateMs":100}]}`
	gang := `{"spec":"{\"ms\":[800],\"cpu\":[1000],\"gang\":[4]}","phases":[{"count":4,"cpu":1000,"memMb":256,"estimateMs":800,"gang":true}]}`
	unestimated := `{"spec":"{\"ms\":[1500],\"cpu\":[1000]}","phases":[{"count":2,"cpu":1000,"memMb":256}]}`
	if !d.submit(ids[0], short) {
		d.stop()
		return "", fmt.Errorf("the job was not accepted")
	}
	if s := d.awaitStates(ids[:1], 10*time.Second); s[ids[0]] != "completed" {
		d.stop()
		return "", fmt.Errorf("the first job was not completed before the trouble: %v", s)
	}
	if trouble {
		d.record("TROUBLE: all workers of rack r1-1 crash for 5 s")
		for _, w := range d.workers() {
			w.crash()
		}
		time.Sleep(2 * time.Second)
		if err := d.killHolder(); err != nil {
			d.stop()
			return "", err
		}
		time.Sleep(2 * time.Second)
		for _, w := range d.workers() {
			if err := w.begin(); err != nil {
				d.stop()
				return "", err
			}
		}
	}
	d.record("the trouble is over")
	time.Sleep(10 * time.Second)
	for i, body := range []string{short, gang, unestimated} {
		if !d.submit(ids[i+1], body) {
			d.stop()
			return "", fmt.Errorf("the job was not accepted")
		}
	}
	const watched = 40 * time.Second
	states := d.awaitStates(ids[1:], watched)
	var broken []string
	for _, id := range ids[1:] {
		if states[id] != "completed" {
			broken = append(broken, fmt.Sprintf("job %s is shown as %q %s after it was accepted, with %d runs and an empty pool", id, states[id], watched, len(d.runsOf(id))))
		}
	}
	for _, name := range []string{"worker-ends-uncertain", "work-duty-taken"} {
		d.recordLog(name, "")
	}
	if len(broken) > 0 {
		return d.finish("LOST: " + strings.Join(broken, "; ")), nil
	}
	return d.finish(""), nil
}

// flappingWorker: one worker of eight goes down and up by turns while the pool is full.
func flappingWorker(record string, trouble bool) (string, error) {
	l := layout{processes: 3, machineCPU: 64000}
	for i := range 10 {
		l.machines = append(l.machines, []string{"a", fmt.Sprintf("r1-%d", 1+i/4)})
	}
	d, err := newDeployment(record, l)
	if err != nil {
		return "", err
	}
	if err := d.start(); err != nil {
		d.stop()
		return "", err
	}
	var ids []string
	for i := range 12 {
		id := fmt.Sprintf("5c0e7a21d94b36%02x", i)
		if !d.submit(id, `{"spec":"{\"ms\":[20000],\"cpu\":[60000]}","phases":[{"count":1,"cpu":60000,"memMb":1024,"estimateMs":20000}]}`) {
			d.stop()
			return "", fmt.Errorf("the job was not accepted")
		}
		ids = append(ids, id)
	}
	if !d.awaitBusy(len(l.machines), 15*time.Second) {
		d.stop()
		return "", fmt.Errorf("not all workers got a task")
	}
	if trouble {
		const period, length = 1400 * time.Millisecond, 6500 * time.Millisecond
		w := d.busyWorkers()[0]
		d.record("TROUBLE: worker %s goes down and up by turns, period %s, for %s", w.id, period, length)
		for end := time.Now().Add(length); time.Now().Before(end); {
			w.crash()
			time.Sleep(period / 2)
			if err := w.begin(); err != nil {
				d.stop()
				return "", err
			}
			time.Sleep(period / 2)
		}
		d.record("the trouble is over")
	}
	states := d.awaitStates(ids, 75*time.Second)
	var broken []string
	for _, id := range ids {
		failed := 0
		for _, r := range d.runsOf(id) {
			if r.how == "failed" {
				failed++
			}
		}
		if states[id] == "failed" && failed < attempts {
			d.recordLog("worker-crashed", id)
			broken = append(broken, fmt.Sprintf("job %s is shown as failed, and %d of its runs have ended failed", id, failed))
		} else if states[id] != "completed" {
			broken = append(broken, fmt.Sprintf("job %s is shown as %q", id, states[id]))
		}
	}
	if len(broken) > 0 {
		return d.finish("LOST: " + strings.Join(broken, "; ")), nil
	}
	return d.finish(""), nil
}

// busyWorkers returns the workers that run tasks.
func (d *deployment) busyWorkers() []*worker {
	var busy []*worker
	for _, w := range d.workers() {
		w.mu.Lock()
		if w.up && len(w.active) > 0 {
			busy = append(busy, w)
		}
		w.mu.Unlock()
	}
	return busy
}

// awaitBusy waits until a number of workers run tasks.
func (d *deployment) awaitBusy(n int, limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if len(d.busyWorkers()) >= n {
			return true
		}
	}
	return false
}
