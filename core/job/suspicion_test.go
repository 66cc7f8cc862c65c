package job

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"siskincross/core/host"
)

// maxWorkerFailures bounds the tasks that one faulty worker may fail.
const maxWorkerFailures = 5

// assertSuspected asserts which workers are suspected.
func assertSuspected(b *simulation, want ...host.ID) {
	b.t.Helper()
	got := b.s.Counts().Suspected
	if fmt.Sprint(got) != fmt.Sprint(want) {
		b.t.Errorf("suspected workers: got %v, want %v", got, want)
	}
}

// assertNeverSuspected asserts that no worker outside bad was ever suspected.
func assertNeverSuspected(b *simulation, bad map[host.ID]bool) {
	b.t.Helper()
	for _, n := range b.notices[NoticeSuspected] {
		if !bad[n.Host] {
			b.t.Errorf("good worker %s was suspected: %s", n.Host, n.Detail)
		}
	}
}

// assertFailuresBounded asserts that each faulty worker failed at least one and at most maxWorkerFailures
// tasks.
func assertFailuresBounded(b *simulation, bad map[host.ID]bool) {
	b.t.Helper()
	for h := range bad {
		if n := b.workerFailures[h]; n == 0 || n > maxWorkerFailures {
			b.t.Errorf("bad worker %s failed %d tasks, want 1 to %d", h, n, maxWorkerFailures)
		}
	}
}

// failingBehaviour returns a behaviour in which tasks of the given workers and jobs fail after a delay.
func failingBehaviour(bad map[host.ID]bool, poison map[ID]bool, after time.Duration) func(h host.ID, j Job) behaviour {
	return func(h host.ID, j Job) behaviour {
		if bad[h] || poison[j.ID] {
			return behaviour{duration: after, fails: true, poison: poison[j.ID], cores: 1, memory: gigabyte}
		}
		return behaviour{duration: 20 * time.Second, cores: 1, memory: gigabyte}
	}
}

func TestSuspicionTellsJobsFromWorkers(t *testing.T) {
	cases := []struct {
		name      string
		workers   int
		bad       []int
		good      int
		poison    int
		failAfter time.Duration
	}{
		{name: "a bad worker", workers: 12, bad: []int{3}, good: 400, failAfter: time.Second},
		{name: "jobs that can never run", workers: 12, good: 300, poison: 30, failAfter: time.Second},
		{name: "both together", workers: 12, bad: []int{3}, good: 400, poison: 30, failAfter: time.Second},
		{name: "both, slow failures", workers: 12, bad: []int{3}, good: 400, poison: 30, failAfter: 10 * time.Second},
		{name: "three bad workers of twelve", workers: 12, bad: []int{0, 5, 9}, good: 400, poison: 10, failAfter: 2 * time.Second},
		{name: "more jobs that can never run than slots", workers: 6, bad: []int{2}, good: 100, poison: 120, failAfter: time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newSimulation(t, c.workers)
			bad := make(map[host.ID]bool)
			var suspects []host.ID
			for _, i := range c.bad {
				suspects = append(suspects, b.targets[i].Host)
				bad[b.targets[i].Host] = true
			}
			poison := make(map[ID]bool)
			b.behaviour = failingBehaviour(bad, poison, c.failAfter)
			ids, poisoned := submitMixed(b, c.good, c.poison, poison)
			b.run(30 * time.Minute)
			b.is.Equal(b.count(ids, "finished"), c.good)
			b.is.Equal(b.count(poisoned, "parked"), c.poison)
			assertSuspected(b, suspects...)
			assertNeverSuspected(b, bad)
			assertFailuresBounded(b, bad)
			maxFailures := 0
			for _, id := range poisoned {
				maxFailures = max(maxFailures, len(b.ended[id].Failures))
			}
			t.Logf("failed by worker %v, maximum failures of a parked job %d", b.workerFailures, maxFailures)
		})
	}
}

// submitMixed submits good and poison jobs of the same template. The poison jobs are spread evenly among the
// others.
func submitMixed(b *simulation, good, bad int, poison map[ID]bool) (ids, poisoned []ID) {
	for i := range good + bad {
		id := b.submit(1, testSpec(fmt.Sprintf("team-%d", i%4), "video"))[0]
		if i*bad/(good+bad) != (i+1)*bad/(good+bad) {
			poison[id] = true
			poisoned = append(poisoned, id)
		} else {
			ids = append(ids, id)
		}
	}
	return ids, poisoned
}

func TestSuspectedWorkerThatRecoversIsCleared(t *testing.T) {
	b := newSimulation(t, 6)
	bad := map[host.ID]bool{b.targets[0].Host: true}
	b.behaviour = failingBehaviour(bad, nil, time.Second)
	b.submit(200, testSpec("video", "video"))
	b.run(90 * time.Second)
	assertSuspected(b, b.targets[0].Host)
	delete(bad, b.targets[0].Host)
	b.submit(2000, testSpec("video", "video"))
	b.run(5 * time.Minute)
	assertSuspected(b)
	b.is.Equal(len(b.notices[NoticeCleared]), 1)
}

func TestJobParkedByBadWorkersRunsAfterAll(t *testing.T) {
	b := newSimulation(t, 4)
	bad := map[host.ID]bool{b.targets[0].Host: true, b.targets[1].Host: true, b.targets[2].Host: true}
	b.behaviour = failingBehaviour(bad, nil, time.Second)
	ids := b.submit(60, testSpec("video", "video"))
	b.run(30 * time.Minute)
	b.is.Equal(b.count(ids, "finished"), 60)
	assertSuspected(b, b.targets[0].Host, b.targets[1].Host, b.targets[2].Host)
	assertFailuresBounded(b, bad)
}

func TestWorkersThatTurnBadParkNothing(t *testing.T) {
	b := newSimulation(t, 8)
	bad := make(map[host.ID]bool)
	b.behaviour = failingBehaviour(bad, nil, time.Second)
	ids := b.submit(100, testSpec("video", "video"))
	b.run(90 * time.Second)
	for _, i := range []int{0, 2, 4, 6} {
		bad[b.targets[i].Host] = true
	}
	ids = append(ids, b.submit(100, testSpec("video", "video"))...)
	b.run(30 * time.Minute)
	b.is.True(len(b.notices[NoticeReleased]) > 0)
	b.is.Equal(b.count(ids, "finished"), 200)
	assertNeverSuspected(b, bad)
}

func TestJobThatRunsOnceGetsAProvedWorker(t *testing.T) {
	b := newSimulation(t, 6)
	b.submit(1, testSpec("video", "video"))
	b.run(30 * time.Second)
	var proven host.ID
	for _, w := range b.s.sortedWorkers {
		if !w.health.lastSuccessStart.IsZero() {
			proven = w.id
		}
	}
	spec := testSpec("video", "video")
	spec.Idempotent = false
	for _, id := range b.submit(maxUnlearntTasks, spec) {
		b.run(time.Second)
		j, _ := b.s.Job(id)
		b.is.Equal(j.Host, proven)
	}
}

func TestRebootedWorkerIsProbedAgain(t *testing.T) {
	b := newSimulation(t, 6)
	worker := b.targets[0]
	bad := map[host.ID]bool{worker.Host: true}
	b.behaviour = failingBehaviour(bad, nil, time.Second)
	b.submit(6000, testSpec("video", "video"))
	b.run(20 * time.Minute)
	assertSuspected(b, worker.Host)
	assertFailuresBounded(b, bad)
	lost := b.workerFailures[worker.Host]
	b.run(20 * time.Minute)
	b.is.Equal(b.workerFailures[worker.Host], lost)
	delete(bad, worker.Host)
	b.s.SetWorkers(b.targets[1:], b.now)
	b.run(2 * minRebootAbsence)
	b.s.SetWorkers(b.targets, b.now)
	b.run(2 * time.Minute)
	assertSuspected(b)
}

// TestSuspicionOverSeeds combines faulty workers, up to a quarter of all, with jobs that can never run, up to
// a third, over random seeds.
func TestSuspicionOverSeeds(t *testing.T) {
	for seed := range uint64(40) {
		random := rand.New(rand.NewPCG(seed, 4))
		workers := 6 + random.IntN(15)
		b := newSimulation(t, workers)
		bad := make(map[host.ID]bool)
		for range 1 + random.IntN(workers/4) {
			bad[b.targets[random.IntN(workers)].Host] = true
		}
		poison := make(map[ID]bool)
		b.behaviour = failingBehaviour(bad, poison, 500*time.Millisecond+time.Duration(random.IntN(19))*500*time.Millisecond)
		good := 150 + random.IntN(250)
		ids, poisoned := submitMixed(b, good, random.IntN(good/2), poison)
		b.run(time.Hour)
		if finished, parked := b.count(ids, "finished"), b.count(poisoned, "parked"); finished < good || parked < len(poisoned) {
			t.Errorf("seed %d: %d of %d jobs finished, %d of %d parked", seed, finished, good, parked, len(poisoned))
		}
		assertNeverSuspected(b, bad)
		assertFailuresBounded(b, bad)
	}
}
