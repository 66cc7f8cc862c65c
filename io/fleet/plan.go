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

// planWork starts planned work in the held pools, once in the period of
// planning. A new holder finds the work of its predecessor in the pool's row.
func (m *Manager) planWork(ctx context.Context) {
	now := time.Now()
	if now.Sub(m.planned) < m.Periods.Plan {
		return
	}
	m.planned = now
	for _, r := range m.held() {
		limits, ok := m.limits(r.pool.Name)
		if !ok {
			continue
		}
		m.reportBehind(r, limits, now)
		if reason := m.pauseReason(now); reason != "" {
			m.wait(r, reason)
			continue
		}
		m.startMaintenance(ctx, r, limits, now)
	}
	m.planMoves(ctx, now)
}

// pauseReason returns why no planned work may start anywhere, or "".
func (m *Manager) pauseReason(now time.Time) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if doubt := m.list.DistrustReason(); doubt != "" {
		return "the platform's list is doubted: " + doubt
	}
	if live, all := len(m.ledger.Live()), len(m.ledger.All()); 2*live <= all {
		return "more than half of the entry hosts lapsed"
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

func (m *Manager) maintenance() plan.MaintenanceSchedule {
	return plan.MaintenanceSchedule{Period: m.Periods.MaintenancePeriod, PerHost: m.Periods.MoveDuration}
}

func (m *Manager) startMaintenance(ctx context.Context, r row, limits config.Pool, now time.Time) {
	id, ok, err := m.maintenance().NextHost(r.pool, limits, now)
	switch {
	case err != nil:
		m.wait(r, err.Error())
	case ok:
		m.startWork(ctx, r, id, limits, now)
	default:
		m.proceed(r)
	}
}

func (m *Manager) startWork(ctx context.Context, r row, id host.ID, limits config.Pool, now time.Time) {
	work := pool.PlannedWork{Purpose: pool.PurposeMaintenance, Operation: ulid.Make().String()}
	after, err := r.pool.WithPlannedWork(id, work, limits.MaxUnavailable, now)
	if err != nil {
		m.wait(r, err.Error())
		return
	}
	m.proceed(r)
	d := decision{purpose: "work", changes: []change{{before: r, after: after}}}
	m.decide(ctx, d, []event.Event{{
		Number: event.HostDraining, Pool: r.pool.Name, Host: string(id), Detail: "maintenance " + work.Operation,
	}})
}

// wait notes why planned work of a pool waits. Each change of the reason is one event.
func (m *Manager) wait(r row, reason string) {
	m.mu.Lock()
	known := m.waiting[r.pool.Name]
	m.waiting[r.pool.Name] = reason
	m.mu.Unlock()
	if known != reason {
		m.record(event.Event{Number: event.WorkRefused, Pool: r.pool.Name, Detail: reason})
	}
}

// proceed notes that planned work of a pool waits for nothing.
func (m *Manager) proceed(r row) {
	m.mu.Lock()
	known := m.waiting[r.pool.Name]
	delete(m.waiting, r.pool.Name)
	m.mu.Unlock()
	if known != "" {
		m.record(event.Event{Number: event.WorkResumed, Pool: r.pool.Name, Detail: "after: " + known})
	}
}

// reportBehind records once when a pool falls behind its maintenance schedule.
func (m *Manager) reportBehind(r row, limits config.Pool, now time.Time) {
	behind := m.maintenance().BehindSchedule(r.pool, limits, now)
	m.mu.Lock()
	known := m.behind[r.pool.Name]
	m.behind[r.pool.Name] = behind
	m.mu.Unlock()
	if behind && !known {
		m.record(event.Event{Number: event.MaintenanceBehind, Pool: r.pool.Name})
	}
}
