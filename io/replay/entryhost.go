package replay

import (
	"context"
	"fmt"
	"maps"
	"sync"
	"time"
)

// EntryHostSpec says which entry host to start.
type EntryHostSpec struct {
	// Index numbers the entry hosts from 0. A replacement has the index of its predecessor.
	Index int
	// Incarnation counts the starts of the index, from 1.
	Incarnation int
	Zone        string
	// Seeds are the peers' addresses, "ip:port".
	Seeds []string
	// Platform is the address of the platform's HTTP API.
	Platform string
	// Settings holds the periods that the trace states; zero fields have defaults.
	Settings Event
}

// EntryHost is one running entry host.
type EntryHost struct {
	// Operators and Peers are "ip:port".
	Operators, Peers string
	// Ready waits until callers are accepted and returns their address, "ip:port".
	Ready func(ctx context.Context) (string, error)
	// Stop is the graceful shutdown. It returns when it is over.
	Stop func(ctx context.Context) error
	// Kill ends the entry host at once.
	Kill func()
}

// process is an entry host in the cluster and its life as the platform's balancer sees it.
type process struct {
	EntryHost
	name  string
	index int
	// callers is where callers are accepted; empty before the entry host is ready.
	callers string
	// stopping and dead are set by the replay, healthy by the balancer's checks.
	stopping bool
	dead     bool
	healthy  bool
}

// Stop is the record of a planned stop of an entry host.
type Stop struct {
	Process string
	Begun   time.Time
	Ended   time.Time
	Err     error
}

// cluster holds the entry hosts and balances callers over them.
type cluster struct {
	start    func(ctx context.Context, spec EntryHostSpec) (EntryHost, error)
	platform string
	settings Event
	zones    []string

	mu        sync.Mutex
	processes []*process
	counts    map[int]int
	stops     []Stop
	killed    map[string]time.Time
	next      int
}

const (
	// stopTimeout bounds a planned stop of an entry host.
	stopTimeout = 30 * time.Second
	// readyTimeout bounds the time from the start of an entry host until it accepts callers.
	readyTimeout = 20 * time.Second
)

// add starts an entry host and waits until it is ready.
func (c *cluster) add(ctx context.Context, index int, zone string) error {
	p, err := c.launch(ctx, index, zone)
	if err != nil {
		return err
	}
	return c.await(ctx, p)
}

// await waits until an entry host accepts callers.
func (c *cluster) await(ctx context.Context, p *process) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	callers, err := p.Ready(ctx)
	if err != nil {
		return fmt.Errorf("%s is not ready: %w", p.name, err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	p.callers, p.healthy = callers, true
	return nil
}

// launch starts an entry host.
func (c *cluster) launch(ctx context.Context, index int, zone string) (*process, error) {
	c.mu.Lock()
	if c.counts == nil {
		c.counts = make(map[int]int)
		c.killed = make(map[string]time.Time)
	}
	c.counts[index]++
	spec := EntryHostSpec{
		Index: index, Incarnation: c.counts[index], Zone: zone, Seeds: c.seeds(),
		Platform: c.platform, Settings: c.settings,
	}
	c.mu.Unlock()
	if spec.Zone == "" {
		spec.Zone = c.zones[index%len(c.zones)]
	}
	started, err := c.start(ctx, spec)
	if err != nil {
		return nil, fmt.Errorf("start entry host %d: %w", index, err)
	}
	p := &process{EntryHost: started, index: index, name: fmt.Sprintf("entry-%d.%d", index, spec.Incarnation)}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.processes = append(c.processes, p)
	return p, nil
}

// seeds returns the peer addresses of the entry hosts that run. The caller holds c.mu.
func (c *cluster) seeds() []string {
	var seeds []string
	for _, p := range c.processes {
		if !p.dead {
			seeds = append(seeds, p.Peers)
		}
	}
	return seeds
}

// current returns the running entry host of an index, or nil.
func (c *cluster) current(index int) *process {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.processes {
		if p.index == index && !p.dead && !p.stopping {
			return p
		}
	}
	return nil
}

// stop shuts an entry host down gracefully and records it.
func (c *cluster) stop(ctx context.Context, index int) error {
	p := c.current(index)
	if p == nil {
		return fmt.Errorf("entry host %d does not run", index)
	}
	return c.shutDown(ctx, p)
}

func (c *cluster) shutDown(ctx context.Context, p *process) error {
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	begun := time.Now()
	c.mu.Lock()
	p.stopping = true
	c.mu.Unlock()
	err := p.Stop(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	p.dead = true
	c.stops = append(c.stops, Stop{Process: p.name, Begun: begun, Ended: time.Now(), Err: err})
	return nil
}

// kill ends an entry host at once.
func (c *cluster) kill(index int) error {
	p := c.current(index)
	if p == nil {
		return fmt.Errorf("entry host %d does not run", index)
	}
	c.mu.Lock()
	p.dead = true
	c.killed[p.name] = time.Now()
	c.mu.Unlock()
	p.Kill()
	return nil
}

// stopAll ends all entry hosts, gracefully and side by side.
func (c *cluster) stopAll(ctx context.Context) {
	var group sync.WaitGroup
	for _, p := range c.running() {
		group.Go(func() { _ = c.shutDown(ctx, p) })
	}
	group.Wait()
}

// running returns the entry hosts that run and are not stopping.
func (c *cluster) running() []*process {
	c.mu.Lock()
	defer c.mu.Unlock()
	var running []*process
	for _, p := range c.processes {
		if !p.dead && !p.stopping {
			running = append(running, p)
		}
	}
	return running
}

// records returns the planned stops and the kills so far.
func (c *cluster) records() ([]Stop, map[string]time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Stop(nil), c.stops...), maps.Clone(c.killed)
}
