package route

import "time"

// seat is one target's place on the board.
type seat struct {
	target Target
	// listed tells whether the target is in the newest snapshot.
	listed bool
	// own and peers count requests in progress at the target. own >= 0.
	own, peers int
	// position is the index in Board.open, or noPosition.
	position int
	// refusals counts the refusals since the last start; restsUntil is when the target is tried again.
	refusals   int
	restsUntil time.Time
	health     health
}

const (
	noPosition = -1
	// minRest and maxRest bound how long a target that refused gets no request.
	minRest = 5 * time.Millisecond
	maxRest = 160 * time.Millisecond
)

// load is the share of the target's slots that is known to be taken. A suspect counts as full.
func (st *seat) load() float64 {
	if st.health.suspect {
		return 1 + float64(st.own)
	}
	return float64(st.own+st.peers) / float64(max(1, st.target.Capacity.Slots))
}

// room reports whether the target may get another request. An entry host may always use its
// equal share of the slots, and beyond it those that the others were not using when last heard of.
func (b *Board) room(st *seat) bool {
	if !st.listed || st.health.state != TargetHealthy || !st.restsUntil.IsZero() || st.own >= b.Connections(st.target) {
		return false
	}
	if b.Room != nil {
		return b.Room(st.target, st.own, st.peers)
	}
	slots := st.target.Capacity.Slots
	share := max(1, slots/max(1, b.members))
	return st.own < min(share, slots) || st.own+st.peers < slots
}

// settle puts a seat into the open list or takes it out.
func (b *Board) settle(st *seat) {
	room := b.room(st)
	if room == (st.position != noPosition) {
		return
	}
	if room {
		st.position = len(b.open)
		b.open = append(b.open, st)
		return
	}
	last := b.open[len(b.open)-1]
	b.open[st.position] = last
	last.position = st.position
	b.open = b.open[:len(b.open)-1]
	st.position = noPosition
}

// rest keeps requests away from a target that refused. The refusal tells that its slots are taken, which
// stands until the peers' next figures.
func (b *Board) rest(now time.Time, st *seat) {
	st.peers = max(st.peers, st.target.Capacity.Slots-st.own)
	if st.restsUntil.IsZero() {
		b.resting = append(b.resting, st)
	}
	length := min(minRest<<min(st.refusals, 10), maxRest)
	st.refusals++
	st.restsUntil = now.Add(length)
}

// wake opens the resting seats whose time has come.
func (b *Board) wake(now time.Time) {
	kept := b.resting[:0]
	for _, st := range b.resting {
		if now.Before(st.restsUntil) {
			kept = append(kept, st)
			continue
		}
		st.restsUntil = time.Time{}
		b.settle(st)
	}
	b.resting = kept
}
