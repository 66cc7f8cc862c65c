package event

// Events of the peer subsystem.
const (
	PeerConnected Number = 600 + iota
	PeerLost
	PeerRefused
)

var peerEntries = []CatalogueEntry{
	{PeerConnected, "peer", "A link to another entry host was established."},
	{PeerLost, "peer", "A link to another entry host broke."},
	{PeerRefused, "peer", "A connection was rejected: its deployment, protocol or messages are invalid."},
}
