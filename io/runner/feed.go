package runner

import (
	"context"
	"strings"
	"time"

	"siskincross/core/event"
	"siskincross/core/work"
	"siskincross/io/platform"
)

// followQueue keeps the scheduler up to date with new and cancelled jobs. A version other than zero is the one up to
// which the queue has already been read.
func (h *poolHolder) followQueue(version uint64) {
	h.manager.followTable(h.ctx, tableFollower{
		table: queueTable(h.pool), maxPollWait: longPollWait, minInterval: queueMinInterval, apply: h.applyQueueRows, onAnswer: h.recordFeedAnswer, onConfirmed: h.confirmFeed,
		readAll: func(ctx context.Context) (uint64, error) {
			if version != 0 {
				first := version
				version = 0
				return first, nil
			}
			return h.readQueue(ctx)
		},
	})
}

// queueMinInterval is the minimum time between two polls for new jobs. Waiting a few milliseconds saves most calls to
// the store under load.
const queueMinInterval = 10 * time.Millisecond

// readQueue reads all jobs of the pool. It is used when the store no longer has the history since the last answer.
func (h *poolHolder) readQueue(ctx context.Context) (uint64, error) {
	rows, version, err := h.readPoolRows(ctx, queueTable(h.pool))
	if err != nil {
		return 0, err
	}
	present := make(map[work.JobID]bool, len(rows))
	for _, row := range rows {
		present[work.JobID(row.Key)] = true
	}
	h.mu.Lock()
	for _, id := range h.scheduler.JobsUpToVersion(version) {
		if !present[id] {
			h.scheduler.CancelJob(id)
		}
	}
	h.mu.Unlock()
	h.applyQueueRows(rows)
	return version, nil
}

// applyQueueRows passes new and cancelled jobs to the scheduler, and ends the duty if another member has written the
// fence row.
func (h *poolHolder) applyQueueRows(rows []platform.VersionedRow) {
	h.mu.Lock()
	for _, row := range rows {
		switch {
		case row.Partition != h.pool:
		case row.Key == fenceKey && row.Version > h.epoch:
			h.end("another member has written the fence row")
		case strings.HasPrefix(row.Key, reservedPrefix):
		case row.Deleted:
			h.scheduler.CancelJob(work.JobID(row.Key))
			delete(h.withProgressRow, work.JobID(row.Key))
		case h.scheduler.HasJob(work.JobID(row.Key)):
		default:
			h.addStoredJob(row, nil, row.Version, row.Version < h.epoch)
		}
	}
	h.signalEnds()
	h.mu.Unlock()
	h.wake()
}

// feedTimeout is how long the feed may take to deliver one of this holder's own commits. It usually takes a few
// milliseconds.
const feedTimeout = 300 * time.Millisecond

// queueFeed detects that the change feed of a pool's queue no longer delivers changes. The holder writes to the table
// itself, so it knows versions that the feed must deliver. The zero value expects nothing.
type queueFeed struct {
	// version is the table version up to which changes are known.
	version uint64
	// expectedVersion is the version of one of this holder's commits that the feed must deliver, and expectedSince
	// when that commit was made. expectedVersion is zero if there is none.
	expectedVersion uint64
	expectedSince   time.Time
	// lastAnswer is when the feed last answered, also if there was no change.
	lastAnswer time.Time
	// snapshotTime is the time up to which changes of the table are known. Later changes may be missing.
	snapshotTime time.Time
	// rereading is true while the table is read because the feed is overdue.
	rereading bool
}

// expectCommit records a commit of this holder that changed the table.
func (f *queueFeed) expectCommit(version uint64, now time.Time) {
	if f.expectedVersion == 0 && version > f.version {
		f.expectedVersion, f.expectedSince = version, now
	}
}

// advanceVersion records an answer and the table version that it covers.
func (f *queueFeed) advanceVersion(version uint64, now time.Time) {
	f.version, f.lastAnswer = max(f.version, version), now
	if f.version >= f.expectedVersion {
		f.expectedVersion = 0
	}
}

// advanceSnapshotTime records that changes up to a time are known.
func (f *queueFeed) advanceSnapshotTime(t time.Time) {
	if t.After(f.snapshotTime) {
		f.snapshotTime = t
	}
}

// isOverdue reports whether the feed has failed to deliver a commit of this holder in time.
func (f *queueFeed) isOverdue(now time.Time) bool {
	return f.expectedVersion != 0 && now.Sub(f.expectedSince) > feedTimeout
}

// recordFeedAnswer records an answer of the feed to a request that was sent at sentAt.
func (h *poolHolder) recordFeedAnswer(version uint64, sentAt time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.feed.advanceVersion(version, time.Now())
	h.feed.advanceSnapshotTime(sentAt)
}

// confirmFeed records that the queue is known as of a time.
func (h *poolHolder) confirmFeed(at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.feed.advanceSnapshotTime(at)
}

// rereadOverdueQueue reads the pool's queue in the background if its feed is overdue.
func (h *poolHolder) rereadOverdueQueue(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.feed.rereading || !h.feed.isOverdue(now) {
		return
	}
	h.feed.rereading = true
	h.group.Go(func() {
		sentAt := time.Now()
		version, err := h.readQueue(h.ctx)
		detail := "queue was read instead"
		if err != nil {
			detail = err.Error()
		}
		h.manager.record(event.Event{Number: event.FeedSilent, Pool: h.pool, Detail: detail})
		h.mu.Lock()
		defer h.mu.Unlock()
		h.feed.rereading = false
		h.feed.expectedSince = time.Now()
		if err == nil {
			h.feed.advanceVersion(version, time.Now())
			h.feed.advanceSnapshotTime(sentAt)
		}
	})
}

// addAcceptedJobs adds jobs that this process has just stored to the scheduler, before the feed delivers them.
func (h *poolHolder) addAcceptedJobs(group []*submission, version uint64) {
	h.mu.Lock()
	if h.loaded && version > h.epoch {
		for _, s := range group {
			h.scheduler.AddJob(s.job, work.Progress{}, version, false, time.Now())
		}
		h.feed.expectCommit(version, time.Now())
	}
	h.mu.Unlock()
	h.wake()
}
