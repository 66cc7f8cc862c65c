package work_test

import (
	"testing"
	"time"

	"siskincross/core/work"
)

// tailTarget is the bound of the serving task's response times.
const tailTarget = 100 * time.Millisecond

// withFilling is a board with one worker, on which a task with a target serves and another one fills.
func withFilling(t *testing.T) (f *fixture, serving, filling work.RunID) {
	f = withPool(t, 1)
	serve, fill := chain("serve", 1), chain("fill", 1)
	serve.Steps[0].LongRunning, serve.Steps[0].TailLatencyTarget = true, tailTarget
	fill.Steps[0].BestEffort, fill.Steps[0].LongRunning = true, true
	f.board.AddJob(serve, work.Progress{}, 11, false, f.now)
	f.board.AddJob(fill, work.Progress{}, 11, false, f.now)
	f.is.Equal(len(f.orders()), 2)
	return f, run("serve", 0, 0, 1), run("fill", 0, 0, 1)
}

// tail reports the serving task's tail after a time and returns the paces that are told then.
func (f *fixture) tail(after time.Duration, millis int) []int {
	f.now = f.now.Add(after)
	var active []work.ActiveRun
	for _, r := range f.running["w00"] {
		active = append(active, work.ActiveRun{Run: r.run, SpeedPercent: 100, Load: millis})
	}
	f.hear("w00", work.Report{Active: active})
	var paces []int
	for _, o := range f.orders() {
		if o.Kind == work.OrderPace {
			paces = append(paces, o.SpeedPercent)
		}
	}
	return paces
}

func TestPace(t *testing.T) {
	t.Run("filling work is halted within three looks while a serving task beside it misses its target", func(t *testing.T) {
		f, _, _ := withFilling(t)
		f.is.Equal(len(f.tail(time.Second, 60)), 0)
		f.is.Equal(f.tail(time.Second, 140), []int{35})
		f.is.Equal(len(f.tail(100*time.Millisecond, 140)), 0) // the figure is older than the change
		f.is.Equal(f.tail(time.Second, 120), []int{12})
		f.is.Equal(f.tail(time.Second, 101), []int{0})
	})
	t.Run("it is hastened in small steps once the tail is well below the target", func(t *testing.T) {
		f, _, _ := withFilling(t)
		f.is.Equal(f.tail(time.Second, 140), []int{35})
		f.is.Equal(len(f.tail(time.Second, 90)), 0)
		f.is.Equal(f.tail(time.Second, 50), []int{45})
		for _, want := range []int{55, 65, 75, 85, 95, 100} {
			f.is.Equal(f.tail(time.Second, 50), []int{want})
		}
		f.is.Equal(len(f.tail(time.Second, 50)), 0)
	})
	t.Run("order that gets no answer is repeated, and a slow pace is told again after a while", func(t *testing.T) {
		f, _, filling := withFilling(t)
		f.now = f.now.Add(time.Second)
		f.hear("w00", work.Report{Active: []work.ActiveRun{
			{Run: run("serve", 0, 0, 1), SpeedPercent: 100, Load: 140}, {Run: filling, SpeedPercent: 100},
		}})
		o := f.board.Schedule(f.now, f.now)[0]
		f.is.Equal(o.Kind, work.OrderPace)
		f.is.Equal(len(f.board.Schedule(f.now, f.now)), 0)
		f.board.HandleResult(o, work.OrderResult{Outcome: work.OutcomeUnknown}, f.now)
		f.is.Equal(len(f.board.Schedule(f.now, f.now)), 0)
		f.is.Equal(f.tail(400*time.Millisecond, 90), []int{35})
		f.is.Equal(len(f.tail(time.Second, 90)), 0)
		f.is.Equal(f.tail(time.Second, 90), []int{35})
	})
	t.Run("task that begins to fill is slowed like those beside it", func(t *testing.T) {
		f, _, _ := withFilling(t)
		f.is.Equal(f.tail(time.Second, 140), []int{35})
		more := chain("more", 1)
		more.Steps[0].BestEffort = true
		f.board.AddJob(more, work.Progress{}, 12, false, f.now)
		f.orders()
		f.is.Equal(f.tail(100*time.Millisecond, 90), []int{35})
	})
	t.Run("next holder tells the pace to what it finds", func(t *testing.T) {
		f, serving, filling := withFilling(t)
		next := &work.Scheduler{Pool: "pool", Epoch: 11, Term: 1}
		next.UpdateWorkers([]work.WorkerInfo{listing("w00")}, f.now)
		for _, id := range []work.JobID{"serve", "fill"} {
			j := chain(id, 1)
			j.Steps[0].LongRunning, j.Steps[0].BestEffort = true, id == "fill"
			next.AddJob(j, work.Progress{}, 5, true, f.now)
		}
		renewal, ok := next.PrepareRenewal(life("w00"), 0, f.now)
		f.is.True(ok)
		next.HandleReport(life("w00"), renewal.Sequence, work.Report{WorkerClock: time.Second, Active: []work.ActiveRun{
			{Run: serving, SpeedPercent: 100}, {Run: filling, SpeedPercent: 100},
		}}, f.now)
		orders := next.Schedule(f.now, f.now)
		f.is.Equal(len(orders), 1)
		f.is.Equal(orders[0].Kind, work.OrderPace)
		f.is.Equal(orders[0].SpeedPercent, 100)
	})
	t.Run("work that fills is spread", func(t *testing.T) {
		f := withPool(t, 4)
		fill := chain("fill", 4)
		fill.Steps[0].BestEffort = true
		f.board.AddJob(fill, work.Progress{}, 11, false, f.now)
		f.orders()
		f.is.Equal(len(f.running), 4)
	})
}
