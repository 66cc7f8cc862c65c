package route

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// degrade applies a fault to the first n workers of a cluster.
func degrade(c *cluster, n int, fault func(w *worker)) {
	for _, id := range c.hosts[:n] {
		fault(c.workers[id])
	}
}

var workerFaults = map[string]func(w *worker){
	"fails fast":   func(w *worker) { w.fault = FaultCut },
	"unreachable":  func(w *worker) { w.fault = FaultUnreachable },
	"sends rubble": func(w *worker) { w.fault = FaultGarbage },
	"is slow":      func(w *worker) { w.slowness = 20 },
}

// runWithFaultyWorkers runs a cluster of nine workers, n of which are faulty. answered is the share of answered
// requests among those that arrived after the first 3 s.
func runWithFaultyWorkers(n, allowance int, fault func(w *worker)) (c *cluster, answered float64) {
	c = newCluster(5, 7, 9)
	c.rate = constantLoad(c, 0.5)
	c.allowance = allowance
	degrade(c, n, fault)
	c.run(8 * time.Second)
	good, all := 0, 0
	for _, r := range c.done {
		if r.arrived < 3*time.Second {
			continue
		}
		all++
		if r.outcome == OutcomeAnswered {
			good++
		}
	}
	return c, float64(good) / float64(all)
}

func TestOutliersAreTakenOut(t *testing.T) {
	for name, fault := range workerFaults {
		t.Run("one of nine "+name, func(t *testing.T) {
			is := is.New(t)
			c, answered := runWithFaultyWorkers(1, 2, fault)
			share := float64(c.workers[c.hosts[0]].attempts) / float64(c.attempts)
			p99 := quantile(c.answered(3*time.Second, 8*time.Second), 0.99)
			t.Logf("answered %.4f, attempts at the faulty target %.4f of all, p99 %s", answered, share, millis(p99))
			is.True(answered >= 0.99)
			is.True(share < 0.05) // an equal share would be 0.11
		})
		t.Run("three of nine "+name+", the budget allows two", func(t *testing.T) {
			is := is.New(t)
			c, answered := runWithFaultyWorkers(3, 2, fault)
			t.Logf("answered %.4f, at most %d ejected", answered, c.maxEjected)
			is.True(c.maxEjected <= 2) // never more than the budget allows
			is.True(answered >= 0.9)
		})
		t.Run("one of nine "+name+", the budget allows none", func(t *testing.T) {
			c, _ := runWithFaultyWorkers(1, 0, fault)
			is.New(t).Equal(c.maxEjected, 0)
		})
	}
}

func TestRepairedOutlierComesBack(t *testing.T) {
	for name, fault := range workerFaults {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c, _ := runWithFaultyWorkers(1, 2, fault)
			faulty := c.workers[c.hosts[0]]
			faulty.fault, faulty.slowness = FaultNone, 0
			c.start = c.now
			c.run(20 * time.Second)
			attempts := faulty.attempts
			all := c.attempts
			c.start = c.now
			c.run(4 * time.Second)
			share := float64(faulty.attempts-attempts) / float64(c.attempts-all)
			t.Logf("attempts at the repaired target: %.3f of all", share)
			is.True(share > 0.08) // an equal share is 0.11
		})
	}
}

func TestPanicThreshold(t *testing.T) {
	is := is.New(t)
	c, _ := runWithFaultyWorkers(6, 9, workerFaults["fails fast"])
	for _, e := range c.entries {
		is.Equal(len(e.scheduler.Selector.ejected), 0) // nothing is ejected if most targets look faulty
	}
	is.True(c.attempts > 0)
}
