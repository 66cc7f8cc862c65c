// Package fleet carries out the decisions about pools and hosts: membership and
// duties, the states of hosts, planned work and moves. All that lasts is in the
// platform's table service; any entry host can go on where another stopped.
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

// Manager is one entry host's part in running the fleet. The exported fields
// are set before Start; its methods may be called from any goroutine.
type Manager struct {
	// Member names this incarnation of the entry host; it is never used again.
	Member string
	Zone   string
	// PeerAddress is the "ip:port" of the peer listener, written in the member row.
	PeerAddress string
	Platform    platform.Services
	// Config returns the configuration in force.
	Config func() config.Expanded
	// Link reaches the other entry hosts. The zero value means that the table service alone connects them.
	Link Link
	// Recorder receives events; nil means that none are recorded.
	Recorder *timeline.Recorder
	// InProgress returns this entry host's own requests in progress by host; nil means none.
	InProgress func(pool string) map[host.ID]int
	// Demand returns this entry host's own load of a pool; nil means none.
	Demand func(pool string) (inProgress, queued int, arrivals uint64)
	// TaskCount counts the tasks in progress that block a drain; nil means none.
	TaskCount func(id host.ID) int
	// Periods holds the times that the manager goes by; zero fields have defaults.
	Periods Periods
	// Scope receives metrics; nil means none.
	Scope tally.Scope

	// deciding is held while decisions are made and carried out, and taken before mu.
	deciding sync.Mutex
	mu       sync.Mutex
	// rows holds the pools' rows as last read, by pool.
	rows map[string]row
	// routes holds the newest snapshots, from rows or from peers, by pool.
	routes map[string]routes
	// missed holds the newest routes that only peers are known to have, by pool.
	missed map[string]miss
	ledger duty.FailureDetector
	list   pool.HostList
	// listStarted is when the list was first read.
	listStarted time.Time
	// touched holds the versions of rows that this member wrote and does not hold, by pool.
	touched map[string]touch
	contact contact
	peers   map[string]peerState
	// confirmed holds the platform operations that succeeded for the present state of a host.
	confirmed map[host.ID]confirmation
	// elsewhere holds hosts of the list that have an owner which is not their home pool.
	elsewhere map[host.ID]time.Time
	loads     map[string]load
	// waiting holds why planned work of a pool waits.
	waiting map[string]string
	// behind tells the pools that are behind their maintenance schedule.
	behind map[string]bool
	// planned is when planned work was last considered. Only decisions use it.
	planned time.Time
	// outSince holds the version of the pool's row that first showed a host out of service.
	outSince map[host.ID]uint64
	// lastEvents holds the newest event of each host. Only decisions use it.
	lastEvents map[host.ID]event.ID
	// searched is when dropped pools were last looked for. Only decisions use it.
	searched time.Time
	// adopted is the reading of the list in which no host was left to adopt, and when that was found.
	adopted adoption
	// told holds the pools whose last load told to peers was not empty.
	told map[string]bool
	// nextSweep and nextLoad turn over the pools of the configuration.
	nextSweep, nextLoad int
	// left is set when the duties were handed over; nothing is decided or written afterwards.
	left bool
	// urgent asks for an early write of the member row. It has room for one.
	urgent chan struct{}
	// questions holds the routes to be asked for.
	questions chan question
}

// Link is the seam to the links between entry hosts.
type Link struct {
	// Broadcast sends a message to all connected peers and does not wait.
	Broadcast func(*peerpb.Envelope)
	// Call sends a message to one peer and returns its answer. With nil, routes
	// reach this entry host from their makers and from the store only.
	Call func(ctx context.Context, member string, message *peerpb.Envelope) (*peerpb.Envelope, error)
	// Handle registers the receiver of one kind of message. A nil answer sends none.
	Handle func(kind peer.Kind, handler func(ctx context.Context, from string, message *peerpb.Envelope) *peerpb.Envelope)
	// SetPeers replaces the members to be connected to, with their peer addresses.
	SetPeers func(members map[string]string)
}

// row is a pool's row as last read.
type row struct {
	pool    pool.Pool
	version uint64
	exists  bool
	// fresh is false from the moment that a commit was tried until the row was read back. Nothing is decided on a row that is not fresh.
	fresh bool
}

// routes is a snapshot and since when this entry host goes by it.
type routes struct {
	snapshot route.Snapshot
	since    time.Time
	// offered is the snapshot without the hosts that a reading of the platform's list shows as unfit.
	offered route.Snapshot
	reading int
}

// touch is a version that this member wrote in a row that it does not hold.
type touch struct {
	version uint64
	at      time.Time
}

// contact is when this entry host last reached the table service.
type contact struct {
	// read is when a poll last found all rows that changed.
	read time.Time
	// polled is when the member rows were last received, for the time credited to the ledger.
	polled time.Time
	// beat is when the last successful write of the member row was begun. No
	// other member can find this one lapsed before the lease after it is over.
	beat time.Time
	// members counts the members that were live at the last poll.
	members int
	// silent tells that routes are not vouched for.
	silent bool
}

// Start runs the manager until ctx ends. The channel receives nil or the error that ended it.
func (m *Manager) Start(ctx context.Context) <-chan error {
	m.init()
	m.handlePeers()
	done := make(chan error, 1)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return m.runBeats(ctx) })
	group.Go(func() error { return m.runRounds(ctx) })
	group.Go(func() error { return m.runList(ctx) })
	group.Go(func() error { return m.runPeers(ctx) })
	group.Go(func() error { return m.runQuestions(ctx) })
	group.Go(func() error { return m.runDemand(ctx) })
	go func() { done <- group.Wait() }()
	return done
}

func (m *Manager) init() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.Periods = m.Periods.withDefaults()
	m.ledger = duty.FailureDetector{Lease: m.Periods.lease()}
	m.list = pool.HostList{MassFailureDelay: m.Periods.MassFailureDelay}
	m.rows = make(map[string]row)
	m.routes = make(map[string]routes)
	m.touched = make(map[string]touch)
	m.peers = make(map[string]peerState)
	m.confirmed = make(map[host.ID]confirmation)
	m.elsewhere = make(map[host.ID]time.Time)
	m.loads = make(map[string]load)
	m.waiting = make(map[string]string)
	m.behind = make(map[string]bool)
	m.outSince = make(map[host.ID]uint64)
	m.lastEvents = make(map[host.ID]event.ID)
	m.told = make(map[string]bool)
	m.missed = make(map[string]miss)
	m.urgent = make(chan struct{}, 1)
	m.questions = make(chan question, maxQuestions)
}

// record writes an event to the time line and returns its ID.
func (m *Manager) record(e event.Event) event.ID {
	if m.Recorder == nil {
		return ""
	}
	return m.Recorder.Record(e)
}

// every calls step at once and then with the period until ctx ends. A slow step
// shortens the pause after it. The periods vary a little, so that entry hosts do
// not step together.
func every(ctx context.Context, period time.Duration, early <-chan struct{}, step func(context.Context)) error {
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
