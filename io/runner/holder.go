package runner

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"siskincross/core/event"
	"siskincross/core/work"
	"siskincross/io/platform"
)

const (
	// stepGap is the least time between two rounds of decisions, so that what happens together is decided together.
	stepGap = 4 * time.Millisecond
	// stepEvery is the longest time between two rounds.
	stepEvery = 100 * time.Millisecond
	// roundFactor is how many times as long as a round the pause after it is, mostRoundGap the most: no more than a third of the
	// time goes into decisions, and tasks that ended are still followed by others soon.
	roundFactor  = 2
	mostRoundGap = 40 * time.Millisecond
	// lookEvery is the longest time between two looks at the pool's workers while the directory tells of no change: which of them are
	// spare changes with every round, and matters for hosts that are moved within a second.
	lookEvery = 25 * time.Millisecond
)

// holder carries out the decisions about one pool while this process holds its duty.
type holder struct {
	*tenure
	pool string

	// mu guards the board and the fields below.
	mu    sync.Mutex
	board *work.Board
	// ready is true once the stored jobs and the workers were read.
	ready    bool
	contacts map[work.Life]bool
	// roster holds the lives that the stored roster has and that may get work, stored those that it may have: those that are being
	// taken out, and those of a commit that failed, are in stored alone.
	roster map[work.Life]bool
	// rosterVersion and needVersion are those of the stored roster and need: a write that got no answer must not follow a newer one.
	rosterVersion, needVersion uint64
	stored                     map[work.Life]bool
	rosterAt                   time.Time
	committing                 bool
	// lookedAt is when the board was last given the workers, listedAs the count of the directory's changes then. The workers are to
	// be looked at anew at once if unlisted is true: the stored roster has changed.
	lookedAt time.Time
	listedAs uint64
	unlisted bool
	// rosterWaits is true while a roster has to be stored and another commit is on its way.
	rosterWaits bool
	// changedAt is when the oldest change that waits for its commit came up.
	changedAt time.Time
	// counted is the count of waiting jobs that was stored last.
	counted   map[string]int
	countedAt time.Time
	// need is what was stored last. It is to be written again while needKnown is false.
	need      needRow
	needKnown bool
	needAt    time.Time
	clearing  clearing
	retryAt   time.Time
	failures  int
	// floor is the version of our last commit: older readings are stale.
	floor uint64
	feed  queueFeed
	// detailed holds the jobs that may have a row of their progress.
	detailed map[work.ID]bool
	// takenAt is when the pool was read. Awaited holds the workers for which jobs of earlier holders waited last.
	takenAt time.Time
	awaited []work.Life
}

func newHolder(t *tenure) *holder {
	h := &holder{
		tenure: t, pool: t.name, floor: t.epoch,
		board:    &work.Board{Pool: t.name, Epoch: t.epoch, Term: t.term, Policy: t.m.Policy},
		contacts: make(map[work.Life]bool), roster: make(map[work.Life]bool), stored: make(map[work.Life]bool), clearing: newClearing(),
		detailed: make(map[work.ID]bool),
	}
	h.board.GaveUp = h.tellGivenUp
	t.run = func() {
		if h.takeOver() {
			h.rounds()
		}
	}
	return h
}

// expect takes in the roster of the earlier holder.
func (h *holder) expect(row platform.PartRow) {
	h.rosterVersion = row.Version
	var roster rosterRow
	if err := json.Unmarshal(row.Value, &roster); err != nil {
		h.m.record(event.Event{Number: event.WorkRowUnreadable, Pool: h.pool, Detail: ErrRow{row.RowKey, err}.Error()})
		return
	}
	for _, l := range roster.Lives {
		life := work.Life{Worker: l.Worker, Born: l.Born}
		h.roster[life] = true
		h.stored[life] = true
		h.board.Expect(life, time.Now())
	}
}

// add gives a stored job to the board. A nil progress is that of a job that was just accepted.
func (h *holder) add(row platform.PartRow, progress []byte, version uint64, earlier bool) {
	job, err := decodeSpec(row)
	p := work.Progress{}
	if err == nil && progress != nil {
		p, err = work.DecodeProgress(job.ID, progress)
	}
	if err != nil {
		h.m.record(event.Event{Number: event.WorkRowUnreadable, Pool: h.pool, Job: row.Key, Detail: err.Error()})
		return
	}
	h.board.Add(job, p, version, earlier, time.Now())
}

// rounds decides in rounds until the duty ends.
func (h *holder) rounds() {
	for {
		changes, changed := h.m.workers.watch()
		began := time.Now()
		h.step(changes)
		if !sleep(h.ctx, roundGap(time.Since(began))) || !h.awaitRound(changed, stepEvery) {
			return
		}
	}
}

// roundGap is the pause after a round that took a time: a process that is short of its processor decides about more at once.
func roundGap(took time.Duration) time.Duration {
	return min(max(stepGap, roundFactor*took), mostRoundGap)
}

// step is one round: take in the workers, decide, send and store what follows. Changes is the count of the directory's changes.
func (h *holder) step(changes uint64) {
	now := time.Now()
	h.lookAtWorkers(changes, now)
	h.mu.Lock()
	h.board.KnownAsOf(h.knownAsOf(now))
	h.tellAwaited(now)
	orders := h.board.Orders(now, now)
	inquiries := h.board.Inquiries(now)
	for _, life := range h.board.Contacts() {
		if !h.contacts[life] {
			h.contacts[life] = true
			h.group.Go(func() { h.keepContact(life) })
		}
	}
	h.mu.Unlock()
	for _, o := range orders {
		h.group.Go(func() { h.send(o) })
	}
	for _, q := range inquiries {
		h.group.Go(func() { h.inquire(q) })
	}
	h.store(now)
	h.watchFeed(now)
}

// storeSilence is how long no call of the store must have been answered for it to count as away for everybody: callers' cancels can't be
// stored then either, and work goes on.
const storeSilence = 2 * time.Second

// knownAsOf returns as of when callers' cancels and the workers that leave are known. The caller holds the lock.
func (h *holder) knownAsOf(now time.Time) (jobs, workers time.Time) {
	if !h.m.health.answeredSince(now.Add(-storeSilence)) {
		return now, now
	}
	return h.feed.asOf, h.m.workers.knownAsOf()
}

// lookAtWorkers takes in which workers there are and which of them are to be cleared, if either may have changed. A worker that is
// listed anew gets no work before it is known whether it is to be cleared, so one never goes without the other.
func (h *holder) lookAtWorkers(changes uint64, now time.Time) {
	h.mu.Lock()
	due := h.unlisted || changes != h.listedAs || now.Sub(h.lookedAt) >= lookEvery || (h.rosterWaits && !h.committing)
	if due {
		h.unlisted, h.listedAs, h.lookedAt = false, changes, now
	}
	h.mu.Unlock()
	if !due {
		return
	}
	h.takeWorkers(now)
	withdrawn := h.m.withdrawn()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.withdraw(withdrawn, now)
}

// takeWorkers gives the board the workers of the directory, after the roster with them is stored.
func (h *holder) takeWorkers(now time.Time) {
	listings, known := h.m.workers.pool(h.pool)
	if !known {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	listings = h.clearing.admissible(listings, h.board.Known)
	cleared := h.board.ClearedLives()
	wanted := h.board.Roster(listings, h.clearing.withdrawn())
	due := h.rosterDue(wanted, now)
	h.rosterWaits = due && h.committing
	if due && !h.committing && !now.Before(h.retryAt) {
		h.commitRoster(wanted)
	}
	kept := listings[:0]
	for _, l := range listings {
		if h.roster[l.Life] || slices.Contains(cleared, l.Life) {
			kept = append(kept, l)
		}
	}
	admitted, removed := h.board.List(kept, now)
	for _, l := range admitted {
		h.m.record(event.Event{Number: event.WorkerListed, Pool: h.pool, Host: l.Life.Worker, Detail: fmt.Sprintf(
			"born %d, at %s in %s, rack %s, draining %t", l.Life.Born, l.Address, l.Zone, l.Rack, l.Draining)})
	}
	for _, life := range removed {
		h.m.record(event.Event{Number: event.WorkerLost, Pool: h.pool, Host: life.Worker, Detail: fmt.Sprintf("born %d, no longer listed, runs nothing", life.Born)})
	}
}

// rosterEvery is the least time between two writes of the roster that only leave lives out.
const rosterEvery = 500 * time.Millisecond

// rosterDue reports whether the roster has to be stored: at once if a life is missing, and after a while if it has lives
// that are over, since the next holder has to wait for each of them.
func (h *holder) rosterDue(wanted map[work.Life]bool, now time.Time) bool {
	for life := range wanted {
		if !h.roster[life] {
			return true
		}
	}
	return len(wanted) < len(h.roster) && now.Sub(h.rosterAt) >= rosterEvery
}

// commitRoster stores the lives on which tasks may run from now on. The caller holds the lock.
func (h *holder) commitRoster(roster map[work.Life]bool) {
	write := h.replaceRoster(roster)
	tx := platform.Commit{Expected: []platform.Expectation{h.fence()}, Writes: []platform.RowWrite{write}, Purpose: "roster"}
	tx.Expected = append(tx.Expected, h.sideExpectations(tx.Writes)...)
	h.committing = true
	h.group.Go(func() {
		version, err := h.m.Rows.Commit(h.ctx, tx)
		h.mu.Lock()
		h.committing = false
		h.sideCommitted(tx.Writes, version, err)
		if err == nil {
			h.rosterStored(roster)
			h.feed.committed(version, time.Now())
		}
		h.mu.Unlock()
		h.settle(err)
		h.wake()
	})
}

// replaceRoster returns the row of a new roster that is about to be stored. The caller holds the lock.
func (h *holder) replaceRoster(roster map[work.Life]bool) platform.RowWrite {
	h.rosterAt = time.Now()
	var row rosterRow
	for life := range roster {
		row.Lives = append(row.Lives, lifeRow{Worker: life.Worker, Born: life.Born})
		h.stored[life] = true
	}
	// From here on the stored roster may lack the lives that are left out: they must get no work meanwhile.
	maps.DeleteFunc(h.roster, func(life work.Life, _ bool) bool { return !roster[life] })
	h.unlisted = true
	return platform.RowWrite{RowKey: markKey(h.pool, rosterKey), Value: encode(row)}
}

// rosterStored notes that a roster is stored. The caller holds the lock.
func (h *holder) rosterStored(roster map[work.Life]bool) {
	h.roster, h.stored = roster, maps.Clone(roster)
	h.unlisted = true
}

// settle notes how a commit ended: a failed fence ends the duty, another failure delays the next commit.
func (h *holder) settle(err error) {
	var overtaken platform.ErrOvertaken
	if h.fenced(err) || errors.As(err, &overtaken) {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if err == nil {
		h.failures = 0
		return
	}
	h.retryAt = time.Now().Add(jitter(min(firstRetry<<min(h.failures, 10), lastRetry)))
	h.failures++
	if h.ctx.Err() == nil {
		h.m.record(event.Event{Number: event.WorkCommitFailed, Pool: h.pool, Detail: err.Error()})
	}
}
