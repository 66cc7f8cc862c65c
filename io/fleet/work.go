package fleet

import (
	"context"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"siskincross/core/chart"
	"siskincross/core/event"
	"siskincross/core/host"
	"siskincross/core/pool"
)

// maxOperations bounds the calls to the platform's host operations at one time.
const maxOperations = 16

// confirmation names the state of a host for which the platform's operation succeeded.
type confirmation struct {
	state chart.State
	since time.Time
}

// decideWork carries planned work of the held pools on by one step for each host.
func (m *Manager) decideWork(ctx context.Context) {
	if _, ok := m.listed(); !ok {
		return
	}
	for _, r := range m.held() {
		m.operate(ctx, r)
		m.advancePool(ctx, r)
	}
	m.finishMoves(ctx)
	m.repairDrains(ctx)
	m.planWork(ctx)
}

// repairDrains takes back orders to drain that took effect late: this member
// was paused while it gave them, and another holder put the host into service
// meanwhile.
func (m *Manager) repairDrains(ctx context.Context) {
	for _, id := range m.lateDrains() {
		err := m.confirm(ctx, pool.Host{ID: id, State: host.Serving}, func(ctx context.Context) error {
			return m.Platform.Hosts.Undrain(ctx, id)
		})
		if err == nil {
			m.record(event.Event{Number: event.HostServing, Host: string(id), Detail: "a late order to drain was taken back"})
		}
	}
}

func (m *Manager) lateDrains() []host.ID {
	m.mu.Lock()
	defer m.mu.Unlock()
	var late []host.ID
	for _, r := range m.rows {
		for _, h := range r.pool.Hosts {
			if h.State == host.Serving && r.fresh && m.confirmed[h.ID].state == host.Draining {
				late = append(late, h.ID)
			}
		}
	}
	return late
}

// operate gives the platform the orders that the states of a pool's hosts call
// for. The states were committed before, so that another holder repeats the
// same orders; all of them are idempotent.
func (m *Manager) operate(ctx context.Context, r row) {
	var group errgroup.Group
	group.SetLimit(maxOperations)
	for _, h := range r.pool.Hosts {
		if m.isConfirmed(h) {
			continue
		}
		if order := m.orderFor(r, h); order != nil {
			group.Go(func() error { return m.confirm(ctx, h, order) })
		}
	}
	if err := group.Wait(); err != nil {
		m.scope().Counter("fleet-operations-failed").Inc(1)
	}
}

// orderFor returns the platform's operation that a host's state calls for, or nil.
func (m *Manager) orderFor(r row, h pool.Host) func(context.Context) error {
	hosts := m.Platform.Hosts
	switch h.State {
	case host.Draining:
		if m.waitsFor(r, h) == "" {
			return func(ctx context.Context) error { return hosts.Drain(ctx, h.ID) }
		}
	case host.Rebooting:
		return func(ctx context.Context) error { return hosts.Reboot(ctx, h.ID, h.Work.Operation) }
	case host.Ready:
		return func(ctx context.Context) error { return hosts.Undrain(ctx, h.ID) }
	}
	return nil
}

func (m *Manager) confirm(ctx context.Context, h pool.Host, order func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, m.Periods.CallTimeout)
	defer cancel()
	if err := order(ctx); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.confirmed[h.ID] = confirmation{state: h.State, since: h.StateSince}
	return nil
}

func (m *Manager) isConfirmed(h pool.Host) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	c, ok := m.confirmed[h.ID]
	return ok && c.state == h.State && c.since.Equal(h.StateSince)
}

// advancePool commits the next state of every host of a pool whose step is done.
func (m *Manager) advancePool(ctx context.Context, r row) {
	now := time.Now()
	after := r.pool
	var events []event.Event
	for _, h := range r.pool.Hosts {
		step, reason := m.nextStep(r, h, now)
		if step == "" {
			continue
		}
		next, err := after.WithHostEvent(h.ID, step, reason, now)
		if err != nil {
			continue
		}
		if step == host.Reboot {
			h, _ = next.Host(h.ID)
			h.BootCount = m.sight(h.ID, now).BootCount
			next = next.WithHost(h)
		}
		after = next
		events = append(events, event.Event{Number: hostEvents[step], Pool: r.pool.Name, Host: string(h.ID), Detail: reason})
	}
	if len(events) > 0 {
		m.decide(ctx, decision{purpose: "work", changes: []change{{before: r, after: after}}}, events)
	}
}

// nextStep returns the event that a host's planned work has reached, or "".
func (m *Manager) nextStep(r row, h pool.Host, now time.Time) (chart.Event, string) {
	switch h.State {
	case host.Draining:
		if now.Sub(h.StateSince) >= m.Periods.DrainTimeout {
			return host.Cancel, "the drain took too long: " + m.waitsFor(r, h)
		}
		if m.isConfirmed(h) && m.waitsFor(r, h) == "" {
			return host.DrainDone, "nothing is in progress on the host"
		}
	case host.Drained:
		return host.Reboot, "reboot " + h.Work.Operation
	case host.Ready:
		if h.Work.Purpose != pool.PurposeMove && m.isConfirmed(h) {
			return host.Serve, "the host accepts work again"
		}
	}
	return "", ""
}

// waitsFor returns what a drain waits for, or "" when every member that may
// still send requests goes by routes without the host and nothing is in progress on it.
func (m *Manager) waitsFor(r row, h pool.Host) string {
	if m.TaskCount != nil {
		if n := m.TaskCount(h.ID); n > 0 {
			return fmt.Sprintf("%d tasks in progress", n)
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	required := m.outSince[h.ID]
	for _, report := range m.routeReports(r.pool.Name) {
		if report.version < required {
			return fmt.Sprintf("member %s goes by version %d of the routes, not %d", report.member, report.version, required)
		}
		if n := report.busy[h.ID]; n > 0 {
			return fmt.Sprintf("%d requests in progress from member %s", n, report.member)
		}
	}
	return ""
}

// routeReport is what one member told of its routes of one pool.
type routeReport struct {
	member  string
	version uint64
	busy    map[host.ID]int
}

// routeReports returns the newest report of every member that is live by its
// row or was heard of by the link. The caller holds the lock.
func (m *Manager) routeReports(name string) []routeReport {
	var reports []routeReport
	for _, member := range m.ledger.Live() {
		s, _ := m.ledger.Member(member)
		report := routeReport{member: member, version: s.Member.RouteVersions[name], busy: s.Member.InProgress}
		if told, ok := m.peers[member].reports[name]; ok && told.version >= report.version {
			report = told
		}
		reports = append(reports, report)
	}
	for _, member := range m.ledger.Lapsed() {
		if told, heard := m.heardReport(member, name); heard {
			reports = append(reports, told)
		}
	}
	return reports
}
