package duty_test

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/matryer/is"

	"siskincross/core/duty"
)

var (
	strong = duty.Capacity{MilliCores: 800, LinkMbps: 200, MemoryMB: 536}
	weak   = duty.Capacity{MilliCores: 192, LinkMbps: 10, MemoryMB: 184}
)

// unequal is a fleet of strong members "s0", "s1" and so on, and weak ones "w0", "w1" and so on. All are steady.
func unequal(strongs, weaks int) duty.Membership {
	f := duty.Membership{Capacities: make(map[string]duty.Capacity)}
	for i := range strongs {
		f.Capacities[fmt.Sprint("s", i)] = strong
	}
	for i := range weaks {
		f.Capacities[fmt.Sprint("w", i)] = weak
	}
	f.Live = slices.Sorted(maps.Keys(f.Capacities))
	f.Stable = f.Live
	return f
}

// without returns the fleet without some members.
func without(f duty.Membership, gone ...string) duty.Membership {
	lost := func(member string) bool { return slices.Contains(gone, member) }
	f.Live = slices.DeleteFunc(slices.Clone(f.Live), lost)
	f.Stable = slices.DeleteFunc(slices.Clone(f.Stable), lost)
	return f
}

// spreadUnheld spreads pools that nobody holds.
func spreadUnheld(f duty.Membership, pools int) map[string]string {
	holders := make(map[string]string, pools)
	for i := range pools {
		holders[fmt.Sprintf("pool%02d", i)] = ""
	}
	return duty.Assignment(duties(holders), f)
}

// moved counts the duties that have another member than before.
func moved(before, after map[string]string) int {
	n := 0
	for name := range before {
		if before[name] != after[name] {
			n++
		}
	}
	return n
}

func assertStrong(is *is.I, proposed map[string]string) {
	is.Helper()
	for _, member := range proposed {
		is.Equal(member[:1], "s")
	}
}

// Five duties of a site with 8 strong and 36 weak entry hosts were all held by weak ones, which fell behind.
func TestSpreadOverUnequalMembers(t *testing.T) {
	t.Run("strong members are given the duties, each its own", func(t *testing.T) {
		is := is.New(t)
		proposed := spreadUnheld(unequal(8, 36), 5)
		assertStrong(is, proposed)
		is.Equal(len(slices.Compact(slices.Sorted(maps.Values(proposed)))), 5)
	})
	t.Run("shares are in proportion to capacities", func(t *testing.T) {
		is := is.New(t)
		counts := make(map[string]int)
		for _, member := range spreadUnheld(unequal(2, 8), 48) {
			counts[member]++
		}
		is.Equal(counts["s0"], 16)
		is.Equal(counts["s1"], 16)
		is.Equal(counts["w0"], 2)
	})
	t.Run("link bounds what the processor can use", func(t *testing.T) {
		is := is.New(t)
		f := unequal(1, 3)
		f.Capacities["w0"] = duty.Capacity{MilliCores: 4000, LinkMbps: 10, MemoryMB: 4000}
		assertStrong(is, spreadUnheld(f, 4))
	})
	t.Run("duties that weak members hold move over", func(t *testing.T) {
		is := is.New(t)
		holders := map[string]string{"p": "w0", "q": "w1", "r": "s0"}
		proposed := duty.Assignment(duties(holders), unequal(3, 6))
		assertStrong(is, proposed)
		is.Equal(proposed["r"], "s0")
		is.True(proposed["p"] != proposed["q"])
	})
	t.Run("members of unknown capacity count as weak", func(t *testing.T) {
		is := is.New(t)
		f := unequal(2, 4)
		delete(f.Capacities, "w1")
		delete(f.Capacities, "w2")
		assertStrong(is, spreadUnheld(f, 4))
	})
	t.Run("duty that stays is not proposed to another", func(t *testing.T) {
		is := is.New(t)
		held := map[string]duty.Duty{"hosts": {Holder: "w0", Weight: 0.25, Pinned: true}, "p": {Holder: "w0"}}
		proposed := duty.Assignment(held, unequal(2, 4))
		is.Equal(proposed["hosts"], "w0")
		assertStrong(is, map[string]string{"p": proposed["p"]})
	})
	t.Run("light duty is not beside a heavy one while others are idle", func(t *testing.T) {
		is := is.New(t)
		proposed := duty.Assignment(map[string]duty.Duty{"!hosts": {Weight: 0.25}, "p": {}, "q": {Weight: 2}}, unequal(2, 0))
		is.Equal(proposed["!hosts"], proposed["p"])
	})
}

// Duties that move to and fro stand still each time.
func TestSpreadKeepsDutiesOfUnequalMembers(t *testing.T) {
	full := unequal(8, 36)
	t.Run("result is a fixed point", func(t *testing.T) {
		is := is.New(t)
		for strongs := range 9 {
			for pools := range 60 {
				once := spreadUnheld(unequal(strongs, 10), pools)
				is.Equal(duty.Assignment(duties(once), unequal(strongs, 10)), once)
			}
		}
	})
	t.Run("strong member that leaves gives its own duties to strong ones", func(t *testing.T) {
		is := is.New(t)
		before := spreadUnheld(full, 5)
		after := duty.Assignment(duties(before), without(full, before["pool00"]))
		is.Equal(moved(before, after), 1)
		assertStrong(is, after)
	})
	t.Run("strong member that comes back moves nothing when no other has too much", func(t *testing.T) {
		is := is.New(t)
		before := spreadUnheld(without(full, "s0", "s1"), 5)
		is.Equal(duty.Assignment(duties(before), full), before)
	})
	t.Run("entry hosts replaced one after the other move each duty no more than it has to", func(t *testing.T) {
		is := is.New(t)
		holders := spreadUnheld(full, 5)
		for _, member := range full.Live {
			due := 0
			for _, holder := range holders {
				if holder == member {
					due++
				}
			}
			next := duty.Assignment(duties(holders), without(full, member))
			is.Equal(moved(holders, next), due)
			is.Equal(duty.Assignment(duties(next), full), next)
			assertStrong(is, next)
			holders = next
		}
	})
	t.Run("weak members take all when the strong ones are lost, and give them back", func(t *testing.T) {
		is := is.New(t)
		strongs := []string{"s0", "s1", "s2", "s3", "s4", "s5", "s6", "s7"}
		before := spreadUnheld(full, 5)
		lost := duty.Assignment(duties(before), without(full, strongs...))
		for _, member := range lost {
			is.Equal(member[:1], "w")
		}
		is.Equal(len(slices.Compact(slices.Sorted(maps.Values(lost)))), 5)
		assertStrong(is, duty.Assignment(duties(lost), full))
	})
	t.Run("duty of a lost member goes to a steady weak one rather than to a new strong one", func(t *testing.T) {
		is := is.New(t)
		f := unequal(1, 2)
		f.Stable = []string{"w0", "w1"}
		is.Equal(duty.Assignment(duties(map[string]string{"p": "gone"}), f)["p"][:1], "w")
	})
	t.Run("slightly stronger member that comes moves nothing", func(t *testing.T) {
		is := is.New(t)
		f := unequal(3, 2)
		before := spreadUnheld(f, 3)
		f.Live, f.Stable = append(f.Live, "x"), append(f.Stable, "x")
		f.Capacities["x"] = duty.Capacity{MilliCores: 1000, LinkMbps: 200, MemoryMB: 800}
		is.Equal(duty.Assignment(duties(before), f), before)
	})
	t.Run("duties handed over one by one end where no other move is due", func(t *testing.T) {
		is := is.New(t)
		f := unequal(3, 9)
		for i, member := range f.Live {
			f.Capacities[member] = duty.Capacity{MilliCores: 100 + 37*i*i%700, LinkMbps: 1000, MemoryMB: 4000}
		}
		holders := make(map[string]string)
		for i := range 40 {
			holders[fmt.Sprint("p", i)] = f.Live[i*i%4]
		}
		moves := 0
		for step := true; step; {
			step = false
			proposed := duty.Assignment(duties(holders), f)
			for _, name := range slices.Sorted(maps.Keys(holders)) {
				if proposed[name] != holders[name] {
					holders[name], step = proposed[name], true
					moves++
					break
				}
			}
			is.True(moves <= 80)
		}
	})
}

// spreadByNumber spreads duties by their numbers alone.
func spreadByNumber(holders map[string]string, live, steady []string) map[string]string {
	proposed, held := make(map[string]string), make(map[string]int)
	share := (len(holders) + len(live) - 1) / len(live)
	give := func(name string, members []string) {
		least := slices.MinFunc(members, func(a, b string) int { return cmp.Compare(held[a], held[b]) })
		idle := slices.DeleteFunc(slices.Clone(members), func(member string) bool { return held[member] > held[least] })
		proposed[name] = duty.PreferredHolder(name, idle)
		held[proposed[name]]++
	}
	var abandoned, surplus []string
	for _, name := range slices.Sorted(maps.Keys(holders)) {
		switch holder := holders[name]; {
		case !slices.Contains(live, holder):
			abandoned = append(abandoned, name)
		case held[holder] >= share:
			surplus = append(surplus, name)
		default:
			proposed[name] = holder
			held[holder]++
		}
	}
	for _, name := range abandoned {
		give(name, steady)
	}
	for _, name := range surplus {
		give(name, live)
	}
	return proposed
}

// Sites whose entry hosts are all equal are served well by even numbers.
func TestSpreadOverEqualMembersIsByNumber(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	for range 2000 {
		members := make([]string, 1+random.IntN(12))
		capacities := make(map[string]duty.Capacity)
		for i := range members {
			members[i] = fmt.Sprint("m", i)
			capacities[members[i]] = strong
		}
		live := members[:1+random.IntN(len(members))]
		steady := live[:1+random.IntN(len(live))]
		holders := make(map[string]string)
		for i := range random.IntN(30) {
			holders[fmt.Sprint("p", i)] = members[random.IntN(len(members))]
		}
		f := duty.Membership{Live: live, Stable: steady, Capacities: capacities}
		is.Equal(duty.Assignment(duties(holders), f), spreadByNumber(holders, live, steady))
	}
}
