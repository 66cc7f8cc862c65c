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

// scanPage is the number of rows of one scan.
const scanPage = 2000

// errFenced is returned when another entry host holds the pool's jobs.
var errFenced = errors.New("another entry host holds the pool's jobs")

// takeOver fences earlier holders and rebuilds the state from the rows. It
// tries until ctx is done or a later holder is there.
func (h *holder) takeOver(ctx context.Context) error {
	var wait retry
	wait.limit = h.m.periods.MaxBackoff
	for {
		err := h.rebuild(ctx)
		if err == nil || errors.Is(err, errFenced) {
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(wait.next()):
		}
		if h.newer.Load() || !h.duty.Load() {
			return errFenced
		}
	}
}

// rebuild fences earlier holders and reads all rows. Notices are listed before
// the jobs are scanned: the scan finds all jobs that they name.
func (h *holder) rebuild(ctx context.Context) error {
	if err := h.raiseFence(ctx); err != nil {
		return err
	}
	in := h.m.inputs(h.pool)
	h.locked(func() { h.forget(in) })
	if err := h.restoreLearnt(ctx); err != nil {
		return err
	}
	err := h.m.scanPages(ctx, noticePrefix+h.pool+"/", func(rows []platform.Row) error {
		for _, row := range rows {
			h.notices.spend(row.Key)
		}
		return nil
	})
	if err != nil {
		return err
	}
	err = h.m.scanPages(ctx, jobPrefix+h.pool+"/", func(rows []platform.Row) error {
		h.locked(func() { h.adoptAll(rows) })
		return nil
	})
	if err != nil {
		return err
	}
	h.locked(func() { h.rebuilt = true })
	return nil
}

// forget begins anew with an empty memory.
func (h *holder) forget(in inputs) {
	h.scheduler = &job.Scheduler{Pool: h.pool, Epoch: h.epoch, Policy: h.m.Policy}
	h.retention = retention{}
	h.notices.spent = nil
	h.taken = taken{}
	h.take(in, time.Now())
}

// adoptAll takes in a page of job rows. One that can't be decoded does not keep the others from running.
func (h *holder) adoptAll(rows []platform.Row) {
	now := time.Now()
	for _, row := range rows {
		j, err := decodeJob(row)
		if err != nil {
			h.event(event.JobRowUnreadable, "", "", err.Error())
			continue
		}
		if job.IsFinal(j.State) {
			h.retention.add(j.ID, time.UnixMilli(j.EndedMillis))
			continue
		}
		h.scheduler.LoadJob(j, now)
	}
}

// raiseFence writes the epoch into the fence row, on condition that the pool's row still has it.
func (h *holder) raiseFence(ctx context.Context) error {
	fenceKey, poolKey := fencePrefix+h.pool, poolPrefix+h.pool
	fence, pool, err := h.readFence(ctx, fenceKey, poolKey)
	if err != nil {
		return err
	}
	if h.owns(fence) {
		h.fence = fence.Version
		return nil
	}
	tx := platform.Transaction{
		ID: unique(),
		Preconditions: []platform.Precondition{
			{Key: fenceKey, Version: fence.Version}, {Key: poolKey, Version: pool.Version},
		},
		Writes:  []platform.Write{{Key: fenceKey, Value: encode(fenceRow{Epoch: h.epoch, Holder: h.m.MemberID, Claim: h.claim})}},
		Purpose: "job-fence",
	}
	if err := h.m.commitOnce(ctx, tx); err != nil {
		return errors.Wrapf(err, "fence of pool %s", h.pool)
	}
	fence, _, err = h.readFence(ctx, fenceKey, poolKey)
	h.fence = fence.Version
	return err
}

// owns reports whether this takeover wrote the fence row.
func (h *holder) owns(fence platform.Row) bool {
	var f fenceRow
	return decodeIfPresent(fence, &f) == nil && f.Claim == h.claim
}

// readFence reads both rows and returns errFenced if a later holder wrote one of them.
func (h *holder) readFence(ctx context.Context, fenceKey, poolKey string) (fence, pool platform.Row, err error) {
	rows, err := h.m.read(ctx, []string{fenceKey, poolKey})
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
	otherHolder := f.Epoch == h.epoch && f.Holder != h.m.MemberID
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
