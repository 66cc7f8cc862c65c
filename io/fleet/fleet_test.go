package fleet_test

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"siskincross/core/chart"
	"siskincross/core/config"
	"siskincross/core/host"
	"siskincross/core/pool"
	"siskincross/io/fleet"
	"siskincross/io/platform"
	"siskincross/io/standin"
	"siskincross/io/timeline"
)

// fakeHosts is an in-memory implementation of the platform's host list and host operations.
type fakeHosts struct {
	mu sync.Mutex
	// listings holds the entries of the host list.
	listings map[host.ID]platform.HostInfo
	// hides selects the entries that the list leaves out; nil means none.
	hides func(platform.HostInfo) bool
	// drained marks the hosts that refuse new work.
	drained map[host.ID]bool
	// operations holds the host of each ordered reboot, by operation ID.
	operations map[string]host.ID
	// neverReturns marks the hosts that never return from a reboot.
	neverReturns map[host.ID]bool
	// onReboot is called before a reboot takes effect; nil means nothing is called.
	onReboot func(host.ID)
	down     bool
}

const rebootTime = 10 * time.Second

func (f *fakeHosts) service() platform.Hosts {
	return platform.Hosts{List: f.list, Drain: f.drain, Undrain: f.undrain, Reboot: f.reboot}
}

func (f *fakeHosts) list(context.Context) ([]platform.HostInfo, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var all []platform.HostInfo
	for _, l := range f.listings {
		if f.hides == nil || !f.hides(l) {
			all = append(all, l)
		}
	}
	return all, nil
}

func (f *fakeHosts) drain(_ context.Context, id host.ID) error   { return f.setDrained(id, true) }
func (f *fakeHosts) undrain(_ context.Context, id host.ID) error { return f.setDrained(id, false) }

func (f *fakeHosts) setDrained(id host.ID, drained bool) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return platform.ErrUnavailable{Service: "hosts", Reason: "down"}
	}
	f.drained[id] = drained
	return nil
}

func (f *fakeHosts) reboot(_ context.Context, id host.ID, operation string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, again := f.operations[operation]; again {
		return nil
	}
	f.operations[operation] = id
	if f.onReboot != nil {
		f.onReboot(id)
	}
	f.setCondition(id, platform.ConditionRebooting)
	if f.neverReturns[id] {
		return nil
	}
	time.AfterFunc(rebootTime, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		l := f.listings[id]
		l.Condition, l.BootCount = platform.ConditionLive, l.BootCount+1
		f.listings[id] = l
	})
	return nil
}

// setCondition changes the listed condition of a host. The caller holds mu.
func (f *fakeHosts) setCondition(id host.ID, c platform.Condition) {
	l := f.listings[id]
	l.Condition = c
	f.listings[id] = l
}

func (f *fakeHosts) updateCondition(id host.ID, c platform.Condition) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.setCondition(id, c)
}

func (f *fakeHosts) hide(hidden func(platform.HostInfo) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hides = hidden
}

// cluster is a deployment of managers that share one table.
type cluster struct {
	t       *testing.T
	is      *is.I
	table   *standin.Table
	hosts   *fakeHosts
	mu      sync.Mutex
	config  config.Expanded
	periods fleet.Periods
	// rows caches the pool rows that the test has read, by version.
	rows     map[uint64]pool.Pool
	managers []*member
	// configure changes a manager before it starts; nil means no change.
	configure func(*fleet.Manager)
}

// member is a running manager with fault injection between it and the table.
type member struct {
	*fleet.Manager
	stop context.CancelFunc
	done <-chan error
	// ended is set when the result has been received from done.
	ended bool

	// readOnly makes the member's commits fail.
	readOnly atomic.Bool

	mu sync.Mutex
	// tableUnreachable makes the table unavailable for this member only.
	tableUnreachable bool
	// paused blocks the member's calls to the table until it is closed; nil means that the
	// member isn't paused.
	paused chan struct{}
}

// withCluster runs a test in virtual time on a deployment with pools of equal size.
func withCluster(t *testing.T, pools, hostsPerPool, members int, test func(*cluster)) {
	synctest.Test(t, func(t *testing.T) {
		c := &cluster{t: t, is: is.New(t), table: &standin.Table{}, hosts: newFakeHosts(pools, hostsPerPool)}
		c.rows = make(map[uint64]pool.Pool)
		c.config = newConfig(pools, hostsPerPool)
		defer c.stopAll()
		for range members {
			c.add()
		}
		test(c)
	})
}

func newConfig(pools, hostsPerPool int) config.Expanded {
	var e config.Expanded
	for i := range pools {
		e.Pools = append(e.Pools, config.Pool{
			Name: poolName(i), Organisation: "org", Hosts: hostsPerPool,
			MinHosts: hostsPerPool / 2, MaxHosts: 2 * hostsPerPool, MaxUnavailable: 2,
			BufferWeight: 1, MoveWeight: 1, Spare: i == pools-1 && pools > 1,
		})
	}
	return e
}

func poolName(i int) string { return fmt.Sprintf("org/pool-%02d", i) }

func hostName(p, h int) host.ID { return host.ID(fmt.Sprintf("host-%02d-%03d", p, h)) }

func newFakeHosts(pools, hostsPerPool int) *fakeHosts {
	f := &fakeHosts{
		listings: make(map[host.ID]platform.HostInfo), drained: make(map[host.ID]bool),
		operations: make(map[string]host.ID), neverReturns: make(map[host.ID]bool),
	}
	for p := range pools {
		for h := range hostsPerPool {
			id := hostName(p, h)
			f.listings[id] = platform.HostInfo{
				Host: id, Address: "10.0.0.1:80", HomePool: poolName(p), BootCount: 1,
				Place:    host.Place{Zone: fmt.Sprintf("zone-%d", h/4%3), Rack: fmt.Sprintf("rack-%d-%d", p, h/4)},
				Capacity: host.Capacity{Slots: 8, Connections: 64, Cores: 32},
			}
		}
	}
	return f
}

// add starts another manager.
func (c *cluster) add() *member {
	name := fmt.Sprintf("entry-%d", len(c.managers))
	m := &member{}
	m.Manager = &fleet.Manager{
		Member: name, Zone: "zone-0", PeerAddress: "127.0.0.1:1",
		Platform: platform.Services{Table: m.table(c.table), Hosts: c.hosts.service()},
		Config:   c.expanded,
		Periods:  c.periods,
		Recorder: &timeline.Recorder{Process: name},
	}
	if c.configure != nil {
		c.configure(m.Manager)
	}
	ctx, stop := context.WithCancel(context.Background())
	m.stop = stop
	m.done = m.Start(ctx)
	c.managers = append(c.managers, m)
	return m
}

// expanded returns the configuration in force.
func (c *cluster) expanded() config.Expanded {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.config
}

func (c *cluster) setPools(pools []config.Pool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.config.Pools = pools
}

// table returns the table with this member's faults applied.
func (m *member) table(t *standin.Table) platform.Table {
	return platform.Table{
		Commit: func(ctx context.Context, tx platform.Transaction) error {
			if err := m.awaitAccess(); err != nil {
				return err
			}
			if m.readOnly.Load() {
				return platform.ErrUnavailable{Service: "table", Reason: "read only"}
			}
			return t.Commit(context.WithoutCancel(ctx), tx)
		},
		Read: func(ctx context.Context, keys []string) ([]platform.Row, error) {
			if err := m.awaitAccess(); err != nil {
				return nil, err
			}
			return t.Read(ctx, keys)
		},
		Scan: func(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
			if err := m.awaitAccess(); err != nil {
				return nil, err
			}
			return t.Scan(ctx, prefix, after, limit)
		},
	}
}

// awaitAccess blocks while the member is paused and fails if the table is unreachable for
// it.
func (m *member) awaitAccess() error {
	m.mu.Lock()
	paused := m.paused
	m.mu.Unlock()
	if paused != nil {
		<-paused
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.tableUnreachable {
		return platform.ErrUnavailable{Service: "table", Reason: "cut off"}
	}
	return nil
}

func (m *member) setTableUnreachable(unreachable bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.tableUnreachable = unreachable
}

// pause blocks the member's calls to the table and returns a function that resumes them.
func (m *member) pause() (resume func()) {
	paused := make(chan struct{})
	m.mu.Lock()
	defer m.mu.Unlock()
	m.paused = paused
	return func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.paused = nil
		close(paused)
	}
}

// kill stops a manager without a hand-over.
func (c *cluster) kill(m *member) {
	m.stop()
	c.is.NoErr(<-m.done)
	m.ended = true
}

func (c *cluster) stopAll() {
	for _, m := range c.managers {
		m.stop()
		if !m.ended {
			c.is.NoErr(<-m.done)
		}
	}
}

// pool reads a pool row from the table.
func (c *cluster) pool(i int) pool.Pool {
	var p pool.Pool
	rows, err := c.table.Read(context.Background(), []string{"pool/" + poolName(i)})
	if err != nil || len(rows) == 0 {
		return p
	}
	if known, ok := c.rows[rows[0].Version]; ok && known.Name == poolName(i) {
		return known
	}
	c.is.NoErr(json.Unmarshal(rows[0].Value, &p))
	c.rows[rows[0].Version] = p
	return p
}

// assertOneHolderEach checks that the duty of each pool is held by exactly one of the
// running managers.
func (c *cluster) assertOneHolderEach(running ...*member) {
	c.t.Helper()
	for i := range c.config.Pools {
		holders := 0
		for _, m := range running {
			epoch, ok := m.DutyEpoch(poolName(i))
			if ok && epoch == c.pool(i).Epoch {
				holders++
			}
		}
		if holders != 1 {
			c.t.Errorf("pool %d has %d holders, row says %s", i, holders, c.pool(i).Holder)
		}
	}
}

// assertOnePoolEach checks that every host is in exactly one pool row and that its
// ownership row names that pool.
func (c *cluster) assertOnePoolEach() {
	c.t.Helper()
	in := make(map[host.ID]string)
	for i := range c.config.Pools {
		for _, h := range c.pool(i).Hosts {
			if in[h.ID] != "" {
				c.t.Errorf("host %s is in %s and %s", h.ID, in[h.ID], poolName(i))
			}
			in[h.ID] = poolName(i)
		}
	}
	rows, err := c.table.Scan(context.Background(), "host/", "", 10000)
	c.is.NoErr(err)
	c.is.Equal(len(rows), len(in)) // one ownership row for each host of a pool
	for _, r := range rows {
		var o pool.Ownership
		c.is.NoErr(json.Unmarshal(r.Value, &o))
		c.is.Equal(in[host.ID(strings.TrimPrefix(r.Key, "host/"))], o.Pool) // the pool in the host's ownership row
	}
}

func (c *cluster) targetCount(m *member, i int) int {
	s, ok := m.Snapshot(poolName(i))
	if !ok {
		return -1
	}
	return len(s.Targets)
}

func (c *cluster) assertState(i int, id host.ID, want chart.State) {
	c.t.Helper()
	h, _ := c.pool(i).Host(id)
	c.is.Equal(h.State, want) // state of the host in the pool row
}

func (c *cluster) memberNamed(name string) *member {
	for _, m := range c.managers {
		if m.Member == name {
			return m
		}
	}
	c.t.Fatalf("no manager %q", name)
	return nil
}

func (c *cluster) epochs() []uint64 {
	var all []uint64
	for i := range c.config.Pools {
		all = append(all, c.pool(i).Epoch)
	}
	return all
}
