package work_test

import (
	"fmt"
	"testing"
	"time"

	"siskincross/core/work"
)

// TestLongRunningTaskCrashesListedWorkers guards against a long-running task that is started without a bound because its
// workers return only after their leases have expired, while the directory still lists them.
func TestLongRunningTaskCrashesListedWorkers(t *testing.T) {
	p := newCrashPool(t, 6)
	p.downtime = 8 * time.Second
	p.crashing["bad"] = true
	j := chainJob("bad", 1, 1)
	j.Steps[1].LongRunning = true
	j.Steps[1].DependsOn = nil
	p.addJob(j)
	p.run(90 * time.Second)
	p.assertGivenUp("bad")
}

// TestBystandersAfterVerdict guards against crashes that count for tasks beside a culprit whose job was just given up.
func TestBystandersAfterVerdict(t *testing.T) {
	for _, name := range []work.JobID{"a-sound", "z-sound"} {
		t.Run(string(name), func(t *testing.T) {
			p := newCrashPool(t, 2)
			lasting := newLongRunningJob(name, 2)
			lasting.Steps[0].SpreadLimit = 1
			p.addJob(lasting)
			p.run(8 * time.Second)
			counted := 0
			p.scheduler.OnCrash = func(v work.CrashVerdict) {
				if v.Run.Task.Job == name {
					counted++
				}
			}
			p.addCrashing("bad")
			p.run(20 * time.Second)
			p.assertGivenUp("bad")
			p.is.Equal(counted, 1) // only the first crash, which was not on trial
		})
	}
}

// TestWorkersLosePowerTogether guards against sound jobs that are given up because workers end together while the calls to
// them time out one after the other.
func TestWorkersLosePowerTogether(t *testing.T) {
	for _, n := range []int{6, 24} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			p := newCrashPool(t, n)
			p.missSpread = time.Second
			for range 6 {
				p.runBeside(3700*time.Millisecond, n/2)
				for _, w := range p.workers {
					p.crash(w)
				}
			}
			p.run(60 * time.Second)
			p.assertOthersComplete()
		})
	}
}
