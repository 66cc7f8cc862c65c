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

// hostsPerSubnet is the number of hosts that share the first three numbers of their loopback address.
const hostsPerSubnet = 250

// Fleet describes the hosts of a stand-in and its delays.
type Fleet struct {
	Hosts []HostSpec
	// ListLag is the age of what the list of hosts shows.
	ListLag time.Duration
	// UsageLag is the age of the usage that workers report.
	UsageLag time.Duration
	// RebootTime is how long a host is away for a reboot.
	RebootTime time.Duration
	// Seed makes the flapping of the list reproducible.
	Seed uint64
	// Address is "ip:port" of the HTTP API; empty means a free port of 127.0.0.1.
	Address string
}

// HostSpec describes one host as it was delivered.
type HostSpec struct {
	ID       host.ID
	Place    host.Place
	Capacity host.Capacity
	// HomePool is the full name of the pool that the host was delivered to.
	HomePool string
}

// Platform is a whole platform with its hosts, in one process. New makes one.
type Platform struct {
	Table   *Table
	Objects *Objects

	fleet Fleet
	// hosts and byID hold the same hosts and never change.
	hosts     []*simulatedHost
	hostsByID map[host.ID]*simulatedHost
	recorder  *recorder

	mu         sync.Mutex
	listFaults ListFaults
	random     *rand.Rand
	address    string
}

// New returns a platform with healthy hosts. Its services work at once; targets answer after Start.
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

// Services returns the platform without a wire format.
func (p *Platform) Services() platform.Services {
	return platform.Services{
		Table:   p.Table.Service(),
		Objects: p.Objects.Service(),
		Hosts:   platform.Hosts{List: p.listHosts, Drain: p.drain, Undrain: p.undrain, Reboot: p.reboot},
		Workers: p.workers(),
	}
}

// Address returns "ip:port" of the HTTP API; empty before Start.
func (p *Platform) Address() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.address
}

// Start opens the HTTP API and a listener for each host's target. Both are
// open when it returns. The channel yields the first failure, or nil after ctx ended.
func (p *Platform) Start(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	ctx, cancel := context.WithCancel(ctx)
	ends := make(chan error, len(p.hosts)+1)
	running := 0
	start := func(run func(context.Context) error) {
		running++
		go func() { ends <- run(ctx) }()
	}
	if err := p.openListeners(ctx, start); err != nil {
		ends <- err
		running++
	}
	go func() {
		var first error
		for range running {
			if err := <-ends; err != nil && first == nil {
				first = err
				cancel()
			}
		}
		cancel()
		ended <- first
	}()
	return ended
}

func (p *Platform) openListeners(ctx context.Context, start func(func(context.Context) error)) error {
	for _, h := range p.hosts {
		server, err := h.listen(ctx)
		if err != nil {
			return err
		}
		start(func(ctx context.Context) error { return h.serve(ctx, server) })
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

// serveUntil serves HTTP until ctx ends, then cuts all connections.
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

// findHost returns a host or ErrNotFound.
func (p *Platform) findHost(id host.ID) (*simulatedHost, error) {
	h, ok := p.hostsByID[id]
	if !ok {
		return nil, platform.ErrNotFound{Kind: "host", Name: string(id)}
	}
	return h, nil
}
