package work_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"siskincross/core/work"
)

// withCuts runs a pool with a lasting job and others, in which a worker is cut off every second, one after the other, and returns
// the recorded crashes.
func withCuts(t *testing.T, cut func(p *crashPool, i int)) (*crashPool, []work.CrashVerdict) {
	t.Helper()
	p := newCrashPool(t, 8)
	var crashes []work.CrashVerdict
	p.scheduler.OnCrash = func(v work.CrashVerdict) { crashes = append(crashes, v) }
	lasting := newLongRunningJob("lasting", 3)
	lasting.Steps[0].SpreadLimit = 1
	p.addJob(lasting)
	p.run(8 * time.Second)
	for i := range 40 {
		cut(p, i)
		p.runBeside(time.Second, 4)
	}
	return p, crashes
}

// TestCutWorkersAreNoCrashes guards against jobs that are given up because their workers were cut off from everybody for longer than
// their leases, and unlisted: they lived, and no task had failed.
func TestCutWorkersAreNoCrashes(t *testing.T) {
	for name, d := range map[string]time.Duration{"until their leases have lapsed": 8500 * time.Millisecond, "until they are unlisted": 4600 * time.Millisecond, "for long": 30 * time.Second} {
		t.Run(name, func(t *testing.T) {
			p, crashes := withCuts(t, func(p *crashPool, i int) { p.cut(p.workers[i%6], d) })
			p.is.Equal(len(crashes), 0)
			p.run(40 * time.Second)
			p.assertOthersComplete()
			p.is.True(!p.states["lasting"].IsFinal())
		})
	}
	t.Run("that run the same lasting task", func(t *testing.T) {
		p, crashes := withCuts(t, func(p *crashPool, _ int) { p.cut(p.workerOf(work.TaskID{Job: "lasting"}), 8500*time.Millisecond) })
		p.is.Equal(len(crashes), 0)
		p.is.True(!p.states["lasting"].IsFinal())
	})
}

// TestCrashOfUnlistedWorkerCounts guards against a task that crashes worker after worker unnoticed, because each returns only after
// it is no longer listed.
func TestCrashOfUnlistedWorkerCounts(t *testing.T) {
	for _, keepsIDs := range []bool{false, true} {
		is := is.New(t)
		p := newCrashPool(t, 6)
		p.keepsIDs, p.unlistsCrashed, p.downtime = keepsIDs, true, 8*time.Second
		p.addCrashing("bad")
		p.runBeside(90*time.Second, 2)
		p.assertGivenUp("bad")
		is.True(p.starts[work.TaskID{Job: "bad", Step: 1}] > 1)
		p.assertOthersComplete()
	}
}
