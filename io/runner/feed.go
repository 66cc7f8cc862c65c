package runner

import (
	"context"
	"strings"
	"time"

	"siskincross/core/event"
	"siskincross/core/work"
	"siskincross/io/platform"
)

// followQueue hears of new and cancelled jobs.
func (h *poolHolder) followQueue(version uint64) {
	h.manager.followTable(h.ctx, tableFollower{
		table: queueTable(h.pool), wait: longPollWait, minInterval: queueMinInterval, apply: h.applyQueueRows, onAnswer: h.recordFeedAnswer,
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

// queueMinInterval is the least time between two answers about new jobs: a few milliseconds of
// waiting save most calls of the store under load.
const queueMinInterval = 10 * time.Millisecond

// readQueue reads the pool's jobs anew after the store forgot its history.
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

func (h *poolHolder) applyQueueRows(rows []platform.VersionedRow) {
	h.mu.Lock()
	for _, row := range rows {
		switch {
		case row.Partition != h.pool:
		case row.Key == fenceKey && row.Version > h.epoch:
			h.end("another member wrote the fence")
		case strings.HasPrefix(row.Key, reservedPrefix):
		case row.Deleted:
			h.scheduler.CancelJob(work.JobID(row.Key))
			delete(h.withProgressRow, work.JobID(row.Key))
		case h.scheduler.HasJob(work.JobID(row.Key)):
		default:
			h.addStoredJob(row, nil, row.Version, row.Version < h.epoch)
		}
	}
	h.mu.Unlock()
	h.wake()
}

// feedTimeout is how long the feed may take to tell of a commit of ours: many times its usual few milliseconds.
const feedTimeout = 300 * time.Millisecond

// queueFeed notices when the feed of a pool's jobs tells nothing although there is something to tell. The owner of the
// duty changes the table itself, so what the feed has to tell is known. The zero value has nothing to wait for.
type queueFeed struct {
	// version is the version up to which the table is known.
	version uint64
	// expectedVersion is the version of a commit of ours that the feed has to tell of, since when; zero if there is none.
	expectedVersion uint64
	expectedSince   time.Time
	// lastAnswer is when the feed told last, be it that there is nothing new.
	lastAnswer time.Time
	// snapshotTime is as of when the table is known: what was written since may not have been heard of.
	snapshotTime time.Time
	// rereading is true while the table is read because the feed is silent.
	rereading bool
}

// expectCommit notes a commit of ours that changed the table.
func (f *queueFeed) expectCommit(version uint64, now time.Time) {
	if f.expectedVersion == 0 && version > f.version {
		f.expectedVersion, f.expectedSince = version, now
	}
}

// advanceVersion notes that the table is known up to a version.
func (f *queueFeed) advanceVersion(version uint64, now time.Time) {
	f.version, f.lastAnswer = max(f.version, version), now
	if f.version >= f.expectedVersion {
		f.expectedVersion = 0
	}
}

// advanceSnapshotTime notes that the table is known as of a time.
func (f *queueFeed) advanceSnapshotTime(asOf time.Time) {
	if asOf.After(f.snapshotTime) {
		f.snapshotTime = asOf
	}
}

// isOverdue reports whether the feed should have told of a commit of ours and has not.
func (f *queueFeed) isOverdue(now time.Time) bool {
	return f.expectedVersion != 0 && now.Sub(f.expectedSince) > feedTimeout
}

func (h *poolHolder) recordFeedAnswer(version uint64, asked time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.feed.advanceVersion(version, time.Now())
	h.feed.advanceSnapshotTime(asked)
}

// rereadOverdueQueue reads the pool's jobs while their feed is silent.
func (h *poolHolder) rereadOverdueQueue(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.feed.rereading || !h.feed.isOverdue(now) {
		return
	}
	h.feed.rereading = true
	h.group.Go(func() {
		asked := time.Now()
		version, err := h.readQueue(h.ctx)
		detail := "read instead"
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
			h.feed.advanceSnapshotTime(asked)
		}
	})
}

// addAcceptedJobs takes in jobs that this process has just stored itself, before the feed tells of them.
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
