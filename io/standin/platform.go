package standin

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"siskincross/core/host"
	"siskincross/io/platform"
)

// hostsPerSubnet is the number of hosts whose loopback addresses share the first three octets.
const hostsPerSubnet = 250

// Fleet configures the simulated hosts and delays of a Platform.
type Fleet struct {
	Hosts []HostSpec
	// ListLag is how far the list of hosts lags behind the state of the hosts.
	ListLag time.Duration
	// UsageLag is how far the resource usage in task reports lags behind the actual usage.
	UsageLag time.Duration
	// RebootDuration is how long a host is offline during a reboot.
	RebootDuration time.Duration
	// Seed seeds the choice of the hosts that a flapping list omits, which makes it reproducible.
	Seed uint64
	// Address is the "ip:port" at which the HTTP API listens; empty means a free port of 127.0.0.1.
	Address string
}

// HostSpec describes one host as the platform delivers it.
type HostSpec struct {
	ID       host.ID
	Place    host.Place
	Capacity host.Capacity
	// HomePool is the full name of the pool that the platform delivers the host to.
	HomePool string
}

// Platform simulates the platform's services and its hosts in one process. Create it with New.
type Platform struct {
	Table   *Table
	Objects *Objects

	fleet Fleet
	// hosts, in the order of the fleet, and hostsByID hold the same hosts and never change.
	hosts     []*simulatedHost
	hostsByID map[host.ID]*simulatedHost
	recorder  *recorder

	mu         sync.Mutex
	listFaults ListFaults
	// random draws the hosts that a flapping list omits.
	random *rand.Rand
	// address is the address of the HTTP API; empty before Start.
	address string
}

// New returns a platform with healthy hosts. Services can be called at once; the HTTP API and the targets accept connections
// after Start.
func New(fleet Fleet) *Platform {
	p := &Platform{
		Table:     &Table{},
		Objects:   &Objects{},
		fleet:     fleet,
		hostsByID: make(map[host.ID]*simulatedHost, len(fleet.Hosts)),
		recorder:  &recorder{},
		random:    rand.New(rand.NewPCG(fleet.Seed, fleet.Seed)),
	}
	for i, spec := range fleet.Hosts {
		h := newSimulatedHost(spec, fleet, p.Objects, p.recorder)
		h.address = fmt.Sprintf("127.0.%d.%d:0", 1+i/hostsPerSubnet, 1+i%hostsPerSubnet)
		p.hosts = append(p.hosts, h)
		p.hostsByID[spec.ID] = h
	}
	return p
}

// Services returns the platform's services, called in process without a wire format.
func (p *Platform) Services() platform.Services {
	return platform.Services{
		Table:   p.Table.Service(),
		Objects: p.Objects.Service(),
		Hosts:   platform.Hosts{List: p.listHosts, Drain: p.drain, Undrain: p.undrain, Reboot: p.reboot},
		Workers: p.workers(),
	}
}

// Address returns the "ip:port" at which the HTTP API listens, or an empty string before Start.
func (p *Platform) Address() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.address
}

// Start serves the HTTP API and the target of each host until ctx ends. All listeners are open when it returns. The channel
// yields the first error, which ends all servers, or nil after ctx ended.
func (p *Platform) Start(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	ctx, cancel := context.WithCancel(ctx)
	results := make(chan error, len(p.hosts)+1)
	running := 0
	start := func(run func(context.Context) error) {
		running++
		go func() { results <- run(ctx) }()
	}
	if err := p.openListeners(ctx, start); err != nil {
		results <- err
		running++
	}
	go func() {
		var first error
		for range running {
			if err := <-results; err != nil && first == nil {
				first = err
				cancel()
			}
		}
		cancel()
		ended <- first
	}()
	return ended
}

// openListeners opens the listeners of all targets and of the HTTP API, and passes a serve function for each to start.
func (p *Platform) openListeners(ctx context.Context, start func(func(context.Context) error)) error {
	for _, h := range p.hosts {
		targetListener, err := h.listen(ctx)
		if err != nil {
			return err
		}
		start(func(ctx context.Context) error { return h.serve(ctx, targetListener) })
	}
	address := p.fleet.Address
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.address = listener.Addr().String()
	p.mu.Unlock()
	start(func(ctx context.Context) error { return serveUntil(ctx, listener, p.handler()) })
	return nil
}

// serveUntil serves HTTP until ctx ends, then closes all connections.
func serveUntil(ctx context.Context, listener net.Listener, handler http.Handler) error {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, ErrorLog: discardLog}
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(listener) }()
	select {
	case err := <-ended:
		return err
	case <-ctx.Done():
		_ = server.Close()
		if err := <-ended; !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	}
}

// findHost returns the host with the ID, or ErrNotFound.
func (p *Platform) findHost(id host.ID) (*simulatedHost, error) {
	h, ok := p.hostsByID[id]
	if !ok {
		return nil, platform.ErrNotFound{Kind: "host", Name: string(id)}
	}
	return h, nil
}
