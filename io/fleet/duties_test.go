package fleet_test

import (
	"context"
	"slices"
	"testing"
	"time"

	"siskincross/core/host"
	"siskincross/io/platform"
	"siskincross/io/standin"
)

func TestAdoption(t *testing.T) {
	withCluster(t, 5, 10, 3, func(c *cluster) {
		time.Sleep(5 * time.Second)
		c.assertOneHolderEach(c.managers...)
		c.assertOnePoolEach()
		for _, m := range c.managers {
			for i := range 5 {
				c.is.Equal(c.targetCount(m, i), 10) // targets of a pool at a member
			}
		}
	})
}

func TestTakeover(t *testing.T) {
	t.Run("killed holder within the lapse", func(t *testing.T) {
		withCluster(t, 5, 4, 3, func(c *cluster) {
			time.Sleep(20 * time.Second)
			c.kill(c.managers[0])
			time.Sleep(6 * time.Second)
			c.assertOneHolderEach(c.managers[1:]...)
		})
	})
	t.Run("paused holder decides nothing when it wakes", func(t *testing.T) {
		withCluster(t, 5, 4, 3, func(c *cluster) {
			time.Sleep(20 * time.Second)
			before := c.pool(0)
			paused := c.memberNamed(before.Holder)
			resume := paused.pause()
			c.hosts.updateCondition(hostName(0, 0), platform.ConditionFailed)
			time.Sleep(time.Minute)
			taken := c.pool(0)
			c.is.Equal(taken.Epoch, before.Epoch+1) // one takeover
			resume()
			time.Sleep(3 * time.Second)
			c.is.Equal(c.pool(0), taken) // the resumed holder wrote nothing
			_, holds := paused.DutyEpoch(poolName(0))
			c.is.True(!holds)
			time.Sleep(30 * time.Second)
			c.assertOneHolderEach(c.managers...)
		})
	})
	t.Run("all replaced one after another, two at once at the end", func(t *testing.T) {
		withCluster(t, 5, 4, 7, func(c *cluster) {
			time.Sleep(20 * time.Second)
			for i := range 5 {
				c.add()
				c.is.NoErr(c.managers[i].HandOver(context.Background()))
				c.kill(c.managers[i])
				time.Sleep(15 * time.Second)
				c.assertOneHolderEach(c.managers[i+1:]...)
			}
			c.add()
			c.add()
			c.kill(c.managers[5])
			c.kill(c.managers[6])
			time.Sleep(7 * time.Second)
			c.assertOneHolderEach(c.managers[7:]...)
			c.assertOnePoolEach()
		})
	})
	t.Run("hand-over passes duties on without a lapse", func(t *testing.T) {
		withCluster(t, 5, 4, 2, func(c *cluster) {
			time.Sleep(20 * time.Second)
			c.is.NoErr(c.managers[0].HandOver(context.Background()))
			c.kill(c.managers[0])
			time.Sleep(2 * time.Second)
			c.assertOneHolderEach(c.managers[1])
		})
	})
}

func TestHandOver(t *testing.T) {
	t.Run("the successors know of all duties when it returns", func(t *testing.T) {
		withCluster(t, 49, 1, 3, func(c *cluster) {
			time.Sleep(20 * time.Second)
			c.is.NoErr(c.managers[0].HandOver(context.Background()))
			c.assertOneHolderEach(c.managers[1:]...)
		})
	})
	t.Run("no duty goes to a member that left a moment ago", func(t *testing.T) {
		withCluster(t, 20, 1, 3, func(c *cluster) {
			time.Sleep(20 * time.Second)
			c.is.NoErr(c.managers[0].HandOver(context.Background()))
			c.is.NoErr(c.managers[1].HandOver(context.Background()))
			c.assertOneHolderEach(c.managers[2])
		})
	})
}

// TestHandOverBeforeOutage guards against reporting a stop as failed when the table service
// becomes unavailable after the duties were released and before the member row is deleted.
// Nothing is left undone then.
func TestHandOverBeforeOutage(t *testing.T) {
	withCluster(t, 20, 1, 3, func(c *cluster) {
		time.Sleep(20 * time.Second)
		leaving := c.managers[0]
		time.AfterFunc(200*time.Millisecond, func() { leaving.readOnly.Store(true) })
		c.is.NoErr(leaving.HandOver(context.Background()))
		c.assertOneHolderEach(c.managers[1:]...)
	})
}

// TestHandOverInOutage guards against a stop that fails because the table service is
// unavailable for a moment when the hand-over begins.
func TestHandOverInOutage(t *testing.T) {
	withCluster(t, 20, 1, 3, func(c *cluster) {
		time.Sleep(20 * time.Second)
		c.table.SetFaults(standin.TableFaults{Down: true})
		time.AfterFunc(500*time.Millisecond, func() { c.table.SetFaults(standin.TableFaults{}) })
		c.is.NoErr(c.managers[0].HandOver(context.Background()))
		c.assertOneHolderEach(c.managers[1:]...)
	})
}

func TestStoreOutage(t *testing.T) {
	t.Run("lapses nobody", func(t *testing.T) {
		withCluster(t, 5, 4, 3, func(c *cluster) {
			time.Sleep(20 * time.Second)
			epochs := c.epochs()
			c.table.SetFaults(standin.TableFaults{Down: true})
			time.Sleep(5 * time.Minute)
			c.table.SetFaults(standin.TableFaults{})
			time.Sleep(10 * time.Second)
			c.is.Equal(c.epochs(), epochs) // no duty changed hands
			c.assertOneHolderEach(c.managers...)
		})
	})
	t.Run("lost answers are read back", func(t *testing.T) {
		withCluster(t, 5, 4, 0, func(c *cluster) {
			c.table.SetFaults(standin.TableFaults{LoseAnswers: 20})
			c.add()
			c.add()
			time.Sleep(20 * time.Second)
			c.assertOneHolderEach(c.managers...)
			c.assertOnePoolEach()
			c.is.Equal(len(c.pool(0).Hosts), 4)
		})
	})
	t.Run("lost commits are tried again", func(t *testing.T) {
		withCluster(t, 5, 4, 0, func(c *cluster) {
			c.table.SetFaults(standin.TableFaults{LoseCommits: 20})
			c.add()
			c.add()
			time.Sleep(20 * time.Second)
			c.assertOneHolderEach(c.managers...)
			c.assertOnePoolEach()
		})
	})
	t.Run("member cut off from store and peers falls silent", func(t *testing.T) {
		withCluster(t, 2, 4, 2, func(c *cluster) {
			time.Sleep(10 * time.Second)
			c.managers[0].setTableUnreachable(true)
			time.Sleep(3100 * time.Millisecond)
			c.is.Equal(c.targetCount(c.managers[0], 0), -1) // no snapshot
			c.is.Equal(c.targetCount(c.managers[1], 0), 4)
			c.managers[0].setTableUnreachable(false)
			time.Sleep(2 * time.Second)
			c.is.Equal(c.targetCount(c.managers[0], 0), 4)
		})
	})
}

func TestSilentBeforeLapsed(t *testing.T) {
	faults := map[string]func(*member){
		"cut off":             func(m *member) { m.setTableUnreachable(true) },
		"can't write its row": func(m *member) { m.readOnly.Store(true) },
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			for phase := range 8 {
				withCluster(t, 1, 4, 2, func(c *cluster) {
					time.Sleep(15*time.Second + time.Duration(phase)*250*time.Millisecond)
					lost, other := c.managers[0], c.managers[1]
					fault(lost)
					for slices.Contains(other.Members(), lost.Member) {
						time.Sleep(50 * time.Millisecond)
					}
					c.is.Equal(c.targetCount(lost, 0), -1) // no routes once other members may find it lapsed
				})
			}
		})
	}
	t.Run("a slow store silences nobody", func(t *testing.T) {
		withCluster(t, 1, 4, 2, func(c *cluster) {
			time.Sleep(15 * time.Second)
			c.table.SetFaults(standin.TableFaults{Delay: 700 * time.Millisecond})
			for range 120 {
				time.Sleep(500 * time.Millisecond)
				c.is.Equal(c.targetCount(c.managers[0], 0), 4)
				c.is.Equal(len(c.managers[0].Members()), 2)
			}
		})
	})
}

func TestListedConditions(t *testing.T) {
	t.Run("failed host leaves the snapshots and returns", func(t *testing.T) {
		withCluster(t, 2, 4, 3, func(c *cluster) {
			time.Sleep(10 * time.Second)
			c.hosts.updateCondition(hostName(0, 1), platform.ConditionFailed)
			time.Sleep(3 * time.Second)
			c.is.Equal(c.pool(0).Disruptions().Failed, 1)
			for _, m := range c.managers {
				c.is.Equal(c.targetCount(m, 0), 3)
			}
			c.hosts.updateCondition(hostName(0, 1), platform.ConditionLive)
			time.Sleep(15 * time.Second)
			c.is.Equal(c.pool(0).Disruptions().Total(), 0)
			c.is.Equal(c.targetCount(c.managers[0], 0), 4)
		})
	})
	t.Run("leaving host gets no new work within three seconds during a store outage", func(t *testing.T) {
		withCluster(t, 2, 4, 1, func(c *cluster) {
			time.Sleep(10 * time.Second)
			c.table.SetFaults(standin.TableFaults{Down: true})
			time.Sleep(30 * time.Second)
			c.hosts.updateCondition(hostName(0, 1), platform.ConditionLeaving)
			time.Sleep(3 * time.Second)
			c.is.Equal(c.targetCount(c.managers[0], 0), 3)
		})
	})
	t.Run("empty list takes no host away", func(t *testing.T) {
		withCluster(t, 2, 4, 2, func(c *cluster) {
			time.Sleep(10 * time.Second)
			c.hosts.hide(func(platform.HostInfo) bool { return true })
			time.Sleep(10 * time.Minute)
			c.is.Equal(c.targetCount(c.managers[0], 0), 4)
			c.is.Equal(c.pool(0).Disruptions().Total(), 0)
		})
	})
	t.Run("missing host is failed, then forgotten, and adopted when it comes back", func(t *testing.T) {
		withCluster(t, 2, 4, 0, func(c *cluster) {
			c.periods.RemovalTimeout = 5 * time.Minute
			c.add()
			c.add()
			time.Sleep(10 * time.Second)
			gone := hostName(0, 2)
			c.hosts.hide(func(l platform.HostInfo) bool { return l.Host == gone })
			time.Sleep(40 * time.Second)
			c.assertState(0, gone, host.Failed)
			time.Sleep(6 * time.Minute)
			c.is.Equal(len(c.pool(0).Hosts), 3)
			c.assertOnePoolEach()
			c.hosts.hide(nil)
			time.Sleep(10 * time.Second)
			c.assertState(0, gone, host.Serving)
		})
	})
	t.Run("flapping list changes nothing", func(t *testing.T) {
		withCluster(t, 2, 4, 2, func(c *cluster) {
			time.Sleep(20 * time.Second)
			before := c.pool(0)
			for n := range 30 {
				c.hosts.hide(func(l platform.HostInfo) bool { return n%2 == 0 && l.Host == hostName(0, 2) })
				time.Sleep(2 * time.Second)
			}
			c.is.Equal(c.pool(0), before)
		})
	})
}
