package fleet_test

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"siskincross/core/host"
	"siskincross/core/route"
	"siskincross/io/fleet"
	"siskincross/io/peer"
	"siskincross/io/peer/peerpb"
	"siskincross/io/platform"
	"siskincross/io/standin"
)

// mesh connects managers in memory. Broadcasts are delivered after one millisecond.
type mesh struct {
	mu       sync.Mutex
	handlers map[string]map[peer.Kind]handler
	// partitioned reports whether two members can't reach each other; nil means that all
	// can.
	partitioned func(a, b string) bool
	// failCalls makes every call fail. Broadcasts still arrive.
	failCalls bool
	bytes     int
}

type handler func(context.Context, string, *peerpb.Envelope) *peerpb.Envelope

func (n *mesh) link(member string) fleet.Link {
	return fleet.Link{
		Broadcast: func(e *peerpb.Envelope) { n.broadcast(member, e) },
		Call: func(ctx context.Context, to string, e *peerpb.Envelope) (*peerpb.Envelope, error) {
			return n.call(ctx, member, to, e)
		},
		Handle: func(kind peer.Kind, h func(context.Context, string, *peerpb.Envelope) *peerpb.Envelope) {
			n.mu.Lock()
			defer n.mu.Unlock()
			if n.handlers[member] == nil {
				n.handlers[member] = make(map[peer.Kind]handler)
			}
			n.handlers[member][kind] = h
		},
	}
}

func (n *mesh) broadcast(from string, e *peerpb.Envelope) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for to, handlers := range n.handlers {
		h := handlers[peer.KindOf(e)]
		if to == from || h == nil || (n.partitioned != nil && n.partitioned(from, to)) {
			continue
		}
		n.bytes += proto.Size(e)
		time.AfterFunc(time.Millisecond, func() { h(context.Background(), from, e) })
	}
}

func (n *mesh) call(ctx context.Context, from, to string, e *peerpb.Envelope) (*peerpb.Envelope, error) {
	n.mu.Lock()
	h := n.handlers[to][peer.KindOf(e)]
	if n.failCalls || (n.partitioned != nil && n.partitioned(from, to)) {
		n.mu.Unlock()
		return nil, context.DeadlineExceeded
	}
	n.mu.Unlock()
	reply := h(ctx, from, e)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.bytes += proto.Size(e) + proto.Size(reply)
	return reply, nil
}

func (n *mesh) setFailCalls() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.failCalls = true
}

func (n *mesh) setPartition(partitioned func(a, b string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned = partitioned
}

// withMesh runs a test on a cluster of connected members, after its duties have settled.
func withMesh(t *testing.T, members int, test func(*cluster, *mesh)) {
	withCluster(t, 3, 8, 0, func(c *cluster) {
		n := &mesh{handlers: make(map[string]map[peer.Kind]handler)}
		c.periods = fleet.Periods{MaintenancePeriod: 10 * time.Minute, MoveDuration: 15 * time.Second}
		c.configure = func(m *fleet.Manager) { m.Link = n.link(m.Member) }
		for range members {
			c.add()
		}
		time.Sleep(20 * time.Second)
		test(c, n)
	})
}

// assertServing checks whether each of the members has targets for requests.
func (c *cluster) assertServing(want bool, members ...*member) {
	c.t.Helper()
	for _, m := range members {
		if got := c.targetCount(m, 0) > 0; got != want {
			c.t.Errorf("member %s routes: %v", m.Member, got)
		}
	}
}

func TestVouching(t *testing.T) {
	t.Run("cut off from the store, peers vouch", func(t *testing.T) {
		withMesh(t, 3, func(c *cluster, _ *mesh) {
			c.managers[0].setTableUnreachable(true)
			time.Sleep(10 * time.Minute)
			c.assertServing(true, c.managers...)
		})
	})
	t.Run("cut off from the store and from peers", func(t *testing.T) {
		withMesh(t, 3, func(c *cluster, n *mesh) {
			c.managers[0].setTableUnreachable(true)
			n.setPartition(func(a, b string) bool { return a == "entry-0" || b == "entry-0" })
			time.Sleep(3100 * time.Millisecond)
			c.assertServing(false, c.managers[0])
			time.Sleep(10 * time.Minute)
			c.assertServing(false, c.managers[0])
			c.assertServing(true, c.managers[1:]...)
		})
	})
	t.Run("store outage with all peers in touch stops nothing", func(t *testing.T) {
		withMesh(t, 3, func(c *cluster, _ *mesh) {
			c.table.SetFaults(standin.TableFaults{Down: true})
			for range 120 {
				time.Sleep(time.Second)
				c.assertServing(true, c.managers...)
			}
		})
	})
	t.Run("partition in a store outage: the majority goes on", func(t *testing.T) {
		withMesh(t, 5, func(c *cluster, n *mesh) {
			c.table.SetFaults(standin.TableFaults{Down: true})
			n.setPartition(func(a, b string) bool { return (a < "entry-2") != (b < "entry-2") })
			time.Sleep(3100 * time.Millisecond)
			c.assertServing(false, c.managers[:2]...)
			c.assertServing(true, c.managers[2:]...)
		})
	})
	t.Run("planned work waits while a majority is cut off and goes on serving", func(t *testing.T) {
		withMesh(t, 5, func(c *cluster, n *mesh) {
			n.setPartition(func(a, b string) bool { return (a < "entry-2") != (b < "entry-2") })
			for _, m := range c.managers[2:] {
				m.setTableUnreachable(true)
			}
			time.Sleep(8 * time.Minute)
			c.assertServing(true, c.managers...)
			c.is.Equal(len(c.hosts.rebootCounts()), 0)
		})
	})
}

func TestRoutesReachMembersWithoutTheStore(t *testing.T) {
	t.Run("drained host within three seconds", func(t *testing.T) {
		withMesh(t, 3, func(c *cluster, _ *mesh) {
			isolated := c.nonHolder(0)
			c.is.Equal(c.targetCount(isolated, 0), 8)
			isolated.setTableUnreachable(true)
			drained := c.waitForDrain(0)
			time.Sleep(3 * time.Second)
			c.assertNotRouted(isolated, drained)
		})
	})
	t.Run("routes that can't be had are not replaced by old ones", func(t *testing.T) {
		withMesh(t, 3, func(c *cluster, n *mesh) {
			isolated, holder := c.nonHolder(0), c.pool(0).Holder
			isolated.setTableUnreachable(true)
			n.setFailCalls()
			n.setPartition(func(a, b string) bool { return a == holder && b == isolated.Member })
			c.sleepUntil(func() bool { return c.pool(0).Disruptions().Planned > 0 })
			time.Sleep(3 * time.Second)
			c.is.Equal(c.targetCount(isolated, 0), -1) // the routes of this pool are too old to use
		})
	})
	t.Run("by way of a third member", func(t *testing.T) {
		withMesh(t, 3, func(c *cluster, n *mesh) {
			isolated, holder := c.nonHolder(0), c.pool(0).Holder
			isolated.setTableUnreachable(true)
			n.setPartition(func(a, b string) bool {
				return a == holder && b == isolated.Member || a == isolated.Member && b == holder
			})
			drained := c.waitForDrain(0)
			time.Sleep(3 * time.Second)
			c.assertNotRouted(isolated, drained)
		})
	})
	t.Run("its requests in progress hold the drain up", func(t *testing.T) {
		withCluster(t, 3, 8, 0, func(c *cluster) {
			n := &mesh{handlers: make(map[string]map[peer.Kind]handler)}
			c.periods = fleet.Periods{MaintenancePeriod: 10 * time.Minute, MoveDuration: 15 * time.Second}
			busy := map[host.ID]int{}
			for h := range 8 {
				busy[hostName(0, h)] = 1
			}
			c.configure = func(m *fleet.Manager) {
				m.Link = n.link(m.Member)
				m.InProgress = func(string) map[host.ID]int { return busy }
			}
			for range 3 {
				c.add()
			}
			time.Sleep(20 * time.Second)
			c.nonHolder(0).setTableUnreachable(true)
			c.sleepUntil(func() bool { return c.pool(0).Disruptions().Planned > 0 })
			time.Sleep(time.Minute)
			for id := range c.hosts.rebootCounts() {
				c.is.Equal(busy[id], 0) // requests in progress on a host that was rebooted
			}
			c.is.Equal(c.managers[0].PeerLoad(poolName(0))[hostName(0, 0)], 2) // by the two other members
		})
	})
	t.Run("listed as leaving during an outage", func(t *testing.T) {
		withMesh(t, 3, func(c *cluster, _ *mesh) {
			c.table.SetFaults(standin.TableFaults{Down: true})
			c.hosts.updateCondition(hostName(0, 3), platform.ConditionLeaving)
			time.Sleep(3 * time.Second)
			for _, m := range c.managers {
				c.is.Equal(c.targetCount(m, 0), 7)
			}
		})
	})
}

// waitForDrain waits until a host of a pool is out of service for planned work and returns
// it.
func (c *cluster) waitForDrain(i int) host.ID {
	c.sleepUntil(func() bool { return c.pool(i).Disruptions().Planned > 0 })
	for _, h := range c.pool(i).Hosts {
		if h.State != host.Serving {
			return h.ID
		}
	}
	return ""
}

// assertNotRouted checks that a member routes to hosts of the first pool, but not to the
// given one.
func (c *cluster) assertNotRouted(m *member, id host.ID) {
	c.t.Helper()
	s, _ := m.Snapshot(poolName(0))
	c.is.True(!slices.ContainsFunc(s.Targets, func(t route.Target) bool { return t.Host == id }))
	c.is.True(len(s.Targets) > 0)
}

func (n *mesh) sentBytes() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.bytes
}

// nonHolder returns a member that does not hold a pool's duty.
func (c *cluster) nonHolder(i int) *member {
	for _, m := range c.managers {
		if m.Member != c.pool(i).Holder {
			return m
		}
	}
	return nil
}
