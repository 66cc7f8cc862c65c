package work

import "math"

// fit is how many tasks of a step a worker of that capacity has room for; zero if for none.
func (s *Step) fit(capacity Resources) int {
	demand := s.counted()
	n := math.MaxInt32
	for _, r := range [][2]int{
		{capacity.MilliCores, demand.MilliCores}, {capacity.MemoryMB, demand.MemoryMB}, {capacity.Accelerators, demand.Accelerators},
	} {
		if r[1] > 0 {
			n = min(n, r[0]/r[1])
		}
	}
	return n
}

// missing is how many workers of that capacity the lasting tasks need that found none in the last round. Steps share workers, so that of
// their spread limits the one counts that needs the most. A step whose tasks have room on no such worker asks for one: the pool may get
// hosts of another size.
func (b *Board) missing(capacity Resources) int {
	room, spread := 0.0, 0
	for g, tasks := range b.homeless {
		s := g.spec()
		if fit := s.fit(capacity); fit > 0 {
			room += float64(tasks) / float64(fit)
		} else {
			room++
		}
		if s.SpreadLimit > 0 {
			spread = max(spread, (tasks+s.SpreadLimit-1)/s.SpreadLimit)
		}
	}
	return max(spread, int(math.Ceil(room)))
}

// heldBy is how many workers of that capacity the lasting tasks need, be it only for their memory.
func (b *Board) heldBy(capacity Resources) int {
	workers := 0.0
	for _, g := range b.groups {
		if s := g.spec(); s.Lasting && g.left > 0 {
			workers += float64(g.left) / float64(max(1, s.fit(capacity)))
		}
	}
	return int(math.Ceil(workers))
}
