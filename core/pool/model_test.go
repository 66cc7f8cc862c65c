package pool_test

import (
	"fmt"
	"strings"
	"time"

	"siskincross/core/config"
	"siskincross/core/duty"
	"siskincross/core/host"
	"siskincross/core/pool"
)

// model is a small deployment whose holders decide by the rows that they last
// read, commit under these rows' versions and may lose answers, pause and crash
// between any two steps. It is what the store, the platform and the holders
// would do, without clocks and sockets.
type model struct {
	limits  config.Pool
	rows    [modelPools]versioned
	owners  [modelHosts]pool.Ownership
	version int
	// platform is what really happened to the hosts.
	platform [modelHosts]machine
	holders  [modelHolders]holder
	// breach says which invariant broke; empty while all hold.
	breach string
}

const (
	modelPools     = 2
	modelHosts     = 3
	modelHolders   = 2
	modelMaxAbsent = 1
)

type versioned struct {
	pool    pool.Pool
	version int
}

// machine is the true state of a host.
type machine struct {
	failed    bool
	boot      int
	rebooting bool
	// done holds the operations that have restarted the host.
	done string
}

// holder is one entry host that may hold duties.
type holder struct {
	// seen holds the rows as last read; versions are zero before the first read.
	seen  [modelPools]versioned
	stale [modelPools]bool
	// ordered holds the reboots that the platform confirmed to this holder, by host.
	ordered [modelHosts]string
}

var modelTime = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)

func poolAt(i int) string     { return [modelPools]string{"org/a", "org/b"}[i] }
func holderAt(i int) string   { return [modelHolders]string{"entry-0", "entry-1"}[i] }
func modelHost(i int) host.ID { return [modelHosts]host.ID{"h0", "h1", "h2"}[i] }

func newModel() model {
	m := model{limits: config.Pool{MaxUnavailable: modelMaxAbsent}}
	for i := range m.rows {
		m.rows[i] = versioned{pool: pool.Pool{Name: poolAt(i)}, version: 1}
	}
	m.version = 1
	for i := range modelHosts {
		id := modelHost(i)
		p := &m.rows[i%modelPools]
		p.pool, m.owners[i] = p.pool.WithAdoptedHost(pool.Host{ID: id, BootCount: 1}, modelTime)
		m.platform[i] = machine{boot: 1}
	}
	return m
}

// write is one transaction over pools' rows and owners' rows.
type write struct {
	pools  map[int]pool.Pool
	owners map[int]pool.Ownership
}

// commit applies w under the versions that a holder saw, unless it is lost on
// its way. The holder's rows are stale until it reads again, whatever came of
// it: a commit whose answer is lost looks the same to the holder.
func (m *model) commit(by int, w write, lost bool) {
	h := &m.holders[by]
	current := true
	for i := range w.pools {
		current = current && h.seen[i].version == m.rows[i].version
		h.stale[i] = true
	}
	if !current || lost {
		return
	}
	m.version++
	for i, p := range w.pools {
		m.rows[i] = versioned{pool: p, version: m.version}
	}
	for n, owner := range w.owners {
		m.owners[n] = owner
	}
	m.check()
}

// read refreshes a holder's rows.
func (m *model) read(by int) {
	m.holders[by].seen = m.rows
	m.holders[by].stale = [modelPools]bool{}
}

// fresh reports whether a holder may decide on a pool's row.
func (m *model) fresh(by, i int) bool {
	h := m.holders[by]
	return h.seen[i].version > 0 && !h.stale[i]
}

// holds reports whether a holder believes that it holds a pool's duty.
func (m *model) holds(by, i int) bool {
	return m.fresh(by, i) && m.holders[by].seen[i].pool.Holder == holderAt(by)
}

// take lets a holder take a duty as if the other had lapsed, rightly or not.
func (m *model) take(by, i int, lost bool) {
	if !m.fresh(by, i) {
		return
	}
	view := duty.View{Self: holderAt(by), Live: []string{holderAt(by)}}
	step, member := duty.NextStep(m.holders[by].seen[i].pool, view)
	if step == duty.StepTake {
		m.commit(by, write{pools: map[int]pool.Pool{i: m.holders[by].seen[i].pool.WithHolder(member)}}, lost)
	}
}

// advance lets a holder carry one host of a held pool on by one step.
func (m *model) advance(by, i, n int, lost bool) {
	id := modelHost(n)
	seen := m.holders[by].seen[i].pool
	h, ok := seen.Host(id)
	if !m.holds(by, i) || !ok {
		return
	}
	switch h.State {
	case host.Serving:
		m.event(by, i, lost, func() (pool.Pool, error) {
			return seen.WithPlannedWork(id, pool.PlannedWork{Purpose: pool.PurposeMaintenance, Operation: m.operation(h)}, modelMaxAbsent, modelTime)
		})
	case host.Draining:
		m.event(by, i, lost, func() (pool.Pool, error) { return seen.WithHostEvent(id, host.DrainDone, "", modelTime) })
	case host.Drained:
		m.event(by, i, lost, func() (pool.Pool, error) {
			next, err := seen.WithHostEvent(id, host.Reboot, "", modelTime)
			h, _ := next.Host(id)
			h.BootCount = m.platform[n].boot
			return next.WithHost(h), err
		})
	case host.Rebooting:
		m.reboot(by, n, h)
	case host.Ready:
		m.finish(by, i, n, lost)
	}
}

// operation names the reboot of a host's next work; it is unique as long as rows move forward.
func (m *model) operation(h pool.Host) string {
	return fmt.Sprintf("%s-%d-%d", h.ID, h.BootCount, m.version)
}

func (m *model) event(by, i int, lost bool, decide func() (pool.Pool, error)) {
	if next, err := decide(); err == nil {
		m.commit(by, write{pools: map[int]pool.Pool{i: next}}, lost)
	}
}

func (m *model) change(n int, change func(*machine)) {
	change(&m.platform[n])
}

// reboot orders the restart of a host, which takes effect once for each operation.
func (m *model) reboot(by, n int, h pool.Host) {
	m.holders[by].ordered[n] = h.Work.Operation
	m.change(n, func(p *machine) {
		if strings.Contains(p.done, h.Work.Operation) {
			return
		}
		if m.serving(h.ID) {
			m.breach = fmt.Sprintf("host %s was rebooted while it was in service", h.ID)
		}
		p.done, p.rebooting = p.done+h.Work.Operation+" ", true
	})
}

// serving reports whether the rows route requests to a host.
func (m *model) serving(id host.ID) bool {
	for _, r := range m.rows {
		if h, ok := r.pool.Host(id); ok && h.State == host.Serving {
			return true
		}
	}
	return false
}

// finish serves a ready host or moves it to the other pool.
func (m *model) finish(by, i, n int, lost bool) {
	h, _ := m.holders[by].seen[i].pool.Host(modelHost(n))
	if h.Work.Purpose != pool.PurposeMove {
		m.event(by, i, lost, func() (pool.Pool, error) {
			return m.holders[by].seen[i].pool.WithHostEvent(h.ID, host.Serve, "", modelTime)
		})
		return
	}
	to := 1 - i
	if !m.fresh(by, to) {
		return
	}
	left, joined, owner, err := pool.FinishMove(m.holders[by].seen[i].pool, m.holders[by].seen[to].pool, h.ID, modelTime)
	if err == nil {
		m.commit(by, write{pools: map[int]pool.Pool{i: left, to: joined}, owners: map[int]pool.Ownership{n: owner}}, lost)
	}
}

// startMove lets a holder drain a host of a held pool for the other pool.
func (m *model) startMove(by, i, n int, lost bool) {
	to := 1 - i
	if !m.holds(by, i) || !m.fresh(by, to) {
		return
	}
	seen := m.holders[by].seen
	h, _ := seen[i].pool.Host(modelHost(n))
	from, dest, err := pool.StartMove(seen[i].pool, seen[to].pool, modelHost(n), m.operation(h), m.limits, m.limits, modelTime)
	if err == nil {
		m.commit(by, write{pools: map[int]pool.Pool{i: from, to: dest}}, lost)
	}
}

// observe lets a holder bring a host in line with what really happened to it.
func (m *model) observe(by, i, n int, lost bool) {
	if !m.holds(by, i) {
		return
	}
	p := m.platform[n]
	h, _ := m.holders[by].seen[i].pool.Host(modelHost(n))
	sight := pool.Observation{Listed: true, Live: !p.failed && !p.rebooting, Failed: p.failed, BootCount: p.boot}
	sight.RebootConfirmed = m.holders[by].ordered[n] == h.Work.Operation
	next, _, ok := m.holders[by].seen[i].pool.WithObservation(modelHost(n), sight, pool.DetectionTimeouts{Reboot: time.Hour, Removal: time.Hour}, modelTime)
	if ok {
		m.commit(by, write{pools: map[int]pool.Pool{i: next}}, lost)
	}
}

// strike lets a host fail, or recover or come back from a reboot with a higher boot count.
func (m *model) strike(n int) {
	m.change(n, func(p *machine) {
		if p.rebooting || p.failed {
			p.rebooting, p.failed, p.boot = false, false, p.boot+1
			return
		}
		p.failed = true
	})
}

// check notes the first invariant that does not hold.
func (m *model) check() {
	if m.breach != "" {
		return
	}
	in := map[host.ID]string{}
	for _, r := range m.rows {
		d := r.pool.Disruptions()
		if d.Planned > modelMaxAbsent {
			m.breach = fmt.Sprintf("pool %s has %d planned disruptions", r.pool.Name, d.Planned)
		}
		for _, h := range r.pool.Hosts {
			if in[h.ID] != "" {
				m.breach = fmt.Sprintf("host %s is in two pools", h.ID)
			}
			in[h.ID] = r.pool.Name
		}
	}
	for n, o := range m.owners {
		if id := modelHost(n); in[id] != o.Pool {
			m.breach = fmt.Sprintf("host %s is in pool %q, its own row says %q", id, in[id], o.Pool)
		}
	}
}

func (m *model) crash(by int) { m.holders[by] = holder{} }
