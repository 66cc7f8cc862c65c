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

// hostsFake is the platform's list and operations on hosts.
type hostsFake struct {
	mu sync.Mutex
	// listings holds what the list answers, by host.
	listings map[host.ID]platform.HostInfo
	// hidden makes the list answer only these hosts; nil means all.
	hidden func(platform.HostInfo) bool
	// drained holds the hosts that refuse new work.
	drained map[host.ID]bool
	// operations holds the reboots that were ordered, by operation.
	operations map[string]host.ID
	// stuck hosts never come back from a reboot.
	stuck map[host.ID]bool
	// onReboot is called before a reboot takes effect.
	onReboot func(host.ID)
	down     bool
}

const rebootTime = 10 * time.Second

func (f *hostsFake) service() platform.Hosts {
	return platform.Hosts{List: f.list, Drain: f.drain, Undrain: f.undrain, Reboot: f.reboot}
}

func (f *hostsFake) list(context.Context) ([]platform.HostInfo, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var all []platform.HostInfo
	for _, l := range f.listings {
		if f.hidden == nil || !f.hidden(l) {
			all = append(all, l)
		}
	}
	return all, nil
}

func (f *hostsFake) drain(_ context.Context, id host.ID) error   { return f.setDrained(id, true) }
func (f *hostsFake) undrain(_ context.Context, id host.ID) error { return f.setDrained(id, false) }

func (f *hostsFake) setDrained(id host.ID, drained bool) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return platform.ErrUnavailable{Service: "hosts", Reason: "down"}
	}
	f.drained[id] = drained
	return nil
}

func (f *hostsFake) reboot(_ context.Context, id host.ID, operation string) error {
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
	if f.stuck[id] {
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

// setCondition changes what the list tells of a host. The caller holds the lock.
func (f *hostsFake) setCondition(id host.ID, c platform.Condition) {
	l := f.listings[id]
	l.Condition = c
	f.listings[id] = l
}

func (f *hostsFake) condition(id host.ID, c platform.Condition) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.setCondition(id, c)
}

func (f *hostsFake) hide(hidden func(platform.HostInfo) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hidden = hidden
}

// cluster is a deployment of managers over one table.
type cluster struct {
	t       *testing.T
	is      *is.I
	table   *standin.Table
	hosts   *hostsFake
	mu      sync.Mutex
	config  config.Expanded
	periods fleet.Periods
	// rows holds the pools' rows that the test has read, by version.
	rows     map[uint64]pool.Pool
	managers []*member
	// prepare changes a manager before it starts; nil means no change.
	prepare func(*fleet.Manager)
}

// member is one running manager with faults between it and the table.
type member struct {
	*fleet.Manager
	stop context.CancelFunc
	done <-chan error
	// ended tells that done was read.
	ended bool

	// readOnly makes the member's commits fail.
	readOnly atomic.Bool

	mu sync.Mutex
	// cut makes the table unavailable for this member only.
	cut bool
	// paused blocks the member's calls until it is closed; nil means that it runs.
	paused chan struct{}
}

// withCluster runs a test in virtual time with a deployment of pools of equal size.
func withCluster(t *testing.T, pools, hostsPerPool, members int, test func(*cluster)) {
	synctest.Test(t, func(t *testing.T) {
		c := &cluster{t: t, is: is.New(t), table: &standin.Table{}, hosts: newHostsFake(pools, hostsPerPool)}
		c.rows = make(map[uint64]pool.Pool)
		c.config = configOf(pools, hostsPerPool)
		defer c.stopAll()
		for range members {
			c.add()
		}
		test(c)
	})
}

func configOf(pools, hostsPerPool int) config.Expanded {
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

func newHostsFake(pools, hostsPerPool int) *hostsFake {
	f := &hostsFake{
		listings: make(map[host.ID]platform.HostInfo), drained: make(map[host.ID]bool),
		operations: make(map[string]host.ID), stuck: make(map[host.ID]bool),
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

// add starts one more manager.
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
	if c.prepare != nil {
		c.prepare(m.Manager)
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

// table puts the member's own faults before the table.
func (m *member) table(t *standin.Table) platform.Table {
	return platform.Table{
		Commit: func(ctx context.Context, tx platform.Transaction) error {
			if err := m.enter(); err != nil {
				return err
			}
			if m.readOnly.Load() {
				return platform.ErrUnavailable{Service: "table", Reason: "read only"}
			}
			return t.Commit(context.WithoutCancel(ctx), tx)
		},
		Read: func(ctx context.Context, keys []string) ([]platform.Row, error) {
			if err := m.enter(); err != nil {
				return nil, err
			}
			return t.Read(ctx, keys)
		},
		Scan: func(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
			if err := m.enter(); err != nil {
				return nil, err
			}
			return t.Scan(ctx, prefix, after, limit)
		},
	}
}

// enter waits out a pause and applies a cut.
func (m *member) enter() error {
	m.mu.Lock()
	paused := m.paused
	m.mu.Unlock()
	if paused != nil {
		<-paused
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cut {
		return platform.ErrUnavailable{Service: "table", Reason: "cut off"}
	}
	return nil
}

func (m *member) setCut(cut bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cut = cut
}

// pause blocks the member's calls to the table and returns how to wake it.
func (m *member) pause() (wake func()) {
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

// kill ends a manager without hand-over.
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

// pool reads a pool's row from the table.
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

// assertHeld checks that each pool's duty is held by exactly one of the managers that still run.
func (c *cluster) assertHeld(running ...*member) {
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

// assertOnePoolEach checks that every host is in the row of exactly one pool and that its own row says so.
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
	c.is.Equal(len(rows), len(in)) // one own row for each host of a pool
	for _, r := range rows {
		var o pool.Ownership
		c.is.NoErr(json.Unmarshal(r.Value, &o))
		c.is.Equal(in[host.ID(strings.TrimPrefix(r.Key, "host/"))], o.Pool) // the pool of the host's own row
	}
}

func (c *cluster) targets(m *member, i int) int {
	s, ok := m.Snapshot(poolName(i))
	if !ok {
		return -1
	}
	return len(s.Targets)
}

func (c *cluster) assertState(i int, id host.ID, want chart.State) {
	c.t.Helper()
	h, _ := c.pool(i).Host(id)
	c.is.Equal(h.State, want) // state of the host in the pool's row
}

func (c *cluster) managerOf(name string) *member {
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
