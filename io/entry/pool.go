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

// pool carries out a route.Scheduler: it gives it the clock and wakes the requests that wait.
type pool struct {
	name   string
	server *Server

	mu        sync.Mutex
	scheduler route.Scheduler
	rng       *rand.Rand
	// waits holds the channel of each waiting request; each gets one grant.
	waits map[*route.Waiter]chan route.Grant
	// timer runs advance when a resting target may be tried again; nil when none is set.
	timer *time.Timer
	// vouched tells whether the entry host can vouch for the pool's hosts.
	vouched bool
	// members is the number of entry hosts, or 0 before it was asked for.
	members int
	// used tells whether there were requests at the last refresh.
	used    bool
	metrics poolMetrics
}

func newPool(s *Server, name string) *pool {
	return &pool{
		name:    name,
		server:  s,
		rng:     rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		waits:   make(map[*route.Waiter]chan route.Grant),
		metrics: newPoolMetrics(s.Scope, name),
	}
}

// lock locks the pool with the newest snapshot in force and returns the time. The functions of
// the server's owner are called before, as they may have locks of their own.
func (p *pool) lock() time.Time {
	snapshot, ok := p.server.Snapshot(p.name)
	p.mu.Lock()
	p.vouched = ok
	if ok {
		p.scheduler.Board.Update(snapshot)
	}
	if p.members == 0 {
		p.members = p.server.members()
		p.scheduler.Board.SetMembers(p.members)
	}
	return time.Now()
}

// acquire finds a target for w, or tells why there is none. It ends with ctx or at w's deadline at the latest.
func (p *pool) acquire(ctx context.Context, w *route.Waiter) (route.Target, route.Refusal) {
	now := p.lock()
	if !p.vouched {
		defer p.mu.Unlock()
		return route.Target{}, p.scheduler.Refuse(p.rng, route.ReasonUnvouched)
	}
	admission := p.scheduler.Arrive(now, p.rng, w)
	if d := admission.Displaced; d != nil {
		p.deliver([]route.Grant{{Waiter: d, Refusal: p.scheduler.Refuse(p.rng, route.ReasonDisplaced)}})
	}
	if !admission.Waits {
		p.mu.Unlock()
		return admission.Target, admission.Refusal
	}
	return p.wait(ctx, w, now)
}

// check returns the refusal that w would meet now.
func (p *pool) check(w *route.Waiter) route.Refusal {
	now := p.lock()
	defer p.mu.Unlock()
	if !p.vouched {
		return p.scheduler.Refuse(p.rng, route.ReasonUnvouched)
	}
	return p.scheduler.Check(now, p.rng, w)
}

// again finds another target for w after its attempt at a target failed.
func (p *pool) again(ctx context.Context, w *route.Waiter, failed host.ID) (route.Target, route.Refusal) {
	now := p.lock()
	p.scheduler.Again(w, failed)
	return p.wait(ctx, w, now)
}

// spend takes an attempt from the retry budget.
func (p *pool) spend(after route.Fault) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.scheduler.Budget.Spend(after)
}

// finish ends an attempt at a target and lets others have its slot.
func (p *pool) finish(queue string, id host.ID, a route.Attempt, took time.Duration) {
	now := p.lock()
	defer p.mu.Unlock()
	p.scheduler.Finish(now, queue, id, a, took)
	p.advance(now)
}

// refreshIfUsed refreshes a pool that has requests in progress or waiting. The others' figures
// of a pool that is not used go stale, so they are forgotten.
func (p *pool) refreshIfUsed() {
	p.mu.Lock()
	used := p.scheduler.Board.Total() > 0 || p.scheduler.Waiting() > 0
	if !used && p.used {
		p.scheduler.Board.SetPeers(nil)
		p.metrics.report(0, 0, p.scheduler.Board.Ejected())
	}
	p.used = used
	p.mu.Unlock()
	if used {
		p.refresh()
	}
}

// refresh reads the peers' figures too, judges the targets and acts on all that.
func (p *pool) refresh() {
	var peers map[host.ID]int
	if p.server.PeerLoad != nil {
		peers = p.server.PeerLoad(p.name)
	}
	members := p.server.members()
	configured := p.server.lookup().pools[p.name]
	now := p.lock()
	defer p.mu.Unlock()
	board := &p.scheduler.Board
	p.members = members
	board.SetMembers(members)
	board.SetPeers(peers)
	board.Assess(now, configured.MaxUnavailable-max(0, configured.Hosts-board.Targets()))
	p.recordHealth()
	p.metrics.report(board.Total(), p.scheduler.Waiting(), board.Ejected())
	p.advance(now)
}

// wait unlocks the pool and waits for w's grant.
func (p *pool) wait(ctx context.Context, w *route.Waiter, now time.Time) (route.Target, route.Refusal) {
	grants := make(chan route.Grant, 1)
	p.waits[w] = grants
	p.advance(now)
	p.mu.Unlock()
	select {
	case g := <-grants:
		return g.Target, g.Refusal
	case <-ctx.Done():
		return route.Target{}, p.abandon(ctx, w, grants)
	}
}

// abandon ends w's wait without a target. A target that was granted meanwhile is given back.
func (p *pool) abandon(ctx context.Context, w *route.Waiter, grants <-chan route.Grant) route.Refusal {
	now := p.lock()
	defer p.mu.Unlock()
	delete(p.waits, w)
	if !p.scheduler.Cancel(w) {
		if g := <-grants; g.Refusal.Reason == route.ReasonNone {
			p.scheduler.Board.Release(now, g.Target.Host, route.Attempt{Fault: route.FaultCaller}, 0)
			p.advance(now)
		}
	}
	if ctx.Err() == context.DeadlineExceeded {
		return p.scheduler.Refuse(p.rng, route.ReasonDeadline)
	}
	return route.Refusal{Reason: route.ReasonCallerGone}
}

func (p *pool) recordHealth() {
	for _, change := range p.scheduler.Board.HealthChanges() {
		number := event.TargetEjected
		if change.State == route.TargetHealthy {
			number = event.TargetRestored
		}
		p.server.record(event.Event{Number: number, Pool: p.name, Host: string(change.Host), Detail: change.Why})
	}
}

// advance ends all waits that can end now and sets the timer for the next that may.
func (p *pool) advance(now time.Time) {
	if !p.vouched {
		p.deliver(p.scheduler.Dismiss(p.rng, route.ReasonUnvouched))
		return
	}
	p.deliver(p.scheduler.Next(now, p.rng))
	if p.timer != nil || p.scheduler.Waiting() == 0 {
		return
	}
	if next, ok := p.scheduler.Board.NextOpening(); ok {
		p.timer = time.AfterFunc(next.Sub(now), p.wake)
	}
}

func (p *pool) wake() {
	now := p.lock()
	defer p.mu.Unlock()
	p.timer = nil
	p.advance(now)
}

func (p *pool) deliver(grants []route.Grant) {
	for _, g := range grants {
		p.waits[g.Waiter] <- g
		delete(p.waits, g.Waiter)
	}
}
