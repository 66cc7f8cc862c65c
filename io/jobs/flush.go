package jobs

import (
	"context"
	"errors"
	"time"

	"siskincross/core/event"
	"siskincross/core/job"
	"siskincross/io/platform"
)

const (
	// maxFlushRows bounds the job rows in one transaction, maxNoticeDeletes the notices that it deletes.
	maxFlushRows     = 100
	maxNoticeDeletes = 100
)

// flushWrites writes the pending rows, one transaction at a time. Rows of unknown versions are read first.
func (h *poolHolder) flushWrites(ctx context.Context) {
	now := time.Now()
	if h.flushing || now.Before(h.commitRetry.nextAttempt) {
		return
	}
	rows := h.scheduler.PendingWrites(maxFlushRows)
	if unversioned := withoutKnownVersion(rows); len(unversioned) > 0 {
		h.flushing = true
		h.runAsync(ctx, func(ctx context.Context) func() { return h.readBack(ctx, unversioned) })
		return
	}
	processed := h.notices.deletableKeys(maxNoticeDeletes)
	expired := h.retention.takeExpired(now.Add(-h.manager.timing.Retention), maxFlushRows)
	if len(rows) == 0 && len(expired) == 0 && !h.notices.isDeletionDue(processed) {
		return
	}
	h.flushing = true
	tx := h.newTransaction(rows, processed, expired)
	h.runAsync(ctx, func(ctx context.Context) func() {
		err := h.manager.commitTransaction(ctx, tx)
		return func() { h.handleFlushed(ctx, rows, processed, expired, err) }
	})
}

func withoutKnownVersion(rows []job.Job) []job.Job {
	var unversioned []job.Job
	for _, row := range rows {
		if row.Version == 0 {
			unversioned = append(unversioned, row)
		}
	}
	return unversioned
}

// newTransaction builds a transaction that writes rows, deletes processed notices and deletes expired jobs.
// It sets the commit ID of the rows.
func (h *poolHolder) newTransaction(rows []job.Job, processed []string, expired []expiringJob) platform.Transaction {
	id := job.HolderCommitID(newUniqueID())
	tx := platform.Transaction{
		ID:            id,
		Preconditions: []platform.Precondition{{Key: fencePrefix + h.pool, Version: h.fenceVersion}},
		Purpose:       "job",
	}
	for i := range rows {
		rows[i].CommitID = id
		if job.IsFinal(rows[i].State) {
			rows[i].EndedMillis = time.Now().UnixMilli()
		}
		key := jobKey(h.pool, rows[i].ID)
		tx.Preconditions = append(tx.Preconditions, platform.Precondition{Key: key, Version: rows[i].Version})
		tx.Writes = append(tx.Writes, platform.Write{Key: key, Value: encodeJSON(rows[i])})
	}
	for _, key := range processed {
		tx.Writes = append(tx.Writes, platform.Write{Key: key, Delete: true})
	}
	for _, e := range expired {
		tx.Writes = append(tx.Writes, platform.Write{Key: jobKey(h.pool, e.id), Delete: true})
	}
	return tx
}

// handleFlushed processes the outcome of a commit. The first conflict is resolved at once, further ones after a
// delay. Deletes of notices and expired rows have no precondition
// of their own, so they are repeated after a failure.
func (h *poolHolder) handleFlushed(ctx context.Context, rows []job.Job, processed []string, expired []expiringJob, err error) {
	h.flushing = false
	if err == nil {
		h.commitRetry.reset()
		h.conflicted = false
		h.notices.forgetDeleted(processed)
		starts := h.scheduler.HandleCommitted(rows)
		h.recordEnds(rows)
		h.startTasks(ctx, starts)
		h.flushWrites(ctx)
		return
	}
	h.retention.putBack(expired)
	var conflict platform.ErrConflict
	var unavailable platform.ErrUnavailable
	switch {
	case errors.As(err, &conflict) && conflict.Key == fencePrefix+h.pool:
		h.stop()
		return
	case errors.As(err, &conflict):
		h.scheduler.InvalidateVersions(rows)
		if !h.conflicted {
			h.conflicted = true
			h.flushWrites(ctx)
			return
		}
	case !errors.As(err, &unavailable):
		h.scheduler.InvalidateVersions(rows)
	}
	h.commitRetry.recordFailure(time.Now())
	h.recordEvent(event.JobCommitFailed, "", "", err.Error())
}

// readBack reads rows of unknown versions and reconciles them with the pending writes.
func (h *poolHolder) readBack(ctx context.Context, unversioned []job.Job) func() {
	keys := make([]string, len(unversioned))
	for i, j := range unversioned {
		keys[i] = jobKey(h.pool, j.ID)
	}
	rows, err := h.manager.read(ctx, keys)
	return func() {
		h.flushing = false
		if err != nil {
			h.commitRetry.recordFailure(time.Now())
			return
		}
		for i, sent := range unversioned {
			h.reconcile(ctx, rows[keys[i]], sent)
		}
		h.flushWrites(ctx)
	}
}

func (h *poolHolder) reconcile(ctx context.Context, row platform.Row, sent job.Job) {
	defer h.forgetEvents(sent.ID)
	if row.Version == 0 {
		h.scheduler.RemoveJob(sent.ID)
		return
	}
	actual, err := decodeJob(row)
	if err != nil {
		h.recordEvent(event.JobCommitFailed, sent.ID, "", err.Error())
		h.scheduler.RemoveJob(sent.ID)
		return
	}
	if h.scheduler.Reconcile(actual, sent, time.Now()) == job.ReconcileApplied {
		sent.CommitID = actual.CommitID
		h.startTasks(ctx, h.scheduler.HandleCommitted([]job.Job{sent}))
		h.recordEnds([]job.Job{sent})
	}
}
