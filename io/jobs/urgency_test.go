package jobs

import (
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"siskincross/core/config"
	"siskincross/core/job"
	"siskincross/io/standin"
)

// urgentLimit is the time within which urgent jobs must start.
const urgentLimit = 8500 * time.Millisecond

const urgentHosts = 24

// withFullPool runs a test on a pool that is filled with long tasks of one team.
func withFullPool(t *testing.T, test func(f *fixture, a, b *Manager, crash func())) {
	t.Helper()
	withFixture(t, urgentHosts, func(f *fixture) {
		f.workers.behave = longTask
		f.teams = append(f.teams, config.Team{Name: "kunta/marking", Organisation: "kunta", Weight: 1, Slots: 1})
		a, crash := f.startManager("a")
		b, stop := f.startManager("b")
		defer stop()
		f.submitMany(a, submission(), urgentHosts*8)
		time.Sleep(2 * time.Minute)
		free := a.Status().Pools[0].FreeSlots
		f.is.True(free <= urgentHosts*6/20)
		test(f, a, b, crash)
	})
}

func urgentSubmission() Submission {
	s := submission()
	s.Team = "marking"
	s.Urgent = true
	s.Template = "marking"
	return s
}

// assertUrgentStarts asserts that all jobs start within urgentLimit and logs their waits.
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
			f.assertUrgentStarts("full pool", f.submitMany(a, urgentSubmission(), 60), begin)
		})
	})
	t.Run("submitted at another entry host", func(t *testing.T) {
		withFullPool(t, func(f *fixture, _, b *Manager, crash func()) {
			defer crash()
			begin := time.Now()
			f.assertUrgentStarts("other entry host", f.submitMany(b, urgentSubmission(), 60), begin)
		})
	})
	t.Run("through the holder's death", func(t *testing.T) {
		withFullPool(t, func(f *fixture, a, _ *Manager, crash func()) {
			begin := time.Now()
			ids := f.submitMany(a, urgentSubmission(), 20)
			crash()
			// Detecting the death of an entry host takes a few seconds.
			time.Sleep(4500 * time.Millisecond)
			f.assignDuty("b")
			f.assertUrgentStarts("holder's death", ids, begin)
		})
	})
	t.Run("through a store stall of 5 s", func(t *testing.T) {
		withFullPool(t, func(f *fixture, a, _ *Manager, crash func()) {
			defer crash()
			begin := time.Now()
			ids := f.submitMany(a, urgentSubmission(), 20)
			f.stallStore(5 * time.Second)
			f.assertUrgentStarts("store stall", ids, begin)
		})
	})
	t.Run("through a slow store", func(t *testing.T) {
		withFullPool(t, func(f *fixture, _, b *Manager, crash func()) {
			defer crash()
			f.table.SetFaults(standin.TableFaults{Delay: 300 * time.Millisecond})
			begin := time.Now()
			f.assertUrgentStarts("slow store", f.submitMany(b, urgentSubmission(), 5), begin)
		})
	})
}

// stallStore delays all calls of the table for d. Calls that begin in that time take their full delay even if
// it ends later.
func (f *fixture) stallStore(d time.Duration) {
	f.table.SetFaults(standin.TableFaults{Delay: d})
	time.Sleep(d)
	f.table.SetFaults(standin.TableFaults{})
}
