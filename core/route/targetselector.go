package route

import (
	"math/rand/v2"
	"time"

	"siskincross/core/host"
)

// TargetSelector chooses targets of one pool for the requests of one entry host, and counts the
// requests in progress at each target. The cost of a choice does not depend on the
// number of targets, because candidates are drawn from a list of the targets with room.
//
// The zero value has no targets. It is not safe for concurrent use.
type TargetSelector struct {
	// Admits decides whether a target may get another request, given the requests of this and of the other
	// entry hosts in progress there. The default admits the entry host's equal share of the slots, and
	// beyond it the slots that the other entry hosts do not use.
	Admits func(t Target, own, peers int) bool
	// Candidates is the number of targets drawn at random of which the least loaded one is chosen; zero means 2.
	Candidates int

	// members is the number of entry hosts that share the targets; less than one means one.
	members int

	epoch, version uint64
	// targets is the slice of the newest snapshot.
	targets []Target
	states  map[host.ID]*targetState
	// all holds the states in the order in which the targets were first listed, so that decisions are reproducible.
	all []*targetState
	// targetCount is the number of targets in the newest snapshot. inProgress is the number of this entry host's
	// requests in progress.
	targetCount, inProgress int
	// withRoom holds the targets that may get another request, in no particular order.
	withRoom []*targetState
	// backingOff holds the targets that refused a request recently.
	backingOff []*targetState
	outlierDetector
}

// maxDrawsToAvoid bounds the random draws in search of a target that the request has not tried.
const maxDrawsToAvoid = 4

// Update replaces the set of targets unless s is older. Requests in progress at removed
// targets remain counted.
//
// A snapshot of the same version replaces the set if its Targets are another slice,
// because an entry host omits targets that it knows to be leaving before the pool's
// row says so. A call with the same slice returns at once.
func (b *TargetSelector) Update(s Snapshot) {
	current := Snapshot{Epoch: b.epoch, Version: b.version}
	if b.states != nil && (current.NewerThan(s) || !s.NewerThan(current) && sameSlice(s.Targets, b.targets)) {
		return
	}
	b.targets = s.Targets
	if b.states == nil {
		b.states = make(map[host.ID]*targetState, len(s.Targets))
	}
	b.epoch, b.version = s.Epoch, s.Version
	b.targetCount = len(s.Targets)
	for _, st := range b.all {
		st.listed = false
	}
	for _, target := range s.Targets {
		b.addTarget(target)
	}
	for _, st := range b.all {
		b.updateRoom(st)
	}
	b.removeUnused()
}

// sameSlice reports whether a and b share their elements.
func sameSlice(a, b []Target) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// addTarget marks a target as listed, with a new state unless it has one.
func (b *TargetSelector) addTarget(target Target) {
	st := b.states[target.Host]
	if st == nil {
		st = &targetState{roomIndex: noIndex, health: health{state: TargetHealthy}}
		b.states[target.Host] = st
		b.all = append(b.all, st)
	}
	st.target = target
	st.listed = true
}

// SetPeerRequests replaces the numbers of requests that the other entry hosts have in progress, by host.
func (b *TargetSelector) SetPeerRequests(inProgress map[host.ID]int) {
	for _, st := range b.all {
		st.peerRequests = inProgress[st.target.Host]
		b.updateRoom(st)
	}
}

// SetMemberCount sets the number of entry hosts that share the targets.
func (b *TargetSelector) SetMemberCount(members int) {
	if members == b.members {
		return
	}
	b.members = members
	for _, st := range b.all {
		b.updateRoom(st)
	}
}

// Acquire chooses a target with room for w and counts a request there. It takes the less loaded one
// of two targets drawn at random, and a target that w avoids only if no other has room. An ejected
// target that is due for a probe is preferred if w may be repeated.
func (b *TargetSelector) Acquire(now time.Time, rng *rand.Rand, w *Waiter) (Target, bool) {
	b.endBackoffs(now)
	st := b.startProbe(now, w)
	if st == nil {
		st = b.chooseState(rng, w.Avoid)
	}
	if st == nil {
		return Target{}, false
	}
	st.ownRequests++
	b.inProgress++
	b.updateRoom(st)
	return st.target, true
}

// chooseState returns the least loaded of the targets drawn at random, or nil if no target has room.
func (b *TargetSelector) chooseState(rng *rand.Rand, avoid []host.ID) *targetState {
	if len(b.withRoom) == 0 {
		return nil
	}
	st := b.drawState(rng, avoid)
	for range b.candidates() - 1 {
		if other := b.drawState(rng, avoid); other.load() < st.load() {
			st = other
		}
	}
	return st
}

// TargetCount returns the number of targets in the newest snapshot.
func (b *TargetSelector) TargetCount() int {
	return b.targetCount
}

// HasTargets reports whether the newest snapshot has any target.
func (b *TargetSelector) HasTargets() bool {
	return b.targetCount > 0
}

// HasRoom reports whether any target has room.
func (b *TargetSelector) HasRoom(now time.Time) bool {
	b.endBackoffs(now)
	return len(b.withRoom) > 0
}

// Release ends an attempt at a target and records how it ended.
func (b *TargetSelector) Release(now time.Time, id host.ID, a Attempt, took time.Duration) {
	st := b.states[id]
	if st == nil || st.ownRequests == 0 {
		return
	}
	st.ownRequests--
	b.inProgress--
	if a.Fault == FaultRefused {
		b.backOff(now, st)
	} else {
		st.consecutiveRefusals = 0
	}
	b.recordHealth(now, st, a, took)
	b.updateRoom(st)
	if !st.listed && st.ownRequests == 0 {
		b.removeUnused()
	}
}

// removeUnused removes the states of targets that are neither listed nor in use.
func (b *TargetSelector) removeUnused() {
	kept := b.all[:0]
	for _, st := range b.all {
		if st.listed || st.ownRequests > 0 {
			kept = append(kept, st)
			continue
		}
		delete(b.states, st.target.Host)
		b.ejected = removeState(b.ejected, st)
	}
	clear(b.all[len(kept):])
	b.all = kept
}

// InProgress returns the numbers of this entry host's requests in progress by host, including hosts outside the snapshot.
func (b *TargetSelector) InProgress() map[host.ID]int {
	counts := make(map[host.ID]int)
	for id, st := range b.states {
		if st.ownRequests > 0 {
			counts[id] = st.ownRequests
		}
	}
	return counts
}

// InProgressCount returns the number of this entry host's requests in progress.
func (b *TargetSelector) InProgressCount() int {
	return b.inProgress
}

// NextRetry returns the earliest end of a backoff, and false if no target is backing off.
func (b *TargetSelector) NextRetry() (time.Time, bool) {
	var next time.Time
	for _, st := range b.backingOff {
		if next.IsZero() || st.backoffUntil.Before(next) {
			next = st.backoffUntil
		}
	}
	return next, !next.IsZero()
}

// ConnectionLimit returns the number of connections to a target that one entry host may hold: its share of the target's limit.
func (b *TargetSelector) ConnectionLimit(t Target) int {
	return max(1, t.Capacity.Connections/max(1, b.members))
}

func (b *TargetSelector) candidates() int {
	if b.Candidates == 0 {
		return 2
	}
	return b.Candidates
}

// drawState returns a random target with room. It prefers targets that are not in avoid.
func (b *TargetSelector) drawState(rng *rand.Rand, avoid []host.ID) *targetState {
	st := b.withRoom[rng.IntN(len(b.withRoom))]
	for range maxDrawsToAvoid {
		if !contains(avoid, st.target.Host) {
			return st
		}
		st = b.withRoom[rng.IntN(len(b.withRoom))]
	}
	for _, other := range b.withRoom {
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
