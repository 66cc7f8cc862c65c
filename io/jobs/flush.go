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
	// flushRows bounds the job rows of one transaction, spentRows the notices that it deletes.
	flushRows = 100
	spentRows = 100
)

// flush writes the rows that are behind, one transaction at a time. Rows whose
// versions are not known are read first.
func (h *holder) flush(ctx context.Context) {
	now := time.Now()
	if h.flushing || now.Before(h.commit.until) {
		return
	}
	rows := h.scheduler.PendingWrites(flushRows)
	if unread := withoutVersion(rows); len(unread) > 0 {
		h.flushing = true
		h.async(ctx, func(ctx context.Context) func() { return h.readBack(ctx, unread) })
		return
	}
	spent := h.notices.take(spentRows)
	expired := h.retention.take(now.Add(-h.m.periods.Retention), flushRows)
	if len(rows) == 0 && len(expired) == 0 && !h.notices.urgent(spent) {
		return
	}
	h.flushing = true
	tx := h.transaction(rows, spent, expired)
	h.async(ctx, func(ctx context.Context) func() {
		err := h.m.commitOnce(ctx, tx)
		return func() { h.flushed(ctx, rows, spent, expired, err) }
	})
}

func withoutVersion(rows []job.Job) []job.Job {
	var unread []job.Job
	for _, row := range rows {
		if row.Version == 0 {
			unread = append(unread, row)
		}
	}
	return unread
}

// transaction builds one commit. It sets the rows' commit ID.
func (h *holder) transaction(rows []job.Job, spent []string, expired []expiry) platform.Transaction {
	id := job.HolderCommitID(unique())
	tx := platform.Transaction{
		ID:            id,
		Preconditions: []platform.Precondition{{Key: fencePrefix + h.pool, Version: h.fence}},
		Purpose:       "job",
	}
	for i := range rows {
		rows[i].CommitID = id
		if job.IsFinal(rows[i].State) {
			rows[i].EndedMillis = time.Now().UnixMilli()
		}
		key := jobKey(h.pool, rows[i].ID)
		tx.Preconditions = append(tx.Preconditions, platform.Precondition{Key: key, Version: rows[i].Version})
		tx.Writes = append(tx.Writes, platform.Write{Key: key, Value: encode(rows[i])})
	}
	for _, key := range spent {
		tx.Writes = append(tx.Writes, platform.Write{Key: key, Delete: true})
	}
	for _, e := range expired {
		tx.Writes = append(tx.Writes, platform.Write{Key: jobKey(h.pool, e.id), Delete: true})
	}
	return tx
}

// flushed takes in the outcome of a commit. Notices and expired rows are
// deleted without a precondition of their own, so they are simply tried again.
func (h *holder) flushed(ctx context.Context, rows []job.Job, spent []string, expired []expiry, err error) {
	h.flushing = false
	if err == nil {
		h.commit.succeeded()
		h.notices.deleted(spent)
		launches := h.scheduler.HandleCommitted(rows)
		h.recordEnds(rows)
		h.launch(ctx, launches)
		h.flush(ctx)
		return
	}
	h.retention.giveBack(expired)
	var conflict platform.ErrConflict
	var unavailable platform.ErrUnavailable
	switch {
	case errors.As(err, &conflict) && conflict.Key == fencePrefix+h.pool:
		h.lost()
		return
	case errors.As(err, &conflict):
		h.scheduler.InvalidateVersions(rows)
		h.flush(ctx)
		return
	case !errors.As(err, &unavailable):
		h.scheduler.InvalidateVersions(rows)
	}
	h.commit.failed(time.Now())
	h.event(event.JobCommitFailed, "", "", err.Error())
}

// readBack reads rows whose versions are not known and compares them with what was to be written.
func (h *holder) readBack(ctx context.Context, unread []job.Job) func() {
	keys := make([]string, len(unread))
	for i, j := range unread {
		keys[i] = jobKey(h.pool, j.ID)
	}
	rows, err := h.m.read(ctx, keys)
	return func() {
		h.flushing = false
		if err != nil {
			h.commit.failed(time.Now())
			return
		}
		for i, sent := range unread {
			h.reconcile(ctx, rows[keys[i]], sent)
		}
		h.flush(ctx)
	}
}

func (h *holder) reconcile(ctx context.Context, row platform.Row, sent job.Job) {
	if row.Version == 0 {
		h.scheduler.RemoveJob(sent.ID)
		return
	}
	actual, err := decodeJob(row)
	if err != nil {
		h.event(event.JobCommitFailed, sent.ID, "", err.Error())
		h.scheduler.RemoveJob(sent.ID)
		return
	}
	if h.scheduler.Reconcile(actual, sent, time.Now()) == job.ReconcileApplied {
		sent.CommitID = actual.CommitID
		h.launch(ctx, h.scheduler.HandleCommitted([]job.Job{sent}))
		h.recordEnds([]job.Job{sent})
	}
}
