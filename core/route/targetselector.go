package route

import (
	"math/rand/v2"
	"time"

	"siskincross/core/host"
)

// Board counts the requests that one entry host has in progress at each target of
// a pool, and chooses targets for new ones. The cost of a choice does not depend on
// the number of targets: only those with room are kept in the list that it draws from.
//
// The zero value knows no target. A Board is not safe for concurrent use.
type Board struct {
	// Room decides whether a target may get another request beside the own and the peers' requests
	// in progress there; nil means the equal share, and beyond it what the peers leave idle.
	Room func(t Target, own, peers int) bool
	// Draws is the number of targets that the least loaded is taken of; zero means 2.
	Draws int

	// members is the number of entry hosts that share the targets; less than one means one.
	members int

	epoch, version uint64
	// targets is the slice of the newest snapshot.
	targets []Target
	seats   map[host.ID]*seat
	// all holds the seats in the order in which they were first listed, so that decisions are repeatable.
	all []*seat
	// listed is the number of targets in the newest snapshot, total the own requests in progress.
	listed, total int
	// open holds the seats that may get another request, in no order.
	open []*seat
	// resting holds the seats that refused lately.
	resting []*seat
	outliers
}

// drawsToAvoid bounds the draws made to find a target that was not tried yet.
const drawsToAvoid = 4

// Update replaces the set of targets unless s is older. Requests in progress stay counted.
//
// A snapshot of the same version replaces the set when its Targets are another
// slice: the entry host leaves targets out that it knows to be leaving before
// the pool's row tells so. Callers that pass the same slice again pay nothing.
func (b *Board) Update(s Snapshot) {
	held := Snapshot{Epoch: b.epoch, Version: b.version}
	if b.seats != nil && (held.Newer(s) || !s.Newer(held) && sameSlice(s.Targets, b.targets)) {
		return
	}
	b.targets = s.Targets
	if b.seats == nil {
		b.seats = make(map[host.ID]*seat, len(s.Targets))
	}
	b.epoch, b.version = s.Epoch, s.Version
	b.listed = len(s.Targets)
	for _, st := range b.all {
		st.listed = false
	}
	for _, target := range s.Targets {
		b.list(target)
	}
	for _, st := range b.all {
		b.settle(st)
	}
	b.forget()
}

func sameSlice(a, b []Target) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

func (b *Board) list(target Target) {
	st := b.seats[target.Host]
	if st == nil {
		st = &seat{position: noPosition, health: health{state: TargetHealthy}}
		b.seats[target.Host] = st
		b.all = append(b.all, st)
	}
	st.target = target
	st.listed = true
}

// SetPeers replaces the requests that the other entry hosts have in progress, by host.
func (b *Board) SetPeers(inProgress map[host.ID]int) {
	for _, st := range b.all {
		st.peers = inProgress[st.target.Host]
		b.settle(st)
	}
}

// SetMembers sets the number of entry hosts that share the targets.
func (b *Board) SetMembers(members int) {
	if members == b.members {
		return
	}
	b.members = members
	for _, st := range b.all {
		b.settle(st)
	}
}

// Acquire chooses a target with room for w and counts a request there. Of two targets drawn at
// random it takes the less loaded one. Targets that w avoids are taken only if no other has room.
// A target that is probed gets w first, if w may be repeated.
func (b *Board) Acquire(now time.Time, rng *rand.Rand, w *Waiter) (Target, bool) {
	b.wake(now)
	st := b.probe(now, w)
	if st == nil {
		st = b.choose(rng, w.Avoid)
	}
	if st == nil {
		return Target{}, false
	}
	st.own++
	b.total++
	b.settle(st)
	return st.target, true
}

func (b *Board) choose(rng *rand.Rand, avoid []host.ID) *seat {
	if len(b.open) == 0 {
		return nil
	}
	st := b.draw(rng, avoid)
	for range b.draws() - 1 {
		if other := b.draw(rng, avoid); other.load() < st.load() {
			st = other
		}
	}
	return st
}

// Targets returns the number of targets in the newest snapshot.
func (b *Board) Targets() int {
	return b.listed
}

// Listed reports whether any target may receive new work.
func (b *Board) Listed() bool {
	return b.listed > 0
}

// Open reports whether a target has room.
func (b *Board) Open(now time.Time) bool {
	b.wake(now)
	return len(b.open) > 0
}

// Release ends an attempt at a target.
func (b *Board) Release(now time.Time, id host.ID, a Attempt, took time.Duration) {
	st := b.seats[id]
	if st == nil || st.own == 0 {
		return
	}
	st.own--
	b.total--
	if a.Fault == FaultRefused {
		b.rest(now, st)
	} else {
		st.refusals = 0
	}
	b.judge(now, st, a, took)
	b.settle(st)
	if !st.listed && st.own == 0 {
		b.forget()
	}
}

// forget drops the seats that are neither listed nor in use.
func (b *Board) forget() {
	kept := b.all[:0]
	for _, st := range b.all {
		if st.listed || st.own > 0 {
			kept = append(kept, st)
			continue
		}
		delete(b.seats, st.target.Host)
		b.out = without(b.out, st)
	}
	clear(b.all[len(kept):])
	b.all = kept
}

// InProgress returns the own requests in progress by host, also on hosts outside the snapshot.
func (b *Board) InProgress() map[host.ID]int {
	counts := make(map[host.ID]int)
	for id, st := range b.seats {
		if st.own > 0 {
			counts[id] = st.own
		}
	}
	return counts
}

// Total returns the number of own requests in progress.
func (b *Board) Total() int {
	return b.total
}

// NextOpening returns when the first resting target is tried again.
func (b *Board) NextOpening() (time.Time, bool) {
	var next time.Time
	for _, st := range b.resting {
		if next.IsZero() || st.restsUntil.Before(next) {
			next = st.restsUntil
		}
	}
	return next, !next.IsZero()
}

// Connections returns the share of a target's connections that one entry host may hold.
func (b *Board) Connections(t Target) int {
	return max(1, t.Capacity.Connections/max(1, b.members))
}

func (b *Board) draws() int {
	if b.Draws == 0 {
		return 2
	}
	return b.Draws
}

func (b *Board) draw(rng *rand.Rand, avoid []host.ID) *seat {
	st := b.open[rng.IntN(len(b.open))]
	for range drawsToAvoid {
		if !contains(avoid, st.target.Host) {
			return st
		}
		st = b.open[rng.IntN(len(b.open))]
	}
	for _, other := range b.open {
		if !contains(avoid, other.target.Host) {
			return other
		}
	}
	return st
}

func contains(ids []host.ID, id host.ID) bool {
	for _, other := range ids {
		if other == id {
			return true
		}
	}
	return false
}
