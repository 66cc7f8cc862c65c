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

// unequal returns a membership of strong members "s0", "s1" and so on, and weak ones "w0", "w1" and so on. All
// are stable.
func unequal(strongs, weaks int) duty.Membership {
	m := duty.Membership{Capacities: make(map[string]duty.Capacity)}
	for i := range strongs {
		m.Capacities[fmt.Sprint("s", i)] = strong
	}
	for i := range weaks {
		m.Capacities[fmt.Sprint("w", i)] = weak
	}
	m.Live = slices.Sorted(maps.Keys(m.Capacities))
	m.Stable = m.Live
	return m
}

// without returns the membership without some members.
func without(m duty.Membership, gone ...string) duty.Membership {
	isGone := func(member string) bool { return slices.Contains(gone, member) }
	m.Live = slices.DeleteFunc(slices.Clone(m.Live), isGone)
	m.Stable = slices.DeleteFunc(slices.Clone(m.Stable), isGone)
	return m
}

// assignUnheld assigns pools that have no holder.
func assignUnheld(m duty.Membership, pools int) map[string]string {
	holders := make(map[string]string, pools)
	for i := range pools {
		holders[fmt.Sprintf("pool%02d", i)] = ""
	}
	return duty.Assignment(duties(holders), m)
}

// moved returns the number of duties whose member changed.
func moved(before, after map[string]string) int {
	n := 0
	for name := range before {
		if before[name] != after[name] {
			n++
		}
	}
	return n
}

func assertStrong(is *is.I, assignment map[string]string) {
	is.Helper()
	for _, member := range assignment {
		is.Equal(member[:1], "s")
	}
}

// Guards against assigning duties to weak entry hosts while strong ones have spare capacity: on a site with 8
// strong and 36 weak entry hosts all five duties were held by weak ones, which fell behind.
func TestSpreadOverUnequalMembers(t *testing.T) {
	t.Run("each duty goes to a different strong member", func(t *testing.T) {
		is := is.New(t)
		assignment := assignUnheld(unequal(8, 36), 5)
		assertStrong(is, assignment)
		is.Equal(len(slices.Compact(slices.Sorted(maps.Values(assignment)))), 5)
	})
	t.Run("shares are in proportion to capacities", func(t *testing.T) {
		is := is.New(t)
		counts := make(map[string]int)
		for _, member := range assignUnheld(unequal(2, 8), 48) {
			counts[member]++
		}
		is.Equal(counts["s0"], 16)
		is.Equal(counts["s1"], 16)
		is.Equal(counts["w0"], 2)
	})
	t.Run("link bounds what the processor can use", func(t *testing.T) {
		is := is.New(t)
		m := unequal(1, 3)
		m.Capacities["w0"] = duty.Capacity{MilliCores: 4000, LinkMbps: 10, MemoryMB: 4000}
		assertStrong(is, assignUnheld(m, 4))
	})
	t.Run("duties move from weak to strong members", func(t *testing.T) {
		is := is.New(t)
		holders := map[string]string{"p": "w0", "q": "w1", "r": "s0"}
		assignment := duty.Assignment(duties(holders), unequal(3, 6))
		assertStrong(is, assignment)
		is.Equal(assignment["r"], "s0")
		is.True(assignment["p"] != assignment["q"])
	})
	t.Run("members of unknown capacity count as weak", func(t *testing.T) {
		is := is.New(t)
		m := unequal(2, 4)
		delete(m.Capacities, "w1")
		delete(m.Capacities, "w2")
		assertStrong(is, assignUnheld(m, 4))
	})
	t.Run("pinned duty is not assigned to another member", func(t *testing.T) {
		is := is.New(t)
		held := map[string]duty.Duty{"hosts": {Holder: "w0", Weight: 0.25, Pinned: true}, "p": {Holder: "w0"}}
		assignment := duty.Assignment(held, unequal(2, 4))
		is.Equal(assignment["hosts"], "w0")
		assertStrong(is, map[string]string{"p": assignment["p"]})
	})
	t.Run("light duty does not join a heavy one while other members are idle", func(t *testing.T) {
		is := is.New(t)
		assignment := duty.Assignment(map[string]duty.Duty{"!hosts": {Weight: 0.25}, "p": {}, "q": {Weight: 2}}, unequal(2, 0))
		is.Equal(assignment["!hosts"], assignment["p"])
	})
}

// Guards against needless hand-overs: a duty makes no progress while it moves.
func TestSpreadKeepsDutiesOfUnequalMembers(t *testing.T) {
	full := unequal(8, 36)
	t.Run("result is a fixed point", func(t *testing.T) {
		is := is.New(t)
		for strongs := range 9 {
			for pools := range 60 {
				once := assignUnheld(unequal(strongs, 10), pools)
				is.Equal(duty.Assignment(duties(once), unequal(strongs, 10)), once)
			}
		}
	})
	t.Run("duties of a leaving strong member go to strong members", func(t *testing.T) {
		is := is.New(t)
		before := assignUnheld(full, 5)
		after := duty.Assignment(duties(before), without(full, before["pool00"]))
		is.Equal(moved(before, after), 1)
		assertStrong(is, after)
	})
	t.Run("returning strong member moves nothing if no other member exceeds its share", func(t *testing.T) {
		is := is.New(t)
		before := assignUnheld(without(full, "s0", "s1"), 5)
		is.Equal(duty.Assignment(duties(before), full), before)
	})
	t.Run("rolling replacement of entry hosts moves only the duties of the replaced one", func(t *testing.T) {
		is := is.New(t)
		holders := assignUnheld(full, 5)
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
	t.Run("weak members take over from failed strong ones and hand the duties back", func(t *testing.T) {
		is := is.New(t)
		strongs := []string{"s0", "s1", "s2", "s3", "s4", "s5", "s6", "s7"}
		before := assignUnheld(full, 5)
		lost := duty.Assignment(duties(before), without(full, strongs...))
		for _, member := range lost {
			is.Equal(member[:1], "w")
		}
		is.Equal(len(slices.Compact(slices.Sorted(maps.Values(lost)))), 5)
		assertStrong(is, duty.Assignment(duties(lost), full))
	})
	t.Run("duty of a failed member goes to a stable weak member rather than to a new strong one", func(t *testing.T) {
		is := is.New(t)
		m := unequal(1, 2)
		m.Stable = []string{"w0", "w1"}
		is.Equal(duty.Assignment(duties(map[string]string{"p": "gone"}), m)["p"][:1], "w")
	})
	t.Run("slightly stronger joining member moves nothing", func(t *testing.T) {
		is := is.New(t)
		m := unequal(3, 2)
		before := assignUnheld(m, 3)
		m.Live, m.Stable = append(m.Live, "x"), append(m.Stable, "x")
		m.Capacities["x"] = duty.Capacity{MilliCores: 1000, LinkMbps: 200, MemoryMB: 800}
		is.Equal(duty.Assignment(duties(before), m), before)
	})
	t.Run("single hand-overs converge to a fixed point", func(t *testing.T) {
		is := is.New(t)
		m := unequal(3, 9)
		for i, member := range m.Live {
			m.Capacities[member] = duty.Capacity{MilliCores: 100 + 37*i*i%700, LinkMbps: 1000, MemoryMB: 4000}
		}
		holders := make(map[string]string)
		for i := range 40 {
			holders[fmt.Sprint("p", i)] = m.Live[i*i%4]
		}
		moves := 0
		for step := true; step; {
			step = false
			assignment := duty.Assignment(duties(holders), m)
			for _, name := range slices.Sorted(maps.Keys(holders)) {
				if assignment[name] != holders[name] {
					holders[name], step = assignment[name], true
					moves++
					break
				}
			}
			is.True(moves <= 80)
		}
	})
}

// assignByNumber assigns duties by their number alone.
func assignByNumber(holders map[string]string, live, stable []string) map[string]string {
	assignment, held := make(map[string]string), make(map[string]int)
	share := (len(holders) + len(live) - 1) / len(live)
	assign := func(name string, members []string) {
		least := slices.MinFunc(members, func(a, b string) int { return cmp.Compare(held[a], held[b]) })
		idle := slices.DeleteFunc(slices.Clone(members), func(member string) bool { return held[member] > held[least] })
		assignment[name] = duty.PreferredHolder(name, idle)
		held[assignment[name]]++
	}
	var orphaned, surplus []string
	for _, name := range slices.Sorted(maps.Keys(holders)) {
		switch holder := holders[name]; {
		case !slices.Contains(live, holder):
			orphaned = append(orphaned, name)
		case held[holder] >= share:
			surplus = append(surplus, name)
		default:
			assignment[name] = holder
			held[holder]++
		}
	}
	for _, name := range orphaned {
		assign(name, stable)
	}
	for _, name := range surplus {
		assign(name, live)
	}
	return assignment
}

// With entry hosts of equal capacity an assignment by number is already balanced, so that the weighted
// assignment must give the same result.
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
		stable := live[:1+random.IntN(len(live))]
		holders := make(map[string]string)
		for i := range random.IntN(30) {
			holders[fmt.Sprint("p", i)] = members[random.IntN(len(members))]
		}
		m := duty.Membership{Live: live, Stable: stable, Capacities: capacities}
		is.Equal(duty.Assignment(duties(holders), m), assignByNumber(holders, live, stable))
	}
}
