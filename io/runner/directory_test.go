package runner

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"siskincross/core/work"
	"siskincross/io/platform"
)

// TestDirectoryWatch guards against rounds of decisions that every heartbeat of a worker asks for.
func TestDirectoryWatch(t *testing.T) {
	listing := func(draining bool) work.Listing {
		return work.Listing{Life: work.Life{Worker: "w", Born: 1}, Address: "a", Pool: "p", Labels: []string{"x", "r1-1"}, Draining: draining}
	}
	take := func(d *directory, listed ...work.Listing) bool {
		before, changed := d.watch()
		d.take(platform.DirectoryChanges{Listed: listed}, time.Now())
		after, _ := d.watch()
		select {
		case <-changed:
			return after != before
		default:
			return false
		}
	}
	d := &directory{changed: make(chan struct{}), listings: make(map[string]work.Listing)}
	is := is.New(t)
	is.True(take(d, listing(false)))
	is.True(!take(d, listing(false)))
	is.True(!take(d))
	is.True(take(d, listing(true)))
}

func TestRoundGap(t *testing.T) {
	is := is.New(t)
	is.Equal(roundGap(0), stepGap)
	is.Equal(roundGap(10*time.Millisecond), 20*time.Millisecond)
	is.Equal(roundGap(time.Second), mostRoundGap) // the process stood still
}
