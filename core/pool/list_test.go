package pool_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskincross/core/host"
	"siskincross/core/pool"
)

const doubt = 30 * time.Second

// lines returns n lines of the list, of which some are changed.
func lines(n int, change func(i int, l *pool.ListedHost)) []pool.ListedHost {
	all := make([]pool.ListedHost, n)
	for i := range all {
		all[i] = pool.ListedHost{ID: host.ID(fmt.Sprintf("h%03d", i)), Live: true, BootCount: 1}
		if change != nil {
			change(i, &all[i])
		}
	}
	return all
}

func fail(_ int, l *pool.ListedHost) { l.Live, l.Failed = false, true }

func after(seconds int) time.Time { return modelTime.Add(time.Duration(seconds) * time.Second) }

func TestList(t *testing.T) {
	start := pool.HostList{MassFailureDelay: doubt}.WithListing(lines(30, nil), modelTime)
	sight := func(l pool.HostList, seconds int) pool.Observation {
		return l.Observation("h029", modelTime, after(seconds))
	}

	t.Run("missing host", func(t *testing.T) {
		is := is.New(t)
		l := start.WithListing(lines(29, nil), after(10))
		is.Equal(l.DistrustReason(), "")
		is.Equal(sight(l, 20), pool.Observation{BootCount: 1, UnchangedFor: 10 * time.Second})
	})
	t.Run("empty list", func(t *testing.T) {
		is := is.New(t)
		l := start
		for n := range 1000 {
			l = l.WithListing(nil, after(n))
		}
		is.True(l.DistrustReason() != "")
		is.True(sight(l, 1000).Live)
	})
	t.Run("list shrunken by more than a third", func(t *testing.T) {
		is := is.New(t)
		l := start.WithListing(lines(19, nil), after(1)).WithListing(lines(19, nil), after(500))
		is.True(l.DistrustReason() != "")
		is.True(sight(l, 500).Listed)
		l = l.WithListing(lines(30, nil), after(501))
		is.Equal(l.DistrustReason(), "")
	})
	t.Run("lost availability zone of three", func(t *testing.T) {
		is := is.New(t)
		l := start.WithListing(lines(30, func(i int, l *pool.ListedHost) {
			if i >= 20 {
				fail(i, l)
			}
		}), after(1))
		is.Equal(l.DistrustReason(), "")
		is.True(sight(l, 1).Failed)
	})
	t.Run("mass failure is believed after the doubt", func(t *testing.T) {
		is := is.New(t)
		l := start.WithListing(lines(30, fail), after(1))
		is.True(l.DistrustReason() != "")
		is.True(sight(l, 1).Live)
		l = l.WithListing(lines(30, fail), after(31))
		is.True(sight(l, 31).Failed)
	})
	t.Run("lines of a shrunken list count", func(t *testing.T) {
		is := is.New(t)
		l := start.WithListing(lines(5, func(i int, l *pool.ListedHost) {
			if i == 0 {
				l.Live, l.Leaving = false, true
			}
		}), after(1))
		is.True(l.Observation("h000", modelTime, after(1)).Leaving)
	})
}

func TestJudge(t *testing.T) {
	patience := pool.DetectionTimeouts{Missing: 30 * time.Second, Recovery: 5 * time.Second, Reboot: time.Minute, Removal: time.Hour}
	live := pool.Observation{Listed: true, Live: true, BootCount: 2, UnchangedFor: time.Minute}
	tests := []struct {
		name  string
		h     pool.Host
		sight pool.Observation
		after time.Duration
		want  string
	}{
		{"serving and live", pool.Host{State: host.Serving}, live, 0, ""},
		{"serving and restarting unasked", pool.Host{State: host.Serving}, pool.Observation{Listed: true}, 0, "fail"},
		{"serving and missing for a moment", pool.Host{State: host.Serving}, pool.Observation{UnchangedFor: time.Second}, 0, ""},
		{"serving and missing for long", pool.Host{State: host.Serving}, pool.Observation{UnchangedFor: time.Minute}, 0, "fail"},
		{"draining and leaving", pool.Host{State: host.Draining}, pool.Observation{Listed: true, Leaving: true}, 0, "leave"},
		{"failed and live for a moment", pool.Host{State: host.Failed}, pool.Observation{Listed: true, Live: true}, 0, ""},
		{"failed and live for long", pool.Host{State: host.Failed}, live, 0, "return"},
		{"failed for long", pool.Host{State: host.Failed}, pool.Observation{Listed: true, Failed: true}, 2 * time.Hour, "forget"},
		{"left", pool.Host{State: host.Leaving}, pool.Observation{UnchangedFor: time.Minute}, time.Minute, "forget"},
		{"rebooting, not ordered yet", pool.Host{State: host.Rebooting, BootCount: 1}, live, 2 * time.Minute, ""},
		{"rebooting, taken away before it was ordered", pool.Host{State: host.Rebooting, BootCount: 1}, pool.Observation{UnchangedFor: 2 * time.Minute}, 2 * time.Minute, "fail"},
		{"rebooting, missing for a moment", pool.Host{State: host.Rebooting, BootCount: 1}, pool.Observation{UnchangedFor: time.Second}, 2 * time.Minute, ""},
		{"rebooting, list lags", pool.Host{State: host.Rebooting, BootCount: 2}, ordered(live), 0, ""},
		{"rebooted", pool.Host{State: host.Rebooting, BootCount: 1}, ordered(live), 0, "return"},
		{"never came back", pool.Host{State: host.Rebooting, BootCount: 2}, ordered(pool.Observation{Listed: true}), 2 * time.Minute, "fail"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			tt.h.StateSince = modelTime
			change, _ := tt.h.Transition(tt.sight, patience, modelTime.Add(tt.after))
			is.Equal(string(change.Event), tt.want)
		})
	}
}

func ordered(s pool.Observation) pool.Observation {
	s.RebootConfirmed = true
	return s
}
