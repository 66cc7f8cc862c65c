// Package rollout keeps the configuration of a deployment: it accepts changes,
// spreads them to all entry hosts and tells when they are in force everywhere.
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

// Link is the part of a peer link that the configuration needs. The zero value is no link.
type Link struct {
	Broadcast func(e *peerpb.Envelope)
	Call      func(ctx context.Context, member string, e *peerpb.Envelope) (*peerpb.Envelope, error)
	Handle    func(kind peer.Kind, h peer.Handler)
}

// Periods are the times of the configuration. Zero values are replaced by defaults.
type Periods struct {
	// Poll is how often the head is read from the store. Default 1 s.
	Poll time.Duration
	// Announce is how often peers are told the version that is held. Default 1 s.
	Announce time.Duration
	// PeerWait is how long a starting process listens to its peers while the store is down. Default 3 s.
	PeerWait time.Duration
	// StoreTimeout bounds each call to the store. Default 10 s.
	StoreTimeout time.Duration
}

func (p Periods) poll() time.Duration         { return orDefault(p.Poll, time.Second) }
func (p Periods) announce() time.Duration     { return orDefault(p.Announce, time.Second) }
func (p Periods) settle() time.Duration       { return orDefault(p.PeerWait, 3*time.Second) }
func (p Periods) storeTimeout() time.Duration { return orDefault(p.StoreTimeout, 10*time.Second) }

func orDefault(d, missing time.Duration) time.Duration {
	if d == 0 {
		return missing
	}
	return d
}

// Manager holds the configuration of one entry host. Its exported fields are
// set before Start. Its methods may be called from any goroutine.
type Manager struct {
	Table   platform.Table
	Objects platform.ObjectStore
	Link    Link
	// Members returns the live members with this one; nil means only this one.
	Members func() []string
	// Member is this entry host's incarnation.
	Member   string
	Recorder *timeline.Recorder
	Periods  Periods
	Scope    tally.Scope

	once sync.Once
	mu   sync.Mutex
	// current is replaced by higher versions only.
	current config.Expanded
	// content is current as it stands in the object store; empty for version zero.
	content []byte
	// changed is closed and replaced when current is replaced.
	changed chan struct{}
	ready   chan struct{}
	proved  bool
	// listening is when the first peer told its version to this starting process.
	listening time.Time
	// reports holds the newest version that each peer acknowledged.
	reports map[string]report
	// rollouts holds the progress of the versions that were accepted here.
	rollouts map[config.Version]*tracked
	// pending are the changes that wait for the committer.
	pending []*request
	wake    chan struct{}
	// ended is closed when the manager has ended.
	ended chan struct{}
	// lagging receives the members that need the configuration pushed.
	lagging chan string
	// ahead receives the members that hold a higher version.
	ahead chan string
}

// report is what a peer acknowledged.
type report struct {
	version config.Version
	heard   time.Time
}

// exchangeQueue bounds the peers that wait for a push or a fetch.
const exchangeQueue = 64

func (m *Manager) init() {
	m.once.Do(func() {
		m.changed = make(chan struct{})
		m.ready = make(chan struct{})
		m.reports = make(map[string]report)
		m.rollouts = make(map[config.Version]*tracked)
		m.wake = make(chan struct{}, 1)
		m.ended = make(chan struct{})
		m.lagging = make(chan string, exchangeQueue)
		m.ahead = make(chan string, exchangeQueue)
	})
}

// Start proves, follows and spreads the configuration until ctx ends.
func (m *Manager) Start(ctx context.Context) <-chan error {
	m.init()
	if m.Link.Handle != nil {
		m.Link.Handle(peer.KindConfigHead, m.handleHead)
		m.Link.Handle(peer.KindConfigReport, m.handleReport)
		m.Link.Handle(peer.KindConfigChange, m.handleChange)
	}
	done := make(chan error, 1)
	go func() {
		defer close(done)
		defer close(m.ended)
		group, ctx := errgroup.WithContext(ctx)
		group.Go(func() error { return m.prove(ctx) })
		group.Go(func() error { return m.follow(ctx) })
		group.Go(func() error { return m.announceAll(ctx) })
		group.Go(func() error { return m.commitAll(ctx) })
		group.Go(func() error { return m.exchange(ctx) })
		group.Go(func() error { return m.pruneAll(ctx) })
		done <- group.Wait()
	}()
	return done
}

// Ready is closed once a configuration may be served by.
func (m *Manager) Ready() <-chan struct{} {
	m.init()
	return m.ready
}

// Current returns the configuration that is held. Serve by it only after Ready.
func (m *Manager) Current() config.Expanded {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.current
}

// Changed returns a channel that is closed when Current is replaced.
func (m *Manager) Changed() <-chan struct{} {
	m.init()
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

func (m *Manager) held() (config.Expanded, []byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.current, m.content
}

// adopt replaces the configuration by a higher version and acknowledges it to all peers.
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
	m.announce()
	m.checkRollouts()
}

// poll reads the head from the store and adopts it.
func (m *Manager) poll(ctx context.Context) error {
	h, _, err := m.readHead(ctx)
	if err != nil || h.Version <= m.Current().Version {
		return err
	}
	e, content, err := m.getExpanded(ctx, h)
	if err != nil {
		return err
	}
	m.adopt(e, content, "the store")
	return nil
}

// follow polls the store, so that a missed push is made up for.
func (m *Manager) follow(ctx context.Context) error {
	for {
		if !pause(ctx, jitter(m.Periods.poll())) {
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

// jitter returns a duration between three and five quarters of d.
func jitter(d time.Duration) time.Duration {
	return d*3/4 + rand.N(d/2+1)
}

// pause waits for d and reports whether ctx goes on.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
