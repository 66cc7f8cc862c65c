package work_test

import (
	"testing"
	"time"

	"siskincross/core/work"
)

// stopRetryTime is longer than the time between two stop orders for one run.
const stopRetryTime = time.Second

// withEvacuation runs a test on a job of four long-running tasks, of which one may be unavailable. Two of them are on worker
// "a", which is withdrawn, and two on "b". All are reported at full pace.
func withEvacuation(t *testing.T, test func(f *fixture, a, b work.Report)) {
	t.Helper()
	f := newFixture(t)
	f.answerRenewal("a", work.Report{})
	f.answerRenewal("b", work.Report{})
	f.scheduler.AddJob(newLongRunningJob("j", 4), work.Progress{}, 11, false, f.now)
	started := f.executeRound()
	a, b := runningReport(started, "a"), runningReport(started, "b")
	f.is.Equal(len(a.Active), 2)
	f.is.Equal(len(b.Active), 2)
	f.answerRenewal("a", a)
	f.answerRenewal("b", b)
	f.scheduler.SetWithdrawn(map[string]bool{"a": true}, f.now)
	test(f, a, b)
}

// scheduleStops returns the stop orders of a round without processing their results.
func (f *fixture) scheduleStops() []work.Order { return stopOrders(f.scheduler.Schedule(f.now, f.now)) }

// failStop processes the result of a stop order that was not carried out, as far as is known.
func (f *fixture) failStop(o work.Order, outcome work.Outcome) {
	f.is.True(f.scheduler.HandleResult(o, work.OrderResult{Outcome: outcome}, f.now))
}

// TestUnansweredEvacuationStop guards against long-running tasks that are stopped for an evacuation although more of their
// step are away than the job tolerates, because a stop that was decided before is sent again.
func TestUnansweredEvacuationStop(t *testing.T) {
	outcomes := map[string]work.Outcome{"not sent": work.OutcomeNotSent, "unanswered": work.OutcomeUnknown, "refused by an unhealthy worker": work.OutcomeUnhealthy}
	for name, outcome := range outcomes {
		t.Run(name+" and others are away", func(t *testing.T) {
			withEvacuation(t, func(f *fixture, a, b work.Report) {
				stops := f.scheduleStops()
				f.is.Equal(len(stops), 1)
				f.failStop(stops[0], outcome)
				f.now = f.now.Add(stopRetryTime)
				f.answerRenewal("a", a)
				f.scheduler.HandleMissedRenewal(incarnation("b"), f.now)
				f.is.Equal(len(f.scheduleStops()), 0)
				f.answerRenewal("b", b)
				f.is.Equal(len(f.scheduleStops()), 1) // the others are back
			})
		})
		t.Run(name+" and the worker is no longer withdrawn", func(t *testing.T) {
			withEvacuation(t, func(f *fixture, a, b work.Report) {
				stops := f.scheduleStops()
				f.is.Equal(len(stops), 1)
				f.failStop(stops[0], outcome)
				f.now = f.now.Add(stopRetryTime)
				f.scheduler.SetWithdrawn(nil, f.now)
				f.answerRenewal("a", a)
				f.answerRenewal("b", b)
				f.is.Equal(len(f.scheduleStops()), 0)
			})
		})
		t.Run(name+" and another worker is withdrawn instead", func(t *testing.T) {
			withEvacuation(t, func(f *fixture, a, b work.Report) {
				stops := f.scheduleStops()
				f.is.Equal(len(stops), 1)
				f.failStop(stops[0], outcome)
				f.now = f.now.Add(stopRetryTime)
				f.scheduler.SetWithdrawn(map[string]bool{"b": true}, f.now)
				f.answerRenewal("a", a)
				f.answerRenewal("b", b)
				expected := 1
				if outcome == work.OutcomeUnknown {
					expected = 0 // the first stop may still be carried out
				}
				f.is.Equal(len(f.scheduleStops()), expected)
			})
		})
	}
	t.Run("evacuation goes on once the first stop can no longer be carried out", func(t *testing.T) {
		withEvacuation(t, func(f *fixture, a, b work.Report) {
			f.failStop(f.scheduleStops()[0], work.OutcomeUnknown)
			f.scheduler.SetWithdrawn(map[string]bool{"b": true}, f.now)
			for range 20 {
				f.now = f.now.Add(time.Second)
				f.answerRenewal("a", a)
				f.answerRenewal("b", b)
			}
			f.is.Equal(len(f.scheduleStops()), 1)
		})
	})
	t.Run("stop of a cancelled job is sent until it is answered", func(t *testing.T) {
		withEvacuation(t, func(f *fixture, a, b work.Report) {
			stops := f.scheduleStops()
			f.is.Equal(len(stops), 1)
			f.scheduler.CancelJob("j")
			f.failStop(stops[0], work.OutcomeUnknown)
			f.now = f.now.Add(stopRetryTime)
			stops = f.scheduleStops()
			f.is.Equal(len(stops), 4)
			for _, o := range stops {
				f.is.Equal(o.Reason, "") // the log no longer says that it is for an evacuation
			}
		})
	})
}

// renewUnanswered simulates a renewal without an answer.
func (f *fixture) renewUnanswered(id string) {
	_, ok := f.scheduler.PrepareRenewal(incarnation(id), 0, f.now)
	f.is.True(ok)
	f.scheduler.HandleMissedRenewal(incarnation(id), f.now)
}

// endLeaseAfterReport lets the lease of worker "b" run out after its last report. Renewals after an unanswered one grant no lease.
func (f *fixture) endLeaseAfterReport(a, b work.Report) {
	granted := f.now
	f.now = granted.Add(3900 * time.Millisecond)
	f.renewUnanswered("b")
	f.answerRenewal("a", a)
	f.is.Equal(f.answerRenewal("b", b).LeaseDeadline, time.Duration(0))
	f.now = granted.Add(5100 * time.Millisecond)
	f.answerRenewal("a", a)
}

// TestEvacuationWhileLeasesRunOut guards against long-running tasks that are stopped for an evacuation while others of their
// step end because their leases are not renewed in time.
func TestEvacuationWhileLeasesRunOut(t *testing.T) {
	t.Run("lease of others ends after their last report", func(t *testing.T) {
		withEvacuation(t, func(f *fixture, a, b work.Report) {
			f.endLeaseAfterReport(a, b)
			f.is.Equal(len(f.scheduleStops()), 0)
			f.answerRenewal("b", b)
			f.answerRenewal("b", b)
			f.is.Equal(len(f.scheduleStops()), 1) // the lease is renewed
		})
	})
	t.Run("lease of others is about to end", func(t *testing.T) {
		withEvacuation(t, func(f *fixture, a, b work.Report) {
			granted := f.now
			f.now = granted.Add(2400 * time.Millisecond)
			f.is.True(f.answerRenewal("a", a).LeaseDeadline > 0)
			f.now = granted.Add(4700 * time.Millisecond)
			f.renewUnanswered("b")
			f.is.True(f.answerRenewal("a", a).LeaseDeadline > 0)
			f.answerRenewal("b", b)
			f.is.Equal(len(f.scheduleStops()), 0)
		})
	})
	t.Run("start grants a lease after that of others has ended", func(t *testing.T) {
		withEvacuation(t, func(f *fixture, a, b work.Report) {
			f.endLeaseAfterReport(a, b)
			f.scheduler.AddJob(chainJob("k", 1), work.Progress{}, 11, false, f.now)
			orders := f.executeRound()
			f.is.Equal(len(orders), 1)
			f.is.Equal(orders[0].Incarnation.Worker, "b")
			f.is.Equal(len(f.scheduleStops()), 0)
		})
	})
	t.Run("earlier holder's lease may end at any time", func(t *testing.T) {
		f := newFixture(t)
		f.scheduler.AddUnresolvedIncarnation(incarnation("a"), f.now)
		f.scheduler.AddUnresolvedIncarnation(incarnation("b"), f.now)
		f.scheduler.AddJob(newLongRunningJob("j", 2), work.Progress{}, 5, true, f.now)
		first := work.Report{Active: []work.ActiveRun{{Run: runID("j", 0, 0, 1), SpeedPercent: 100}}}
		second := work.Report{Active: []work.ActiveRun{{Run: runID("j", 0, 1, 1), SpeedPercent: 100}}}
		f.answerRenewal("b", second) // grants no lease, as the worker's clock is not known yet
		f.now = f.now.Add(5 * shortDelay)
		f.renewUnanswered("b")
		f.answerRenewal("a", first)
		f.answerRenewal("a", first)
		f.answerRenewal("b", second)
		f.scheduler.SetWithdrawn(map[string]bool{"a": true}, f.now)
		f.is.Equal(len(f.scheduleStops()), 0)
		f.answerRenewal("b", second)
		f.is.Equal(len(f.scheduleStops()), 1)
	})
}

// answerRenewalLate simulates a renewal that the worker answers at once with this report, and whose answer is read after a delay.
func (f *fixture) answerRenewalLate(id string, r work.Report, wait, delay time.Duration) {
	renewal, ok := f.scheduler.PrepareRenewal(incarnation(id), wait, f.now)
	f.is.True(ok)
	r.WorkerClock = f.now.Sub(start) + time.Second
	f.now = f.now.Add(delay)
	f.scheduler.HandleReport(incarnation(id), renewal.Sequence, r, f.now)
}

// TestEvacuationOnReportReadLate guards against long-running tasks that are stopped for an evacuation while others of their
// step have ended since their last report, which a slow entry host read late.
func TestEvacuationOnReportReadLate(t *testing.T) {
	t.Run("report that is too old when it is read", func(t *testing.T) {
		withEvacuation(t, func(f *fixture, a, b work.Report) {
			f.answerRenewalLate("b", b, 2*time.Second, 1900*time.Millisecond)
			f.answerRenewal("a", a)
			f.is.Equal(len(f.scheduleStops()), 0)
			f.answerRenewal("b", b)
			f.is.Equal(len(f.scheduleStops()), 1)
		})
	})
	t.Run("report that becomes too old", func(t *testing.T) {
		withEvacuation(t, func(f *fixture, a, b work.Report) {
			f.answerRenewalLate("b", b, time.Second, time.Second)
			f.now = f.now.Add(time.Second)
			f.answerRenewal("a", a)
			f.is.Equal(len(f.scheduleStops()), 0)
		})
	})
	t.Run("report that the worker held back", func(t *testing.T) {
		withEvacuation(t, func(f *fixture, a, b work.Report) {
			renewal, ok := f.scheduler.PrepareRenewal(incarnation("b"), time.Second, f.now)
			f.is.True(ok)
			f.now = f.now.Add(time.Second)
			b.WorkerClock = f.now.Sub(start) + time.Second
			f.scheduler.HandleReport(incarnation("b"), renewal.Sequence, b, f.now)
			f.now = f.now.Add(time.Second)
			f.answerRenewal("a", a)
			f.is.Equal(len(f.scheduleStops()), 1)
		})
	})
}

// TestEvacuationStopHeldUpBeforeSending guards against long-running tasks that are stopped for an evacuation although more of
// their step are away than the job tolerates, by an order that a paused or slow entry host sends long after its decision.
func TestEvacuationStopHeldUpBeforeSending(t *testing.T) {
	withStop := func(t *testing.T, test func(f *fixture, a, b work.Report, stop work.Order)) {
		t.Helper()
		withEvacuation(t, func(f *fixture, a, b work.Report) {
			stops := f.scheduleStops()
			f.is.Equal(len(stops), 1)
			test(f, a, b, stops[0])
		})
	}
	t.Run("order is sent at once", func(t *testing.T) {
		withStop(t, func(f *fixture, a, b work.Report, stop work.Order) {
			f.is.True(f.scheduler.ConfirmOrder(stop, f.now))
			f.is.Equal(len(f.scheduleStops()), 0)
		})
	})
	t.Run("process was paused", func(t *testing.T) {
		withStop(t, func(f *fixture, a, b work.Report, stop work.Order) {
			f.now = f.now.Add(2 * time.Second)
			f.is.True(!f.scheduler.ConfirmOrder(stop, f.now))
			f.is.Equal(len(f.scheduleStops()), 0)
			f.answerRenewal("a", a)
			f.answerRenewal("b", b)
			f.answerRenewal("b", b)
			f.is.Equal(len(f.scheduleStops()), 1)
		})
	})
	t.Run("others fell silent meanwhile", func(t *testing.T) {
		withStop(t, func(f *fixture, a, b work.Report, stop work.Order) {
			f.scheduler.HandleMissedRenewal(incarnation("b"), f.now)
			f.is.True(!f.scheduler.ConfirmOrder(stop, f.now))
		})
	})
	t.Run("worker is no longer withdrawn", func(t *testing.T) {
		withStop(t, func(f *fixture, a, b work.Report, stop work.Order) {
			f.scheduler.SetWithdrawn(nil, f.now)
			f.is.True(!f.scheduler.ConfirmOrder(stop, f.now))
			f.now = f.now.Add(stopRetryTime)
			f.answerRenewal("a", a)
			f.answerRenewal("b", b)
			f.scheduler.SetWithdrawn(map[string]bool{"b": true}, f.now)
			f.is.Equal(len(f.scheduleStops()), 1) // the task that was not stopped counts as at work
		})
	})
	t.Run("job was cancelled meanwhile", func(t *testing.T) {
		withStop(t, func(f *fixture, a, b work.Report, stop work.Order) {
			f.scheduler.CancelJob("j")
			f.now = f.now.Add(2 * time.Second)
			f.is.True(f.scheduler.ConfirmOrder(stop, f.now))
		})
	})
}

// oddClock is a worker's clock in the test of odd clocks: reading returns what it shows in a round, given the time since the start.
type oddClock struct {
	reading func(round int, sinceStart time.Duration) time.Duration
	// age is that of a report which has to count as new.
	age time.Duration
}

// TestEvacuationWithOddClocks guards against evacuations that never begin because reports count as old: the clock of a worker is
// as slow as allowed, or has once been read far ahead.
func TestEvacuationWithOddClocks(t *testing.T) {
	const rounds = 120
	cases := map[string]oddClock{
		"slow clock": {func(_ int, d time.Duration) time.Duration { return time.Duration(0.98 * float64(d)) }, 500 * time.Millisecond},
		"one reading too high": {func(round int, d time.Duration) time.Duration {
			if round == 0 {
				return d + 10*time.Second
			}
			return d
		}, 300 * time.Millisecond},
	}
	for name, clock := range cases {
		t.Run(name, func(t *testing.T) {
			withEvacuation(t, func(f *fixture, a, b work.Report) {
				f.scheduler.SetWithdrawn(nil, f.now)
				for round := range rounds {
					f.holdBackReports(a, b, func(d time.Duration) time.Duration { return clock.reading(round, d) })
				}
				f.now = f.now.Add(clock.age)
				f.scheduler.SetWithdrawn(map[string]bool{"a": true}, f.now)
				f.is.Equal(len(f.scheduleStops()), 1)
			})
		})
	}
}

// holdBackReports simulates a renewal of both workers that is answered after a second, with these readings of their clocks.
func (f *fixture) holdBackReports(a, b work.Report, reading func(sinceStart time.Duration) time.Duration) {
	renewals := make(map[string]work.Renewal)
	for _, id := range []string{"a", "b"} {
		renewal, ok := f.scheduler.PrepareRenewal(incarnation(id), time.Second, f.now)
		f.is.True(ok)
		f.is.Equal(renewal.MaxWait, time.Second)
		renewals[id] = renewal
	}
	f.now = f.now.Add(time.Second)
	for id, r := range map[string]work.Report{"a": a, "b": b} {
		r.WorkerClock = reading(f.now.Sub(start)) + time.Second
		f.scheduler.HandleReport(incarnation(id), renewals[id].Sequence, r, f.now)
	}
}
