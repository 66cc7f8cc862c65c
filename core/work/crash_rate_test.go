package work_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"siskincross/core/work"
)

// crashByTurns crashes one worker after the other for a while, in random order.
func (p *crashPool) crashByTurns(random *rand.Rand, interval, d time.Duration) {
	p.downtime = interval - 100*time.Millisecond
	for range d / interval {
		p.crash(p.workers[random.IntN(len(p.workers))])
		p.run(interval)
	}
}

// newSpreadJob returns a job of long-running tasks on as many workers, of which one may be away.
func newSpreadJob(id work.JobID, tasks int) work.Job {
	j := newLongRunningJob(id, tasks)
	j.Steps[0].SpreadLimit = 1
	return j
}

// TestWorkersCrashByTurns guards against a long-running job that is given up, and whose other tasks are stopped, because its workers
// crash one after the other, as often as those without its tasks.
func TestWorkersCrashByTurns(t *testing.T) {
	const seeds = 5
	for _, tasks := range []int{1, 3, 8} {
		for seed := range uint64(seeds) {
			t.Run(fmt.Sprintf("%d tasks, seed %d", tasks, seed), func(t *testing.T) {
				p := newCrashPool(t, 8)
				p.addJob(newSpreadJob("lasting", tasks))
				p.run(5 * time.Second)
				p.crashByTurns(rand.New(rand.NewPCG(seed, 0)), 2*time.Second, 4*time.Minute)
				p.is.True(!p.states["lasting"].IsFinal())
			})
		}
	}
	t.Run("holders replace each other", func(t *testing.T) {
		random := rand.New(rand.NewPCG(1, 0))
		p := newCrashPool(t, 8)
		p.addJob(newSpreadJob("lasting", 3))
		p.run(5 * time.Second)
		for range 16 {
			p.crashByTurns(random, 2*time.Second, 14*time.Second)
			p.takeOver()
		}
		p.is.True(!p.states["lasting"].IsFinal())
	})
}

// TestLongRunningTaskCrashesAmongOthers guards against a long-running task that is started without a bound, because the workers without
// it crash too.
func TestLongRunningTaskCrashesAmongOthers(t *testing.T) {
	for _, delay := range []time.Duration{crashStep, 400 * time.Millisecond} {
		t.Run(fmt.Sprintf("%s after its start", delay), func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 0))
			p := newCrashPool(t, 12)
			p.crashDelay = delay
			p.addJob(newSpreadJob("lasting", 8))
			p.run(5 * time.Second)
			p.crashByTurns(random, 2*time.Second, 30*time.Second)
			p.crashing["bad"] = true
			j := chainJob("bad", 1, 1)
			j.Steps[1].LongRunning = true
			j.Steps[1].DependsOn = nil
			p.addJob(j)
			p.crashByTurns(random, 2*time.Second, 4*time.Minute)
			p.assertGivenUp("bad")
			p.is.True(!p.states["lasting"].IsFinal())
		})
	}
}
