package node

import (
	"context"
	"time"

	"siskincross/core/event"
	"siskincross/core/host"
	"siskincross/io/entry"
	"siskincross/io/fleet"
	"siskincross/io/jobs"
	"siskincross/io/listen"
	"siskincross/io/operator"
	"siskincross/io/peer"
	"siskincross/io/peer/peerpb"
	"siskincross/io/rollout"
)

// assemble creates the components and connects them by their function fields.
func (n *Node) assemble() {
	n.link = newLink(n)
	n.rollout = newRollout(n)
	n.fleet = newFleet(n)
	n.jobs = newJobs(n)
	n.entry = newEntry(n)
	n.operator = newOperator(n)
	n.callers = listen.Server{
		Handler: n.callersHandler(), MaxHeaderBytes: n.settings.Limits.HeaderBytes, MaxConnections: n.settings.Limits.Connections,
		MakeRoom: n.entry.BreakOffOldestBody, BodyTimeout: bodyTimeout,
	}
	n.operators = listen.Server{Handler: n.operator.Handler(), MaxHeaderBytes: n.settings.Limits.HeaderBytes}
	n.link.Handle(peer.KindTimelineRequest, n.answerTimeline)
}

// bodyTimeout limits how long a caller may take to send the body of a request that is for no queue. One for a queue has its own deadline.
const bodyTimeout = 10 * time.Second

// startComponents starts all components except the callers' listener.
func (n *Node) startComponents() error {
	n.recorder.Record(event.Event{Number: event.ProcessStarted, Detail: n.member})
	n.startComponent("peer link", n.link.Start)
	n.fleet.PeerAddress = n.link.Address()
	n.startComponent("roll-out", n.rollout.Start)
	n.startComponent("fleet", n.fleet.Start)
	n.startComponent("jobs", n.jobs.Start)
	n.startComponent("entry", n.entry.Start)
	return n.startListener(&n.operators, "operators' listener", n.settings.Operators.Listen)
}

// startComponent starts a component and adds it to the components.
func (n *Node) startComponent(name string, start func(context.Context) <-chan error) {
	n.components = append(n.components, component{name: name, done: start(n.killed)})
}

func newLink(n *Node) *peer.Link {
	return &peer.Link{
		Deployment: n.settings.Deployment,
		Member:     n.member,
		Zone:       n.settings.Zone,
		Listen:     n.settings.Peers.Listen,
		Seeds:      n.settings.Peers.Seeds,
		Recorder:   n.recorder,
		TLS:        mutualTLS(n.settings.Peers),
		Scope:      n.metrics.Scope.SubScope("peer"),

		MaxHeldBytes: n.settings.Limits.MemoryBytes / linkMemoryDivisor,
	}
}

// linkMemoryDivisor is the part of the memory that messages of other entry hosts may hold, as they are counted. Their buffers take up to
// twice as much, and a decoded message about as much again.
const linkMemoryDivisor = 6

func newRollout(n *Node) *rollout.Manager {
	return &rollout.Manager{
		Table:    n.platform.Table,
		Objects:  n.platform.Objects,
		Link:     rollout.Link{Broadcast: n.link.Broadcast, Call: n.link.Call, Handle: n.link.Handle},
		Members:  func() []string { return n.fleet.Members() },
		Member:   n.member,
		Recorder: n.recorder,
		Scope:    n.metrics.Scope.SubScope("config"),
	}
}

func newFleet(n *Node) *fleet.Manager {
	return &fleet.Manager{
		Member:     n.member,
		Zone:       n.settings.Zone,
		Platform:   n.platform,
		Config:     n.rollout.Current,
		Link:       fleetLink(n.link),
		Recorder:   n.recorder,
		InProgress: func(pool string) map[host.ID]int { return n.entry.InProgress(pool) },
		Demand:     func(pool string) (int, int, uint64) { return n.entry.Demand(pool) },
		TaskCount:  func(id host.ID) int { return n.jobs.TaskCount(id) },
		Periods:    fleetPeriods(n.settings.Periods),
		Scope:      n.metrics.Scope.SubScope("fleet"),
	}
}

func newJobs(n *Node) *jobs.Manager {
	return &jobs.Manager{
		Platform:      n.platform,
		Config:        n.rollout.Current,
		Snapshot:      n.fleet.Snapshot,
		HoldsDuty:     n.fleet.DutyEpoch,
		DrainingHosts: n.fleet.DrainingHosts,
		Recorder:      n.recorder,
		MemberID:      n.member,
		Scope:         n.metrics.Scope.SubScope("job"),
	}
}

func newEntry(n *Node) *entry.Server {
	return &entry.Server{
		Config:   n.rollout.Current,
		Snapshot: n.fleet.Snapshot,
		Table:    n.platform.Table,
		Objects:  n.platform.Objects,
		Recorder: n.recorder,
		Jobs:     n.jobs.Handler(),
		Members:  func() int { return max(1, len(n.fleet.Members())) },
		PeerLoad: n.fleet.PeerLoad,
		Scope:    n.metrics.Scope.SubScope("entry"),
		Limits:   entryLimits(n.settings.Limits),
		Member:   n.member,
	}
}

func newOperator(n *Node) *operator.Server {
	return &operator.Server{
		Rollout:  n.rollout,
		Fleet:    n.fleet.Status,
		Jobs:     n.jobs.Status,
		Peers:    n.link.Peers,
		Timeline: n.timeline,
		Token:    n.settings.Operators.Token,
		Metrics:  n.metrics.Handler,
	}
}

func fleetLink(l *peer.Link) fleet.Link {
	return fleet.Link{
		Broadcast: l.Broadcast,
		Call:      l.Call,
		Handle: func(kind peer.Kind, handle func(context.Context, string, *peerpb.Envelope) *peerpb.Envelope) {
			l.Handle(kind, handle)
		},
		SetPeers: l.SetPeers,
	}
}
