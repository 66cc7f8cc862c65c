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

// maxOperations bounds the concurrent calls to the platform's host operations.
const maxOperations = 16

// confirmation names the state of a host for which the platform's operation succeeded.
type confirmation struct {
	state      chart.State
	stateSince time.Time
}

// decideWork advances the planned work of the held pools by one step per host.
func (m *Manager) decideWork(ctx context.Context) {
	if _, ok := m.hostList(); !ok {
		return
	}
	for _, r := range m.heldRows() {
		m.orderOperations(ctx, r)
		m.advancePool(ctx, r)
	}
	m.finishMoves(ctx)
	m.undrainServingHosts(ctx)
	m.planWork(ctx)
}

// undrainServingHosts reverses drains that took effect late: this member was paused while
// it ordered them, and another holder has since put the host into service.
func (m *Manager) undrainServingHosts(ctx context.Context) {
	for _, id := range m.servingDrainedHosts() {
		err := m.runOperation(ctx, pool.Host{ID: id, State: host.Serving}, func(ctx context.Context) error {
			return m.Platform.Hosts.Undrain(ctx, id)
		})
		if err == nil {
			m.record(event.Event{Number: event.HostServing, Host: string(id), Detail: "reversed a drain that took effect late"})
		}
	}
}

func (m *Manager) servingDrainedHosts() []host.ID {
	m.mu.Lock()
	defer m.mu.Unlock()
	var drained []host.ID
	for _, r := range m.rows {
		for _, h := range r.pool.Hosts {
			if h.State == host.Serving && r.current && m.confirmations[h.ID].state == host.Draining {
				drained = append(drained, h.ID)
			}
		}
	}
	return drained
}

// orderOperations orders the platform operations that the states of a pool's hosts require.
// The states were committed before, so another holder repeats the same orders. All of them
// are idempotent.
func (m *Manager) orderOperations(ctx context.Context, r poolRow) {
	var group errgroup.Group
	group.SetLimit(maxOperations)
	for _, h := range r.pool.Hosts {
		if m.isConfirmed(h) {
			continue
		}
		if order := m.requiredOperation(r, h); order != nil {
			group.Go(func() error { return m.runOperation(ctx, h, order) })
		}
	}
	if err := group.Wait(); err != nil {
		m.scope().Counter("fleet-operations-failed").Inc(1)
	}
}

// requiredOperation returns the platform operation that a host's state requires, or nil.
func (m *Manager) requiredOperation(r poolRow, h pool.Host) func(context.Context) error {
	hosts := m.Platform.Hosts
	switch h.State {
	case host.Draining:
		if m.drainBlocker(r, h) == "" {
			return func(ctx context.Context) error { return hosts.Drain(ctx, h.ID) }
		}
	case host.Rebooting:
		return func(ctx context.Context) error { return hosts.Reboot(ctx, h.ID, h.Work.Operation) }
	case host.Ready:
		return func(ctx context.Context) error { return hosts.Undrain(ctx, h.ID) }
	}
	return nil
}

func (m *Manager) runOperation(ctx context.Context, h pool.Host, order func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, m.Periods.CallTimeout)
	defer cancel()
	if err := order(ctx); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.confirmations[h.ID] = confirmation{state: h.State, stateSince: h.StateSince}
	return nil
}

func (m *Manager) isConfirmed(h pool.Host) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	c, ok := m.confirmations[h.ID]
	return ok && c.state == h.State && c.stateSince.Equal(h.StateSince)
}

// advancePool commits the next state of each host of a pool whose current step is complete.
func (m *Manager) advancePool(ctx context.Context, r poolRow) {
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
			h.BootCount = m.observation(h.ID, now).BootCount
			next = next.WithHost(h)
		}
		after = next
		events = append(events, event.Event{Number: hostEvents[step], Pool: r.pool.Name, Host: string(h.ID), Detail: reason})
	}
	if len(events) > 0 {
		m.commitWithEvents(ctx, decision{purpose: "work", changes: []change{{before: r, after: after}}}, events)
	}
}

// nextStep returns the next event of a host's planned work and its reason, or "" if the
// current step is not complete.
func (m *Manager) nextStep(r poolRow, h pool.Host, now time.Time) (chart.Event, string) {
	switch h.State {
	case host.Draining:
		if now.Sub(h.StateSince) >= m.Periods.DrainTimeout {
			return host.Cancel, "the drain exceeded its timeout: " + m.drainBlocker(r, h)
		}
		if m.isConfirmed(h) && m.drainBlocker(r, h) == "" {
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

// drainBlocker returns what a drain waits for. It returns "" when no tasks are in progress
// on the host, and every member that may still send requests uses routes without the host
// and has no requests in progress on it.
func (m *Manager) drainBlocker(r poolRow, h pool.Host) string {
	if m.TaskCount != nil {
		if n := m.TaskCount(h.ID); n > 0 {
			return fmt.Sprintf("%d tasks in progress", n)
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	required := m.outOfServiceSince[h.ID]
	for _, report := range m.routeReports(r.pool.Name) {
		if report.version < required {
			return fmt.Sprintf("member %s uses version %d of the routes, not yet %d", report.member, report.version, required)
		}
		if n := report.inProgress[h.ID]; n > 0 {
			return fmt.Sprintf("%d requests in progress from member %s", n, report.member)
		}
	}
	return ""
}

// routeReport is a member's report on its routes of one pool.
type routeReport struct {
	member     string
	version    uint64
	inProgress map[host.ID]int
}

// routeReports returns the newest report of every member that is live by its row or that
// recently sent a vouch over the link. The caller holds mu.
func (m *Manager) routeReports(name string) []routeReport {
	var reports []routeReport
	for _, member := range m.detector.Live() {
		s, _ := m.detector.Member(member)
		report := routeReport{member: member, version: s.Member.RouteVersions[name], inProgress: s.Member.InProgress}
		if reported, ok := m.peers[member].reports[name]; ok && reported.version >= report.version {
			report = reported
		}
		reports = append(reports, report)
	}
	for _, member := range m.detector.Lapsed() {
		if reported, heard := m.lapsedMemberReport(member, name); heard {
			reports = append(reports, reported)
		}
	}
	return reports
}
