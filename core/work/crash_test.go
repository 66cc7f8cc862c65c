package work_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskincross/core/work"
)

// maxStartsOfCrashingTask is the number of starts of a task that crashes its workers: it is not started three times
// more after three workers have crashed under it.
const maxStartsOfCrashingTask = 5

// TestTaskCrashesWorkers guards against a task that is started on one worker after the other although each of
// them crashes under it, and against the loss of other jobs by it.
func TestTaskCrashesWorkers(t *testing.T) {
	for _, delay := range []time.Duration{0, crashStep, 50 * time.Millisecond, 400 * time.Millisecond} {
		t.Run(fmt.Sprintf("%s after its start", delay), func(t *testing.T) {
			p := newCrashPool(t, 6)
			p.crashDelay = delay
			p.addCrashing("bad")
			p.runBeside(20*time.Second, 4)
			p.assertGivenUp("bad")
			p.assertOthersComplete()
		})
	}
	t.Run("several at a time", func(t *testing.T) {
		p := newCrashPool(t, 8)
		for i := range 6 {
			p.addCrashing(work.JobID(fmt.Sprint("bad", i)))
		}
		p.runBeside(40*time.Second, 4)
		for i := range 6 {
			p.assertGivenUp(work.JobID(fmt.Sprint("bad", i)))
		}
		p.assertOthersComplete()
	})
	t.Run("beside long-running tasks that were lost before", func(t *testing.T) {
		p := newCrashPool(t, 6)
		lasting := newLongRunningJob("lasting", 6)
		lasting.Steps[0].SpreadLimit = 1
		p.addJob(lasting)
		p.run(13 * time.Second)
		for _, w := range p.workers {
			p.crash(w)
			p.run(time.Second)
		}
		p.run(4 * time.Second)
		p.addCrashing("bad")
		p.runBeside(10*time.Second, 4)
		p.assertGivenUp("bad")
		p.assertOthersComplete()
	})
	t.Run("holders replace each other", func(t *testing.T) {
		p := newCrashPool(t, 6)
		p.addCrashing("bad")
		for range 8 {
			p.run(4 * time.Second)
			p.takeOver()
		}
		p.run(20 * time.Second)
		p.assertGivenUp("bad")
	})
	t.Run("start is never answered", func(t *testing.T) {
		p := newCrashPool(t, 6)
		p.losesAnswers = true
		p.addCrashing("bad")
		p.run(30 * time.Second)
		p.assertGivenUp("bad")
	})
	t.Run("worker returns under its ID", func(t *testing.T) {
		p := newCrashPool(t, 6)
		p.keepsIDs = true
		p.addCrashing("bad")
		p.runBeside(30*time.Second, 4)
		p.assertGivenUp("bad")
		p.assertOthersComplete()
	})
}

// TestWorkersCrashByThemselves guards against jobs that are given up only because they ran on workers that
// crashed, several at once and again and again.
func TestWorkersCrashByThemselves(t *testing.T) {
	for name, crashed := range map[string]int{"one worker": 1, "half of them": 3, "all of them": 6} {
		t.Run(name, func(t *testing.T) {
			p := newCrashPool(t, 6)
			for range 8 {
				p.runBeside(3700*time.Millisecond, 4)
				for _, w := range p.workers[:crashed] {
					p.crash(w)
				}
			}
			p.run(30 * time.Second)
			p.assertOthersComplete()
		})
	}
}

// TestBystandersOfCrashes guards against a long-running job that is given up because other jobs' tasks crash its
// workers again and again.
func TestBystandersOfCrashes(t *testing.T) {
	p := newCrashPool(t, 6)
	lasting := newLongRunningJob("lasting", 6)
	lasting.Steps[0].SpreadLimit = 1
	p.addJob(lasting)
	for i := range 24 {
		p.addCrashing(work.JobID(fmt.Sprint("bad", i)))
		p.runBeside(2500*time.Millisecond, 2)
	}
	p.assertOthersComplete()
	for i := range 24 {
		p.assertGivenUp(work.JobID(fmt.Sprint("bad", i)))
	}
	p.is.True(!p.states["lasting"].IsFinal())
}

// TestCrashesAreStored checks that what is known of crashes survives the holder.
func TestCrashesAreStored(t *testing.T) {
	is := is.New(t)
	task := work.TaskID{Job: "j", Step: 1, Index: 2}
	p := work.Progress{}.WithCrash(work.Crash{Run: work.RunID{Task: task, Attempt: 3}, MaxAge: 40 * time.Millisecond})
	p = p.WithCrash(work.Crash{Run: work.RunID{Task: task, Attempt: 3}, MaxAge: 40 * time.Millisecond})
	p = p.WithCrash(work.Crash{Run: work.RunID{Task: task, Attempt: 1001}, MinAge: 60 * time.Millisecond, MaxAge: 70 * time.Millisecond, Coincident: true})
	value, err := p.Encode()
	is.NoErr(err)
	decoded, err := work.DecodeProgress("j", value)
	is.NoErr(err)
	is.Equal(decoded.CrashCount(task), 2)
	is.Equal(decoded.WithoutCrashes(task).CrashCount(task), 0)
	is.Equal(decoded.CrashCount(work.TaskID{Job: "j", Step: 1}), 0)
}

// TestCrashesOfWideJob guards against progress that the table service refuses for its size: the workers of a job of many
// tasks crash together.
func TestCrashesOfWideJob(t *testing.T) {
	p := newCrashPool(t, 100)
	p.add("wide", 800)
	p.run(100 * time.Millisecond)
	for range 3 {
		for _, w := range p.workers {
			p.crash(w)
		}
		p.run(5 * time.Second)
	}
	p.is.True(p.largestRow < 48<<10)
	p.run(60 * time.Second)
	p.is.Equal(p.states["wide"], work.StateCompleted)
}

// TestWorkersCrashUnderOneTask guards against a long-running job that is given up, and whose tasks are stopped, because workers
// that end one after the other happen to run the same task.
func TestWorkersCrashUnderOneTask(t *testing.T) {
	p := newCrashPool(t, 6)
	lasting := newLongRunningJob("lasting", 2)
	lasting.Steps[0].SpreadLimit = 1
	p.addJob(lasting)
	p.run(8 * time.Second)
	for range 3 {
		w := p.workerOf(work.TaskID{Job: "lasting"})
		p.run(500 * time.Millisecond)
		p.crash(w)
	}
	p.run(10 * time.Second)
	p.is.True(!p.states["lasting"].IsFinal())
}

// workerOf runs the pool until a worker runs the task, and returns that worker.
func (p *crashPool) workerOf(t work.TaskID) *crashWorker {
	p.t.Helper()
	for range 1000 {
		for _, w := range p.workers {
			for r := range w.runs {
				if r.Task == t {
					return w
				}
			}
		}
		p.run(crashStep)
	}
	p.t.Fatalf("%s is not started", t)
	return nil
}
