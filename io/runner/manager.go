// Package runner runs the scheduler of core/work in an entry host. Every entry host accepts jobs of many tasks. Each
// pool has a duty, which one entry host at a time holds: its holder carries out what the scheduler decides.
//
// All lasting state is rows in the platform's table service.
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
	"siskincross/core/organisation"
	"siskincross/core/work"
	"siskincross/io/peer"
	"siskincross/io/platform"
	"siskincross/io/timeline"
)

// Manager accepts jobs and runs them in an entry host. Its exported fields are set before Start and not changed
// afterwards.
type Manager struct {
	Rows      platform.RowStore
	Executors platform.Executors
	Directory platform.WorkerDirectory
	CloudAPI  platform.CloudAPI
	Operators platform.OperatorRows
	// Peers reaches other entry hosts. The zero value means that the table service alone connects them.
	Peers Peers
	// EntryHost names the entry host, and MemberName its incarnation: EntryHost, a slash and the start time.
	EntryHost  string
	MemberName string
	Zone       string
	// MilliCores, LinkMbps and MemoryMB are the resources that this process may use. Zero means unknown.
	MilliCores, LinkMbps, MemoryMB int
	// Capacity holds the timings of the planner of hosts. OrderPause is how long a host gets no order after another
	// holder's order, beside orderValidity.
	Capacity   capacity.Timings
	OrderPause time.Duration
	// Timing holds the timings of the schedulers. Zero fields have defaults.
	Timing work.Timing
	// Configuration bounds the use of a configuration that can't be confirmed. It has an effect only with organisations.
	Configuration ConfigurationTiming
	// LearnInterference is true if tasks that slow each other down are kept apart also without organisations.
	LearnInterference bool
	// SuspendedTime returns the total time for which this machine was suspended. The monotonic clock doesn't count it. Nil means that
	// the machine is never suspended.
	SuspendedTime func() time.Duration
	// Recorder records events; nil means none.
	Recorder *timeline.Recorder
	// Scope receives metrics; nil means none.
	Scope tally.Scope

	// countReads shares concurrent reads of the waiting jobs of a pool.
	countReads singleflight.Group

	once  sync.Once
	scope tally.Scope
	ctx   context.Context

	mu        sync.Mutex
	catalogue work.Catalogue
	freshness configurationFreshness
	// withdrawnKeys holds the most recent keys that earlier configurations contained.
	withdrawnKeys map[organisation.KeyDigest]withdrawal
	// knownFindings holds what is wrong in the newest version. Only the goroutine that follows the configuration uses it.
	knownFindings map[string]bool
	// reportedMembers holds the members of earlier versions that forwarded jobs without an organisation.
	reportedMembers map[string]bool
	waves           map[string]work.MaintenanceWave
	// gates holds the open gates of the queues for which this process has stored jobs.
	gates map[gateID]gate
	// queuePools holds the pools that may have stored jobs of a queue, by the queue and the pool that serves it.
	queuePools map[gateID]queuePools
	// members holds the rows of the members, and failureDetector judges which of them are live.
	members         map[string]duty.MemberRow
	failureDetector duty.FailureDetector
	// hasSeenOthers is true once this process has read the row of a member of another entry host.
	hasSeenOthers bool
	// predecessors holds the earlier incarnations of this entry host whose member rows are to be removed.
	predecessors map[string]bool
	// detectorAtEcho is the state of failureDetector as of detectorEchoAt, the last echo that was evaluated.
	detectorAtEcho duty.FailureDetector
	detectorEchoAt time.Time
	// heartbeatAt is when our own member row was last written, fleetReadAt when the fleet table was last read, and
	// echoAt when a read of it last showed a newer heartbeat of ours.
	heartbeatAt, fleetReadAt, echoAt time.Time
	// memberRowVersion is the version of our member row after the last answered renewal.
	memberRowVersion uint64
	// fleetKnownAt is the time as of which the holders of the duties are known.
	fleetKnownAt time.Time
	// suspension tells when this machine was last suspended.
	suspension suspension
	// connected is whether we could read and write the store at the last check. lostConnection is whether we could at an
	// earlier check and have not been able to since.
	connected, lostConnection bool
	// connectedSince is since when the store has answered us without a gap; zero before its first answer.
	connectedSince time.Time
	// silenceStretched is whether the store was slow at the last check of the members.
	silenceStretched bool
	// holderRows holds the holders of the duties, with the versions of their rows.
	holderRows map[string]versionedHolder
	// tenures holds the duties that this process holds, and holders those of pools.
	tenures map[string]*tenure
	holders map[string]*poolHolder
	// hostsState is what this process knows of the hosts table.
	hostsState hostsTableState
	leaving    bool
	batchers   map[string]*batcher
	// storeSilences holds what other members have answered about a store that is silent to this one, by pool.
	storeSilences map[string]storeSilence
	// abstainsUntil holds the times until which this member doesn't take duties, by duty, since it has told their holders that the
	// store is silent to it. dutyBeingTaken is the duty that it is taking; empty if there is none.
	abstainsUntil  map[string]time.Time
	dutyBeingTaken string
	// doubters holds the members that have asked whether this one carries out a duty, and when they last did.
	doubters map[string]time.Time
	// dutyAnswers holds what the holders of duties answered last, by duty.
	dutyAnswers map[string]dutyAnswer
	// takeoverNotices holds the notices that this member has sent, by the member whose duties it takes, and takers when which
	// other members have sent one.
	takeoverNotices map[string]takeoverNotice
	takers          map[takeover]time.Time
	// lastHandIns holds the last answered hand-in by pool.
	lastHandIns map[string]handIn
	// takesDuties is true while this member takes duties that are offered to it. dutyOffers holds those that were offered and
	// not taken yet, and dutyOffered receives a value after an offer.
	takesDuties bool
	dutyOffers  map[string]versionedHolder
	dutyOffered chan struct{}
	// linkedPeers holds the addresses of the members that Peers connects to.
	linkedPeers map[string]string
	// handInRetryAt holds the time from which jobs may be forwarded again to a member that did not answer.
	handInRetryAt map[string]time.Time

	workers directoryCache
	// workerLatency is learnt from the starts of tasks on workers.
	workerLatency latencyEstimator
	// storeLatency is learnt from all calls of the store except long polls.
	storeLatency latencyEstimator
	// storeHealth tracks the availability of the store by the results of our own calls.
	storeHealth storeHealth
	// storeRecovered is closed and replaced when a partition of the store becomes available again.
	storeRecovered chan struct{}
	group          sync.WaitGroup
}

// init sets the fields that have no usable zero value, once.
func (m *Manager) init() {
	m.once.Do(func() {
		m.scope = m.Scope
		if m.scope == nil {
			m.scope = tally.NoopScope
		}
		m.storeLatency.minTimeout, m.storeLatency.maxTimeout = minStoreTimeout, maxStoreTimeout
		m.Configuration = m.Configuration.withDefaults()
		m.withdrawnKeys = make(map[organisation.KeyDigest]withdrawal)
		m.reportedMembers = make(map[string]bool)
		m.waves = make(map[string]work.MaintenanceWave)
		m.gates = make(map[gateID]gate)
		m.queuePools = make(map[gateID]queuePools)
		m.members = make(map[string]duty.MemberRow)
		m.failureDetector = duty.FailureDetector{Lease: memberLease}
		m.detectorAtEcho = m.failureDetector
		m.holderRows = make(map[string]versionedHolder)
		m.holders = make(map[string]*poolHolder)
		m.tenures = make(map[string]*tenure)
		m.hostsState.needs = make(map[string]needRow)
		m.hostsState.startedHosts = make(map[string][]string)
		m.batchers = make(map[string]*batcher)
		m.dutyOffers, m.dutyOffered = make(map[string]versionedHolder), make(chan struct{}, 1)
		m.storeSilences = make(map[string]storeSilence)
		m.abstainsUntil = make(map[string]time.Time)
		m.doubters = make(map[string]time.Time)
		m.dutyAnswers = make(map[string]dutyAnswer)
		m.takeoverNotices = make(map[string]takeoverNotice)
		m.takers = make(map[takeover]time.Time)
		m.predecessors = make(map[string]bool)
		m.lastHandIns = make(map[string]handIn)
		m.handInRetryAt = make(map[string]time.Time)
		m.workers.changed = make(chan struct{})
		m.storeRecovered = make(chan struct{})
		m.Rows = m.instrumentRows(m.Rows)
	})
}

// Start runs the manager until ctx is done. The channel receives nil once all its goroutines have ended.
func (m *Manager) Start(ctx context.Context) <-chan error {
	m.init()
	m.ctx = ctx
	if m.Peers.Handle != nil {
		m.Peers.Handle(peer.KindHandIn, m.handleHandIn)
		m.Peers.Handle(peer.KindJobRequest, m.handleJobRequest)
		m.Peers.Handle(peer.KindDutyQuestion, m.handleDutyQuestion)
		m.Peers.Handle(peer.KindDutyOffer, m.handleDutyOffer)
		m.Peers.Handle(peer.KindTakeoverNotice, m.handleTakeoverNotice)
	}
	ended := make(chan error, 1)
	for _, loop := range []func(context.Context){m.followOperators, m.runMember, m.followDirectory, m.followHostsTable, m.monitorStore} {
		m.group.Go(func() { loop(ctx) })
	}
	go func() {
		m.group.Wait()
		ended <- nil
	}()
	return ended
}

// Catalogue returns the configuration in force in this process. Its version is zero until the first one has been
// read.
func (m *Manager) Catalogue() work.Catalogue {
	m.init()
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.catalogue
}

// record records an event.
func (m *Manager) record(e event.Event) {
	if m.Recorder != nil {
		m.Recorder.Record(e)
	}
}

// Retries of calls of the store.
const (
	// firstRetryPause is the pause after the first failed call.
	firstRetryPause = 50 * time.Millisecond
	// maxRetryPause is the maximum pause, so that the recovery of the store is noticed within a second.
	maxRetryPause = 800 * time.Millisecond
)

// backoff counts consecutive failures of one kind of call. The zero value has none.
type backoff struct{ failures int }

// awaitRetry waits before a retry, longer after each failure, but only until the store has recovered. It reports
// false if ctx ended.
func (m *Manager) awaitRetry(ctx context.Context, b *backoff) bool {
	wait := min(firstRetryPause<<min(b.failures, 10), maxRetryPause)
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

// Serving reports whether callers' requests can be served: there is a configuration that is current enough, and the store
// answers.
func (m *Manager) Serving() bool {
	return m.Catalogue().Version != 0 && !m.storeHealth.isUnreachable() && m.mayAccept()
}

// sleep waits for d. It reports false if ctx ended before.
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

// isHistoryGone reports whether the store no longer has the changes asked for, so that the table must be read as a
// whole.
func isHistoryGone(err error) bool {
	var gone platform.ErrHistoryTruncated
	return errors.As(err, &gone)
}
