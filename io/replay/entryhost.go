package replay

import (
	"context"
	"fmt"
	"maps"
	"sync"
	"time"
)

// EntryHostSpec describes an entry host to start.
type EntryHostSpec struct {
	// Index is the number of the entry host, from 0. A replacement has the index of its predecessor.
	Index int
	// Incarnation is the number of starts with this index, from 1.
	Incarnation int
	Zone        string
	// PeerSeeds are the peer addresses of the running entry hosts, "ip:port".
	PeerSeeds []string
	// PlatformAddress is the address of the platform's HTTP API.
	PlatformAddress string
	// Settings holds the periods that the trace states; zero fields mean the defaults.
	Settings Event
}

// EntryHost is one running entry host.
type EntryHost struct {
	// OperatorAddress and PeerAddress are the addresses of the listeners, "ip:port".
	OperatorAddress, PeerAddress string
	// Ready waits until the entry host accepts callers and returns the address for them, "ip:port".
	Ready func(ctx context.Context) (string, error)
	// Stop shuts the entry host down gracefully and returns when the shutdown is complete.
	Stop func(ctx context.Context) error
	// Kill terminates the entry host immediately.
	Kill func()
}

// process is an entry host of the cluster, with its state as the platform's balancer sees it.
type process struct {
	EntryHost
	name  string
	index int
	// callerAddress is the address for callers; empty before the entry host is ready.
	callerAddress string
	// stopping and exited are set when the replay stops or kills the process, healthy by the health checks.
	stopping bool
	exited   bool
	healthy  bool
}

// Stop records a planned stop of an entry host.
type Stop struct {
	Process string
	Started time.Time
	Ended   time.Time
	Err     error
}

// cluster starts and stops the entry hosts and balances callers over them.
type cluster struct {
	startEntryHost  func(ctx context.Context, spec EntryHostSpec) (EntryHost, error)
	platformAddress string
	settings        Event
	zones           []string

	mu           sync.Mutex
	processes    []*process
	incarnations map[int]int
	stops        []Stop
	killed       map[string]time.Time
	lastPicked   int
}

const (
	// stopTimeout limits the duration of a planned stop of an entry host.
	stopTimeout = 30 * time.Second
	// readyTimeout limits the time from the start of an entry host until it accepts callers.
	readyTimeout = 20 * time.Second
)

// launchAndAwait starts an entry host and waits until it is ready.
func (c *cluster) launchAndAwait(ctx context.Context, index int, zone string) error {
	p, err := c.launch(ctx, index, zone)
	if err != nil {
		return err
	}
	return c.awaitReady(ctx, p)
}

// awaitReady waits until an entry host accepts callers.
func (c *cluster) awaitReady(ctx context.Context, p *process) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	address, err := p.Ready(ctx)
	if err != nil {
		return fmt.Errorf("%s did not become ready: %w", p.name, err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	p.callerAddress, p.healthy = address, true
	return nil
}

// launch starts the next incarnation of an entry host. An empty zone means one chosen by the index.
func (c *cluster) launch(ctx context.Context, index int, zone string) (*process, error) {
	c.mu.Lock()
	if c.incarnations == nil {
		c.incarnations = make(map[int]int)
		c.killed = make(map[string]time.Time)
	}
	c.incarnations[index]++
	spec := EntryHostSpec{
		Index: index, Incarnation: c.incarnations[index], Zone: zone, PeerSeeds: c.seeds(),
		PlatformAddress: c.platformAddress, Settings: c.settings,
	}
	c.mu.Unlock()
	if spec.Zone == "" {
		spec.Zone = c.zones[index%len(c.zones)]
	}
	started, err := c.startEntryHost(ctx, spec)
	if err != nil {
		return nil, fmt.Errorf("start entry host %d: %w", index, err)
	}
	p := &process{EntryHost: started, index: index, name: fmt.Sprintf("entry-%d.%d", index, spec.Incarnation)}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.processes = append(c.processes, p)
	return p, nil
}

// seeds returns the peer addresses of the entry hosts that have not exited. The caller holds c.mu.
func (c *cluster) seeds() []string {
	var seeds []string
	for _, p := range c.processes {
		if !p.exited {
			seeds = append(seeds, p.PeerAddress)
		}
	}
	return seeds
}

// runningEntryHost returns the entry host with an index that is neither stopping nor exited, or nil.
func (c *cluster) runningEntryHost(index int) *process {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.processes {
		if p.index == index && !p.exited && !p.stopping {
			return p
		}
	}
	return nil
}

// stop shuts an entry host down gracefully and records the stop.
func (c *cluster) stop(ctx context.Context, index int) error {
	p := c.runningEntryHost(index)
	if p == nil {
		return fmt.Errorf("entry host %d is not running", index)
	}
	return c.shutDown(ctx, p)
}

// shutDown stops a process and records the stop with its error, which the properties check.
func (c *cluster) shutDown(ctx context.Context, p *process) error {
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	stopStarted := time.Now()
	c.mu.Lock()
	p.stopping = true
	c.mu.Unlock()
	err := p.Stop(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	p.exited = true
	c.stops = append(c.stops, Stop{Process: p.name, Started: stopStarted, Ended: time.Now(), Err: err})
	return nil
}

// kill terminates an entry host immediately and records the time.
func (c *cluster) kill(index int) error {
	p := c.runningEntryHost(index)
	if p == nil {
		return fmt.Errorf("entry host %d is not running", index)
	}
	c.mu.Lock()
	p.exited = true
	c.killed[p.name] = time.Now()
	c.mu.Unlock()
	p.Kill()
	return nil
}

// stopAll shuts all entry hosts down gracefully and concurrently.
func (c *cluster) stopAll(ctx context.Context) {
	var group sync.WaitGroup
	for _, p := range c.running() {
		group.Go(func() { _ = c.shutDown(ctx, p) })
	}
	group.Wait()
}

// running returns the entry hosts that are neither stopping nor exited.
func (c *cluster) running() []*process {
	c.mu.Lock()
	defer c.mu.Unlock()
	var running []*process
	for _, p := range c.processes {
		if !p.exited && !p.stopping {
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
