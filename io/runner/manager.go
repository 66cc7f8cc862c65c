// Package runner runs core/work: every entry host takes jobs of many tasks in,
// and the holder of a pool's duty carries out what its board decides.
//
// Everything that lasts is rows in the platform's table service.
package runner

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/singleflight"

	"siskincross/core/capacity"
	"siskincross/core/duty"
	"siskincross/core/event"
	"siskincross/core/work"
	"siskincross/io/peer"
	"siskincross/io/platform"
	"siskincross/io/timeline"
)

// Manager is the part of an entry host that takes jobs in and runs them. Its public fields are set before Start
// and not changed.
type Manager struct {
	Rows      platform.RowStore
	Executors platform.Executors
	Directory platform.WorkerDirectory
	CloudAPI  platform.CloudAPI
	Operators platform.OperatorRows
	// Peers reaches other entry hosts. The zero value means that the table service alone connects them.
	Peers Peers
	// EntryHost names the entry host, Member its incarnation: Node, a slash and the time of its start.
	EntryHost  string
	MemberName string
	Zone       string
	// MilliCores, LinkMbps and MemoryMB are what this process may use; zero if unknown.
	MilliCores, LinkMbps, MemoryMB int
	// Capacity holds the figures of the plan for hosts, HostLeaseTTL how long another holder's orders must be past.
	Capacity   capacity.Timings
	OrderPause time.Duration
	// Timing holds the figures of the boards; zero fields have defaults.
	Timing work.Timing
	// Recorder takes the events; nil means none.
	Recorder *timeline.Recorder
	// Scope takes the metrics; nil means none.
	Scope tally.Scope

	// countReads holds the readings of pools' waiting jobs that are on their way.
	countReads singleflight.Group

	once  sync.Once
	scope tally.Scope
	ctx   context.Context

	mu        sync.Mutex
	catalogue work.Catalogue
	waves     map[string]work.MaintenanceWave
	// formerPools holds the pools that served a queue before, by the queue's key.
	formerPools map[string][]string
	// members holds the rows of the members, ledger judges them.
	members map[string]duty.MemberRow
	ledger  duty.FailureDetector
	// echoedLedger is the ledger as of judgedEcho, the last echo of ours that was judged.
	echoedLedger duty.FailureDetector
	judgedEcho   time.Time
	// beaten is when our own member row was last written, followed when the fleet table was last read, echoed when
	// it last showed a newer beat of ours.
	beaten, followed, echoed time.Time
	// connected is whether the last look found that we read and write the store, cutOff whether an earlier one did and none since.
	connected, cutOff bool
	// holderRows holds the holders of the pools' duties and the versions of their rows.
	holderRows map[string]versionedHolder
	// tenures holds the duties that this process holds, holders those for pools.
	tenures map[string]*tenure
	holders map[string]*poolHolder
	// hostsState is what this process knows of the table of hosts.
	hostsState hostsTableState
	leaving    bool
	batchers   map[string]*batcher
	// linkedPeers are the addresses of the members that Peers connects to.
	linkedPeers map[string]string
	// handInRetryAt is when jobs may be handed to a member again that did not answer.
	handInRetryAt map[string]time.Time

	workers directoryCache
	// workerLatency is learnt from all calls to workers.
	workerLatency latencyEstimator
	// storeLatency is learnt from all calls of the store that do not wait.
	storeLatency latencyEstimator
	// storeHealth judges the store by our own calls.
	storeHealth storeHealth
	// storeRecovered is closed and replaced when a part of the store answers again.
	storeRecovered chan struct{}
	group          sync.WaitGroup
}

// versionedHolder is a pool's holder as the store has it.
type versionedHolder struct {
	holderRow
	version uint64
}

func (m *Manager) init() {
	m.once.Do(func() {
		m.scope = m.Scope
		if m.scope == nil {
			m.scope = tally.NoopScope
		}
		m.storeLatency.minTimeout, m.storeLatency.maxTimeout = minStoreTimeout, maxStoreTimeout
		m.waves = make(map[string]work.MaintenanceWave)
		m.formerPools = make(map[string][]string)
		m.members = make(map[string]duty.MemberRow)
		m.ledger = duty.FailureDetector{Lease: memberLease}
		m.echoedLedger = m.ledger
		m.holderRows = make(map[string]versionedHolder)
		m.holders = make(map[string]*poolHolder)
		m.tenures = make(map[string]*tenure)
		m.hostsState.needs = make(map[string]needRow)
		m.hostsState.done = make(map[string][]string)
		m.batchers = make(map[string]*batcher)
		m.handInRetryAt = make(map[string]time.Time)
		m.workers.changed = make(chan struct{})
		m.storeRecovered = make(chan struct{})
		m.Rows = m.instrumentRows(m.Rows)
	})
}

// Start runs the loops until ctx is done. The channel receives nil once all have ended.
func (m *Manager) Start(ctx context.Context) <-chan error {
	m.init()
	m.ctx = ctx
	if m.Peers.Handle != nil {
		m.Peers.Handle(peer.KindHandIn, m.handleHandIn)
	}
	ended := make(chan error, 1)
	for _, loop := range []func(context.Context){m.followOperators, m.runMember, m.followDirectory, m.followHosts, m.monitorStore} {
		m.group.Go(func() { loop(ctx) })
	}
	go func() {
		m.group.Wait()
		ended <- nil
	}()
	return ended
}

// Catalogue returns the configuration in force in this process. Its version is zero before the first was read.
func (m *Manager) Catalogue() work.Catalogue {
	m.init()
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.catalogue
}

// record notes an event.
func (m *Manager) record(e event.Event) {
	if m.Recorder != nil {
		m.Recorder.Record(e)
	}
}

// Retries of calls of the store.
const (
	// firstRetry is the pause after the first failed call.
	firstRetry = 50 * time.Millisecond
	// lastRetry bounds the pause, so that a store that is back is noticed within a second.
	lastRetry = 800 * time.Millisecond
)

// backoff counts failures of calls of one kind. The zero value has seen none.
type backoff struct{ failures int }

// awaitRetry waits longer after each failure, but no longer than until the store is back. It reports false if ctx ended.
func (m *Manager) awaitRetry(ctx context.Context, b *backoff) bool {
	wait := min(firstRetry<<min(b.failures, 10), lastRetry)
	b.failures++
	m.mu.Lock()
	back := m.storeRecovered
	m.mu.Unlock()
	timer := time.NewTimer(jitter(wait))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-back:
		b.failures = 0
	case <-timer.C:
	}
	return true
}

// Serving reports whether callers' requests can be served: there is a configuration, and the store answers.
func (m *Manager) Serving() bool { return m.Catalogue().Version != 0 && !m.storeHealth.isUnreachable() }

func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// isHistoryGone reports whether a table must be read anew.
func isHistoryGone(err error) bool {
	var gone platform.ErrHistoryTruncated
	return errors.As(err, &gone)
}
