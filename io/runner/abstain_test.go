package runner_test

import (
	"fmt"
	"testing"
	"time"

	"siskincross/core/event"
)

// TestRegainedStore guards against a cut-off holder that grants leases after its duty was taken, by a member that told it that the store
// is silent to it, and got the store back right after.
func TestRegainedStore(t *testing.T) {
	const roundInterval = 100 * time.Millisecond                                          // in which the event follows
	for phase := time.Duration(0); phase < time.Second; phase += 100 * time.Millisecond { // of renewals
		for lost := 1500 * time.Millisecond; lost <= 1700*time.Millisecond; lost += 100 * time.Millisecond {
			const outage = 1300 * time.Millisecond
			t.Run(fmt.Sprintf("%s after %s, %s later", outage, lost, phase), func(t *testing.T) {
				withRunningTasks(t, 7, func(s *fakeSite) {
					time.Sleep(phase)
					holder, others := s.splitHosts(6)
					s.store.withholdTable(holder[0], "queue-"+fakePool) // a poll on its way would tell that the duty isn't taken
					s.isolateBesideLinks("w0", holder...)
					time.AfterFunc(lost, func() { s.setSilent(others, true) })
					time.AfterFunc(lost+outage, func() { s.setSilent(others, false) })
					takenAt := s.awaitTakeover(lost + 12*time.Second) // it may come before the others lose the store
					s.is.True(!takenAt.IsZero())
					time.Sleep(4 * time.Second)
					if late := s.lastEvent(holder[0], event.WorkDutyUncertain).Sub(takenAt); late > roundInterval {
						t.Errorf("the former holder was certain of its duty until %s after it was taken", late)
					}
					if late := s.lastLease("w0").Sub(takenAt); late > 0 {
						t.Errorf("a lease was granted %s after the duty was taken", late)
					}
				})
			})
		}
	}
}

// awaitTakeover returns when the pool's duty was taken in a period, or the zero time if it wasn't.
func (s *fakeSite) awaitTakeover(period time.Duration) time.Time {
	term := s.term()
	for end := time.Now().Add(period); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if s.term() > term {
			return time.Now()
		}
	}
	return time.Time{}
}

// lastEvent returns when an entry host last recorded an event, to the millisecond, or the zero time if it didn't.
func (s *fakeSite) lastEvent(entryHost string, number event.Number) (at time.Time) {
	h := s.entryHosts[entryHost]
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, e := range h.events {
		if e.Number == number {
			at = time.UnixMilli(e.Time.WallMillis)
		}
	}
	return at
}

// lastLease returns when a worker was last sent a lease that is later than those before.
func (s *fakeSite) lastLease(worker string) time.Time {
	w := s.worker(worker)
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.leaseSentAt
}
