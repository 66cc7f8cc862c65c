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

// model is a small deployment for model checking. Its holders decide by the rows that they last read and commit
// on the condition that the rows are unchanged; they may lose answers, pause and crash between any two steps.
// The model simulates the store, the platform and the holders without clocks and sockets.
type model struct {
	limits  config.Pool
	rows    [modelPools]versionedRow
	owners  [modelHosts]pool.Ownership
	version int
	// platform holds the true states of the hosts.
	platform [modelHosts]machine
	holders  [modelHolders]holder
	// violation describes the first violated invariant; empty while all hold.
	violation string
}

const (
	modelPools          = 2
	modelHosts          = 3
	modelHolders        = 2
	modelMaxUnavailable = 1
)

// versionedRow is the row of a pool with its version.
type versionedRow struct {
	pool    pool.Pool
	version int
}

// machine is the true state of a host.
type machine struct {
	failed    bool
	boot      int
	rebooting bool
	// done holds the operations that have restarted the host, separated by spaces.
	done string
}

// holder is an entry host that may hold duties.
type holder struct {
	// seen holds the rows as last read. Versions are zero before the first read.
	seen  [modelPools]versionedRow
	stale [modelPools]bool
	// ordered holds, by host, the operation of the reboot that the platform confirmed to this holder.
	ordered [modelHosts]string
}

var modelTime = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)

func poolName(i int) string   { return [modelPools]string{"org/a", "org/b"}[i] }
func holderName(i int) string { return [modelHolders]string{"entry-0", "entry-1"}[i] }
func hostID(i int) host.ID    { return [modelHosts]host.ID{"h0", "h1", "h2"}[i] }

// newModel returns a model in which all hosts are in service and no duty has a holder.
func newModel() model {
	m := model{limits: config.Pool{MaxUnavailable: modelMaxUnavailable}}
	for i := range m.rows {
		m.rows[i] = versionedRow{pool: pool.Pool{Name: poolName(i)}, version: 1}
	}
	m.version = 1
	for i := range modelHosts {
		id := hostID(i)
		p := &m.rows[i%modelPools]
		p.pool, m.owners[i] = p.pool.WithAdoptedHost(pool.Host{ID: id, BootCount: 1}, modelTime)
		m.platform[i] = machine{boot: 1}
	}
	return m
}

// write is a transaction over rows of pools and owner rows of hosts.
type write struct {
	pools  map[int]pool.Pool
	owners map[int]pool.Ownership
}

// commit applies w on the condition that the pools' rows have the versions that the holder read, unless the
// request is lost. The holder's rows are stale until it reads again, whatever the outcome: a commit whose
// answer is lost looks the same to the holder.
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
		m.rows[i] = versionedRow{pool: p, version: m.version}
	}
	for n, owner := range w.owners {
		m.owners[n] = owner
	}
	m.check()
}

// read updates the rows known to a holder.
func (m *model) read(by int) {
	m.holders[by].seen = m.rows
	m.holders[by].stale = [modelPools]bool{}
}

// fresh reports whether a holder may decide about the row of a pool.
func (m *model) fresh(by, i int) bool {
	h := m.holders[by]
	return h.seen[i].version > 0 && !h.stale[i]
}

// holds reports whether a holder considers itself the holder of a pool's duty.
func (m *model) holds(by, i int) bool {
	return m.fresh(by, i) && m.holders[by].seen[i].pool.Holder == holderName(by)
}

// takeDuty lets a holder take over a duty as if the other holder had lapsed, whether it has or not.
func (m *model) takeDuty(by, i int, lost bool) {
	if !m.fresh(by, i) {
		return
	}
	view := duty.View{Self: holderName(by), Live: []string{holderName(by)}}
	step, member := duty.NextStep(m.holders[by].seen[i].pool, view)
	if step == duty.StepTake {
		m.commit(by, write{pools: map[int]pool.Pool{i: m.holders[by].seen[i].pool.WithHolder(member)}}, lost)
	}
}

// advance lets a holder take the next step for one host of a pool that it holds.
func (m *model) advance(by, i, n int, lost bool) {
	id := hostID(n)
	seen := m.holders[by].seen[i].pool
	h, ok := seen.Host(id)
	if !m.holds(by, i) || !ok {
		return
	}
	switch h.State {
	case host.Serving:
		m.event(by, i, lost, func() (pool.Pool, error) {
			return seen.WithPlannedWork(id, pool.PlannedWork{Purpose: pool.PurposeMaintenance, Operation: m.operation(h)}, modelMaxUnavailable, modelTime)
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

// operation returns the name of the next reboot of a host. It is unique as long as versions increase.
func (m *model) operation(h pool.Host) string {
	return fmt.Sprintf("%s-%d-%d", h.ID, h.BootCount, m.version)
}

// event commits the result of a decision, unless the decision returned an error.
func (m *model) event(by, i int, lost bool, decide func() (pool.Pool, error)) {
	if next, err := decide(); err == nil {
		m.commit(by, write{pools: map[int]pool.Pool{i: next}}, lost)
	}
}

// change applies a change to the true state of a host.
func (m *model) change(n int, apply func(*machine)) {
	apply(&m.platform[n])
}

// reboot orders the restart of a host. The platform restarts the host once for each operation.
func (m *model) reboot(by, n int, h pool.Host) {
	m.holders[by].ordered[n] = h.Work.Operation
	m.change(n, func(p *machine) {
		if strings.Contains(p.done, h.Work.Operation) {
			return
		}
		if m.serving(h.ID) {
			m.violation = fmt.Sprintf("host %s was rebooted while it was in service", h.ID)
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

// finish returns a ready host to service or moves it to the other pool.
func (m *model) finish(by, i, n int, lost bool) {
	h, _ := m.holders[by].seen[i].pool.Host(hostID(n))
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

// startMove lets a holder drain a host of a pool that it holds for a move to the other pool.
func (m *model) startMove(by, i, n int, lost bool) {
	to := 1 - i
	if !m.holds(by, i) || !m.fresh(by, to) {
		return
	}
	seen := m.holders[by].seen
	h, _ := seen[i].pool.Host(hostID(n))
	from, dest, err := pool.StartMove(seen[i].pool, seen[to].pool, hostID(n), m.operation(h), m.limits, m.limits, modelTime)
	if err == nil {
		m.commit(by, write{pools: map[int]pool.Pool{i: from, to: dest}}, lost)
	}
}

// observe lets a holder update the row of a host to its true state.
func (m *model) observe(by, i, n int, lost bool) {
	if !m.holds(by, i) {
		return
	}
	p := m.platform[n]
	h, _ := m.holders[by].seen[i].pool.Host(hostID(n))
	observation := pool.Observation{Listed: true, Live: !p.failed && !p.rebooting, Failed: p.failed, BootCount: p.boot}
	observation.RebootConfirmed = m.holders[by].ordered[n] == h.Work.Operation
	next, _, ok := m.holders[by].seen[i].pool.WithObservation(hostID(n), observation, pool.DetectionTimeouts{Reboot: time.Hour, Removal: time.Hour}, modelTime)
	if ok {
		m.commit(by, write{pools: map[int]pool.Pool{i: next}}, lost)
	}
}

// failOrRecover makes a host fail, recover, or return from a reboot with a higher boot count.
func (m *model) failOrRecover(n int) {
	m.change(n, func(p *machine) {
		if p.rebooting || p.failed {
			p.rebooting, p.failed, p.boot = false, false, p.boot+1
			return
		}
		p.failed = true
	})
}

// check records the first violated invariant.
func (m *model) check() {
	if m.violation != "" {
		return
	}
	in := map[host.ID]string{}
	for _, r := range m.rows {
		d := r.pool.Disruptions()
		if d.Planned > modelMaxUnavailable {
			m.violation = fmt.Sprintf("pool %s has %d planned disruptions", r.pool.Name, d.Planned)
		}
		for _, h := range r.pool.Hosts {
			if in[h.ID] != "" {
				m.violation = fmt.Sprintf("host %s is in two pools", h.ID)
			}
			in[h.ID] = r.pool.Name
		}
	}
	for n, o := range m.owners {
		if id := hostID(n); in[id] != o.Pool {
			m.violation = fmt.Sprintf("host %s is in pool %q, its own row says %q", id, in[id], o.Pool)
		}
	}
}

// crash removes all that a holder knows.
func (m *model) crash(by int) { m.holders[by] = holder{} }
