package runner

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"siskincross/core/event"
	"siskincross/core/work"
	"siskincross/io/platform"
)

const (
	// directoryMinInterval is the minimum time between two polls of the directory. Together with the latency of an
	// answer, it is far below the time in which a draining worker must stop getting new work.
	directoryMinInterval = 250 * time.Millisecond
	// directoryGrace is how long entries that disappeared during an outage of the directory are kept after its
	// recovery.
	directoryGrace = 2500 * time.Millisecond
	// directoryOutage is the time between two answers of the directory above which it is considered to have been
	// unavailable.
	directoryOutage = 2 * longPollWait
	// directoryPollWait is how long the directory may hold back its answer. Workers write to the directory all the
	// time, and a lost answer must be requested again before the known entries are too old to start tasks by.
	directoryPollWait = 500 * time.Millisecond
)

// directoryCache is this process's copy of the worker directory. It is updated only while this process holds a duty.
type directoryCache struct {
	mu      sync.Mutex
	workers map[string]work.WorkerInfo
	// retainedUntil holds the workers whose entries disappeared during or shortly after an outage of the directory,
	// and when each is dropped.
	retainedUntil map[string]time.Time
	// rejected holds the reasons of the entries that name no worker to use, by ID.
	rejected    map[string]string
	lastAnswer  time.Time
	recoveredAt time.Time
	// asOfTime is when the request for the newest answer was sent. Changes made later may be missing.
	asOfTime time.Time
	// loaded is true once the whole directory has been read.
	loaded bool
	// changed is closed and replaced when the entries change, and changeCount counts these changes.
	changed     chan struct{}
	changeCount uint64
}

// address returns the address of a listed incarnation; empty if it is not listed.
func (d *directoryCache) address(incarnation work.Incarnation) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if w := d.workers[incarnation.Worker]; w.Incarnation == incarnation {
		return w.Address
	}
	return ""
}

// isLoaded reports whether the whole directory has been read.
func (d *directoryCache) isLoaded() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.loaded
}

// isInOtherPool reports whether the directory lists the worker in another pool.
func (d *directoryCache) isInOtherPool(worker, pool string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	w, listed := d.workers[worker]
	return listed && w.Pool != pool
}

// followDirectory keeps the cache up to date while this process holds a duty.
func (m *Manager) followDirectory(ctx context.Context) {
	var version uint64
	loaded := false
	var retry backoff
	for ctx.Err() == nil {
		if !m.holdsAnyDuty() {
			loaded = false
			m.workers.invalidate()
			if !sleep(ctx, directoryMinInterval) {
				return
			}
			continue
		}
		next, err := m.followUntilRecovery(ctx, version, loaded)
		switch {
		case err == nil:
			retry = backoff{}
			version, loaded = next, true
			if !sleep(ctx, directoryMinInterval) {
				return
			}
		case isHistoryGone(err):
			loaded = false
		case !m.awaitRetry(ctx, &retry):
			return
		}
	}
}

// followUntilRecovery calls pollDirectory and cancels the call when the store recovers from an outage, because a call
// sent before the recovery may never be answered.
func (m *Manager) followUntilRecovery(ctx context.Context, version uint64, loaded bool) (uint64, error) {
	m.mu.Lock()
	recovered := m.storeRecovered
	m.mu.Unlock()
	ctx, cancel := context.WithCancel(ctx)
	var watcher sync.WaitGroup
	defer watcher.Wait()
	defer cancel()
	watcher.Go(func() {
		select {
		case <-recovered:
			cancel()
		case <-ctx.Done():
		}
	})
	return m.pollDirectory(ctx, version, loaded)
}

// pollDirectory reads the whole directory, or waits for changes after version if it is already loaded. It returns the
// new version.
func (m *Manager) pollDirectory(ctx context.Context, version uint64, loaded bool) (uint64, error) {
	sentAt := time.Now()
	if !loaded {
		listing, err := m.Directory.List(ctx)
		if err == nil {
			m.recordRejected(m.workers.replace(listing, time.Now()))
			m.workers.setSnapshotTime(sentAt)
		}
		return listing.Version, err
	}
	changes, err := m.Directory.AwaitChanges(ctx, version, directoryPollWait)
	if err != nil {
		return version, err
	}
	m.recordRejected(m.workers.apply(changes, time.Now()))
	m.workers.setSnapshotTime(sentAt)
	return max(version, changes.Version), nil
}

// setSnapshotTime sets the time up to which changes of the directory are known.
func (d *directoryCache) setSnapshotTime(t time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.asOfTime = t
}

// snapshotTime returns the time up to which changes of the directory are known.
func (d *directoryCache) snapshotTime() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.asOfTime
}

// invalidate marks the entries as outdated until the next full read.
func (d *directoryCache) invalidate() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.loaded = false
}

// recordAnswer records the time of an answer. A long gap before it means that the directory was unavailable.
func (d *directoryCache) recordAnswer(now time.Time) {
	if !d.lastAnswer.IsZero() && now.Sub(d.lastAnswer) > directoryOutage {
		d.recoveredAt = now
	}
	d.lastAnswer = now
}

// replace replaces all entries by those of a full read. It returns the entries that are rejected for a new reason.
func (d *directoryCache) replace(listing platform.DirectoryChanges, now time.Time) []platform.RejectedEntry {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.recordAnswer(now)
	previous := d.workers
	d.workers = make(map[string]work.WorkerInfo, len(listing.Updated))
	for _, w := range listing.Updated {
		d.workers[w.Incarnation.Worker] = w
		delete(d.retainedUntil, w.Incarnation.Worker)
	}
	for id := range previous {
		if _, ok := d.workers[id]; !ok {
			d.removeOrRetain(id, previous[id], now)
		}
	}
	d.loaded = true
	d.notify()
	reasons := d.rejected
	d.rejected = nil
	return d.reject(listing.Rejected, reasons)
}

// reject records rejected entries, and returns those that are rejected for another reason than before.
func (d *directoryCache) reject(entries []platform.RejectedEntry, before map[string]string) []platform.RejectedEntry {
	var changed []platform.RejectedEntry
	for _, e := range entries {
		if before[e.ID] != e.Reason {
			changed = append(changed, e)
		}
		if d.rejected == nil {
			d.rejected = make(map[string]string)
		}
		d.rejected[e.ID] = e.Reason
	}
	return changed
}

// apply applies a set of changes. It returns the entries that are rejected for a new reason.
func (d *directoryCache) apply(changes platform.DirectoryChanges, now time.Time) []platform.RejectedEntry {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.recordAnswer(now)
	changed := false
	for _, w := range changes.Updated {
		previous, known := d.workers[w.Incarnation.Worker]
		changed = changed || !known || !previous.Equal(w)
		d.workers[w.Incarnation.Worker] = w
		delete(d.retainedUntil, w.Incarnation.Worker)
		delete(d.rejected, w.Incarnation.Worker)
	}
	removed := slices.Clone(changes.Removed)
	for _, id := range removed {
		delete(d.rejected, id)
	}
	for _, e := range changes.Rejected {
		removed = append(removed, e.ID)
	}
	for _, id := range removed {
		if w, ok := d.workers[id]; ok {
			delete(d.workers, id)
			d.removeOrRetain(id, w, now)
			changed = true
		}
	}
	for id, until := range d.retainedUntil {
		if now.After(until) {
			delete(d.retainedUntil, id)
			delete(d.workers, id)
			changed = true
		}
	}
	if changed {
		d.notify()
	}
	return d.reject(changes.Rejected, d.rejected)
}

// maxLoggedEntries bounds the lines about the rejected entries of one answer of the directory.
const maxLoggedEntries = 20

// recordRejected records the entries that are rejected for a new reason.
func (m *Manager) recordRejected(entries []platform.RejectedEntry) {
	for i, e := range entries {
		if i == maxLoggedEntries {
			m.record(event.Event{Number: event.WorkerEntryRejected, Detail: fmt.Sprintf("%d more entries", len(entries)-i)})
			return
		}
		m.record(event.Event{Number: event.WorkerEntryRejected, Host: e.ID, Detail: e.Reason})
	}
}

// removeOrRetain drops an entry that is no longer in the directory. It keeps the entry for a while if it may have
// expired only because the directory was unavailable.
func (d *directoryCache) removeOrRetain(id string, w work.WorkerInfo, now time.Time) {
	until, retained := d.retainedUntil[id]
	if !retained {
		if d.recoveredAt.IsZero() || now.Sub(d.recoveredAt) > directoryGrace {
			return
		}
		until = d.recoveredAt.Add(directoryGrace)
		if d.retainedUntil == nil {
			d.retainedUntil = make(map[string]time.Time)
		}
		d.retainedUntil[id] = until
	}
	if now.Before(until) {
		d.workers[id] = w
	}
}

// notify announces a change of the entries. The caller holds the lock.
func (d *directoryCache) notify() {
	close(d.changed)
	d.changed = make(chan struct{})
	d.changeCount++
}

// poolWorkers returns the workers of a pool and whether the directory has been read. The caller may modify the slice.
func (d *directoryCache) poolWorkers(name string) ([]work.WorkerInfo, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var workers []work.WorkerInfo
	for _, w := range d.workers {
		if w.Pool == name {
			workers = append(workers, w)
		}
	}
	return workers, d.loaded
}

// watch returns the number of changes so far and a channel that is closed at the next change.
func (d *directoryCache) watch() (uint64, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.changeCount, d.changed
}
