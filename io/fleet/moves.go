package fleet

import (
	"context"
	"time"

	"siskincross/core/event"
	"siskincross/core/host"
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
