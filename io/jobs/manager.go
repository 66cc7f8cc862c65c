// Package jobs runs the job scheduler of core/job. It accepts callers' jobs on every entry host and executes
// the decisions of the duty holder of each pool.
package jobs

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/uber-go/tally/v4"
	"golang.org/x/time/rate"

	"siskincross/core/config"
	"siskincross/core/event"
	"siskincross/core/host"
	"siskincross/core/job"
	"siskincross/core/route"
	"siskincross/io/platform"
	"siskincross/io/timeline"
)

// Timing holds the intervals, delays and timeouts of a Manager. A zero field has the default of
// DefaultTiming.
type Timing struct {
	// RoundInterval is the interval between two scheduling rounds of a pool.
	RoundInterval time.Duration
	// NoticePollInterval is the interval between two polls for rows that callers wrote.
	NoticePollInterval time.Duration
	// MinWorkerPollInterval and MaxWorkerPollInterval bound the interval between two polls of a worker with
	// tasks.
	MinWorkerPollInterval time.Duration
	MaxWorkerPollInterval time.Duration
	// LeaseRenewalInterval is the interval between two renewals of a worker's leases.
	LeaseRenewalInterval time.Duration
	// DutyCheckInterval is the interval between two checks of which pools this entry host holds.
	DutyCheckInterval time.Duration
	// CommitGroupDelay is how long a caller's write waits for others to share its transaction.
	CommitGroupDelay time.Duration
	// StoreTimeout bounds one call of the table service.
	StoreTimeout time.Duration
	// WorkerTimeout bounds one call of a worker.
	WorkerTimeout time.Duration
	// Retention is how long the rows of final jobs are kept.
	Retention time.Duration
	// MaxBackoff bounds the delay after a failed call of the table service.
	MaxBackoff time.Duration
}

// DefaultTiming returns the values that replace the zero fields of a Timing.
func DefaultTiming() Timing {
	return Timing{
		RoundInterval:         100 * time.Millisecond,
		NoticePollInterval:    250 * time.Millisecond,
		MinWorkerPollInterval: 2 * time.Second,
		MaxWorkerPollInterval: 10 * time.Second,
		LeaseRenewalInterval:  10 * time.Second,
		DutyCheckInterval:     250 * time.Millisecond,
		CommitGroupDelay:      5 * time.Millisecond,
		StoreTimeout:          time.Second,
		WorkerTimeout:         2 * time.Second,
		Retention:             time.Hour,
		MaxBackoff:            time.Second,
	}
}

func (p Timing) withDefaults() Timing {
	d := DefaultTiming()
	for _, field := range []struct{ value, fallback *time.Duration }{
		{&p.RoundInterval, &d.RoundInterval}, {&p.NoticePollInterval, &d.NoticePollInterval}, {&p.MinWorkerPollInterval, &d.MinWorkerPollInterval}, {&p.MaxWorkerPollInterval, &d.MaxWorkerPollInterval}, {&p.LeaseRenewalInterval, &d.LeaseRenewalInterval},
		{&p.DutyCheckInterval, &d.DutyCheckInterval}, {&p.CommitGroupDelay, &d.CommitGroupDelay}, {&p.StoreTimeout, &d.StoreTimeout},
		{&p.WorkerTimeout, &d.WorkerTimeout}, {&p.Retention, &d.Retention}, {&p.MaxBackoff, &d.MaxBackoff},
	} {
		if *field.value == 0 {
			*field.value = *field.fallback
		}
	}
	return p
}

const (
	// commitsPerSecond and commitBurst limit the rate of transactions of one entry host, so that a recovered
	// table service is not overloaded by all entry hosts at once.
	commitsPerSecond = 40
	commitBurst      = 20
	// maxWorkerCalls bounds the concurrent calls of workers.
	maxWorkerCalls = 128
)

// Manager runs the job subsystem of one entry host. Its exported fields are set before Start and not changed
// afterwards.
type Manager struct {
	Platform platform.Services
	Config   func() config.Expanded
	// Snapshot returns the hosts of a pool that may receive new work.
	Snapshot func(pool string) (route.Snapshot, bool)
	// HoldsDuty reports whether this entry host holds the pool's duty now, and with which epoch.
	HoldsDuty func(pool string) (epoch uint64, ok bool)
	// DrainingHosts returns the hosts whose tasks are to be checkpointed and evicted. If it is nil, no host
	// is draining.
	DrainingHosts func(pool string) []host.ID
	// Recorder records events. If it is nil, no events are recorded.
	Recorder *timeline.Recorder
	// MemberID is the ID of this incarnation of the entry host.
	MemberID string
	Timing   Timing
	// Policy holds the parameters of scheduling. Zero fields have defaults.
	Policy job.Policy
	// Scope receives the metrics. If it is nil, there are no metrics.
	Scope tally.Scope

	once         sync.Once
	timing       Timing
	scope        tally.Scope
	limiter      *rate.Limiter
	callSlots    chan struct{}
	callerWrites chan *callerWrite

	mu sync.Mutex
	// holders holds the running pool holders by pool.
	holders map[string]*poolHolder
}

func (m *Manager) init() {
	m.once.Do(func() {
		m.timing = m.Timing.withDefaults()
		m.scope = m.Scope
		if m.scope == nil {
			m.scope = tally.NoopScope
		}
		m.limiter = rate.NewLimiter(commitsPerSecond, commitBurst)
		m.callSlots = make(chan struct{}, maxWorkerCalls)
		m.callerWrites = make(chan *callerWrite)
		m.holders = make(map[string]*poolHolder)
	})
}

// Start runs the manager until ctx is done. When all its goroutines have ended, the channel receives nil or
// the first error.
func (m *Manager) Start(ctx context.Context) <-chan error {
	m.init()
	ended := make(chan error, 1)
	go func() {
		var group sync.WaitGroup
		group.Go(func() { m.runCommitGroups(ctx) })
		err := m.runHolders(ctx)
		group.Wait()
		ended <- err
	}()
	return ended
}

// runHolders runs a pool holder for each pool whose duty this entry host holds.
func (m *Manager) runHolders(ctx context.Context) error {
	ticker := time.NewTicker(m.timing.DutyCheckInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		for _, pool := range m.Config().Pools {
			m.updateHolder(ctx, pool.Name)
		}
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
	return m.awaitHolders()
}

// updateHolder updates the pool's holder, or starts one if this entry host holds the duty.
func (m *Manager) updateHolder(ctx context.Context, pool string) {
	epoch, ok := m.HoldsDuty(pool)
	m.mu.Lock()
	h := m.holders[pool]
	m.mu.Unlock()
	if h != nil && h.ended.Load() {
		m.setHolder(pool, nil)
		h = nil
	}
	if h != nil {
		h.setDuty(epoch, ok)
	}
	if !ok || h != nil {
		return
	}
	next := newPoolHolder(m, pool, epoch)
	m.setHolder(pool, next)
	next.start(ctx)
}

func (m *Manager) setHolder(pool string, h *poolHolder) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if h == nil {
		delete(m.holders, pool)
		return
	}
	m.holders[pool] = h
}

func (m *Manager) holderList() []*poolHolder {
	m.mu.Lock()
	defer m.mu.Unlock()
	list := make([]*poolHolder, 0, len(m.holders))
	for _, h := range m.holders {
		list = append(list, h)
	}
	return list
}

// awaitHolders waits for all pool holders and returns the first error. Losing a duty is not an error.
func (m *Manager) awaitHolders() error {
	var first error
	for _, h := range m.holderList() {
		if err := <-h.done; err != nil && first == nil && !errors.Is(err, errFenced) {
			first = err
		}
	}
	return first
}

// wakeHolder makes the pool's holder poll for notices now, if it runs on this entry host.
func (m *Manager) wakeHolder(pool string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if h := m.holders[pool]; h != nil {
		h.wake()
	}
}

// recordEvent records an event and returns its ID, which is empty without a recorder.
func (m *Manager) recordEvent(e event.Event) event.ID {
	if m.Recorder == nil {
		return ""
	}
	return m.Recorder.Record(e)
}

// newUniqueID returns a new ULID.
func newUniqueID() string {
	return ulid.Make().String()
}
