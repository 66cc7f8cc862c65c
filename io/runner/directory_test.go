package runner

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"siskincross/core/event"
	"siskincross/core/work"
	"siskincross/io/platform"
	"siskincross/io/timeline"
)

// TestDirectoryWatch guards against a round of scheduling for every heartbeat of a worker.
func TestDirectoryWatch(t *testing.T) {
	listing := func(draining bool) work.WorkerInfo {
		return work.WorkerInfo{Incarnation: work.Incarnation{Worker: "w", StartMillis: 1}, Address: "a", Pool: "p", Labels: []string{"x", "r1-1"}, Draining: draining}
	}
	take := func(d *directoryCache, listed ...work.WorkerInfo) bool {
		before, changed := d.watch()
		d.apply(platform.DirectoryChanges{Updated: listed}, time.Now())
		after, _ := d.watch()
		select {
		case <-changed:
			return after != before
		default:
			return false
		}
	}
	d := &directoryCache{changed: make(chan struct{}), workers: make(map[string]work.WorkerInfo)}
	is := is.New(t)
	is.True(take(d, listing(false)))
	is.True(!take(d, listing(false)))
	is.True(!take(d))
	is.True(take(d, listing(true)))
}

// TestManyRejectedEntries guards against a line for each of many entries that are rejected at once.
func TestManyRejectedEntries(t *testing.T) {
	lines := 0
	m := &Manager{Recorder: &timeline.Recorder{Sink: func(event.Event) { lines++ }}}
	entries := make([]platform.RejectedEntry, 10*maxLoggedEntries)
	m.recordRejected(entries[:maxLoggedEntries])
	is.New(t).Equal(lines, maxLoggedEntries)
	m.recordRejected(entries)
	is.New(t).Equal(lines, 2*maxLoggedEntries+1)
}

func TestRoundGap(t *testing.T) {
	is := is.New(t)
	is.Equal(roundPause(0), minRoundPause)
	is.Equal(roundPause(10*time.Millisecond), 20*time.Millisecond)
	is.Equal(roundPause(time.Second), maxRoundPause) // the process was stalled
}
