package duty

import (
	"cmp"
	"slices"
)

// spareMembers is how many active members there are beyond the number of duties. With fewer than half of all, members that
// stand by become active at once, so this many may be lost without a wait for those.
const spareMembers = 6

// Wanted returns how many members should be active: renew their rows often, and watch the others to take over from them.
// All others only look now and then whether enough are active, so that the cost of watching does not grow with their number.
func Wanted(duties int) int { return duties + spareMembers }

// Chosen returns the members that should stay active if there are more than wanted: those that hold duties, then those with the most
// capacity. All members that see the same arrive at the same.
func Chosen(members []string, holders map[string]bool, capacities map[string]Capacity, wanted int) []string {
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

// Call is what a member that stands by makes of how many others are active.
type Call int

//go:generate go run github.com/dmarkham/enumer@v1.7.2 -type=Call -transform=kebab -text -json -trimprefix=Call -output=call_enumer.go

// Calls for members that stand by.
const (
	// CallNone means that enough are active.
	CallNone Call = iota
	// CallSome means that some are missing: one of those that stand by should become active.
	CallSome
	// CallAll means that so many are missing that all should become active.
	CallAll
)

// CallFor returns the call for members that stand by, if some are active of those wanted.
func CallFor(active, wanted int) Call {
	switch {
	case active >= wanted:
		return CallNone
	case 2*active < wanted:
		return CallAll
	}
	return CallSome
}
