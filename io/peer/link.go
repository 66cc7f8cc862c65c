package peer

import (
	"context"
	"crypto/tls"
	"fmt"
	"sort"
	"sync"

	"github.com/uber-go/tally/v4"

	"siskincross/core/event"
	"siskincross/io/peer/peerpb"
	"siskincross/io/timeline"
)

// Handler handles a message of another entry host and returns the reply. A nil reply stands for an acknowledgement.
type Handler func(ctx context.Context, from string, message *peerpb.Envelope) *peerpb.Envelope

// Link connects this entry host to all other entry hosts of its deployment. Its exported fields must be set before
// Start. Its methods are safe for concurrent use.
type Link struct {
	// Deployment must be the same at both ends of a connection.
	Deployment string
	// Member is the name of this entry host's incarnation. No other incarnation may have the same name.
	Member string
	// Zone is this entry host's availability zone.
	Zone string
	// Listen is the "ip:port" to listen on. With port 0 the system chooses a port.
	Listen string
	// Seeds holds the "ip:port" of peers to dial before the members are known.
	Seeds []string
	// Recorder provides the clock that is sent with every envelope and updated from every received one. If it is nil,
	// no clock is sent.
	Recorder *timeline.Recorder
	// TLS returns the TLS configuration and is called for each connection. If it is nil, connections are not
	// encrypted, and only the loopback network is allowed unless Plain is set.
	TLS func() (*tls.Config, error)
	// AllowPlaintext allows unencrypted connections on any network. It is meant for a private network of the entry hosts, for
	// which the platform provides no keys.
	AllowPlaintext bool
	// MaxHeldBytes bounds what all peers together make this process hold: streams, and messages that are arriving or being handled.
	// Beyond it, the connection that holds the most is closed. If it is zero, defaultMaxHeldBytes is the bound.
	MaxHeldBytes int64
	Scope        tally.Scope

	// protocol replaces the protocol version that is sent. If it is zero, currentProtocol is sent.
	protocol uint32

	holdings holdings

	mu       sync.Mutex
	handlers map[Kind]Handler
	address  string
	// members holds the addresses of the other members, as set by SetPeers.
	members  map[string]string
	sessions map[string]*session
	// disconnected holds the last known state of members without a session.
	disconnected map[string]Peer
	// ownAddresses holds addresses that turned out to belong to this entry host.
	ownAddresses map[string]bool
	// addressesChanged receives a value when the addresses to dial may have changed.
	addressesChanged chan struct{}
}

// Handle registers the handler of a kind of message. It may be called before or after Start.
func (l *Link) Handle(kind Kind, h Handler) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.handlers == nil {
		l.handlers = make(map[Kind]Handler)
	}
	l.handlers[kind] = h
}

// Address returns the "ip:port" that the link listens on. It is set by Start.
func (l *Link) Address() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.address
}

// SetPeers replaces the addresses of the members to connect to. Seeds are still dialled.
func (l *Link) SetPeers(members map[string]string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.members = make(map[string]string, len(members))
	for member, address := range members {
		if member != l.Member {
			l.members[member] = address
		}
	}
	for member := range l.disconnected {
		if _, ok := l.members[member]; !ok {
			delete(l.disconnected, member)
		}
	}
	l.wakeDialler()
}

// Call sends e to a member and returns its reply. It returns ErrNotConnected if nothing was sent, and ErrRefused if
// the member refused e.
func (l *Link) Call(ctx context.Context, member string, e *peerpb.Envelope) (*peerpb.Envelope, error) {
	l.mu.Lock()
	s, ok := l.sessions[member]
	l.mu.Unlock()
	if !ok {
		return nil, ErrNotConnected{Member: member}
	}
	return s.call(ctx, e)
}

// Broadcast queues e for every connected peer and never blocks. The queue of each peer is bounded, and the oldest
// messages of a slow peer are dropped.
func (l *Link) Broadcast(e *peerpb.Envelope) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.sessions {
		s.enqueue(e)
	}
}

// Peers returns the connected peers and the members that are not connected, sorted by member.
func (l *Link) Peers() []Peer {
	l.mu.Lock()
	defer l.mu.Unlock()
	peers := make([]Peer, 0, len(l.sessions))
	for _, s := range l.sessions {
		peers = append(peers, s.peer())
	}
	for member, address := range l.members {
		if _, ok := l.sessions[member]; ok {
			continue
		}
		last := l.disconnected[member]
		peers = append(peers, Peer{Member: member, Address: address, Zone: last.Zone, LastHeard: last.LastHeard})
	}
	sort.Slice(peers, func(i, j int) bool { return peers[i].Member < peers[j].Member })
	return peers
}

// dispatch passes a message to its handler and returns the reply.
func (l *Link) dispatch(ctx context.Context, from string, message *peerpb.Envelope) *peerpb.Envelope {
	kind := KindOf(message)
	if kind == KindAcknowledgement {
		return newAcknowledgement("")
	}
	l.mu.Lock()
	handler, ok := l.handlers[kind]
	l.mu.Unlock()
	if !ok {
		return newAcknowledgement(fmt.Sprintf("%s messages are not handled", kind))
	}
	if reply := handler(ctx, from, message); reply != nil {
		return reply
	}
	return newAcknowledgement("")
}

// register makes s the session of its member. It returns false if another session takes precedence, or if there are too
// many sessions and the members in SetPeers don't include its member. If two entry hosts dial each other at the same time, both keep the connection that was dialled by
// the one with the lexically smaller name.
func (l *Link) register(s *session) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.sessions == nil {
		l.sessions = make(map[string]*session)
	}
	existing, ok := l.sessions[s.member]
	if ok && !existing.mux.IsClosed() && existing.diallerName() < s.diallerName() {
		return false
	}
	if _, listed := l.members[s.member]; !ok && !listed && len(l.sessions) >= maxSessions {
		return false
	}
	l.sessions[s.member] = s
	delete(l.disconnected, s.member)
	if ok {
		// Queued broadcasts are sent over the new connection.
		s.broadcasts = existing.broadcasts
		_ = existing.mux.Close()
		return true
	}
	l.record(event.Event{Number: event.PeerConnected, Detail: s.member + " at " + s.address})
	return true
}

// unregister removes s unless another session has replaced it.
func (l *Link) unregister(s *session) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.sessions[s.member] != s {
		return
	}
	delete(l.sessions, s.member)
	if _, ok := l.members[s.member]; ok {
		if l.disconnected == nil {
			l.disconnected = make(map[string]Peer)
		}
		l.disconnected[s.member] = s.peer()
	}
	l.record(event.Event{Number: event.PeerLost, Detail: s.member + " at " + s.address})
}

// recordRefusal records that a peer was refused.
func (l *Link) recordRefusal(peer, reason string) {
	l.scope().Counter("refused-peers").Inc(1)
	l.record(event.Event{Number: event.PeerRefused, Detail: peer + ": " + reason})
}

func (l *Link) record(e event.Event) {
	if l.Recorder != nil {
		l.Recorder.Record(e)
	}
}

func (l *Link) scope() tally.Scope {
	if l.Scope == nil {
		return tally.NoopScope
	}
	return l.Scope
}
