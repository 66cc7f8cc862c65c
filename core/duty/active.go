package duty

import (
	"cmp"
	"slices"
)

// spareMembers is how many active members there are beyond the number of duties. With fewer than half of all, members that
// stand by become active at once, so this many may be lost without a wait for those.
const spareMembers = 6

// ActiveTarget returns how many members should be active: renew their rows often, and watch the others to take over from them.
// All others only look now and then whether enough are active, so that the cost of watching does not grow with their number.
func ActiveTarget(duties int) int { return duties + spareMembers }

// PreferredActive returns the members that should stay active if there are more than wanted: those that hold duties, then those with the most
// capacity. All members that see the same arrive at the same.
func PreferredActive(members []string, holders map[string]bool, capacities map[string]Capacity, wanted int) []string {
	usable := usables(members, capacities)
	chosen := slices.Clone(members)
	slices.SortFunc(chosen, func(a, b string) int {
		if holders[a] != holders[b] {
			if holders[a] {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(usable[b], usable[a]), cmp.Compare(a, b))
	})
	return chosen[:min(len(chosen), wanted)]
}

// Promotion is what a member that stands by makes of how many others are active.
type Promotion int

//go:generate go run github.com/dmarkham/enumer@v1.7.2 -type=Call -transform=kebab -text -json -trimprefix=Call -output=call_enumer.go

// Calls for members that stand by.
const (
	// PromoteNone means that enough are active.
	PromoteNone Promotion = iota
	// PromoteSome means that some are missing: one of those that stand by should become active.
	PromoteSome
	// PromoteAll means that so many are missing that all should become active.
	PromoteAll
)

// RequiredPromotion returns the call for members that stand by, if some are active of those wanted.
func RequiredPromotion(active, wanted int) Promotion {
	switch {
	case active >= wanted:
		return PromoteNone
	case 2*active < wanted:
		return PromoteAll
	}
	return PromoteSome
}
