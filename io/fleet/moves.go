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

// finishMoves puts rebooted hosts of the held pools into the pools that they were drained for.
func (m *Manager) finishMoves(ctx context.Context) {
	for _, r := range m.held() {
		for _, h := range r.pool.Hosts {
			if h.State == host.Ready && h.Work.Purpose == pool.PurposeMove && m.isConfirmed(h) {
				m.finishMove(ctx, r.pool.Name, h)
			}
		}
	}
}

// finishMove commits one move: the host's own row and both pools' rows change together or not at all.
func (m *Manager) finishMove(ctx context.Context, name string, h pool.Host) {
	from, fromOK := m.rowOf(name)
	to, toOK := m.rowOf(h.Work.Destination)
	if !fromOK || !toOK || !to.exists {
		return
	}
	owner, version, err := m.ownership(ctx, h.ID)
	if err != nil || owner.Pool != name {
		return
	}
	left, joined, ownership, err := pool.FinishMove(from.pool, to.pool, h.ID, time.Now())
	if err != nil {
		m.reportRefused(from.pool, err)
		return
	}
	d := decision{
		purpose: "move",
		changes: []change{{before: from, after: left}, {before: to, after: joined}},
		owners:  []ownershipWrite{{id: h.ID, version: version, value: ownership}},
	}
	m.decide(ctx, d, []event.Event{{
		Number: event.HostMoved, Pool: joined.Name, Host: string(h.ID), Detail: "from " + left.Name,
	}})
}

// planMoves starts the moves out of the held pools that the policy asks for.
// Every member plans by the same rows; each carries out what its duties cover.
func (m *Manager) planMoves(ctx context.Context, now time.Time) {
	policy := plan.Absorbing(m.Periods.CoolDown)
	m.sizePools(policy, now)
	views, ok := m.poolViews(policy, now)
	if !ok || !m.settled() || m.pauseReason(now) != "" {
		return
	}
	for _, organisation := range views {
		for _, move := range policy.NextMoves(organisation, now) {
			m.startMove(ctx, move, now)
		}
	}
}

// startMove announces a move to both pools in one transaction and drains the host.
func (m *Manager) startMove(ctx context.Context, move plan.Move, now time.Time) {
	from, fromOK := m.rowOf(move.From)
	to, toOK := m.rowOf(move.To)
	fromLimits, _ := m.limits(move.From)
	toLimits, _ := m.limits(move.To)
	if !fromOK || !toOK || from.pool.Holder != m.Member {
		return
	}
	left, joining, err := pool.StartMove(from.pool, to.pool, move.Host, ulid.Make().String(), fromLimits, toLimits, now)
	if err != nil {
		m.wait(from, err.Error())
		return
	}
	d := decision{purpose: "move", changes: []change{{before: from, after: left}, {before: to, after: joining}}}
	m.decide(ctx, d, []event.Event{{
		Number: event.HostDraining, Pool: move.From, Host: string(move.Host), Detail: "to move to " + move.To,
	}})
}

// withoutStaleInbound drops announcements of hosts that no longer come: their
// pool gave the move up, or the host failed.
func (m *Manager) withoutStaleInbound(p pool.Pool) pool.Pool {
	for _, in := range p.Inbound {
		from, ok := m.rowOf(in.From)
		if !ok || !from.exists {
			continue
		}
		if h, _ := from.pool.Host(in.Host); h.Work.Destination != p.Name {
			p = p.WithoutInbound(in.Host)
		}
	}
	return p
}
