package fleet_test

import (
	"testing"
	"time"

	"siskincross/io/platform"
	"siskincross/io/standin"
)

// TestStoreLoad counts the table's work at the size to design for: 49 pools,
// 2,695 hosts and 7 entry hosts. Within two minutes three hosts restart unasked.
func TestStoreLoad(t *testing.T) {
	const (
		window          = 2 * time.Minute
		writesPerSecond = 60
		readsPerSecond  = 300
	)
	withCluster(t, 49, 55, 7, func(c *cluster) {
		time.Sleep(30 * time.Second)
		before := c.table.Counts()
		for n := range 3 {
			c.hosts.condition(hostName(n, n), platform.ConditionRebooting)
			time.Sleep(window / 3)
			c.hosts.condition(hostName(n, n), platform.ConditionLive)
		}
		after := c.table.Counts()
		writes := float64(after.Writes-before.Writes) / window.Seconds()
		reads := float64(after.Reads-before.Reads) / window.Seconds()
		t.Logf("%.1f writes/s, %.1f reads/s, writes by purpose %v", writes, reads, diff(after, before))
		c.is.True(writes <= writesPerSecond)
		c.is.True(reads <= readsPerSecond)
		c.assertHeld(c.managers...)
	})
}

func diff(after, before standin.TableCounts) map[string]int {
	all := make(map[string]int)
	for purpose, n := range after.Purposes {
		if n -= before.Purposes[purpose]; n > 0 {
			all[purpose] = n
		}
	}
	return all
}
