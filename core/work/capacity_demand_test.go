package work_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"siskincross/core/work"
)

// withPool is a board with a number of workers of four cores that have answered.
func withPool(t *testing.T, workers int) *fixture {
	f := withBoard(t)
	var list []work.Listing
	for i := range workers {
		list = append(list, listing(fmt.Sprintf("w%02d", i)))
	}
	f.board.List(list, f.now)
	for _, l := range list {
		f.hear(l.Life.Worker, work.Report{})
	}
	return f
}

// submitAll adds n jobs of one task of a second on one core.
func (f *fixture) submitAll(n int) {
	for i := range n {
		f.board.Add(chain(work.ID(fmt.Sprintf("%x-%d", f.now.UnixMilli(), i)), 1), work.Progress{}, 11, false, f.now)
	}
}

// endAll lets every worker report what has run for a time as done.
func (f *fixture) endAll(after time.Duration) {
	for _, w := range slices.Sorted(maps.Keys(f.running)) {
		report := work.Report{Ends: f.ended[w]}
		kept := f.running[w][:0]
		for _, r := range f.running[w] {
			if f.now.Sub(r.at) < after {
				kept = append(kept, r)
				report.Active = append(report.Active, work.Active{Run: r.run, Percent: 100})
				continue
			}
			report.Ends = append(report.Ends, work.End{Number: uint64(len(report.Ends) + 1), Run: r.run})
		}
		f.running[w] = kept
		f.ended[w] = report.Ends
		f.hear(w, report)
	}
}

func TestLoad(t *testing.T) {
	// Demand comes by turns: a pool that was nearly idle is asked for several times what it holds.
	t.Run("beginning of a turn asks for workers within half a second", func(t *testing.T) {
		f := withPool(t, 3)
		for range 5 {
			f.submitAll(4)
			f.now = f.now.Add(hundred)
		}
		ask := f.board.Load(f.now).Ask
		f.is.True(ask >= 6)  // 40 core-seconds a second arrive at 12 cores
		f.is.True(ask <= 61) // that is for a rise that goes on as steeply for two seconds
	})
	t.Run("steady demand asks for what it needs", func(t *testing.T) {
		f := withPool(t, 12)
		for range 30 {
			f.submitAll(4)
			f.orders()
			f.now = f.now.Add(hundred)
			f.endAll(time.Second)
		}
		f.is.True(f.board.Load(f.now).Ask <= 3) // 40 core-seconds a second arrive at 48 cores
	})
	// One pool's turn goes on while that of another begins, and there are not enough hosts for both.
	t.Run("pool keeps less room for chance while hosts are short", func(t *testing.T) {
		f := withPool(t, 17)
		spare := func() int {
			most := 0
			for range 10 {
				f.submitAll(4)
				f.orders()
				f.now = f.now.Add(hundred)
				f.endAll(time.Second)
				most = max(most, f.board.Load(f.now).Spare)
			}
			return most
		}
		spare()
		spare()
		usual := spare()
		f.board.Short(true)
		short := spare()
		t.Logf("spares %d of 17 workers, %d while hosts are short", usual, short)
		f.is.True(short > usual)
		f.board.Short(false)
		f.is.Equal(spare(), usual)
	})
	// Tasks that end by themselves are still running on some workers when a turn is over.
	t.Run("work that ends is packed, so that other workers can be given up", func(t *testing.T) {
		f := withPool(t, 8)
		f.submitAll(8)
		busy := make(map[string]bool)
		for _, o := range f.orders() {
			busy[o.Life.Worker] = true
		}
		f.is.Equal(len(busy), 2) // four cores each
	})
	// At the end of a turn one worker has several tasks that are nearly over, the others one each that has just begun.
	t.Run("worker that will be empty first is given up first", func(t *testing.T) {
		f := withPool(t, 4)
		for i, estimate := range []time.Duration{time.Second, 10 * time.Second, 10 * time.Second, 10 * time.Second} {
			j := chain(work.ID(fmt.Sprint("j", i)), 1)
			if i == 0 {
				j = chain("j0", 3)
			}
			j.Steps[0].Demand.MilliCores = 100
			j.Steps[0].Estimate = estimate
			j.Steps[0].DataRack = fmt.Sprintf("rack-w%02d", i)
			f.board.Add(j, work.Progress{}, 11, false, f.now)
		}
		f.is.Equal(len(f.orders()), 6)
		f.now = f.now.Add(3 * time.Second) // nothing has arrived for a while
		f.board.Load(f.now)
		f.now = f.now.Add(3 * hundred)
		f.is.Equal(f.board.Load(f.now).Offer, []string{"w00"})
	})
	// Work that can wait for a while is no reason to take hosts from pools that are in need.
	t.Run("waiting work asks for what it takes to end in time", func(t *testing.T) {
		ask := func(slack time.Duration) int {
			f := withPool(t, 3)
			for i := range 30 {
				j := chain(work.ID(fmt.Sprint("j", i)), 4)
				j.Objective, j.Accepted = work.Objective{Factor: 1, Slack: slack}, f.now
				f.board.Add(j, work.Progress{}, 5, true, f.now)
			}
			return f.board.Load(f.now).Ask
		}
		f := withBoard(t)
		f.is.True(ask(time.Second) >= 20)
		f.is.True(ask(5*time.Second) < ask(time.Second)/2)
	})
	// A few long tasks come at once: more cores than they take would not end them sooner.
	t.Run("waiting work asks for no more cores than its tasks take at once", func(t *testing.T) {
		f := withPool(t, 3)
		j := chain("j", 20)
		j.Steps[0].Estimate = 30 * time.Second
		f.board.Add(j, work.Progress{}, 5, true, f.now) // accepted before, so that it doesn't count as demand that grows
		f.now = f.now.Add(3 * time.Second)
		ask := f.board.Load(f.now).Ask
		f.is.True(ask >= 2) // 20 tasks of one core at 12 cores
		f.is.True(ask <= 4)
	})
	t.Run("lasting tasks are spread, so that the loss of a worker takes few", func(t *testing.T) {
		f := withPool(t, 4)
		f.board.Add(lastingJob("j", 4), work.Progress{}, 11, false, f.now)
		busy := make(map[string]bool)
		for _, o := range f.orders() {
			busy[o.Life.Worker] = true
		}
		f.is.Equal(len(busy), 4)
	})
	t.Run("running tasks count as the cores they hold and not as work to be caught up on", func(t *testing.T) {
		f := withPool(t, 5)
		f.submitAll(10)
		f.is.Equal(len(f.orders()), 10)
		f.now = f.now.Add(1500 * time.Millisecond)
		f.is.Equal(f.board.Load(f.now).Ask, 0)
	})
	t.Run("end of a turn offers the workers that run nothing", func(t *testing.T) {
		f := withPool(t, 8)
		f.board.Add(lastingJob("j", 3), work.Progress{}, 11, false, f.now)
		busy := make(map[string]bool)
		for _, o := range f.orders() {
			busy[o.Life.Worker] = true
		}
		f.is.Equal(len(f.board.Load(f.now).Offer), 0)
		f.now = f.now.Add(time.Second)
		load := f.board.Load(f.now)
		f.is.Equal(load.Spare, 5)
		f.is.Equal(len(load.Offer), 5)
		for _, id := range load.Offer {
			f.is.True(!busy[id])
		}
	})
	// A new holder knows the jobs and has called the workers, which have not answered yet.
	t.Run("workers that have not been heard from yet are the pool's, and none of them is spare", func(t *testing.T) {
		f := withBoard(t)
		var list []work.Listing
		for i := range 6 {
			list = append(list, listing(fmt.Sprintf("w%02d", i)))
		}
		f.board.List(list, f.now)
		f.board.Add(chain("j", 2), work.Progress{}, 5, true, f.now)
		for range 5 {
			load := f.board.Load(f.now)
			f.is.Equal(load.Ask, 0)
			f.is.Equal(load.Spare, 0)
			f.now = f.now.Add(hundred)
		}
	})
	t.Run("silent workers are not the pool's", func(t *testing.T) {
		f := withPool(t, 3)
		for range 2 {
			f.board.Missed(life("w00"), f.now)
		}
		f.is.Equal(f.board.Load(f.now).Ask, 1)
	})
}

func TestHomelessTasks(t *testing.T) {
	// A job of many lasting tasks, of which a worker's memory holds one, comes to a pool that was reduced to the least. Hosts came one
	// by one, each after two seconds, and most tasks were not at work for half a minute.
	t.Run("lasting tasks without a place ask for all the workers that they need at once", func(t *testing.T) {
		for name, demand := range map[string]func(*work.Step){
			"memory": func(s *work.Step) { s.Demand = work.Resources{MilliCores: 500, MemoryMB: 2100} },
			"cores":  func(s *work.Step) { s.Demand = work.Resources{MilliCores: 2100, MemoryMB: 100} },
			"spread": func(s *work.Step) { s.Demand, s.SpreadLimit = work.Resources{MilliCores: 100, MemoryMB: 100}, 1 },
		} {
			f := withPool(t, 3)
			j := lastingJob("j", 12)
			demand(&j.Steps[0])
			f.board.Add(j, work.Progress{}, 11, false, f.now)
			f.is.Equal(len(f.orders()), 3)
			load := f.board.Load(f.now)
			if load.Urgent != 9 || load.Ask < 9 {
				t.Errorf("%s: asks for %d, %d of them urgent, with 9 tasks that need a worker each", name, load.Ask, load.Urgent)
			}
		}
	})
	t.Run("steps with a spread limit share the workers that they ask for", func(t *testing.T) {
		f := withPool(t, 3)
		for _, id := range []work.ID{"j1", "j2"} {
			j := lastingJob(id, 12)
			j.Steps[0].Demand, j.Steps[0].SpreadLimit = work.Resources{MilliCores: 100, MemoryMB: 100}, 1
			f.board.Add(j, work.Progress{}, 11, false, f.now)
		}
		f.is.Equal(len(f.orders()), 6)
		f.is.Equal(f.board.Load(f.now).Urgent, 9)
	})
	t.Run("lasting tasks of which several fit on a worker ask for fewer", func(t *testing.T) {
		f := withPool(t, 3)
		j := lastingJob("j", 12)
		j.Steps[0].Demand = work.Resources{MilliCores: 100, MemoryMB: 1900}
		f.board.Add(j, work.Progress{}, 11, false, f.now)
		f.is.Equal(len(f.orders()), 6)
		f.is.Equal(f.board.Load(f.now).Urgent, 3)
	})
	// A worker refuses for a moment: its tasks find no place, and hosts in its stead would come when it is back.
	t.Run("workers that are passed over for a moment count as places", func(t *testing.T) {
		f := withPool(t, 3)
		j := lastingJob("j", 5)
		j.Steps[0].SpreadLimit = 1
		f.board.Add(j, work.Progress{}, 11, false, f.now)
		f.board.Missed(life("w00"), f.now)
		f.is.Equal(len(f.orders()), 2)
		f.is.Equal(f.board.Load(f.now).Urgent, 2)
	})
	// Memory is full while few cores are in use: workers given up for the cores alone had lasting tasks that could go nowhere.
	t.Run("workers whose memory lasting tasks need are not spare", func(t *testing.T) {
		f := withPool(t, 6)
		j := lastingJob("j", 12)
		j.Steps[0].Demand = work.Resources{MilliCores: 100, MemoryMB: 1900}
		f.board.Add(j, work.Progress{}, 11, false, f.now)
		f.is.Equal(len(f.orders()), 12)
		f.now = f.now.Add(time.Second)
		f.board.Load(f.now)
		f.now = f.now.Add(time.Second)
		f.is.Equal(f.board.Load(f.now).Spare, 0)
	})
	// Seven tasks, two on a worker: the fourth worker is not spare, however little it has to do.
	t.Run("workers that a lasting step is spread over are kept", func(t *testing.T) {
		f := withPool(t, 5)
		j := lastingJob("j", 7)
		j.Steps[0].SpreadLimit = 2
		j.Steps[0].Demand.MilliCores = 100
		f.board.Add(j, work.Progress{}, 11, false, f.now)
		f.orders()
		f.board.Load(f.now)
		f.now = f.now.Add(time.Second)
		f.is.Equal(f.board.Load(f.now).Spare, 1)
	})
	// Few workers are left at the end of a turn, and one of them is to be maintained: the others are full for the step.
	t.Run("lasting task stays until there is another place, and asks for one", func(t *testing.T) {
		f := withPool(t, 3)
		j := lastingJob("j", 6)
		j.Steps[0].SpreadLimit = 2
		j.Steps[0].Demand.MilliCores = 100
		f.board.Add(j, work.Progress{}, 11, false, f.now)
		started := f.orders()
		f.is.Equal(len(started), 6)
		for _, id := range []string{"w00", "w01", "w02"} {
			f.hear(id, running(started, id))
		}
		f.board.Withdraw(map[string]bool{"w00": true}, f.now)
		f.is.Equal(len(stops(f.orders())), 0) // it would have nowhere to go
		f.is.Equal(f.board.Load(f.now).Urgent, 1)
	})
}
