package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"siskincross/core/pool"
	"siskincross/io/fleet"
	"siskincross/io/platform"
	"siskincross/io/standin"
)

// withMoves runs a test on a cluster whose first pool can get one more host from the last
// one, which is the spare pool.
func withMoves(t *testing.T, test func(*cluster)) {
	withCluster(t, 2, 6, 0, func(c *cluster) {
		c.periods = fleet.Periods{EstablishedAfter: time.Second}
		c.config.Pools[1].Hosts = 5
		c.config.Pools[1].MinHosts = 3
		for range 3 {
			c.add()
		}
		time.Sleep(15 * time.Second)
		test(c)
	})
}

// requestHosts changes the configured size of the first pool.
func (c *cluster) requestHosts(hosts int) {
	pools := append(c.config.Pools[:0:0], c.config.Pools...)
	pools[0].Hosts = hosts
	c.setPools(pools)
}

func (c *cluster) poolSizes() [2]int { return [2]int{len(c.pool(0).Hosts), len(c.pool(1).Hosts)} }

func (c *cluster) assertMoved() {
	c.t.Helper()
	c.sleepUntil(func() bool { return c.poolSizes() == [2]int{7, 5} })
	time.Sleep(10 * time.Second)
	c.assertOnePoolEach()
	c.is.Equal(len(c.pool(0).Inbound), 0)
	c.is.Equal(c.poolSizes(), [2]int{7, 5})
	for _, m := range c.managers {
		if m.Member == c.pool(0).Holder {
			c.is.Equal(c.targetCount(m, 0), 7) // the moved host is routed to in its new pool
		}
	}
}

func TestMove(t *testing.T) {
	t.Run("drains, reboots and moves in one transaction", func(t *testing.T) {
		withMoves(t, func(c *cluster) {
			c.requestHosts(7)
			c.assertMoved()
			c.is.Equal(len(c.hosts.rebootCounts()), 1)
		})
	})
	t.Run("lost answers", func(t *testing.T) {
		withMoves(t, func(c *cluster) {
			c.requestHosts(7)
			c.table.SetFaults(standin.TableFaults{LoseAnswers: 40})
			c.assertMoved()
		})
	})
	t.Run("store outage between drain and move", func(t *testing.T) {
		withMoves(t, func(c *cluster) {
			c.requestHosts(7)
			c.sleepUntil(func() bool { return c.pool(1).OutboundCount() == 1 })
			c.table.SetFaults(standin.TableFaults{Down: true})
			time.Sleep(time.Minute)
			c.table.SetFaults(standin.TableFaults{})
			c.assertMoved()
		})
	})
	t.Run("holder killed between drain and move", func(t *testing.T) {
		withMoves(t, func(c *cluster) {
			c.requestHosts(7)
			c.sleepUntil(func() bool { return len(c.hosts.rebootCounts()) == 1 })
			c.kill(c.memberNamed(c.pool(1).Holder))
			c.assertMoved()
			c.is.Equal(len(c.hosts.rebootCounts()), 1)
		})
	})
	t.Run("host fails on its way: the move ends and waits for the budget", func(t *testing.T) {
		withMoves(t, func(c *cluster) {
			c.hosts.update(func(f *fakeHosts) { f.down = true }) // the drain can't end before the failure is seen
			c.requestHosts(7)
			c.sleepUntil(func() bool { return c.pool(1).OutboundCount() == 1 })
			failed := c.pool(0).Inbound[0].Host
			c.hosts.updateCondition(failed, platform.ConditionFailed)
			time.Sleep(30 * time.Second)
			c.is.Equal(len(c.pool(0).Inbound), 0)
			c.is.Equal(c.pool(1).Disruptions(), pool.Disruptions{Failed: 1})
			c.hosts.update(func(f *fakeHosts) { f.down = false })
			c.hosts.updateCondition(failed, platform.ConditionLive)
			c.assertMoved()
		})
	})
	t.Run("racing changes of the configuration", func(t *testing.T) {
		withMoves(t, func(c *cluster) {
			for n := range 40 {
				c.requestHosts(6 + n%3)
				time.Sleep(time.Second)
				c.is.True(c.pool(1).Disruptions().Total() <= 2)
			}
			c.requestHosts(8)
			time.Sleep(5 * time.Minute)
			c.assertOnePoolEach()
			c.is.True(c.poolSizes()[1] >= 3) // the spare pool keeps its minimum size
		})
	})
}

func TestDroppedPoolGivesItsHostsToTheSpare(t *testing.T) {
	for _, restarted := range []bool{false, true} {
		t.Run(fmt.Sprintf("restarted %v", restarted), func(t *testing.T) {
			withCluster(t, 3, 4, 2, func(c *cluster) {
				time.Sleep(15 * time.Second)
				c.setPools(c.config.Pools[1:])
				if restarted {
					c.kill(c.managers[0])
					c.kill(c.managers[1])
					c.add()
				}
				c.sleepUntil(func() bool { return len(c.pool(0).Hosts) == 0 })
				time.Sleep(10 * time.Second)
				c.is.Equal(len(c.pool(2).Hosts), 8) // the spare pool has the hosts of both
				c.is.Equal(len(c.pool(1).Hosts), 4)
			})
		})
	}
}

func TestDemandMovesHosts(t *testing.T) {
	withCluster(t, 2, 6, 0, func(c *cluster) {
		c.config.Pools[0].MinHosts, c.config.Pools[1].MinHosts = 2, 2
		c.configure = func(m *fleet.Manager) {
			m.Demand = func(name string) (int, int, uint64) {
				if name == poolName(0) {
					return 8*8/2 - 4, 0, 0 // two members, slots of 7 hosts and the reserve
				}
				return 1, 0, 0
			}
		}
		c.add()
		c.add()
		time.Sleep(30 * time.Minute)
		c.is.Equal(c.poolSizes(), [2]int{6, 6}) // nothing moves before an hour of demand has been observed
		time.Sleep(40 * time.Minute)
		c.is.Equal(c.poolSizes(), [2]int{8, 4})
		c.assertOnePoolEach()
	})
}
