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
	// learntWriteInterval is the minimum interval between two writes of the learnt state.
	learntWriteInterval = 30 * time.Second
)

// learntRowState is the state of the row "job-learnt/<pool>": the time of the next write and the value
// written last.
type learntRowState struct {
	nextWrite time.Time
	value     []byte
}

// saveLearnt writes the learnt state of the scheduler if it changed. The fence is the only precondition,
// because an older value that is applied late does no harm.
func (h *poolHolder) saveLearnt(ctx context.Context, now time.Time) {
	if now.Before(h.learnt.nextWrite) || !h.hasDuty.Load() {
		return
	}
	h.learnt.nextWrite = now.Add(learntWriteInterval)
	value := encodeJSON(h.scheduler.LearntState())
	if bytes.Equal(value, h.learnt.value) {
		return
	}
	tx := platform.Transaction{
		ID:            newUniqueID(),
		Preconditions: []platform.Precondition{{Key: fencePrefix + h.pool, Version: h.fenceVersion}},
		Writes:        []platform.Write{{Key: learntPrefix + h.pool, Value: value}},
		Purpose:       "job-learnt",
	}
	h.runAsync(ctx, func(ctx context.Context) func() {
		err := h.manager.commitTransaction(ctx, tx)
		return func() {
			if err == nil {
				h.learnt.value = value
			}
		}
	})
}

// restoreLearnt restores the learnt state of earlier holders.
func (h *poolHolder) restoreLearnt(ctx context.Context) error {
	key := learntPrefix + h.pool
	rows, err := h.manager.read(ctx, []string{key})
	if err != nil {
		return err
	}
	var learnt job.LearntState
	if err := decodeIfPresent(rows[key], &learnt); err != nil {
		return err
	}
	h.withLock(func() { h.scheduler.RestoreLearntState(learnt, time.Now()) })
	return nil
}
