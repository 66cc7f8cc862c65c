package runner

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestHostsStateAfterSuspension guards against orders to hosts that rest on the pools' needs from before a suspension of the machine.
func TestHostsStateAfterSuspension(t *testing.T) {
	// suspend returns a process that knew the pools' needs when its machine was suspended.
	suspend := func(is *is.I) *Manager {
		suspended := time.Duration(0)
		m := &Manager{MemberName: "a", SuspendedTime: func() time.Duration { return suspended }}
		m.init()
		m.noticeSuspension()
		time.Sleep(time.Second)
		m.advanceHostsSnapshotTime(time.Now())
		is.True(!m.hostsStateOutdated(time.Now()))
		suspended += 10 * time.Second
		time.Sleep(time.Millisecond)
		return m
	}
	t.Run("that was noticed", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			m := suspend(is)
			m.noticeSuspension()
			is.True(m.hostsStateOutdated(time.Now()))
		})
	})
	t.Run("that is noticed by the next decision", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			is.True(suspend(is).hostsStateOutdated(time.Now()))
		})
	})
	t.Run("until they are read again", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			m := suspend(is)
			m.noticeSuspension()
			m.advanceHostsSnapshotTime(time.Now())
			is.True(!m.hostsStateOutdated(time.Now()))
		})
	})
}
