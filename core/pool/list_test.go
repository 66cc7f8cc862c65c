package pool_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskincross/core/host"
	"siskincross/core/pool"
)

const massFailureDelay = 30 * time.Second

// hosts returns n listed hosts after applying change to each of them, if it is not nil.
func hosts(n int, change func(i int, h *pool.ListedHost)) []pool.ListedHost {
	all := make([]pool.ListedHost, n)
	for i := range all {
		all[i] = pool.ListedHost{ID: host.ID(fmt.Sprintf("h%03d", i)), Live: true, BootCount: 1}
		if change != nil {
			change(i, &all[i])
		}
	}
	return all
}

// fail changes a listed host to failed.
func fail(_ int, h *pool.ListedHost) { h.Live, h.Failed = false, true }

// after returns the time some seconds after the start.
func after(seconds int) time.Time { return modelTime.Add(time.Duration(seconds) * time.Second) }

func TestList(t *testing.T) {
	start := pool.HostList{MassFailureDelay: massFailureDelay}.WithListing(hosts(30, nil), modelTime)
	observation := func(l pool.HostList, seconds int) pool.Observation {
		return l.Observation("h029", modelTime, after(seconds))
	}

	t.Run("missing host", func(t *testing.T) {
		is := is.New(t)
		l := start.WithListing(hosts(29, nil), after(10))
		is.Equal(l.DistrustReason(), "")
		is.Equal(observation(l, 20), pool.Observation{BootCount: 1, UnchangedFor: 10 * time.Second})
	})
	t.Run("empty list", func(t *testing.T) {
		is := is.New(t)
		l := start
		for n := range 1000 {
			l = l.WithListing(nil, after(n))
		}
		is.True(l.DistrustReason() != "")
		is.True(observation(l, 1000).Live)
	})
	t.Run("list shrunken by more than a third", func(t *testing.T) {
		is := is.New(t)
		l := start.WithListing(hosts(19, nil), after(1)).WithListing(hosts(19, nil), after(500))
		is.True(l.DistrustReason() != "")
		is.True(observation(l, 500).Listed)
		l = l.WithListing(hosts(30, nil), after(501))
		is.Equal(l.DistrustReason(), "")
	})
	t.Run("lost availability zone of three", func(t *testing.T) {
		is := is.New(t)
		l := start.WithListing(hosts(30, func(i int, h *pool.ListedHost) {
			if i >= 20 {
				fail(i, h)
			}
		}), after(1))
		is.Equal(l.DistrustReason(), "")
		is.True(observation(l, 1).Failed)
	})
	t.Run("mass failure is accepted after the delay", func(t *testing.T) {
		is := is.New(t)
		l := start.WithListing(hosts(30, fail), after(1))
		is.True(l.DistrustReason() != "")
		is.True(observation(l, 1).Live)
		l = l.WithListing(hosts(30, fail), after(31))
		is.True(observation(l, 31).Failed)
	})
	t.Run("hosts in a distrusted list are updated", func(t *testing.T) {
		is := is.New(t)
		l := start.WithListing(hosts(5, func(i int, h *pool.ListedHost) {
			if i == 0 {
				h.Live, h.Leaving = false, true
			}
		}), after(1))
		is.True(l.Observation("h000", modelTime, after(1)).Leaving)
	})
}

func TestJudge(t *testing.T) {
	timeouts := pool.DetectionTimeouts{Missing: 30 * time.Second, Recovery: 5 * time.Second, Reboot: time.Minute, Removal: time.Hour}
	live := pool.Observation{Listed: true, Live: true, BootCount: 2, UnchangedFor: time.Minute}
	tests := []struct {
		name        string
		h           pool.Host
		observation pool.Observation
		after       time.Duration
		want        string
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
		{"rebooting, list lags", pool.Host{State: host.Rebooting, BootCount: 2}, rebootConfirmed(live), 0, ""},
		{"rebooted", pool.Host{State: host.Rebooting, BootCount: 1}, rebootConfirmed(live), 0, "return"},
		{"never came back", pool.Host{State: host.Rebooting, BootCount: 2}, rebootConfirmed(pool.Observation{Listed: true}), 2 * time.Minute, "fail"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			tt.h.StateSince = modelTime
			transition, _ := tt.h.Transition(tt.observation, timeouts, modelTime.Add(tt.after))
			is.Equal(string(transition.Event), tt.want)
		})
	}
}

// rebootConfirmed returns the observation with a confirmed reboot.
func rebootConfirmed(o pool.Observation) pool.Observation {
	o.RebootConfirmed = true
	return o
}
