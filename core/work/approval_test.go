package work_test

import (
	"fmt"
	"testing"
	"time"

	"siskincross/core/work"
)

// advised is a job on a queue whose policy allows only some workers to run a step.
func advised(id work.ID, tasks ...int) work.Job {
	j := chain(id, tasks...)
	j.Advice = work.Advice{Decision: 10 * time.Millisecond, Each: time.Millisecond, Validity: 3 * time.Second}
	return j
}

// inquire answers all inquiries: the workers named have a ticket.
func (f *fixture) inquire(approved ...string) []work.Inquiry {
	list := f.board.Inquiries(f.now)
	for _, q := range list {
		a := work.Advised{Tickets: make(map[string]string)}
		for _, id := range approved {
			a.Tickets[id] = fmt.Sprintf("%s for %s", work.StepName(q.Job, q.Occurrence, q.Step), id)
		}
		f.board.Advised(q, a, f.now)
	}
	return list
}

func (f *fixture) assertStarts(orders []work.Order, worker string, n int) {
	f.is.Equal(len(orders), n)
	for _, o := range orders {
		f.is.Equal(o.Life.Worker, worker)
		f.is.Equal(o.Ticket, work.StepName(o.Run.Task.Job, o.Run.Task.Occurrence, o.Run.Task.Step)+" for "+worker)
	}
}

func TestAdvice(t *testing.T) {
	t.Run("steps start on approved workers, with their tickets", func(t *testing.T) {
		f := withPool(t, 3)
		f.board.Add(advised("j", 3, 1), work.Progress{}, 11, false, f.now)
		f.assertNoStart(f.orders())
		f.is.Equal(len(f.inquire("w01")), 1)
		orders := f.orders()
		f.assertStarts(orders, "w01", 3)
		f.is.Equal(len(f.inquire("w01")), 0) // the next step's turn has not come
		f.hear("w01", work.Report{Ends: []work.End{
			{Number: 1, Run: orders[0].Run}, {Number: 2, Run: orders[1].Run}, {Number: 3, Run: orders[2].Run},
		}})
		f.assertNoStart(f.orders())
		f.is.Equal(len(f.inquire("w01")), 1) // each step has an approval of its own
		f.assertStarts(f.orders(), "w01", 1)
	})
	t.Run("workers that may not run the step are not asked about again", func(t *testing.T) {
		f := withPool(t, 3)
		f.board.Add(advised("j", 1), work.Progress{}, 11, false, f.now)
		f.orders()
		f.is.Equal(len(f.inquire()), 1)
		for range 3 {
			f.now = f.now.Add(2 * time.Second)
			for i := range 3 {
				f.hear(fmt.Sprintf("w%02d", i), work.Report{})
			}
			f.assertNoStart(f.orders())
			f.inquire()
		}
		f.is.Equal(len(f.board.Inquiries(f.now)), 0)
	})
	t.Run("ticket that is over is asked for again", func(t *testing.T) {
		f := withPool(t, 2)
		f.board.Add(advised("j", 1), work.Progress{}, 11, false, f.now)
		f.orders()
		f.inquire("w00")
		f.now = f.now.Add(3 * time.Second)
		f.hear("w00", work.Report{})
		f.assertNoStart(f.orders())
		f.is.Equal(len(f.inquire("w00")), 1)
		f.assertStarts(f.orders(), "w00", 1)
	})
	t.Run("ticket that a worker refuses is asked for again", func(t *testing.T) {
		f := withPool(t, 2)
		f.board.Add(chain("j", 1), work.Progress{}, 11, false, f.now) // its queue needs approval since
		o := f.board.Orders(f.now, f.now)[0]
		f.board.Answered(o, work.Answer{Verdict: work.VerdictNoTicket}, f.now)
		f.now = f.now.Add(50 * time.Millisecond)
		f.assertNoStart(f.orders())
		f.is.Equal(len(f.inquire("w00")), 1)
		f.assertStarts(f.orders(), "w00", 1)
	})
	t.Run("policy service that does not answer is not pressed", func(t *testing.T) {
		f := withPool(t, 2)
		f.board.Add(advised("j", 1), work.Progress{}, 11, false, f.now)
		f.orders()
		for _, q := range f.board.Inquiries(f.now) {
			f.board.Advised(q, work.Advised{Failed: true}, f.now)
		}
		f.orders()
		f.is.Equal(len(f.inquire("w00")), 0)
		f.now = f.now.Add(200 * time.Millisecond)
		f.orders()
		f.is.Equal(len(f.inquire("w00")), 1)
		f.assertStarts(f.orders(), "w00", 1)
	})
	t.Run("answer for a job that was cancelled meanwhile is dropped", func(t *testing.T) {
		f := withPool(t, 2)
		f.board.Add(advised("j", 1), work.Progress{}, 11, false, f.now)
		f.orders()
		q := f.board.Inquiries(f.now)[0]
		f.board.Cancel("j")
		f.board.Advised(q, work.Advised{Tickets: map[string]string{"w00": "x"}}, f.now)
		f.assertNoStart(f.orders())
	})
	// Many steps wait and the service answers one call at a time.
	t.Run("burst of steps keeps few calls waiting, most urgent first", func(t *testing.T) {
		f := withPool(t, 4)
		for i := range 20 {
			j := advised(work.ID(fmt.Sprintf("j%02d", i)), 1)
			j.Priority = 20 - i
			f.board.Add(j, work.Progress{}, 11, false, f.now)
		}
		f.orders()
		list := f.board.Inquiries(f.now)
		f.is.Equal(len(list), 2)
		f.is.Equal(list[0].Job, work.ID("j19"))
		f.orders()
		f.is.Equal(len(f.board.Inquiries(f.now)), 0)
	})
	t.Run("an inquiry names as many workers as the tasks need", func(t *testing.T) {
		f := withPool(t, 20)
		f.board.Add(advised("j", 2), work.Progress{}, 11, false, f.now)
		f.orders()
		list := f.board.Inquiries(f.now)
		f.is.True(len(list[0].Workers) >= 2)
		f.is.True(len(list[0].Workers) < 8) // each has room for four tasks, and half of them are expected to be approved
	})
}
