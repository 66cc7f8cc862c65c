package runner

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"siskincross/core/event"
	"siskincross/core/work"
	"siskincross/io/platform"
)

// takeoverRead is the read of a pool's stored rows by a new holder. After a failure it continues where it stopped.
type takeoverRead struct {
	holder    *poolHolder
	startedAt time.Time
	// progress is read before specs. Earlier holders are fenced, so only a cancel changes progress rows, and it removes
	// the specification too. A specification without a progress row belongs to a job that has not started or was
	// accepted meanwhile.
	progress, specs platform.RangeReader
	// specsRequestedAt is when the read of specs began.
	specsRequestedAt time.Time
	need             needRow
	needVersion      uint64
	needRead         bool
}

func newTakeoverRead(h *poolHolder) *takeoverRead {
	t := &takeoverRead{holder: h, startedAt: time.Now()}
	t.progress.Query = platform.RangeQuery{Table: progressTable, Partition: h.pool, Purpose: "takeover"}
	t.specs.Query = platform.RangeQuery{Table: queueTable(h.pool), Partition: h.pool, Purpose: "takeover"}
	return t
}

// loadPool reads the pool's stored rows and retries until it succeeds. It reports false if the duty ended.
func (h *poolHolder) loadPool() bool {
	t := newTakeoverRead(h)
	ctx, cancel := context.WithCancel(h.ctx)
	defer cancel()
	h.group.Go(func() { h.announceEpoch(ctx) })
	var retry backoff
	for {
		before := t.rowCount()
		err := t.readRemaining(h.ctx)
		if err == nil {
			t.apply()
			h.group.Go(func() { h.followQueue(t.specs.Version) })
			return h.ctx.Err() == nil
		}
		h.manager.record(event.Event{Number: event.WorkDutyFailed, Pool: h.pool, Detail: fmt.Sprintf(
			"read the pool's rows (%d read so far): %v", t.rowCount(), err)})
		if t.rowCount() > before {
			retry = backoff{}
		}
		if !h.manager.awaitRetry(h.ctx, &retry) {
			return false
		}
	}
}

// rowCount returns how many rows have been read.
func (t *takeoverRead) rowCount() int { return len(t.progress.Rows) + len(t.specs.Rows) }

// readRemaining reads what is still missing of the jobs' progress, their specifications with the roster, and the
// need.
func (t *takeoverRead) readRemaining(ctx context.Context) error {
	if err := t.progress.ReadRemaining(ctx, t.holder.manager.Rows); err != nil {
		return err
	}
	if t.specsRequestedAt.IsZero() {
		t.specsRequestedAt = time.Now()
	}
	if err := t.specs.ReadRemaining(ctx, t.holder.manager.Rows); err != nil {
		return err
	}
	if !t.needRead {
		need, version, err := t.holder.readNeed()
		if err != nil {
			return err
		}
		t.need, t.needVersion, t.needRead = need, version, true
	}
	if t.progress.Version < t.holder.epoch || t.specs.Version < t.holder.epoch {
		again := newTakeoverRead(t.holder)
		t.progress, t.specs, t.specsRequestedAt = again.progress, again.specs, time.Time{}
		return errStaleRows
	}
	return nil
}

// apply adds the rows to the scheduler.
func (t *takeoverRead) apply() {
	h := t.holder
	stored := make(map[string]platform.VersionedRow, len(t.progress.Rows))
	for _, row := range t.progress.Rows {
		stored[row.Key] = row
	}
	h.mu.Lock()
	h.evacuation.markReported(t.need.Evacuated)
	h.needVersion = t.needVersion
	jobs := 0
	for _, row := range t.specs.Rows {
		switch p, ok := stored[row.Key]; {
		case row.Key == rosterKey:
			h.loadRoster(row)
		case row.Key == fenceKey && row.Version > h.epoch:
			h.end("another member has written the fence row")
		case row.Key < firstJobKey:
		case ok:
			h.withProgressRow[work.JobID(row.Key)] = true
			h.addStoredJob(row, p.Value, p.Version, true)
			jobs++
		default:
			// Both rows of a job are stored in one transaction, so this is also the version of its state. No earlier holder
			// knew a job that was accepted since the takeover.
			h.addStoredJob(row, nil, row.Version, row.Version < h.epoch)
			jobs++
		}
	}
	h.loadedAt, h.unresolved = time.Now(), h.scheduler.UnresolvedIncarnations(time.Now())
	h.loaded = true
	h.feed.lastAnswer = time.Now()
	h.feed.advanceSnapshotTime(t.specsRequestedAt)
	roster := len(h.confirmedRoster)
	h.mu.Unlock()
	h.manager.record(event.Event{Number: event.WorkDutyTaken, Pool: h.pool, Detail: fmt.Sprintf(
		"epoch %d, term %d, earlier holders %s, %d workers on the roster, %d jobs, %d of them started, %d bytes read in %s",
		h.epoch, h.scheduler.Term, h.describeEarlierHolders(), roster, jobs, len(h.withProgressRow), totalValueSize(t.progress.Rows)+totalValueSize(t.specs.Rows),
		time.Since(t.startedAt).Round(time.Millisecond))})
}

// describeEarlierHolders tells whether earlier holders have ended, for the log.
func (h *poolHolder) describeEarlierHolders() string {
	forced := h.scheduler.LastForcedTakeover
	if forced.IsZero() {
		return "have ended"
	}
	return fmt.Sprintf("may not have ended when they were replaced %s ago", time.Since(forced).Round(time.Millisecond))
}

// errStaleRows is returned for rows that are older than a commit of this holder.
var errStaleRows = errors.New("store returned rows older than our last commit")

// readPoolRows reads the pool's rows of a table and returns errStaleRows if they are older than our last commit.
func (h *poolHolder) readPoolRows(ctx context.Context, table string) ([]platform.VersionedRow, uint64, error) {
	h.mu.Lock()
	floor := h.minReadVersion
	h.mu.Unlock()
	rows, version, err := h.manager.Rows.ReadAll(ctx, platform.RangeQuery{Table: table, Partition: h.pool, Purpose: "feed"})
	if err == nil && version < floor {
		err = errStaleRows
	}
	return rows, version, err
}

// maxNamedWorkers is the maximum number of workers named in one log line.
const maxNamedWorkers = 5

// recordUnresolved updates the incarnations with unresolved attempts of earlier holders. It records an event when
// none is left, with the last ones that were waited for. The caller holds the lock.
func (h *poolHolder) recordUnresolved(now time.Time) {
	if len(h.unresolved) == 0 {
		return
	}
	awaited := h.scheduler.UnresolvedIncarnations(now)
	if len(awaited) == 0 {
		detail := fmt.Sprintf("no unresolved attempts of earlier holders %s after the pool was read; the last %d were %s",
			now.Sub(h.loadedAt).Round(time.Millisecond), len(h.unresolved), nameWorkers(h.unresolved))
		if silent := h.scheduler.SilentIncarnations(); len(silent) > 0 {
			detail += fmt.Sprintf("; %d are listed and have not reported: %s", len(silent), nameWorkers(silent))
		}
		h.manager.record(event.Event{Number: event.WorkDutySettled, Pool: h.pool, Detail: detail})
	}
	h.unresolved = awaited
}

// nameWorkers returns the names of the workers of incarnations, at most maxNamedWorkers of them.
func nameWorkers(incarnations []work.Incarnation) string {
	names := make([]string, 0, maxNamedWorkers)
	for _, incarnation := range incarnations[:min(maxNamedWorkers, len(incarnations))] {
		names = append(names, incarnation.Worker)
	}
	return strings.Join(names, ", ")
}
