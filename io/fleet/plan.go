package fleet

import (
	"context"
	"time"

	"github.com/oklog/ulid/v2"

	"siskincross/core/config"
	"siskincross/core/event"
	"siskincross/core/host"
	"siskincross/core/plan"
	"siskincross/core/pool"
)

// planWork starts planned work in the held pools, once per planning period. A new holder
// finds the work of its predecessor in the pool row.
func (m *Manager) planWork(ctx context.Context) {
	now := time.Now()
	if now.Sub(m.lastPlanned) < m.Periods.Plan {
		return
	}
	m.lastPlanned = now
	for _, r := range m.heldRows() {
		limits, ok := m.limits(r.pool.Name)
		if !ok {
			continue
		}
		m.reportBehindSchedule(r, limits, now)
		if reason := m.planningPauseReason(now); reason != "" {
			m.recordWait(r, reason)
			continue
		}
		m.startMaintenance(ctx, r, limits, now)
	}
	m.planMoves(ctx, now)
}

// planningPauseReason returns why no planned work may start in any pool, or "".
func (m *Manager) planningPauseReason(now time.Time) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if reason := m.list.DistrustReason(); reason != "" {
		return "the platform's list is doubted: " + reason
	}
	if live, all := len(m.detector.Live()), len(m.detector.All()); 2*live <= all {
		return "at least half of the entry hosts have lapsed"
	}
	pools := make([]pool.Pool, 0, len(m.rows))
	for _, r := range m.rows {
		pools = append(pools, r.pool)
	}
	if plan.MassFailure(pools, m.Periods.MassFailurePause, now) {
		return "a wave of failures"
	}
	return ""
}

func (m *Manager) maintenanceSchedule() plan.MaintenanceSchedule {
	return plan.MaintenanceSchedule{Period: m.Periods.MaintenancePeriod, PerHost: m.Periods.MoveDuration}
}

func (m *Manager) startMaintenance(ctx context.Context, r poolRow, limits config.Pool, now time.Time) {
	id, ok, err := m.maintenanceSchedule().NextHost(r.pool, limits, now)
	switch {
	case err != nil:
		m.recordWait(r, err.Error())
	case ok:
		m.startPlannedMaintenance(ctx, r, id, limits, now)
	default:
		m.clearWait(r)
	}
}

func (m *Manager) startPlannedMaintenance(ctx context.Context, r poolRow, id host.ID, limits config.Pool, now time.Time) {
	work := pool.PlannedWork{Purpose: pool.PurposeMaintenance, Operation: ulid.Make().String()}
	after, err := r.pool.WithPlannedWork(id, work, limits.MaxUnavailable, now)
	if err != nil {
		m.recordWait(r, err.Error())
		return
	}
	m.clearWait(r)
	d := decision{purpose: "work", changes: []change{{before: r, after: after}}}
	m.commitWithEvents(ctx, d, []event.Event{{
		Number: event.HostDraining, Pool: r.pool.Name, Host: string(id), Detail: "maintenance " + work.Operation,
	}})
}

// recordWait records why planned work of a pool is held back. Each change of the reason
// records one event.
func (m *Manager) recordWait(r poolRow, reason string) {
	m.mu.Lock()
	previous := m.waitReasons[r.pool.Name]
	m.waitReasons[r.pool.Name] = reason
	m.mu.Unlock()
	if previous != reason {
		m.record(event.Event{Number: event.WorkRefused, Pool: r.pool.Name, Detail: reason})
	}
}

// clearWait records that planned work of a pool is not held back.
func (m *Manager) clearWait(r poolRow) {
	m.mu.Lock()
	previous := m.waitReasons[r.pool.Name]
	delete(m.waitReasons, r.pool.Name)
	m.mu.Unlock()
	if previous != "" {
		m.record(event.Event{Number: event.WorkResumed, Pool: r.pool.Name, Detail: "after: " + previous})
	}
}

// reportBehindSchedule records one event each time a pool falls behind its maintenance
// schedule.
func (m *Manager) reportBehindSchedule(r poolRow, limits config.Pool, now time.Time) {
	behind := m.maintenanceSchedule().BehindSchedule(r.pool, limits, now)
	m.mu.Lock()
	previous := m.behindSchedule[r.pool.Name]
	m.behindSchedule[r.pool.Name] = behind
	m.mu.Unlock()
	if behind && !previous {
		m.record(event.Event{Number: event.MaintenanceBehind, Pool: r.pool.Name})
	}
}
