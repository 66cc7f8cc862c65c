package runner

import (
	"context"
	"sync"
	"time"

	"siskincross/core/work"
	"siskincross/io/platform"
)

const (
	// directoryGather is the least time between two answers of the directory. With an answer's time it
	// is far below the time in which a draining worker must get no new work.
	directoryGather = 250 * time.Millisecond
	// directoryGrace is how long entries that vanished while the directory was away are believed after its return.
	directoryGrace = 2500 * time.Millisecond
	// directoryAway is the pause between two answers from which on the directory counts as away.
	directoryAway = 2 * followWait
	// directoryWait is how long the directory may hold an answer back. Workers write there all the time, and an answer that is lost must
	// be asked for again before what is known is too old for starts.
	directoryWait = 500 * time.Millisecond
)

// directory is what this process knows of the workers. It is read only while this process holds a duty.
type directory struct {
	mu       sync.Mutex
	listings map[string]work.Listing
	// doubted holds the entries that vanished while or shortly after the directory was away, and until when they are kept.
	doubted map[string]time.Time
	heard   time.Time
	back    time.Time
	// asOf is as of when the listings are known.
	asOf time.Time
	// known is true once the whole directory was read.
	known bool
	// changed is closed and replaced when listings change, changes counts how often that was.
	changed chan struct{}
	changes uint64
}

// followWorkers keeps the directory up to date while this process holds a duty.
func (m *Manager) followWorkers(ctx context.Context) {
	var version uint64
	known := false
	var retry backoff
	for ctx.Err() == nil {
		if !m.holdsAny() {
			known = false
			m.workers.forget()
			if !sleep(ctx, directoryGather) {
				return
			}
			continue
		}
		next, err := m.followUntilBack(ctx, version, known)
		switch {
		case err == nil:
			retry = backoff{}
			version, known = next, true
			if !sleep(ctx, directoryGather) {
				return
			}
		case historyGone(err):
			known = false
		case !m.pause(ctx, &retry):
			return
		}
	}
}

// followUntilBack is followOnce, given up once the store is back: a call from before may never be answered.
func (m *Manager) followUntilBack(ctx context.Context, version uint64, known bool) (uint64, error) {
	m.mu.Lock()
	back := m.back
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
	return m.followOnce(ctx, version, known)
}

func (m *Manager) followOnce(ctx context.Context, version uint64, known bool) (uint64, error) {
	asked := time.Now()
	if !known {
		listings, next, err := m.Directory.List(ctx)
		if err == nil {
			m.workers.replace(listings, time.Now())
			m.workers.knownAt(asked)
		}
		return next, err
	}
	changes, err := m.Directory.Follow(ctx, version, directoryWait)
	if err != nil {
		return version, err
	}
	m.workers.take(changes, time.Now())
	m.workers.knownAt(asked)
	return max(version, changes.Version), nil
}

// knownAt notes that the listings are known as of a time.
func (d *directory) knownAt(asOf time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.asOf = asOf
}

// knownAsOf returns as of when the listings are known.
func (d *directory) knownAsOf() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.asOf
}

func (d *directory) forget() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.known = false
}

// hear notes an answer. A pause before it means that the directory was away.
func (d *directory) hear(now time.Time) {
	if !d.heard.IsZero() && now.Sub(d.heard) > directoryAway {
		d.back = now
	}
	d.heard = now
}

// replace takes in a whole reading.
func (d *directory) replace(listings []work.Listing, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.hear(now)
	old := d.listings
	d.listings = make(map[string]work.Listing, len(listings))
	for _, l := range listings {
		d.listings[l.Life.Worker] = l
		delete(d.doubted, l.Life.Worker)
	}
	for id := range old {
		if _, ok := d.listings[id]; !ok {
			d.lose(id, old[id], now)
		}
	}
	d.known = true
	d.notify()
}

// take takes in changes.
func (d *directory) take(changes platform.DirectoryChanges, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.hear(now)
	changed := false
	for _, l := range changes.Listed {
		old, known := d.listings[l.Life.Worker]
		changed = changed || !known || !old.Equal(l)
		d.listings[l.Life.Worker] = l
		delete(d.doubted, l.Life.Worker)
	}
	for _, id := range changes.Gone {
		if l, ok := d.listings[id]; ok {
			delete(d.listings, id)
			d.lose(id, l, now)
			changed = true
		}
	}
	for id, until := range d.doubted {
		if now.After(until) {
			delete(d.doubted, id)
			delete(d.listings, id)
			changed = true
		}
	}
	if changed {
		d.notify()
	}
}

// lose drops an entry, or keeps it for a while if it may have lapsed only because the directory was away.
func (d *directory) lose(id string, l work.Listing, now time.Time) {
	until, doubted := d.doubted[id]
	if !doubted {
		if d.back.IsZero() || now.Sub(d.back) > directoryGrace {
			return
		}
		until = d.back.Add(directoryGrace)
		if d.doubted == nil {
			d.doubted = make(map[string]time.Time)
		}
		d.doubted[id] = until
	}
	if now.Before(until) {
		d.listings[id] = l
	}
}

func (d *directory) notify() {
	close(d.changed)
	d.changed = make(chan struct{})
	d.changes++
}

// pool returns a pool's workers and whether the directory was read. The caller may change the list.
func (d *directory) pool(name string) ([]work.Listing, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var listings []work.Listing
	for _, l := range d.listings {
		if l.Pool == name {
			listings = append(listings, l)
		}
	}
	return listings, d.known
}

// watch returns how often the listings have changed, and a channel that is closed at the next change.
func (d *directory) watch() (uint64, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.changes, d.changed
}
