// Package node puts the parts of one entry host together: the callers' HTTP,
// the duties, the links to the other entry hosts and the operators' HTTP.
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

// Node is one entry host. New makes one; Start runs it.
type Node struct {
	settings settings.Settings
	platform platform.Services
	// member is the name of this incarnation, unique over restarts.
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
	// listening is closed once peers and operators are listened for, ready once callers are accepted.
	listening chan struct{}
	ready     chan struct{}
	// kill ends everything at once.
	kill     context.CancelFunc
	killed   context.Context
	killOnce sync.Once
	// components are the ends of the started parts, in the order of their start.
	components []component
}

// component is a running part of a node and the channel on which it reports its end.
type component struct {
	name string
	done <-chan error
}

// Addresses are the bound "ip:port" of an entry host's listeners.
type Addresses struct {
	Callers   string `json:"callers"`
	Operators string `json:"operators"`
	Peers     string `json:"peers"`
}

// New returns an entry host that is not started. Settings must come from settings.Parse.
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

// Start runs the entry host until ctx ends and the graceful shutdown is over,
// or until Kill. The channel reports the end once.
func (n *Node) Start(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() { done <- n.run(ctx) }()
	return done
}

// Listening is closed once the entry host can be reached by peers and operators.
// It may still wait for its first configuration.
func (n *Node) Listening() <-chan struct{} { return n.listening }

// Ready is closed once the entry host accepts callers. Before that, Addresses lacks the callers' address.
func (n *Node) Ready() <-chan struct{} { return n.ready }

// Member returns the name of this incarnation of the entry host.
func (n *Node) Member() string { return n.member }

// Events returns the events that this process keeps.
func (n *Node) Events() []event.Event { return n.recorder.Events() }

// Addresses returns the bound addresses of the listeners.
func (n *Node) Addresses() Addresses {
	return Addresses{
		Callers:   n.callers.Address(),
		Operators: n.operators.Address(),
		Peers:     n.link.Address(),
	}
}

// Kill ends the entry host at once: its sockets close, nothing is handed over
// and no row is written any more.
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

// startServing begins to accept callers.
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

func (n *Node) startListener(l *listen.Server, name, address string) error {
	done, err := l.Start(n.killed, address)
	if err != nil {
		return crdb.Wrapf(err, "start the %s at %s", name, address)
	}
	n.components = append(n.components, component{name: name, done: done})
	return nil
}

// shutDown is the graceful shutdown: the balancer is told first, then requests
// in progress end, then the duties go to their successors.
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

// linger keeps accepting callers while the balancer learns of the failed health check.
func (n *Node) linger(ctx context.Context) error {
	select {
	case <-time.After(time.Duration(n.settings.Periods.Linger)):
	case <-ctx.Done():
	}
	return nil
}

// stopAll cancels all parts and waits for them.
func (n *Node) stopAll() error {
	n.kill()
	n.callers.Abort()
	n.operators.Abort()
	var problems []error
	for _, p := range n.components {
		if err := <-p.done; err != nil && !errors.Is(err, context.Canceled) {
			problems = append(problems, crdb.Wrapf(err, "end of %s", p.name))
		}
	}
	n.recorder.Record(event.Event{Number: event.ProcessStopped})
	problems = append(problems, n.metrics.Close())
	return errors.Join(problems...)
}
