package jobs

import (
	"sync"
	"testing"
	"time"

	"siskincross/core/host"
	"siskincross/core/job"
	"siskincross/io/platform"
)

// cancelAll cancels jobs concurrently, spread over the given entry hosts.
func (f *fixture) cancelAll(ids []job.ID, managers ...*Manager) {
	f.t.Helper()
	var group sync.WaitGroup
	for i, id := range ids {
		group.Go(func() {
			if _, err := managers[i%len(managers)].cancel(f.ctx, "kunta", id); err != nil {
				f.t.Errorf("cancel %s: %v", id, err)
			}
		})
	}
	group.Wait()
}

func TestWaveOfCancellations(t *testing.T) {
	const jobs, hosts = 1000, 200
	withFixture(t, hosts, func(f *fixture) {
		f.workers.behave = longTask
		a, stopA := f.startManager("a")
		defer stopA()
		b, stopB := f.startManager("b")
		defer stopB()
		ids := f.submitMany(a, submission(), jobs)
		time.Sleep(time.Minute)
		before := f.table.Counts()
		free := a.Status().Pools[0].FreeSlots
		begin := time.Now()
		f.cancelAll(ids, a, b)
		requested := time.Since(begin)
		for a.Status().Pools[0].FreeSlots < free+jobs {
			if time.Since(begin) > time.Minute {
				t.Fatalf("%d of %d slots free", a.Status().Pools[0].FreeSlots, free+jobs)
			}
			time.Sleep(10 * time.Millisecond)
		}
		freed := time.Since(begin)
		last := f.lastEnd()
		for _, id := range ids {
			f.awaitState(id, job.StateCancelled, 5*time.Second)
		}
		after := f.table.Counts()
		commits := after.Commits - before.Commits
		t.Logf("%d cancellations: all requested after %v, all slots free %v after the first, %v after the last worker's answer, %d commits, %.1f writes and %.1f reads a job",
			jobs, requested, freed, begin.Add(freed).Sub(last), commits,
			float64(after.RowWrites-before.RowWrites)/jobs, float64(after.RowReads-before.RowReads)/jobs)
		if delay := begin.Add(freed).Sub(last); delay > time.Second {
			t.Errorf("slots were free %v after the last worker's answer", delay)
		}
		f.is.True(commits <= jobs/10)
	})
}

// lastEnd returns when the last task ended on its worker.
func (f *fixture) lastEnd() time.Time {
	f.workers.mu.Lock()
	defer f.workers.mu.Unlock()
	var last time.Time
	for _, h := range f.workers.hosts {
		for _, t := range h.tasks {
			if t.ended.After(last) {
				last = t.ended
			}
		}
	}
	return last
}

func TestCancelRacesWithFinish(t *testing.T) {
	withFixture(t, 20, func(f *fixture) {
		f.workers.behave = func(host.ID, platform.TaskSpec) behaviour {
			return behaviour{duration: 30 * time.Second, cores: 1, memory: gigabyte}
		}
		a, stopA := f.startManager("a")
		defer stopA()
		b, stopB := f.startManager("b")
		defer stopB()
		ids := f.submitMany(a, nonIdempotentSubmission(), 40)
		time.Sleep(28 * time.Second)
		for i := range 40 {
			f.cancelAll(ids[i:i+1], b)
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(20 * time.Second)
		outcomes := make(map[string]int)
		for _, id := range ids {
			j := f.row(id)
			outcomes[string(j.State)]++
			fromA, err := a.get(f.ctx, "kunta", id)
			f.is.NoErr(err)
			f.is.Equal(fromA.State, j.State)
			f.is.Equal(j.State == job.StateFinished, j.Result != "")
			again, err := b.cancel(f.ctx, "kunta", id)
			f.is.NoErr(err)
			f.is.Equal(again.State, j.State)
		}
		t.Logf("outcomes: %v", outcomes)
		f.is.Equal(outcomes["finished"]+outcomes["cancelled"], 40)
		f.is.True(outcomes["finished"] > 0)
		f.is.True(outcomes["cancelled"] > 0)
		f.assertOnce(ids)
	})
}

func TestCancelledBeforeItsStartIsCommitted(t *testing.T) {
	withFixture(t, 0, func(f *fixture) {
		m, stop := f.startManager("a")
		defer stop()
		j := f.submit(m, nonIdempotentSubmission(), "")
		time.Sleep(time.Second)
		cancelled, err := m.cancel(f.ctx, "kunta", j.ID)
		f.is.NoErr(err)
		f.is.Equal(cancelled.State, job.StateCancelled)
		f.update(func() { f.targets = append(f.targets, testTarget(1)) })
		time.Sleep(10 * time.Second)
		f.is.Equal(len(f.workers.started()), 0)
		f.is.Equal(f.row(j.ID).State, job.StateCancelled)
	})
}
