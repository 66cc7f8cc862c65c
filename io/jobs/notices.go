package jobs

import (
	"context"
	"encoding/json"
	"time"

	"siskincross/core/event"
	"siskincross/core/job"
)

const (
	// noticePage is the number of notices of one look, readPage the number of rows of one read.
	noticePage = 256
	readPage   = 500
	// spentWait is how long spent notices wait for a transaction to be deleted with.
	spentWait = time.Second
)

// noticeReader follows the notices of rows that callers wrote.
type noticeReader struct {
	retry   retry
	reading bool
	due     time.Time
	// spent holds notices that were read and are not deleted yet.
	spent map[string]bool
	// since is when the oldest spent notice began to wait.
	since time.Time
}

func (n *noticeReader) spend(key string) {
	if n.spent == nil {
		n.spent = make(map[string]bool)
	}
	if len(n.spent) == 0 {
		n.since = time.Now()
	}
	n.spent[key] = true
}

// take returns up to limit notices to delete. They stay spent, so that a look
// that runs meanwhile does not read them again.
func (n *noticeReader) take(limit int) []string {
	var keys []string
	for key := range n.spent {
		if len(keys) == limit {
			break
		}
		keys = append(keys, key)
	}
	return keys
}

// urgent reports whether notices have waited long enough for a transaction of their own.
func (n *noticeReader) urgent(keys []string) bool {
	return len(keys) > 0 && time.Since(n.since) >= spentWait
}

// deleted forgets notices whose rows are gone.
func (n *noticeReader) deleted(keys []string) {
	for _, key := range keys {
		delete(n.spent, key)
	}
	n.since = time.Now()
}

// readNotices looks for rows that callers wrote.
func (h *holder) readNotices(ctx context.Context, now time.Time) {
	n := &h.notices
	if n.reading || now.Before(n.due) || now.Before(n.retry.until) {
		return
	}
	n.reading = true
	n.due = now.Add(h.m.periods.NoticePollInterval)
	known := make(map[string]bool, len(n.spent))
	for key := range n.spent {
		known[key] = true
	}
	h.async(ctx, func(ctx context.Context) func() {
		found, keys, err := h.m.fetchNotices(ctx, h.pool, known)
		return func() { h.takeNotices(found, keys, err) }
	})
}

// fetchNotices returns the jobs that new notices name, and the notices' keys.
func (m *Manager) fetchNotices(ctx context.Context, pool string, known map[string]bool) ([]job.Job, []string, error) {
	rows, err := m.scan(ctx, noticePrefix+pool+"/", "", noticePage+len(known))
	if err != nil {
		return nil, nil, err
	}
	var spent []string
	var keys []string
	for _, row := range rows {
		if known[row.Key] {
			continue
		}
		spent = append(spent, row.Key)
		var notice noticeRow
		if err := json.Unmarshal(row.Value, &notice); err != nil {
			m.record(event.Event{Number: event.JobRowUnreadable, Pool: pool, Detail: row.Key + ": " + err.Error()})
			continue
		}
		for _, id := range notice.Jobs {
			keys = append(keys, jobKey(pool, id))
		}
	}
	found, err := m.readJobs(ctx, keys)
	return found, spent, err
}

// readJobs reads the rows of jobs page by page. Rows that can't be decoded are left out.
func (m *Manager) readJobs(ctx context.Context, keys []string) ([]job.Job, error) {
	var found []job.Job
	for len(keys) > 0 {
		page := keys[:min(len(keys), readPage)]
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
				m.record(event.Event{Number: event.JobRowUnreadable, Detail: err.Error()})
				continue
			}
			found = append(found, j)
		}
	}
	return found, nil
}

func (h *holder) takeNotices(found []job.Job, keys []string, err error) {
	now := time.Now()
	h.notices.reading = false
	if err != nil {
		h.notices.retry.failed(now)
		h.event(event.JobCommitFailed, "", "", err.Error())
		return
	}
	h.notices.retry.succeeded()
	for _, j := range found {
		if !job.IsFinal(j.State) {
			h.scheduler.ApplyCallerRow(j, now)
			continue
		}
		if _, known := h.scheduler.Job(j.ID); known {
			h.scheduler.ApplyCallerRow(j, now)
		}
		h.retention.add(j.ID, now)
	}
	for _, key := range keys {
		h.notices.spend(key)
	}
}
