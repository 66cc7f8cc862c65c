package standin

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"siskincross/core/host"
	"siskincross/io/platform"
)

const testLease = 10 * time.Second

// newTestPlatform returns a platform with two hosts that is not started, and its services without a wire format.
func newTestPlatform() (*Platform, platform.Services) {
	p := New(Fleet{UsageLag: 2 * time.Second, Hosts: []HostSpec{
		{ID: "h1", Capacity: host.Capacity{Slots: 4, MemoryBytes: 1000}},
		{ID: "h2", Capacity: host.Capacity{Slots: 4, MemoryBytes: 1000}},
	}})
	return p, p.Services()
}

// startTask starts the task t1 of the job j1 on a host, with the epoch, program and checkpoint of spec.
func startTask(t *testing.T, s platform.Services, id host.ID, spec platform.TaskSpec) {
	t.Helper()
	spec.Task, spec.Job, spec.Pool, spec.Lease = "t1", "j1", "o/p", testLease
	is.New(t).NoErr(s.Workers.StartTask(context.Background(), id, spec))
}

// assertState asserts that the host has one task, that it is in the state want, and returns its status.
func assertState(t *testing.T, s platform.Services, id host.ID, want platform.TaskState) platform.TaskStatus {
	t.Helper()
	is := is.New(t)
	tasks, err := s.Workers.ListTasks(context.Background(), id)
	is.NoErr(err)
	is.Equal(len(tasks), 1)
	is.Equal(tasks[0].State, want)
	return tasks[0]
}

func TestTasks(t *testing.T) {
	command := platform.TaskCommand{Task: "t1", Pool: "o/p", Epoch: 1}
	subtest := func(name string, run func(t *testing.T, p *Platform, s platform.Services)) {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p, s := newTestPlatform()
				run(t, p, s)
			})
		})
	}
	subtest("finish with a result", func(t *testing.T, _ *Platform, s platform.Services) {
		startTask(t, s, "h1", platform.TaskSpec{Program: "work=5s result-bytes=100"})
		time.Sleep(5 * time.Second)
		status := assertState(t, s, "h1", platform.TaskFinished)
		content, err := s.Objects.Get(context.Background(), status.Result)
		is.New(t).NoErr(err)
		is.New(t).Equal(len(content), 100)
	})
	subtest("lapse without a renewal", func(t *testing.T, p *Platform, s platform.Services) {
		startTask(t, s, "h1", platform.TaskSpec{Program: "work=1h"})
		is.New(t).NoErr(p.FailHost("h1", FailHang))
		time.Sleep(testLease)
		is.New(t).NoErr(p.RecoverHost("h1"))
		assertState(t, s, "h1", platform.TaskLapsed)
	})
	subtest("keep running while the lease is renewed", func(t *testing.T, _ *Platform, s platform.Services) {
		startTask(t, s, "h1", platform.TaskSpec{Program: "work=1h"})
		time.Sleep(testLease - 1)
		lease := platform.LeaseRenewal{Pool: "o/p", Tasks: []string{"t1"}, Duration: testLease}
		is.New(t).NoErr(s.Workers.RenewLeases(context.Background(), "h1", lease))
		time.Sleep(testLease - 1)
		assertState(t, s, "h1", platform.TaskRunning)
	})
	subtest("resume from a checkpoint on another worker", func(t *testing.T, _ *Platform, s platform.Services) {
		startTask(t, s, "h1", platform.TaskSpec{Program: "work=8s", Epoch: 1})
		time.Sleep(6 * time.Second)
		is.New(t).NoErr(s.Workers.CheckpointTask(context.Background(), "h1", command))
		is.New(t).NoErr(s.Workers.StopTask(context.Background(), "h1", command))
		checkpoint := assertState(t, s, "h1", platform.TaskStopped).Checkpoint
		startTask(t, s, "h2", platform.TaskSpec{Program: "work=8s", Checkpoint: checkpoint})
		time.Sleep(2 * time.Second)
		assertState(t, s, "h2", platform.TaskFinished)
	})
	subtest("slow down when throttled, with usage that lags", func(t *testing.T, _ *Platform, s platform.Services) {
		startTask(t, s, "h1", platform.TaskSpec{Program: "work=4s cores=8", Cores: 1, Epoch: 1})
		is.New(t).Equal(assertState(t, s, "h1", platform.TaskRunning).UsedCores, 0.0)
		is.New(t).NoErr(s.Workers.ThrottleTask(context.Background(), "h1", command, 0.5))
		time.Sleep(7 * time.Second)
		is.New(t).Equal(assertState(t, s, "h1", platform.TaskRunning).UsedCores, 4.0)
		time.Sleep(time.Second)
		assertState(t, s, "h1", platform.TaskFinished)
	})
	subtest("fail on a worker that fails everything", func(t *testing.T, p *Platform, s platform.Services) {
		is.New(t).NoErr(p.SetTargetFaults("h1", TargetFaults{FailTasks: true}))
		startTask(t, s, "h1", platform.TaskSpec{Program: "work=8s"})
		assertState(t, s, "h1", platform.TaskFailed)
	})
	subtest("refuse stale epochs", func(t *testing.T, _ *Platform, s platform.Services) {
		startTask(t, s, "h1", platform.TaskSpec{Program: "work=8s", Epoch: 2})
		var stale platform.ErrStaleEpoch
		is.New(t).True(errors.As(s.Workers.StopTask(context.Background(), "h1", command), &stale))
		is.New(t).Equal(stale.Highest, uint64(2))
		assertState(t, s, "h1", platform.TaskRunning)
	})
}

func TestListLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := New(Fleet{ListLag: 3 * time.Second, Hosts: []HostSpec{{ID: "h1"}, {ID: "h2"}}})
		condition := func() platform.Condition {
			hosts, err := p.Services().Hosts.List(context.Background())
			is.NoErr(err)
			return hosts[0].Condition
		}
		is.NoErr(p.AnnounceHostRemoval("h1", 10*time.Second))
		time.Sleep(3*time.Second - 1)
		is.Equal(condition(), platform.ConditionLive)
		time.Sleep(time.Nanosecond)
		is.Equal(condition(), platform.ConditionLeaving)
		time.Sleep(10 * time.Second)
		hosts, err := p.Services().Hosts.List(context.Background())
		is.NoErr(err)
		is.Equal(len(hosts), 1)
	})
}
