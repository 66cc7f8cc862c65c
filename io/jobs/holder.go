package jobs

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"siskincross/core/config"
	"siskincross/core/event"
	"siskincross/core/host"
	"siskincross/core/job"
	"siskincross/core/route"
	"siskincross/io/platform"
)

// placementsPerTick bounds the jobs that one round places.
const placementsPerTick = 256

// holder decides about the jobs of one pool while this entry host holds its
// duty. One goroutine owns its fields; calls run aside and hand their results back.
type holder struct {
	m     *Manager
	pool  string
	epoch uint64
	// duty is false once the duty is said to be another's. The loop then renews
	// leases and commits ends, but starts nothing, until the fence is another's.
	duty   atomic.Bool
	newer  atomic.Bool
	cancel context.CancelFunc
	// done receives the loop's end, over is true from then on.
	done  chan error
	over  atomic.Bool
	woken chan struct{}
	// results receives what calls that ran aside have to change here.
	results chan func()
	group   sync.WaitGroup

	// mu guards the scheduler for TasksOn and Status; only the loop writes.
	mu        sync.Mutex
	scheduler *job.Scheduler
	// rebuilt is true once all rows were read.
	rebuilt bool

	// fence is the version of the fence row.
	fence    uint64
	claim    string
	fenceDue time.Time
	taken    taken
	learnt   learntRow

	commit    retry
	flushing  bool
	notices   noticeReader
	contacts  map[host.ID]*contact
	retention retention
	// causes holds the last event of each job that has not ended.
	causes map[job.ID]event.ID
}

func newHolder(m *Manager, pool string, epoch uint64) *holder {
	h := &holder{
		m: m, pool: pool, epoch: epoch, claim: unique(),
		done: make(chan error, 1), woken: make(chan struct{}, 1), results: make(chan func()),
		scheduler: &job.Scheduler{Pool: pool, Epoch: epoch, Policy: m.Policy},
		contacts:  make(map[host.ID]*contact),
		causes:    make(map[job.ID]event.ID),
	}
	h.commit.limit = m.periods.MaxBackoff
	h.notices.retry.limit = m.periods.MaxBackoff
	h.duty.Store(true)
	return h
}

func (h *holder) start(ctx context.Context) {
	ctx, h.cancel = context.WithCancel(ctx)
	go func() {
		err := h.run(ctx)
		h.over.Store(true)
		h.done <- err
	}()
}

// setDuty takes in what the fleet knows of the duty.
func (h *holder) setDuty(epoch uint64, ok bool) {
	h.duty.Store(ok && epoch == h.epoch)
	h.newer.Store(ok && epoch > h.epoch)
}

func (h *holder) wake() {
	select {
	case h.woken <- struct{}{}:
	default:
	}
}

func (h *holder) run(ctx context.Context) error {
	defer h.group.Wait()
	defer h.cancel()
	if err := h.takeOver(ctx); err != nil {
		return err
	}
	h.event(event.JobDutyTaken, "", "", "")
	defer h.event(event.JobDutyLost, "", "", "")
	ticker := time.NewTicker(h.m.periods.RoundInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case apply := <-h.results:
			h.locked(apply)
		case <-h.woken:
			h.round(ctx, true)
		case <-ticker.C:
			h.round(ctx, false)
		}
	}
}

// round gathers what other parts know, without holding the lock, and decides.
func (h *holder) round(ctx context.Context, woken bool) {
	in := h.m.inputs(h.pool)
	h.locked(func() {
		if woken {
			h.notices.due = time.Time{}
		}
		h.step(ctx, in)
	})
}

func (h *holder) locked(f func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f()
}

// async runs work aside; the loop calls what it returns.
func (h *holder) async(ctx context.Context, work func(ctx context.Context) func()) {
	h.group.Go(func() {
		apply := work(ctx)
		if apply == nil {
			return
		}
		select {
		case h.results <- apply:
		case <-ctx.Done():
		}
	})
}

// step is one round: take in what changed, decide, and send what follows.
func (h *holder) step(ctx context.Context, in inputs) {
	if h.newer.Load() {
		h.cancel()
		return
	}
	now := time.Now()
	h.take(in, now)
	h.readNotices(ctx, now)
	h.poll(ctx, now)
	h.scheduler.ExpireLeases(now)
	if h.duty.Load() {
		h.scheduler.PlaceJobs(now, placementsPerTick)
	} else {
		h.checkFence(ctx, now)
	}
	h.send(ctx, h.scheduler.TakeCommands(now))
	h.flush(ctx)
	h.saveLearnt(ctx, now)
	h.tell()
}

// inputs is what other parts of the entry host know about a pool.
type inputs struct {
	snapshot route.Snapshot
	known    bool
	draining []host.ID
	expanded config.Expanded
}

func (m *Manager) inputs(pool string) inputs {
	var in inputs
	in.snapshot, in.known = m.Snapshot(pool)
	if m.DrainingHosts != nil {
		in.draining = m.DrainingHosts(pool)
	}
	in.expanded = m.Config()
	return in
}

// teamsOf returns the teams of a pool's organisation and the part of their slots that the pool has.
func teamsOf(expanded config.Expanded, name string) ([]config.Team, float64) {
	pool, ok := expanded.Pool(name)
	if !ok {
		return nil, 0
	}
	hosts := 0
	for _, p := range expanded.Pools {
		if p.Organisation == pool.Organisation {
			hosts += p.Hosts
		}
	}
	var teams []config.Team
	for _, t := range expanded.Teams {
		if t.Organisation == pool.Organisation {
			teams = append(teams, t)
		}
	}
	return teams, float64(pool.Hosts) / float64(max(hosts, 1))
}

// takeEvery is the time after which unchanged inputs are taken in again.
const takeEvery = time.Second

// taken tells which inputs the scheduler has.
type taken struct {
	snapshot route.Snapshot
	config   config.Version
	at       time.Time
}

// take gives the scheduler what other parts know, if it changed or some time has passed.
func (h *holder) take(in inputs, now time.Time) {
	last := h.taken
	due := now.Sub(last.at) >= takeEvery
	newer := in.snapshot.Newer(last.snapshot) || len(in.snapshot.Targets) != len(last.snapshot.Targets)
	if in.known && (due || newer) {
		h.scheduler.SetWorkers(in.snapshot.Targets, now)
		h.taken.snapshot = in.snapshot
	}
	if due || in.expanded.Version != last.config {
		h.scheduler.SetTeams(teamsOf(in.expanded, h.pool))
		h.taken.config = in.expanded.Version
	}
	if due {
		h.taken.at = now
		h.gauges()
	}
	h.scheduler.SetDraining(in.draining, now)
}

// gauges updates the pool's metrics.
func (h *holder) gauges() {
	scope := h.m.scope.Tagged(map[string]string{"pool": h.pool})
	scope.Gauge("waiting").Update(float64(h.scheduler.WaitingCount()))
	scope.Gauge("behind").Update(float64(h.scheduler.PendingWriteCount()))
}

// checkFence ends the loop of an entry host that is said to have lost the duty, once another has taken it.
func (h *holder) checkFence(ctx context.Context, now time.Time) {
	if now.Before(h.fenceDue) {
		return
	}
	h.fenceDue = now.Add(h.m.periods.MaxBackoff)
	h.async(ctx, func(ctx context.Context) func() {
		_, _, err := h.readFence(ctx, fencePrefix+h.pool, poolPrefix+h.pool)
		return func() {
			if errors.Is(err, errFenced) {
				h.lost()
			}
		}
	})
}

// lost ends the loop: another entry host holds the pool's jobs.
func (h *holder) lost() {
	h.cancel()
}

// outdated ends the loop if an answer tells that another holder was there.
func (h *holder) outdated(err error) bool {
	var stale platform.ErrStaleEpoch
	if errors.As(err, &stale) {
		h.lost()
		return true
	}
	return false
}
