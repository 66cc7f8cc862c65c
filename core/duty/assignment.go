package duty

import (
	"cmp"
	"math"
	"slices"
)

// Duty is one duty that is to be spread.
type Duty struct {
	// Holder is the member that holds it, or empty.
	Holder string
	// Weight is its work relative to that of other duties; zero counts as one.
	Weight float64
	// Stays tells that the duty is not handed over as long as its holder is live.
	Stays bool
}

func (d Duty) weight() float64 {
	if d.Weight <= 0 {
		return 1
	}
	return d.Weight
}

// Fleet is the members that duties are spread over.
type Fleet struct {
	Live []string
	// Steady holds the live members that are neither new nor overdue.
	Steady []string
	// Capacities holds what is known of the members' capacities.
	Capacities map[string]Capacity
}

// alike is the factor within which a weaker holder counts as the strongest member: so little difference is not worth a hand-over.
const alike = 1.5

// Spread returns which member should hold each duty, so that no member has more than its share in proportion to its capacity. Duties
// stay where they are unless their holder is gone, or has more than its share and another would be less loaded with it, so that a
// member's coming or going moves few of them, and none to and fro. All members that see the same arrive at the same.
//
// The duties of a holder that is gone go to steady members, if there are any, even beyond their share: a member that started a moment
// ago can't know yet that the holder is gone, and one whose heartbeat is overdue may be gone as well.
func Spread(duties map[string]Duty, fleet Fleet) map[string]string {
	if len(fleet.Live) == 0 {
		return make(map[string]string)
	}
	s := spreading{
		duties: duties, capacity: usables(fleet.Live, fleet.Capacities),
		held: make(map[string]float64, len(fleet.Live)), proposed: make(map[string]string, len(duties)),
	}
	share := s.share(fleet.Live)
	var abandoned, surplus []string
	for _, name := range s.names() {
		duty := duties[name]
		switch {
		case !slices.Contains(fleet.Live, duty.Holder):
			abandoned = append(abandoned, name)
		case duty.Stays || s.lenient(duty.Holder, duty) <= share:
			s.give(name, duty.Holder)
		default:
			surplus = append(surplus, name)
		}
	}
	takers := fleet.Steady
	if len(takers) == 0 {
		takers = fleet.Live
	}
	for _, name := range abandoned {
		s.give(name, s.idlest(name, takers))
	}
	for _, name := range surplus {
		to := s.idlest(name, fleet.Live)
		if holder := duties[name].Holder; s.lenient(holder, duties[name]) <= s.loaded(to, duties[name]) {
			to = holder
		}
		s.give(name, to)
	}
	return s.proposed
}

// spreading is one spread in the making.
type spreading struct {
	duties   map[string]Duty
	capacity map[string]float64
	// held is the weight of the duties that each member has been given.
	held     map[string]float64
	proposed map[string]string
}

// names returns the duties, the heaviest first.
func (s *spreading) names() []string {
	names := make([]string, 0, len(s.duties))
	for name := range s.duties {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(s.duties[b].weight(), s.duties[a].weight()), cmp.Compare(a, b))
	})
	return names
}

func (s *spreading) give(name, member string) {
	s.proposed[name] = member
	s.held[member] += s.duties[name].weight()
}

// loaded returns the load of a member with one more duty.
func (s *spreading) loaded(member string, d Duty) float64 {
	return (s.held[member] + d.weight()) / s.capacity[member]
}

// lenient is loaded with the capacity of the strongest member if the member is nearly as strong.
func (s *spreading) lenient(member string, d Duty) float64 {
	strongest := 0.0
	for _, capacity := range s.capacity {
		strongest = max(strongest, capacity)
	}
	return (s.held[member] + d.weight()) / min(strongest, s.capacity[member]*alike)
}

// idlest returns the member that would be loaded least with a duty.
func (s *spreading) idlest(name string, members []string) string {
	least := math.Inf(1)
	for _, member := range members {
		least = min(least, s.loaded(member, s.duties[name]))
	}
	return Propose(name, slices.DeleteFunc(slices.Clone(members), func(member string) bool {
		return s.loaded(member, s.duties[name]) > least
	}))
}

// share returns the load that no member exceeds if all duties are given anew.
func (s *spreading) share(members []string) float64 {
	anew := spreading{duties: s.duties, capacity: s.capacity, held: make(map[string]float64, len(members)), proposed: make(map[string]string)}
	share := 0.0
	for _, name := range anew.names() {
		member := anew.idlest(name, members)
		share = max(share, anew.loaded(member, s.duties[name]))
		anew.give(name, member)
	}
	return share
}
