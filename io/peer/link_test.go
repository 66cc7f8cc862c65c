package peer

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/matryer/is"
	"google.golang.org/protobuf/encoding/protowire"

	"siskincross/core/event"
	"siskincross/io/peer/peerpb"
	"siskincross/io/timeline"
)

// withLink starts a link of deployment "test" that stops at the end of the test.
func withLink(t *testing.T, member string, change ...func(*Link)) *Link {
	t.Helper()
	l := &Link{
		Deployment: "test",
		Member:     member,
		Zone:       "zone-" + member,
		Listen:     "127.0.0.1:0",
		Recorder:   &timeline.Recorder{Process: member},
	}
	for _, c := range change {
		c(l)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := l.Start(ctx)
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Errorf("link %s ended with %v", member, err)
		}
	})
	return l
}

func withSeeds(addresses ...string) func(*Link) {
	return func(l *Link) { l.Seeds = addresses }
}

// waitUntil waits for a condition. It is bounded by the timeout of the test binary.
func waitUntil(t *testing.T, condition func() bool) {
	t.Helper()
	for !condition() {
		select {
		case <-t.Context().Done():
			return
		case <-time.After(2 * time.Millisecond):
		}
	}
}

func isConnected(l *Link, member string) bool {
	for _, p := range l.Peers() {
		if p.Member == member && p.Connected {
			return true
		}
	}
	return false
}

// isFullyConnected reports whether l is connected to all other members and knows their addresses and zones.
func isFullyConnected(l *Link, members map[string]string) bool {
	for _, p := range l.Peers() {
		if !p.Connected || p.Zone != "zone-"+p.Member || p.Address != members[p.Member] || p.Member == l.Member {
			return false
		}
	}
	return len(l.Peers()) == len(members)-1
}

func assertRefused(t *testing.T, l *Link, reason string) {
	t.Helper()
	waitUntil(t, func() bool {
		for _, e := range l.Recorder.Events() {
			if e.Number == event.PeerRefused && contains(e.Detail, reason) {
				return true
			}
		}
		return false
	})
}

func contains(text, part string) bool {
	for i := 0; i+len(part) <= len(text); i++ {
		if text[i:i+len(part)] == part {
			return true
		}
	}
	return false
}

func configHead(version uint64) *peerpb.Envelope {
	return &peerpb.Envelope{Body: &peerpb.Envelope_ConfigHead{ConfigHead: &peerpb.ConfigHead{Version: version}}}
}

func TestLink(t *testing.T) {
	t.Run("a seed is enough for both directions", func(t *testing.T) {
		is := is.New(t)
		a := withLink(t, "a")
		b := withLink(t, "b", withSeeds(a.Address()))
		waitUntil(t, func() bool { return isConnected(a, "b") && isConnected(b, "a") })
		a.Handle(KindConfigHead, func(_ context.Context, from string, m *peerpb.Envelope) *peerpb.Envelope {
			is.Equal(from, "b")
			return configHead(m.GetConfigHead().GetVersion() + 1)
		})
		reply, err := b.Call(t.Context(), "a", configHead(7))
		is.NoErr(err)
		is.Equal(reply.GetConfigHead().GetVersion(), uint64(8))
		_, err = a.Call(t.Context(), "b", configHead(7))
		is.Equal(err, ErrRefused{Member: "b", Reason: "config-head messages are not handled"})
		_, err = a.Call(t.Context(), "c", configHead(7))
		is.Equal(err, ErrNotConnected{Member: "c"})
	})
	t.Run("crossing connections become one", func(t *testing.T) {
		is := is.New(t)
		links := map[string]*Link{}
		members := map[string]string{}
		for _, member := range []string{"a", "b", "c", "d"} {
			links[member] = withLink(t, member)
			members[member] = links[member].Address()
		}
		for _, l := range links {
			l.SetPeers(members)
		}
		for _, l := range links {
			waitUntil(t, func() bool { return isFullyConnected(l, members) })
		}
		for _, l := range links {
			is.Equal(len(l.Peers()), len(members)-1)
		}
	})
	t.Run("a clock that is ahead is adopted", func(t *testing.T) {
		is := is.New(t)
		a := withLink(t, "a")
		ahead := event.Timestamp{WallMillis: time.Now().Add(time.Hour).UnixMilli()}
		a.Recorder.Observe(ahead)
		b := withLink(t, "b", withSeeds(a.Address()))
		waitUntil(t, func() bool { return isConnected(b, "a") })
		is.True(ahead.Before(b.Recorder.Now()))
	})
	t.Run("a lost connection is replaced", func(t *testing.T) {
		a := withLink(t, "a")
		b := withLink(t, "b", withSeeds(a.Address()))
		a.SetPeers(map[string]string{"b": b.Address()})
		waitUntil(t, func() bool { return isConnected(a, "b") })
		a.mu.Lock()
		closed := a.sessions["b"]
		a.mu.Unlock()
		_ = closed.mux.Close()
		waitUntil(t, func() bool {
			a.mu.Lock()
			defer a.mu.Unlock()
			return a.sessions["b"] != nil && a.sessions["b"] != closed
		})
		waitUntil(t, func() bool { return isConnected(a, "b") && isConnected(b, "a") })
	})
	t.Run("a peer that ended is a member that is not connected", func(t *testing.T) {
		a := withLink(t, "a")
		ctx, cancel := context.WithCancel(t.Context())
		b := &Link{Deployment: "test", Member: "b", Listen: "127.0.0.1:0", Seeds: []string{a.Address()}}
		done := b.Start(ctx)
		a.SetPeers(map[string]string{"b": b.Address()})
		waitUntil(t, func() bool { return isConnected(a, "b") })
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
		waitUntil(t, func() bool { return eventCount(a, event.PeerLost) > 0 && !isConnected(a, "b") })
		waitUntil(t, func() bool { return len(a.Peers()) == 1 && !a.Peers()[0].LastHeard.IsZero() })
	})
	t.Run("a seed that is the own address is not dialled again", func(t *testing.T) {
		is := is.New(t)
		var mu sync.Mutex
		a := withLink(t, "a")
		mu.Lock()
		a.excludeOwnAddress("127.0.0.1:1")
		mu.Unlock()
		is.True(!a.addresses()["127.0.0.1:1"])
		is.Equal(a.refusalReason(a.newHello()), reasonSelf)
	})
}

func eventCount(l *Link, n event.Number) int {
	matches := 0
	for _, e := range l.Recorder.Events() {
		if e.Number == n {
			matches++
		}
	}
	return matches
}

func TestBroadcast(t *testing.T) {
	t.Run("a slow peer loses the oldest broadcasts but not the newest, and does not block others", func(t *testing.T) {
		is := is.New(t)
		a := withLink(t, "a")
		release := make(chan struct{})
		var mu sync.Mutex
		var received []uint64
		handle := func(_ context.Context, _ string, m *peerpb.Envelope) *peerpb.Envelope {
			<-release
			mu.Lock()
			defer mu.Unlock()
			received = append(received, m.GetConfigHead().GetVersion())
			return nil
		}
		b := withLink(t, "b", withSeeds(a.Address()), func(l *Link) { l.Handle(KindConfigHead, handle) })
		waitUntil(t, func() bool { return isConnected(a, "b") && isConnected(b, "a") })
		const sent = 3 * maxQueuedBroadcasts
		for i := uint64(1); i <= sent; i++ {
			a.Broadcast(configHead(i))
		}
		close(release)
		last := func() uint64 {
			mu.Lock()
			defer mu.Unlock()
			if len(received) == 0 {
				return 0
			}
			return received[len(received)-1]
		}
		waitUntil(t, func() bool {
			// A session that failed because the machine is busy has lost its queue.
			a.Broadcast(configHead(sent))
			return last() == sent
		})
		mu.Lock()
		defer mu.Unlock()
		is.True(countBelow(received, sent) <= 2*maxQueuedBroadcasts)
		for i := 1; i < len(received); i++ {
			is.True(received[i-1] <= received[i])
		}
	})
}

func countBelow(versions []uint64, bound uint64) int {
	below := 0
	for _, v := range versions {
		if v < bound {
			below++
		}
	}
	return below
}

// dialRaw opens a multiplexed connection to l without a handshake.
func dialRaw(t *testing.T, l *Link) *yamux.Session {
	t.Helper()
	conn, err := net.Dial("tcp", l.Address())
	if err != nil {
		t.Fatal(err)
	}
	mux, err := yamux.Client(conn, muxConfig())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = mux.Close() })
	return mux
}

func helloFrom(protocol uint32, deployment string) *peerpb.Envelope {
	return &peerpb.Envelope{Protocol: protocol, Member: "stranger", Body: &peerpb.Envelope_Hello{
		Hello: &peerpb.Hello{Deployment: deployment, Address: "127.0.0.1:9"}}}
}

func TestStrangers(t *testing.T) {
	outdated := helloFrom(minProtocol-1, "test")
	for _, test := range []struct {
		name   string
		first  *peerpb.Envelope
		reason string
	}{
		{"another deployment", helloFrom(currentProtocol, "other"), `deployment "other" is not "test"`},
		{"a protocol that is too old", outdated, "protocol 0 is older than 1"},
		{"no hello", func() *peerpb.Envelope { e := configHead(9); e.Protocol = 1; return e }(), "the first message is config-head"},
		{"no member", func() *peerpb.Envelope { e := helloFrom(1, "test"); e.Member = ""; return e }(), "names no member"},
	} {
		t.Run(test.name+" is told why and closed", func(t *testing.T) {
			is := is.New(t)
			a := withLink(t, "a")
			mux := dialRaw(t, a)
			stream, err := mux.OpenStream()
			is.NoErr(err)
			f := newEnvelopeStream(stream, maxHelloBytes)
			is.NoErr(f.write(test.first))
			reply, err := f.read()
			is.NoErr(err)
			is.True(contains(reply.GetAcknowledgement().GetError(), test.reason))
			waitUntil(t, mux.IsClosed)
			assertRefused(t, a, test.reason)
			is.Equal(len(a.Peers()), 0)
		})
	}
	t.Run("a connection of another protocol is closed", func(t *testing.T) {
		is := is.New(t)
		a := withLink(t, "a")
		conn, err := net.Dial("tcp", a.Address())
		is.NoErr(err)
		_, err = fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
		is.NoErr(err)
		_, err = conn.Read(make([]byte, 1))
		is.True(err != nil)
		assertRefused(t, a, "accept a stream")
	})
	t.Run("a malformed message ends a session that was open", func(t *testing.T) {
		is := is.New(t)
		a := withLink(t, "a")
		mux := dialRaw(t, a)
		openSession(t, mux)
		stream, err := mux.OpenStream()
		is.NoErr(err)
		// The session may end before the write returns.
		_, _ = stream.Write([]byte{3, 0xff, 0xff, 0xff})
		waitUntil(t, mux.IsClosed)
		assertRefused(t, a, "malformed message")
	})
	t.Run("a message beyond the bound ends the session", func(t *testing.T) {
		is := is.New(t)
		a := withLink(t, "a")
		mux := dialRaw(t, a)
		openSession(t, mux)
		stream, err := mux.OpenStream()
		is.NoErr(err)
		_, _ = stream.Write(protowire.AppendVarint(nil, maxMessageBytes+1))
		waitUntil(t, mux.IsClosed)
		assertRefused(t, a, "malformed message")
	})
}

// openSession completes the handshake on a raw connection.
func openSession(t *testing.T, mux *yamux.Session) {
	t.Helper()
	is := is.New(t)
	stream, err := mux.OpenStream()
	is.NoErr(err)
	f := newEnvelopeStream(stream, maxHelloBytes)
	is.NoErr(f.write(helloFrom(currentProtocol, "test")))
	reply, err := f.read()
	is.NoErr(err)
	is.Equal(reply.GetHello().GetDeployment(), "test")
}

func TestUpgrade(t *testing.T) {
	t.Run("a newer peer's unknown body is refused and the session goes on", func(t *testing.T) {
		is := is.New(t)
		a := withLink(t, "a", func(l *Link) { l.protocol = 1 })
		b := withLink(t, "b", withSeeds(a.Address()), func(l *Link) { l.protocol = 2 })
		waitUntil(t, func() bool { return isConnected(b, "a") && isConnected(a, "b") })
		unknown := protowire.AppendTag(nil, 99, protowire.BytesType)
		unknown = protowire.AppendBytes(unknown, []byte("a message of tomorrow"))
		reply := a.dispatch(t.Context(), "b", decode(t, unknown))
		is.Equal(reply.GetAcknowledgement().GetError(), "unknown messages are not handled")
		a.Handle(KindConfigHead, func(context.Context, string, *peerpb.Envelope) *peerpb.Envelope { return configHead(3) })
		answer, err := b.Call(t.Context(), "a", configHead(1))
		is.NoErr(err)
		is.Equal(answer.GetConfigHead().GetVersion(), uint64(3))
		is.Equal(answer.GetProtocol(), uint32(1))
	})
}
