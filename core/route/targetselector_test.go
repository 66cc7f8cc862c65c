package route

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskincross/core/host"
)

func boardTargets(ids ...host.ID) []Target {
	var targets []Target
	for _, id := range ids {
		targets = append(targets, Target{Host: id, Capacity: host.Capacity{Slots: 8, Connections: 64}})
	}
	return targets
}

// assertOffers checks which targets a board still gives to new requests.
func assertOffers(t *testing.T, b *Board, want ...host.ID) {
	t.Helper()
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 1))
	offered := make(map[host.ID]bool)
	for range 200 {
		target, ok := b.Acquire(time.Time{}, random, &Waiter{})
		if !ok {
			break
		}
		offered[target.Host] = true
		b.Release(time.Time{}, target.Host, Attempt{Sent: true}, time.Millisecond)
	}
	is.Equal(len(offered), len(want))
	for _, id := range want {
		is.True(offered[id])
	}
}

func TestBoardUpdate(t *testing.T) {
	all := Snapshot{Pool: "o/p", Epoch: 2, Version: 7, Targets: boardTargets("a", "b", "c")}
	t.Run("a target left out of the same version gets no new work", func(t *testing.T) {
		b := &Board{}
		b.Update(all)
		assertOffers(t, b, "a", "b", "c")
		fewer := all
		fewer.Targets = boardTargets("a", "c")
		b.Update(fewer)
		assertOffers(t, b, "a", "c")
		b.Update(all)
		assertOffers(t, b, "a", "b", "c")
	})
	t.Run("another target left out of as many", func(t *testing.T) {
		b := &Board{}
		for _, ids := range [][]host.ID{{"a", "b"}, {"b", "c"}} {
			fewer := all
			fewer.Targets = boardTargets(ids...)
			b.Update(fewer)
			assertOffers(t, b, ids...)
		}
	})
	t.Run("an older version changes nothing", func(t *testing.T) {
		b := &Board{}
		b.Update(all)
		b.Update(Snapshot{Pool: "o/p", Epoch: 1, Version: 9, Targets: boardTargets("z")})
		assertOffers(t, b, "a", "b", "c")
	})
}

func TestBoardSharesSlots(t *testing.T) {
	for _, c := range []struct{ members, peers, room int }{{1, 0, 8}, {7, 0, 8}, {7, 5, 3}, {7, 8, 1}, {2, 8, 4}, {16, 0, 4}, {80, 0, 1}} {
		t.Run(fmt.Sprintf("%d entry hosts, %d of the slots taken by others", c.members, c.peers), func(t *testing.T) {
			var b Board
			b.SetMembers(c.members)
			b.Update(Snapshot{Epoch: 1, Version: 1, Targets: boardTargets("a")})
			b.SetPeers(map[host.ID]int{"a": c.peers})
			rng := rand.New(rand.NewPCG(1, 1))
			for ok := true; ok; {
				_, ok = b.Acquire(time.Unix(0, 0), rng, &Waiter{})
			}
			is.New(t).Equal(b.Total(), c.room)
		})
	}
}
