package runner

import (
	"errors"
	"fmt"
	"time"

	"siskincross/core/event"
	"siskincross/core/quota"
	"siskincross/core/resource"
	"siskincross/io/platform"
)

// grantsTable holds what each pool may have running for each organisation, one row an organisation, in one partition.
const (
	grantsTable     = "grants"
	grantsPartition = reservedPrefix + grantsTable
)

// grantRow is the stored form of quota.Row.
type grantRow struct {
	Pools map[string]grantEntry `json:"pools"`
}

type grantEntry struct {
	Epoch        uint64 `json:"epoch"`
	MilliCores   int    `json:"milli-cores,omitempty"`
	MemoryMB     int    `json:"memory-mb,omitempty"`
	Accelerators int    `json:"accelerators,omitempty"`
}

func newGrantRow(r quota.Row) grantRow {
	row := grantRow{Pools: make(map[string]grantEntry, len(r))}
	for pool, e := range r {
		row.Pools[pool] = grantEntry{e.Epoch, e.Granted.MilliCores, e.Granted.MemoryMB, e.Granted.Accelerators}
	}
	return row
}

func (r grantRow) row() quota.Row {
	row := make(quota.Row, len(r.Pools))
	for pool, e := range r.Pools {
		row[pool] = quota.Entry{Epoch: e.Epoch, Granted: resource.Amount{MilliCores: e.MilliCores, MemoryMB: e.MemoryMB, Accelerators: e.Accelerators}}
	}
	return row
}

// grantKey returns the key of an organisation's grants.
func grantKey(organisation string) platform.RowKey {
	return platform.RowKey{Table: grantsTable, Partition: grantsPartition, Key: organisation}
}

// grants is the state of the calls of a pool's holder for grants. The poolHolder's lock guards it.
type grants struct {
	// catalogueVersion and directoryChanges are those of the limits that the ledger has.
	catalogueVersion, directoryChanges uint64
	limitsAt                           time.Time
	// callInFlight is true while a read or a write has no result yet. The ledger takes one at a time.
	callInFlight bool
	retryAt      time.Time
	failures     int
	// atLimit holds the organisations of which tasks wait because of the limit.
	atLimit    map[string]limitWait
	reportedAt time.Time
	checkedAt  time.Time
	// awaitedAt is when the ledger was last told which organisations wait in other pools.
	awaitedAt time.Time
}

// limitsInterval is the maximum time between two updates of the limits. Workers that are no longer listed count for a
// while.
const limitsInterval = 10 * time.Second

// limitWait is a period in which tasks of an organisation waited because of its limit.
type limitWait struct{ since, last time.Time }

// limitWaitGap is the time without waiting tasks after which such a period is over.
const limitWaitGap = 500 * time.Millisecond

// updateLimits gives the ledger the limits of the configuration if they or the listed workers have changed. The caller
// holds the lock.
func (h *poolHolder) updateLimits(changes uint64, now time.Time) {
	catalogue := h.manager.Catalogue()
	if catalogue.Version == h.grants.catalogueVersion && changes == h.grants.directoryChanges && now.Sub(h.grants.limitsAt) < limitsInterval {
		return
	}
	if h.grants.catalogueVersion == 0 && catalogue.Organisations.IsEmpty() {
		return
	}
	h.grants.catalogueVersion, h.grants.directoryChanges, h.grants.limitsAt = catalogue.Version, changes, now
	offered, known := h.manager.workers.totalCapacity()
	h.scheduler.Quota.SetLimits(catalogue.Organisations, offered, known, now)
}

// totalCapacity returns what the workers of all pools offer together, and whether the directory has been read.
func (d *directoryCache) totalCapacity() (resource.Amount, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var sum resource.Amount
	for _, w := range d.workers {
		sum = sum.Add(w.Capacity)
	}
	return sum, d.loaded
}

// startDueGrantCall starts a read or a write of grants if one is due.
func (h *poolHolder) startDueGrantCall(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.recordQuotaWaits(now)
	ledger := &h.scheduler.Quota
	if h.grants.catalogueVersion > 0 && now.Sub(h.grants.awaitedAt) >= awaitedInterval {
		h.grants.awaitedAt = now
		ledger.SetAwaited(h.manager.awaitedOrganisations())
	}
	if h.grants.callInFlight || now.Before(h.grants.retryAt) {
		return
	}
	if ledger.NeedsRows() || ledger.ReadDue(now) {
		h.grants.callInFlight = true
		h.group.Go(h.readGrants)
		return
	}
	write, due := ledger.NextWrite(now)
	if !due {
		if pause := ledger.WritePause(now); pause > 0 {
			time.AfterFunc(pause, h.wake)
		}
		return
	}
	h.grants.callInFlight = true
	h.group.Go(func() { h.writeGrants(write) })
}

// readGrants reads the grants of all organisations.
func (h *poolHolder) readGrants() {
	rows, version, err := h.manager.Rows.ReadAll(h.ctx, platform.RangeQuery{Table: grantsTable, Partition: grantsPartition, Purpose: "grants"})
	if err == nil && version < h.epoch {
		err = errStaleRows
	}
	h.mu.Lock()
	if err == nil {
		current := make(map[string]quota.VersionedRow, len(rows))
		for _, row := range rows {
			current[row.Key] = h.decodeGrants(row)
		}
		h.scheduler.Quota.Load(current)
	}
	h.mu.Unlock()
	h.completeGrantCall(err)
}

// decodeGrants decodes a row of grants. A row that can't be decoded counts as empty: its next write replaces it.
func (h *poolHolder) decodeGrants(row platform.VersionedRow) quota.VersionedRow {
	var stored grantRow
	if err := decodeRow(row, &stored); err != nil {
		h.manager.record(event.Event{Number: event.WorkRowUnreadable, Pool: h.pool, Detail: err.Error()})
	}
	return quota.VersionedRow{Row: stored.row(), Version: row.Version}
}

// writeGrants stores claims and releases.
func (h *poolHolder) writeGrants(write quota.Write) {
	tx := platform.RowTransaction{Purpose: "grants"}
	for _, r := range write.Rows {
		key := grantKey(r.Organisation)
		tx.Preconditions = append(tx.Preconditions, platform.RowPrecondition{RowKey: key, Version: r.Version})
		tx.Writes = append(tx.Writes, platform.RowWrite{RowKey: key, Value: encodeRow(newGrantRow(r.Row))})
	}
	version, err := h.manager.Rows.Commit(h.ctx, tx)
	var conflict platform.ErrVersionMismatch
	h.mu.Lock()
	switch {
	case err == nil:
		h.scheduler.Quota.Confirm(write, version)
	case errors.As(err, &conflict):
		current := make(map[string]quota.VersionedRow, len(conflict.Rows))
		for _, row := range conflict.Rows {
			if row.Version != 0 && !row.Deleted {
				current[row.Key] = h.decodeGrants(row)
			}
		}
		h.scheduler.Quota.Reject(write, current)
		err = nil
	default:
		h.scheduler.Quota.Abandon(write)
	}
	h.mu.Unlock()
	h.completeGrantCall(err)
}

// completeGrantCall records the end of a read or a write, delays the next one after a failure, and ends the duty if the
// rows have shown a later holder.
func (h *poolHolder) completeGrantCall(err error) {
	h.mu.Lock()
	h.grants.callInFlight = false
	if err == nil {
		h.grants.failures, h.grants.retryAt = 0, time.Time{}
	} else {
		pause := jitter(min(firstRetryPause<<min(h.grants.failures, 10), maxRetryPause))
		h.grants.retryAt = time.Now().Add(pause)
		h.grants.failures++
	}
	superseded := h.scheduler.Quota.Superseded()
	h.mu.Unlock()
	switch {
	case superseded:
		h.end("a later holder of the pool has written to the grants")
	case err != nil && h.ctx.Err() == nil:
		h.manager.record(event.Event{Number: event.GrantsFailed, Pool: h.pool, Detail: err.Error()})
	}
	h.wake()
}

// quotaCheckInterval is the time between two checks which organisations wait, and quotaReportInterval the time between two
// reports of the grants in the metrics.
const (
	quotaCheckInterval  = 20 * time.Millisecond
	quotaReportInterval = time.Second
)

// recordQuotaWaits records which organisations start or cease to wait because of their limit, and reports the grants in
// the metrics. The caller holds the lock.
func (h *poolHolder) recordQuotaWaits(now time.Time) {
	if h.grants.catalogueVersion == 0 || now.Sub(h.grants.checkedAt) < quotaCheckInterval {
		return
	}
	h.grants.checkedAt = now
	report := now.Sub(h.grants.reportedAt) >= quotaReportInterval
	if report {
		h.grants.reportedAt = now
	}
	if h.grants.atLimit == nil {
		h.grants.atLimit = make(map[string]limitWait)
	}
	for _, u := range h.scheduler.Quota.Usages() {
		if report {
			h.reportQuota(u)
		}
		if !u.AtLimit {
			continue
		}
		wait, known := h.grants.atLimit[u.Organisation]
		if !known {
			wait.since = now
			h.manager.record(event.Event{Number: event.QuotaReached, Pool: h.pool, Detail: fmt.Sprintf(
				"organisation %s: %d tasks wait, the pool runs %s of %s granted, all pools have %s of the limit %s", u.Organisation, u.Wanted, u.Used, u.Granted, u.Total, u.Limit)})
		}
		wait.last = now
		h.grants.atLimit[u.Organisation] = wait
	}
	for name, wait := range h.grants.atLimit {
		if now.Sub(wait.last) >= limitWaitGap {
			delete(h.grants.atLimit, name)
			h.manager.record(event.Event{Number: event.QuotaCleared, Pool: h.pool, Detail: fmt.Sprintf(
				"organisation %s: no task waits any more, after %s", name, wait.last.Sub(wait.since).Round(time.Millisecond))})
		}
	}
}

// reportQuota reports the usage of an organisation in the metrics.
func (h *poolHolder) reportQuota(u quota.Usage) {
	scope := h.manager.scope.Tagged(map[string]string{"pool": h.pool, "organisation": u.Organisation})
	scope.Gauge("quota_used_cores").Update(float64(u.Used.MilliCores) / 1000)
	scope.Gauge("quota_granted_cores").Update(float64(u.Granted.MilliCores) / 1000)
	scope.Gauge("quota_limit_cores").Update(float64(u.Limit.MilliCores) / 1000)
	scope.Gauge("quota_waiting_tasks").Update(float64(u.Wanted))
}
