package runner_test

import (
	"context"
	"strings"
	"sync"
	"time"

	"siskincross/io/peer"
	"siskincross/io/peer/peerpb"
	"siskincross/io/runner"
)

// fakePeers connects all entry hosts of a site, with the faults of such links.
type fakePeers struct {
	mu       sync.Mutex
	handlers map[string]peer.Handler
	// hung names the entry hosts that take messages and do nothing about them.
	hung map[string]bool
	// dropReplies names the entry hosts whose answers are lost.
	dropReplies map[string]bool
	// handIns counts the messages that arrived, by entry host.
	handIns map[string]int
}

// peerLatency is how long a message takes to another entry host.
const peerLatency = time.Millisecond

func newFakePeers() *fakePeers {
	return &fakePeers{
		handlers: make(map[string]peer.Handler), hung: make(map[string]bool), dropReplies: make(map[string]bool), handIns: make(map[string]int),
	}
}

// linksFor returns the links of one member.
func (p *fakePeers) linksFor(member string) runner.Peers {
	return runner.Peers{
		Address: member,
		Call: func(ctx context.Context, to string, message *peerpb.Envelope) (*peerpb.Envelope, error) {
			return p.call(ctx, member, to, message)
		},
		Handle: func(_ peer.Kind, handler peer.Handler) {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.handlers[member] = handler
		},
		SetPeers: func(map[string]string) {},
	}
}

func (p *fakePeers) call(ctx context.Context, from, to string, message *peerpb.Envelope) (*peerpb.Envelope, error) {
	name, _, _ := strings.Cut(to, "/")
	p.mu.Lock()
	handler, frozen, mute := p.handlers[to], p.hung[name], p.dropReplies[name]
	if peer.KindOf(message) == peer.KindHandIn {
		p.handIns[name]++
	}
	p.mu.Unlock()
	if handler == nil {
		return nil, peer.ErrNotConnected{Member: to}
	}
	time.Sleep(peerLatency)
	if frozen {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	reply := message
	if peer.KindOf(message) != peer.KindAcknowledgement {
		reply = handler(ctx, from, message)
	}
	time.Sleep(peerLatency)
	if mute {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if reason := reply.GetAcknowledgement().GetError(); reason != "" {
		return nil, peer.ErrRefused{Member: to, Reason: reason}
	}
	return reply, nil
}

// injectFault changes one of the maps of faults.
func (p *fakePeers) injectFault(faults map[string]bool, name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	faults[name] = true
}

func (p *fakePeers) handInCount(name string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.handIns[name]
}
