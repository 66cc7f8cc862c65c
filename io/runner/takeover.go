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

// takeover is the reading of what is stored of a pool. It goes on where it stopped after a failure.
type takeover struct {
	h     *holder
	began time.Time
	// progress is read before specs: earlier holders are fenced, so only a cancel changes it, and that removes the specification too.
	// A specification without progress is that of a job that has not begun, or was accepted meanwhile.
	progress, specs platform.Reading
	// specsAsked is when the reading of specs began.
	specsAsked  time.Time
	need        needRow
	needVersion uint64
	needRead    bool
}

func newTakeover(h *holder) *takeover {
	t := &takeover{h: h, began: time.Now()}
	t.progress.Query = platform.Range{Table: progressTable, Part: h.pool, Purpose: "takeover"}
	t.specs.Query = platform.Range{Table: queueTable(h.pool), Part: h.pool, Purpose: "takeover"}
	return t
}

// takeOver reads what is stored of the pool until it succeeds. It reports false if the duty ended.
func (h *holder) takeOver() bool {
	t := newTakeover(h)
	ctx, cancel := context.WithCancel(h.ctx)
	defer cancel()
	h.group.Go(func() { h.announce(ctx) })
	var retry backoff
	for {
		before := t.size()
		err := t.read(h.ctx)
		if err == nil {
			t.finish()
			h.group.Go(func() { h.followQueue(t.specs.Version) })
			return true
		}
		h.m.record(event.Event{Number: event.WorkDutyFailed, Pool: h.pool, Detail: fmt.Sprintf(
			"read the pool's rows, %d so far: %v", t.size(), err)})
		if t.size() > before {
			retry = backoff{}
		}
		if !h.m.pause(h.ctx, &retry) {
			return false
		}
	}
}

// size is how many rows have been read.
func (t *takeover) size() int { return len(t.progress.Rows) + len(t.specs.Rows) }

// read goes on reading the progress of the jobs, their specifications with the roster, and the need.
func (t *takeover) read(ctx context.Context) error {
	if err := t.progress.Continue(ctx, t.h.m.Rows); err != nil {
		return err
	}
	if t.specsAsked.IsZero() {
		t.specsAsked = time.Now()
	}
	if err := t.specs.Continue(ctx, t.h.m.Rows); err != nil {
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
		again := newTakeover(t.h)
		t.progress, t.specs, t.specsAsked = again.progress, again.specs, time.Time{}
		return errStaleRead
	}
	return nil
}

// finish gives the board what was read.
func (t *takeover) finish() {
	h := t.h
	stored := make(map[string]platform.PartRow, len(t.progress.Rows))
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
			h.detailed[work.ID(row.Key)] = true
			h.add(row, p.Value, p.Version, true)
			jobs++
		default:
			// Both rows of a job are stored at once, so this is also the version of its state. No earlier holder knew a job that was
			// accepted since the takeover.
			h.add(row, nil, row.Version, row.Version < h.epoch)
			jobs++
		}
	}
	h.takenAt, h.awaited = time.Now(), h.board.Awaited(time.Now())
	h.ready = true
	h.feed.heardAt = time.Now()
	h.feed.known(t.specsAsked)
	roster := len(h.roster)
	h.mu.Unlock()
	h.m.record(event.Event{Number: event.WorkDutyTaken, Pool: h.pool, Detail: fmt.Sprintf(
		"epoch %d, term %d, %d workers on the roster, %d jobs, %d of them begun, %d bytes read in %s",
		h.epoch, h.board.Term, roster, jobs, len(h.detailed), sizeOf(t.progress.Rows)+sizeOf(t.specs.Rows),
		time.Since(t.began).Round(time.Millisecond))})
}

// errStaleRead is returned for rows that are older than a commit of this holder.
var errStaleRead = errors.New("the store answered with rows older than our last commit")

// readPart reads the pool's rows of a table, as of our last commit or later.
func (h *holder) readPart(ctx context.Context, table string) ([]platform.PartRow, uint64, error) {
	h.mu.Lock()
	floor := h.floor
	h.mu.Unlock()
	rows, version, err := h.m.Rows.ReadAll(ctx, platform.Range{Table: table, Part: h.pool, Purpose: "feed"})
	if err == nil && version < floor {
		err = errStaleRead
	}
	return rows, version, err
}

// shownLives is how many workers a line names.
const shownLives = 5

// tellAwaited records when nothing of an earlier holder is waited for any more, and what was waited for last. The caller holds the lock.
func (h *holder) tellAwaited(now time.Time) {
	if len(h.awaited) == 0 {
		return
	}
	awaited := h.board.Awaited(now)
	if len(awaited) == 0 {
		names := make([]string, 0, shownLives)
		for _, life := range h.awaited[:min(shownLives, len(h.awaited))] {
			names = append(names, life.Worker)
		}
		h.m.record(event.Event{Number: event.WorkDutySettled, Pool: h.pool, Detail: fmt.Sprintf(
			"%s after the pool was read, the last %d were %s", now.Sub(h.takenAt).Round(time.Millisecond), len(h.awaited), strings.Join(names, ", "))})
	}
	h.awaited = awaited
}
