package rollout

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskincross/core/config"
	"siskincross/core/event"
	"siskincross/io/peer/peerpb"
	"siskincross/io/standin"
)

func TestSpread(t *testing.T) {
	t.Run("a missed push is made up for by the store", func(t *testing.T) {
		withCluster(t, threeMembers, func(t *testing.T, c *cluster) {
			c.setLinkDown("a", "c", true)
			c.setLinkDown("b", "c", true)
			accepted := c.mustApply("a", c.portLouisChange(9, 0))
			time.Sleep(2 * time.Second)
			c.assertVersion(accepted.Version, threeMembers...)
		})
	})
	t.Run("a member that the accepting host can't reach hears it from another one", func(t *testing.T) {
		withCluster(t, threeMembers, func(t *testing.T, c *cluster) {
			c.setLinkDown("a", "c", true)
			accepted := c.mustApply("a", c.portLouisChange(9, 0))
			c.table.SetFaults(standin.TableFaults{Down: true})
			time.Sleep(2 * time.Second)
			c.assertVersion(accepted.Version, threeMembers...)
		})
	})
	t.Run("a version waits for the live member that has not acknowledged", func(t *testing.T) {
		withCluster(t, threeMembers, func(t *testing.T, c *cluster) {
			is := is.New(t)
			c.setLinkDown("a", "c", true)
			c.setLinkDown("b", "c", true)
			accepted := c.mustApply("a", c.portLouisChange(9, 0))
			c.table.SetFaults(standin.TableFaults{Down: true})
			time.Sleep(time.Minute)
			is.Equal(c.node("a").RolloutProgress(accepted.Version).Waiting, []string{"c"})
			is.Equal(c.countEvents("a", event.ConfigInForce), 0)
			c.stop("c")
			time.Sleep(2 * time.Second)
			is.True(c.node("a").RolloutProgress(accepted.Version).InForce)
			is.Equal(c.countEvents("a", event.ConfigInForce), 1)
		})
	})
	t.Run("two regions without each other for an hour agree through the store", func(t *testing.T) {
		withCluster(t, []string{"a1", "a2", "b1", "b2"}, func(t *testing.T, c *cluster) {
			for _, pair := range []string{"a1b1", "a1b2", "a2b1", "a2b2"} {
				c.setLinkDown(pair[:2], pair[2:], true)
			}
			version := config.Version(0)
			for i := range 12 {
				member := []string{"a1", "b2"}[i%2]
				version = c.mustApply(member, c.portLouisChange(9+i, version)).Version
				time.Sleep(5 * time.Minute)
				c.assertVersion(version, "a1", "a2", "b1", "b2")
			}
		})
	})
	t.Run("a lower version never replaces a higher one", func(t *testing.T) {
		withCluster(t, []string{"a"}, func(t *testing.T, c *cluster) {
			n := c.node("a")
			n.adopt(config.Expanded{Version: 5}, nil, "a late push")
			n.adopt(config.Expanded{Version: 4}, nil, "a crossed push")
			c.assertVersion(5, "a")
		})
	})
	t.Run("a store restored from an older copy reverts nobody and takes no change", func(t *testing.T) {
		withCluster(t, threeMembers, func(t *testing.T, c *cluster) {
			first := c.mustApply("a", c.portLouisChange(9, 0))
			second := c.mustApply("a", c.portLouisChange(10, first.Version))
			time.Sleep(time.Second)
			c.raiseHeadVersion(^config.Version(0))
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			_, err := c.node("a").Apply(ctx, c.portLouisChange(11, second.Version))
			var notAccepted ErrNotAccepted
			is.New(t).True(errors.As(err, &notAccepted))
			c.assertVersion(second.Version, threeMembers...)
		})
	})
	t.Run("a malformed push changes nothing and is refused", func(t *testing.T) {
		withCluster(t, threeMembers, func(t *testing.T, c *cluster) {
			is := is.New(t)
			first := c.mustApply("a", c.portLouisChange(9, 0))
			content, err := marshalCompressed(config.Expanded{Version: 7})
			is.NoErr(err)
			for _, push := range []*peerpb.Envelope{headMessage(8, []byte("no configuration")), headMessage(8, content)} {
				reply := c.node("b").handleHead(t.Context(), "a", push)
				is.True(reply.GetAcknowledgement().GetError() != "")
			}
			time.Sleep(time.Second)
			c.assertVersion(first.Version, threeMembers...)
		})
	})
}

func TestProof(t *testing.T) {
	t.Run("an empty store that answers proves that there is none", func(t *testing.T) {
		withCluster(t, []string{"a"}, func(t *testing.T, c *cluster) {
			c.assertReady("a", true)
			c.assertVersion(0, "a")
		})
	})
	t.Run("without the store and without peers a starting process does not serve", func(t *testing.T) {
		withCluster(t, nil, func(t *testing.T, c *cluster) {
			c.table.SetFaults(standin.TableFaults{Down: true})
			c.start("a")
			time.Sleep(time.Hour)
			c.assertReady("a", false)
			c.table.SetFaults(standin.TableFaults{})
			time.Sleep(time.Second)
			c.assertReady("a", true)
		})
	})
	t.Run("without the store a starting process serves the highest of its peers", func(t *testing.T) {
		withCluster(t, threeMembers, func(t *testing.T, c *cluster) {
			first := c.mustApply("a", c.portLouisChange(9, 0))
			time.Sleep(2 * time.Second)
			c.setLinkDown("a", "c", true)
			c.setLinkDown("b", "c", true)
			// Only c misses the second version, because the table service fails as soon as
			// that is accepted.
			second := c.mustApply("a", c.portLouisChange(10, first.Version))
			c.table.SetFaults(standin.TableFaults{Down: true})
			c.start("d")
			c.assertReady("d", false)
			time.Sleep(10 * time.Second)
			c.assertReady("d", true)
			c.assertVersion(second.Version, "a", "b", "d")
		})
	})
	t.Run("with the object store down the content comes from peers", func(t *testing.T) {
		withCluster(t, threeMembers, func(t *testing.T, c *cluster) {
			first := c.mustApply("a", c.portLouisChange(9, 0))
			c.objects.SetDown(true)
			c.start("d")
			time.Sleep(2 * time.Second)
			c.assertReady("d", true)
			c.assertVersion(first.Version, "d")
		})
	})
}
