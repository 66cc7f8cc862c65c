package duty

import "time"

// RouteFreshness describes how recently an entry host and its peers have read the table service. It decides
// whether the routes of the entry host may be used.
type RouteFreshness struct {
	// Members is the number of members at the last read of the table service, including this entry host.
	Members int
	// StoreAge is the time since the last full read of the table service.
	StoreAge time.Duration
	// Peers holds the latest reports of the other members.
	Peers []PeerFreshness
}

// PeerFreshness is the latest report of one peer.
type PeerFreshness struct {
	// SinceHeard is the time since the last message from the peer.
	SinceHeard time.Duration
	// StoreAge is the time between the last full read of the peer and its report.
	StoreAge time.Duration
}

// Usable reports whether routes may be used. They may if this entry host has read the table service within the
// window, if a peer has, or if more than half of the members are in contact. In the last case no other group
// can have a majority as well, and only a holder in contact with a majority does planned work.
func (f RouteFreshness) Usable(window time.Duration) bool {
	if f.StoreAge <= window {
		return true
	}
	inContact := 1
	for _, p := range f.Peers {
		if p.SinceHeard+p.StoreAge <= window {
			return true
		}
		if p.SinceHeard <= window {
			inContact++
		}
	}
	return 2*inContact > f.Members
}
