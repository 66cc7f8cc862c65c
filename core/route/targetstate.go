package route

import "time"

// targetState is what one entry host knows of a target.
type targetState struct {
	target Target
	// listed is whether the target is in the newest snapshot.
	listed bool
	// ownRequests and peerRequests count the requests in progress at the target, of this and of the other entry hosts.
	// Neither is negative.
	ownRequests, peerRequests int
	// roomIndex is the index in withRoom, or noIndex.
	roomIndex int
	// consecutiveRefusals counts the refusals since the last attempt that the target did not refuse. backoffUntil is the
	// end of the backoff; zero if there is none.
	consecutiveRefusals int
	backoffUntil        time.Time
	health              health
}

const (
	noIndex = -1
	// minBackoff and maxBackoff bound how long a target gets no request after a refusal.
	minBackoff = 5 * time.Millisecond
	maxBackoff = 160 * time.Millisecond
)

// load returns the share of the target's slots that is known to be in use. A suspected outlier counts as full.
func (st *targetState) load() float64 {
	if st.health.suspect {
		return 1 + float64(st.ownRequests)
	}
	return float64(st.ownRequests+st.peerRequests) / float64(max(1, st.target.Capacity.Slots))
}

// hasRoom reports whether the target may get another request. An entry host may always use its
// equal share of the slots, and beyond it the slots that the other entry hosts did not use
// according to their last reports.
func (b *TargetSelector) hasRoom(st *targetState) bool {
	if !st.listed || st.health.state != TargetHealthy || !st.backoffUntil.IsZero() || st.ownRequests >= b.ConnectionLimit(st.target) {
		return false
	}
	if b.Admits != nil {
		return b.Admits(st.target, st.ownRequests, st.peerRequests)
	}
	slots := st.target.Capacity.Slots
	share := max(1, slots/max(1, b.members))
	return st.ownRequests < min(share, slots) || st.ownRequests+st.peerRequests < slots
}

// updateRoom adds a target to withRoom or removes it, according to hasRoom.
func (b *TargetSelector) updateRoom(st *targetState) {
	room := b.hasRoom(st)
	if room == (st.roomIndex != noIndex) {
		return
	}
	if room {
		st.roomIndex = len(b.withRoom)
		b.withRoom = append(b.withRoom, st)
		return
	}
	last := b.withRoom[len(b.withRoom)-1]
	b.withRoom[st.roomIndex] = last
	last.roomIndex = st.roomIndex
	b.withRoom = b.withRoom[:len(b.withRoom)-1]
	st.roomIndex = noIndex
}

// backOff starts an exponential backoff of a target that refused a request. The refusal means that all its slots
// are in use, which is assumed until the next reports of the other entry hosts.
func (b *TargetSelector) backOff(now time.Time, st *targetState) {
	st.peerRequests = max(st.peerRequests, st.target.Capacity.Slots-st.ownRequests)
	if st.backoffUntil.IsZero() {
		b.backingOff = append(b.backingOff, st)
	}
	backoff := min(minBackoff<<min(st.consecutiveRefusals, 10), maxBackoff)
	st.consecutiveRefusals++
	st.backoffUntil = now.Add(backoff)
}

// endBackoffs ends the backoffs that are over.
func (b *TargetSelector) endBackoffs(now time.Time) {
	kept := b.backingOff[:0]
	for _, st := range b.backingOff {
		if now.Before(st.backoffUntil) {
			kept = append(kept, st)
			continue
		}
		st.backoffUntil = time.Time{}
		b.updateRoom(st)
	}
	b.backingOff = kept
}
