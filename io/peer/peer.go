// Package peer connects the entry hosts of one deployment. Each pair shares one yamux connection, which carries calls
// and broadcasts of protobuf envelopes.
package peer

import "time"

// Peer describes another entry host as a Link sees it.
type Peer struct {
	// Member is the name of the peer's incarnation.
	Member string `json:"member"`
	// Address is the "ip:port" that the peer listens on for links.
	Address string `json:"address"`
	// Zone is the peer's availability zone. It is empty until the peer has been connected once.
	Zone string `json:"zone"`
	// LastHeard is when the most recent envelope arrived, by the local clock.
	LastHeard time.Time `json:"last-heard"`
	Connected bool      `json:"connected"`
}
