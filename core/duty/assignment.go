package duty

import (
	"cmp"
	"math"
	"slices"
)

// Duty is one duty to be assigned to a member.
type Duty struct {
	// Holder is the member that holds the duty; empty if there is none.
	Holder string
	// Weight is the load of the duty relative to other duties; zero counts as one.
	Weight float64
	// Pinned duties are not handed over as long as their holder is live.
	Pinned bool
}

// weight returns the weight of the duty with the default applied.
func (d Duty) weight() float64 {
	if d.Weight <= 0 {
		return 1
	}
	return d.Weight
}

// Membership is the set of members that duties are assigned to.
type Membership struct {
	Live []string
	// Stable holds the live members that are neither new nor overdue with their heartbeat.
	Stable []string
	// Capacities holds the known capacities of the members.
	Capacities map[string]Capacity
}

// capacityTolerance is the factor within which a weaker holder counts as equal to the strongest member: a
// smaller difference does not justify a hand-over.
const capacityTolerance = 1.5

// Assignment returns the member that should hold each duty, so that no member exceeds its share in proportion
// to its capacity. A duty moves only if its holder is not live, or if the holder exceeds its share and another
// member would be less loaded with the duty. A change of membership therefore moves few duties, and none back
// and forth. The result depends on the arguments only, so members with the same view agree on it.
//
// The duties of a failed holder go to stable members if there are any, even beyond their share: a member that
// has just started can't know yet that the holder failed, and a member whose heartbeat is overdue may have
// failed too.
func Assignment(duties map[string]Duty, membership Membership) map[string]string {
	if len(membership.Live) == 0 {
		return make(map[string]string)
	}
	s := assigner{
		duties: duties, capacity: usableCapacities(membership.Live, membership.Capacities),
		load: make(map[string]float64, len(membership.Live)), assignment: make(map[string]string, len(duties)),
	}
	share := s.maxLoad(membership.Live)
	var orphaned, surplus []string
	for _, name := range s.byWeight() {
		duty := duties[name]
		switch {
		case !slices.Contains(membership.Live, duty.Holder):
			orphaned = append(orphaned, name)
		case duty.Pinned || s.lenientLoadWith(duty.Holder, duty) <= share:
			s.assign(name, duty.Holder)
		default:
			surplus = append(surplus, name)
		}
	}
	candidates := membership.Stable
	if len(candidates) == 0 {
		candidates = membership.Live
	}
	for _, name := range orphaned {
		s.assign(name, s.leastLoaded(name, candidates))
	}
	for _, name := range surplus {
		to := s.leastLoaded(name, membership.Live)
		if holder := duties[name].Holder; s.lenientLoadWith(holder, duties[name]) <= s.loadWith(to, duties[name]) {
			to = holder
		}
		s.assign(name, to)
	}
	return s.assignment
}

// assigner is the state of one computation of an assignment.
type assigner struct {
	duties   map[string]Duty
	capacity map[string]float64
	// load is the total weight of the duties assigned to each member.
	load       map[string]float64
	assignment map[string]string
}

// byWeight returns the names of the duties, the heaviest first.
func (s *assigner) byWeight() []string {
	names := make([]string, 0, len(s.duties))
	for name := range s.duties {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(s.duties[b].weight(), s.duties[a].weight()), cmp.Compare(a, b))
	})
	return names
}

// assign gives a duty to a member.
func (s *assigner) assign(name, member string) {
	s.assignment[name] = member
	s.load[member] += s.duties[name].weight()
}

// loadWith returns the load of a member with one more duty, relative to its capacity.
func (s *assigner) loadWith(member string, d Duty) float64 {
	return (s.load[member] + d.weight()) / s.capacity[member]
}

// lenientLoadWith is loadWith with the capacity of the member raised by capacityTolerance, up to that of the
// strongest member.
func (s *assigner) lenientLoadWith(member string, d Duty) float64 {
	strongest := 0.0
	for _, capacity := range s.capacity {
		strongest = max(strongest, capacity)
	}
	return (s.load[member] + d.weight()) / min(strongest, s.capacity[member]*capacityTolerance)
}

// leastLoaded returns the member with the lowest load if it also held the duty; ties are broken by rendezvous
// hashing.
func (s *assigner) leastLoaded(name string, members []string) string {
	lowest := math.Inf(1)
	for _, member := range members {
		lowest = min(lowest, s.loadWith(member, s.duties[name]))
	}
	return PreferredHolder(name, slices.DeleteFunc(slices.Clone(members), func(member string) bool {
		return s.loadWith(member, s.duties[name]) > lowest
	}))
}

// maxLoad returns the highest load of a member if all duties were assigned anew.
func (s *assigner) maxLoad(members []string) float64 {
	fresh := assigner{duties: s.duties, capacity: s.capacity, load: make(map[string]float64, len(members)), assignment: make(map[string]string)}
	highest := 0.0
	for _, name := range fresh.byWeight() {
		member := fresh.leastLoaded(name, members)
		highest = max(highest, fresh.loadWith(member, s.duties[name]))
		fresh.assign(name, member)
	}
	return highest
}
