package duty

import (
	"cmp"
	"slices"
)

// Spread returns which member should hold each duty, so that no member has more than its even share: holders are names of
// members by duty, empty where there is none. Duties stay where they are unless their holder is gone or has more than its share,
// so that a member's coming or going moves few of them. All members that see the same arrive at the same.
func Spread(holders map[string]string, live []string) map[string]string {
	proposed := make(map[string]string, len(holders))
	if len(live) == 0 {
		return proposed
	}
	share := (len(holders) + len(live) - 1) / len(live)
	held := make(map[string]int, len(live))
	names := make([]string, 0, len(holders))
	for name := range holders {
		names = append(names, name)
	}
	slices.Sort(names)
	var moved []string
	for _, name := range names {
		holder := holders[name]
		if !slices.Contains(live, holder) || held[holder] >= share {
			moved = append(moved, name)
			continue
		}
		proposed[name] = holder
		held[holder]++
	}
	for _, name := range moved {
		least := slices.MinFunc(live, func(a, b string) int { return cmp.Compare(held[a], held[b]) })
		idle := slices.DeleteFunc(slices.Clone(live), func(member string) bool { return held[member] > held[least] })
		proposed[name] = Propose(name, idle)
		held[proposed[name]]++
	}
	return proposed
}
