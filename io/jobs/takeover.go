package jobs

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"siskincross/core/event"
	"siskincross/core/job"
	"siskincross/io/platform"
)

// scanPageSize is the number of rows in one page of a scan.
const scanPageSize = 2000

// errFenced is returned when another entry host holds the pool's jobs.
var errFenced = errors.New("another entry host holds the pool's jobs")

// takeOver fences earlier holders off and rebuilds the state from the rows. It retries until it succeeds, ctx
// is done or this entry host no longer has the duty.
func (h *poolHolder) takeOver(ctx context.Context) error {
	var retry retryBackoff
	retry.limit = h.manager.timing.MaxBackoff
	for {
		err := h.rebuildState(ctx)
		if err == nil || errors.Is(err, errFenced) {
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(retry.nextDelay()):
		}
		if h.superseded.Load() || !h.hasDuty.Load() {
			return errFenced
		}
	}
}

// rebuildState fences earlier holders off and reads all rows. It lists the notices before it scans the jobs,
// so that the scan finds all jobs that these notices name.
func (h *poolHolder) rebuildState(ctx context.Context) error {
	if err := h.writeFence(ctx); err != nil {
		return err
	}
	in := h.manager.inputs(h.pool)
	h.withLock(func() { h.resetState(in) })
	if err := h.restoreLearnt(ctx); err != nil {
		return err
	}
	err := h.manager.scanPages(ctx, noticePrefix+h.pool+"/", func(rows []platform.Row) error {
		for _, row := range rows {
			h.notices.markProcessed(row.Key)
		}
		return nil
	})
	if err != nil {
		return err
	}
	err = h.manager.scanPages(ctx, jobPrefix+h.pool+"/", func(rows []platform.Row) error {
		h.withLock(func() { h.loadRows(rows) })
		return nil
	})
	if err != nil {
		return err
	}
	h.withLock(func() { h.rebuilt = true })
	return nil
}

// resetState starts over with an empty scheduler.
func (h *poolHolder) resetState(in inputs) {
	h.scheduler = &job.Scheduler{Pool: h.pool, Epoch: h.epoch, Policy: h.manager.Policy}
	h.retention = retentionQueue{}
	h.notices.processed = nil
	h.applied = appliedInputs{}
	h.applyInputs(in, time.Now())
}

// loadRows loads a page of job rows. A row that can't be decoded is recorded and skipped, so that the other
// jobs still run.
func (h *poolHolder) loadRows(rows []platform.Row) {
	now := time.Now()
	for _, row := range rows {
		j, err := decodeJob(row)
		if err != nil {
			h.recordEvent(event.JobRowUnreadable, "", "", err.Error())
			continue
		}
		if job.IsFinal(j.State) {
			h.retention.add(j.ID, time.UnixMilli(j.EndedMillis))
			continue
		}
		h.scheduler.LoadJob(j, now)
	}
}

// writeFence writes the epoch into the fence row, on condition that the pool's row has not changed since it
// was read.
func (h *poolHolder) writeFence(ctx context.Context) error {
	fenceKey, poolKey := fencePrefix+h.pool, poolPrefix+h.pool
	fence, pool, err := h.readFenceRows(ctx, fenceKey, poolKey)
	if err != nil {
		return err
	}
	if h.isOwnFence(fence) {
		h.fenceVersion = fence.Version
		return nil
	}
	tx := platform.Transaction{
		ID: newUniqueID(),
		Preconditions: []platform.Precondition{
			{Key: fenceKey, Version: fence.Version}, {Key: poolKey, Version: pool.Version},
		},
		Writes:  []platform.Write{{Key: fenceKey, Value: encodeJSON(fenceRow{Epoch: h.epoch, Holder: h.manager.MemberID, TakeoverID: h.takeoverID})}},
		Purpose: "job-fence",
	}
	if err := h.manager.commitTransaction(ctx, tx); err != nil {
		return errors.Wrapf(err, "write fence of pool %s", h.pool)
	}
	fence, _, err = h.readFenceRows(ctx, fenceKey, poolKey)
	h.fenceVersion = fence.Version
	return err
}

// isOwnFence reports whether this takeover wrote the fence row.
func (h *poolHolder) isOwnFence(fence platform.Row) bool {
	var f fenceRow
	return decodeIfPresent(fence, &f) == nil && f.TakeoverID == h.takeoverID
}

// readFenceRows reads the fence row and the pool row. It returns errFenced if one of them has a later epoch, or
// if another entry host wrote the fence with the same epoch.
func (h *poolHolder) readFenceRows(ctx context.Context, fenceKey, poolKey string) (fence, pool platform.Row, err error) {
	rows, err := h.manager.read(ctx, []string{fenceKey, poolKey})
	if err != nil {
		return fence, pool, err
	}
	fence, pool = rows[fenceKey], rows[poolKey]
	var f fenceRow
	if err := decodeIfPresent(fence, &f); err != nil {
		return fence, pool, err
	}
	var p poolRow
	if err := decodeIfPresent(pool, &p); err != nil {
		return fence, pool, err
	}
	otherHolder := f.Epoch == h.epoch && f.Holder != h.manager.MemberID
	if f.Epoch > h.epoch || p.Epoch > h.epoch || otherHolder {
		return fence, pool, errFenced
	}
	return fence, pool, nil
}

func decodeIfPresent(row platform.Row, value any) error {
	if row.Version == 0 {
		return nil
	}
	return errors.Wrapf(json.Unmarshal(row.Value, value), "row %q", row.Key)
}
