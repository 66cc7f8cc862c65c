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
	// minRoundPause is the least time between two rounds of decisions, so that what happens together is decided together.
	minRoundPause = 4 * time.Millisecond
	// stepEvery is the longest time between two rounds.
	stepEvery = 100 * time.Millisecond
	// roundFactor is how many times as long as a round the pause after it is, maxRoundPause the most: no more than a third of the
	// time goes into decisions, and tasks that ended are still followed by others soon.
	roundFactor   = 2
	maxRoundPause = 40 * time.Millisecond
	// lookEvery is the longest time between two looks at the pool's workers while the directory tells of no change: which of them are
	// spare changes with every round, and matters for hosts that are moved within a second.
	lookEvery = 25 * time.Millisecond
)

// poolHolder carries out the decisions about one pool while this process holds its duty.
type poolHolder struct {
	*tenure
	pool string

	// mu guards the board and the fields below.
	mu        sync.Mutex
	scheduler *work.Scheduler
	// loaded is true once the stored jobs and the workers were read.
	loaded       bool
	renewalLoops map[work.Incarnation]bool
	// roster holds the lives that the stored roster has and that may get work, stored those that it may have: those that are being
	// taken out, and those of a commit that failed, are in stored alone.
	roster map[work.Incarnation]bool
	// rosterVersion and needVersion are those of the stored roster and need: a write that got no answer must not follow a newer one.
	rosterVersion, needVersion uint64
	stored                     map[work.Incarnation]bool
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
	// lastCount is the count of waiting jobs that was stored last.
	lastCount   map[string]int
	lastCountAt time.Time
	// need is what was stored last. It is to be written again while needKnown is false.
	need           needRow
	needKnown      bool
	needAt         time.Time
	clearing       clearing
	commitRetryAt  time.Time
	commitFailures int
	// floor is the version of our last commit: older readings are stale.
	floor uint64
	feed  queueFeed
	// withProgressRow holds the jobs that may have a row of their progress.
	withProgressRow map[work.JobID]bool
	// takenAt is when the pool was read. Awaited holds the workers for which jobs of earlier holders waited last.
	takenAt time.Time
	awaited []work.Incarnation
}

func newPoolHolder(t *tenure) *poolHolder {
	h := &poolHolder{
		tenure: t, pool: t.name, floor: t.epoch,
		scheduler:    &work.Scheduler{Pool: t.name, Epoch: t.epoch, Term: t.term, Timing: t.manager.Timing},
		renewalLoops: make(map[work.Incarnation]bool), roster: make(map[work.Incarnation]bool), stored: make(map[work.Incarnation]bool), clearing: newClearing(),
		withProgressRow: make(map[work.JobID]bool),
	}
	h.scheduler.OnPresumedEnd = h.recordPresumedEnd
	t.run = func() {
		if h.takeOver() {
			h.rounds()
		}
	}
	return h
}

// expect takes in the roster of the earlier holder.
func (h *poolHolder) expect(row platform.VersionedRow) {
	h.rosterVersion = row.Version
	var roster rosterRow
	if err := json.Unmarshal(row.Value, &roster); err != nil {
		h.manager.record(event.Event{Number: event.WorkRowUnreadable, Pool: h.pool, Detail: ErrUnreadableRow{row.RowKey, err}.Error()})
		return
	}
	for _, l := range roster.Lives {
		life := work.Incarnation{Worker: l.Worker, StartMillis: l.Born}
		h.roster[life] = true
		h.stored[life] = true
		h.scheduler.AddUnresolvedIncarnation(life, time.Now())
	}
}

// addStoredJob gives a stored job to the board. A nil progress is that of a job that was just accepted.
func (h *poolHolder) addStoredJob(row platform.VersionedRow, progress []byte, version uint64, earlier bool) {
	job, err := decodeJob(row)
	p := work.Progress{}
	if err == nil && progress != nil {
		p, err = work.DecodeProgress(job.ID, progress)
	}
	if err != nil {
		h.manager.record(event.Event{Number: event.WorkRowUnreadable, Pool: h.pool, Job: row.Key, Detail: err.Error()})
		return
	}
	h.scheduler.AddJob(job, p, version, earlier, time.Now())
}

// rounds decides in rounds until the duty ends.
func (h *poolHolder) rounds() {
	for {
		changes, changed := h.manager.workers.watch()
		began := time.Now()
		h.step(changes)
		if !sleep(h.ctx, roundPause(time.Since(began))) || !h.awaitRound(changed, stepEvery) {
			return
		}
	}
}

// roundPause is the pause after a round that took a time: a process that is short of its processor decides about more at once.
func roundPause(took time.Duration) time.Duration {
	return min(max(minRoundPause, roundFactor*took), maxRoundPause)
}

// step is one round: take in the workers, decide, send and store what follows. Changes is the count of the directory's changes.
func (h *poolHolder) step(changes uint64) {
	now := time.Now()
	h.lookAtWorkers(changes, now)
	h.mu.Lock()
	h.scheduler.SetSnapshotTimes(h.knownAsOf(now))
	h.tellAwaited(now)
	orders := h.scheduler.Schedule(now, now)
	inquiries := h.scheduler.NextApprovalRequests(now)
	for _, life := range h.scheduler.IncarnationsToRenew() {
		if !h.renewalLoops[life] {
			h.renewalLoops[life] = true
			h.group.Go(func() { h.renewWorkerLeases(life) })
		}
	}
	h.mu.Unlock()
	for _, o := range orders {
		h.group.Go(func() { h.executeOrder(o) })
	}
	for _, q := range inquiries {
		h.group.Go(func() { h.requestApprovals(q) })
	}
	h.store(now)
	h.rereadOverdueQueue(now)
}

// storeSilence is how long no call of the store must have been answered for it to count as away for everybody: callers' cancels can't be
// stored then either, and work goes on.
const storeSilence = 2 * time.Second

// snapshotTime returns as of when callers' cancels and the workers that leave are known. The caller holds the lock.
func (h *poolHolder) knownAsOf(now time.Time) (jobs, workers time.Time) {
	if !h.manager.storeHealth.answeredSince(now.Add(-storeSilence)) {
		return now, now
	}
	return h.feed.snapshotTime, h.manager.workers.snapshotTime()
}

// lookAtWorkers takes in which workers there are and which of them are to be cleared, if either may have changed. A worker that is
// listed anew gets no work before it is known whether it is to be cleared, so one never goes without the other.
func (h *poolHolder) lookAtWorkers(changes uint64, now time.Time) {
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
	withdrawn := h.manager.withdrawn()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.withdraw(withdrawn, now)
}

// takeWorkers gives the board the workers of the directory, after the roster with them is stored.
func (h *poolHolder) takeWorkers(now time.Time) {
	listings, known := h.manager.workers.poolWorkers(h.pool)
	if !known {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	listings = h.clearing.admissible(listings, h.scheduler.HasIncarnation)
	cleared := h.scheduler.EvacuatedIncarnations()
	wanted := h.scheduler.RequiredRoster(listings, h.clearing.withdrawn())
	due := h.rosterDue(wanted, now)
	h.rosterWaits = due && h.committing
	if due && !h.committing && !now.Before(h.commitRetryAt) {
		h.commitRoster(wanted)
	}
	kept := listings[:0]
	for _, l := range listings {
		if h.roster[l.Incarnation] || slices.Contains(cleared, l.Incarnation) {
			kept = append(kept, l)
		}
	}
	admitted, removed := h.scheduler.UpdateWorkers(kept, now)
	for _, l := range admitted {
		h.manager.record(event.Event{Number: event.WorkerListed, Pool: h.pool, Host: l.Incarnation.Worker, Detail: fmt.Sprintf(
			"born %d, at %s in %s, rack %s, draining %t", l.Incarnation.StartMillis, l.Address, l.Zone, l.Rack, l.Draining)})
	}
	for _, life := range removed {
		h.manager.record(event.Event{Number: event.WorkerLost, Pool: h.pool, Host: life.Worker, Detail: fmt.Sprintf("born %d, no longer listed, runs nothing", life.StartMillis)})
	}
}

// rosterEvery is the least time between two writes of the roster that only leave lives out.
const rosterEvery = 500 * time.Millisecond

// rosterDue reports whether the roster has to be stored: at once if a life is missing, and after a while if it has lives
// that are over, since the next holder has to wait for each of them.
func (h *poolHolder) rosterDue(wanted map[work.Incarnation]bool, now time.Time) bool {
	for life := range wanted {
		if !h.roster[life] {
			return true
		}
	}
	return len(wanted) < len(h.roster) && now.Sub(h.rosterAt) >= rosterEvery
}

// commitRoster stores the lives on which tasks may run from now on. The caller holds the lock.
func (h *poolHolder) commitRoster(roster map[work.Incarnation]bool) {
	write := h.replaceRoster(roster)
	tx := platform.RowTransaction{Preconditions: []platform.RowPrecondition{h.fence()}, Writes: []platform.RowWrite{write}, Purpose: "roster"}
	tx.Preconditions = append(tx.Preconditions, h.sideExpectations(tx.Writes)...)
	h.committing = true
	h.group.Go(func() {
		version, err := h.manager.Rows.Commit(h.ctx, tx)
		h.mu.Lock()
		h.committing = false
		h.sideCommitted(tx.Writes, version, err)
		if err == nil {
			h.rosterStored(roster)
			h.feed.expectCommit(version, time.Now())
		}
		h.mu.Unlock()
		h.settle(err)
		h.wake()
	})
}

// replaceRoster returns the row of a new roster that is about to be stored. The caller holds the lock.
func (h *poolHolder) replaceRoster(roster map[work.Incarnation]bool) platform.RowWrite {
	h.rosterAt = time.Now()
	var row rosterRow
	for life := range roster {
		row.Lives = append(row.Lives, lifeRow{Worker: life.Worker, Born: life.StartMillis})
		h.stored[life] = true
	}
	// From here on the stored roster may lack the lives that are left out: they must get no work meanwhile.
	maps.DeleteFunc(h.roster, func(life work.Incarnation, _ bool) bool { return !roster[life] })
	h.unlisted = true
	return platform.RowWrite{RowKey: reservedKey(h.pool, rosterKey), Value: encodeRow(row)}
}

// rosterStored notes that a roster is stored. The caller holds the lock.
func (h *poolHolder) rosterStored(roster map[work.Incarnation]bool) {
	h.roster, h.stored = roster, maps.Clone(roster)
	h.unlisted = true
}

// settle notes how a commit ended: a failed fence ends the duty, another failure delays the next commit.
func (h *poolHolder) settle(err error) {
	var overtaken platform.ErrVersionMismatch
	if h.fenced(err) || errors.As(err, &overtaken) {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if err == nil {
		h.commitFailures = 0
		return
	}
	h.commitRetryAt = time.Now().Add(jitter(min(firstRetry<<min(h.commitFailures, 10), lastRetry)))
	h.commitFailures++
	if h.ctx.Err() == nil {
		h.manager.record(event.Event{Number: event.WorkCommitFailed, Pool: h.pool, Detail: err.Error()})
	}
}
