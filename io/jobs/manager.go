// Package jobs runs core/job: it accepts callers' jobs at every entry host, and
// carries out the decisions of the duty holder of each pool.
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

// Timing are the waits of the loops. A zero field has the default of DefaultTiming.
type Timing struct {
	// RoundInterval is the time between two rounds of decisions about a pool.
	RoundInterval time.Duration
	// NoticePollInterval is the time between two looks for rows that callers wrote.
	NoticePollInterval time.Duration
	// MinWorkerPollInterval is the least time between two looks at a worker with tasks, MaxWorkerPollInterval the most.
	MinWorkerPollInterval time.Duration
	MaxWorkerPollInterval time.Duration
	// LeaseRenewalInterval is the time between two renewals of a worker's leases.
	LeaseRenewalInterval time.Duration
	// DutyCheckInterval is the time between two looks at which pools this entry host holds.
	DutyCheckInterval time.Duration
	// CommitGroupDelay is how long a caller's write waits for others to be committed with.
	CommitGroupDelay time.Duration
	// StoreTimeout bounds one call of the table service.
	StoreTimeout time.Duration
	// WorkerTimeout bounds one call of a worker.
	WorkerTimeout time.Duration
	// Retention is how long the rows of final jobs are kept.
	Retention time.Duration
	// MaxBackoff bounds the wait after a failed call of the table service.
	MaxBackoff time.Duration
}

// DefaultTiming returns the periods of a zero Periods.
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
	// commitsPerSecond bounds the transactions of one entry host, so that a
	// recovered table service meets no stampede; commitBurst may follow at once.
	commitsPerSecond = 40
	commitBurst      = 20
	// maxWorkerCalls bounds the calls of workers in progress.
	maxWorkerCalls = 128
)

// Manager is the jobs part of one entry host. Its fields are set before Start and not changed.
type Manager struct {
	Platform platform.Services
	Config   func() config.Expanded
	// Snapshot returns the hosts of a pool that may receive new work.
	Snapshot func(pool string) (route.Snapshot, bool)
	// HoldsDuty tells whether this entry host holds the pool's duty now, and its epoch.
	HoldsDuty func(pool string) (epoch uint64, ok bool)
	// DrainingHosts returns the hosts whose tasks must checkpoint and leave; nil means none.
	DrainingHosts func(pool string) []host.ID
	// Recorder takes the events; nil means none.
	Recorder *timeline.Recorder
	// MemberID is the ID of this entry host's incarnation.
	MemberID string
	Timing   Timing
	// Policy holds the numbers that decide about jobs; zero fields have defaults.
	Policy job.Policy
	// Scope takes the metrics; nil means none.
	Scope tally.Scope

	once     sync.Once
	periods  Timing
	scope    tally.Scope
	limiter  *rate.Limiter
	calls    chan struct{}
	accepted chan *change

	mu sync.Mutex
	// holders holds the running loops by pool.
	holders map[string]*holder
}

func (m *Manager) init() {
	m.once.Do(func() {
		m.periods = m.Timing.withDefaults()
		m.scope = m.Scope
		if m.scope == nil {
			m.scope = tally.NoopScope
		}
		m.limiter = rate.NewLimiter(commitsPerSecond, commitBurst)
		m.calls = make(chan struct{}, maxWorkerCalls)
		m.accepted = make(chan *change)
		m.holders = make(map[string]*holder)
	})
}

// Start runs the loops until ctx is done. The channel receives nil, or the error
// that ended them, once all have ended.
func (m *Manager) Start(ctx context.Context) <-chan error {
	m.init()
	ended := make(chan error, 1)
	go func() {
		var group sync.WaitGroup
		group.Go(func() { m.runAccepts(ctx) })
		err := m.runDuties(ctx)
		group.Wait()
		ended <- err
	}()
	return ended
}

// runDuties keeps one loop for each pool whose duty this entry host holds.
func (m *Manager) runDuties(ctx context.Context) error {
	ticker := time.NewTicker(m.periods.DutyCheckInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		for _, pool := range m.Config().Pools {
			m.takeUp(ctx, pool.Name)
		}
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
	return m.awaitHolders()
}

// takeUp starts the loop of a pool that this entry host holds and has no loop for.
func (m *Manager) takeUp(ctx context.Context, pool string) {
	epoch, ok := m.HoldsDuty(pool)
	m.mu.Lock()
	h := m.holders[pool]
	m.mu.Unlock()
	if h != nil && h.over.Load() {
		m.setHolder(pool, nil)
		h = nil
	}
	if h != nil {
		h.setDuty(epoch, ok)
	}
	if !ok || h != nil {
		return
	}
	next := newHolder(m, pool, epoch)
	m.setHolder(pool, next)
	next.start(ctx)
}

func (m *Manager) setHolder(pool string, h *holder) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if h == nil {
		delete(m.holders, pool)
		return
	}
	m.holders[pool] = h
}

func (m *Manager) holderList() []*holder {
	m.mu.Lock()
	defer m.mu.Unlock()
	list := make([]*holder, 0, len(m.holders))
	for _, h := range m.holders {
		list = append(list, h)
	}
	return list
}

// awaitHolders returns the first error that ended a loop. Losing a duty is none.
func (m *Manager) awaitHolders() error {
	var first error
	for _, h := range m.holderList() {
		if err := <-h.done; err != nil && first == nil && !errors.Is(err, errFenced) {
			first = err
		}
	}
	return first
}

// wake makes the pool's loop look for notices now, if it runs here.
func (m *Manager) wake(pool string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if h := m.holders[pool]; h != nil {
		h.wake()
	}
}

// record returns the event's ID; it is empty without a recorder.
func (m *Manager) record(e event.Event) event.ID {
	if m.Recorder == nil {
		return ""
	}
	return m.Recorder.Record(e)
}

// unique returns an ID that no other call returns.
func unique() string {
	return ulid.Make().String()
}
