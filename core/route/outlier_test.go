package route

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// spoil makes the first n workers of a cluster fail in some way.
func spoil(c *cluster, n int, how func(w *worker)) {
	for _, id := range c.hosts[:n] {
		how(c.workers[id])
	}
}

var spoilers = map[string]func(w *worker){
	"fails fast":   func(w *worker) { w.fault = FaultCut },
	"unreachable":  func(w *worker) { w.fault = FaultUnreachable },
	"sends rubble": func(w *worker) { w.fault = FaultGarbage },
	"is slow":      func(w *worker) { w.slowness = 20 },
}

// runSpoilt runs a cluster of nine workers, n of which are bad, and returns the answered share after the first 3 s.
func runSpoilt(n, allowance int, how func(w *worker)) (c *cluster, answered float64) {
	c = withCluster(5, 7, 9)
	c.rate = constant(c, 0.5)
	c.allowance = allowance
	spoil(c, n, how)
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
	for name, how := range spoilers {
		t.Run("one of nine "+name, func(t *testing.T) {
			is := is.New(t)
			c, answered := runSpoilt(1, 2, how)
			share := float64(c.workers[c.hosts[0]].attempts) / float64(c.attempts)
			p99 := quantile(c.answered(3*time.Second, 8*time.Second), 0.99)
			t.Logf("answered %.4f, attempts at the bad target %.4f of all, p99 %s", answered, share, millis(p99))
			is.True(answered >= 0.99)
			is.True(share < 0.05) // an equal share would be 0.11
		})
		t.Run("three of nine "+name+", the budget allows two", func(t *testing.T) {
			is := is.New(t)
			c, answered := runSpoilt(3, 2, how)
			t.Logf("answered %.4f, at most %d taken out", answered, c.mostOut)
			is.True(c.mostOut <= 2) // never more than the budget allows
			is.True(answered >= 0.9)
		})
		t.Run("one of nine "+name+", the budget allows none", func(t *testing.T) {
			c, _ := runSpoilt(1, 0, how)
			is.New(t).Equal(c.mostOut, 0)
		})
	}
}

func TestRepairedOutlierComesBack(t *testing.T) {
	for name, how := range spoilers {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c, _ := runSpoilt(1, 2, how)
			bad := c.workers[c.hosts[0]]
			bad.fault, bad.slowness = FaultNone, 0
			c.start = c.now
			c.run(20 * time.Second)
			attempts := bad.attempts
			all := c.attempts
			c.start = c.now
			c.run(4 * time.Second)
			share := float64(bad.attempts-attempts) / float64(c.attempts-all)
			t.Logf("attempts at the repaired target: %.3f of all", share)
			is.True(share > 0.08) // an equal share is 0.11
		})
	}
}

func TestPanicThreshold(t *testing.T) {
	is := is.New(t)
	c, _ := runSpoilt(6, 9, spoilers["fails fast"])
	for _, e := range c.entries {
		is.Equal(len(e.scheduler.Board.out), 0) // when most look bad, nothing is taken out
	}
	is.True(c.attempts > 0)
}
