package entry

import (
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskincross/core/host"
	"siskincross/core/route"
)

// countingWorker has slots as a worker counts them, and refuses what is beyond.
type countingWorker struct {
	busy, runs, refusals atomic.Int32

	mu      sync.Mutex
	maxBusy int32
}

func (c *countingWorker) serve(w http.ResponseWriter, r *http.Request) {
	busy := c.busy.Add(1)
	defer c.busy.Add(-1)
	if busy > 8 {
		refuseNotStarted(&c.refusals)(w, r)
		return
	}
	c.mu.Lock()
	c.maxBusy = max(c.maxBusy, busy)
	c.mu.Unlock()
	c.runs.Add(1)
	time.Sleep(time.Millisecond)
}

func TestEntryHostsShareSlots(t *testing.T) {
	const callers, each = 60, 10
	is := is.New(t)
	workers := make([]*countingWorker, 2)
	addresses := make([]string, len(workers))
	for i := range workers {
		workers[i] = &countingWorker{}
		addresses[i] = startTarget(t, workers[i].serve)
	}
	sites := make([]*entryHost, 3)
	for i := range sites {
		sites[i] = startEntryHost(t, addresses...)
		sites[i].Members = func() int { return len(sites) }
		sites[i].PeerLoad = func(pool string) map[host.ID]int {
			total := make(map[host.ID]int)
			for j, other := range sites {
				if j == i {
					continue
				}
				for id, n := range other.InProgress(pool) {
					total[id] += n
				}
			}
			return total
		}
	}
	for _, s := range sites {
		s.startLoops(t)
	}
	var answered, notRun, other atomic.Int32
	var group sync.WaitGroup
	for i := range callers {
		group.Go(func() {
			for range each {
				switch got := sites[i%len(sites)].call(t, "POST", testPath, "keys"); got.outcome {
				case route.OutcomeAnswered.String():
					answered.Add(1)
				case route.OutcomeNotRun.String():
					notRun.Add(1)
				default:
					other.Add(1)
				}
			}
		})
	}
	group.Wait()
	runs, refusals := int32(0), int32(0)
	for _, w := range workers {
		runs += w.runs.Load()
		refusals += w.refusals.Load()
		is.True(w.maxBusy <= 8) // the worker's own count
	}
	t.Logf("%d answered, %d not run, %d refusals", answered.Load(), notRun.Load(), refusals)
	is.Equal(runs, answered.Load())                              // each run was answered, each answer was run once
	is.Equal(other.Load(), int32(0))                             // nothing is left unknown
	is.Equal(answered.Load()+notRun.Load(), int32(callers*each)) // every request has its outcome
	is.True(answered.Load() >= callers*each*9/10)
	for _, s := range sites {
		is.Equal(len(s.InProgress(testPool)), 0)
	}
}

func TestUnusedPoolsCostNothing(t *testing.T) {
	is := is.New(t)
	var asked atomic.Int32
	s := startEntryHost(t, startTarget(t, func(http.ResponseWriter, *http.Request) {}))
	s.PeerLoad = func(string) map[host.ID]int {
		asked.Add(1)
		return nil
	}
	s.Demand("letting/other")
	s.InProgress("letting/other")
	is.Equal(len(s.pools), 0) // asking creates no pool
	assertOutcome(t, s.call(t, "POST", testPath, ""), http.StatusOK, route.OutcomeAnswered)
	s.pool(testPool).refreshIfActive()
	is.Equal(asked.Load(), int32(0)) // a pool without requests is not refreshed
}
