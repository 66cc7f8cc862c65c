package duty

import (
	"cmp"
	"slices"
)

// Spread returns which member should hold each duty, so that no member has more than its even share: holders are names of
// members by duty, empty where there is none. Duties stay where they are unless their holder is gone or has more than its share,
// so that a member's coming or going moves few of them. All members that see the same arrive at the same.
//
// The duties of a holder that is gone go to steady members, if there are any, even beyond an even share: a member that started a moment
// ago can't know yet that the holder is gone, and one whose heartbeat is overdue may be gone as well.
func Spread(holders map[string]string, live, steady []string) map[string]string {
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
	give := func(name string, members []string) {
		least := slices.MinFunc(members, func(a, b string) int { return cmp.Compare(held[a], held[b]) })
		idle := slices.DeleteFunc(slices.Clone(members), func(member string) bool { return held[member] > held[least] })
		proposed[name] = Propose(name, idle)
		held[proposed[name]]++
	}
	var abandoned, surplus []string
	for _, name := range names {
		holder := holders[name]
		switch {
		case !slices.Contains(live, holder):
			abandoned = append(abandoned, name)
		case held[holder] >= share:
			surplus = append(surplus, name)
		default:
			proposed[name] = holder
			held[holder]++
		}
	}
	if len(steady) == 0 {
		steady = live
	}
	for _, name := range abandoned {
		give(name, steady)
	}
	for _, name := range surplus {
		give(name, live)
	}
	return proposed
}
