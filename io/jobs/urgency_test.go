package jobs

import (
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"siskincross/core/config"
	"siskincross/core/job"
	"siskincross/io/standin"
)

// urgentLimit is within which urgent work must start.
const urgentLimit = 8500 * time.Millisecond

const urgentHosts = 24

// withFullPool runs a test on a pool whose slots are all taken by long tasks of one team.
func withFullPool(t *testing.T, test func(f *fixture, a, b *Manager, crash func())) {
	t.Helper()
	withFixture(t, urgentHosts, func(f *fixture) {
		f.workers.behave = longTask
		f.teams = append(f.teams, config.Team{Name: "kunta/marking", Organisation: "kunta", Weight: 1, Slots: 1})
		a, crash := f.manager("a")
		b, stop := f.manager("b")
		defer stop()
		f.submitMany(a, submission(), urgentHosts*8)
		time.Sleep(2 * time.Minute)
		free := a.Status().Pools[0].FreeSlots
		f.is.True(free <= urgentHosts*6/20)
		test(f, a, b, crash)
	})
}

func urgent() Submission {
	s := submission()
	s.Team = "marking"
	s.Urgent = true
	s.Template = "marking"
	return s
}

// assertUrgentStarts asserts that all jobs start in time and logs their waits.
func (f *fixture) assertUrgentStarts(name string, ids []job.ID, begin time.Time) {
	f.t.Helper()
	time.Sleep(2 * urgentLimit)
	histogram := hdrhistogram.New(1, time.Minute.Milliseconds(), 3)
	starts := make(map[string]time.Time)
	for _, s := range f.workers.started() {
		if starts[s.spec.Job].IsZero() {
			starts[s.spec.Job] = s.at
		}
	}
	for _, id := range ids {
		at, ok := starts[string(id)]
		if !ok {
			f.t.Errorf("urgent job %s did not start: %+v", id, f.row(id))
			continue
		}
		f.is.NoErr(histogram.RecordValue(max(1, at.Sub(begin).Milliseconds())))
	}
	f.t.Logf("%s: %d urgent jobs, wait in ms: p50 %d, p90 %d, p99 %d, max %d", name, len(ids),
		histogram.ValueAtQuantile(50), histogram.ValueAtQuantile(90), histogram.ValueAtQuantile(99), histogram.Max())
	if waited := time.Duration(histogram.Max()) * time.Millisecond; waited > urgentLimit {
		f.t.Errorf("urgent work started after %v, want at most %v", waited, urgentLimit)
	}
}

func TestUrgentWorkStartsInTime(t *testing.T) {
	t.Run("through a full pool", func(t *testing.T) {
		withFullPool(t, func(f *fixture, a, _ *Manager, crash func()) {
			defer crash()
			begin := time.Now()
			f.assertUrgentStarts("full pool", f.submitMany(a, urgent(), 60), begin)
		})
	})
	t.Run("submitted at another entry host", func(t *testing.T) {
		withFullPool(t, func(f *fixture, _, b *Manager, crash func()) {
			defer crash()
			begin := time.Now()
			f.assertUrgentStarts("other entry host", f.submitMany(b, urgent(), 60), begin)
		})
	})
	t.Run("through the holder's death", func(t *testing.T) {
		withFullPool(t, func(f *fixture, a, _ *Manager, crash func()) {
			begin := time.Now()
			ids := f.submitMany(a, urgent(), 20)
			crash()
			// The fleet notices the death of an entry host within a few seconds.
			time.Sleep(4500 * time.Millisecond)
			f.hold("b")
			f.assertUrgentStarts("holder's death", ids, begin)
		})
	})
	t.Run("through a store stall of 5 s", func(t *testing.T) {
		withFullPool(t, func(f *fixture, a, _ *Manager, crash func()) {
			defer crash()
			begin := time.Now()
			ids := f.submitMany(a, urgent(), 20)
			f.stall(5 * time.Second)
			f.assertUrgentStarts("store stall", ids, begin)
		})
	})
	t.Run("through a slow store", func(t *testing.T) {
		withFullPool(t, func(f *fixture, _, b *Manager, crash func()) {
			defer crash()
			f.table.SetFaults(standin.TableFaults{Delay: 300 * time.Millisecond})
			begin := time.Now()
			f.assertUrgentStarts("slow store", f.submitMany(b, urgent(), 5), begin)
		})
	})
}

// stall makes the table answer nothing for a while; calls that began then wait for its whole length.
func (f *fixture) stall(d time.Duration) {
	f.table.SetFaults(standin.TableFaults{Delay: d})
	time.Sleep(d)
	f.table.SetFaults(standin.TableFaults{})
}
