package jobs

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"siskincross/core/chart"
	"siskincross/core/config"
	"siskincross/core/host"
	"siskincross/core/job"
	"siskincross/core/route"
	"siskincross/io/platform"
	"siskincross/io/standin"
	"siskincross/io/timeline"
)

const (
	testPool = "kunta/lessons"
	gigabyte = 1 << 30
)

// fixture is a pool with its table, its workers and its entry hosts.
type fixture struct {
	t       *testing.T
	is      *is.I
	ctx     context.Context
	table   *standin.Table
	workers *fakeWorkers

	// mu guards what entry hosts read while a test changes it. Use update.
	mu      sync.Mutex
	targets []route.Target
	teams   []config.Team
	// holder and epoch tell which entry host holds the pool's duty. Use assignDuty to change them.
	holder   string
	epoch    uint64
	draining []host.ID
	// staleEpochs holds the epochs of entry hosts that do not know yet that they lost the duty.
	staleEpochs map[string]uint64
	// service replaces the service of the table at entry hosts if its functions are set.
	service platform.Table
	// queuePool is the pool to which the queue has moved. The default is testPool.
	queuePool string
}

// withFixture runs a test in virtual time on a pool with the given number of hosts.
func withFixture(t *testing.T, hosts int, test func(f *fixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := &fixture{t: t, is: is.New(t), ctx: ctx, table: &standin.Table{}, workers: &fakeWorkers{}}
		f.teams = testTeams()
		for i := range hosts {
			f.targets = append(f.targets, testTarget(i))
		}
		f.assignDuty("a")
		test(f)
	})
}

func testTeams() []config.Team {
	return []config.Team{{Name: "kunta/video", Organisation: "kunta", Weight: 1, Slots: 10}}
}

func testTarget(i int) route.Target {
	return route.Target{
		Host:     host.ID(fmt.Sprintf("host-%03d", i)),
		Place:    host.Place{Zone: fmt.Sprintf("zone-%d", i%3), Rack: fmt.Sprintf("rack-%d", i/4)},
		Capacity: host.Capacity{Slots: 8, Connections: 64, Cores: 32, MemoryBytes: 64 * gigabyte},
	}
}

// assignDuty assigns the duty to an entry host, with the next epoch.
func (f *fixture) assignDuty(member string) {
	f.update(func() { f.holder, f.epoch = member, f.epoch+1 })
	value := encodeJSON(poolRow{Holder: member, Epoch: f.epoch})
	faults := f.table.Faults()
	f.table.SetFaults(standin.TableFaults{})
	err := f.table.Commit(f.ctx, platform.Transaction{Writes: []platform.Write{{Key: poolPrefix + testPool, Value: value}}})
	f.table.SetFaults(faults)
	f.is.NoErr(err)
}

// update changes what entry hosts read.
func (f *fixture) update(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

func (f *fixture) config() config.Expanded {
	f.mu.Lock()
	defer f.mu.Unlock()
	pool := testPool
	if f.queuePool != "" {
		pool = f.queuePool
	}
	return config.Expanded{
		Version: 1,
		Pools: []config.Pool{
			{Name: testPool, Organisation: "kunta", Hosts: len(f.targets)},
			{Name: "kunta/spare", Organisation: "kunta"},
		},
		Queues: []config.Queue{{Name: "kunta/render", Organisation: "kunta", Pool: pool}},
		Teams:  f.teams,
	}
}

// startManager starts an entry host. The returned function stops it without a handover, as a crash does.
func (f *fixture) startManager(member string) (*Manager, func()) {
	service := f.service
	if service.Commit == nil {
		service = f.table.Service()
	}
	m := &Manager{
		Platform: platform.Services{Table: service, Workers: f.workers.platform(), Objects: f.workers.objectStore()},
		Config:   f.config,
		Snapshot: func(string) (route.Snapshot, bool) {
			f.mu.Lock()
			defer f.mu.Unlock()
			return route.Snapshot{Targets: f.targets}, true
		},
		HoldsDuty: func(pool string) (uint64, bool) {
			f.mu.Lock()
			defer f.mu.Unlock()
			if epoch, ok := f.staleEpochs[member]; ok {
				return epoch, pool == testPool
			}
			return f.epoch, f.holder == member && pool == testPool
		},
		DrainingHosts: func(string) []host.ID {
			f.mu.Lock()
			defer f.mu.Unlock()
			return f.draining
		},
		Recorder: &timeline.Recorder{Process: member},
		MemberID: member,
	}
	ctx, cancel := context.WithCancel(f.ctx)
	ended := m.Start(ctx)
	stop := func() {
		cancel()
		f.is.NoErr(<-ended)
	}
	return m, stop
}

func submission() Submission {
	return Submission{Queue: "render", Team: "video", Program: "render", Cores: 1, MemoryBytes: gigabyte, Idempotent: true}
}

func (f *fixture) submit(m *Manager, s Submission, key string) job.Job {
	f.t.Helper()
	j, err := m.submit(f.ctx, "kunta", s, key)
	f.is.NoErr(err)
	return j
}

// row returns the stored row of a job. It bypasses injected faults of the table.
func (f *fixture) row(id job.ID) job.Job {
	f.t.Helper()
	faults := f.table.Faults()
	f.table.SetFaults(standin.TableFaults{})
	defer f.table.SetFaults(faults)
	rows, err := f.table.Read(f.ctx, []string{jobKey(testPool, id)})
	f.is.NoErr(err)
	f.is.Equal(len(rows), 1)
	j, err := decodeJob(rows[0])
	f.is.NoErr(err)
	return j
}

// awaitState waits until the job's row has the given state.
func (f *fixture) awaitState(id job.ID, state chart.State, limit time.Duration) job.Job {
	f.t.Helper()
	start := time.Now()
	for {
		j := f.row(id)
		if j.State == state {
			return j
		}
		if time.Since(start) > limit {
			f.t.Fatalf("job %s is %q (%s) after %v, want %q", id, j.State, j.Reason, limit, state)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// awaitRunning waits until a worker runs the job and returns the time it took.
func (f *fixture) awaitRunning(id job.ID, limit time.Duration) time.Duration {
	f.t.Helper()
	start := time.Now()
	for f.workers.running(id) == 0 {
		if time.Since(start) > limit {
			f.t.Fatalf("job %s does not run after %v: %+v", id, limit, f.row(id))
		}
		time.Sleep(50 * time.Millisecond)
	}
	return time.Since(start)
}
