package runner

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"siskincross/core/event"
	"siskincross/core/work"
	"siskincross/io/platform"
)

// takeoverRead is the reading of what is stored of a pool. It goes on where it stopped after a failure.
type takeoverRead struct {
	h     *poolHolder
	began time.Time
	// progress is read before specs: earlier holders are fenced, so only a cancel changes it, and that removes the specification too.
	// A specification without progress is that of a job that has not begun, or was accepted meanwhile.
	progress, specs platform.RangeReader
	// specsAsked is when the reading of specs began.
	specsAsked  time.Time
	need        needRow
	needVersion uint64
	needRead    bool
}

func newTakeoverRead(h *poolHolder) *takeoverRead {
	t := &takeoverRead{h: h, began: time.Now()}
	t.progress.Query = platform.RangeQuery{Table: progressTable, Partition: h.pool, Purpose: "takeover"}
	t.specs.Query = platform.RangeQuery{Table: queueTable(h.pool), Partition: h.pool, Purpose: "takeover"}
	return t
}

// takeOver reads what is stored of the pool until it succeeds. It reports false if the duty ended.
func (h *poolHolder) takeOver() bool {
	t := newTakeoverRead(h)
	ctx, cancel := context.WithCancel(h.ctx)
	defer cancel()
	h.group.Go(func() { h.announceEpoch(ctx) })
	var retry backoff
	for {
		before := t.size()
		err := t.read(h.ctx)
		if err == nil {
			t.finish()
			h.group.Go(func() { h.followQueue(t.specs.Version) })
			return true
		}
		h.manager.record(event.Event{Number: event.WorkDutyFailed, Pool: h.pool, Detail: fmt.Sprintf(
			"read the pool's rows, %d so far: %v", t.size(), err)})
		if t.size() > before {
			retry = backoff{}
		}
		if !h.manager.awaitRetry(h.ctx, &retry) {
			return false
		}
	}
}

// size is how many rows have been read.
func (t *takeoverRead) size() int { return len(t.progress.Rows) + len(t.specs.Rows) }

// read goes on reading the progress of the jobs, their specifications with the roster, and the need.
func (t *takeoverRead) read(ctx context.Context) error {
	if err := t.progress.ReadRemaining(ctx, t.h.manager.Rows); err != nil {
		return err
	}
	if t.specsAsked.IsZero() {
		t.specsAsked = time.Now()
	}
	if err := t.specs.ReadRemaining(ctx, t.h.manager.Rows); err != nil {
		return err
	}
	if !t.needRead {
		need, version, err := t.h.readNeed()
		if err != nil {
			return err
		}
		t.need, t.needVersion, t.needRead = need, version, true
	}
	if t.progress.Version < t.h.epoch || t.specs.Version < t.h.epoch {
		again := newTakeoverRead(t.h)
		t.progress, t.specs, t.specsAsked = again.progress, again.specs, time.Time{}
		return errStaleRead
	}
	return nil
}

// finish gives the board what was read.
func (t *takeoverRead) finish() {
	h := t.h
	stored := make(map[string]platform.VersionedRow, len(t.progress.Rows))
	for _, row := range t.progress.Rows {
		stored[row.Key] = row
	}
	h.mu.Lock()
	h.clearing.report(t.need.Cleared)
	h.needVersion = t.needVersion
	jobs := 0
	for _, row := range t.specs.Rows {
		switch p, ok := stored[row.Key]; {
		case row.Key == rosterKey:
			h.expect(row)
		case row.Key < firstJobKey:
		case ok:
			h.withProgressRow[work.JobID(row.Key)] = true
			h.addStoredJob(row, p.Value, p.Version, true)
			jobs++
		default:
			// Both rows of a job are stored at once, so this is also the version of its state. No earlier holder knew a job that was
			// accepted since the takeover.
			h.addStoredJob(row, nil, row.Version, row.Version < h.epoch)
			jobs++
		}
	}
	h.takenAt, h.awaited = time.Now(), h.scheduler.UnresolvedIncarnations(time.Now())
	h.loaded = true
	h.feed.lastAnswer = time.Now()
	h.feed.advanceSnapshotTime(t.specsAsked)
	roster := len(h.roster)
	h.mu.Unlock()
	h.manager.record(event.Event{Number: event.WorkDutyTaken, Pool: h.pool, Detail: fmt.Sprintf(
		"epoch %d, term %d, %d workers on the roster, %d jobs, %d of them begun, %d bytes read in %s",
		h.epoch, h.scheduler.Term, roster, jobs, len(h.withProgressRow), totalValueSize(t.progress.Rows)+totalValueSize(t.specs.Rows),
		time.Since(t.began).Round(time.Millisecond))})
}

// errStaleRead is returned for rows that are older than a commit of this holder.
var errStaleRead = errors.New("the store answered with rows older than our last commit")

// readPoolRows reads the pool's rows of a table, as of our last commit or later.
func (h *poolHolder) readPoolRows(ctx context.Context, table string) ([]platform.VersionedRow, uint64, error) {
	h.mu.Lock()
	floor := h.floor
	h.mu.Unlock()
	rows, version, err := h.manager.Rows.ReadAll(ctx, platform.RangeQuery{Table: table, Partition: h.pool, Purpose: "feed"})
	if err == nil && version < floor {
		err = errStaleRead
	}
	return rows, version, err
}

// shownLives is how many workers a line names.
const shownLives = 5

// tellAwaited records when nothing of an earlier holder is waited for any more, and what was waited for last. The caller holds the lock.
func (h *poolHolder) tellAwaited(now time.Time) {
	if len(h.awaited) == 0 {
		return
	}
	awaited := h.scheduler.UnresolvedIncarnations(now)
	if len(awaited) == 0 {
		names := make([]string, 0, shownLives)
		for _, life := range h.awaited[:min(shownLives, len(h.awaited))] {
			names = append(names, life.Worker)
		}
		h.manager.record(event.Event{Number: event.WorkDutySettled, Pool: h.pool, Detail: fmt.Sprintf(
			"%s after the pool was read, the last %d were %s", now.Sub(h.takenAt).Round(time.Millisecond), len(h.awaited), strings.Join(names, ", "))})
	}
	h.awaited = awaited
}
