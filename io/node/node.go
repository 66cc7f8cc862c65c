// Package node assembles one entry host from its components: the HTTP servers for callers and operators,
// the managers of fleet, jobs and configuration, and the link to the other entry hosts.
package node

import (
	"context"
	"errors"
	"sync"
	"time"

	crdb "github.com/cockroachdb/errors"
	"github.com/oklog/ulid/v2"
	"github.com/uber-go/tally/v4"

	"siskincross/core/chart"
	"siskincross/core/event"
	"siskincross/io/entry"
	"siskincross/io/fleet"
	"siskincross/io/jobs"
	"siskincross/io/listen"
	"siskincross/io/logs"
	"siskincross/io/metrics"
	"siskincross/io/operator"
	"siskincross/io/peer"
	"siskincross/io/platform"
	"siskincross/io/rollout"
	"siskincross/io/settings"
	"siskincross/io/timeline"
)

// Node is one entry host. New returns one that Start runs.
type Node struct {
	settings settings.Settings
	platform platform.Services
	// member is the name of this incarnation. Each start of the process has its own.
	member string

	recorder *timeline.Recorder
	metrics  *metrics.Metrics
	link     *peer.Link
	rollout  *rollout.Manager
	fleet    *fleet.Manager
	jobs     *jobs.Manager
	entry    *entry.Server
	operator *operator.Server

	callers   listen.Server
	operators listen.Server

	state state
	// listening is closed once the listeners for peers and operators are open.
	listening chan struct{}
	// ready is closed once callers are accepted.
	ready chan struct{}
	// kill cancels killed, the context of all components.
	kill     context.CancelFunc
	killed   context.Context
	killOnce sync.Once
	// components holds the started components in the order of their start.
	components []component
}

// component is a running component of a node.
type component struct {
	name string
	// done receives the error of the component, or nil, when it has ended.
	done <-chan error
}

// Addresses are the bound "ip:port" of an entry host's listeners.
type Addresses struct {
	Callers   string `json:"callers"`
	Operators string `json:"operators"`
	Peers     string `json:"peers"`
}

// New returns an entry host that is not started. The settings must be a result of settings.Parse.
func New(s settings.Settings, p platform.Services) *Node {
	m := metrics.New(map[string]string{"process": s.Name})
	n := &Node{
		settings:  s,
		member:    s.Name + "-" + ulid.Make().String(),
		metrics:   m,
		listening: make(chan struct{}),
		ready:     make(chan struct{}),
	}
	n.killed, n.kill = context.WithCancel(context.Background())
	n.recorder = newRecorder(s, m.Scope)
	n.platform = instrument(p, m.Scope, n.recorder)
	n.assemble()
	return n
}

// newRecorder returns a recorder of events that also logs and counts them.
func newRecorder(s settings.Settings, scope tally.Scope) *timeline.Recorder {
	write := logs.Logger{Level: s.Logs.Level, Subsystems: s.Logs.Subsystems}.Sink()
	return &timeline.Recorder{
		Process: s.Name,
		Sink: func(e event.Event) {
			countEvent(scope, e)
			write(e)
		},
	}
}

// Start runs the entry host until ctx is done and the graceful shutdown has completed, or until Kill. The returned
// channel receives the resulting error, or nil, once the entry host has ended.
func (n *Node) Start(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() { done <- n.run(ctx) }()
	return done
}

// Listening returns a channel that is closed once the entry host can be reached by peers and operators. It may still
// be waiting for its first configuration.
func (n *Node) Listening() <-chan struct{} { return n.listening }

// Ready returns a channel that is closed once the entry host accepts callers. Until then, the result of Addresses
// lacks the callers' address.
func (n *Node) Ready() <-chan struct{} { return n.ready }

// Member returns the name of this incarnation of the entry host.
func (n *Node) Member() string { return n.member }

// Events returns the events that this process holds in memory.
func (n *Node) Events() []event.Event { return n.recorder.Events() }

// Addresses returns the bound addresses of the listeners.
func (n *Node) Addresses() Addresses {
	return Addresses{
		Callers:   n.callers.Address(),
		Operators: n.operators.Address(),
		Peers:     n.link.Address(),
	}
}

// Kill ends the entry host without a graceful shutdown: its connections are closed, duties are not handed over and no
// further rows are written.
func (n *Node) Kill() {
	n.killOnce.Do(func() {
		if err := n.state.advance(eventKill); err != nil {
			return
		}
		n.kill()
		n.callers.Abort()
		n.operators.Abort()
	})
}

// run starts the components, serves callers until ctx is done or the node is killed, and stops the components.
func (n *Node) run(ctx context.Context) error {
	defer n.kill()
	if err := n.startComponents(); err != nil {
		return errors.Join(err, n.stopAll())
	}
	close(n.listening)
	select {
	case <-n.rollout.Ready():
	case <-ctx.Done():
		return errors.Join(n.state.advance(eventStop), n.stopAll())
	case <-n.killed.Done():
		return n.stopAll()
	}
	if err := n.startServing(); err != nil {
		return errors.Join(err, n.stopAll())
	}
	select {
	case <-ctx.Done():
	case <-n.killed.Done():
		return n.stopAll()
	}
	return errors.Join(n.shutDown(), n.stopAll())
}

// startServing opens the callers' listener and closes ready.
func (n *Node) startServing() error {
	if err := n.state.advance(eventConfigurationHeld); err != nil {
		return err
	}
	if err := n.startListener(&n.callers, "callers' listener", n.settings.Callers.Listen); err != nil {
		return err
	}
	n.recorder.Record(event.Event{Number: event.ProcessServing, Detail: "callers at " + n.callers.Address()})
	close(n.ready)
	return nil
}

// startListener starts l at the address and adds it to the components.
func (n *Node) startListener(l *listen.Server, name, address string) error {
	done, err := l.Start(n.killed, address)
	if err != nil {
		return crdb.Wrapf(err, "start the %s at %s", name, address)
	}
	n.components = append(n.components, component{name: name, done: done})
	return nil
}

// shutDown performs the graceful shutdown: it fails the health check and lingers, drains the requests in progress,
// hands the duties over to their successors and shuts the listeners down.
func (n *Node) shutDown() error {
	ctx, cancel := context.WithTimeout(n.killed, time.Duration(n.settings.Periods.Shutdown))
	defer cancel()
	n.recorder.Record(event.Event{Number: event.ProcessStopping, Detail: "graceful shutdown"})
	steps := []struct {
		event chart.Event
		run   func(context.Context) error
	}{
		{eventStop, n.linger},
		{eventLingerEnded, n.entry.Drain},
		{eventDrained, n.fleet.HandOver},
	}
	var problems []error
	for _, step := range steps {
		if err := n.state.advance(step.event); err != nil {
			return err
		}
		problems = append(problems, step.run(ctx))
	}
	problems = append(problems, n.callers.ShutDown(ctx), n.operators.ShutDown(ctx))
	problems = append(problems, n.state.advance(eventHandedOver))
	return errors.Join(problems...)
}

// linger waits until the load balancer has noticed the failed health check. Callers are still accepted meanwhile.
func (n *Node) linger(ctx context.Context) error {
	select {
	case <-time.After(time.Duration(n.settings.Periods.Linger)):
	case <-ctx.Done():
	}
	return nil
}

// stopAll cancels all components and waits until they have ended.
func (n *Node) stopAll() error {
	n.kill()
	n.callers.Abort()
	n.operators.Abort()
	var problems []error
	for _, c := range n.components {
		if err := <-c.done; err != nil && !errors.Is(err, context.Canceled) {
			problems = append(problems, crdb.Wrapf(err, "run the %s", c.name))
		}
	}
	n.recorder.Record(event.Event{Number: event.ProcessStopped})
	problems = append(problems, n.metrics.Close())
	return errors.Join(problems...)
}
