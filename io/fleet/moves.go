package fleet

import (
	"context"
	"time"

	"github.com/oklog/ulid/v2"

	"siskincross/core/event"
	"siskincross/core/host"
	"siskincross/core/plan"
	"siskincross/core/pool"
)

// finishMoves moves rebooted hosts of the held pools to the pools that they were drained
// for.
func (m *Manager) finishMoves(ctx context.Context) {
	for _, r := range m.heldRows() {
		for _, h := range r.pool.Hosts {
			if h.State == host.Ready && h.Work.Purpose == pool.PurposeMove && m.isConfirmed(h) {
				m.finishMove(ctx, r.pool.Name, h)
			}
		}
	}
}

// finishMove commits one move: the ownership row and both pool rows change atomically.
func (m *Manager) finishMove(ctx context.Context, name string, h pool.Host) {
	from, fromOK := m.currentRow(name)
	to, toOK := m.currentRow(h.Work.Destination)
	if !fromOK || !toOK || !to.exists {
		return
	}
	owner, version, err := m.readOwnership(ctx, h.ID)
	if err != nil || owner.Pool != name {
		return
	}
	source, destination, ownership, err := pool.FinishMove(from.pool, to.pool, h.ID, time.Now())
	if err != nil {
		m.reportConflict(from.pool, err)
		return
	}
	d := decision{
		purpose: "move",
		changes: []change{{before: from, after: source}, {before: to, after: destination}},
		owners:  []ownershipWrite{{id: h.ID, version: version, value: ownership}},
	}
	m.commitWithEvents(ctx, d, []event.Event{{
		Number: event.HostMoved, Pool: destination.Name, Host: string(h.ID), Detail: "from " + source.Name,
	}})
}

// planMoves starts the moves that the policy requires out of the held pools. Every member
// plans with the same rows, and each executes the moves of the pools that it holds.
func (m *Manager) planMoves(ctx context.Context, now time.Time) {
	policy := plan.Absorbing(m.Periods.CoolDown)
	m.sizePools(policy, now)
	views, ok := m.poolViews(policy, now)
	if !ok || !m.adoptionComplete() || m.planningPauseReason(now) != "" {
		return
	}
	for _, organisation := range views {
		for _, move := range policy.NextMoves(organisation, now) {
			m.startMove(ctx, move, now)
		}
	}
}

// startMove announces a move in both pool rows in one transaction and starts to drain the
// host.
func (m *Manager) startMove(ctx context.Context, move plan.Move, now time.Time) {
	from, fromOK := m.currentRow(move.From)
	to, toOK := m.currentRow(move.To)
	fromLimits, _ := m.limits(move.From)
	toLimits, _ := m.limits(move.To)
	if !fromOK || !toOK || from.pool.Holder != m.Member {
		return
	}
	source, destination, err := pool.StartMove(from.pool, to.pool, move.Host, ulid.Make().String(), fromLimits, toLimits, now)
	if err != nil {
		m.recordWait(from, err.Error())
		return
	}
	d := decision{purpose: "move", changes: []change{{before: from, after: source}, {before: to, after: destination}}}
	m.commitWithEvents(ctx, d, []event.Event{{
		Number: event.HostDraining, Pool: move.From, Host: string(move.Host), Detail: "to move to " + move.To,
	}})
}

// withoutStaleInbound drops announcements of inbound hosts that no longer come, because
// their pool abandoned the move or the host failed.
func (m *Manager) withoutStaleInbound(p pool.Pool) pool.Pool {
	for _, in := range p.Inbound {
		from, ok := m.currentRow(in.From)
		if !ok || !from.exists {
			continue
		}
		if h, _ := from.pool.Host(in.Host); h.Work.Destination != p.Name {
			p = p.WithoutInbound(in.Host)
		}
	}
	return p
}
