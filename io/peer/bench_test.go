package peer

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"siskincross/io/peer/peerpb"
)

// withLinks starts links that are all connected to each other, and returns them with their metrics.
func withLinks(b *testing.B, count int) ([]*Link, []tally.TestScope) {
	b.Helper()
	var links []*Link
	var scopes []tally.TestScope
	members := map[string]string{}
	ctx, cancel := context.WithCancel(context.Background())
	var ends []<-chan error
	for i := range count {
		scope := tally.NewTestScope("", nil)
		l := &Link{Deployment: "bench", Member: fmt.Sprintf("m%d", i), Listen: "127.0.0.1:0", Scope: scope}
		ends = append(ends, l.Start(ctx))
		members[l.Member] = l.Address()
		links, scopes = append(links, l), append(scopes, scope)
	}
	for _, l := range links {
		l.SetPeers(members)
	}
	for _, l := range links {
		for !allConnected(l, count-1) {
			time.Sleep(time.Millisecond)
		}
	}
	b.Cleanup(func() {
		cancel()
		for _, end := range ends {
			if err := <-end; err != nil {
				b.Error(err)
			}
		}
	})
	return links, scopes
}

func allConnected(l *Link, count int) bool {
	peers := l.Peers()
	for _, p := range peers {
		if !p.Connected {
			return false
		}
	}
	return len(peers) == count
}

// BenchmarkCall measures the round trip of a small message.
func BenchmarkCall(b *testing.B) {
	links, _ := withLinks(b, 2)
	links[1].Handle(KindConfigHead, func(context.Context, string, *peerpb.Envelope) *peerpb.Envelope { return nil })
	for b.Loop() {
		if _, err := links[0].Call(b.Context(), "m1", configHead(1)); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkIdle measures the traffic that an entry host sends on the idle links of seven entry hosts.
func BenchmarkIdle(b *testing.B) {
	const span = 5 * time.Second
	_, scopes := withLinks(b, 7)
	sent := func() (total int64) {
		for _, c := range scopes[0].Snapshot().Counters() {
			if c.Name() == "sent-bytes" {
				total += c.Value()
			}
		}
		return total
	}
	before := sent()
	for range b.N {
		time.Sleep(span)
	}
	b.ReportMetric(float64(sent()-before)/(span.Seconds()*float64(b.N)), "sent-B/s")
}
