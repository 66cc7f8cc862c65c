package duty

import "time"

// RouteFreshness is what an entry host knows about the age of its routes.
type RouteFreshness struct {
	// Members is the number of members at the last read of the table service, with the entry host itself.
	Members int
	// StoreAge is the time since the last full read of the table service.
	StoreAge time.Duration
	// Peers holds what the other members told.
	Peers []PeerFreshness
}

// PeerFreshness is what one peer last told.
type PeerFreshness struct {
	// SinceHeard is the time since the peer was heard of.
	SinceHeard time.Duration
	// StoreAge was the time since the peer's own last full read when it told.
	StoreAge time.Duration
}

// Usable reports whether routes may be used: because the table service was read
// within the window, or a peer read it within the window, or because more than
// half of the members are in touch. In the last case no other group can have
// a majority too, and only a holder in touch with a majority does planned work.
func (v RouteFreshness) Usable(window time.Duration) bool {
	if v.StoreAge <= window {
		return true
	}
	inTouch := 1
	for _, p := range v.Peers {
		if p.SinceHeard+p.StoreAge <= window {
			return true
		}
		if p.SinceHeard <= window {
			inTouch++
		}
	}
	return 2*inTouch > v.Members
}
