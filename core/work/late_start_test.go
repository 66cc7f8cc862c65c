package work_test

import (
	"testing"
	"time"

	"siskincross/core/work"
)

// TestLateStartExtendsNextLease guards against a lasting task that runs on two workers: a start order to an earlier incarnation is carried
// out late, and its deadline extends the lease of the next one, which is cut off meanwhile.
func TestLateStartExtendsNextLease(t *testing.T) {
	p := newCrashPool(t, 3)
	p.keepsIDs, p.downtime = true, 500*time.Millisecond
	for _, w := range p.workers {
		p.crash(w) // from now on they keep their IDs
	}
	p.run(2 * time.Second)
	p.unanswered = "late"
	p.add("late", 1)
	p.run(100 * time.Millisecond)
	w := p.at(p.unansweredAt)
	p.crash(w)
	p.unanswered = ""
	p.run(2 * time.Second)
	lasting := newLongRunningJob("lasting", 3)
	lasting.Steps[0].SpreadLimit = 2
	p.addJob(lasting)
	p.run(2 * time.Second)
	var task work.TaskID
	for run := range w.runs {
		task = run.Task
	}
	p.is.Equal(task.Job, work.JobID("lasting"))
	p.cut(w, 9*time.Second)
	p.run(8 * time.Second)
	p.is.Equal(p.starts[task], 1) // the late order may still have extended the lease
	p.run(4 * time.Second)
	p.is.Equal(p.starts[task], 2) // the worker is back and has reported that the lease has lapsed
}
