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

// maxPlacementsPerRound bounds the jobs that one scheduling round places.
const maxPlacementsPerRound = 256

// poolHolder schedules the jobs of one pool while this entry host holds the pool's duty. One goroutine, the
// loop, owns its fields. Calls of other services run in goroutines of their own and hand their results to the
// loop.
type poolHolder struct {
	manager *Manager
	pool    string
	epoch   uint64
	// hasDuty is false while another entry host is said to hold the duty. The loop then renews leases and
	// commits ends, but places no jobs, until a later holder has taken the fence.
	hasDuty    atomic.Bool
	superseded atomic.Bool
	cancel     context.CancelFunc
	// done receives the error that ended the loop. ended is true from then on.
	done    chan error
	ended   atomic.Bool
	wakeups chan struct{}
	// completions receives functions that apply the results of asynchronous calls in the loop.
	completions chan func()
	group       sync.WaitGroup

	// mu guards the scheduler for TaskCount and Status. Only the loop writes.
	mu        sync.Mutex
	scheduler *job.Scheduler
	// rebuilt is true once all rows were read after the takeover.
	rebuilt bool

	// fenceVersion is the version of the fence row.
	fenceVersion   uint64
	takeoverID     string
	nextFenceCheck time.Time
	applied        appliedInputs
	learnt         learntRowState

	commitRetry retryBackoff
	// conflicted is true if the last commit failed because of a conflict.
	conflicted  bool
	flushing    bool
	notices     noticeReader
	workerCalls map[host.ID]*workerCalls
	retention   retentionQueue
	// lastEvents holds the last event of each job that has not ended.
	lastEvents map[job.ID]event.ID
}

func newPoolHolder(m *Manager, pool string, epoch uint64) *poolHolder {
	h := &poolHolder{
		manager: m, pool: pool, epoch: epoch, takeoverID: newUniqueID(),
		done: make(chan error, 1), wakeups: make(chan struct{}, 1), completions: make(chan func()),
		scheduler:   &job.Scheduler{Pool: pool, Epoch: epoch, Policy: m.Policy},
		workerCalls: make(map[host.ID]*workerCalls),
		lastEvents:  make(map[job.ID]event.ID),
	}
	h.commitRetry.limit = m.timing.MaxBackoff
	h.notices.retry.limit = m.timing.MaxBackoff
	h.hasDuty.Store(true)
	return h
}

func (h *poolHolder) start(ctx context.Context) {
	ctx, h.cancel = context.WithCancel(ctx)
	go func() {
		err := h.run(ctx)
		h.ended.Store(true)
		h.done <- err
	}()
}

// setDuty updates what the fleet knows about the holder of the duty.
func (h *poolHolder) setDuty(epoch uint64, ok bool) {
	h.hasDuty.Store(ok && epoch == h.epoch)
	h.superseded.Store(ok && epoch > h.epoch)
}

func (h *poolHolder) wake() {
	select {
	case h.wakeups <- struct{}{}:
	default:
	}
}

func (h *poolHolder) run(ctx context.Context) error {
	defer h.group.Wait()
	defer h.cancel()
	if err := h.takeOver(ctx); err != nil {
		return err
	}
	h.recordEvent(event.JobDutyTaken, "", "", "")
	defer h.recordEvent(event.JobDutyLost, "", "", "")
	ticker := time.NewTicker(h.manager.timing.RoundInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case apply := <-h.completions:
			h.withLock(apply)
		case <-h.wakeups:
			h.runRound(ctx, true)
		case <-ticker.C:
			h.runRound(ctx, false)
		}
	}
}

// runRound collects the inputs without holding the lock, and then runs a scheduling round.
func (h *poolHolder) runRound(ctx context.Context, woken bool) {
	in := h.manager.inputs(h.pool)
	h.withLock(func() {
		if woken {
			h.notices.nextPoll = time.Time{}
		}
		h.decide(ctx, in)
	})
}

func (h *poolHolder) withLock(apply func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	apply()
}

// runAsync runs work in a goroutine. The loop then calls the function that work returns.
func (h *poolHolder) runAsync(ctx context.Context, call func(ctx context.Context) func()) {
	h.group.Go(func() {
		apply := call(ctx)
		if apply == nil {
			return
		}
		select {
		case h.completions <- apply:
		case <-ctx.Done():
		}
	})
}

// decide runs one scheduling round: it applies changed inputs, schedules, and sends the resulting commands
// and writes.
func (h *poolHolder) decide(ctx context.Context, in inputs) {
	if h.superseded.Load() {
		h.cancel()
		return
	}
	now := time.Now()
	h.applyInputs(in, now)
	h.pollNotices(ctx, now)
	h.pollWorkers(ctx, now)
	h.scheduler.ExpireLeases(now)
	if h.hasDuty.Load() {
		h.scheduler.PlaceJobs(now, maxPlacementsPerRound)
	} else {
		h.checkFence(ctx, now)
	}
	h.sendCommands(ctx, h.scheduler.TakeCommands(now))
	h.flushWrites(ctx)
	h.saveLearnt(ctx, now)
	h.recordNotices()
}

// inputs holds what other parts of the entry host know about a pool.
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

// poolTeams returns the teams of a pool's organisation and the fraction of the organisation's hosts that the
// pool has.
func poolTeams(expanded config.Expanded, name string) ([]config.Team, float64) {
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

// inputRefreshInterval is the time after which unchanged inputs are applied again.
const inputRefreshInterval = time.Second

// appliedInputs identifies the inputs that the scheduler has.
type appliedInputs struct {
	snapshot  route.Snapshot
	config    config.Version
	appliedAt time.Time
}

// applyInputs passes the inputs to the scheduler if they changed or inputRefreshInterval is over.
func (h *poolHolder) applyInputs(in inputs, now time.Time) {
	last := h.applied
	due := now.Sub(last.appliedAt) >= inputRefreshInterval
	snapshotChanged := in.snapshot.NewerThan(last.snapshot) || len(in.snapshot.Targets) != len(last.snapshot.Targets)
	if in.known && (due || snapshotChanged) {
		h.scheduler.SetWorkers(in.snapshot.Targets, now)
		h.applied.snapshot = in.snapshot
	}
	if due || in.expanded.Version != last.config {
		h.scheduler.SetTeams(poolTeams(in.expanded, h.pool))
		h.applied.config = in.expanded.Version
	}
	if due {
		h.applied.appliedAt = now
		h.updateGauges()
	}
	h.scheduler.SetDraining(in.draining, now)
}

// updateGauges updates the pool's metrics.
func (h *poolHolder) updateGauges() {
	scope := h.manager.scope.Tagged(map[string]string{"pool": h.pool})
	scope.Gauge("waiting").Update(float64(h.scheduler.WaitingCount()))
	scope.Gauge("behind").Update(float64(h.scheduler.PendingWriteCount()))
}

// checkFence stops the loop once another entry host has taken the fence. It is called while this one is said
// to have lost the duty.
func (h *poolHolder) checkFence(ctx context.Context, now time.Time) {
	if now.Before(h.nextFenceCheck) {
		return
	}
	h.nextFenceCheck = now.Add(h.manager.timing.MaxBackoff)
	h.runAsync(ctx, func(ctx context.Context) func() {
		_, _, err := h.readFenceRows(ctx, fencePrefix+h.pool, poolPrefix+h.pool)
		return func() {
			if errors.Is(err, errFenced) {
				h.stop()
			}
		}
	})
}

// stop ends the loop because another entry host holds the pool's jobs.
func (h *poolHolder) stop() {
	h.cancel()
}

// stopIfStale stops the loop if a worker rejected the epoch as stale, which shows that there is a later
// holder.
func (h *poolHolder) stopIfStale(err error) bool {
	var stale platform.ErrStaleEpoch
	if errors.As(err, &stale) {
		h.stop()
		return true
	}
	return false
}
