package rollout

import (
	"context"
	"encoding/json"
	"fmt"
	"sort"
	"strings"
	"sync"
	"testing"
	"time"

	"siskincross/core/config"
	"siskincross/core/event"
	"siskincross/io/peer"
	"siskincross/io/peer/peerpb"
	"siskincross/io/platform"
	"siskincross/io/standin"
	"siskincross/io/timeline"
)

// linkDelay is the one-way network delay between two zones that the requirements state.
const linkDelay = 1400 * time.Microsecond

// cluster is a set of managers that share one table service and one object store, with
// links that can be taken down. It is used in a synctest bubble.
type cluster struct {
	t       testing.TB
	table   standin.Table
	objects standin.Objects

	mu         sync.Mutex
	nodes      map[string]*node
	downLinks  map[string]bool
	deliveries sync.WaitGroup
	// extraDelay is the additional delay of deliveries, by receiving member.
	extraDelay map[string]time.Duration
}

// node is one running manager.
type node struct {
	*Manager
	handlers map[peer.Kind]peer.Handler
	cancel   context.CancelFunc
	done     <-chan error
}

func newCluster(t testing.TB, members ...string) *cluster {
	c := &cluster{t: t, nodes: map[string]*node{}, downLinks: map[string]bool{}, extraDelay: map[string]time.Duration{}}
	for _, member := range members {
		c.start(member)
	}
	return c
}

// start starts a new manager under a member name, after applying the changes to it.
func (c *cluster) start(member string, change ...func(*Manager)) *node {
	n := &node{handlers: map[peer.Kind]peer.Handler{}}
	n.Manager = &Manager{
		Table:    c.table.Service(),
		Objects:  c.objects.Service(),
		Member:   member,
		Members:  c.members,
		Recorder: &timeline.Recorder{Process: member},
		Link: Link{
			Handle:    func(kind peer.Kind, h peer.Handler) { n.handlers[kind] = h },
			Broadcast: func(e *peerpb.Envelope) { c.broadcast(member, e) },
			Call: func(ctx context.Context, to string, e *peerpb.Envelope) (*peerpb.Envelope, error) {
				return c.callWithin(ctx, member, to, e)
			},
		},
	}
	for _, change := range change {
		change(n.Manager)
	}
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	c.mu.Lock()
	defer c.mu.Unlock()
	n.done = n.Start(ctx)
	c.nodes[member] = n
	return n
}

// stop stops a manager and waits for its goroutines.
func (c *cluster) stop(member string) {
	c.mu.Lock()
	n := c.nodes[member]
	delete(c.nodes, member)
	c.mu.Unlock()
	n.cancel()
	if err := <-n.done; err != nil {
		c.t.Errorf("%s stopped with error %v", member, err)
	}
}

func (c *cluster) stopAll() {
	for _, member := range c.members() {
		c.stop(member)
	}
	c.deliveries.Wait()
}

func (c *cluster) members() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var members []string
	for member := range c.nodes {
		members = append(members, member)
	}
	sort.Strings(members)
	return members
}

// setLinkDown drops or restores the messages between two members.
func (c *cluster) setLinkDown(a, b string, down bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.downLinks[a+b], c.downLinks[b+a] = down, down
}

func (c *cluster) receiver(from, to string) (*node, time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.downLinks[from+to] {
		return nil, 0
	}
	return c.nodes[to], linkDelay + c.extraDelay[to]
}

func (c *cluster) broadcast(from string, e *peerpb.Envelope) {
	for _, to := range c.members() {
		if to == from {
			continue
		}
		c.deliveries.Add(1)
		go func() {
			defer c.deliveries.Done()
			_, _ = c.call(from, to, e)
		}()
	}
}

// callWithin returns when ctx ends, while the call continues in the background.
func (c *cluster) callWithin(ctx context.Context, from, to string, e *peerpb.Envelope) (*peerpb.Envelope, error) {
	type answer struct {
		reply *peerpb.Envelope
		err   error
	}
	answers := make(chan answer, 1)
	c.deliveries.Add(1)
	go func() {
		defer c.deliveries.Done()
		reply, err := c.call(from, to, e)
		answers <- answer{reply, err}
	}()
	select {
	case a := <-answers:
		return a.reply, a.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (c *cluster) call(from, to string, e *peerpb.Envelope) (*peerpb.Envelope, error) {
	_, delay := c.receiver(from, to)
	time.Sleep(delay)
	n, delay := c.receiver(from, to)
	if n == nil {
		return nil, peer.ErrNotConnected{Member: to}
	}
	reply := n.handlers[peer.KindOf(e)](context.Background(), from, e)
	time.Sleep(delay)
	return reply, nil
}

// portLouisChange returns a change of the Mauritius deployment to the given number of hosts
// in Port Louis.
func (c *cluster) portLouisChange(hosts int, from config.Version) Change {
	s := fixture(c.t, "mauritius", "boutiques-ephemeres")
	s.Parameters = strings.Replace(s.Parameters, "port-louis-hosts = 9", fmt.Sprintf("port-louis-hosts = %d", hosts), 1)
	return Change{Organisation: s.Organisation, Template: s.Template, Parameters: s.Parameters, From: from}
}

// smallTemplate keeps tests with many changes fast.
const smallTemplate = `name = "small"
[parameters.hosts]
kind = "integer"
[pools.desk]
hosts = "$hosts"
min-hosts = 4
max-unavailable = 2
`

// smallChange returns a change of an organisation to the given number of hosts, with a
// small template.
func (c *cluster) smallChange(organisation string, hosts int) Change {
	return Change{
		Organisation: organisation,
		Template:     smallTemplate,
		Parameters:   fmt.Sprintf("organisation = %q\ntemplate = \"small\"\n[values]\nhosts = %d\n", organisation, hosts),
	}
}

// raiseHeadVersion raises the version of the head as if n more changes had been committed.
func (c *cluster) raiseHeadVersion(n config.Version) {
	c.t.Helper()
	rows, err := c.table.Read(context.Background(), []string{headKey})
	if err != nil || len(rows) != 1 {
		c.t.Fatalf("read the head: %v", err)
	}
	var h head
	if err := json.Unmarshal(rows[0].Value, &h); err != nil {
		c.t.Fatal(err)
	}
	h.Version += n
	value, err := json.Marshal(h)
	if err != nil {
		c.t.Fatal(err)
	}
	tx := platform.Transaction{Writes: []platform.Write{{Key: headKey, Value: value}}}
	if err := c.table.Commit(context.Background(), tx); err != nil {
		c.t.Fatal(err)
	}
}

// node returns the running manager of a member.
func (c *cluster) node(member string) *node {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.nodes[member]
}

// mustApply applies a change and fails the test if it is not accepted.
func (c *cluster) mustApply(member string, change Change) Acceptance {
	c.t.Helper()
	accepted, err := c.node(member).Apply(context.Background(), change)
	if err != nil {
		c.t.Fatalf("apply at %s: %v", member, err)
	}
	return accepted
}

// assertVersion checks the current version of each of the members.
func (c *cluster) assertVersion(want config.Version, members ...string) {
	c.t.Helper()
	for _, member := range members {
		if got := c.node(member).Current().Version; got != want {
			c.t.Errorf("%s has version %d, want %d", member, got, want)
		}
	}
}

// assertReady checks whether a member is ready to serve.
func (c *cluster) assertReady(member string, want bool) {
	c.t.Helper()
	select {
	case <-c.node(member).Ready():
		if !want {
			c.t.Errorf("%s is ready", member)
		}
	default:
		if want {
			c.t.Errorf("%s is not ready", member)
		}
	}
}

// countEvents returns the number of events with the given number that a member recorded.
func (c *cluster) countEvents(member string, number event.Number) int {
	found := 0
	for _, e := range c.node(member).Recorder.Events() {
		if e.Number == number {
			found++
		}
	}
	return found
}
