package work_test

import (
	"testing"
	"time"

	"siskincross/core/work"
)

// newDoubtedFixture returns a pool that a new holder has taken while its only worker was down. The worker is back under its ID, may
// forget ends, and holds no lease any more.
func newDoubtedFixture(t *testing.T) *restartFixture {
	f := &restartFixture{fixture: newFixture(t)}
	f.scheduler = &work.Scheduler{Pool: "pool", Epoch: 20, Term: 1}
	f.scheduler.AddUnresolvedIncarnation(incarnation("a"), f.now)
	f.restart(longestLease)
	return f
}

// reportNext has the next incarnation of "a" answer a renewal.
func (f *restartFixture) reportNext(r work.Report) {
	f.now = f.now.Add(100 * time.Millisecond)
	f.answer(f.renew(laterIncarnation("a").Incarnation), f.now.Sub(start), r)
}

// TestProbeBesideStartedStep guards against a holder that ends by a fault of memory: steps without a task to start were dropped from the
// list of steps that probes are chosen from.
func TestProbeBesideStartedStep(t *testing.T) {
	f := newDoubtedFixture(t)
	f.scheduler.SetOrganisations(directoryOf([]sender{{name: "o", weight: 1}}))
	f.scheduler.UpdateWorkers([]work.WorkerInfo{laterIncarnation("a"), workerInfo("b")}, f.now)
	f.answerRenewal("b", work.Report{})
	started := chainJob("started", 4) // fills worker "b"
	started.Organisation = "o"
	f.submit(started)
	f.is.Equal(startCount(f.executeRound()), 4)
	waiting := chainJob("waiting", 1)
	waiting.Organisation = "o"
	waiting.Steps[0].RequiredLabel = "nowhere"
	f.submit(waiting)
	f.reportNext(work.Report{})
	f.assertNoStart(f.executeRound())
}
