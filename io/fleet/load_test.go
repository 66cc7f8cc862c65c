package fleet_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"siskincross/core/host"
	"siskincross/io/fleet"
	"siskincross/io/peer"
	"siskincross/io/platform"
	"siskincross/io/standin"
)

// TestLoadAtDesignSize measures table operations and link traffic with 49 pools, 2,695
// hosts and 7 entry hosts, while three hosts restart without an order and every host is
// busy.
func TestLoadAtDesignSize(t *testing.T) {
	const (
		window          = 30 * time.Second
		members         = 7
		writesPerSecond = 60
		readsPerSecond  = 300
		bytesPerSecond  = 18_000
	)
	withCluster(t, 49, 55, 0, func(c *cluster) {
		n := &mesh{handlers: make(map[string]map[peer.Kind]handler)}
		c.configure = func(m *fleet.Manager) {
			m.Link = n.link(m.Member)
			m.InProgress = busyHosts
		}
		for range members {
			c.add()
		}
		time.Sleep(15 * time.Second)
		before, sent := c.table.Counts(), n.sentBytes()
		for p := range 3 {
			c.hosts.updateCondition(hostName(p, p), platform.ConditionRebooting)
			time.Sleep(window / 3)
			c.hosts.updateCondition(hostName(p, p), platform.ConditionLive)
		}
		after := c.table.Counts()
		writes := float64(after.RowWrites-before.RowWrites) / window.Seconds()
		reads := float64(after.RowReads-before.RowReads) / window.Seconds()
		bytes := float64(n.sentBytes()-sent) / window.Seconds() / members
		t.Logf("%.1f writes/s, %.1f reads/s, writes by purpose %v, %.0f bytes/s sent by each entry host",
			writes, reads, writesByPurpose(after, before), bytes)
		c.is.True(writes <= writesPerSecond)
		c.is.True(reads <= readsPerSecond)
		c.is.True(bytes <= bytesPerSecond)
		c.assertOneHolderEach(c.managers...)
	})
}

// busyHosts returns requests in progress on every host of a pool.
func busyHosts(name string) map[host.ID]int {
	load := make(map[host.ID]int)
	for h := range 55 {
		load[host.ID(fmt.Sprintf("host-%s-%03d", strings.TrimPrefix(name, "org/pool-"), h))] = 3
	}
	return load
}

func writesByPurpose(after, before standin.TableCounts) map[string]int {
	all := make(map[string]int)
	for purpose, n := range after.RowWritesByPurpose {
		if n -= before.RowWritesByPurpose[purpose]; n > 0 {
			all[purpose] = n
		}
	}
	return all
}
