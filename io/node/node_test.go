package node_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskincross/core/config"
	"siskincross/core/host"
	"siskincross/io/node"
	"siskincross/io/operator"
	"siskincross/io/platform"
	"siskincross/io/settings"
	"siskincross/io/standin"
)

const (
	organisation = "boutiques-ephemeres"
	fixture      = "../../_fixtures/mauritius/"
	settingsText = `
deployment = "test"
name = "entry-%d"
zone = "zone-1"
callers.listen = "127.0.0.1:0"
operators.listen = "127.0.0.1:0"
peers.listen = "127.0.0.1:0"
platform.address = %q
periods.linger = "300ms"
logs.level = "error"
`
)

// cluster is a set of entry hosts on a stand-in platform with the hosts of one pool.
type cluster struct {
	t        *testing.T
	ctx      context.Context
	platform *standin.Platform
	nodes    []*node.Node
	// ends and stops hold, for each node, the channel of its end and the function that starts its graceful shutdown.
	ends  []<-chan error
	stops []context.CancelFunc
}

// startCluster starts a platform and entry hosts, and kills them when the test ends.
func startCluster(t *testing.T, entryHosts int) *cluster {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	c := &cluster{t: t, ctx: ctx, platform: standin.New(standin.Fleet{Hosts: poolHosts()})}
	end := c.platform.Start(ctx)
	t.Cleanup(func() {
		for _, n := range c.nodes {
			n.Kill()
		}
		cancel()
		is.New(t).NoErr(<-end)
	})
	for range entryHosts {
		c.start()
	}
	return c
}

// poolHosts returns the hosts of the pool port-louis.
func poolHosts() []standin.HostSpec {
	var hosts []standin.HostSpec
	for i := range 9 {
		hosts = append(hosts, standin.HostSpec{
			ID:       host.ID(fmt.Sprintf("port-louis-%02d", i+1)),
			Place:    host.Place{Zone: fmt.Sprintf("zone-%d", i/4+1), Rack: fmt.Sprintf("rack-%d", i/4+1)},
			Capacity: host.Capacity{Slots: 8, Connections: 64, Cores: 64, MemoryBytes: 128 << 30},
			HomePool: organisation + "/port-louis",
		})
	}
	return hosts
}

// start starts another entry host and returns its index.
func (c *cluster) start() int {
	c.t.Helper()
	is := is.New(c.t)
	parsed, err := settings.Parse("test", fmt.Sprintf(settingsText, len(c.nodes), c.platform.Address()))
	is.NoErr(err)
	for _, n := range c.nodes {
		parsed.Peers.Seeds = append(parsed.Peers.Seeds, n.Addresses().Peers)
	}
	ctx, stop := context.WithCancel(c.ctx)
	n := node.New(parsed, platform.NewHTTPClient(c.platform.Address(), &http.Client{}))
	c.ends = append(c.ends, n.Start(ctx))
	c.stops = append(c.stops, stop)
	c.nodes = append(c.nodes, n)
	<-n.Listening()
	return len(c.nodes) - 1
}

// configure applies the template and parameters of the fixture and waits until every entry host answers requests.
func (c *cluster) configure() config.Version {
	c.t.Helper()
	is := is.New(c.t)
	template, err := os.ReadFile(fixture + "template.toml")
	is.NoErr(err)
	parameters, err := os.ReadFile(fixture + "parameters.toml")
	is.NoErr(err)
	accepted, err := c.operators(0).Apply(c.ctx, operator.Change{
		Organisation: organisation,
		Template:     string(template),
		Parameters:   string(parameters),
	})
	is.NoErr(err)
	for i, n := range c.nodes {
		<-n.Ready()
		c.awaitAnswer(i)
	}
	return accepted.Version
}

// operators returns a client for the operators' API of an entry host.
func (c *cluster) operators(index int) operator.Client {
	return operator.Client{Address: c.nodes[index].Addresses().Operators}
}

// awaitAnswer waits until an entry host answers a request.
func (c *cluster) awaitAnswer(index int) {
	for c.get(index, "port-louis-quotes", "").outcome != "answered" {
		time.Sleep(20 * time.Millisecond)
	}
}

// result is the response or the error that a caller received.
type result struct {
	status  int
	outcome string
	body    string
	err     error
}

// get sends a request to an entry host. work, if not empty, is the time that the target takes for it.
func (c *cluster) get(index int, queue, work string) result {
	return c.getFrom(c.nodes[index].Addresses().Callers, queue, work)
}

// getFrom sends a request to the callers' listener at the address.
func (c *cluster) getFrom(address, queue, work string) result {
	url := "http://" + address + "/queues/" + organisation + "/" + queue + "/x"
	request, err := http.NewRequestWithContext(c.ctx, http.MethodGet, url, nil)
	if err != nil {
		return result{err: err}
	}
	if work != "" {
		request.Header.Set("X-Work", work)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return result{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return result{
		status:  response.StatusCode,
		outcome: response.Header.Get("Siskincross-Outcome"),
		body:    string(body),
		err:     err,
	}
}

// TestShutdownCutsOffNoRequest checks that a graceful shutdown completes the requests in progress.
func TestShutdownCutsOffNoRequest(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, 2)
	c.configure()

	const callers = 24
	results := make([]result, callers)
	var begun, ended sync.WaitGroup
	begun.Add(callers)
	for i := range callers {
		ended.Go(func() {
			begun.Done()
			results[i] = c.get(0, "port-louis-quotes", "400ms")
		})
	}
	begun.Wait()
	c.stops[0]() // as on SIGTERM
	is.NoErr(<-c.ends[0])
	ended.Wait()
	for _, r := range results {
		is.NoErr(r.err)
		is.Equal(r.outcome, "answered")
	}
}

// TestHealthFailsBeforeRequestsAreRefused checks that the health check fails while requests are still accepted, so
// that a load balancer can stop sending callers before any is refused.
func TestHealthFailsBeforeRequestsAreRefused(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, 1)
	c.configure()
	health := func() (int, string) {
		response, err := http.Get("http://" + c.nodes[0].Addresses().Callers + "/health")
		if err != nil {
			return 0, err.Error()
		}
		defer func() { _ = response.Body.Close() }()
		body, err := io.ReadAll(response.Body)
		is.NoErr(err)
		return response.StatusCode, string(body)
	}
	status, _ := health()
	is.Equal(status, http.StatusOK)

	c.stops[0]()
	for status == http.StatusOK {
		status, _ = health()
	}
	is.Equal(status, http.StatusServiceUnavailable)
	is.Equal(c.get(0, "port-louis-quotes", "").outcome, "answered") // the load balancer may not have noticed yet
	is.NoErr(<-c.ends[0])
}

// TestDutiesGoOnAfterAKill checks that another entry host takes over a pool when its holder is killed, and that
// requests are answered in the meantime.
func TestDutiesGoOnAfterAKill(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, 3)
	c.configure()
	holder := func(index int) string {
		status, err := c.operators(index).Fleet(c.ctx)
		is.NoErr(err)
		for _, p := range status.Pools {
			if p.Name == organisation+"/port-louis" {
				return p.Holder
			}
		}
		return ""
	}
	killed := -1
	for killed < 0 {
		time.Sleep(20 * time.Millisecond)
		killed = slices.IndexFunc(c.nodes, func(n *node.Node) bool { return n.Member() == holder(0) })
	}
	c.nodes[killed].Kill()
	is.NoErr(<-c.ends[killed])

	other := (killed + 1) % len(c.nodes)
	for next := ""; next == "" || next == c.nodes[killed].Member(); next = holder(other) {
		is.Equal(c.get(other, "port-louis-quotes", "").outcome, "answered") // requests are answered meanwhile
		time.Sleep(50 * time.Millisecond)
	}
}

// TestReplacementServesTheHead checks that a new entry host gets the current configuration version from a peer while
// the store is unavailable.
func TestReplacementServesTheHead(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, 2)
	version := c.configure()
	c.platform.Table.SetFaults(standin.TableFaults{Down: true})

	index := c.start()
	<-c.nodes[index].Ready() // the configuration comes from the peer, as the store is down
	current, err := c.operators(index).Current(c.ctx)
	is.NoErr(err)
	is.Equal(current.Version, version)
}

// heldByEnded reads the row of a pool until ctx is done, and returns the number of reads whose holder had ended
// before the read.
func (c *cluster) heldByEnded(ctx context.Context, pool string, ended *sync.Map) int {
	count := 0
	for ctx.Err() == nil {
		endedBefore := make(map[any]bool)
		ended.Range(func(member, _ any) bool {
			endedBefore[member] = true
			return true
		})
		rows, err := c.platform.Table.Service().Read(c.ctx, []string{"pool/" + pool})
		var row struct {
			Holder string `json:"holder"`
		}
		if err == nil && len(rows) == 1 && json.Unmarshal(rows[0].Value, &row) == nil && endedBefore[row.Holder] {
			count++
		}
		time.Sleep(5 * time.Millisecond)
	}
	return count
}

// TestAllReplacedUnderLoad checks that the replacement of all entry hosts, one at a time, fails no request and leaves
// no duty with a holder that has ended.
func TestAllReplacedUnderLoad(t *testing.T) {
	const entryHosts = 3
	is := is.New(t)
	c := startCluster(t, entryHosts)
	c.configure()
	var newest atomic.Value // callers use a healthy entry host, as a load balancer would select
	newest.Store(c.nodes[entryHosts-1].Addresses().Callers)
	var ended sync.Map
	ctx, cancel := context.WithCancel(c.ctx)
	var lost atomic.Int64
	var callers sync.WaitGroup
	for range 8 {
		callers.Go(func() {
			for ctx.Err() == nil {
				if r := c.getFrom(newest.Load().(string), "port-louis-quotes", "20ms"); r.err != nil || r.outcome != "answered" {
					lost.Add(1)
				}
			}
		})
	}
	staleReads := make(chan int, 1)
	go func() { staleReads <- c.heldByEnded(ctx, organisation+"/port-louis", &ended) }()

	for old := range entryHosts {
		added := c.start()
		<-c.nodes[added].Ready()
		c.awaitAnswer(added)
		newest.Store(c.nodes[added].Addresses().Callers)
		c.stops[old]()
		is.NoErr(<-c.ends[old])
		ended.Store(c.nodes[old].Member(), true)
	}
	time.Sleep(time.Second)
	cancel()
	callers.Wait()
	is.Equal(lost.Load(), int64(0)) // no request was cut off or refused
	is.Equal(<-staleReads, 0)       // every duty was handed over before its holder ended
}
