package work_test

import (
	"fmt"
	"testing"
	"time"

	"siskincross/core/work"
)

// approvalJob returns a job of a queue whose policy service approves only some workers for a step.
func approvalJob(id work.JobID, tasks ...int) work.Job {
	j := chainJob(id, tasks...)
	j.PolicyService = work.PolicyService{CallDuration: 10 * time.Millisecond, DurationPerWorker: time.Millisecond, TicketValidity: 3 * time.Second}
	return j
}

// approveWorkers answers all approval requests with tickets for the given workers.
func (f *fixture) approveWorkers(approved ...string) []work.ApprovalRequest {
	list := f.scheduler.NextApprovalRequests(f.now)
	for _, q := range list {
		a := work.ApprovalResponse{Tickets: make(map[string]string)}
		for _, id := range approved {
			a.Tickets[id] = fmt.Sprintf("%s for %s", work.StepID(q.Job, q.Occurrence, q.Step), id)
		}
		f.scheduler.HandleApprovals(q, a, f.now)
	}
	return list
}

func (f *fixture) assertStarts(orders []work.Order, worker string, n int) {
	f.is.Equal(len(orders), n)
	for _, o := range orders {
		f.is.Equal(o.Incarnation.Worker, worker)
		f.is.Equal(o.Ticket, work.StepID(o.Run.Task.Job, o.Run.Task.Occurrence, o.Run.Task.Step)+" for "+worker)
	}
}

func TestAdvice(t *testing.T) {
	t.Run("steps start on approved workers, with their tickets", func(t *testing.T) {
		f := newPoolFixture(t, 3)
		f.scheduler.AddJob(approvalJob("j", 3, 1), work.Progress{}, 11, false, f.now)
		f.assertNoStart(f.executeRound())
		f.is.Equal(len(f.approveWorkers("w01")), 1)
		orders := f.executeRound()
		f.assertStarts(orders, "w01", 3)
		f.is.Equal(len(f.approveWorkers("w01")), 0) // the next step is not active yet
		f.answerRenewal("w01", work.Report{Ends: []work.RunEnd{
			{Number: 1, Run: orders[0].Run}, {Number: 2, Run: orders[1].Run}, {Number: 3, Run: orders[2].Run},
		}})
		f.assertNoStart(f.executeRound())
		f.is.Equal(len(f.approveWorkers("w01")), 1) // each step has its own approval
		f.assertStarts(f.executeRound(), "w01", 1)
	})
	t.Run("workers that may not run the step are not asked about again", func(t *testing.T) {
		f := newPoolFixture(t, 3)
		f.scheduler.AddJob(approvalJob("j", 1), work.Progress{}, 11, false, f.now)
		f.executeRound()
		f.is.Equal(len(f.approveWorkers()), 1)
		for range 3 {
			f.now = f.now.Add(2 * time.Second)
			for i := range 3 {
				f.answerRenewal(fmt.Sprintf("w%02d", i), work.Report{})
			}
			f.assertNoStart(f.executeRound())
			f.approveWorkers()
		}
		f.is.Equal(len(f.scheduler.NextApprovalRequests(f.now)), 0)
	})
	t.Run("expired ticket is requested again", func(t *testing.T) {
		f := newPoolFixture(t, 2)
		f.scheduler.AddJob(approvalJob("j", 1), work.Progress{}, 11, false, f.now)
		f.executeRound()
		f.approveWorkers("w00")
		f.now = f.now.Add(3 * time.Second)
		f.answerRenewal("w00", work.Report{})
		f.assertNoStart(f.executeRound())
		f.is.Equal(len(f.approveWorkers("w00")), 1)
		f.assertStarts(f.executeRound(), "w00", 1)
	})
	t.Run("ticket that a worker refuses is requested again", func(t *testing.T) {
		f := newPoolFixture(t, 2)
		f.scheduler.AddJob(chainJob("j", 1), work.Progress{}, 11, false, f.now) // the queue needs approval only since the job was accepted
		o := f.scheduler.Schedule(f.now, f.now)[0]
		f.scheduler.HandleResult(o, work.OrderResult{Outcome: work.OutcomeNoTicket}, f.now)
		f.now = f.now.Add(50 * time.Millisecond)
		f.assertNoStart(f.executeRound())
		f.is.Equal(len(f.approveWorkers("w00")), 1)
		f.assertStarts(f.executeRound(), "w00", 1)
	})
	t.Run("policy service that does not answer is called again only after a delay", func(t *testing.T) {
		f := newPoolFixture(t, 2)
		f.scheduler.AddJob(approvalJob("j", 1), work.Progress{}, 11, false, f.now)
		f.executeRound()
		for _, q := range f.scheduler.NextApprovalRequests(f.now) {
			f.scheduler.HandleApprovals(q, work.ApprovalResponse{Failed: true}, f.now)
		}
		f.executeRound()
		f.is.Equal(len(f.approveWorkers("w00")), 0)
		f.now = f.now.Add(200 * time.Millisecond)
		f.executeRound()
		f.is.Equal(len(f.approveWorkers("w00")), 1)
		f.assertStarts(f.executeRound(), "w00", 1)
	})
	t.Run("answer for a job that was cancelled meanwhile is ignored", func(t *testing.T) {
		f := newPoolFixture(t, 2)
		f.scheduler.AddJob(approvalJob("j", 1), work.Progress{}, 11, false, f.now)
		f.executeRound()
		q := f.scheduler.NextApprovalRequests(f.now)[0]
		f.scheduler.CancelJob("j")
		f.scheduler.HandleApprovals(q, work.ApprovalResponse{Tickets: map[string]string{"w00": "x"}}, f.now)
		f.assertNoStart(f.executeRound())
	})
	// Many steps wait, and the policy service processes one call at a time.
	t.Run("burst of steps causes few concurrent calls, most urgent first", func(t *testing.T) {
		f := newPoolFixture(t, 4)
		for i := range 20 {
			j := approvalJob(work.JobID(fmt.Sprintf("j%02d", i)), 1)
			j.Priority = 20 - i
			f.scheduler.AddJob(j, work.Progress{}, 11, false, f.now)
		}
		f.executeRound()
		list := f.scheduler.NextApprovalRequests(f.now)
		f.is.Equal(len(list), 2)
		f.is.Equal(list[0].Job, work.JobID("j19"))
		f.executeRound()
		f.is.Equal(len(f.scheduler.NextApprovalRequests(f.now)), 0)
	})
	t.Run("request names as many workers as the tasks need", func(t *testing.T) {
		f := newPoolFixture(t, 20)
		f.scheduler.AddJob(approvalJob("j", 2), work.Progress{}, 11, false, f.now)
		f.executeRound()
		list := f.scheduler.NextApprovalRequests(f.now)
		f.is.True(len(list[0].Workers) >= 2)
		f.is.True(len(list[0].Workers) < 8) // each worker has room for four tasks, and half of the workers are expected to be approved
	})
}
