package runner

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"siskincross/core/event"
	"siskincross/core/quota"
	"siskincross/core/work"
	"siskincross/io/platform"
)

const (
	// minRoundPause is the minimum pause between two decision rounds, so that events that arrive together are decided
	// together.
	minRoundPause = 4 * time.Millisecond
	// maxRoundInterval is the maximum time between two decision rounds.
	maxRoundInterval = 100 * time.Millisecond
	// roundPauseFactor is the ratio of the pause after a round to the duration of that round, and maxRoundPause is the
	// upper bound of the pause. Decisions take at most a third of the time, and tasks that ended are still followed by
	// others soon.
	roundPauseFactor = 2
	maxRoundPause    = 40 * time.Millisecond
	// workerRefreshInterval is the maximum time between two updates of the pool's workers while the directory reports no
	// change. The set of spare workers changes with every round, and hosts have to be moved within a second.
	workerRefreshInterval = 25 * time.Millisecond
)

// poolHolder carries out the scheduler's decisions for one pool while this process holds the pool's duty.
type poolHolder struct {
	*tenure
	pool string

	// mu guards the scheduler and the fields below.
	mu        sync.Mutex
	scheduler *work.Scheduler
	// loaded is true once the stored jobs and the roster have been read.
	loaded bool
	// renewalLoops holds the incarnations with a running renewWorkerLeases goroutine.
	renewalLoops map[work.Incarnation]bool
	// fenceLoops holds the workers with a running fenceWorker goroutine.
	fenceLoops map[string]bool
	// confirmedRoster holds the incarnations that are known to be on the stored roster and that may get work.
	// possibleRoster holds those that may be on the stored roster. Incarnations that are being removed, and those of a
	// failed commit, are in possibleRoster only.
	confirmedRoster map[work.Incarnation]bool
	// rosterVersion and needVersion are the row versions of the stored roster and need. They are preconditions of the
	// next write, so that a write without an answer can't take effect after a newer one.
	rosterVersion, needVersion uint64
	possibleRoster             map[work.Incarnation]bool
	rosterWrittenAt            time.Time
	commitInFlight             bool
	// workersRefreshedAt is when the scheduler last received the workers, and seenDirectoryChanges the directory's
	// change count at that time. rosterChanged is true after the stored roster changed, which makes an update due at
	// once.
	workersRefreshedAt   time.Time
	seenDirectoryChanges uint64
	rosterChanged        bool
	// rosterWritePending is true while a roster has to be stored and another commit is in flight.
	rosterWritePending bool
	// oldestChangeAt is when the oldest uncommitted change occurred.
	oldestChangeAt time.Time
	// validityLapsed is true while it is not certain that this process still holds the duty.
	validityLapsed bool
	// keptBySilence is true while this process holds the duty only because the store is silent to all other members too.
	keptBySilence bool
	// refusals counts how often the store has refused the progress of a job by itself. It has no entry for jobs whose progress is
	// stored.
	refusals map[work.JobID]int
	// auxiliaryRetryAt is the time before which the count and the need are not stored.
	auxiliaryRetryAt time.Time
	// gatesVersion is the version of the configuration whose queues' gates were last to be opened.
	gatesVersion uint64
	// lastCount holds the last stored numbers of waiting jobs, by queue.
	lastCount   map[string]int
	lastCountAt time.Time
	// storedNeed is the need that was stored last. It has to be written again while storedNeedKnown is false.
	storedNeed      needRow
	storedNeedKnown bool
	needWrittenAt   time.Time
	evacuation      evacuation
	grants          grants
	commitRetryAt   time.Time
	// committedAt is when the last successful transaction began that expected the fence.
	committedAt    time.Time
	commitFailures int
	// minReadVersion is the version of our last commit. Reads of older versions are stale.
	minReadVersion uint64
	feed           queueFeed
	// withProgressRow holds the jobs that may have a row in the progress table.
	withProgressRow map[work.JobID]bool
	// loadedAt is when the pool was read. unresolved holds the incarnations on which attempts of earlier holders were
	// still unresolved at the last check.
	loadedAt   time.Time
	unresolved []work.Incarnation
	// awaitedEnds holds, for jobs that are being cancelled, a channel that is closed once the job is no longer held.
	awaitedEnds map[work.JobID]chan struct{}
	// loadReportedAt is when the metrics of the pool's load were last updated.
	loadReportedAt time.Time
}

func newPoolHolder(t *tenure) *poolHolder {
	h := &poolHolder{
		tenure: t, pool: t.name, minReadVersion: t.epoch,
		scheduler:    &work.Scheduler{Pool: t.name, Epoch: t.epoch, Term: t.term, Timing: t.manager.Timing},
		renewalLoops: make(map[work.Incarnation]bool), fenceLoops: make(map[string]bool), confirmedRoster: make(map[work.Incarnation]bool), possibleRoster: make(map[work.Incarnation]bool), evacuation: newEvacuation(),
		withProgressRow: make(map[work.JobID]bool), awaitedEnds: make(map[work.JobID]chan struct{}), refusals: make(map[work.JobID]int),
	}
	h.scheduler.OnPresumedEnd = h.recordPresumedEnd
	h.scheduler.OnCrash = h.recordCrash
	h.scheduler.OnLingeringRun = h.recordLingeringRun
	h.scheduler.OnMissingEnds = h.recordMissingEnds
	h.scheduler.OnForgettableEnds = h.recordForgettableEnds
	h.scheduler.Quota = quota.Ledger{Pool: t.name, Epoch: t.epoch}
	h.scheduler.OnInterference = h.recordInterference
	t.run = func() {
		if h.loadPool() {
			h.runRounds()
		}
	}
	return h
}

// loadRoster adopts the roster that the previous holder stored.
func (h *poolHolder) loadRoster(row platform.VersionedRow) {
	h.rosterVersion = row.Version
	var roster rosterRow
	if err := json.Unmarshal(row.Value, &roster); err != nil {
		h.manager.record(event.Event{Number: event.WorkRowUnreadable, Pool: h.pool, Detail: ErrUnreadableRow{row.RowKey, err}.Error()})
		return
	}
	for _, row := range roster.Unsettled {
		h.scheduler.AddUnsettledIncarnation(row.incarnation(), time.Now())
	}
	for _, row := range roster.Incarnations {
		incarnation := row.incarnation()
		h.confirmedRoster[incarnation] = true
		h.possibleRoster[incarnation] = true
		h.scheduler.AddUnresolvedIncarnation(incarnation, time.Now())
	}
	for _, row := range slices.Concat(roster.Unfenced, roster.Incarnations) {
		if row.Address != "" {
			h.scheduler.AddFormerEndpoint(row.endpoint(), time.Now())
		}
	}
}

// addStoredJob adds a stored job to the scheduler. A nil progress stands for a job without a progress row. earlier is
// true for a job that an earlier holder may have known.
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

// runRounds runs decision rounds until the duty ends.
func (h *poolHolder) runRounds() {
	for {
		changes, changed := h.manager.workers.watch()
		start := time.Now()
		h.runRound(changes)
		if !sleep(h.ctx, roundPause(time.Since(start))) || !h.awaitNextRound(changed, maxRoundInterval) {
			return
		}
	}
}

// roundPause returns the pause after a round of the given duration. A process that is short of processor time takes
// longer pauses and so decides about more events at once.
func roundPause(elapsed time.Duration) time.Duration {
	return min(max(minRoundPause, roundPauseFactor*elapsed), maxRoundPause)
}

// runRound runs one decision round: it updates the workers, schedules, sends the resulting orders and starts a due
// commit. changes is the directory's change count.
func (h *poolHolder) runRound(changes uint64) {
	now := time.Now()
	h.refreshWorkers(changes, now)
	h.openNewGates()
	h.updateValidity(now)
	organisations := h.manager.Catalogue().Organisations
	learnsInterference := h.manager.learnsInterference()
	h.mu.Lock()
	h.scheduler.SetSnapshotTimes(h.inputSnapshotTimes(now))
	h.recordUnresolved(now)
	h.scheduler.SetOrganisations(organisations)
	h.scheduler.LearnInterference(learnsInterference)
	h.updateLimits(changes, now)
	orders := h.scheduler.Schedule(now, now)
	requests := h.scheduler.NextApprovalRequests(now)
	for _, incarnation := range h.scheduler.IncarnationsToRenew() {
		if !h.renewalLoops[incarnation] {
			h.renewalLoops[incarnation] = true
			h.group.Go(func() { h.renewWorkerLeases(incarnation) })
		}
	}
	h.startFenceLoops(now)
	h.mu.Unlock()
	for _, o := range orders {
		h.group.Go(func() { h.executeOrder(o) })
	}
	for _, q := range requests {
		h.group.Go(func() { h.requestApprovals(q) })
	}
	h.reportLoad(now)
	h.startDueCommit(now)
	h.startDueGrantCall(now)
	h.rereadOverdueQueue(now)
}

// storeSilenceLimit is how long the store must have answered no call before other members are believed that it is silent to
// everybody. Callers' cancels can't be stored then either, so scheduling continues.
const storeSilenceLimit = 2 * time.Second

// inputSnapshotTimes returns the times as of which callers' cancels and the workers' drain states are known. The
// caller holds the lock.
func (h *poolHolder) inputSnapshotTimes(now time.Time) (jobs, workers time.Time) {
	if !h.manager.storeHealth.answeredSince(now.Add(-storeSilenceLimit)) && h.manager.isSilenceConfirmed(h.pool, now) {
		return now, now
	}
	jobs, workers = h.feed.snapshotTime, h.manager.workers.snapshotTime()
	h.manager.mu.Lock()
	defer h.manager.mu.Unlock()
	return h.manager.suspension.forgetSnapshot(jobs), h.manager.suspension.forgetSnapshot(workers)
}

// refreshWorkers updates the workers and the set of those to be evacuated, if either may have changed. The two are
// always updated together: a worker that is listed anew gets no work before it is known whether it is to be
// evacuated.
func (h *poolHolder) refreshWorkers(changes uint64, now time.Time) {
	h.mu.Lock()
	due := h.rosterChanged || changes != h.seenDirectoryChanges || now.Sub(h.workersRefreshedAt) >= workerRefreshInterval || (h.rosterWritePending && !h.commitInFlight)
	if due {
		h.rosterChanged, h.seenDirectoryChanges, h.workersRefreshedAt = false, changes, now
	}
	h.mu.Unlock()
	if !due {
		return
	}
	h.updateListings(now)
	withdrawn := h.manager.withdrawnWorkers()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.updateWithdrawn(withdrawn, now)
}

// updateListings gives the scheduler the workers of the directory whose incarnations are on the stored roster, and
// starts a commit of the roster if it has to change.
func (h *poolHolder) updateListings(now time.Time) {
	listings, known := h.manager.workers.poolWorkers(h.pool)
	if !known {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	listings = h.evacuation.admissibleListings(listings, h.scheduler.HasIncarnation)
	evacuated := h.scheduler.EvacuatedIncarnations()
	required := h.scheduler.RequiredRoster(listings, h.evacuation.excludedWorkers())
	due := h.rosterWriteDue(required, now)
	h.rosterWritePending = due && h.commitInFlight
	if due && !h.commitInFlight && !now.Before(h.commitRetryAt) {
		h.startRosterCommit(required, now)
	}
	kept := listings[:0]
	for _, l := range listings {
		if h.confirmedRoster[l.Incarnation] || slices.Contains(evacuated, l.Incarnation) {
			kept = append(kept, l)
		}
	}
	admitted, removed := h.scheduler.UpdateWorkers(kept, now)
	for _, l := range admitted {
		h.manager.record(event.Event{Number: event.WorkerListed, Pool: h.pool, Host: l.Incarnation.Worker, Detail: fmt.Sprintf(
			"started at %d, at %s in %s, rack %s, draining %t", l.Incarnation.StartMillis, l.Address, l.Zone, l.Rack, l.Draining)})
	}
	for _, incarnation := range removed {
		h.manager.record(event.Event{Number: event.WorkerLost, Pool: h.pool, Host: incarnation.Worker, Detail: fmt.Sprintf("started at %d, no longer listed, runs no tasks", incarnation.StartMillis)})
	}
}

// rosterShrinkInterval is the minimum time between two writes of the roster that only remove incarnations.
const rosterShrinkInterval = 500 * time.Millisecond

// rosterWriteDue reports whether the roster has to be stored: at once if it lacks an incarnation, and after
// rosterShrinkInterval if it has incarnations that have ended, since the next holder would have to wait for each of
// them.
func (h *poolHolder) rosterWriteDue(required map[work.Incarnation]bool, now time.Time) bool {
	for incarnation := range required {
		if !h.confirmedRoster[incarnation] {
			return true
		}
	}
	return len(required) < len(h.confirmedRoster) && now.Sub(h.rosterWrittenAt) >= rosterShrinkInterval
}

// beginRosterWrite returns the write of a new roster and marks it as in progress. The caller holds the lock.
func (h *poolHolder) beginRosterWrite(roster map[work.Incarnation]bool) platform.RowWrite {
	h.rosterWrittenAt = time.Now()
	var row rosterRow
	for incarnation := range roster {
		address := cmp.Or(h.scheduler.Address(incarnation), h.manager.workers.address(incarnation))
		row.Incarnations = append(row.Incarnations, newIncarnationRow(incarnation, address))
		h.possibleRoster[incarnation] = true
	}
	for _, incarnation := range h.scheduler.UnsettledIncarnations(roster, h.rosterWrittenAt) {
		row.Unsettled = append(row.Unsettled, newIncarnationRow(incarnation, ""))
	}
	for _, e := range h.scheduler.UnfencedEndpoints(h.rosterWrittenAt) {
		if !roster[e.Incarnation] {
			row.Unfenced = append(row.Unfenced, newIncarnationRow(e.Incarnation, e.Address))
		}
	}
	// The stored roster may lack the removed incarnations from here on, so they must get no work.
	maps.DeleteFunc(h.confirmedRoster, func(incarnation work.Incarnation, _ bool) bool { return !roster[incarnation] })
	h.rosterChanged = true
	return platform.RowWrite{RowKey: reservedKey(h.pool, rosterKey), Value: encodeRow(row)}
}

// completeRosterWrite records that a roster is stored. The caller holds the lock.
func (h *poolHolder) completeRosterWrite(roster map[work.Incarnation]bool) {
	h.confirmedRoster, h.possibleRoster = roster, maps.Clone(roster)
	h.rosterChanged = true
}

// updateCommitBackoff handles the result of a commit: a failed fence ends the duty, a version conflict is ignored
// here, and any other failure delays the next commit.
func (h *poolHolder) updateCommitBackoff(err error) {
	var conflict platform.ErrVersionMismatch
	if h.endIfFenced(err) || errors.As(err, &conflict) {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if err == nil {
		h.commitFailures = 0
		return
	}
	h.commitRetryAt = time.Now().Add(jitter(min(firstRetryPause<<min(h.commitFailures, 10), maxRetryPause)))
	h.commitFailures++
	if h.ctx.Err() == nil {
		h.manager.record(event.Event{Number: event.WorkCommitFailed, Pool: h.pool, Detail: err.Error()})
	}
}
