package duty

import "time"

// Vouching is what an entry host knows about the age of its routes.
type Vouching struct {
	// Members is the number of members at the last read of the table service, with the entry host itself.
	Members int
	// StoreAge is the time since the last full read of the table service.
	StoreAge time.Duration
	// Peers holds what the other members told.
	Peers []PeerVouch
}

// PeerVouch is what one peer last told.
type PeerVouch struct {
	// Heard is the time since the peer was heard of.
	Heard time.Duration
	// StoreAge was the time since the peer's own last full read when it told.
	StoreAge time.Duration
}

// Good reports whether routes may be used: because the table service was read
// within the window, or a peer read it within the window, or because more than
// half of the members are in touch. In the last case no other group can have
// a majority too, and only a holder in touch with a majority does planned work.
func (v Vouching) Good(window time.Duration) bool {
	if v.StoreAge <= window {
		return true
	}
	inTouch := 1
	for _, p := range v.Peers {
		if p.Heard+p.StoreAge <= window {
			return true
		}
		if p.Heard <= window {
			inTouch++
		}
	}
	return 2*inTouch > v.Members
}
