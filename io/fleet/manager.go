// Package fleet carries out the decisions about pools and hosts: membership, duties, host
// states, planned work and moves between pools. All persistent state is in the platform's
// table service, so that any entry host can resume what another one left unfinished.
package fleet

import (
	"context"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"siskincross/core/config"
	"siskincross/core/duty"
	"siskincross/core/event"
	"siskincross/core/host"
	"siskincross/core/pool"
	"siskincross/core/route"
	"siskincross/io/peer"
	"siskincross/io/peer/peerpb"
	"siskincross/io/platform"
	"siskincross/io/timeline"
)

// Manager runs the part of fleet management that falls to one entry host. The exported
// fields are set before Start. Its methods may be called concurrently.
type Manager struct {
	// Member names this incarnation of the entry host. A name is never reused.
	Member string
	Zone   string
	// PeerAddress is the "ip:port" of the peer listener. It is published in the member row.
	PeerAddress string
	Platform    platform.Services
	// Config returns the configuration in force.
	Config func() config.Expanded
	// Link sends messages to the other entry hosts. With the zero value, entry hosts
	// communicate through the table service alone.
	Link Link
	// Recorder receives events. If it is nil, no events are recorded.
	Recorder *timeline.Recorder
	// InProgress returns this entry host's own requests in progress in a pool, by host; nil
	// means none.
	InProgress func(pool string) map[host.ID]int
	// Demand returns this entry host's own load on a pool; nil means none.
	Demand func(pool string) (inProgress, queued int, arrivals uint64)
	// TaskCount returns the number of tasks in progress on a host, which block its drain;
	// nil means none.
	TaskCount func(id host.ID) int
	// Periods holds periods, delays and timeouts. Zero fields have defaults.
	Periods Periods
	// Scope receives metrics; nil means that none are emitted.
	Scope tally.Scope

	// decisionMu serialises decision rounds and the hand-over. It is acquired before mu.
	decisionMu sync.Mutex
	mu         sync.Mutex
	// rows holds the pool rows as last read, by pool.
	rows map[string]poolRow
	// routes holds the newest route snapshot of each pool, from its row or from a peer.
	routes map[string]routeState
	// missingRoutes holds, by pool, versions of routes that a peer advertises and this
	// entry host lacks.
	missingRoutes map[string]missingVersion
	detector      duty.FailureDetector
	list          pool.HostList
	// listedSince is the time of the first host list that was not empty.
	listedSince time.Time
	// recentWrites holds the versions of recently written rows that this member advertises
	// although it may not hold them, by pool.
	recentWrites map[string]recentWrite
	store        storeContact
	peers        map[string]peerState
	// confirmations holds, by host, the state for which the platform's operation last
	// succeeded.
	confirmations map[host.ID]confirmation
	// ownedElsewhere holds listed hosts whose ownership row exists although their home pool
	// does not have them, and when this was seen.
	ownedElsewhere map[host.ID]time.Time
	poolLoads      map[string]poolLoad
	// waitReasons holds the reason why planned work is held back, by pool.
	waitReasons map[string]string
	// behindSchedule marks the pools that are behind their maintenance schedule.
	behindSchedule map[string]bool
	// lastPlanned is the time of the last planning of work. It is guarded by decisionMu.
	lastPlanned time.Time
	// outOfServiceSince holds, by host, the version of the pool row that first showed the
	// host out of service.
	outOfServiceSince map[host.ID]uint64
	// lastEvents holds the newest event of each host. It is guarded by decisionMu.
	lastEvents map[host.ID]event.ID
	// lastDroppedScan is the time of the last scan for dropped pools. It is guarded by
	// decisionMu.
	lastDroppedScan time.Time
	// lastAdoption is the last pass over the host list that found no host to adopt.
	lastAdoption adoptionPass
	// reportedLoad marks the pools whose last broadcast load was not empty.
	reportedLoad map[string]bool
	// nextRefresh and nextLoadReport are round-robin positions in the list of pools.
	nextRefresh, nextLoadReport int
	// handedOver is set when the hand-over of duties begins. No decisions are made
	// afterwards, and the only later writes are those of the hand-over.
	handedOver bool
	// heartbeatNow requests an early write of the member row. Its capacity is one.
	heartbeatNow chan struct{}
	// routeQueries holds the pending queries for newer routes.
	routeQueries chan routeQuery
}

// Link abstracts the connections to the other entry hosts.
type Link struct {
	// Broadcast sends a message to all connected peers without blocking.
	Broadcast func(*peerpb.Envelope)
	// Call sends a message to one peer and returns its reply. If it is nil, routes are
	// received only from the table service and from the members that wrote them.
	Call func(ctx context.Context, member string, message *peerpb.Envelope) (*peerpb.Envelope, error)
	// Handle registers the handler of one kind of message. If the handler returns nil, no
	// reply is sent.
	Handle func(kind peer.Kind, handler func(ctx context.Context, from string, message *peerpb.Envelope) *peerpb.Envelope)
	// SetPeers replaces the set of members to connect to, with their peer addresses.
	SetPeers func(members map[string]string)
}

// poolRow is a pool row as last read.
type poolRow struct {
	pool    pool.Pool
	version uint64
	exists  bool
	// current is false from the start of a commit until the row has been read back. No
	// decision uses a row that is not current.
	current bool
}

// routeState is a route snapshot and the time from which this entry host has used it.
type routeState struct {
	snapshot route.Snapshot
	since    time.Time
	// usable is the snapshot without the hosts that the host list of listRevision shows as
	// leaving or failed.
	usable       route.Snapshot
	listRevision int
}

// recentWrite is a version of a pool row that this member wrote.
type recentWrite struct {
	version   uint64
	writtenAt time.Time
}

// storeContact records when this entry host last reached the table service.
type storeContact struct {
	// lastPoll is the start of the last poll that read all changed rows.
	lastPoll time.Time
	// membersReceived is when the member rows were last received. It determines the time
	// that the failure detector credits.
	membersReceived time.Time
	// lastHeartbeat is the start of the last successful write of the member row. No other
	// member can find this one lapsed until a whole lease after it.
	lastHeartbeat time.Time
	// liveMembers is the number of members that were live at the last poll.
	liveMembers int
	// stale is set if the last check found the routes too old to use.
	stale bool
}

// Start runs the manager until ctx ends. The returned channel receives nil or the error
// that stopped it.
func (m *Manager) Start(ctx context.Context) <-chan error {
	m.init()
	m.registerPeerHandlers()
	done := make(chan error, 1)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return m.runHeartbeats(ctx) })
	group.Go(func() error { return m.runDecisionRounds(ctx) })
	group.Go(func() error { return m.runList(ctx) })
	group.Go(func() error { return m.runPeerReports(ctx) })
	group.Go(func() error { return m.runRouteQueries(ctx) })
	group.Go(func() error { return m.runDemand(ctx) })
	go func() { done <- group.Wait() }()
	return done
}

func (m *Manager) init() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.Periods = m.Periods.withDefaults()
	m.detector = duty.FailureDetector{Lease: m.Periods.leaseDuration()}
	m.list = pool.HostList{MassFailureDelay: m.Periods.MassFailureDelay}
	m.rows = make(map[string]poolRow)
	m.routes = make(map[string]routeState)
	m.recentWrites = make(map[string]recentWrite)
	m.peers = make(map[string]peerState)
	m.confirmations = make(map[host.ID]confirmation)
	m.ownedElsewhere = make(map[host.ID]time.Time)
	m.poolLoads = make(map[string]poolLoad)
	m.waitReasons = make(map[string]string)
	m.behindSchedule = make(map[string]bool)
	m.outOfServiceSince = make(map[host.ID]uint64)
	m.lastEvents = make(map[host.ID]event.ID)
	m.reportedLoad = make(map[string]bool)
	m.missingRoutes = make(map[string]missingVersion)
	m.heartbeatNow = make(chan struct{}, 1)
	m.routeQueries = make(chan routeQuery, maxRouteQueries)
}

// record adds an event to the timeline and returns its ID.
func (m *Manager) record(e event.Event) event.ID {
	if m.Recorder == nil {
		return ""
	}
	return m.Recorder.Record(e)
}

// runPeriodically calls step at once and then once every period until ctx ends. A slow step
// shortens the pause after it. The period is jittered so that entry hosts don't run in
// lockstep.
func runPeriodically(ctx context.Context, period time.Duration, early <-chan struct{}, step func(context.Context)) error {
	for {
		started := time.Now()
		step(ctx)
		timer := time.NewTimer(max(jitter(period)-time.Since(started), period/10))
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-early:
			timer.Stop()
		case <-timer.C:
		}
	}
}
