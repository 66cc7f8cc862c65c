package fleet_test

import (
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"siskincross/core/host"
	"siskincross/core/route"
	"siskincross/io/fleet"
	"siskincross/io/platform"
	"siskincross/io/standin"
)

// withMaintenance runs a test on a cluster that maintains every host within ten minutes.
func withMaintenance(t *testing.T, members int, prepare func(*cluster), test func(*cluster)) {
	withCluster(t, 2, 8, 0, func(c *cluster) {
		c.periods = fleet.Periods{MaintenancePeriod: 10 * time.Minute, MoveDuration: 15 * time.Second}
		if prepare != nil {
			prepare(c)
		}
		for range members {
			c.add()
		}
		test(c)
	})
}

// maxDisruptions samples the pool rows twice a second for d and returns the maximum number
// of hosts of one pool out of service.
func (c *cluster) maxDisruptions(d time.Duration) int {
	highest := 0
	for range int(d / (500 * time.Millisecond)) {
		time.Sleep(500 * time.Millisecond)
		for i := range c.config.Pools {
			highest = max(highest, c.pool(i).Disruptions().Total())
		}
	}
	return highest
}

func (c *cluster) assertMaintained(i int, since time.Time) {
	c.t.Helper()
	for _, h := range c.pool(i).Hosts {
		if h.LastMaintained.Before(since) {
			c.t.Errorf("host %s was last maintained at %v", h.ID, h.LastMaintained)
		}
	}
}

func TestMaintenanceWave(t *testing.T) {
	t.Run("every host within the period and the budget", func(t *testing.T) {
		withMaintenance(t, 3, nil, func(c *cluster) {
			time.Sleep(20 * time.Second)
			started := time.Now()
			highest := c.maxDisruptions(10 * time.Minute)
			c.is.True(highest <= 2) // hosts out of service at the same time
			c.assertMaintained(0, started)
			c.assertMaintained(1, started)
			c.assertOnePoolEach()
		})
	})
	t.Run("the next holder goes on and reboots no host twice", func(t *testing.T) {
		withMaintenance(t, 3, nil, func(c *cluster) {
			time.Sleep(20 * time.Second)
			started := time.Now()
			c.sleepUntil(func() bool { return c.pool(0).Disruptions().Planned > 0 })
			c.kill(c.memberNamed(c.pool(0).Holder))
			c.is.True(c.maxDisruptions(10*time.Minute) <= 2)
			c.assertMaintained(0, started)
			for id, n := range c.hosts.rebootCounts() {
				c.is.True(n <= 2) // at most once per period
				c.is.True(c.hosts.isLive(id) || n == 2)
			}
		})
	})
	t.Run("failures hold it back", func(t *testing.T) {
		withMaintenance(t, 3, nil, func(c *cluster) {
			time.Sleep(20 * time.Second)
			c.hosts.updateCondition(hostName(0, 6), platform.ConditionFailed)
			c.hosts.updateCondition(hostName(0, 7), platform.ConditionFailed)
			time.Sleep(9 * time.Minute)
			c.is.Equal(c.pool(0).Disruptions().Planned, 0)
			c.is.True(c.waitReason(0) != "") // the status gives the reason
			c.hosts.updateCondition(hostName(0, 6), platform.ConditionLive)
			c.hosts.updateCondition(hostName(0, 7), platform.ConditionLive)
			c.sleepUntil(func() bool { return c.pool(0).Disruptions().Planned > 0 })
		})
	})
	t.Run("a host that never comes back stays counted", func(t *testing.T) {
		withMaintenance(t, 2, func(c *cluster) { c.periods.RebootTimeout = time.Minute }, func(c *cluster) {
			for h := range 8 {
				c.hosts.neverReturns[hostName(0, h)] = true
			}
			c.is.True(c.maxDisruptions(20*time.Minute) <= 2)
			c.is.Equal(c.pool(0).Disruptions().Failed, 2)
		})
	})
	t.Run("a store outage between drain and reboot", func(t *testing.T) {
		withMaintenance(t, 2, nil, func(c *cluster) {
			time.Sleep(20 * time.Second)
			started := time.Now()
			c.sleepUntil(func() bool { return c.pool(0).Disruptions().Planned > 0 })
			c.table.SetFaults(standin.TableFaults{Down: true})
			time.Sleep(time.Minute)
			c.table.SetFaults(standin.TableFaults{LoseAnswers: 5})
			c.is.True(c.maxDisruptions(9*time.Minute) <= 2)
			c.assertMaintained(0, started)
		})
	})
}

func TestDrain(t *testing.T) {
	t.Run("waits for requests in progress at every member", func(t *testing.T) {
		var free atomic.Bool
		busy := map[host.ID]int{}
		prepare := func(c *cluster) {
			c.configure = func(m *fleet.Manager) {
				if m.Member == "entry-2" {
					m.InProgress = func(string) map[host.ID]int {
						if free.Load() {
							return nil
						}
						return busy
					}
				}
			}
			for h := range 8 {
				busy[hostName(0, h)] = 1
			}
		}
		withMaintenance(t, 3, prepare, func(c *cluster) {
			c.sleepUntil(func() bool { return c.pool(0).Disruptions().Planned > 0 })
			time.Sleep(time.Minute)
			for id := range c.hosts.rebootCounts() {
				c.is.Equal(busy[id], 0) // requests in progress on a host that was rebooted
			}
			free.Store(true)
			c.sleepUntil(func() bool { return c.hosts.rebootCounts()[hostName(0, 0)] > 0 })
		})
	})
	t.Run("waits for tasks and is given up after the timeout", func(t *testing.T) {
		prepare := func(c *cluster) {
			c.periods.DrainTimeout = time.Minute
			c.configure = func(m *fleet.Manager) { m.TaskCount = func(host.ID) int { return 1 } }
		}
		withMaintenance(t, 2, prepare, func(c *cluster) {
			c.sleepUntil(func() bool { return c.pool(0).Disruptions().Planned > 0 })
			draining := c.managers[0].DrainingHosts(poolName(0))
			c.is.Equal(len(draining), 1)
			c.sleepUntil(func() bool {
				h, _ := c.pool(0).Host(draining[0])
				return h.State == host.Serving && !h.LastDrainAbandoned.IsZero()
			})
			c.is.Equal(len(c.hosts.rebootCounts()), 0)
		})
	})
	t.Run("waits for a member that is cut off until it is silent", func(t *testing.T) {
		for phase := range 3 {
			assertNotRoutedAtReboot(t, phase)
		}
	})
	t.Run("waits for the platform's confirmation", func(t *testing.T) {
		withMaintenance(t, 2, nil, func(c *cluster) {
			c.hosts.update(func(f *fakeHosts) { f.down = true })
			c.sleepUntil(func() bool { return c.pool(0).Disruptions().Planned > 0 })
			time.Sleep(time.Minute)
			c.is.Equal(len(c.hosts.rebootCounts()), 0)
		})
	})
}

// assertNotRoutedAtReboot makes a member unreachable some time after a drain began, so that
// the age of its last heartbeat differs with the phase, and checks that the member doesn't
// route to the drained host when that is rebooted.
func assertNotRoutedAtReboot(t *testing.T, phase int) {
	t.Helper()
	withMaintenance(t, 3, nil, func(c *cluster) {
		time.Sleep(20 * time.Second)
		c.sleepUntil(func() bool { return c.pool(0).Disruptions().Planned > 0 })
		time.Sleep(time.Duration(phase) * 250 * time.Millisecond)
		isolated := c.nonHolder(0)
		isolated.setTableUnreachable(true)
		c.hosts.update(func(f *fakeHosts) {
			f.onReboot = func(id host.ID) {
				s, _ := isolated.Snapshot(poolName(0))
				c.is.True(!slices.ContainsFunc(s.Targets, func(t route.Target) bool { return t.Host == id }))
			}
		})
		c.sleepUntil(func() bool { return len(c.hosts.rebootCounts()) > 0 })
	})
}

// sleepUntil waits in virtual time until outcome is true.
func (c *cluster) sleepUntil(outcome func() bool) {
	c.t.Helper()
	const limit = 30 * time.Minute
	for range int(limit / (500 * time.Millisecond)) {
		if outcome() {
			return
		}
		time.Sleep(500 * time.Millisecond)
	}
	c.t.Fatal("the outcome did not occur within 30 minutes of virtual time")
}

// waitReason returns what holds back planned work of a pool, according to the status of its
// holder.
func (c *cluster) waitReason(i int) string {
	return c.memberNamed(c.pool(i).Holder).Status().Pools[i].WorkWaitsFor
}

func (f *fakeHosts) update(change func(*fakeHosts)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f)
}

func (f *fakeHosts) rebootCounts() map[host.ID]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := make(map[host.ID]int)
	for _, id := range f.operations {
		n[id]++
	}
	return n
}

func (f *fakeHosts) isLive(id host.ID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.listings[id].Condition == platform.ConditionLive
}
