package runner

import (
	"context"
	"sync"
	"time"

	"siskincross/core/work"
	"siskincross/io/platform"
)

const (
	// directoryMinInterval is the least time between two answers of the directory. With an answer's time it
	// is far below the time in which a draining worker must get no new work.
	directoryMinInterval = 250 * time.Millisecond
	// directoryGrace is how long entries that vanished while the directory was away are believed after its return.
	directoryGrace = 2500 * time.Millisecond
	// directoryOutage is the pause between two answers from which on the directory counts as away.
	directoryOutage = 2 * longPollWait
	// directoryPollWait is how long the directory may hold an answer back. Workers write there all the time, and an answer that is lost must
	// be asked for again before what is known is too old for starts.
	directoryPollWait = 500 * time.Millisecond
)

// directoryCache is what this process knows of the workers. It is read only while this process holds a duty.
type directoryCache struct {
	mu       sync.Mutex
	listings map[string]work.WorkerInfo
	// retainedUntil holds the entries that vanished while or shortly after the directory was away, and until when they are kept.
	retainedUntil map[string]time.Time
	lastAnswer    time.Time
	recoveredAt   time.Time
	// snapshotTime is as of when the listings are known.
	asOf time.Time
	// loaded is true once the whole directory was read.
	loaded bool
	// changed is closed and replaced when listings change, changes counts how often that was.
	changed     chan struct{}
	changeCount uint64
}

// followDirectory keeps the directory up to date while this process holds a duty.
func (m *Manager) followDirectory(ctx context.Context) {
	var version uint64
	known := false
	var retry backoff
	for ctx.Err() == nil {
		if !m.holdsAnyDuty() {
			known = false
			m.workers.invalidate()
			if !sleep(ctx, directoryMinInterval) {
				return
			}
			continue
		}
		next, err := m.followUntilRecovery(ctx, version, known)
		switch {
		case err == nil:
			retry = backoff{}
			version, known = next, true
			if !sleep(ctx, directoryMinInterval) {
				return
			}
		case isHistoryGone(err):
			known = false
		case !m.awaitRetry(ctx, &retry):
			return
		}
	}
}

// followUntilRecovery is pollDirectory, given up once the store is back: a call from before may never be answered.
func (m *Manager) followUntilRecovery(ctx context.Context, version uint64, known bool) (uint64, error) {
	m.mu.Lock()
	back := m.storeRecovered
	m.mu.Unlock()
	ctx, cancel := context.WithCancel(ctx)
	var watch sync.WaitGroup
	defer watch.Wait()
	defer cancel()
	watch.Go(func() {
		select {
		case <-back:
			cancel()
		case <-ctx.Done():
		}
	})
	return m.pollDirectory(ctx, version, known)
}

func (m *Manager) pollDirectory(ctx context.Context, version uint64, known bool) (uint64, error) {
	asked := time.Now()
	if !known {
		listings, next, err := m.Directory.List(ctx)
		if err == nil {
			m.workers.replace(listings, time.Now())
			m.workers.knownAt(asked)
		}
		return next, err
	}
	changes, err := m.Directory.AwaitChanges(ctx, version, directoryPollWait)
	if err != nil {
		return version, err
	}
	m.workers.apply(changes, time.Now())
	m.workers.knownAt(asked)
	return max(version, changes.Version), nil
}

// knownAt notes that the listings are known as of a time.
func (d *directoryCache) knownAt(asOf time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.asOf = asOf
}

// snapshotTime returns as of when the listings are known.
func (d *directoryCache) snapshotTime() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.asOf
}

func (d *directoryCache) invalidate() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.loaded = false
}

// recordAnswer notes an answer. A pause before it means that the directory was away.
func (d *directoryCache) recordAnswer(now time.Time) {
	if !d.lastAnswer.IsZero() && now.Sub(d.lastAnswer) > directoryOutage {
		d.recoveredAt = now
	}
	d.lastAnswer = now
}

// replace takes in a whole reading.
func (d *directoryCache) replace(listings []work.WorkerInfo, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.recordAnswer(now)
	old := d.listings
	d.listings = make(map[string]work.WorkerInfo, len(listings))
	for _, l := range listings {
		d.listings[l.Incarnation.Worker] = l
		delete(d.retainedUntil, l.Incarnation.Worker)
	}
	for id := range old {
		if _, ok := d.listings[id]; !ok {
			d.removeOrRetain(id, old[id], now)
		}
	}
	d.loaded = true
	d.notify()
}

// apply takes in changes.
func (d *directoryCache) apply(changes platform.DirectoryChanges, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.recordAnswer(now)
	changed := false
	for _, l := range changes.Updated {
		old, known := d.listings[l.Incarnation.Worker]
		changed = changed || !known || !old.Equal(l)
		d.listings[l.Incarnation.Worker] = l
		delete(d.retainedUntil, l.Incarnation.Worker)
	}
	for _, id := range changes.Removed {
		if l, ok := d.listings[id]; ok {
			delete(d.listings, id)
			d.removeOrRetain(id, l, now)
			changed = true
		}
	}
	for id, until := range d.retainedUntil {
		if now.After(until) {
			delete(d.retainedUntil, id)
			delete(d.listings, id)
			changed = true
		}
	}
	if changed {
		d.notify()
	}
}

// removeOrRetain drops an entry, or keeps it for a while if it may have lapsed only because the directory was away.
func (d *directoryCache) removeOrRetain(id string, l work.WorkerInfo, now time.Time) {
	until, doubted := d.retainedUntil[id]
	if !doubted {
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
		d.listings[id] = l
	}
}

func (d *directoryCache) notify() {
	close(d.changed)
	d.changed = make(chan struct{})
	d.changeCount++
}

// poolWorkers returns a pool's workers and whether the directory was read. The caller may change the list.
func (d *directoryCache) poolWorkers(name string) ([]work.WorkerInfo, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var listings []work.WorkerInfo
	for _, l := range d.listings {
		if l.Pool == name {
			listings = append(listings, l)
		}
	}
	return listings, d.loaded
}

// watch returns how often the listings have changed, and a channel that is closed at the next change.
func (d *directoryCache) watch() (uint64, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.changeCount, d.changed
}
