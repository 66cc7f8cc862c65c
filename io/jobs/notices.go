package jobs

import (
	"context"
	"encoding/json"
	"time"

	"siskincross/core/event"
	"siskincross/core/job"
)

const (
	// noticePageSize is the maximum number of new notices that one poll reads, readPageSize the number of
	// rows in one read.
	noticePageSize = 256
	readPageSize   = 500
	// maxNoticeDeleteDelay is how long processed notices wait for a transaction that can delete them as well.
	// After it they get a transaction of their own.
	maxNoticeDeleteDelay = time.Second
)

// noticeReader tracks the notices of rows that callers wrote.
type noticeReader struct {
	retry    retryBackoff
	reading  bool
	nextPoll time.Time
	// processed holds the keys of notices that were read and are not deleted yet.
	processed map[string]bool
	// processedSince is when the oldest processed notice was read, or when notices were last deleted.
	processedSince time.Time
}

func (n *noticeReader) markProcessed(key string) {
	if n.processed == nil {
		n.processed = make(map[string]bool)
	}
	if len(n.processed) == 0 {
		n.processedSince = time.Now()
	}
	n.processed[key] = true
}

// deletableKeys returns the keys of up to limit notices to delete. They stay marked as processed, so that a
// concurrent poll does not read them again.
func (n *noticeReader) deletableKeys(limit int) []string {
	var keys []string
	for key := range n.processed {
		if len(keys) == limit {
			break
		}
		keys = append(keys, key)
	}
	return keys
}

// isDeletionDue reports whether the notices have waited long enough for a transaction of their own.
func (n *noticeReader) isDeletionDue(keys []string) bool {
	return len(keys) > 0 && time.Since(n.processedSince) >= maxNoticeDeleteDelay
}

// forgetDeleted removes the keys of deleted notices.
func (n *noticeReader) forgetDeleted(keys []string) {
	for _, key := range keys {
		delete(n.processed, key)
	}
	n.processedSince = time.Now()
}

// pollNotices reads the rows that callers wrote since the last poll.
func (h *poolHolder) pollNotices(ctx context.Context, now time.Time) {
	n := &h.notices
	if n.reading || now.Before(n.nextPoll) || now.Before(n.retry.nextAttempt) {
		return
	}
	n.reading = true
	n.nextPoll = now.Add(h.manager.timing.NoticePollInterval)
	known := make(map[string]bool, len(n.processed))
	for key := range n.processed {
		known[key] = true
	}
	h.runAsync(ctx, func(ctx context.Context) func() {
		found, keys, err := h.manager.fetchNotices(ctx, h.pool, known)
		return func() { h.applyNotices(found, keys, err) }
	})
}

// fetchNotices returns the jobs that new notices name and the keys of these notices. Notices with a key in
// known are skipped.
func (m *Manager) fetchNotices(ctx context.Context, pool string, known map[string]bool) ([]job.Job, []string, error) {
	rows, err := m.scan(ctx, noticePrefix+pool+"/", "", noticePageSize+len(known))
	if err != nil {
		return nil, nil, err
	}
	var newKeys []string
	var jobKeys []string
	for _, row := range rows {
		if known[row.Key] {
			continue
		}
		newKeys = append(newKeys, row.Key)
		var notice noticeRow
		if err := json.Unmarshal(row.Value, &notice); err != nil {
			m.recordEvent(event.Event{Number: event.JobRowUnreadable, Pool: pool, Detail: row.Key + ": " + err.Error()})
			continue
		}
		for _, id := range notice.Jobs {
			jobKeys = append(jobKeys, jobKey(pool, id))
		}
	}
	found, err := m.readJobs(ctx, jobKeys)
	return found, newKeys, err
}

// readJobs reads the rows of jobs page by page. Rows that can't be decoded are recorded and left out.
func (m *Manager) readJobs(ctx context.Context, keys []string) ([]job.Job, error) {
	var found []job.Job
	for len(keys) > 0 {
		page := keys[:min(len(keys), readPageSize)]
		keys = keys[len(page):]
		rows, err := m.read(ctx, page)
		if err != nil {
			return nil, err
		}
		for _, key := range page {
			row, ok := rows[key]
			if !ok {
				continue
			}
			j, err := decodeJob(row)
			if err != nil {
				m.recordEvent(event.Event{Number: event.JobRowUnreadable, Detail: err.Error()})
				continue
			}
			found = append(found, j)
		}
	}
	return found, nil
}

func (h *poolHolder) applyNotices(found []job.Job, keys []string, err error) {
	now := time.Now()
	h.notices.reading = false
	if err != nil {
		h.notices.retry.recordFailure(now)
		h.recordEvent(event.JobCommitFailed, "", "", err.Error())
		return
	}
	h.notices.retry.reset()
	for _, j := range found {
		if !job.IsFinal(j.State) {
			h.scheduler.ApplyCallerRow(j, now)
			continue
		}
		if _, known := h.scheduler.Job(j.ID); known {
			h.scheduler.ApplyCallerRow(j, now)
			h.forgetEvents(j.ID)
		}
		h.retention.add(j.ID, now)
	}
	for _, key := range keys {
		h.notices.markProcessed(key)
	}
}
