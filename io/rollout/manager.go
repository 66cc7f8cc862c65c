// Package rollout manages the configuration of a deployment: it accepts changes,
// distributes them to all entry hosts and reports when they are in force on all of them.
package rollout

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"siskincross/core/config"
	"siskincross/core/event"
	"siskincross/io/peer"
	"siskincross/io/peer/peerpb"
	"siskincross/io/platform"
	"siskincross/io/timeline"
)

// Link is the part of a peer link that the rollout needs. With the zero value there is no
// link.
type Link struct {
	Broadcast func(e *peerpb.Envelope)
	Call      func(ctx context.Context, member string, e *peerpb.Envelope) (*peerpb.Envelope, error)
	Handle    func(kind peer.Kind, h peer.Handler)
}

// Periods holds the periods and timeouts of a Manager. Zero fields have defaults.
type Periods struct {
	// Poll is the period of reading the head from the table service. Default 1 s.
	Poll time.Duration
	// Announce is the period of announcing the current version to the peers. Default 1 s.
	Announce time.Duration
	// PeerWait is how long a starting process collects versions from its peers while the
	// stores are unavailable. It also bounds each of its reads from them. Default 3 s.
	PeerWait time.Duration
	// StoreTimeout bounds each call to the table service or the object store. Default 10 s.
	StoreTimeout time.Duration
}

func (p Periods) poll() time.Duration         { return orDefault(p.Poll, time.Second) }
func (p Periods) announce() time.Duration     { return orDefault(p.Announce, time.Second) }
func (p Periods) peerWait() time.Duration     { return orDefault(p.PeerWait, 3*time.Second) }
func (p Periods) storeTimeout() time.Duration { return orDefault(p.StoreTimeout, 10*time.Second) }

func orDefault(d, fallback time.Duration) time.Duration {
	if d == 0 {
		return fallback
	}
	return d
}

// Manager holds the configuration of one entry host. Its exported fields are set before
// Start. Its methods may be called concurrently.
type Manager struct {
	Table   platform.Table
	Objects platform.ObjectStore
	Link    Link
	// Members returns the live members. If it is nil, this entry host is the only member.
	Members func() []string
	// Member names this incarnation of the entry host.
	Member   string
	Recorder *timeline.Recorder
	Periods  Periods
	Scope    tally.Scope

	once sync.Once
	mu   sync.Mutex
	// current is the configuration in use. It is replaced only by higher versions.
	current config.Expanded
	// content is current as stored in the object store; empty for version zero.
	content []byte
	// changed is closed and replaced by a new channel when current is replaced.
	changed chan struct{}
	ready   chan struct{}
	// firstPeerReport is when this process first received a version from a peer.
	firstPeerReport time.Time
	// peerReports holds the highest version that each peer reported.
	peerReports map[string]peerReport
	// rollouts holds the roll-outs of the changes that this entry host received, by version.
	rollouts map[config.Version]*trackedRollout
	// pending holds the changes that the committer has not taken yet.
	pending []*request
	wake    chan struct{}
	// stopped is closed when the manager has stopped.
	stopped chan struct{}
	// pushQueue holds members that need the configuration pushed to them.
	pushQueue chan string
	// fetchQueue holds members that have a higher version.
	fetchQueue chan string
}

// peerReport is the version that a peer reported.
type peerReport struct {
	version    config.Version
	receivedAt time.Time
}

// maxQueuedPeers bounds each of the queues of peers that wait for a push or a fetch.
const maxQueuedPeers = 64

func (m *Manager) init() {
	m.once.Do(func() {
		m.changed = make(chan struct{})
		m.ready = make(chan struct{})
		m.peerReports = make(map[string]peerReport)
		m.rollouts = make(map[config.Version]*trackedRollout)
		m.wake = make(chan struct{}, 1)
		m.stopped = make(chan struct{})
		m.pushQueue = make(chan string, maxQueuedPeers)
		m.fetchQueue = make(chan string, maxQueuedPeers)
	})
}

// Start runs the manager until ctx ends. The returned channel receives nil or the error
// that stopped it.
func (m *Manager) Start(ctx context.Context) <-chan error {
	m.init()
	if m.Link.Handle != nil {
		m.Link.Handle(peer.KindConfigHead, m.handleHead)
		m.Link.Handle(peer.KindConfigReport, m.handleReport)
		m.Link.Handle(peer.KindConfigChange, m.handleForwardedChange)
	}
	done := make(chan error, 1)
	go func() {
		defer close(done)
		defer close(m.stopped)
		group, ctx := errgroup.WithContext(ctx)
		group.Go(func() error { return m.awaitVerified(ctx) })
		group.Go(func() error { return m.pollPeriodically(ctx) })
		group.Go(func() error { return m.announcePeriodically(ctx) })
		group.Go(func() error { return m.runCommitter(ctx) })
		group.Go(func() error { return m.runPeerSync(ctx) })
		group.Go(func() error { return m.prunePeriodically(ctx) })
		done <- group.Wait()
	}()
	return done
}

// Ready returns a channel that is closed once the configuration is verified and may be used
// to serve requests.
func (m *Manager) Ready() <-chan struct{} {
	m.init()
	return m.ready
}

// Current returns the current configuration. Requests must not be served by it before
// Ready.
func (m *Manager) Current() config.Expanded {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.current
}

// Changed returns a channel that is closed when the current configuration is replaced.
func (m *Manager) Changed() <-chan struct{} {
	m.init()
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

func (m *Manager) currentWithContent() (config.Expanded, []byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.current, m.content
}

// adopt replaces the current configuration by a higher version and announces it to all
// peers. It ignores versions that are not higher.
func (m *Manager) adopt(e config.Expanded, content []byte, origin string) {
	m.mu.Lock()
	if e.Version <= m.current.Version {
		m.mu.Unlock()
		return
	}
	m.current, m.content = e, content
	close(m.changed)
	m.changed = make(chan struct{})
	m.mu.Unlock()
	m.scope().Gauge("version").Update(float64(e.Version))
	m.record(event.Event{Number: event.ConfigAdopted, Detail: fmt.Sprintf("version %d from %s", e.Version, origin)})
	m.broadcastVersion()
	m.recordCompletedRollouts()
}

// poll reads the head from the table service and adopts its configuration if it is newer.
func (m *Manager) poll(ctx context.Context) error {
	h, _, err := m.readHead(ctx)
	if err != nil || h.Version <= m.Current().Version {
		return err
	}
	e, content, err := m.getExpanded(ctx, h)
	if err != nil {
		return err
	}
	m.adopt(e, content, "the head row")
	return nil
}

// pollPeriodically polls the table service until ctx ends, so that an entry host that
// missed a push still receives the configuration.
func (m *Manager) pollPeriodically(ctx context.Context) error {
	for {
		if !sleep(ctx, jitter(m.Periods.poll())) {
			return nil
		}
		if err := m.poll(ctx); err != nil {
			m.scope().Counter("failed-polls").Inc(1)
		}
	}
}

func (m *Manager) record(e event.Event) event.ID {
	if m.Recorder == nil {
		return ""
	}
	return m.Recorder.Record(e)
}

func (m *Manager) scope() tally.Scope {
	if m.Scope == nil {
		return tally.NoopScope
	}
	return m.Scope
}

// jitter returns a random duration between 3/4 d and 5/4 d.
func jitter(d time.Duration) time.Duration {
	return d*3/4 + rand.N(d/2+1)
}

// sleep waits for d. It returns false if ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
