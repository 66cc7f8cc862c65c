package work_test

import (
	"testing"
	"time"

	"siskincross/core/work"
)

// restartFixture is a pool whose worker "a" runs tasks, and starts again under its ID.
type restartFixture struct {
	*fixture
	// ends counts the ends that the incarnation has listed.
	ends int
}

func newRestartFixture(t *testing.T) *restartFixture {
	f := &restartFixture{fixture: newFixture(t)}
	f.scheduler.UpdateWorkers([]work.WorkerInfo{workerInfo("a")}, f.now)
	f.answerRenewal("a", work.Report{})
	return f
}

// endTask has a task run on worker "a" and its end listed and stored. The next renewal acknowledges it.
func (f *restartFixture) endTask() {
	f.ends++
	f.submit(chainJob(work.JobID(rune('a'+f.ends)), 1))
	orders := f.executeRound()
	f.is.Equal(len(orders), 1)
	f.answerRenewal("a", f.lastEnd(orders[0].Run))
	changes := f.scheduler.BeginCommit(10)
	f.scheduler.CompleteCommit(changes, uint64(20+f.ends))
}

// lastEnd returns a report that lists the last end alone.
func (f *restartFixture) lastEnd(run work.RunID) work.Report {
	return work.Report{Ends: []work.RunEnd{{Number: uint64(f.ends), Run: run, Reason: work.EndReasonDone}}}
}

// renew prepares a renewal of an incarnation.
func (f *restartFixture) renew(inc work.Incarnation) work.Renewal {
	f.now = f.now.Add(10 * time.Millisecond)
	renewal, ok := f.scheduler.PrepareRenewal(inc, time.Second, f.now)
	f.is.True(ok)
	return renewal
}

// answer passes a report of an incarnation to the scheduler. Clock is the age of the incarnation.
func (f *restartFixture) answer(renewal work.Renewal, clock time.Duration, r work.Report) {
	r.WorkerClock = clock
	f.scheduler.HandleReport(renewal.Incarnation, renewal.Sequence, r, f.now)
}

// missAcknowledgement sends a renewal that acknowledges an end and gets no answer.
func (f *restartFixture) missAcknowledgement() {
	renewal := f.renew(incarnation("a"))
	f.is.Equal(renewal.AcknowledgedEnd, uint64(f.ends))
	f.scheduler.HandleMissedRenewal(incarnation("a"), f.now)
}

// restart lists the next incarnation of "a", which reports for the given time.
func (f *restartFixture) restart(d time.Duration) {
	next := laterIncarnation("a")
	f.scheduler.UpdateWorkers([]work.WorkerInfo{next}, f.now)
	for age := time.Duration(0); age <= d; age += 100 * time.Millisecond {
		f.now = f.now.Add(100 * time.Millisecond)
		f.answer(f.renew(next.Incarnation), age+time.Second, work.Report{})
	}
}

// longestLease is longer than the longest lease of a worker by the local clock.
const longestLease = 6500 * time.Millisecond

// TestAcknowledgementsWhereNeeded guards against a restarted worker that forgets its first ends: the renewals that were meant for its
// former incarnation acknowledged ends though that had forgotten them already.
func TestAcknowledgementsWhereNeeded(t *testing.T) {
	t.Run("an end is acknowledged until a report lacks it", func(t *testing.T) {
		f := newRestartFixture(t)
		f.endTask()
		f.is.Equal(f.answerRenewal("a", work.Report{}).AcknowledgedEnd, uint64(1))
		for range 3 {
			f.is.Equal(f.answerRenewal("a", work.Report{}).AcknowledgedEnd, uint64(0))
		}
	})
	t.Run("the worker answers an acknowledgement at once", func(t *testing.T) {
		f := newRestartFixture(t)
		f.endTask()
		f.is.Equal(f.renew(incarnation("a")).MaxWait, time.Duration(0))
	})
	t.Run("a worker that doesn't answer is told to forget nothing", func(t *testing.T) {
		f := newRestartFixture(t)
		f.endTask()
		f.missAcknowledgement()
		f.is.Equal(f.renew(incarnation("a")).AcknowledgedEnd, uint64(0))
	})
	t.Run("nor is one whose next incarnation is known", func(t *testing.T) {
		f := newRestartFixture(t)
		f.endTask()
		f.scheduler.ReplaceIncarnation(incarnation("a"), laterIncarnation("a").Incarnation.StartMillis, f.now)
		renewal, _ := f.scheduler.PrepareRenewal(incarnation("a"), 0, f.now) // it may be forgotten already
		f.is.Equal(renewal.AcknowledgedEnd, uint64(0))
	})
	t.Run("an acknowledgement waits for the report of a started run", func(t *testing.T) {
		f := newRestartFixture(t)
		f.endTask()
		f.submit(chainJob("z", 1))
		started := f.executeRound()
		f.is.Equal(len(started), 1)
		report := work.Report{Active: []work.ActiveRun{{Run: started[0].Run}}, Ends: f.lastEnd(runID("b", 0, 0, 1)).Ends}
		f.is.Equal(f.answerRenewal("a", report).AcknowledgedEnd, uint64(0))
		f.is.Equal(f.answerRenewal("a", report).AcknowledgedEnd, uint64(1))
	})
	t.Run("but not for longer than a start without an answer may be carried out", func(t *testing.T) {
		f := newRestartFixture(t)
		f.endTask()
		listed := f.lastEnd(runID("b", 0, 0, 1))
		f.submit(chainJob("z", 1))
		started := f.scheduler.Schedule(f.now, f.now)
		f.is.Equal(len(started), 1)
		f.answerOrder(started[0], work.OutcomeUnknown)
		for _, o := range f.scheduler.Schedule(f.now, f.now) {
			f.answerOrder(o, work.OutcomeUnknown)
		}
		waited := 0
		for begin := f.now; f.answerRenewal("a", listed).AcknowledgedEnd == 0; waited++ {
			f.is.True(f.now.Sub(begin) < 20*time.Second)
			f.now = f.now.Add(500 * time.Millisecond)
			for _, o := range f.scheduler.Schedule(f.now, f.now) {
				f.answerOrder(o, work.OutcomeUnhealthy) // a worker that refuses all orders stops nothing
			}
		}
		f.is.True(waited > 0)
	})
	t.Run("nothing starts on a worker beside an acknowledgement", func(t *testing.T) {
		f := newRestartFixture(t)
		f.endTask()
		renewal := f.renew(incarnation("a"))
		f.submit(chainJob("z", 1))
		f.assertNoStart(f.scheduler.Schedule(f.now, f.now))
		f.answer(renewal, f.now.Sub(start)+time.Second, work.Report{})
		f.is.Equal(len(f.executeRound()), 1)
	})
}

// TestEndsOfNextIncarnation guards against a task that runs again after its end was acknowledged: an acknowledgement to the former
// incarnation got no answer, the next one has carried it out, and forgets the end of the task before it lists it.
func TestEndsOfNextIncarnation(t *testing.T) {
	assertLease := func(f *restartFixture, orders []work.Order, short bool) work.Order {
		f.is.Equal(len(orders), 1)
		f.is.Equal(orders[0].Kind, work.OrderStart)
		f.is.Equal(orders[0].LeaseDeadline < longestLease+2*time.Second, short)
		return orders[0]
	}
	// unanswered returns a pool whose worker has started again after two acknowledgements without an answer, and reported for a time.
	unanswered := func(t *testing.T, reportsFor time.Duration) *restartFixture {
		f := newRestartFixture(t)
		f.endTask()
		f.answerRenewal("a", work.Report{})
		f.endTask()
		f.missAcknowledgement()
		f.restart(reportsFor)
		f.submit(chainJob("z", 1))
		return f
	}
	inc := laterIncarnation("a").Incarnation
	t.Run("no task starts while the worker may hold a lease", func(t *testing.T) {
		f := unanswered(t, time.Second)
		f.assertNoStart(f.scheduler.Schedule(f.now, f.now))
	})
	t.Run("then one starts as a probe", func(t *testing.T) {
		f := unanswered(t, longestLease)
		probe := assertLease(f, f.executeRound(), true)
		f.is.True(f.renew(inc).LeaseDeadline == 0)
		f.assertNoStart(f.scheduler.Schedule(f.now, f.now))
		t.Run("whose end is listed, so that tasks start as usual", func(t *testing.T) {
			lapsed := work.RunEnd{Number: 1, Run: probe.Run, Reason: work.EndReasonLapsed}
			f.answer(f.renew(inc), longestLease+1200*time.Millisecond, work.Report{Ends: []work.RunEnd{lapsed}})
			started := f.executeRound()
			f.is.Equal(len(started), 1)
			f.is.True(f.renew(inc).LeaseDeadline > 0)
		})
	})
	t.Run("a probe whose end is forgotten is followed by others", func(t *testing.T) {
		f := unanswered(t, longestLease)
		assertLease(f, f.executeRound(), true)
		f.answer(f.renew(inc), longestLease+1200*time.Millisecond, work.Report{})
		assertLease(f, f.executeRound(), true)
		t.Run("until as many ends are forgotten as may be", func(t *testing.T) {
			f.answer(f.renew(inc), longestLease+1400*time.Millisecond, work.Report{})
			started := f.executeRound()
			f.is.Equal(len(started), 1)
			f.is.True(f.renew(inc).LeaseDeadline > 0)
		})
	})
	t.Run("tasks start at once if every acknowledgement was answered", func(t *testing.T) {
		f := newRestartFixture(t)
		f.endTask()
		f.answerRenewal("a", work.Report{})
		f.restart(0)
		f.submit(chainJob("z", 1))
		f.is.Equal(len(f.executeRound()), 1)
	})
	t.Run("or if one without an answer has shown to be carried out", func(t *testing.T) {
		f := newRestartFixture(t)
		f.endTask()
		f.missAcknowledgement()
		f.answerRenewal("a", work.Report{})
		f.restart(0)
		f.submit(chainJob("z", 1))
		f.is.Equal(len(f.executeRound()), 1)
	})
	t.Run("or if it was not sent", func(t *testing.T) {
		f := newRestartFixture(t)
		f.endTask()
		f.renew(incarnation("a"))
		f.scheduler.HandleUnsentRenewal(incarnation("a"), f.now)
		f.restart(0)
		f.submit(chainJob("z", 1))
		f.is.Equal(len(f.executeRound()), 1)
	})
	t.Run("one that can still be carried out keeps tasks off the incarnation that was meant, too", func(t *testing.T) {
		f := newRestartFixture(t)
		f.endTask()
		f.missAcknowledgement()
		report := f.lastEnd(runID("b", 0, 0, 1))
		f.answerRenewal("a", report)
		f.submit(chainJob("z", 1))
		f.assertNoStart(f.scheduler.Schedule(f.now, f.now))
		f.now = f.now.Add(16 * time.Second)
		f.answerRenewal("a", report)
		f.is.Equal(len(f.executeRound()), 1)
	})
}

// TestEndsOfNextIncarnationAfterTakeover guards against the same where an earlier holder sent the acknowledgement.
func TestEndsOfNextIncarnationAfterTakeover(t *testing.T) {
	takeOver := func(t *testing.T, roster, unsettled []work.Incarnation) *restartFixture {
		f := &restartFixture{fixture: newFixture(t)}
		f.scheduler = &work.Scheduler{Pool: "pool", Epoch: 20, Term: 1}
		for _, inc := range unsettled {
			f.scheduler.AddUnsettledIncarnation(inc, f.now)
		}
		for _, inc := range roster {
			f.scheduler.AddUnresolvedIncarnation(inc, f.now)
		}
		f.restart(longestLease)
		f.submit(chainJob("z", 1))
		return f
	}
	former, next := incarnation("a"), laterIncarnation("a").Incarnation
	for name, c := range map[string]struct {
		roster, unsettled []work.Incarnation
		probe             bool
	}{
		"the earlier holder knew the former incarnation only":   {[]work.Incarnation{former}, nil, true},
		"it knew the next one":                                  {[]work.Incarnation{next}, nil, false},
		"it knew both":                                          {[]work.Incarnation{former, next}, nil, false},
		"it knew both and had unanswered calls to the former":   {[]work.Incarnation{former, next}, []work.Incarnation{former}, true},
		"it knew the next and had unanswered calls to a former": {[]work.Incarnation{next}, []work.Incarnation{former}, true},
		"it knew neither":                                       {nil, nil, false},
	} {
		t.Run(name, func(t *testing.T) {
			f := takeOver(t, c.roster, c.unsettled)
			orders := f.executeRound()
			f.is.Equal(len(orders), 1)
			f.is.Equal(f.renew(next).LeaseDeadline == 0, c.probe)
		})
	}
	t.Run("the next holder is told what is unsettled", func(t *testing.T) {
		f := takeOver(t, []work.Incarnation{former}, nil)
		f.is.Equal(f.scheduler.UnsettledIncarnations(nil, f.now), []work.Incarnation{former})
		probe := f.executeRound()
		f.is.Equal(len(probe), 1)
		f.answer(f.renew(next), 10*time.Second, work.Report{Ends: []work.RunEnd{{Number: 1, Run: probe[0].Run, Reason: work.EndReasonLapsed}}})
		f.is.Equal(len(f.scheduler.UnsettledIncarnations(nil, f.now)), 0)
	})
	t.Run("and which incarnation precedes one that isn't known yet", func(t *testing.T) {
		f := newRestartFixture(t)
		roster := map[work.Incarnation]bool{former: true, next: true, incarnation("b"): true}
		f.is.Equal(f.scheduler.UnsettledIncarnations(roster, f.now), []work.Incarnation{former})
		f.restart(0)
		f.is.Equal(len(f.scheduler.UnsettledIncarnations(roster, f.now)), 0)
	})
	t.Run("a start that arrives late has the next probe last longer", func(t *testing.T) {
		f := takeOver(t, []work.Incarnation{former}, nil)
		last := time.Duration(0)
		for i := range 3 {
			clock := longestLease + time.Duration(2+i)*time.Second
			f.answer(f.renew(next), clock, work.Report{})
			probe := f.scheduler.Schedule(f.now, f.now)
			f.is.Equal(len(probe), 1)
			f.is.True(probe[0].LeaseDeadline-clock > last)
			last = probe[0].LeaseDeadline - clock
			f.is.True(last < time.Second)
			f.answerOrder(probe[0], work.OutcomeLate)
			f.now = f.now.Add(time.Second)
		}
	})
	t.Run("what no incarnation shows is forgotten", func(t *testing.T) {
		f := &restartFixture{fixture: newFixture(t)}
		f.scheduler.AddUnsettledIncarnation(incarnation("gone"), f.now)
		f.is.Equal(len(f.scheduler.UnsettledIncarnations(nil, f.now.Add(time.Minute))), 1)
		f.is.Equal(len(f.scheduler.UnsettledIncarnations(nil, f.now.Add(2*time.Minute))), 0)
	})
}
