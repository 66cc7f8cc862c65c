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
	// frozen names the entry hosts that take messages and do nothing about them.
	frozen map[string]bool
	// muteFor names the entry hosts whose answers are lost.
	muteFor map[string]bool
	// calls counts the messages that arrived, by entry host.
	calls map[string]int
}

// peerWay is how long a message takes to another entry host.
const peerWay = time.Millisecond

func newFakePeers() *fakePeers {
	return &fakePeers{
		handlers: make(map[string]peer.Handler), frozen: make(map[string]bool), muteFor: make(map[string]bool), calls: make(map[string]int),
	}
}

// of returns the links of one member.
func (p *fakePeers) of(member string) runner.Peers {
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
	handler, frozen, mute := p.handlers[to], p.frozen[name], p.muteFor[name]
	if peer.KindOf(message) == peer.KindHandIn {
		p.calls[name]++
	}
	p.mu.Unlock()
	if handler == nil {
		return nil, peer.ErrNotConnected{Member: to}
	}
	time.Sleep(peerWay)
	if frozen {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	reply := message
	if peer.KindOf(message) != peer.KindAcknowledgement {
		reply = handler(ctx, from, message)
	}
	time.Sleep(peerWay)
	if mute {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if reason := reply.GetAcknowledgement().GetError(); reason != "" {
		return nil, peer.ErrRefused{Member: to, Reason: reason}
	}
	return reply, nil
}

// set changes one of the maps of faults.
func (p *fakePeers) set(faults map[string]bool, name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	faults[name] = true
}

func (p *fakePeers) callsOf(name string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls[name]
}
