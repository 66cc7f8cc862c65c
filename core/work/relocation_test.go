package work_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"siskincross/core/work"
)

// haltedPool is a pool in which a serving task misses its target as long as its worker runs a best-effort task.
type haltedPool struct {
	*fixture
	workers int
	pace    map[work.RunID]int
	// stops holds the times of the stop orders since the start of the test.
	stops []time.Duration
	began time.Time
	// losesStops is true while stop orders are not carried out and get no answer.
	losesStops bool
}

// newHaltedPool returns a pool of workers with a serving task each, this number of which also run a best-effort task of a step.
func newHaltedPool(t *testing.T, workers, bestEffort int, fill work.Step) *haltedPool {
	p := &haltedPool{fixture: newPoolFixture(t, workers), workers: workers, pace: make(map[work.RunID]int)}
	p.scheduler.LearnInterference(true)
	serve := chainJob("serve", workers)
	serve.Steps[0].LongRunning, serve.Steps[0].TailLatencyTarget, serve.Steps[0].SpreadLimit = true, tailLatencyTarget, 1
	p.scheduler.AddJob(serve, work.Progress{}, 11, false, p.now)
	p.executeRound()
	fill.BestEffort, fill.TaskCount = true, bestEffort
	p.scheduler.AddJob(work.Job{ID: "fill", Steps: []work.Step{fill}}, work.Progress{}, 11, false, p.now)
	p.executeRound()
	p.began = p.now
	return p
}

func isFill(r startedRun) bool { return r.id.Task.Job == "fill" }

// play has the workers report and carry out orders for a while.
func (p *haltedPool) play(d time.Duration, disturbs bool) {
	for end := p.now.Add(d); p.now.Before(end); {
		p.now = p.now.Add(500 * time.Millisecond)
		for i := range p.workers {
			w := fmt.Sprintf("w%02d", i)
			load := 50
			if disturbs && slices.ContainsFunc(p.runningByWorker[w], isFill) {
				load = 140
			}
			report := work.Report{Ends: p.endsByWorker[w]}
			for _, r := range p.runningByWorker[w] {
				a := work.ActiveRun{Run: r.id, SpeedPercent: 100, Load: load}
				if percent, ok := p.pace[r.id]; ok {
					a.SpeedPercent = percent
				}
				report.Active = append(report.Active, a)
			}
			p.answerRenewal(w, report)
		}
		for _, o := range p.round() {
			switch o.Kind {
			case work.OrderPace:
				p.pace[o.Run] = o.SpeedPercent
			case work.OrderStop:
				p.stop(o)
			}
		}
	}
}

// round simulates a round.
func (p *haltedPool) round() []work.Order {
	if !p.losesStops {
		return p.executeRound()
	}
	orders := p.scheduler.Schedule(p.now, p.now)
	for _, o := range orders {
		result := work.OrderResult{WorkerClock: p.now.Sub(start) + time.Second}
		if o.Kind == work.OrderStop {
			result = work.OrderResult{Outcome: work.OutcomeUnknown}
		}
		p.is.True(p.scheduler.HandleResult(o, result, p.now))
	}
	return orders
}

func (p *haltedPool) stop(o work.Order) {
	w := o.Incarnation.Worker
	p.is.True(isFill(startedRun{id: o.Run}))
	p.is.True(strings.HasPrefix(o.Reason, "stood still for "))
	p.stops = append(p.stops, p.now.Sub(p.began))
	if p.losesStops {
		return
	}
	p.runningByWorker[w] = slices.DeleteFunc(p.runningByWorker[w], func(r startedRun) bool { return r.id == o.Run })
	p.endsByWorker[w] = append(p.endsByWorker[w], work.RunEnd{Number: uint64(len(p.endsByWorker[w]) + 1), Run: o.Run, Reason: work.EndReasonStopped})
}

// addWorker adds a worker without any task.
func (p *haltedPool) addWorker() {
	p.workers++
	var list []work.WorkerInfo
	for i := range p.workers {
		list = append(list, workerInfo(fmt.Sprintf("w%02d", i)))
	}
	p.scheduler.UpdateWorkers(list, p.now)
	p.answerRenewal(list[p.workers-1].Incarnation.Worker, work.Report{})
}

// lasting returns a step of best-effort tasks that last.
func lasting() work.Step {
	return work.Step{Demand: work.Resources{MilliCores: 1000, MemoryMB: 100}, LongRunning: true}
}

func TestBestEffortTaskThatStandsStill(t *testing.T) {
	t.Run("goes to a worker where it can run", func(t *testing.T) {
		p := newHaltedPool(t, 1, 1, lasting())
		p.addWorker()
		p.play(7*time.Second, true)
		p.is.Equal(len(p.stops), 1)
		p.is.True(slices.ContainsFunc(p.runningByWorker["w01"], isFill))
	})
	t.Run("stays where there is no other worker", func(t *testing.T) {
		p := newHaltedPool(t, 1, 1, lasting())
		p.play(7*time.Second, true)
		p.is.Equal(len(p.stops), 0)
	})
	t.Run("stays while it has stood still for a moment only", func(t *testing.T) {
		p := newHaltedPool(t, 1, 1, lasting())
		p.addWorker()
		p.play(4*time.Second, true)
		p.is.Equal(len(p.stops), 0)
	})
	t.Run("stays if no interference is learnt", func(t *testing.T) {
		p := newHaltedPool(t, 1, 1, lasting())
		p.scheduler.LearnInterference(false)
		p.addWorker()
		p.play(7*time.Second, true)
		p.is.Equal(len(p.stops), 0)
	})
}

// TestUnansweredMove guards against a best-effort task that is stopped while it is at work, because a stop from the time in which
// it stood still is sent again.
func TestUnansweredMove(t *testing.T) {
	p := newHaltedPool(t, 1, 1, lasting())
	p.addWorker()
	p.losesStops = true
	for len(p.stops) == 0 {
		p.play(500*time.Millisecond, true)
	}
	p.play(20*time.Second, false)
	p.is.Equal(len(p.stops), 1)
}

func TestMovesOfBestEffortTasks(t *testing.T) {
	t.Run("one of a worker goes, the others may run once it is gone", func(t *testing.T) {
		p := newHaltedPool(t, 1, 2, lasting())
		p.play(4*time.Second, true)
		p.addWorker()
		p.play(2*time.Second, true)
		p.is.Equal(len(p.stops), 1)
	})
	t.Run("two tasks are not moved to the same room", func(t *testing.T) {
		step := lasting()
		step.Demand.MemoryMB = 3000
		p := newHaltedPool(t, 2, 2, step)
		p.play(4*time.Second, true)
		p.addWorker()
		p.play(2*time.Second, true)
		p.is.Equal(len(p.stops), 1)
	})
	t.Run("task that disturbs everywhere is moved ever less often", func(t *testing.T) {
		p := newHaltedPool(t, 2, 1, lasting())
		p.play(5*time.Minute, true)
		t.Log("moves after", p.stops)
		p.is.True(len(p.stops) > 1)
		p.is.True(len(p.stops) <= 6) // 3, 6, 12, ... s of standing still
	})
	t.Run("task whose work would be lost is moved once it has stood still for as long as it ran", func(t *testing.T) {
		step := work.Step{Demand: work.Resources{MilliCores: 1000, MemoryMB: 100}}
		p := newHaltedPool(t, 2, 1, step)
		p.play(time.Minute, false)
		p.play(45*time.Second, true)
		p.is.Equal(len(p.stops), 0)
		p.play(20*time.Second, true)
		t.Log("moves after", p.stops)
		p.is.Equal(len(p.stops), 1)
	})
	t.Run("task with checkpoints is moved soon", func(t *testing.T) {
		step := work.Step{Demand: work.Resources{MilliCores: 1000, MemoryMB: 100}, HasCheckpoints: true}
		p := newHaltedPool(t, 2, 1, step)
		p.play(time.Minute, false)
		p.play(10*time.Second, true)
		p.is.Equal(len(p.stops), 1)
	})
}
