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

// detectorAfter returns a detector after polls one second apart. The map gives for each member the version of
// its row at each poll; zero means that there is no row.
func detectorAfter(polls int, versions map[string]func(poll int) uint64) duty.FailureDetector {
	d := duty.FailureDetector{Lease: lease}
	for n := range polls {
		var rows []duty.MemberRow
		for name, version := range versions {
			if v := version(n); v > 0 {
				rows = append(rows, duty.MemberRow{Member: duty.Member{Name: name}, Version: v})
			}
		}
		d = d.WithPoll(rows, time.Second)
	}
	return d
}

// renewing gives a member that renews its row before every poll.
func renewing(poll int) uint64 { return uint64(poll + 1) }

// stopped gives a member whose row no longer changes after a poll.
func stopped(at int) func(int) uint64 {
	return func(poll int) uint64 { return uint64(min(poll, at) + 1) }
}

func TestLedger(t *testing.T) {
	t.Run("a row that stays unchanged for the lease lapses", func(t *testing.T) {
		is := is.New(t)
		members := map[string]func(int) uint64{"a": renewing, "b": stopped(2)}
		is.Equal(detectorAfter(6, members).Live(), []string{"a", "b"})
		is.Equal(detectorAfter(7, members).Live(), []string{"a"})
		is.Equal(detectorAfter(7, members).Lapsed(), []string{"b"})
	})
	t.Run("time in which the observer is cut off makes no member lapse", func(t *testing.T) {
		is := is.New(t)
		d := detectorAfter(3, map[string]func(int) uint64{"a": stopped(0)})
		for range 100 {
			d = d.WithPoll([]duty.MemberRow{{Member: duty.Member{Name: "a"}, Version: 1}}, 0)
		}
		is.Equal(d.Live(), []string{"a"})
	})
	t.Run("a resumed member is live but not established", func(t *testing.T) {
		is := is.New(t)
		resumes := func(poll int) uint64 {
			if poll < 10 {
				return 1
			}
			return uint64(poll)
		}
		d := detectorAfter(12, map[string]func(int) uint64{"a": renewing, "b": resumes})
		is.Equal(d.Live(), []string{"a", "b"})
		is.Equal(d.Established(5*time.Second), []string{"a"})
	})
	t.Run("members that are new or whose heartbeat is overdue are not stable", func(t *testing.T) {
		is := is.New(t)
		joins := func(poll int) uint64 { return uint64(max(0, poll-6)) }
		d := detectorAfter(10, map[string]func(int) uint64{"a": renewing, "b": stopped(7), "c": joins})
		is.Equal(d.Live(), []string{"a", "b", "c"})
		is.Equal(d.Stable(2*time.Second), []string{"a"})
	})
	t.Run("a member whose row is deleted is removed at once", func(t *testing.T) {
		is := is.New(t)
		deleted := func(poll int) uint64 {
			if poll < 3 {
				return uint64(poll + 1)
			}
			return 0
		}
		is.Equal(detectorAfter(4, map[string]func(int) uint64{"a": renewing, "b": deleted}).All(), []string{"a"})
	})
}

func TestNextStep(t *testing.T) {
	members := []string{"a", "b", "c"}
	preferred := duty.PreferredHolder("org/p", members)
	other := members[0]
	if other == preferred {
		other = members[1]
	}
	tests := []struct {
		name   string
		holder string
		view   duty.View
		want   duty.Step
	}{
		{"holder is live", other, duty.View{Self: preferred, Live: members}, duty.StepNone},
		{"holder has failed", "x", duty.View{Self: preferred, Live: members}, duty.StepTake},
		{"holder has failed and another is preferred", "x", duty.View{Self: other, Live: members}, duty.StepNone},
		{"no holder", "", duty.View{Self: preferred, Live: members}, duty.StepTake},
		{"another member is preferred and established", other, duty.View{Self: other, Live: members, Established: members}, duty.StepHandOver},
		{"another member is preferred and new", other, duty.View{Self: other, Live: members, Established: []string{other}}, duty.StepNone},
		{"own and preferred", preferred, duty.View{Self: preferred, Live: members, Established: members}, duty.StepNone},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			step, _ := duty.NextStep(pool.Pool{Name: "org/p", Holder: tt.holder}, tt.view)
			is.Equal(step, tt.want)
		})
	}
}

func TestPreferredHolderMovesOnlyDutiesOfTheLost(t *testing.T) {
	is := is.New(t)
	before := []string{"a", "b", "c", "d", "e", "f", "g"}
	after := []string{"a", "b", "c", "d", "e", "f"}
	held := map[string]int{}
	for i := range 490 {
		name := fmt.Sprintf("org/pool-%d", i)
		was, now := duty.PreferredHolder(name, before), duty.PreferredHolder(name, after)
		is.True(was == now || was == "g") // duties of remaining members do not move
		held[was]++
	}
	for _, n := range held {
		is.True(n > 35 && n < 140) // between half and twice an equal share
	}
}

func TestVouching(t *testing.T) {
	const window = 3 * time.Second
	outage := time.Hour
	fresh := duty.PeerFreshness{SinceHeard: time.Second, StoreAge: time.Second}
	cutOff := duty.PeerFreshness{SinceHeard: time.Second, StoreAge: outage}
	silent := duty.PeerFreshness{SinceHeard: outage, StoreAge: 0}
	tests := []struct {
		name      string
		freshness duty.RouteFreshness
		want      bool
	}{
		{"store read", duty.RouteFreshness{Members: 7, StoreAge: time.Second}, true},
		{"cut off from store and peers", duty.RouteFreshness{Members: 7, StoreAge: outage}, false},
		{"a peer reads the store", duty.RouteFreshness{Members: 7, StoreAge: outage, Peers: []duty.PeerFreshness{fresh}}, true},
		{"a peer's report is as old as its read", duty.RouteFreshness{Members: 7, StoreAge: outage, Peers: []duty.PeerFreshness{{SinceHeard: 2 * time.Second, StoreAge: 2 * time.Second}}}, false},
		{"store outage with a majority in contact", duty.RouteFreshness{Members: 7, StoreAge: outage, Peers: []duty.PeerFreshness{cutOff, cutOff, cutOff}}, true},
		{"store outage in a minority", duty.RouteFreshness{Members: 7, StoreAge: outage, Peers: []duty.PeerFreshness{cutOff, cutOff, silent, silent}}, false},
		{"store outage, one of two members", duty.RouteFreshness{Members: 2, StoreAge: outage}, false},
		{"store outage of a lone entry host", duty.RouteFreshness{Members: 1, StoreAge: outage}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(tt.freshness.Usable(window), tt.want)
		})
	}
}
