package measure

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"siskincross/core/host"
	"siskincross/io/node"
	"siskincross/io/operator"
	"siskincross/io/settings"
	"siskincross/io/standin"
)

const (
	// entryHosts is the number of entry hosts in a measured cluster.
	entryHosts = 7
	// designHosts and designPools are the design size of the fleet. Smaller fleets have proportionally fewer pools.
	designHosts = 2700
	designPools = 49
	// designTeams is the number of teams at the design size. Smaller fleets have proportionally fewer.
	designTeams = 110
	rackSize    = 4
	zones       = 7

	hostSlots       = 8
	hostConnections = 64
	hostCores       = 32
	hostMemoryBytes = 64 << 30

	organisation = "measured"
	readyTimeout = 30 * time.Second
)

// cluster is a set of entry hosts in this process that share one stand-in platform. They call
// it directly instead of over the network, so that the measurement covers the entry hosts only.
type cluster struct {
	platform *standin.Platform
	nodes    []*node.Node
	done     []<-chan error
	stop     context.CancelFunc
}

// startCluster starts the entry hosts and returns when all of them serve a configuration with size hosts.
func startCluster(ctx context.Context, size int) (*cluster, error) {
	ctx, stop := context.WithCancel(ctx)
	c := &cluster{platform: standin.New(newFleet(size)), stop: stop}
	for i := range entryHosts {
		if err := c.startEntryHost(ctx, i); err != nil {
			return nil, errors.Join(err, c.kill())
		}
	}
	if err := c.configure(ctx, size); err != nil {
		return nil, errors.Join(err, c.kill())
	}
	return c, nil
}

// startEntryHost starts an entry host with the earlier ones as seeds and waits until it listens.
func (c *cluster) startEntryHost(ctx context.Context, index int) error {
	s, err := settings.Parse("measure", settingsText(index))
	if err != nil {
		return err
	}
	for _, n := range c.nodes {
		s.Peers.Seeds = append(s.Peers.Seeds, n.Addresses().Peers)
	}
	n := node.New(s, c.platform.Services())
	end := n.Start(ctx)
	c.nodes = append(c.nodes, n)
	c.done = append(c.done, end)
	select {
	case <-n.Listening():
		return nil
	case <-time.After(readyTimeout):
		return errors.Newf("entry host %d did not start to listen in time", index)
	}
}

// configure applies the configuration and waits until every entry host serves it.
func (c *cluster) configure(ctx context.Context, size int) error {
	client := operator.Client{Address: c.nodes[0].Addresses().Operators}
	_, err := client.Apply(ctx, operator.Change{
		Organisation: organisation,
		Template:     templateText(size),
		Parameters:   parametersText(),
	})
	if err != nil {
		return errors.Wrap(err, "apply the configuration")
	}
	for i, n := range c.nodes {
		select {
		case <-n.Ready():
		case <-time.After(readyTimeout):
			return errors.Newf("entry host %d did not become ready in time", i)
		}
	}
	return nil
}

// kill ends the entry hosts without a graceful shutdown, which is not measured, and returns their errors.
func (c *cluster) kill() error {
	for _, n := range c.nodes {
		n.Kill()
	}
	c.stop()
	var problems []error
	for _, end := range c.done {
		problems = append(problems, <-end)
	}
	return errors.Join(problems...)
}

// settingsText returns the TOML settings of an entry host.
func settingsText(index int) string {
	return fmt.Sprintf(`
deployment = "measured"
name = "entry-%d"
zone = "zone-%d"
callers.listen = "127.0.0.1:0"
operators.listen = "127.0.0.1:0"
peers.listen = "127.0.0.1:0"
platform.address = "127.0.0.1:1"
logs.level = "error"
`, index+1, index%zones+1)
}

// poolCount returns the number of pools of a fleet with size hosts.
func poolCount(size int) int {
	return max(1, size*designPools/designHosts)
}

// teamCount returns the number of teams of a fleet with size hosts.
func teamCount(size int) int {
	return max(1, size*designTeams/designHosts)
}

func poolName(index int) string { return fmt.Sprintf("pool-%02d", index+1) }

// newFleet returns a stand-in fleet with size hosts in racks and zones.
func newFleet(size int) standin.Fleet {
	pools := poolCount(size)
	hosts := make([]standin.HostSpec, size)
	for i := range hosts {
		rack := i / rackSize
		hosts[i] = standin.HostSpec{
			ID:    host.ID(fmt.Sprintf("host-%04d", i+1)),
			Place: host.Place{Zone: fmt.Sprintf("zone-%d", rack%zones+1), Rack: fmt.Sprintf("rack-%03d", rack+1)},
			Capacity: host.Capacity{
				Slots: hostSlots, Connections: hostConnections, Cores: hostCores, MemoryBytes: hostMemoryBytes,
			},
			HomePool: organisation + "/" + poolName(rack%pools),
		}
	}
	return standin.Fleet{Hosts: hosts, ListLag: time.Second, UsageLag: time.Second}
}

// templateText returns a template with the pools, queues and teams of a fleet with size hosts.
func templateText(size int) string {
	var b strings.Builder
	b.WriteString("name = \"measured\"\nslots-per-host = 8\n")
	pools := poolCount(size)
	for i := range pools {
		hosts := size / pools
		fmt.Fprintf(&b, "[pools.%s]\nhosts = %d\nmin-hosts = %d\nmax-unavailable = 3\n", poolName(i), hosts, hosts/2)
		fmt.Fprintf(&b, "buffer-weight = 1.0\nmove-weight = 1.0\n")
		if i == 0 {
			b.WriteString("spare = true\n")
		}
		fmt.Fprintf(&b, "[queues.queue-%02d]\npool = %q\nmax-queued = 200\ndeadline = \"2s\"\n", i+1, poolName(i))
	}
	for i := range teamCount(size) {
		fmt.Fprintf(&b, "[teams.team-%03d]\nweight = 1\nslots = 4\n", i+1)
	}
	return b.String()
}
