package jobs

import (
	"bytes"
	"context"
	"time"

	"siskincross/core/job"
	"siskincross/io/platform"
)

const (
	learntPrefix = "job-learnt/"
	// learntEvery is the least time between two writes of what was learnt.
	learntEvery = 30 * time.Second
)

// learntRow tells when the row "job-learnt/<pool>" was last written, and as what.
type learntRow struct {
	due   time.Time
	value []byte
}

// saveLearnt writes what the scheduler has learnt, if it changed. The fence is
// its only precondition: an older value that arrives late does no harm.
func (h *holder) saveLearnt(ctx context.Context, now time.Time) {
	if now.Before(h.learnt.due) || !h.duty.Load() {
		return
	}
	h.learnt.due = now.Add(learntEvery)
	value := encode(h.scheduler.LearntState())
	if bytes.Equal(value, h.learnt.value) {
		return
	}
	tx := platform.Transaction{
		ID:            unique(),
		Preconditions: []platform.Precondition{{Key: fencePrefix + h.pool, Version: h.fence}},
		Writes:        []platform.Write{{Key: learntPrefix + h.pool, Value: value}},
		Purpose:       "job-learnt",
	}
	h.async(ctx, func(ctx context.Context) func() {
		err := h.m.commitOnce(ctx, tx)
		return func() {
			if err == nil {
				h.learnt.value = value
			}
		}
	})
}

// restoreLearnt takes in what earlier holders learnt.
func (h *holder) restoreLearnt(ctx context.Context) error {
	key := learntPrefix + h.pool
	rows, err := h.m.read(ctx, []string{key})
	if err != nil {
		return err
	}
	var learnt job.LearntState
	if err := decodeIfPresent(rows[key], &learnt); err != nil {
		return err
	}
	h.locked(func() { h.scheduler.RestoreLearntState(learnt, time.Now()) })
	return nil
}
