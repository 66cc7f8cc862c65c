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

// site is some entry hosts over a stand-in with the hosts of one pool.
type site struct {
	t        *testing.T
	ctx      context.Context
	platform *standin.Platform
	nodes    []*node.Node
	ends     []<-chan error
	stops    []context.CancelFunc
}

func withSite(t *testing.T, entryHosts int) *site {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	s := &site{t: t, ctx: ctx, platform: standin.New(standin.Fleet{Hosts: portLouis()})}
	end := s.platform.Start(ctx)
	t.Cleanup(func() {
		for _, n := range s.nodes {
			n.Kill()
		}
		cancel()
		is.New(t).NoErr(<-end)
	})
	for range entryHosts {
		s.start()
	}
	return s
}

func portLouis() []standin.HostSpec {
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

// start adds an entry host and returns its index.
func (s *site) start() int {
	s.t.Helper()
	is := is.New(s.t)
	parsed, err := settings.Parse("test", fmt.Sprintf(settingsText, len(s.nodes), s.platform.Address()))
	is.NoErr(err)
	for _, n := range s.nodes {
		parsed.Peers.Seeds = append(parsed.Peers.Seeds, n.Addresses().Peers)
	}
	ctx, stop := context.WithCancel(s.ctx)
	n := node.New(parsed, platform.NewHTTPClient(s.platform.Address(), &http.Client{}))
	s.ends = append(s.ends, n.Start(ctx))
	s.stops = append(s.stops, stop)
	s.nodes = append(s.nodes, n)
	<-n.Listening()
	return len(s.nodes) - 1
}

// configure applies the fixture's template and parameters and waits until requests are answered.
func (s *site) configure() config.Version {
	s.t.Helper()
	is := is.New(s.t)
	template, err := os.ReadFile(fixture + "template.toml")
	is.NoErr(err)
	parameters, err := os.ReadFile(fixture + "parameters.toml")
	is.NoErr(err)
	accepted, err := s.operators(0).Apply(s.ctx, operator.Change{
		Organisation: organisation,
		Template:     string(template),
		Parameters:   string(parameters),
	})
	is.NoErr(err)
	for i, n := range s.nodes {
		<-n.Ready()
		s.awaitAnswer(i)
	}
	return accepted.Version
}

func (s *site) operators(index int) operator.Client {
	return operator.Client{Address: s.nodes[index].Addresses().Operators}
}

func (s *site) awaitAnswer(index int) {
	for s.get(index, "port-louis-quotes", "").outcome != "answered" {
		time.Sleep(20 * time.Millisecond)
	}
}

// result is what a caller saw.
type result struct {
	status  int
	outcome string
	body    string
	err     error
}

func (s *site) get(index int, queue, work string) result {
	return s.getFrom(s.nodes[index].Addresses().Callers, queue, work)
}

func (s *site) getFrom(address, queue, work string) result {
	url := "http://" + address + "/queues/" + organisation + "/" + queue + "/x"
	request, err := http.NewRequestWithContext(s.ctx, http.MethodGet, url, nil)
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

func TestShutdownCutsOffNoRequest(t *testing.T) {
	is := is.New(t)
	s := withSite(t, 2)
	s.configure()

	const callers = 24
	results := make([]result, callers)
	var begun, ended sync.WaitGroup
	begun.Add(callers)
	for i := range callers {
		ended.Go(func() {
			begun.Done()
			results[i] = s.get(0, "port-louis-quotes", "400ms")
		})
	}
	begun.Wait()
	s.stops[0]() // SIGTERM
	is.NoErr(<-s.ends[0])
	ended.Wait()
	for _, r := range results {
		is.NoErr(r.err)
		is.Equal(r.outcome, "answered")
	}
}

func TestHealthFailsBeforeRequestsAreRefused(t *testing.T) {
	is := is.New(t)
	s := withSite(t, 1)
	s.configure()
	health := func() (int, string) {
		response, err := http.Get("http://" + s.nodes[0].Addresses().Callers + "/health")
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

	s.stops[0]()
	for status == http.StatusOK {
		status, _ = health()
	}
	is.Equal(status, http.StatusServiceUnavailable)
	is.Equal(s.get(0, "port-louis-quotes", "").outcome, "answered") // the balancer may not have noticed yet
	is.NoErr(<-s.ends[0])
}

func TestDutiesGoOnAfterAKill(t *testing.T) {
	is := is.New(t)
	s := withSite(t, 3)
	s.configure()
	holder := func(index int) string {
		status, err := s.operators(index).Fleet(s.ctx)
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
		killed = slices.IndexFunc(s.nodes, func(n *node.Node) bool { return n.Member() == holder(0) })
	}
	s.nodes[killed].Kill()
	is.NoErr(<-s.ends[killed])

	other := (killed + 1) % len(s.nodes)
	for next := ""; next == "" || next == s.nodes[killed].Member(); next = holder(other) {
		is.Equal(s.get(other, "port-louis-quotes", "").outcome, "answered") // requests go on meanwhile
		time.Sleep(50 * time.Millisecond)
	}
}

func TestReplacementServesTheHead(t *testing.T) {
	is := is.New(t)
	s := withSite(t, 2)
	version := s.configure()
	s.platform.Table.SetFaults(standin.TableFaults{Down: true})

	index := s.start()
	<-s.nodes[index].Ready() // from its peer, since the store is down
	current, err := s.operators(index).Current(s.ctx)
	is.NoErr(err)
	is.Equal(current.Version, version)
}

// heldByEnded counts the reads of a pool's row that name a member that had ended before.
func (s *site) heldByEnded(ctx context.Context, pool string, ended *sync.Map) int {
	count := 0
	for ctx.Err() == nil {
		before := make(map[any]bool)
		ended.Range(func(member, _ any) bool {
			before[member] = true
			return true
		})
		rows, err := s.platform.Table.Service().Read(s.ctx, []string{"pool/" + pool})
		var row struct {
			Holder string `json:"holder"`
		}
		if err == nil && len(rows) == 1 && json.Unmarshal(rows[0].Value, &row) == nil && before[row.Holder] {
			count++
		}
		time.Sleep(5 * time.Millisecond)
	}
	return count
}

func TestAllReplacedUnderLoad(t *testing.T) {
	const entryHosts = 3
	is := is.New(t)
	s := withSite(t, entryHosts)
	s.configure()
	var newest atomic.Value // callers go where the balancer sends them: to a healthy entry host
	newest.Store(s.nodes[entryHosts-1].Addresses().Callers)
	var ended sync.Map
	ctx, cancel := context.WithCancel(s.ctx)
	var lost atomic.Int64
	var callers sync.WaitGroup
	for range 8 {
		callers.Go(func() {
			for ctx.Err() == nil {
				if r := s.getFrom(newest.Load().(string), "port-louis-quotes", "20ms"); r.err != nil || r.outcome != "answered" {
					lost.Add(1)
				}
			}
		})
	}
	unheld := make(chan int, 1)
	go func() { unheld <- s.heldByEnded(ctx, organisation+"/port-louis", &ended) }()

	for old := range entryHosts {
		added := s.start()
		<-s.nodes[added].Ready()
		s.awaitAnswer(added)
		newest.Store(s.nodes[added].Addresses().Callers)
		s.stops[old]()
		is.NoErr(<-s.ends[old])
		ended.Store(s.nodes[old].Member(), true)
	}
	time.Sleep(time.Second)
	cancel()
	callers.Wait()
	is.Equal(lost.Load(), int64(0)) // no request was cut off or refused
	is.Equal(<-unheld, 0)           // every duty was handed over before its holder ended
}
