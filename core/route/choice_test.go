package route

import (
	"fmt"
	"hash/fnv"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskincross/core/host"
)

// policy is a way in which entry hosts share the slots of the workers.
type policy struct {
	name  string
	apply func(c *cluster)
}

var policies = []policy{
	{"fixed shares", fixedShares},
	{"optimistic with refusal", optimistic},
	{"grants every 250 ms", grants},
	{"two choices, peers' figures", func(*cluster) {}},
}

// fixedShares gives each slot of a worker to one entry host for good.
func fixedShares(c *cluster) {
	for i, e := range c.entries {
		e.scheduler.Board.Room = func(t Target, own, _ int) bool {
			return own < owned(t, i, len(c.entries))
		}
	}
}

func owned(t Target, entry, entries int) int {
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

// optimistic sends anywhere and relies on the workers' refusals.
func optimistic(c *cluster) {
	for _, e := range c.entries {
		e.scheduler.Board.Room = func(t Target, own, _ int) bool { return own < t.Capacity.Slots }
		e.scheduler.Board.Draws = 1
	}
}

// grants lends every slot to one entry host at a time, in proportion to its demand.
func grants(c *cluster) {
	lent := make([]map[host.ID]int, len(c.entries))
	for i, e := range c.entries {
		lent[i] = make(map[host.ID]int)
		for id := range c.workers {
			lent[i][id] = 1
		}
		e.scheduler.Board.Room = func(t Target, own, _ int) bool { return own < lent[i][t.Host] }
	}
	var lend func()
	lend = func() {
		demand, total := make([]int, len(c.entries)), 0
		for i, e := range c.entries {
			demand[i] = e.scheduler.Board.Total() + e.scheduler.Waiting() + 1
			total += demand[i]
		}
		turn := 0
		for _, id := range c.hosts {
			left := c.workers[id].slots
			for i, e := range c.entries {
				lent[i][id] = min(left, max(e.scheduler.Board.InProgress()[id], c.workers[id].slots*demand[i]/total))
				left -= lent[i][id]
			}
			for range left {
				lent[turn%len(c.entries)][id]++
				turn++
			}
		}
		if c.since() < choiceLength {
			c.after(250*time.Millisecond, lend)
		}
	}
	c.after(0, lend)
}

const (
	choiceWarm   = time.Second
	choiceLength = 3 * time.Second
)

func TestTargetChoice(t *testing.T) {
	t.Logf("%-28s %5s %5s %8s %8s %8s %8s %9s", "policy", "skew", "load", "goodput", "p50", "p99", "not-run", "refusals")
	for _, skew := range []float64{0, 0.5} {
		for _, load := range []float64{0.05, 0.8, 1.0, 5.0} {
			assertChoiceKeepsUp(t, skew, load)
		}
	}
}

// assertChoiceKeepsUp runs all policies; the one in use is the last.
func assertChoiceKeepsUp(t *testing.T, skew, load float64) {
	t.Helper()
	best, chosen := 0.0, 0.0
	for _, p := range policies {
		c := withCluster(7, 7, 9)
		p.apply(c)
		c.skew = skew
		c.rate = func(time.Duration) float64 { return load * c.capacity() }
		c.run(choiceLength)
		latencies := c.answered(choiceWarm, choiceLength)
		goodput := c.goodput(choiceWarm, choiceLength)
		t.Logf("%-28s %5.2f %5.2f %8.3f %8s %8s %8.3f %9.4f", p.name, skew, load, goodput, millis(quantile(latencies, 0.5)),
			millis(quantile(latencies, 0.99)), c.share(OutcomeNotRun), float64(c.refusals)/float64(c.attempts))
		is.New(t).True(c.maxBusy <= 8) // never more than the slots at a worker
		best, chosen = max(best, goodput), goodput
	}
	is.New(t).True(chosen >= 0.9*best) // goodput of the policy in use against the best
}

func millis(d time.Duration) string {
	return fmt.Sprintf("%.1fms", float64(d)/float64(time.Millisecond))
}
