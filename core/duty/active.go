package duty

import (
	"cmp"
	"slices"
)

// spareMembers is the number of active members beyond one per duty. If fewer than half of the wanted members
// remain, all standby members become active at once, so this many members may be lost without waiting for
// standby members.
const spareMembers = 6

// ActiveTarget returns how many members should be active. Active members renew their rows often and monitor
// each other to take over duties. Standby members only check from time to time whether enough members are
// active, so that the cost of monitoring does not grow with the number of members.
func ActiveTarget(duties int) int { return duties + spareMembers }

// PreferredActive returns the members that should stay active if there are more than wanted: first those that
// hold duties, then those with the largest capacity. The result depends on the arguments only, so members with
// the same view agree on it.
func PreferredActive(members []string, holders map[string]bool, capacities map[string]Capacity, wanted int) []string {
	usable := usableCapacities(members, capacities)
	preferred := slices.Clone(members)
	slices.SortFunc(preferred, func(a, b string) int {
		if holders[a] != holders[b] {
			if holders[a] {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(usable[b], usable[a]), cmp.Compare(a, b))
	})
	return preferred[:min(len(preferred), wanted)]
}

// Promotion tells which standby members should become active.
type Promotion int

//go:generate go run github.com/dmarkham/enumer@v1.7.2 -type=Promotion -transform=kebab -text -json -trimprefix=Promote -output=promotion_enumer.go

// Promotions of standby members.
const (
	// PromoteNone means that enough members are active.
	PromoteNone Promotion = iota
	// PromoteSome means that active members are missing and one standby member should become active.
	PromoteSome
	// PromoteAll means that fewer than half of the wanted members are active and all standby members should
	// become active.
	PromoteAll
)

// RequiredPromotion returns the promotion that is due for the given numbers of active and wanted members.
func RequiredPromotion(active, wanted int) Promotion {
	switch {
	case active >= wanted:
		return PromoteNone
	case 2*active < wanted:
		return PromoteAll
	}
	return PromoteSome
}
