package route

import (
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
