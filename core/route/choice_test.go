package route

import (
	"fmt"
	"hash/fnv"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskincross/core/host"
)

// policy is a policy by which entry hosts share the slots of the workers.
type policy struct {
	name  string
	apply func(c *cluster)
}

var policies = []policy{
	{"fixed shares", fixedShares},
	{"optimistic with refusal", optimistic},
	{"grants every 250 ms", demandGrants},
	{"two choices, peers' figures", func(*cluster) {}},
}

// fixedShares assigns each slot of a worker permanently to one entry host.
func fixedShares(c *cluster) {
	for i, e := range c.entries {
		e.scheduler.Selector.Admits = func(t Target, own, _ int) bool {
			return own < ownedSlots(t, i, len(c.entries))
		}
	}
}

func ownedSlots(t Target, entry, entries int) int {
	h := fnv.New32()
	_, _ = h.Write([]byte(t.Host))
	n := 0
	for slot := range t.Capacity.Slots {
		if (slot+int(h.Sum32()))%entries == entry {
			n++
		}
	}
	return n
}

// optimistic sends requests to random workers and relies on their refusals.
func optimistic(c *cluster) {
	for _, e := range c.entries {
		e.scheduler.Selector.Admits = func(t Target, own, _ int) bool { return own < t.Capacity.Slots }
		e.scheduler.Selector.Candidates = 1
	}
}

// demandGrants assigns every slot to one entry host for 250 ms at a time, in proportion to the demand.
func demandGrants(c *cluster) {
	granted := make([]map[host.ID]int, len(c.entries))
	for i, e := range c.entries {
		granted[i] = make(map[host.ID]int)
		for id := range c.workers {
			granted[i][id] = 1
		}
		e.scheduler.Selector.Admits = func(t Target, own, _ int) bool { return own < granted[i][t.Host] }
	}
	var grantAll func()
	grantAll = func() {
		demand, total := make([]int, len(c.entries)), 0
		for i, e := range c.entries {
			demand[i] = e.scheduler.Selector.InProgressCount() + e.scheduler.WaitingCount() + 1
			total += demand[i]
		}
		turn := 0
		for _, id := range c.hosts {
			left := c.workers[id].slots
			for i, e := range c.entries {
				granted[i][id] = min(left, max(e.scheduler.Selector.InProgress()[id], c.workers[id].slots*demand[i]/total))
				left -= granted[i][id]
			}
			for range left {
				granted[turn%len(c.entries)][id]++
				turn++
			}
		}
		if c.elapsed() < choiceDuration {
			c.scheduleAfter(250*time.Millisecond, grantAll)
		}
	}
	c.scheduleAfter(0, grantAll)
}

const (
	choiceWarmUp   = time.Second
	choiceDuration = 3 * time.Second
)

func TestTargetChoice(t *testing.T) {
	t.Logf("%-28s %5s %5s %8s %8s %8s %8s %9s", "policy", "skew", "load", "goodput", "p50", "p99", "not-run", "refusals")
	for _, skew := range []float64{0, 0.5} {
		for _, load := range []float64{0.05, 0.8, 1.0, 5.0} {
			assertChoiceGoodput(t, skew, load)
		}
	}
}

// assertChoiceGoodput runs all policies and compares the last one, which is in use, with the best.
func assertChoiceGoodput(t *testing.T, skew, load float64) {
	t.Helper()
	bestGoodput, chosenGoodput := 0.0, 0.0
	for _, p := range policies {
		c := newCluster(7, 7, 9)
		p.apply(c)
		c.skew = skew
		c.rate = func(time.Duration) float64 { return load * c.capacity() }
		c.run(choiceDuration)
		latencies := c.answered(choiceWarmUp, choiceDuration)
		goodput := c.goodput(choiceWarmUp, choiceDuration)
		t.Logf("%-28s %5.2f %5.2f %8.3f %8s %8s %8.3f %9.4f", p.name, skew, load, goodput, millis(quantile(latencies, 0.5)),
			millis(quantile(latencies, 0.99)), c.share(OutcomeNotRun), float64(c.refusals)/float64(c.attempts))
		is.New(t).True(c.maxBusy <= 8) // a worker never exceeds its slots
		bestGoodput, chosenGoodput = max(bestGoodput, goodput), goodput
	}
	is.New(t).True(chosenGoodput >= 0.9*bestGoodput) // goodput of the policy in use against the best one
}

func millis(d time.Duration) string {
	return fmt.Sprintf("%.1fms", float64(d)/float64(time.Millisecond))
}
