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

// slotCheckingWorker is a worker with 8 slots that counts its requests itself and refuses those beyond its slots.
type slotCheckingWorker struct {
	inProgress, runs, refusals atomic.Int32

	mu      sync.Mutex
	maxBusy int32
}

func (c *slotCheckingWorker) serve(w http.ResponseWriter, r *http.Request) {
	busy := c.inProgress.Add(1)
	defer c.inProgress.Add(-1)
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

// TestEntryHostsShareSlots checks that entry hosts that exchange their peer load don't exceed the slots of common
// workers, and that every request gets a true outcome.
func TestEntryHostsShareSlots(t *testing.T) {
	const callers, each = 60, 10
	is := is.New(t)
	workers := make([]*slotCheckingWorker, 2)
	addresses := make([]string, len(workers))
	for i := range workers {
		workers[i] = &slotCheckingWorker{}
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
		is.True(w.maxBusy <= 8) // as counted by the worker
	}
	t.Logf("%d answered, %d not run, %d refusals", answered.Load(), notRun.Load(), refusals)
	is.Equal(runs, answered.Load())                              // each run was answered, and each answered request was run once
	is.Equal(other.Load(), int32(0))                             // no outcome is unknown
	is.Equal(answered.Load()+notRun.Load(), int32(callers*each)) // every request has one of the two outcomes
	is.True(answered.Load() >= callers*each*9/10)
	for _, s := range sites {
		is.Equal(len(s.InProgress(testPool)), 0)
	}
}

// TestUnusedPoolsCostNothing checks that reading the state of a pool doesn't create it, and that a pool without
// requests is not refreshed.
func TestUnusedPoolsCostNothing(t *testing.T) {
	is := is.New(t)
	var peerLoadCalls atomic.Int32
	s := startEntryHost(t, startTarget(t, func(http.ResponseWriter, *http.Request) {}))
	s.PeerLoad = func(string) map[host.ID]int {
		peerLoadCalls.Add(1)
		return nil
	}
	s.Demand("letting/other")
	s.InProgress("letting/other")
	is.Equal(len(s.pools), 0) // reading its state doesn't create a pool
	assertOutcome(t, s.call(t, "POST", testPath, ""), http.StatusOK, route.OutcomeAnswered)
	s.pool(testPool).refreshIfActive()
	is.Equal(peerLoadCalls.Load(), int32(0)) // a pool without requests is not refreshed
}
