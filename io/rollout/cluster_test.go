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

// linkDelay is the one-way time between two zones of the brief.
const linkDelay = 1400 * time.Microsecond

// cluster is a set of managers over one store, with links that can be cut. It lives in a synctest bubble.
type cluster struct {
	t       testing.TB
	table   standin.Table
	objects standin.Objects

	mu      sync.Mutex
	nodes   map[string]*node
	cut     map[string]bool
	deliver sync.WaitGroup
	// slow delays the deliveries to a member.
	slow map[string]time.Duration
}

// node is one running manager.
type node struct {
	*Manager
	handlers map[peer.Kind]peer.Handler
	cancel   context.CancelFunc
	done     <-chan error
}

func newCluster(t testing.TB, members ...string) *cluster {
	c := &cluster{t: t, nodes: map[string]*node{}, cut: map[string]bool{}, slow: map[string]time.Duration{}}
	for _, member := range members {
		c.start(member)
	}
	return c
}

// start runs a new manager under a member's name.
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

// stop ends a manager and waits for its goroutines.
func (c *cluster) stop(member string) {
	c.mu.Lock()
	n := c.nodes[member]
	delete(c.nodes, member)
	c.mu.Unlock()
	n.cancel()
	if err := <-n.done; err != nil {
		c.t.Errorf("%s ended with %v", member, err)
	}
}

func (c *cluster) stopAll() {
	for _, member := range c.members() {
		c.stop(member)
	}
	c.deliver.Wait()
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

// cutLink stops or restores the messages between two members.
func (c *cluster) cutLink(a, b string, cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut[a+b], c.cut[b+a] = cut, cut
}

func (c *cluster) target(from, to string) (*node, time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cut[from+to] {
		return nil, 0
	}
	return c.nodes[to], linkDelay + c.slow[to]
}

func (c *cluster) broadcast(from string, e *peerpb.Envelope) {
	for _, to := range c.members() {
		if to == from {
			continue
		}
		c.deliver.Add(1)
		go func() {
			defer c.deliver.Done()
			_, _ = c.call(from, to, e)
		}()
	}
}

// callWithin gives up when ctx ends, while the callee goes on.
func (c *cluster) callWithin(ctx context.Context, from, to string, e *peerpb.Envelope) (*peerpb.Envelope, error) {
	type answer struct {
		reply *peerpb.Envelope
		err   error
	}
	answers := make(chan answer, 1)
	c.deliver.Add(1)
	go func() {
		defer c.deliver.Done()
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
	_, delay := c.target(from, to)
	time.Sleep(delay)
	n, delay := c.target(from, to)
	if n == nil {
		return nil, peer.ErrNotConnected{Member: to}
	}
	reply := n.handlers[peer.KindOf(e)](context.Background(), from, e)
	time.Sleep(delay)
	return reply, nil
}

// change returns a change of Mauritius to that number of hosts in Port Louis.
func (c *cluster) change(hosts int, from config.Version) Change {
	s := fixture(c.t, "mauritius", "boutiques-ephemeres")
	s.Parameters = strings.Replace(s.Parameters, "port-louis-hosts = 9", fmt.Sprintf("port-louis-hosts = %d", hosts), 1)
	return Change{Organisation: s.Organisation, Template: s.Template, Parameters: s.Parameters, From: from}
}

// smallTemplate keeps runs with many changes short.
const smallTemplate = `name = "small"
[parameters.hosts]
kind = "integer"
[pools.desk]
hosts = "$hosts"
min-hosts = 4
max-unavailable = 2
`

// changeOf returns a change of an organisation with a small template to that number of hosts.
func (c *cluster) changeOf(organisation string, hosts int) Change {
	return Change{
		Organisation: organisation,
		Template:     smallTemplate,
		Parameters:   fmt.Sprintf("organisation = %q\ntemplate = \"small\"\n[values]\nhosts = %d\n", organisation, hosts),
	}
}

// skipVersions raises the head's version as if that many changes had been made.
func (c *cluster) skipVersions(n config.Version) {
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

// mustApply applies a change that has to be accepted.
func (c *cluster) mustApply(member string, change Change) Acceptance {
	c.t.Helper()
	accepted, err := c.node(member).Apply(context.Background(), change)
	if err != nil {
		c.t.Fatalf("apply at %s: %v", member, err)
	}
	return accepted
}

// assertVersion checks the version that each member holds.
func (c *cluster) assertVersion(want config.Version, members ...string) {
	c.t.Helper()
	for _, member := range members {
		if got := c.node(member).Current().Version; got != want {
			c.t.Errorf("%s holds version %d, want %d", member, got, want)
		}
	}
}

// assertReady checks whether a member may serve.
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

// countEvents returns how many events of that number a member has recorded.
func (c *cluster) countEvents(member string, number event.Number) int {
	found := 0
	for _, e := range c.node(member).Recorder.Events() {
		if e.Number == number {
			found++
		}
	}
	return found
}
