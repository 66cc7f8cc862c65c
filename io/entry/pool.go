package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"siskincross/core/event"
	"siskincross/core/host"
	"siskincross/core/route"
)

// pool runs the route.Scheduler of one pool. It supplies the current time, serialises calls and delivers the grants
// to the waiting requests.
type pool struct {
	name   string
	server *Server

	mu        sync.Mutex
	scheduler route.Scheduler
	rng       *rand.Rand
	// grants holds a channel for each waiting request, on which one grant is delivered.
	grants map[*route.Waiter]chan route.Grant
	// timer calls onTimer when a target that is backing off may be tried again; nil when none is set.
	timer *time.Timer
	// vouched tells whether this entry host can vouch for the pool's snapshot.
	vouched bool
	// members is the number of entry hosts, or 0 before the first use.
	members int
	// active tells whether there were requests in progress or waiting at the last refresh.
	active  bool
	metrics poolMetrics
}

func newPool(s *Server, name string) *pool {
	return &pool{
		name:    name,
		server:  s,
		rng:     rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		grants:  make(map[*route.Waiter]chan route.Grant),
		metrics: newPoolMetrics(s.Scope, name),
	}
}

// lockUpdated locks the pool, applies the latest snapshot and returns the current time. It calls Snapshot before it
// takes the lock, as the function may take locks of its own.
func (p *pool) lockUpdated() time.Time {
	snapshot, ok := p.server.Snapshot(p.name)
	p.mu.Lock()
	p.vouched = ok
	if ok {
		p.scheduler.Selector.Update(snapshot)
	}
	if p.members == 0 {
		p.members = p.server.memberCount()
		p.scheduler.Selector.SetMemberCount(p.members)
	}
	return time.Now()
}

// acquire returns a target for w, or the refusal if there is none. It waits until ctx is done or w's deadline at most.
func (p *pool) acquire(ctx context.Context, w *route.Waiter) (route.Target, route.Refusal) {
	now := p.lockUpdated()
	if !p.vouched {
		defer p.mu.Unlock()
		return route.Target{}, p.scheduler.NewRefusal(p.rng, route.ReasonUnvouched)
	}
	admission := p.scheduler.Admit(now, p.rng, w)
	if d := admission.Displaced; d != nil {
		p.deliver([]route.Grant{{Waiter: d, Refusal: p.scheduler.NewRefusal(p.rng, route.ReasonDisplaced)}})
	}
	if !admission.Queued {
		p.mu.Unlock()
		return admission.Target, admission.Refusal
	}
	return p.awaitGrant(ctx, w, now)
}

// admissionRefusal returns the refusal that w would get now; its reason is ReasonNone if w would be admitted.
func (p *pool) admissionRefusal(w *route.Waiter) route.Refusal {
	now := p.lockUpdated()
	defer p.mu.Unlock()
	if !p.vouched {
		return p.scheduler.NewRefusal(p.rng, route.ReasonUnvouched)
	}
	return p.scheduler.Precheck(now, p.rng, w)
}

// acquireAgain returns another target for w after an attempt at a target has failed.
func (p *pool) acquireAgain(ctx context.Context, w *route.Waiter, failed host.ID) (route.Target, route.Refusal) {
	now := p.lockUpdated()
	p.scheduler.Requeue(w, failed)
	return p.awaitGrant(ctx, w, now)
}

// spendRetry takes a retry from the retry budget and reports whether the budget allowed it.
func (p *pool) spendRetry(after route.Fault) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.scheduler.RetryBudget.TakeRetry(after)
}

// finishAttempt ends an attempt at a target and grants its slot to waiting requests.
func (p *pool) finishAttempt(queue string, id host.ID, a route.Attempt, took time.Duration) {
	now := p.lockUpdated()
	defer p.mu.Unlock()
	p.scheduler.FinishAttempt(now, queue, id, a, took)
	p.grantWaiting(now)
}

// refreshIfActive refreshes the pool if it has requests in progress or waiting. When the pool becomes inactive, it
// drops the peer load, which would become stale.
func (p *pool) refreshIfActive() {
	p.mu.Lock()
	active := p.scheduler.Selector.InProgressCount() > 0 || p.scheduler.WaitingCount() > 0
	if !active && p.active {
		p.scheduler.Selector.SetPeerRequests(nil)
		p.metrics.update(0, 0, p.scheduler.Selector.EjectedCount())
	}
	p.active = active
	p.mu.Unlock()
	if active {
		p.refresh()
	}
}

// refresh reads the peer load and the number of entry hosts, assesses the health of the targets and grants slots to
// waiting requests.
func (p *pool) refresh() {
	var peers map[host.ID]int
	if p.server.PeerLoad != nil {
		peers = p.server.PeerLoad(p.name)
	}
	members := p.server.memberCount()
	configured := p.server.currentIndex().pools[p.name]
	now := p.lockUpdated()
	defer p.mu.Unlock()
	board := &p.scheduler.Selector
	p.members = members
	board.SetMemberCount(members)
	board.SetPeerRequests(peers)
	board.DetectOutliers(now, configured.MaxUnavailable-max(0, configured.Hosts-board.TargetCount()))
	p.recordHealth()
	p.metrics.update(board.InProgressCount(), p.scheduler.WaitingCount(), board.EjectedCount())
	p.grantWaiting(now)
}

// awaitGrant unlocks the pool and waits for the grant of w or for the end of ctx.
func (p *pool) awaitGrant(ctx context.Context, w *route.Waiter, now time.Time) (route.Target, route.Refusal) {
	grants := make(chan route.Grant, 1)
	p.grants[w] = grants
	p.grantWaiting(now)
	p.mu.Unlock()
	select {
	case g := <-grants:
		return g.Target, g.Refusal
	case <-ctx.Done():
		return route.Target{}, p.cancelWait(ctx, w, grants)
	}
}

// cancelWait removes w from the queue and returns its refusal. A target that was granted in the meantime is released.
func (p *pool) cancelWait(ctx context.Context, w *route.Waiter, grants <-chan route.Grant) route.Refusal {
	now := p.lockUpdated()
	defer p.mu.Unlock()
	delete(p.grants, w)
	if !p.scheduler.Cancel(w) {
		if g := <-grants; g.Refusal.Reason == route.ReasonNone {
			p.scheduler.Selector.Release(now, g.Target.Host, route.Attempt{Fault: route.FaultCaller}, 0)
			p.grantWaiting(now)
		}
	}
	if ctx.Err() == context.DeadlineExceeded {
		return p.scheduler.NewRefusal(p.rng, route.ReasonDeadline)
	}
	return route.Refusal{Reason: route.ReasonCallerGone}
}

// recordHealth records the ejections and restorations of targets.
func (p *pool) recordHealth() {
	for _, change := range p.scheduler.Selector.TakeHealthChanges() {
		number := event.TargetEjected
		if change.State == route.TargetHealthy {
			number = event.TargetRestored
		}
		p.server.record(event.Event{Number: number, Pool: p.name, Host: string(change.Host), Detail: change.Reason})
	}
}

// grantWaiting delivers all grants that are possible now, and sets the timer for the next time at which a target may
// become available. It refuses all waiting requests if the snapshot is not vouched for.
func (p *pool) grantWaiting(now time.Time) {
	if !p.vouched {
		p.deliver(p.scheduler.RefuseAll(p.rng, route.ReasonUnvouched))
		return
	}
	p.deliver(p.scheduler.GrantTargets(now, p.rng))
	if p.timer != nil || p.scheduler.WaitingCount() == 0 {
		return
	}
	if next, ok := p.scheduler.Selector.NextRetry(); ok {
		p.timer = time.AfterFunc(next.Sub(now), p.onTimer)
	}
}

// onTimer grants slots to waiting requests when the timer fires.
func (p *pool) onTimer() {
	now := p.lockUpdated()
	defer p.mu.Unlock()
	p.timer = nil
	p.grantWaiting(now)
}

// deliver sends the grants to their waiting requests.
func (p *pool) deliver(grants []route.Grant) {
	for _, g := range grants {
		p.grants[g.Waiter] <- g
		delete(p.grants, g.Waiter)
	}
}
