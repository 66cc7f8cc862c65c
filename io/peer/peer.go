// Package peer links the entry hosts of one deployment: one yamux connection a
// pair, over which protobuf envelopes are called and broadcast.
package peer

import "time"

// Peer is what a link knows about another entry host.
type Peer struct {
	// Member is the peer's incarnation.
	Member string `json:"member"`
	// Address is the "ip:port" of the peer's link listener.
	Address string `json:"address"`
	// Zone is the peer's availability zone; empty until it was connected once.
	Zone string `json:"zone"`
	// LastHeard is when the newest envelope arrived, on this host's clock.
	LastHeard time.Time `json:"last-heard"`
	Connected bool      `json:"connected"`
}
