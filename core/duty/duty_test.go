package duty_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskincross/core/duty"
	"siskincross/core/pool"
)

const lease = 4 * time.Second

// polled returns a ledger after polls one second apart; versions gives each member's version at a poll.
func polled(polls int, versions map[string]func(poll int) uint64) duty.FailureDetector {
	l := duty.FailureDetector{Lease: lease}
	for n := range polls {
		var rows []duty.MemberRow
		for name, version := range versions {
			if v := version(n); v > 0 {
				rows = append(rows, duty.MemberRow{Member: duty.Member{Name: name}, Version: v})
			}
		}
		l = l.WithPoll(rows, time.Second)
	}
	return l
}

func beating(poll int) uint64 { return uint64(poll + 1) }

// stopped returns a member whose row stays as it was at a poll.
func stopped(at int) func(int) uint64 {
	return func(poll int) uint64 { return uint64(min(poll, at) + 1) }
}

func TestLedger(t *testing.T) {
	t.Run("a row that stays unchanged for the lease lapses", func(t *testing.T) {
		is := is.New(t)
		members := map[string]func(int) uint64{"a": beating, "b": stopped(2)}
		is.Equal(polled(6, members).Live(), []string{"a", "b"})
		is.Equal(polled(7, members).Live(), []string{"a"})
		is.Equal(polled(7, members).Lapsed(), []string{"b"})
	})
	t.Run("time without credit lapses nobody", func(t *testing.T) {
		is := is.New(t)
		l := polled(3, map[string]func(int) uint64{"a": stopped(0)})
		for range 100 {
			l = l.WithPoll([]duty.MemberRow{{Member: duty.Member{Name: "a"}, Version: 1}}, 0)
		}
		is.Equal(l.Live(), []string{"a"})
	})
	t.Run("a member that woke is live but no longer settled", func(t *testing.T) {
		is := is.New(t)
		wakes := func(poll int) uint64 {
			if poll < 10 {
				return 1
			}
			return uint64(poll)
		}
		l := polled(12, map[string]func(int) uint64{"a": beating, "b": wakes})
		is.Equal(l.Live(), []string{"a", "b"})
		is.Equal(l.Established(5*time.Second), []string{"a"})
	})
	t.Run("members that are new or whose heartbeat is overdue are not steady", func(t *testing.T) {
		is := is.New(t)
		comes := func(poll int) uint64 { return uint64(max(0, poll-6)) }
		l := polled(10, map[string]func(int) uint64{"a": beating, "b": stopped(7), "c": comes})
		is.Equal(l.Live(), []string{"a", "b", "c"})
		is.Equal(l.Stable(2*time.Second), []string{"a"})
	})
	t.Run("a deleted row is gone at once", func(t *testing.T) {
		is := is.New(t)
		leaves := func(poll int) uint64 {
			if poll < 3 {
				return uint64(poll + 1)
			}
			return 0
		}
		is.Equal(polled(4, map[string]func(int) uint64{"a": beating, "b": leaves}).All(), []string{"a"})
	})
}

func TestDecide(t *testing.T) {
	members := []string{"a", "b", "c"}
	proposed := duty.PreferredHolder("org/p", members)
	other := members[0]
	if other == proposed {
		other = members[1]
	}
	tests := []struct {
		name   string
		holder string
		view   duty.View
		want   duty.Step
	}{
		{"holder is live", other, duty.View{Self: proposed, Live: members}, duty.StepNone},
		{"holder is gone", "x", duty.View{Self: proposed, Live: members}, duty.StepTake},
		{"holder is gone and another is proposed", "x", duty.View{Self: other, Live: members}, duty.StepNone},
		{"nobody held it", "", duty.View{Self: proposed, Live: members}, duty.StepTake},
		{"another member is proposed and settled", other, duty.View{Self: other, Live: members, Established: members}, duty.StepHandOver},
		{"another member is proposed and new", other, duty.View{Self: other, Live: members, Established: []string{other}}, duty.StepNone},
		{"own and proposed", proposed, duty.View{Self: proposed, Live: members, Established: members}, duty.StepNone},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			step, _ := duty.NextStep(pool.Pool{Name: "org/p", Holder: tt.holder}, tt.view)
			is.Equal(step, tt.want)
		})
	}
}

func TestProposeMovesOnlyDutiesOfTheLost(t *testing.T) {
	is := is.New(t)
	before := []string{"a", "b", "c", "d", "e", "f", "g"}
	after := []string{"a", "b", "c", "d", "e", "f"}
	held := map[string]int{}
	for i := range 490 {
		name := fmt.Sprintf("org/pool-%d", i)
		was, now := duty.PreferredHolder(name, before), duty.PreferredHolder(name, after)
		is.True(was == now || was == "g") // duties of members that stay do not move
		held[was]++
	}
	for _, n := range held {
		is.True(n > 35 && n < 140) // within half and double of an even share
	}
}

func TestVouching(t *testing.T) {
	const window = 3 * time.Second
	lost := time.Hour
	fresh := duty.PeerFreshness{SinceHeard: time.Second, StoreAge: time.Second}
	cutOff := duty.PeerFreshness{SinceHeard: time.Second, StoreAge: lost}
	silent := duty.PeerFreshness{SinceHeard: lost, StoreAge: 0}
	tests := []struct {
		name string
		v    duty.RouteFreshness
		want bool
	}{
		{"store read", duty.RouteFreshness{Members: 7, StoreAge: time.Second}, true},
		{"cut off from store and peers", duty.RouteFreshness{Members: 7, StoreAge: lost}, false},
		{"a peer reads the store", duty.RouteFreshness{Members: 7, StoreAge: lost, Peers: []duty.PeerFreshness{fresh}}, true},
		{"a peer's word is as old as its read", duty.RouteFreshness{Members: 7, StoreAge: lost, Peers: []duty.PeerFreshness{{SinceHeard: 2 * time.Second, StoreAge: 2 * time.Second}}}, false},
		{"store outage with a majority in touch", duty.RouteFreshness{Members: 7, StoreAge: lost, Peers: []duty.PeerFreshness{cutOff, cutOff, cutOff}}, true},
		{"store outage in a minority", duty.RouteFreshness{Members: 7, StoreAge: lost, Peers: []duty.PeerFreshness{cutOff, cutOff, silent, silent}}, false},
		{"store outage, one half of two", duty.RouteFreshness{Members: 2, StoreAge: lost}, false},
		{"store outage of a lone entry host", duty.RouteFreshness{Members: 1, StoreAge: lost}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(tt.v.Usable(window), tt.want)
		})
	}
}
